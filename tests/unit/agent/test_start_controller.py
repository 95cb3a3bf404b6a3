import asyncio
from collections import abc

import pytest

from cactusgauge import ids, jobs, wire
from cactusgauge.agent import entry_ledger, start_controller
from tests.unit.dispatch import conftest

COMPLETED = jobs.TaskState.COMPLETED


@pytest.fixture
def world() -> abc.Iterator[conftest.World]:
    """Give one agent linked to one entry."""
    made = conftest.World(entries=1)
    made.relink()
    yield made
    made.close()


def _drain(world: conftest.World) -> "list[asyncio.Task[None]]":
    drains: list[asyncio.Task[None]] = []
    world.call(lambda: drains.append(asyncio.create_task(world.agents[0].controller.drain())))
    return drains


def _run_and_cut(world: conftest.World) -> "list[asyncio.Task[None]]":
    """Start a task, cut the link, drain, and let the task end."""
    world.call(lambda: world.entries[0].submit(1))
    world.deliver_all()
    for end in (world.connections[0].agent_end, world.connections[0].entry_end):
        world.call(end.abort)
    drains = _drain(world)
    world.call(lambda: world.running[0].end(COMPLETED))
    world.advance(1.0)
    return drains


def test_drain_delivers_results_over_a_new_link(world: conftest.World) -> None:
    """Guards against a planned stop that loses a result because the link is down at that moment."""
    drains = _run_and_cut(world)
    assert not drains[0].done()
    world.relink()
    world.beat()
    world.deliver_all()
    world.advance(1.0)
    assert world.entries[0].jobs[0].state is jobs.JobState.COMPLETE
    assert drains[0].done()


def test_drain_ends_when_no_entry_can_use_the_results(world: conftest.World) -> None:
    """Guards against a planned stop that never ends as an entry is gone."""
    drains = _run_and_cut(world)
    world.advance(entry_ledger.AWAY_S + 1.0)
    assert drains[0].done()


def test_entry_that_stops_acknowledges_first(world: conftest.World) -> None:
    """Guards against an agent whose planned stop waits AWAY_S for an entry that was stopped as well."""
    world.call(lambda: world.entries[0].submit(1))
    world.deliver_all()
    drains = _drain(world)
    world.call(lambda: world.running[0].end(COMPLETED))
    world.deliver_all()
    world.advance(1.0)
    assert not drains[0].done()
    stops: list[asyncio.Task[None]] = []
    world.call(lambda: stops.append(asyncio.create_task(world.entries[0].agents.acknowledge_results())))
    world.deliver_all()
    world.advance(1.0)
    assert stops[0].done() and drains[0].done()


def test_drain_takes_no_new_work(world: conftest.World) -> None:
    """Guards against starts during a planned stop; what is refused ran nowhere."""
    world.call(lambda: world.entries[0].submit(1))
    _drain(world)
    world.deliver_all()
    assert not world.runs
    assert world.entries[0].jobs[0].queued_count == 1


def test_seal_is_kept_for_an_owner_that_links_later(world: conftest.World) -> None:
    """Guards against starts of a recovered session by an owner that the agent did not know at that time."""
    controller, entry = world.agents[0].controller, conftest.Entry("entry-9", "e9")
    session = ids.SessionId("e9-1")
    world.call(lambda: controller.seal(wire.Seal(1, session, 1)))
    ledger = controller.ledger(entry.incarnation)
    assert ledger.is_sealed(session)
    assert not ledger.is_sealed(ids.SessionId("e9-2"))


def test_seals_of_unknown_sessions_are_bounded(world: conftest.World) -> None:
    """Guards against memory that grows with requests for made-up sessions."""
    controller = world.agents[0].controller
    count = start_controller.MAX_EARLY_SEALS + 10
    before = len(controller.ledgers)

    def seal_all() -> None:
        for number in range(count):
            controller.seal(wire.Seal(1, ids.SessionId(f"x{number}-1"), 1))

    world.call(seal_all)
    assert len(controller.ledgers) == before
    assert not controller.ledger(ids.EntryIncarnation("x0")).is_sealed(ids.SessionId("x0-1"))
    last = f"x{count - 1}"
    assert controller.ledger(ids.EntryIncarnation(last)).is_sealed(ids.SessionId(f"{last}-1"))
