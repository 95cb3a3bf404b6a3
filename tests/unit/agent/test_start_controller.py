import asyncio
from collections import abc

import pytest

from cactusgauge import jobs
from cactusgauge.agent import entry_ledger
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


def test_drain_takes_no_new_work(world: conftest.World) -> None:
    """Guards against starts during a planned stop; what is refused ran nowhere."""
    world.call(lambda: world.entries[0].submit(1))
    _drain(world)
    world.deliver_all()
    assert not world.runs
    assert world.entries[0].jobs[0].queued_count == 1
