"""Agents and entries in one process, joined by links that a test delivers, cuts and delays message by message."""

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
from tests.unit.dispatch import bench as bench_module

SETTLE_TURNS = 12
SLOTS = 2
SERVER_URL = "http://127.0.0.1:1"
MAX_DELIVERIES = 500
DEADLINE_MS = 1_000_000_000
EXPECTED_ERRORS = (exceptions.CactusgaugeError, TimeoutError, asyncio.CancelledError)


class ManualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock stands still unless `now` is changed."""

    now = 0.0

    def time(self) -> float:
        """Return the set time."""
        return self.now


class PipeEnd(wire.Link):
    """One end of a link; what it posts is in transit until the test delivers it."""

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
        """Never silent: the test closes links instead."""
        return False

    @property
    def is_drained(self) -> bool:
        """Whether nothing is in transit."""
        return not self.in_transit

    def set_active(self, active: bool) -> None:
        """Ignore the activity, which only paces heartbeats."""

    def post(self, message: wire.Message) -> None:
        """Send a message."""
        if not self.is_closed:
            self.in_transit.append(message)

    def close_end(self) -> None:
        """End reading and writing at this end."""
        self.is_closed = True
        self._changed.set()

    def abort(self) -> None:
        """Close this end, as the real link does; nothing more is read from it."""
        self._aborted = True
        self.close_end()

    def deliver(self) -> bool:
        """Bring the next message, or the end of the stream, to the peer; return whether there was any."""
        if self.in_transit:
            self.peer._inbox.append(self.in_transit.popleft())
            self.peer._changed.set()
            return True
        if self.is_closed and not self.peer.is_closed:
            self.peer.close_end()
            return True
        return False

    async def receive(self) -> wire.Message:
        """Return the next message; those that arrived before the end are still read."""
        while not self._inbox and not self.is_closed:
            self._changed.clear()
            await self._changed.wait()
        if self._aborted or not self._inbox:
            raise exceptions.LinkClosedError("closed")
        return self._inbox.popleft()


class Run:
    """One start that reached the backend server; `state` is None while it runs or if its agent ended."""

    def __init__(self, agent: "Agent", start: wire.Start) -> None:
        self.agent = agent
        self.start = start
        self.state: jobs.TaskState | None = None
        self.ended: asyncio.Future[wire.Outcome] = asyncio.get_running_loop().create_future()

    @property
    def task_id(self) -> ids.TaskId:
        """The task."""
        return ids.TaskId(self.start.session, self.start.number, self.start.task)

    def end(self, state: jobs.TaskState) -> None:
        """Let the backend server answer."""
        self.state = state
        reason = jobs.Reason.REFUSED_BY_BACKEND_SERVER.value if state is jobs.TaskState.NOT_RUN else ""
        self.ended.set_result(conftest.outcome_of(self.start, state, reason, b"r"))


class Agent(task_runner.TaskRunner):
    """The parts of an agent, and its task runner, whose starts the test ends."""

    def __init__(self, world: "World", name: str, incarnation: str) -> None:
        self.name = ids.AgentName(name)
        self.lease = backend_server_lease.BackendServerLease()
        self.allocator = slot_allocator.SlotAllocator(SLOTS)
        self.tasks: list[asyncio.Task[None]] = []
        self._world = world
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
        run = Run(self, start)
        self._world.runs.append(run)
        try:
            return await run.ended
        finally:
            release()

    def cancel_overdue(self) -> None:
        """Do nothing: no start here ends by itself."""


class Entry:
    """The parts of an entry that serve agents."""

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
    """A link with both of its ends."""

    agent: Agent
    entry: Entry
    agent_end: PipeEnd
    entry_end: PipeEnd

    @property
    def is_over(self) -> bool:
        """Whether both ends are closed."""
        return self.agent_end.is_closed and self.entry_end.is_closed


class World:
    """All processes and links; every method leaves the event loop idle."""

    def __init__(self, agents: int = 1, entries: int = 2) -> None:
        self.loop = ManualLoop()
        self.runs: list[Run] = []
        self.connections: list[Connection] = []
        self.errors: list[BaseException] = []
        self._incarnations = 0
        self.agents: list[Agent] = []
        self.entries: list[Entry] = []
        self.call(lambda: self._start(agents, entries))

    @property
    def running(self) -> list[Run]:
        """Starts that have not ended, at agents that run."""
        return [run for run in self.runs if run.state is None and run.agent in self.agents]

    def call(self, action: "abc.Callable[[], object]") -> None:
        """Run an action inside the event loop and let everything that follows from it happen."""

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
        self.call(lambda: None)
        self.loop.close()

    def dial(self, agent: Agent, entry: Entry) -> None:
        """Let an agent open a link to an entry."""
        self.call(lambda: self._dial(agent, entry))

    def restart_agent(self, index: int) -> None:
        """Kill an agent and start it anew."""
        old = self.agents[index]
        for connection in self.connections:
            if connection.agent is old:
                self.call(connection.agent_end.abort)
        self.call(lambda: self._replace_agent(index))

    def restart_entry(self, index: int) -> None:
        """Kill an entry and start it anew."""
        old = self.entries[index]
        for connection in self.connections:
            if connection.entry is old:
                self.call(connection.entry_end.abort)
        self.call(lambda: self._replace_entry(index))

    def advance(self, seconds: float) -> None:
        """Let time pass, and do what the daemons do periodically."""
        self.loop.now += seconds
        self.call(lambda: None)
        self.call(self._sweep)

    def beat(self) -> None:
        """Send a heartbeat on all links that are open at the sender."""
        self.call(self._beat)

    def deliver_all(self) -> None:
        """Deliver until nothing is in transit."""
        moved = True
        delivered = 0
        while moved:
            ends = [end for each in self.connections for end in (each.agent_end, each.entry_end)]
            moved = False
            for end in ends:
                while end.in_transit or (end.is_closed and not end.peer.is_closed):
                    self.call(end.deliver)
                    moved = True
                    delivered += 1
                    assert delivered < MAX_DELIVERIES, "messages go back and forth for ever"

    def relink(self) -> None:
        """Replace all links by new ones on which everything is delivered."""
        for connection in list(self.connections):
            self.call(connection.agent_end.abort)
            self.call(connection.entry_end.abort)
        for agent in self.agents:
            self.call(agent.announce)
            for entry in self.entries:
                self.dial(agent, entry)
        self.deliver_all()

    def finish_everything(self) -> None:
        """Complete all jobs over reliable links; give up after a bounded number of rounds."""
        for _ in range(60):
            self.deliver_all()
            for run in self.running:
                self.call(lambda run=run: run.end(jobs.TaskState.COMPLETED))  # type: ignore[misc]
            for agent in self.agents:
                self.call(agent.announce)
            self.beat()
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

    def _dial(self, agent: Agent, entry: Entry) -> None:
        agent_end, entry_end = PipeEnd(), PipeEnd()
        agent_end.peer, entry_end.peer = entry_end, agent_end
        self.connections.append(Connection(agent, entry, agent_end, entry_end))
        serving = self._serve(agent_end, agent.links.serve(entry.name, agent_end))
        agent.tasks.append(asyncio.create_task(serving))
        entry.tasks.append(asyncio.create_task(self._serve(entry_end, self._serve_agent(entry, entry_end))))

    async def _serve(self, end: PipeEnd, serving: "abc.Coroutine[None, None, None]") -> None:
        try:
            await serving
        except EXPECTED_ERRORS:
            pass
        except Exception as error:
            self.errors.append(error)
        end.close_end()

    @staticmethod
    async def _serve_agent(entry: Entry, end: PipeEnd) -> None:
        hello = await end.receive()
        assert isinstance(hello, wire.AgentHello)
        end.hello = hello
        await entry.agents.serve(end, hello)

    def _beat(self) -> None:
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
def bench() -> type[bench_module.DispatchBench]:
    """Give the class, as tests choose the number of workers and the settings."""
    return bench_module.DispatchBench
