"""Simulated cluster of agents and entries in one process; tests deliver, delay and cut the messages on its links."""

import asyncio
import collections
from collections import abc
from typing import NamedTuple

import pytest

from cactusgauge import configuration, exceptions, ids, jobs, observability, wire
from cactusgauge.agent import (
    backend_server_lease,
    entry_directory,
    entry_links,
    slot_allocator,
    start_controller,
    start_log,
    task_runner,
)
from cactusgauge.entry import agent_links, job_service, membership
from tests.unit import conftest
from tests.unit.dispatch import harness as harness_module

SETTLE_TURNS = 12  # iterations of the event loop after which everything that an action caused is done
SLOTS = 2
SERVER_URL = "http://127.0.0.1:1"
MAX_DELIVERIES = 500
DEADLINE_MS = 1_000_000_000
EXPECTED_ERRORS = (exceptions.CactusgaugeError, TimeoutError, asyncio.CancelledError)


class ManualClockLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock advances only when a test changes `now`."""

    now = 0.0

    def time(self) -> float:
        """Return the time that the test has set."""
        return self.now


class InMemoryLinkEnd(wire.Link):
    """One end of a link; a posted message is in transit until the test delivers it."""

    def __init__(self) -> None:
        self.peer = self
        self.in_transit: collections.deque[wire.Message] = collections.deque()
        self.hello: wire.AgentHello | None = None
        self.is_closed = False
        self.workspace = ""
        self._inbox: collections.deque[wire.Message] = collections.deque()
        self._changed = asyncio.Event()
        self._aborted = False

    @property
    def is_suspect(self) -> bool:
        """Return False, as tests close links instead of letting them fall silent."""
        return False

    @property
    def is_drained(self) -> bool:
        """Whether nothing is in transit."""
        return not self.in_transit

    def set_active(self, active: bool) -> None:
        """Do nothing, as the activity only changes the heartbeat interval."""

    def post(self, message: wire.Message) -> None:
        """Send a message."""
        if not self.is_closed:
            self.in_transit.append(message)

    def close_end(self) -> None:
        """Stop reading and writing at this end."""
        self.is_closed = True
        self._changed.set()

    def abort(self) -> None:
        """Close this end and discard unread messages, as the real link does."""
        self._aborted = True
        self.close_end()

    def deliver(self) -> bool:
        """Deliver the next message, or the end of the stream, to the peer; return whether there was one."""
        if self.in_transit:
            self.peer._inbox.append(self.in_transit.popleft())
            self.peer._changed.set()
            return True
        if self.is_closed and not self.peer.is_closed:
            self.peer.close_end()
            return True
        return False

    async def receive(self) -> wire.Message:
        """Return the next message; messages that arrived before the end of the stream can still be read."""
        while not self._inbox and not self.is_closed:
            self._changed.clear()
            await self._changed.wait()
        if self._aborted or not self._inbox:
            raise exceptions.LinkClosedError("closed")
        return self._inbox.popleft()


class BackendRun:
    """A task start that reached the backend server; `state` is None while it runs or if its agent was killed."""

    def __init__(self, agent: "Agent", start: wire.Start) -> None:
        self.agent = agent
        self.start = start
        self.state: jobs.TaskState | None = None
        self.ended: asyncio.Future[wire.Outcome] = asyncio.get_running_loop().create_future()

    @property
    def task_id(self) -> ids.TaskId:
        """ID of the task."""
        return ids.TaskId(self.start.session, self.start.number, self.start.task)

    def end(self, state: jobs.TaskState) -> None:
        """Let the backend server report the final state."""
        self.state = state
        reason = jobs.Reason.REFUSED_BY_BACKEND_SERVER.value if state is jobs.TaskState.NOT_RUN else ""
        self.ended.set_result(conftest.outcome_of(self.start, state, reason, b"r"))


class Agent(task_runner.TaskRunner):
    """Components of an agent; it is also the task runner, and the test ends the tasks that it starts."""

    def __init__(self, cluster: "SimulatedCluster", name: str, incarnation: str) -> None:
        self.name = ids.AgentName(name)
        self.lease = backend_server_lease.BackendServerLease()
        self.allocator = slot_allocator.SlotAllocator(SLOTS)
        self.tasks: list[asyncio.Task[None]] = []
        self._cluster = cluster
        counters, events = observability.Counters(), observability.EventRing(name)
        self.controller = start_controller.StartController(
            conftest.WORKSPACE, self.lease, self.allocator, start_log.StartLog(), self, counters, events
        )
        self.links = entry_links.EntryLinks(
            self.name,
            ids.AgentIncarnation(incarnation),
            conftest.WORKSPACE,
            ids.DataCentreName("serra"),
            SLOTS,
            "",
            entry_directory.EntryDirectory(conftest.WORKSPACE, [], 3),
            self.controller,
            counters,
            events,
        )
        self.announce()

    def announce(self) -> None:
        """Renew the lease of the backend server."""
        if self.lease.valid_lease is None:
            conftest.grant_lease(self.lease, SERVER_URL)
        else:
            self.lease.grant_or_renew(
                "server", SERVER_URL, self.lease.valid_lease.id, asyncio.get_running_loop().time()
            )
        self.controller.refresh()

    async def run(self, start: wire.Start, release: abc.Callable[[], None]) -> wire.Outcome:
        """Record the start and wait for its end."""
        run = BackendRun(self, start)
        self._cluster.runs.append(run)
        try:
            return await run.ended
        finally:
            release()

    def cancel_overdue(self) -> None:
        """Do nothing, as only the test ends tasks."""


class Entry:
    """Components of an entry that serve agents."""

    def __init__(self, name: str, incarnation: str) -> None:
        self.name = name
        self.incarnation = ids.EntryIncarnation(incarnation)
        self.tasks: list[asyncio.Task[None]] = []
        info = wire.EntryInfo(
            ids.EntryName(name),
            self.incarnation,
            f"ws://{name}",
            f"http://{name}",
            ids.DataCentreName("serra"),
            [conftest.WORKSPACE],
            1.0,
            True,
        )
        config = conftest.workspace_config(default_deadline_ms=DEADLINE_MS, max_deadline_ms=DEADLINE_MS)
        source = configuration.StaticConfigSource(configuration.Configuration(1, {conftest.WORKSPACE: config}))
        events = observability.EventRing(name)
        self.members = membership.Membership(info)
        self.service = job_service.JobService(self.incarnation, source, observability.Counters(), events)
        self.agents = agent_links.AgentLinks(self.members, self.service, events)
        self.jobs: list[jobs.Job] = []

    def submit(self, count: int) -> jobs.Job:
        """Submit a new job in a new session."""
        job_id = ids.JobId(self.service.open_session(conftest.WORKSPACE), len(self.jobs))
        job = self.service.submit(conftest.WORKSPACE, job_id, conftest.job_request(count))
        self.jobs.append(job)
        return job


class Connection(NamedTuple):
    """Both ends of a link, with their agent and entry."""

    agent: Agent
    entry: Entry
    agent_end: InMemoryLinkEnd
    entry_end: InMemoryLinkEnd

    @property
    def is_over(self) -> bool:
        """Whether both ends are closed."""
        return self.agent_end.is_closed and self.entry_end.is_closed


class SimulatedCluster:
    """All simulated processes and their links; the event loop is idle after every public method."""

    def __init__(self, agents: int = 1, entries: int = 2) -> None:
        self.loop = ManualClockLoop()
        self.runs: list[BackendRun] = []
        self.connections: list[Connection] = []
        self.errors: list[BaseException] = []
        self._incarnations = 0
        self.agents: list[Agent] = []
        self.entries: list[Entry] = []
        self.run_until_idle(lambda: self._start(agents, entries))

    @property
    def running(self) -> list[BackendRun]:
        """Tasks that have not ended, at agents that are alive."""
        return [run for run in self.runs if run.state is None and run.agent in self.agents]

    def run_until_idle(self, action: "abc.Callable[[], object]") -> None:
        """Run an action inside the event loop, then run the loop until everything that it caused is done."""

        async def run() -> None:
            action()
            for _ in range(SETTLE_TURNS):
                await asyncio.sleep(0)

        self.loop.run_until_complete(run())
        self.connections = [each for each in self.connections if not each.is_over]

    def close(self) -> None:
        """End all tasks and the event loop."""
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run_until_idle(lambda: None)
        self.loop.close()

    def connect(self, agent: Agent, entry: Entry) -> None:
        """Let an agent open a link to an entry."""
        self.run_until_idle(lambda: self._connect(agent, entry))

    def restart_agent(self, index: int) -> None:
        """Kill an agent and start it again as a new incarnation."""
        old = self.agents[index]
        for connection in self.connections:
            if connection.agent is old:
                self.run_until_idle(connection.agent_end.abort)
        self.run_until_idle(lambda: self._replace_agent(index))

    def restart_entry(self, index: int) -> None:
        """Kill an entry and start it again as a new incarnation."""
        old = self.entries[index]
        for connection in self.connections:
            if connection.entry is old:
                self.run_until_idle(connection.entry_end.abort)
        self.run_until_idle(lambda: self._replace_entry(index))

    def advance(self, seconds: float) -> None:
        """Advance the clock and run the periodic work of the daemons once."""
        self.loop.now += seconds
        self.run_until_idle(lambda: None)
        self.run_until_idle(self._sweep)

    def send_heartbeats(self) -> None:
        """Send a heartbeat from both ends of every link; a closed end sends nothing."""
        self.run_until_idle(self._send_heartbeats)

    def deliver_all(self) -> None:
        """Deliver messages until none is in transit."""
        moved = True
        delivered = 0
        while moved:
            ends = [end for each in self.connections for end in (each.agent_end, each.entry_end)]
            moved = False
            for end in ends:
                while end.in_transit or (end.is_closed and not end.peer.is_closed):
                    self.run_until_idle(end.deliver)
                    moved = True
                    delivered += 1
                    assert delivered < MAX_DELIVERIES, "the processes exchange messages endlessly"

    def reconnect_all(self) -> None:
        """Abort all links, connect every agent to every entry again and deliver all messages."""
        for connection in list(self.connections):
            self.run_until_idle(connection.agent_end.abort)
            self.run_until_idle(connection.entry_end.abort)
        for agent in self.agents:
            self.run_until_idle(agent.announce)
            for entry in self.entries:
                self.connect(agent, entry)
        self.deliver_all()

    def complete_all_jobs(self) -> None:
        """Complete all jobs over reliable links; give up after a bounded number of rounds."""
        for _ in range(60):
            self.deliver_all()
            for run in self.running:
                self.run_until_idle(lambda run=run: run.end(jobs.TaskState.COMPLETED))  # type: ignore[misc]
            for agent in self.agents:
                self.run_until_idle(agent.announce)
            self.send_heartbeats()
            self.deliver_all()
            self.advance(0.3)
            if all(job.is_finished for entry in self.entries for job in entry.jobs):
                return

    def _start(self, agents: int, entries: int) -> None:
        self.agents = [Agent(self, f"agent-{index}", self._incarnation("a")) for index in range(agents)]
        self.entries = [Entry(f"entry-{index}", self._incarnation("e")) for index in range(entries)]

    def _incarnation(self, kind: str) -> str:
        self._incarnations += 1
        return f"{kind}{self._incarnations}"

    def _replace_agent(self, index: int) -> None:
        old = self.agents[index]
        for task in old.tasks:
            task.cancel()
        self.agents[index] = Agent(self, old.name, self._incarnation("a"))

    def _replace_entry(self, index: int) -> None:
        old = self.entries[index]
        for task in old.tasks:
            task.cancel()
        self.entries[index] = Entry(old.name, self._incarnation("e"))

    def _connect(self, agent: Agent, entry: Entry) -> None:
        agent_end, entry_end = InMemoryLinkEnd(), InMemoryLinkEnd()
        agent_end.peer, entry_end.peer = entry_end, agent_end
        self.connections.append(Connection(agent, entry, agent_end, entry_end))
        serving = self._serve(agent_end, agent.links.serve(entry.name, agent_end))
        agent.tasks.append(asyncio.create_task(serving))
        entry.tasks.append(asyncio.create_task(self._serve(entry_end, self._serve_agent(entry, entry_end))))

    async def _serve(self, end: InMemoryLinkEnd, serving: "abc.Coroutine[None, None, None]") -> None:
        try:
            await serving
        except EXPECTED_ERRORS:
            pass
        except Exception as error:
            self.errors.append(error)
        end.close_end()

    @staticmethod
    async def _serve_agent(entry: Entry, end: InMemoryLinkEnd) -> None:
        hello = await end.receive()
        assert isinstance(hello, wire.AgentHello)
        end.hello = hello
        await entry.agents.serve(end, hello)

    def _send_heartbeats(self) -> None:
        for each in self.connections:
            hello = each.entry_end.hello
            of_entry = each.entry.agents.heartbeat(hello) if hello is not None else None
            for end, beat in (
                (each.entry_end, of_entry),
                (each.agent_end, each.agent.links._heartbeat(each.agent_end)),
            ):
                if beat is not None:
                    end.post(beat)

    def _sweep(self) -> None:
        for entry in self.entries:
            entry.service.sweep()
        for agent in self.agents:
            agent.controller.refresh()


@pytest.fixture
def make_harness() -> type[harness_module.DispatcherHarness]:
    """Return the harness class, so that tests can choose the number of workers and the settings."""
    return harness_module.DispatcherHarness
