"""Tests of publishing with log faults and with concurrent operators."""

import asyncio

import pytest

from cactusgauge import configuration, exceptions
from emulator import memory_log
from tests.unit.configuration import builders, naive

pytestmark = pytest.mark.looptime


@pytest.fixture
def log() -> memory_log.MemoryLog:
    """Return a log that contains a template."""
    created = memory_log.MemoryLog()
    created.append_without_faults(configuration.STREAM, builders.encode(builders.template_change()))
    return created


async def test_lost_reply_publishes_once(log: memory_log.MemoryLog) -> None:
    """Guards against a change that is published twice or reported as failed when only the reply was lost."""
    log.faults.lose_replies = 1
    reader = configuration.ConfigLog(log)
    verdict = await configuration.ConfigPublisher(reader).publish(builders.workspace_change(4, -1, 0, "w"), 30)
    assert verdict.is_accepted
    assert reader.state.through == verdict.offset == 1


async def test_repeated_append_is_the_same_change(log: memory_log.MemoryLog) -> None:
    """Guards against a late retry that reverts a newer change."""
    reader = configuration.ConfigLog(log)
    publisher = configuration.ConfigPublisher(reader)
    first = builders.workspace_change(4, -1, 0, "w1")
    await publisher.publish(first, 30)
    await publisher.publish(builders.workspace_change(None, 1, 1, "w2"), 30)
    await reader.append_change(first)
    await reader.catch_up()
    assert builders.CHEESE not in reader.state.catalogue.workspaces
    assert [verdict.outcome.value for verdict in reader.state.verdicts] == ["accepted"] * 3


@pytest.mark.parametrize(
    ("rule", "accepted_count"),
    [(configuration.BaseVersionRule(), 1), (naive.LastWriteWins(), 2)],
    ids=["base version", "naive"],
)
async def test_one_of_two_concurrent_changes_is_accepted(
    log: memory_log.MemoryLog, rule: configuration.AcceptanceRule, accepted_count: int
) -> None:
    """Guards against lost updates: an accepted change overwritten by an operator who has not seen it."""
    log.faults.delay_s = 0.1
    readers = [configuration.ConfigLog(log, configuration.ConfigState(rule)) for _ in range(2)]
    verdicts = await asyncio.gather(
        *(
            configuration.ConfigPublisher(reader).publish(
                builders.workspace_change(number + 1, -1, 0, f"w{number}", author=f"operator-{number}"), 30
            )
            for number, reader in enumerate(readers)
        )
    )
    assert sum(verdict.is_accepted for verdict in verdicts) == accepted_count
    if accepted_count == 1:
        rejected = next(verdict for verdict in verdicts if not verdict.is_accepted)
        assert rejected.outcome is configuration.Outcome.STALE
        assert rejected.lost_to == [next(verdict.offset for verdict in verdicts if verdict.is_accepted)]


async def test_outage_leaves_the_outcome_unknown_until_asked_again(log: memory_log.MemoryLog) -> None:
    """Guards against reporting an outcome that is not known."""
    change = builders.workspace_change(4, -1, 0, "w")
    log.on_append = lambda stream, offset: setattr(log.faults, "unavailable", True)
    log.faults.lose_replies = 1
    with pytest.raises(exceptions.PublishError, match="--change-id w"):
        await configuration.ConfigPublisher(configuration.ConfigLog(log)).publish(change, 30)
    log.on_append = None
    log.faults.unavailable = False
    reader = configuration.ConfigLog(log)
    verdict = await configuration.ConfigPublisher(reader).publish(change, 30)
    assert verdict.is_accepted
    assert reader.state.through == 1


async def test_rate_limit_delays_but_does_not_repeat(log: memory_log.MemoryLog) -> None:
    """Guards against giving up, or appending twice, when the log limits the append rate."""
    log.faults.appends_per_s = 0.2
    reader = configuration.ConfigLog(log)
    publisher = configuration.ConfigPublisher(reader)
    assert (await publisher.publish(builders.workspace_change(4, -1, 0, "w1"), 30)).offset == 1
    assert (await publisher.publish(builders.workspace_change(5, 1, 1, "w2"), 30)).offset == 2
    assert reader.state.through == 2
