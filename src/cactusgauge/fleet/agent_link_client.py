"""The agent's side of links: connects to entries and executes the runs that they request."""

import asyncio
import collections
import itertools
from typing import TYPE_CHECKING, Self

from cactusgauge import accounting, background, exceptions, ids, runs, scheduling, wire
from cactusgauge.fleet import (
    config_exchange,
    entry_outbox,
    fleet_codec,
    fleet_link,
    known_entries,
    link_monitor,
    link_selector,
    messages,
    recent_crashes,
    recent_jobs,
    report_schedule,
    stores,
)

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import observability
    from cactusgauge.fleet import config_cache

HELLO_TIMEOUT_S = 1.5
DIAL_TIMEOUT_S = 1.0
MIN_DIAL_PAUSE_S = 0.1
MAX_DIAL_PAUSE_S = 0.3
REPORT_BATCH_DELAY_S = 0.005  # combines starts and ends that follow closely into one report
INTERVALS_PER_AGENT_BEAT = 4  # heartbeat intervals per `AgentBeat`; reports keep the link alive in between
DIRECTORY_POLL_S = 10.0  # while linked, as linked entries report the others as well
DIRECTORY_POLL_UNLINKED_S = 1.0
FORGET_ENTRY_AFTER_S = 10.0  # an address that nobody reports is dropped after this long without a link
FORGET_ENDS_AFTER_S = 10.0  # ends for an entry without a link for this long are dropped; it takes the runs for lost
MAX_OUTBOXES = 500  # of entry incarnations; the oldest is closed, long after its entry has ended
MAX_CLOSED_ACCOUNTS = 500  # enough for the entry restarts of a week at the target size
FLUSH_TIMEOUT_S = 0.3
MAX_PASSED_ON_JOBS = 2_000  # that are not passed on again
MAX_CANCELED_JOBS = 10_000  # that are not passed on again; about 2 MB


class _EntryConnection:
    """One link of this agent to an entry."""

    def __init__(self, link: fleet_link.FleetLink, hello: messages.EntryHello) -> None:
        self.link = link
        self.incarnation = hello.incarnation
        self.config_version = hello.config_version


class AgentLinkClient(runs.RunObserver):
    """Dials the selected entries and passes their requests to the run controller.

    `seeds` returns the link URLs of entries to begin with.
    """

    def __init__(
        self,
        name: ids.AgentName,
        data_centre: ids.DataCentreName,
        seeds: "abc.Callable[[], list[str]]",
        timing: runs.RunTiming,
        cache: "config_cache.ConfigCache",
        directory: stores.EntryDirectory,
        counters: "observability.Counters",
        journal: "observability.Journal",
    ) -> None:
        self._name = name
        self._incarnation = ids.new_agent_incarnation()
        self._data_centre = data_centre
        self._seeds = seeds
        self._timing = timing
        self._cache = cache
        self._directory = directory
        self._counters = counters
        self._journal = journal
        self._codec = fleet_codec.FleetCodec()
        self._monitor = link_monitor.LinkMonitor(counters)
        self._connections: dict[str, _EntryConnection] = {}
        self._outboxes: dict[ids.EntryIncarnation, entry_outbox.EntryOutbox] = {}
        self._closed_accounts: collections.deque[accounting.PairTotals] = collections.deque(maxlen=MAX_CLOSED_ACCOUNTS)
        self._known_entries = known_entries.KnownEntries(FORGET_ENTRY_AFTER_S)
        self._link_selector = link_selector.LinkSelector(name)
        self._seen_revisions: dict[str, int] = {}
        self._dial = wire.DialTasks(self._dial_once, MIN_DIAL_PAUSE_S, MAX_DIAL_PAUSE_S, journal.log_event)
        self._report_timer: asyncio.TimerHandle | None = None
        self._reported_at = float("-inf")
        self._ends_scheduled = False
        self._refused_owners: set[ids.EntryIncarnation] = set()
        self._recent_crashes = recent_crashes.RecentCrashes()
        self._crash_ledger = scheduling.CrashLedger()
        self._passed_on_jobs = recent_jobs.RecentJobs[ids.JobKey](MAX_PASSED_ON_JOBS)
        self._canceled_jobs = recent_jobs.RecentJobs[ids.QueuedJob](MAX_CANCELED_JOBS)
        self._exchange = config_exchange.ConfigExchange(cache)
        self._copy_schedule = config_exchange.CopySchedule()
        self._controller: runs.RunController | None = None
        cache.add_listener(self._send_beat)

    @property
    def incarnation(self) -> ids.AgentIncarnation:
        """Random id of this agent process."""
        return self._incarnation

    def is_service_known(self, service: ids.ServiceName) -> bool:
        """Return False for a service that the newest configuration does not name.

        While the agent can't tell which one is the newest, it takes all services for known.
        """
        routes = self._cache.routes
        if routes is None or service in routes.services or not self._connections:
            return True
        newest = max(self._connections.values(), key=lambda connection: connection.config_version)
        self._exchange.request_if_newer(newest.link, newest.config_version)
        return newest.config_version > self._cache.version

    def take_accounts(self) -> accounting.Snapshot:
        """Return the accounts with all entries that the agent keeps."""
        pairs = [self._pair_totals(owner, outbox) for owner, outbox in self._outboxes.items()]
        return accounting.Snapshot(self._counters.as_rows(), [*self._closed_accounts, *pairs])

    async def __aenter__(self) -> Self:
        await self._dial.__aenter__()
        return self

    async def __aexit__(self, *exception: object) -> None:
        if self._report_timer is not None:
            self._report_timer.cancel()
        await self._dial.__aexit__(*exception)

    async def run(self, controller: runs.RunController) -> None:
        """Serve entries until cancelled."""
        self._controller = controller
        async with asyncio.TaskGroup() as group:
            for name, loop in {"beat": self._beat_forever, "directory": self._read_directory_forever}.items():
                group.create_task(background.keep_running(name, loop, self._journal.log_event))

    async def flush(self) -> None:
        """Send what is pending before the process ends."""
        self._send_ends()
        self._send_reports()
        for connection in list(self._connections.values()):
            await connection.link.flush(FLUSH_TIMEOUT_S)

    def on_run_ended(self, owner: ids.EntryIncarnation, end: scheduling.RunEnd) -> None:
        """Report the end of a run to its owner."""
        self._counters.add("runs_ended", "", end.reason or end.kind.value)
        if end.kind is scheduling.EndKind.DONE:
            self._crash_ledger.clear(end.key.task)
        if end.kind is not scheduling.EndKind.DONE:
            self._journal.log_event(
                "run_ended", run=str(end.key), entry=owner, kind=end.kind.value, reason=end.reason,
                ran_ms=round(end.ran_s * 1000),
            )  # fmt: skip
        outbox = self._outboxes.get(owner)
        if outbox is None:
            return
        outbox.add(end)
        if end.kind is scheduling.EndKind.NOT_STARTED:
            self._refused_owners.add(owner)
        if not self._ends_scheduled:
            self._ends_scheduled = True
            asyncio.get_running_loop().call_soon(self._send_ends)
        self.on_report_changed()

    def on_worker_crashed(self, generation: int, tasks: scheduling.TasksAtCrash) -> None:
        """Tell all entries, as callers may send the jobs of a lost entry to any other one."""
        self._counters.add("worker_crashes", "", "")
        self._pass_on_crash(scheduling.WorkerCrash(self._name, self._incarnation, generation, tasks))

    def on_report_changed(self) -> None:
        """Schedule a report to all entries."""
        now = asyncio.get_running_loop().time()
        self._schedule_report(max(now + REPORT_BATCH_DELAY_S, self._next_report_at()))

    def log_event(self, event: str, **fields: str | float) -> None:
        """Log a decision."""
        self._journal.log_event(event, **fields)

    def _is_trial_running(self, new: runs.NewRun, controller: runs.RunController) -> bool:
        """Return whether a run is of a suspect and another suspect has just started on the worker."""
        if not self._crash_ledger.is_suspect(new.key.task):
            return False
        started_after = asyncio.get_running_loop().time() - runs.RECENT_START_S
        return any(
            run.started_at > started_after and self._crash_ledger.is_suspect(run.key.task)
            for run in controller.registry.runs
        )

    def _pass_on_crash(self, crash: scheduling.WorkerCrash, source: _EntryConnection | None = None) -> None:
        """Send a crash to all entries but its source, unless it was sent before."""
        now = asyncio.get_running_loop().time()
        if not self._crash_ledger.record(crash, now):
            return
        self._recent_crashes.add(crash, now)
        for connection in self._connections.values():
            if connection is not source:
                connection.link.post(crash)

    def _pass_on_started(self, jobs: "abc.Iterable[ids.JobKey]", source: _EntryConnection | None = None) -> None:
        """Send started jobs to all entries but their source, unless they were sent before."""
        new_jobs = self._passed_on_jobs.add(jobs)
        if not new_jobs:
            return
        for connection in self._connections.values():
            if connection is not source:
                connection.link.post(messages.StartedJobs(new_jobs))

    def _handle_cancellations(
        self, jobs: "abc.Iterable[ids.QueuedJob]", source: _EntryConnection, controller: runs.RunController
    ) -> None:
        """Stop the runs of cancelled jobs whose entries are not linked, and tell all entries but the source."""
        new_jobs = self._canceled_jobs.add(jobs)
        linked = {each.incarnation for each in self._connections.values()}
        for job in new_jobs:
            controller.stop_job(job.key, linked)
        if not new_jobs:
            return
        for connection in self._connections.values():
            if connection is not source:
                connection.link.post(messages.CanceledJobs(new_jobs))

    def _report_lost_entries(self, now: float) -> None:
        """Tell other entries of the jobs of an entry that has been silent for the length of a grant."""
        received_at = {each.incarnation: each.link.last_received_at for each in self._connections.values()}
        for owner, outbox in self._outboxes.items():
            if now - received_at.get(owner, outbox.last_linked_at) <= self._timing.grant_s:
                outbox.is_reported_lost = False
            elif not outbox.is_reported_lost:
                outbox.is_reported_lost = True
                if outbox.recent_jobs:
                    self._journal.log_event("entry_silent", entry=owner, jobs=len(outbox.recent_jobs))
                    self._pass_on_started(outbox.recent_jobs)

    def _pair_totals(self, owner: ids.EntryIncarnation, outbox: entry_outbox.EntryOutbox) -> accounting.PairTotals:
        service = self._controller.report().service if self._controller is not None else ""
        return outbox.account.totals(owner, "", ids.WorkspaceName(service))

    def _send_ends(self) -> None:
        self._ends_scheduled = False
        for connection in self._connections.values():
            ends = self._outboxes[connection.incarnation].pop_unsent()
            if ends:
                connection.link.post(messages.Ends(ends))
        now = asyncio.get_running_loop().time()
        if now >= self._next_report_at():
            self._send_reports()  # in one frame with the ends
        else:
            # These entries have an outdated view of the worker, so they get a report at once.
            self._post_report([each for each in self._connections.values() if each.incarnation in self._refused_owners])
        self._refused_owners.clear()

    def _next_report_at(self) -> float:
        """Return the earliest time of the next report; ends are sent to their owners at once."""
        if self._controller is None:
            return self._reported_at
        return self._reported_at + report_schedule.report_interval_s(self._controller.report())

    def _schedule_report(self, at: float) -> None:
        if self._report_timer is not None:
            if self._report_timer.when() <= at:
                return
            self._report_timer.cancel()
        self._report_timer = asyncio.get_running_loop().call_at(at, self._send_reports)

    def _send_reports(self) -> None:
        if self._report_timer is not None:
            self._report_timer.cancel()
        self._report_timer = None
        self._reported_at = asyncio.get_running_loop().time()
        self._schedule_report(self._reported_at + runs.HEARTBEAT_INTERVAL_S)
        self._post_report(self._connections.values())

    def _post_report(self, connections: "abc.Collection[_EntryConnection]") -> None:
        if self._controller is None or not connections:
            return
        report = self._controller.report()
        now = asyncio.get_running_loop().time()
        for connection in connections:
            handled_start = self._outboxes[connection.incarnation].handled_start
            connection.link.post(messages.Report(now, handled_start, report))

    def _send_beat(self) -> None:
        now = asyncio.get_running_loop().time()
        beat = messages.AgentBeat(now, self._cache.version, sorted(self._connections))
        for connection in self._connections.values():
            connection.link.post(beat)

    async def _beat_forever(self) -> None:
        loop = asyncio.get_running_loop()
        for number in itertools.count():
            if number % INTERVALS_PER_AGENT_BEAT == 0 or len(self._connections) < link_selector.LINKS_PER_AGENT:
                self._update_dialled_entries()
            self._monitor.check(loop.time())
            self._copy_config(loop.time())
            if number % INTERVALS_PER_AGENT_BEAT == 0:
                self._send_beat()
            self._report_lost_entries(loop.time())
            live = {connection.incarnation for connection in self._connections.values()}
            for owner, outbox in list(self._outboxes.items()):
                if owner in live:
                    outbox.last_linked_at = loop.time()
                elif len(self._outboxes) > MAX_OUTBOXES:
                    self._closed_accounts.append(self._pair_totals(owner, outbox))
                    del self._outboxes[owner]
                elif loop.time() - outbox.last_linked_at > FORGET_ENDS_AFTER_S:
                    # The numbers must go on: the entry, which may return, ignores ends up to the last one it handled.
                    outbox.drop_ends()
            await asyncio.sleep(runs.HEARTBEAT_INTERVAL_S)

    def _copy_config(self, now: float) -> None:
        """Copy the configuration from an entry, for entries that cannot reach the store."""
        if not self._connections:
            return
        newest = max(self._connections.values(), key=lambda connection: connection.config_version)
        oldest_version = min(connection.config_version for connection in self._connections.values())
        if self._copy_schedule.is_due(self._cache.version, oldest_version, newest.config_version, now):
            self._exchange.request_if_newer(newest.link, newest.config_version)

    def _update_dialled_entries(self) -> None:
        self._known_entries.confirm((*self._seeds(), *self._connections))
        known = self._known_entries.current()
        with_runs = {url for url, connection in self._connections.items() if self._has_runs_of(connection)}
        wanted = self._link_selector.select(known, self._connections, with_runs, asyncio.get_running_loop().time())
        for url in self._dial.urls - wanted:
            self._dial.stop(url)
            self._journal.record_state("entry_forgotten", link_url=url, known=url in known)
        for url in wanted - self._dial.urls:
            self._dial.start(url)

    def _has_runs_of(self, connection: _EntryConnection) -> bool:
        return self._controller is not None and bool(self._controller.registry.owned_by(connection.incarnation))

    async def _read_directory_forever(self) -> None:
        while True:
            try:
                for record in await self._directory.entries():
                    if self._seen_revisions.get(record.link_url) != record.revision:
                        self._seen_revisions[record.link_url] = record.revision
                        self._known_entries.confirm([record.link_url])
            except stores.StoreUnavailableError as error:
                self._counters.add("directory_reads_failed", "", error.code)
            await asyncio.sleep(DIRECTORY_POLL_S if self._connections else DIRECTORY_POLL_UNLINKED_S)

    async def _dial_once(self, url: str) -> None:
        try:
            await self._serve_entry(url)
        except exceptions.ProtocolError as error:
            self._journal.log_event("link_failed", url=url, error=f"{type(error).__name__}: {error}"[:200])
            raise

    async def _serve_entry(self, url: str) -> None:
        connection = await wire.dial(url, DIAL_TIMEOUT_S)
        async with fleet_link.FleetLink(connection, self._codec, self._counters, self._monitor) as link:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                hello = await link.receive()
            if not isinstance(hello, messages.EntryHello) or hello.protocol != messages.PROTOCOL_VERSION:
                raise exceptions.ProtocolError(f"expected EntryHello of protocol version {messages.PROTOCOL_VERSION}")
            assert self._controller is not None
            current = _EntryConnection(link, hello)
            self._send_hello(link, hello, self._controller)
            self._connections[url] = current
            self._journal.record_state("entry_linked", entry=hello.entry, link_url=url)
            self._post_report([current])  # the entry starts nothing here before it
            try:
                while True:
                    self._handle_message(current, await link.receive(), self._controller)
            finally:
                if self._connections.get(url) is current:
                    del self._connections[url]
                self._journal.record_state("entry_link_lost", entry=hello.entry, link_url=url)

    def _send_hello(
        self, link: fleet_link.FleetLink, hello: messages.EntryHello, controller: runs.RunController
    ) -> None:
        outbox = self._outboxes.setdefault(hello.incarnation, entry_outbox.EntryOutbox())
        outbox.last_linked_at = asyncio.get_running_loop().time()
        outbox.mark_sent()
        link.post(
            messages.AgentHello(
                messages.PROTOCOL_VERSION,
                self._name,
                self._incarnation,
                self._data_centre,
                asyncio.get_running_loop().time(),
                self._cache.version,
                outbox.handled_start,
                [run.key for run in controller.registry.owned_by(hello.incarnation)],
                outbox.unacknowledged,
            )
        )
        for crash in self._recent_crashes.current(asyncio.get_running_loop().time()):
            link.post(crash)
        if self._canceled_jobs:
            link.post(messages.CanceledJobs(self._canceled_jobs.newest(messages.MAX_CANCELED_JOBS)))
        self._known_entries.confirm(hello.entries)

    @staticmethod
    def _check_stamp(stamp: float) -> None:
        """Raise `ProtocolError` for a stamp that this agent has not sent yet; its grant would not end in time."""
        if stamp > asyncio.get_running_loop().time():
            raise exceptions.ProtocolError("stamp is later than the agent's clock")

    def _handle_message(
        self, connection: _EntryConnection, message: messages.Message, controller: runs.RunController
    ) -> None:
        if isinstance(message, messages.Starts):
            self._check_stamp(message.stamp)
            outbox = self._outboxes[connection.incarnation]
            for start in message.starts:
                outbox.record_start(start.number, start.key.job)
                new = runs.NewRun(
                    start.key,
                    connection.incarnation,
                    start.generation,
                    start.demand,
                    start.expected_ms / 1000,
                    start.payload,
                )
                if self._is_trial_running(new, controller):
                    # Another entry has just started a suspect; if the worker crashes now, the cause must be known.
                    end = scheduling.RunEnd(new.key, scheduling.EndKind.NOT_STARTED, 0.0, scheduling.TRIAL_RUNNING)
                    self.on_run_ended(new.owner, end)
                else:
                    controller.start(new, message.stamp)
            self.on_report_changed()
        elif isinstance(message, messages.Grant):
            self._check_stamp(message.stamp)
            controller.extend_grant(connection.incarnation, message.stamp + self._timing.grant_s)
            self._outboxes[connection.incarnation].acknowledge(message.acknowledged_end)
            self._known_entries.confirm(message.entries)
            connection.config_version = message.config_version
        elif isinstance(message, messages.Stops):
            controller.stop(message.keys, message.reason)
        elif isinstance(message, messages.CanceledJobs):
            self._handle_cancellations(message.jobs, connection, controller)
        elif isinstance(message, messages.StartedJobs):
            self._pass_on_started(message.jobs, connection)
        elif isinstance(message, scheduling.WorkerCrash):
            self._pass_on_crash(message, connection)
        elif isinstance(message, messages.DocumentRequest):
            self._exchange.answer(connection.link, message)
        elif isinstance(message, messages.ConfigDocument):
            self._cache.apply_if_newer(message.body, "entry")
