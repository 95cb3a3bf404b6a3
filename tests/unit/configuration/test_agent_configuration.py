"""Tests of the part of the configuration that agents use."""

import aiohttp
import pytest

from cactusgauge import configuration, ids, observability, wire
from cactusgauge.agent import backend_server_lease, slot_allocator, start_controller, start_log, task_runner
from tests.unit import conftest
from tests.unit.configuration import builders

pytestmark = pytest.mark.looptime


def test_highest_version_of_all_links_stays_in_force() -> None:
    """Guards against an agent that returns to the older version of an entry that is behind."""
    agent = configuration.AgentConfiguration(max_slots=8)
    assert not agent.is_known
    assert agent.slots == 0
    assert [agent.update(*each) for each in ((5, 4), (3, 8), (5, 2), (6, 99))] == [True, False, False, True]
    assert (agent.version, agent.slots) == (6, 8)


async def test_agent_serves_nothing_before_its_first_configuration() -> None:
    """Guards against tasks started under default limits, and against a new limit that is not enforced at once."""
    allocator = slot_allocator.SlotAllocator(8)
    lease = backend_server_lease.BackendServerLease()
    counters, events = observability.Counters(), observability.EventRing("test")
    async with aiohttp.ClientSession() as session:
        runner = task_runner.TaskRunner(session, lease)
        controller = start_controller.StartController(
            builders.CHEESE, lease, allocator, start_log.StartLog(), runner, counters, events
        )
        conftest.grant_lease(lease, "http://127.0.0.1:1")
        entry = ids.EntryIncarnation("e")
        assert not controller.serving
        assert not allocator.acquire(entry)
        controller.configure(wire.AgentConfig(7, 2))
        controller.configure(wire.AgentConfig(6, 8))
        assert controller.serving
        assert [allocator.acquire(entry) for _ in range(3)] == [True, True, False]
        controller.configure(wire.AgentConfig(8, 0))
        assert not controller.serving
        assert allocator.credit(entry) == 0


def test_data_centre_that_is_not_listed_gets_no_slots() -> None:
    """Guards against tasks in a data centre that operators have excluded."""
    config = configuration.WorkspaceConfig(name=builders.CHEESE, slots=4, data_centres=[ids.DataCentreName("serra")])
    assert config.slots_in(ids.DataCentreName("serra")) == 4
    assert config.slots_in(ids.DataCentreName("litoral")) == 0
