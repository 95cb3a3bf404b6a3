"""The entry's side of links: serves agents, renews grants and sends the scheduler's requests."""

import asyncio
import collections
import contextlib
import functools
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import websockets.exceptions
from websockets.asyncio import server

from cactusgauge import accounting, background, exceptions, ids, runs, scheduling, wire
from cactusgauge import health as health_module
from cactusgauge.fleet import (
    agent_peer,
    config_exchange,
    fleet_codec,
    fleet_link,
    known_entries,
    link_monitor,
    messages,
    recent_jobs,
)

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import observability
    from cactusgauge.fleet import config_cache

HELLO_TIMEOUT_S = 3.0
# Between scheduler ticks; a small part of the time within which a refusal should reach its caller.
TICK_INTERVAL_S = 0.025
ANNOUNCE_INTERVAL_S = 1.0
CANCELED_ELSEWHERE = "canceled_at_other_entry"
ENTRY_ISOLATED = "entry_isolated"
MAX_SEEDS = 3  # the platform lists at most this many
DIAL_TIMEOUT_S = 1.0
MAX_CLOSED_ACCOUNTS = 500  # agent restarts of a week at the target size; older ones are recorded in the store
MAX_CANCELED_JOBS = 10_000  # that are not passed on again; about 2 MB
FORGET_AGENT_AFTER_S = 30.0  # the state of an agent that has been unreachable for this long is dropped

SchedulerBuilder = Callable[
    [scheduling.SchedulerOutput, scheduling.FleetState, health_module.WorkerHealth], scheduling.RunScheduler
]


class EntryLinkServer(scheduling.SchedulerOutput):
    """Serves the links of agents and executes the decisions of the scheduler."""

    def __init__(
        self,
        name: str,
        link_url: str,
        seeds: "abc.Callable[[], list[str]]",
        timing: runs.RunTiming,
        cache: "config_cache.ConfigCache",
        counters: "observability.Counters",
        journal: "observability.Journal",
        build_scheduler: SchedulerBuilder,
        on_job_ended: "abc.Callable[[scheduling.ParallelJob, scheduling.JobResult, str, int], None]",
        on_job_canceled: "abc.Callable[[ids.QueuedJob, str], object]",
        on_jobs_started: "abc.Callable[[abc.Iterable[ids.JobKey]], list[ids.JobKey]]",
        is_store_reachable: "abc.Callable[[], bool]",
    ) -> None:
        self.incarnation = ids.new_entry_incarnation()
        self._name = name
        self._link_url = link_url
        self._seeds = seeds
        self._timing = timing
        self._cache = cache
        self._counters = counters
        self._journal = journal
        self._on_job_ended = on_job_ended
        self._on_job_canceled = on_job_canceled
        self._on_jobs_started = on_jobs_started
        self._is_store_reachable = is_store_reachable
        self._unannounced_jobs: list[ids.JobKey] = []  # without an outcome, here or elsewhere; announced next
        self._canceled_jobs = recent_jobs.RecentJobs[ids.QueuedJob](MAX_CANCELED_JOBS)
        self._unannounced_cancellations: list[ids.QueuedJob] = []
        self._codec = fleet_codec.FleetCodec()
        self._monitor = link_monitor.LinkMonitor(counters)
        self._fleet = scheduling.FleetState()
        self._peers: dict[ids.AgentName, agent_peer.AgentPeer] = {}
        self._known_entries = known_entries.KnownEntries()
        self._exchange = config_exchange.ConfigExchange(cache)
        self._flush_scheduled = False
        self._dispatch_scheduled = False
        self._closed_accounts: collections.deque[accounting.PairTotals] = collections.deque(maxlen=MAX_CLOSED_ACCOUNTS)
        health = health_module.WorkerHealth(ids.WorkspaceName(""), counters, journal, lambda: len(self._peers))
        self._scheduler = build_scheduler(self, self._fleet, health)
        cache.add_listener(self._send_grants)

    @property
    def scheduler(self) -> scheduling.RunScheduler:
        """The scheduler of this entry's jobs."""
        return self._scheduler

    @property
    def workers(self) -> "abc.Iterable[scheduling.WorkerView]":
        """All workers known to this entry."""
        return self._fleet.workers

    @property
    def has_workers(self) -> bool:
        """Whether any worker accepts runs."""
        return any(view.accepts_runs for view in self._fleet.workers)

    async def run(self, host: str, port: int) -> None:
        """Serve until cancelled; raise `SettingsError` if the port cannot be bound."""
        try:
            listener = await server.serve(
                self._serve_link, host, port, compression=None, ping_interval=None, max_size=wire.MAX_FRAME_BYTES
            )
        except OSError as error:
            raise exceptions.SettingsError(f"cannot listen on {host}:{port}; is the port in use?") from error
        async with listener, asyncio.TaskGroup() as group:
            for name, loop in {"beat": self._beat_forever, "tick": self._tick_forever}.items():
                group.create_task(background.keep_running(name, loop, self._journal.log_event))
            for seed_number in range(MAX_SEEDS):
                announce = functools.partial(self._announce_forever, seed_number)
                group.create_task(background.keep_running("announce", announce, self._journal.log_event))

    def broadcast_cancel(self, job: ids.QueuedJob) -> None:
        """Tell other entries, through the agents, that a job is cancelled; those that can't reach the store too."""
        self._canceled_jobs.add([job])
        self._unannounced_cancellations.append(job)

    def start(self, agent: ids.AgentName, task: scheduling.ParallelTask, run: ids.RunKey, expected_s: float) -> int:
        """Queue a start; all starts of one event loop iteration are sent in one message."""
        peer = self._peers[agent]
        number = peer.add_start(run, task.demand, expected_s, task.job.payload)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)
        self._counters.add("runs_started", "", agent)
        return number

    def stop(self, agent: ids.AgentName, keys: list[ids.RunKey], reason: str) -> None:
        """Request an agent to stop runs."""
        peer = self._peers.get(agent)
        if peer is not None and peer.link is not None:
            peer.flush_starts()
            peer.link.post(messages.Stops(keys, reason))
        self._counters.add("runs_stopped", "", reason, len(keys))

    def finish(
        self, job: scheduling.ParallelJob, result: scheduling.JobResult, reason: str, retry_after_s: int
    ) -> None:
        """Answer the callers of a job, who may send it to another entry if it has no outcome."""
        if result is scheduling.JobResult.UNFINISHED:
            self._unannounced_jobs.append(job.key)
        self._on_job_ended(job, result, reason, retry_after_s)

    def request_dispatch(self) -> None:
        """Dispatch waiting tasks once all messages that have arrived are processed."""
        if not self._dispatch_scheduled:
            self._dispatch_scheduled = True
            asyncio.get_running_loop().call_soon(self._dispatch)

    def log_event(self, event: str, **fields: str | float) -> None:
        """Log a decision."""
        self._journal.log_event(event, **fields)

    def take_accounts(self) -> accounting.Snapshot:
        """Return the accounts with all agent incarnations, including ended ones."""
        pairs = [*self._closed_accounts, *(self._pair_totals(peer) for peer in self._peers.values())]
        return accounting.Snapshot(self._counters.as_rows(), pairs)

    def _close_account(self, peer: agent_peer.AgentPeer) -> None:
        if peer.account.starts:
            self._closed_accounts.append(self._pair_totals(peer))

    def _pair_totals(self, peer: agent_peer.AgentPeer) -> accounting.PairTotals:
        view = self._fleet.get(peer.name)
        service = view.report.service if view is not None and view.report is not None else ""
        return peer.account.totals(peer.incarnation, peer.name, ids.WorkspaceName(service))

    def _dispatch(self) -> None:
        self._dispatch_scheduled = False
        self._scheduler.dispatch(asyncio.get_running_loop().time())

    def _flush(self) -> None:
        self._flush_scheduled = False
        for peer in self._peers.values():
            peer.flush_starts()

    async def _serve_link(self, connection: server.ServerConnection) -> None:
        try:
            async with fleet_link.FleetLink(connection, self._codec, self._counters, self._monitor) as link:
                await self._serve_peer(link)
        except exceptions.LinkClosedError:
            pass  # agents and entries come and go
        except Exception as error:
            self._log_link_failure(str(connection.remote_address), error)

    async def _serve_peer(self, link: fleet_link.FleetLink) -> None:
        link.post(
            messages.EntryHello(
                messages.PROTOCOL_VERSION,
                self._name,
                self.incarnation,
                self._cache.version,
                self._list_known_entries(),
            )
        )
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                hello = await link.receive()
        except TimeoutError as error:
            raise exceptions.ProtocolError(f"no hello message within {HELLO_TIMEOUT_S} s") from error
        if isinstance(hello, messages.EntryAnnouncement):
            await self._serve_entry(link, hello)
        elif isinstance(hello, messages.AgentHello):
            await self._serve_agent(link, hello)
        else:
            raise exceptions.ProtocolError("expected AgentHello or EntryAnnouncement")

    def _log_link_failure(self, url: str, error: Exception) -> None:
        self._journal.log_event("link_failed", url=url, error=f"{type(error).__name__}: {error}"[:200])

    async def _serve_entry(self, link: fleet_link.FleetLink, hello: messages.EntryAnnouncement) -> None:
        while True:
            if self._known_entries.confirm([hello.link_url]):
                self._journal.record_state("entry_announced", link_url=hello.link_url)
            link.post(messages.EntryAnnouncement(self._link_url))
            message = await link.receive()
            if isinstance(message, messages.EntryAnnouncement):
                hello = message

    async def _serve_agent(self, link: fleet_link.FleetLink, hello: messages.AgentHello) -> None:
        if hello.protocol != messages.PROTOCOL_VERSION:
            raise exceptions.ProtocolError(f"protocol {hello.protocol}; this entry speaks {messages.PROTOCOL_VERSION}")
        peer = self._attach_agent(link, hello)
        view = self._fleet.add(peer.name)
        try:
            while True:
                message = await link.receive()
                if peer.link is not link:
                    return
                self._handle_message(peer, view, message)
        finally:
            if peer.link is link:
                peer.detach()
                view.is_reachable = False
                self._journal.record_state(
                    "agent_link_lost", agent=peer.name, runs=len(self._scheduler.runs_on_agent(peer.name))
                )

    def _attach_agent(self, link: fleet_link.FleetLink, hello: messages.AgentHello) -> agent_peer.AgentPeer:
        """Use a new link of an agent and reconcile the known runs with the agent's."""
        now = asyncio.get_running_loop().time()
        peer = self._peers.get(hello.agent)
        is_new = peer is None or peer.incarnation != hello.incarnation
        if peer is None:
            peer = agent_peer.AgentPeer(hello.agent, hello.incarnation)
            self._peers[hello.agent] = peer
        elif peer.link is not None:
            peer.link.abort()
        if is_new:
            # The runs of the earlier process end with its lease; `_tick_forever` or a report marks them as lost.
            self._close_account(peer)
            peer.reset(hello.incarnation, now + self._timing.runs_gone_after_s, hello.handled_start)
        peer.attach(link, hello.handled_start)
        peer.update_stamp(hello.stamp)
        view = self._fleet.add(hello.agent)
        view.clear_reservations()
        view.is_reachable = False  # until the first report
        self._journal.record_state(
            "agent_linked",
            agent=hello.agent,
            data_centre=hello.data_centre,
            restarted=is_new,
            held=len(hello.held),
        )
        self._exchange.request_if_newer(link, hello.config_version)
        peer.send_grant(self._cache.version, self._list_known_entries())
        if self._canceled_jobs:
            link.post(messages.CanceledJobs(self._canceled_jobs.newest(messages.MAX_CANCELED_JOBS)))
        if not is_new:
            self._handle_ends(peer, hello.ends, now)
            held = set(hello.held)
            for key in self._scheduler.runs_on_agent(hello.agent):
                if key not in held:
                    end = scheduling.RunEnd(key, scheduling.EndKind.LOST, 0.0, "never_received")
                    self._scheduler.end_run(hello.agent, end, now)
        # A stop that was requested without a link, or lost with one, must arrive with the first grant of the new link.
        unwanted = self._scheduler.unwanted_runs(hello.agent, hello.held)
        if unwanted:
            self._journal.log_event("stops_repeated", agent=hello.agent, runs=len(unwanted))
            self.stop(hello.agent, unwanted, "repeated")
        return peer

    def _handle_message(
        self, peer: agent_peer.AgentPeer, view: scheduling.WorkerView, message: messages.Message
    ) -> None:
        now = asyncio.get_running_loop().time()
        if isinstance(message, messages.Ends):
            self._handle_ends(peer, message.ends, now)
        elif isinstance(message, messages.Report):
            peer.update_stamp(message.stamp)
            peer.record_handled_starts(message.handled_start)
            self._handle_report(peer, view, message, now)
        elif isinstance(message, messages.AgentBeat):
            peer.update_stamp(message.stamp)
            self._known_entries.confirm(message.entries)
            if peer.link is not None:
                self._exchange.request_if_newer(peer.link, message.config_version)
        elif isinstance(message, messages.CanceledJobs):
            new_jobs = self._canceled_jobs.add(message.jobs)
            self._unannounced_cancellations += new_jobs
            for job in new_jobs:
                self._on_job_canceled(job, CANCELED_ELSEWHERE)
        elif isinstance(message, messages.StartedJobs):
            self._unannounced_jobs += self._on_jobs_started(message.jobs)
        elif isinstance(message, scheduling.WorkerCrash):
            self._handle_crash(peer, message, now)
        elif isinstance(message, messages.DocumentRequest):
            if peer.link is not None:
                self._exchange.answer(peer.link, message)
        elif isinstance(message, messages.ConfigDocument):
            self._cache.apply_if_newer(message.body, peer.name)

    def _handle_report(
        self, peer: agent_peer.AgentPeer, view: scheduling.WorkerView, message: messages.Report, now: float
    ) -> None:
        report = message.worker
        if peer.generation != report.generation:
            if peer.generation < 0 and report.phase is scheduling.WorkerPhase.ABSENT:
                # A restarted agent has no heartbeat of its worker yet, so runs of the earlier process may continue.
                view.update(report, message.handled_start, now)
                return
            if peer.generation < 0:
                # Once the worker is reported, all runs of an earlier agent process are gone.
                self._mark_earlier_runs_lost(peer, now)
            peer.generation = report.generation
        peer.has_reported = True
        view.is_reachable = True
        peer.is_lost = False
        self._scheduler.update_worker(view, report, message.handled_start, now)

    def _announce_jobs(self) -> None:
        """Tell the other entries, through the agents, of started jobs that the callers may send to them.

        Entries without an agent in common learn of cancelled jobs in this way, too. At a burst, a message for each job
        would reach all processes.
        """
        started, self._unannounced_jobs = self._unannounced_jobs, []
        for first in range(0, len(started), messages.MAX_STARTED_JOBS):
            self._post_to_agents(messages.StartedJobs(started[first : first + messages.MAX_STARTED_JOBS]))
        canceled, self._unannounced_cancellations = self._unannounced_cancellations, []
        for first in range(0, len(canceled), messages.MAX_CANCELED_JOBS):
            self._post_to_agents(messages.CanceledJobs(canceled[first : first + messages.MAX_CANCELED_JOBS]))

    def _post_to_agents(self, message: messages.Message) -> None:
        for peer in self._peers.values():
            if peer.link is not None:
                peer.link.post(message)

    def _handle_crash(self, peer: agent_peer.AgentPeer, crash: scheduling.WorkerCrash, now: float) -> None:
        """Count a crash and pass it on to all agents, and through them to entries without a link to its agent."""
        if not self._scheduler.record_crash(crash, now):
            return
        self._counters.add("worker_crashes", "", crash.agent)
        self._journal.log_event(
            "crash_counted",
            agent=crash.agent,
            passed_on_by=peer.name,
            recent=" ".join(str(task) for task in crash.tasks.recent),
            unconfirmed=" ".join(str(task) for task in crash.tasks.unconfirmed),
            others=len(crash.tasks.others),
        )
        for other in self._peers.values():
            if other is not peer and other.link is not None:
                other.link.post(crash)

    def _mark_earlier_runs_lost(self, peer: agent_peer.AgentPeer, now: float) -> None:
        if self._scheduler.runs_on_agent(peer.name):
            self._scheduler.handle_agent_loss(peer.name, "agent_restarted", now)

    def _handle_ends(self, peer: agent_peer.AgentPeer, ends: list[messages.EndedRun], now: float) -> None:
        view = self._fleet.get(peer.name)
        for end in ends:
            if end.number <= peer.acknowledged_end:
                continue
            peer.acknowledged_end = end.number
            peer.account.count_outcome(end.number, end.kind is not scheduling.EndKind.NOT_STARTED, end.ran_ms)
            start = peer.pop_start(end.key)
            if view is not None and start is not None:
                if end.kind is scheduling.EndKind.NOT_STARTED and end.reason != scheduling.TRIAL_RUNNING:
                    view.handle_refusal(start[0])
                else:
                    view.release(*start)
            self._counters.add("runs_ended", "", end.reason or end.kind.value)
            self._scheduler.end_run(peer.name, scheduling.RunEnd(end.key, end.kind, end.ran_ms / 1000, end.reason), now)

    def _send_grants(self) -> None:
        for peer in self._peers.values():
            peer.send_grant(self._cache.version, self._list_known_entries())

    def _list_known_entries(self) -> list[str]:
        self._known_entries.confirm([self._link_url])
        return self._known_entries.current()

    async def _beat_forever(self) -> None:
        while True:
            entries = self._list_known_entries()
            self._scheduler.entry_count = len(entries)
            for peer in self._peers.values():
                peer.send_grant_if_due(self._cache.version, entries, self._scheduler.has_runs_on_agent(peer.name))
            self._announce_jobs()
            self._monitor.check(asyncio.get_running_loop().time())
            await asyncio.sleep(runs.HEARTBEAT_INTERVAL_S)

    async def _tick_forever(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            for peer in list(self._peers.values()):
                self._check_peer(peer, now)
            self._end_jobs_if_isolated()
            self._scheduler.tick(now)
            await asyncio.sleep(TICK_INTERVAL_S)

    def _check_peer(self, peer: agent_peer.AgentPeer, now: float) -> None:
        view = self._fleet.get(peer.name)
        if view is None:
            return
        if not peer.has_received_within(runs.SUSPECT_AFTER_S):
            if view.is_reachable:
                view.is_reachable = False
                self._journal.log_event("agent_suspected", agent=peer.name)
        elif peer.has_reported:
            view.is_reachable = True
        silent_s = now - peer.granted_at
        if silent_s > self._timing.runs_gone_after_s and not peer.is_lost:
            peer.is_lost = True
            self._journal.record_state("agent_lost", agent=peer.name, silent_ms=round(silent_s * 1000))
            self._scheduler.handle_agent_loss(peer.name, "agent_lost", now)
        if peer.generation < 0 and now > peer.earlier_runs_end_at:
            self._mark_earlier_runs_lost(peer, now)
        if peer.link is None and silent_s > FORGET_AGENT_AFTER_S:
            self._close_account(peer)
            del self._peers[peer.name]
            self._fleet.remove(peer.name)

    def _end_jobs_if_isolated(self) -> None:
        """End all jobs if this entry reaches neither an agent nor the store.

        Their callers may have sent them to another entry, or cancelled them there, and this entry would learn of it
        only after it has started them again.
        """
        if not self._peers or not all(peer.is_lost for peer in self._peers.values()) or self._is_store_reachable():
            return
        if self._scheduler.open_jobs:
            self._journal.record_state("entry_isolated", agents=len(self._peers), jobs=len(self._scheduler.open_jobs))
            self._scheduler.cancel_all(ENTRY_ISOLATED, scheduling.MIN_RETRY_AFTER_S)

    async def _announce_forever(self, seed_number: int) -> None:
        """Keep announcing this entry to one seed entry."""
        while True:
            seeds = [url for url in self._seeds() if url != self._link_url]
            if seed_number < len(seeds):
                with contextlib.suppress(
                    OSError, TimeoutError, exceptions.CactusgaugeError, websockets.exceptions.WebSocketException
                ):
                    try:
                        await self._announce_to(seeds[seed_number])
                    except exceptions.ProtocolError as error:
                        self._log_link_failure(seeds[seed_number], error)
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce_to(self, url: str) -> None:
        connection = await wire.dial(url, DIAL_TIMEOUT_S)
        async with fleet_link.FleetLink(connection, self._codec, self._counters, self._monitor) as link:
            while True:
                link.post(messages.EntryAnnouncement(self._link_url))
                message = await link.receive()
                while not isinstance(message, messages.EntryAnnouncement):
                    message = await link.receive()
                self._known_entries.confirm([url])
                await asyncio.sleep(ANNOUNCE_INTERVAL_S / 2)


def wall_clock_run_number() -> int:
    """Return the wall clock time in milliseconds, a run number that increases across restarts and entries."""
    return int(time.time() * 1000)
