import random
from typing import Any

import pytest

from cactusgauge import accounting
from emulator import memory_log
from tests.unit.accounting import scenario as scenario_module

Kind = accounting.FindingKind
STEP_S = 0.5
INTERVAL_S = 10.0
SLOTS = 8


async def run(scenario: scenario_module.Scenario, rounds: int, count: int = 5) -> None:
    for _ in range(rounds):
        scenario.run_tasks(count)
        await scenario.append()
        await scenario.append_report()


@pytest.mark.parametrize("in_rows", [True, False])
async def test_matching_inflated_accounts_are_found_by_usage_reports(
    scenario: scenario_module.Scenario, in_rows: bool
) -> None:
    """Guards against an entry and an agent of one owner that both record starts which no worker ran."""
    await scenario.append_report()
    await run(scenario, 4)
    scenario.entry.inflated_starts = scenario.agent.inflated_starts = 50
    scenario.agent.inflates_rows = in_rows
    await run(scenario, 4)
    assert await scenario.audit() == []
    found = [finding for finding in await scenario.audit_worker() if not finding.kind.is_open]
    assert [finding.kind for finding in found] == [Kind.OVERCLAIMED]
    assert found[0].process.split()[0] == "agent"
    assert found[0].peer == "usage report"
    assert found[0].to_s is not None


async def test_lagging_reports_are_no_finding(scenario: scenario_module.Scenario) -> None:
    """Guards against reporting lagging reports, or the restart of a backend server, as fraud."""
    delayed = [scenario.report()]
    await scenario.append_report(delayed.pop())
    for number in range(12):
        scenario.run_tasks(5)
        await scenario.append()
        delayed.append(scenario.report(final=number == 6))
        if number == 6:
            scenario.kill_server()
            delayed.append(scenario.report())
        if len(delayed) > 3:
            await scenario.append_report(delayed.pop(0))
        assert await scenario.audit_worker() == []


@pytest.mark.parametrize("clock_offset_s", [4.0, -4.0])
async def test_clocks_that_differ_within_the_allowed_skew_are_no_violation(
    scenario: scenario_module.Scenario, clock_offset_s: float
) -> None:
    """Guards against comparing a record with a report that appears later or earlier only because of clock skew."""
    scenario.worker_clock_offset_s = clock_offset_s
    await scenario.append_report()
    await run(scenario, 4)
    if clock_offset_s > 0:
        await scenario.append_report()
        scenario.run_tasks(30)
    scenario.now_s += 3 - scenario.interval_s
    await scenario.append()
    if clock_offset_s < 0:
        scenario.run_tasks(30)
        await scenario.append_report()
    for _ in range(8):
        await scenario.append()
    assert await scenario.audit_worker() == []


async def test_starts_of_a_killed_server_are_bounded(scenario: scenario_module.Scenario) -> None:
    """Guards against reporting correct records as a violation when the server was killed before its last report."""
    await scenario.append_report()
    await run(scenario, 4)
    scenario.run_tasks(30)
    scenario.kill_server()
    await scenario.append()
    await run(scenario, 4)
    found = await scenario.audit_worker()
    assert {finding.kind for finding in found} == {Kind.UNCONFIRMED}
    assert all(finding.explanation for finding in found)


async def test_killed_agent_explains_a_bounded_amount(scenario: scenario_module.Scenario) -> None:
    """Guards against reporting a killed agent as fraud, and against accepting any later starts because of it."""
    await scenario.append_report()
    await run(scenario, 4)
    scenario.run_tasks(30)
    for _ in range(12):
        await scenario.append(scenario.entry)
        await scenario.append_report()
    found = await scenario.audit_worker()
    assert Kind.UNCONFIRMED in {finding.kind for finding in found}
    assert all(finding.kind.is_open for finding in found)
    scenario.run_tasks(30)
    for _ in range(12):
        await scenario.append(scenario.entry)
        await scenario.append_report()
    found = await scenario.audit_worker()
    assert Kind.UNACCOUNTED in {finding.kind for finding in found}
    assert all(1000 <= (finding.from_s or 1000) <= (finding.to_s or 0) <= scenario.now_s for finding in found)


async def test_record_that_is_no_report_is_found(scenario: scenario_module.Scenario) -> None:
    """Guards against an audit that fails on, or ignores, an invalid record in the stream."""
    await scenario.log.append(accounting.REPORT_STREAM, b"{}")
    assert [finding.kind for finding in await scenario.audit_worker()] == [Kind.MALFORMED]


class FaultSimulation:
    """Correct records of a worker, an agent and an entry under kills, lost starts, an outage and clock skew."""

    def __init__(self, seed: int) -> None:
        self.log = memory_log.MemoryLog()
        self._random = random.Random(seed)
        self._worker_clock_offset_s = self._random.uniform(-4, 4)
        self._lag_s = self._random.uniform(0, 40)
        self._now_s = 0.0
        self._outage_s = self._random.uniform(0, 200), self._random.uniform(0, 60)
        self._unsent_reports: list[accounting.UsageReport] = []
        self._running: list[tuple[float, float]] = []
        self._starts_by_incarnation: dict[str, int] = {}
        self._records: dict[str, accounting.AccountRecord] = {}
        self._pending_records: dict[str, accounting.AccountRecord] = {}
        self._next_append_s = {name: self._random.uniform(0, INTERVAL_S) for name in ("agent", "entry", "server")}
        self._agent_up_s = self._server_up_s = 0.0
        self._begin_agent()
        self._begin_server()

    def step(self) -> None:
        """Advance time by STEP_S."""
        self._now_s += STEP_S
        self._end_tasks()
        if self._random.random() < 0.004:
            self._agent_up_s = self._now_s + self._random.uniform(0, 60)
            self._running = []
            self._begin_agent()
        if self._random.random() < 0.004:
            self._server_up_s = self._now_s + self._random.uniform(0, 10)
            self._agent["tasks_started"] += len(self._running)
            self._agent["tasks_unknown"] += len(self._running)
            self._running = []
            self._begin_server()
        if self._now_s >= max(self._agent_up_s, self._server_up_s) and self._now_s % 60 < 40:
            self._start_tasks()
        self._append()

    def _begin_agent(self) -> None:
        self._incarnation = f"agent at {self._now_s}"
        self._agent: dict[str, float] = {"tasks_started": 0, "tasks_unknown": 0, "slot_seconds": 0}
        self._pending_records.pop("agent", None)

    def _begin_server(self) -> None:
        self._server: dict[str, Any] = {"incarnation": f"server at {self._now_s}", "starts": 0, "slot_seconds": 0.0}
        self._sequence = 0
        self._report()

    def _start_tasks(self) -> None:
        for _ in range(SLOTS - len(self._running)):
            self._starts_by_incarnation[self._incarnation] = self._starts_by_incarnation.get(self._incarnation, 0) + 1
            if self._random.random() < 0.02:
                self._agent["tasks_started"] += 1
                self._agent["tasks_unknown"] += 1
                continue
            self._server["starts"] += 1
            self._running.append((self._now_s, self._now_s + self._random.choice((0.5, 1, 20))))

    def _end_tasks(self) -> None:
        for began_s, _ in [task for task in self._running if task[1] <= self._now_s]:
            self._server["slot_seconds"] += self._now_s - began_s
            self._agent["slot_seconds"] += self._now_s - began_s
            self._agent["tasks_started"] += 1
        self._running = [task for task in self._running if task[1] > self._now_s]

    def _append(self) -> None:
        for name in ("agent", "entry", "server"):
            if self._now_s >= self._next_append_s[name]:
                self._next_append_s[name] += INTERVAL_S
                if name == "server":
                    self._report()
                elif name == "entry" or self._now_s >= self._agent_up_s:
                    self._pending_records.setdefault(name, self._record(name))
        if self._outage_s[0] <= self._now_s < sum(self._outage_s):
            return
        for record in self._pending_records.values():
            self._records[record.incarnation] = record
            self.log.append_without_faults(accounting.STREAM, record.encode())
        self._pending_records = {}
        while self._unsent_reports and self._unsent_reports[0].to_s + self._lag_s <= self._now_s:
            self.log.append_without_faults(accounting.REPORT_STREAM, self._unsent_reports.pop(0).encode())

    def _report(self) -> None:
        self._sequence += 1
        to_s = self._now_s + self._worker_clock_offset_s
        self._unsent_reports.append(
            accounting.UsageReport(
                worker="agent",
                workspace="cheese",
                sequence=self._sequence,
                to_s=to_s,
                slots=SLOTS,
                final=False,
                **self._server,
            )
        )

    def _record(self, name: str) -> accounting.AccountRecord:
        incarnation = self._incarnation if name == "agent" else name
        before = self._records.get(incarnation)
        pairs = [
            accounting.PairAccount().totals(peer, "agent", "cheese")._replace(starts=starts)
            for peer, starts in self._starts_by_incarnation.items()
        ]
        rows = [accounting.CounterRow(key, "cheese", "", value) for key, value in self._agent.items()]
        return accounting.AccountRecord(
            process=name,
            role=name,
            incarnation=incarnation,
            sequence=before.sequence + 1 if before else 1,
            previous=before.hash if before else "",
            at_s=self._now_s,
            interval_s=INTERVAL_S,
            final=False,
            rows=rows if name == "agent" else [],
            pairs=pairs if name == "entry" else [],
        )


# With seed 1104, an agent is killed at the end of an outage, before it has caught up. With seed 1234, one is killed
# before its first append, while the entry's record is not on the log either.
@pytest.mark.parametrize("seed", [*range(20), 1104, 1234])
async def test_faults_alone_are_never_a_violation(seed: int) -> None:
    """Guards against bounds that kills, a log outage, report lag or tolerated clock skew can violate."""
    simulation = FaultSimulation(seed)
    for step in range(1, 801):
        simulation.step()
        if step % 20 == 0:
            ledger = await accounting.AccountLedger.read(simulation.log)
            assert ledger.findings == []
            found = accounting.WorkerAudit(ledger, await accounting.ReportLedger.read(simulation.log)).findings
            assert [finding for finding in found if not finding.kind.is_open] == []
