import pytest

from cactusgauge import accounting
from cactusgauge.accounting import account_record
from emulator import memory_log
from tests.unit.accounting import scenario as scenario_module

Kind = accounting.FindingKind


def kinds(findings: list[accounting.Finding]) -> set[accounting.FindingKind]:
    return {finding.kind for finding in findings}


async def run(scenario: scenario_module.Scenario, rounds: int = 4) -> None:
    for _ in range(rounds):
        scenario.run_tasks(5)
        await scenario.append()


async def test_correct_records_have_no_findings(scenario: scenario_module.Scenario) -> None:
    """Guards against false positives, also when the two sides make records at different times."""
    for _ in range(4):
        scenario.run_tasks(5)
        await scenario.append(scenario.agent)
        scenario.run_tasks(3)
        await scenario.append(scenario.entry)
    await scenario.stop()
    assert await scenario.audit() == []


@pytest.mark.parametrize("side", ["entry", "agent"])
@pytest.mark.parametrize("same_moment", [True, False])
async def test_inflated_record_is_found(scenario: scenario_module.Scenario, side: str, same_moment: bool) -> None:
    """Guards against a process that records more starts than its peer, with a valid hash chain."""
    await run(scenario)
    inflated = getattr(scenario, side)
    inflated.inflated_starts = 50
    other = scenario.agent if side == "entry" else scenario.entry
    await run(scenario, 1)
    if not same_moment:
        scenario.run_tasks(5)
        await scenario.append(other)
    found = await scenario.audit()
    assert kinds(found) - {Kind.UNFINISHED} == {Kind.MISMATCH}
    mismatch = next(finding for finding in found if finding.kind is Kind.MISMATCH)
    assert {mismatch.process.split()[0], mismatch.peer.split()[0]} == {"entry", "agent"}
    assert mismatch.from_s is not None
    assert mismatch.to_s is not None
    assert 1000 < mismatch.from_s < mismatch.to_s <= scenario.now_s


async def test_dropped_record_is_found_and_loses_nothing(scenario: scenario_module.Scenario) -> None:
    """Guards against not detecting a removed record, and against a wrong bill because of it."""
    await run(scenario)
    before = await scenario.usage()
    scenario.log.drop("agent", 2)
    found = await scenario.audit()
    assert kinds(found) == {Kind.DROPPED}
    assert found[0].process.startswith("agent")
    assert "records 2 to 2" in found[0].message
    assert await scenario.usage() == before


async def test_dropped_last_records_are_found_by_the_peer(scenario: scenario_module.Scenario) -> None:
    """Guards against removal of the last records of a chain, which the hash chain alone cannot detect."""
    await run(scenario, 8)
    for sequence in range(3, 9):
        scenario.log.drop("agent", sequence)
    found = await scenario.audit()
    assert kinds(found) == {Kind.MISSING}
    assert found[0].process.startswith("agent")


async def test_repeated_records_are_told_from_conflicting_ones(scenario: scenario_module.Scenario) -> None:
    """Guards against reporting a late repetition as fraud, and against accepting another version of an old record."""
    await run(scenario, 6)
    second = scenario.log.records[scenario.log.find("agent", 2)]
    scenario.log.records.append(second)
    assert await scenario.audit() == []
    record, _ = account_record.AccountRecord.decode(second)
    scenario.log.records.append(record.model_copy(update={"at_s": record.at_s + 1}).encode())
    assert kinds(await scenario.audit()) == {Kind.CONFLICTING}
    scenario.log.drop("agent", 3)
    scenario.log.records.append(record.model_copy(update={"sequence": 3}).encode())
    assert kinds(await scenario.audit()) == {Kind.CONFLICTING, Kind.DROPPED, Kind.BROKEN_CHAIN}


async def test_edited_record_is_found_and_not_used(scenario: scenario_module.Scenario) -> None:
    """Guards against billing a modified record."""
    await run(scenario)
    before = await scenario.usage()
    scenario.log.edit("entry", 3, rows=[["tasks_sent", "cheese", "", 10_000]])
    found = await scenario.audit()
    assert kinds(found) == {Kind.EDITED}
    assert found[0].process.startswith("entry")
    assert (await scenario.usage()).starts == before.starts


async def test_edited_record_with_a_new_hash_breaks_the_chain(scenario: scenario_module.Scenario) -> None:
    """Guards against a modified record whose hash was recomputed."""
    await run(scenario)
    offset = scenario.log.find("entry", 2)
    record, _ = account_record.AccountRecord.decode(scenario.log.records[offset])
    scenario.log.records[offset] = record.model_copy(update={"at_s": record.at_s + 1}).encode()
    assert kinds(await scenario.audit()) == {Kind.BROKEN_CHAIN}


@pytest.mark.parametrize("interval_s", [10.0, 120.0])
@pytest.mark.parametrize("killed", ["entry", "agent"])
async def test_killed_process_loses_at_most_what_its_peer_recorded(
    monkeypatch: pytest.MonkeyPatch, killed: str, interval_s: float
) -> None:
    """Guards against unbounded loss, and against reporting a killed process as fraud, at different intervals."""
    scenario = scenario_module.Scenario(monkeypatch, interval_s)
    await run(scenario)
    scenario.run_tasks(7)
    survivor = scenario.agent if killed == "entry" else scenario.entry
    for _ in range(20):
        await scenario.append(survivor)
    await scenario.stop(survivor)
    found = await scenario.audit()
    assert kinds(found) == {Kind.UNFINISHED}
    assert {finding.process.split()[0] for finding in found} == {killed}
    assert any("7 starts" in finding.message for finding in found)
    assert all("killed" in finding.explanation for finding in found)
    assert (await scenario.usage()).starts == 27


async def test_process_killed_before_its_first_append_is_named_with_the_bound(
    scenario: scenario_module.Scenario,
) -> None:
    """Guards against silently accepting starts that only one side recorded."""
    scenario.run_tasks(7)
    await scenario.append(scenario.entry)
    found = await scenario.audit()
    assert kinds(found) == {Kind.UNFINISHED}
    assert found[0].process == "agent (agent-incarnation)"
    assert found[0].message.startswith("7 starts appear only in the records of entry")


async def test_acknowledged_starts_cannot_be_missing_at_a_planned_stop(scenario: scenario_module.Scenario) -> None:
    """Guards against an agent that hides starts that it acknowledged."""
    await run(scenario)
    await scenario.stop(scenario.agent)
    scenario.entry.account.count_assign(9, 30)
    await scenario.append(scenario.entry)
    assert kinds(await scenario.audit()) == {Kind.IMPOSSIBLE}


@pytest.mark.parametrize("replies_lost", [True, False])
async def test_log_outage_loses_and_doubles_nothing(scenario: scenario_module.Scenario, replies_lost: bool) -> None:
    """Guards against wrong totals or a broken chain after lost, repeated and late appends."""
    await run(scenario, 2)
    scenario.log.faults = memory_log.LogFaults(unavailable=not replies_lost, lose_replies=1000 if replies_lost else 0)
    await run(scenario, 5)
    scenario.log.faults = memory_log.LogFaults()
    await run(scenario, 2)
    await scenario.stop()
    assert await scenario.audit() == []
    used = await scenario.usage()
    assert (used.starts, used.slot_seconds, used.task_messages) == (45, 4.5, 18)
    ledger = await accounting.AccountLedger.read(scenario.log)
    names = {row.name for chain in ledger.chains.values() for row in chain.last.rows}
    assert names == {"tasks_sent", "tasks_started", "slot_seconds"}


async def test_stop_during_an_outage_is_bounded_and_explained(
    scenario: scenario_module.Scenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a planned stop that waits for the log forever, and against reporting the loss as fraud."""
    monkeypatch.setattr("cactusgauge.accounting.account_writer.CLOSE_TIMEOUT_S", 0.01)
    await run(scenario)
    scenario.log.faults = memory_log.LogFaults(unavailable=True)
    scenario.run_tasks(4)
    await scenario.stop(scenario.agent)
    scenario.now_s += 600
    scenario.log.faults = memory_log.LogFaults()
    await scenario.append(scenario.entry)
    found = await scenario.audit()
    assert kinds(found) == {Kind.UNFINISHED}
    assert "the log was down" in found[0].explanation


async def test_process_killed_at_the_end_of_an_outage_is_explained(scenario: scenario_module.Scenario) -> None:
    """Guards against treating records delayed by an outage as evidence that there was no outage."""
    await run(scenario)
    scenario.log.faults = memory_log.LogFaults(unavailable=True)
    await scenario.append(scenario.agent)
    await run(scenario, 6)
    scenario.log.faults = memory_log.LogFaults()
    await scenario.agent.writer._append_pending()
    for _ in range(3):
        await scenario.append(scenario.entry)
    found = await scenario.audit()
    assert kinds(found) == {Kind.UNFINISHED}
    assert all("the log was down" in finding.explanation for finding in found)


async def test_trimmed_records_leave_a_bound_instead_of_a_wrong_bill(scenario: scenario_module.Scenario) -> None:
    """Guards against billing a period from its start when the first records have been trimmed."""
    await run(scenario, 6)
    scenario.log.trim(accounting.STREAM, 6)
    await run(scenario, 1)
    found = await scenario.audit()
    assert kinds(found) == {Kind.TRIMMED}
    assert {finding.process.split()[0] for finding in found} == {"entry", "agent"}
    used = await scenario.usage()
    assert (used.starts, used.unverified_starts) == (15, 20)


async def test_consecutive_periods_add_up(scenario: scenario_module.Scenario) -> None:
    """Guards against billing usage at the boundary of two periods twice or not at all."""
    await run(scenario, 6)
    whole = await scenario.usage()
    parts = [await scenario.usage(0, 1025), await scenario.usage(1025, 1045), await scenario.usage(1045, 1e12)]
    assert [part.starts for part in parts] == [10, 10, 10]
    assert sum(part.starts for part in parts) == whole.starts
    assert sum(part.task_messages for part in parts) == whole.task_messages == 12
