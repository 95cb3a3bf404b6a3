import random
from typing import Any

import pytest

from cactusgauge import accounting
from emulator import memory_log
from tests.unit.accounting import world as world_module

Kind = accounting.FindingKind
STEP_S = 0.5
INTERVAL_S = 10.0
SLOTS = 8


async def run(world: world_module.World, rounds: int, count: int = 5) -> None:
    for _ in range(rounds):
        world.run_tasks(count)
        await world.append()
        await world.append_report()


@pytest.mark.parametrize("in_rows", [True, False])
async def test_consistently_inflated_books_are_found_by_the_third_account(
    world: world_module.World, in_rows: bool
) -> None:
    """Guards against an entry and an agent of one owner that agree on starts which no worker ran."""
    await world.append_report()
    await run(world, 4)
    world.entry.inflated_starts = world.agent.inflated_starts = 50
    world.agent.inflates_rows = in_rows
    await run(world, 4)
    assert await world.audit() == []
    found = [finding for finding in await world.audit_worker() if not finding.kind.is_open]
    assert [finding.kind for finding in found] == [Kind.OVERCLAIMED]
    assert found[0].process.split()[0] == "agent"
    assert found[0].peer == "usage report"
    assert found[0].to_s is not None


async def test_lagging_reports_are_no_finding(world: world_module.World) -> None:
    """Guards against the lag of the reports, or a worker's restart, being taken for fraud."""
    late = [world.report()]
    await world.append_report(late.pop())
    for number in range(12):
        world.run_tasks(5)
        await world.append()
        late.append(world.report(final=number == 6))
        if number == 6:
            world.kill_server()
            late.append(world.report())
        if len(late) > 3:
            await world.append_report(late.pop(0))
        assert await world.audit_worker() == []


@pytest.mark.parametrize("clock_s", [4.0, -4.0])
async def test_clocks_that_differ_within_the_slack_are_no_violation(world: world_module.World, clock_s: float) -> None:
    """Guards against a comparison with a report that only seems to be later, or earlier, than a record."""
    world.worker_clock_s = clock_s
    await world.append_report()
    await run(world, 4)
    if clock_s > 0:
        await world.append_report()
        world.run_tasks(30)
    world.now_s += 3 - world.interval_s
    await world.append()
    if clock_s < 0:
        world.run_tasks(30)
        await world.append_report()
    for _ in range(8):
        await world.append()
    assert await world.audit_worker() == []


async def test_starts_of_a_killed_server_are_bounded(world: world_module.World) -> None:
    """Guards against honest claims being a violation when the worker was killed before its last report."""
    await world.append_report()
    await run(world, 4)
    world.run_tasks(30)
    world.kill_server()
    await world.append()
    await run(world, 4)
    found = await world.audit_worker()
    assert {finding.kind for finding in found} == {Kind.UNCONFIRMED}
    assert all(finding.explanation for finding in found)


async def test_killed_agent_explains_a_bounded_amount(world: world_module.World) -> None:
    """Guards against a kill being taken for fraud, and against it explaining whatever the worker ran later."""
    await world.append_report()
    await run(world, 4)
    world.run_tasks(30)
    for _ in range(12):
        await world.append(world.entry)
        await world.append_report()
    found = await world.audit_worker()
    assert Kind.UNCONFIRMED in {finding.kind for finding in found}
    assert all(finding.kind.is_open for finding in found)
    world.run_tasks(30)
    for _ in range(12):
        await world.append(world.entry)
        await world.append_report()
    found = await world.audit_worker()
    assert Kind.UNACCOUNTED in {finding.kind for finding in found}
    assert all(1000 <= (finding.from_s or 1000) <= (finding.to_s or 0) <= world.now_s for finding in found)


async def test_record_that_is_no_report_is_found(world: world_module.World) -> None:
    """Guards against an audit that fails on, or overlooks, what else stands in the stream."""
    await world.log.append(accounting.REPORT_STREAM, b"{}")
    assert [finding.kind for finding in await world.audit_worker()] == [Kind.MALFORMED]


class Run:
    """Honest books of a worker, an agent and an entry under kills, lost starts, an outage and differing clocks."""

    def __init__(self, seed: int) -> None:
        self.log = memory_log.MemoryLog()
        self._random = random.Random(seed)
        self._worker_clock_s = self._random.uniform(-4, 4)
        self._lag_s = self._random.uniform(0, 40)
        self._now_s = 0.0
        self._outage_s = self._random.uniform(0, 200), self._random.uniform(0, 60)
        self._waiting: list[accounting.UsageReport] = []
        self._running: list[tuple[float, float]] = []
        self._pairs: dict[str, int] = {}
        self._records: dict[str, accounting.AccountRecord] = {}
        self._due: dict[str, accounting.AccountRecord] = {}
        self._next_s = {name: self._random.uniform(0, INTERVAL_S) for name in ("agent", "entry", "server")}
        self._agent_up_s = self._server_up_s = 0.0
        self._begin_agent()
        self._begin_server()

    def step(self) -> None:
        """Let STEP_S pass."""
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
        self._due.pop("agent", None)

    def _begin_server(self) -> None:
        self._server: dict[str, Any] = {"incarnation": f"server at {self._now_s}", "starts": 0, "slot_seconds": 0.0}
        self._sequence = 0
        self._report()

    def _start_tasks(self) -> None:
        for _ in range(SLOTS - len(self._running)):
            self._pairs[self._incarnation] = self._pairs.get(self._incarnation, 0) + 1
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
            if self._now_s >= self._next_s[name]:
                self._next_s[name] += INTERVAL_S
                if name == "server":
                    self._report()
                elif name == "entry" or self._now_s >= self._agent_up_s:
                    self._due.setdefault(name, self._record(name))
        if self._outage_s[0] <= self._now_s < sum(self._outage_s):
            return
        for record in self._due.values():
            self._records[record.incarnation] = record
            self.log.append_without_faults(accounting.STREAM, record.encode())
        self._due = {}
        while self._waiting and self._waiting[0].to_s + self._lag_s <= self._now_s:
            self.log.append_without_faults(accounting.REPORT_STREAM, self._waiting.pop(0).encode())

    def _report(self) -> None:
        self._sequence += 1
        to_s = self._now_s + self._worker_clock_s
        self._waiting.append(
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
            for peer, starts in self._pairs.items()
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


# In run 1104 an agent is killed at the end of an outage, before it caught up; in run 1234 another one before its first
# append, when the entry's account is not on the log either.
@pytest.mark.parametrize("seed", [*range(20), 1104, 1234])
async def test_faults_alone_are_never_a_violation(seed: int) -> None:
    """Guards against bounds that kills, an outage of the log, lag or clocks within the slack can break."""
    books = Run(seed)
    for step in range(1, 801):
        books.step()
        if step % 20 == 0:
            book = await accounting.AccountBook.read(books.log)
            assert book.findings == []
            found = accounting.WorkerAudit(book, await accounting.ReportBook.read(books.log)).findings
            assert [finding for finding in found if not finding.kind.is_open] == []
