import asyncio
import collections
from collections import abc

import hypothesis
import pytest
from hypothesis import strategies

from cactusgauge import ids, jobs, wire
from cactusgauge.agent import remote_entry, start_controller
from tests.unit.dispatch import conftest

COMPLETED = jobs.TaskState.COMPLETED
TASKS = 6  # more than the slots of both agents
DRAIN_STEPS = strategies.lists(
    strategies.sampled_from(["end", "end", "to entry", "to agent", "beat", "cut", "dial", "advance"]), max_size=16
)


class _NonWaitingController(start_controller.StartController):
    """Ends its drain with the last task, without waiting for the acknowledgement of the results."""

    async def drain(self) -> None:
        self._draining = True
        self.refresh()
        while self._tasks:
            await asyncio.wait(self._tasks)
        self._flush()


@pytest.fixture
def cluster() -> abc.Iterator[conftest.SimulatedCluster]:
    """Yield one agent that is linked to one entry."""
    started = conftest.SimulatedCluster(entries=1)
    started.reconnect_all()
    yield started
    started.close()


def _drain(cluster: conftest.SimulatedCluster) -> "list[asyncio.Task[None]]":
    drains: list[asyncio.Task[None]] = []
    cluster.run_until_idle(lambda: drains.append(asyncio.create_task(cluster.agents[0].controller.drain())))
    return drains


def _run_and_drain(cluster: conftest.SimulatedCluster) -> "list[asyncio.Task[None]]":
    """Start a task, drain, and let the task end."""
    cluster.run_until_idle(lambda: cluster.entries[0].submit(1))
    cluster.deliver_all()
    drains = _drain(cluster)
    cluster.run_until_idle(lambda: cluster.running[0].end(COMPLETED))
    return drains


def _run_and_cut(cluster: conftest.SimulatedCluster) -> "list[asyncio.Task[None]]":
    """Start a task, cut the link, drain, and let the task end."""
    cluster.run_until_idle(lambda: cluster.entries[0].submit(1))
    cluster.deliver_all()
    for end in (cluster.connections[0].agent_end, cluster.connections[0].entry_end):
        cluster.run_until_idle(end.abort)
    drains = _drain(cluster)
    cluster.run_until_idle(lambda: cluster.running[0].end(COMPLETED))
    cluster.advance(1.0)
    return drains


def _exit_if_drained(cluster: conftest.SimulatedCluster, agent: conftest.Agent, drain: "asyncio.Task[None]") -> bool:
    """End the process of an agent after its drain; messages that were sent but not delivered are lost."""
    if agent in cluster.agents and drain.done():
        cluster.agents.remove(agent)
        for connection in [each for each in cluster.connections if each.agent is agent]:
            connection.agent_end.in_transit.clear()
            cluster.run_until_idle(connection.agent_end.abort)
        for task in agent.tasks:
            task.cancel()
    return agent not in cluster.agents


def _act(cluster: conftest.SimulatedCluster, agent: conftest.Agent, step: str) -> None:
    links = [each for each in cluster.connections if each.agent is agent]
    running = [run for run in cluster.running if run.agent is agent]
    if step == "end" and running:
        cluster.run_until_idle(lambda: running[0].end(COMPLETED))
    elif step == "beat":
        cluster.send_heartbeats()
    elif step == "dial":
        cluster.connect(agent, cluster.entries[0])
    elif step == "advance":
        cluster.advance(0.3)  # all steps together are shorter than ABANDONED_AFTER_S
    elif links and step == "cut":
        cluster.run_until_idle(links[0].agent_end.abort)
        cluster.run_until_idle(links[0].entry_end.abort)
    elif links and step in ("to entry", "to agent"):
        cluster.run_until_idle((links[0].agent_end if step == "to entry" else links[0].entry_end).deliver)


def _check_drain() -> None:
    @hypothesis.settings(max_examples=100)
    @hypothesis.given(DRAIN_STEPS)
    def run(steps: list[str]) -> None:
        world = conftest.SimulatedCluster(agents=2, entries=1)
        world.reconnect_all()
        world.run_until_idle(lambda: world.entries[0].submit(TASKS))
        world.deliver_all()
        agent, drain = world.agents[0], _drain(world)[0]
        for step in steps:
            if _exit_if_drained(world, agent, drain):
                break
            _act(world, agent, step)
        for _ in range(4):
            if agent in world.agents and not _exit_if_drained(world, agent, drain):
                world.connect(agent, world.entries[0])
            world.complete_all_jobs()
            world.send_heartbeats()
            world.deliver_all()
            world.advance(0.3)
        assert _exit_if_drained(world, agent, drain), "the drain does not end"
        states = [world.entries[0].jobs[0].task_at(index).state for index in range(TASKS)]
        starts = collections.Counter(run.task_id for run in world.runs)
        world.close()
        assert states == [COMPLETED] * TASKS, "a result is lost"
        assert set(starts.values()) == {1}, "a task is started twice"

    run()


def test_drain_loses_no_result_and_starts_nothing_twice() -> None:
    """Guards against a planned stop that loses results still in transit, or repeats starts, when links break."""
    _check_drain()


def test_drain_that_ends_before_its_results_are_received_loses_them(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shows that the check above detects a faulty controller."""
    monkeypatch.setattr(start_controller, "StartController", _NonWaitingController)
    with pytest.raises(AssertionError, match="a result is lost"):
        _check_drain()


def test_drain_delivers_results_over_a_new_link(cluster: conftest.SimulatedCluster) -> None:
    """Guards against a planned stop that loses a result because the link is down when the task ends."""
    drains = _run_and_cut(cluster)
    assert not drains[0].done()
    cluster.reconnect_all()
    cluster.send_heartbeats()
    cluster.deliver_all()
    cluster.advance(1.0)
    assert cluster.entries[0].jobs[0].state is jobs.JobState.COMPLETE
    assert drains[0].done()


def test_drain_ends_when_no_entry_can_use_the_results(cluster: conftest.SimulatedCluster) -> None:
    """Guards against a planned stop that never ends because an entry is gone."""
    drains = _run_and_cut(cluster)
    cluster.advance(remote_entry.ABANDONED_AFTER_S + 1.0)
    assert drains[0].done()


def test_drain_ends_after_an_old_link_closed_during_the_handshake(cluster: conftest.SimulatedCluster) -> None:
    """Guards against a planned stop that never ends because the heartbeats of an entry acknowledge nothing."""
    cluster.run_until_idle(lambda: cluster.entries[0].submit(1))
    cluster.deliver_all()
    old = cluster.connections[0]
    cluster.run_until_idle(old.agent_end.abort)
    cluster.connect(cluster.agents[0], cluster.entries[0])
    cluster.run_until_idle(cluster.connections[1].agent_end.deliver)
    cluster.run_until_idle(old.agent_end.deliver)
    cluster.deliver_all()
    drains = _drain(cluster)
    cluster.run_until_idle(lambda: cluster.running[0].end(COMPLETED))
    cluster.deliver_all()
    cluster.send_heartbeats()
    cluster.deliver_all()
    cluster.advance(1.0)
    assert drains[0].done()


def test_drain_gives_up_results_that_are_never_acknowledged(cluster: conftest.SimulatedCluster) -> None:
    """Guards against a planned stop that never ends because a linked entry acknowledges nothing."""
    drains = _run_and_drain(cluster)
    for waited_s in (0.0, start_controller.ACKNOWLEDGEMENT_TIMEOUT_S - 1.0):
        cluster.advance(waited_s)
        assert not drains[0].done()
    cluster.advance(2.0)
    assert drains[0].done()


def test_entry_that_stops_acknowledges_first(cluster: conftest.SimulatedCluster) -> None:
    """Guards against a planned stop that waits ABANDONED_AFTER_S for an entry that is stopped at the same time."""
    drains = _run_and_drain(cluster)
    cluster.deliver_all()
    cluster.advance(1.0)
    assert not drains[0].done()
    stops: list[asyncio.Task[None]] = []
    cluster.run_until_idle(lambda: stops.append(asyncio.create_task(cluster.entries[0].agents.acknowledge_results())))
    cluster.deliver_all()
    cluster.advance(1.0)
    assert stops[0].done() and drains[0].done()


def test_drain_takes_no_new_work(cluster: conftest.SimulatedCluster) -> None:
    """Guards against starts during a planned stop; a refused task is queued again at the entry."""
    cluster.run_until_idle(lambda: cluster.entries[0].submit(1))
    _drain(cluster)
    cluster.deliver_all()
    assert not cluster.runs
    assert cluster.entries[0].jobs[0].queued_count == 1


def test_seal_is_kept_for_an_owner_that_links_later(cluster: conftest.SimulatedCluster) -> None:
    """Guards against starts of a recovered session by an owner that connects to the agent after the recovery."""
    controller, entry = cluster.agents[0].controller, conftest.Entry("entry-9", "e9")
    session = ids.SessionId("e9-1")
    cluster.run_until_idle(lambda: controller.seal(wire.Seal(1, session, 1)))
    remote = controller.get_entry(entry.incarnation)
    assert remote.is_sealed(session)
    assert not remote.is_sealed(ids.SessionId("e9-2"))


def test_seals_of_unknown_sessions_are_bounded(cluster: conftest.SimulatedCluster) -> None:
    """Guards against memory that grows with requests for invented session ids."""
    controller = cluster.agents[0].controller
    count = start_controller.MAX_PENDING_SEALS + 10
    before = len(controller.entries)

    def seal_all() -> None:
        for number in range(count):
            controller.seal(wire.Seal(1, ids.SessionId(f"x{number}-1"), 1))

    cluster.run_until_idle(seal_all)
    assert len(controller.entries) == before
    assert not controller.get_entry(ids.EntryIncarnation("x0")).is_sealed(ids.SessionId("x0-1"))
    last = f"x{count - 1}"
    assert controller.get_entry(ids.EntryIncarnation(last)).is_sealed(ids.SessionId(f"{last}-1"))
