"""Test scenario with an entry, an agent and a log, in simulated time."""

import json
from typing import Any

import pytest

from cactusgauge import accounting, observability, wire
from emulator import memory_log

INTERVAL_S = 10.0


class EditableLog(memory_log.MemoryLog):
    """An emulated log whose accounting records can be modified."""

    @property
    def records(self) -> list[bytes]:
        """The records of the accounting stream."""
        return self._streams.setdefault(accounting.STREAM, [])

    def find(self, process: str, sequence: int) -> int:
        """Return the offset of a record."""
        for offset, data in enumerate(self.records):
            record = json.loads(data)["record"]
            if (record["process"], record["sequence"]) == (process, sequence):
                return offset
        raise AssertionError(f"no record {sequence} of {process}")

    def edit(self, process: str, sequence: int, **changes: Any) -> None:
        """Modify a record without updating its hash."""
        offset = self.find(process, sequence)
        document = json.loads(self.records[offset])
        document["record"].update(changes)
        self.records[offset] = json.dumps(document).encode()

    def drop(self, process: str, sequence: int) -> None:
        """Remove a record."""
        del self.records[self.find(process, sequence)]


class Process:
    """An entry or agent with its account writer; it can be made to record more starts than took place."""

    def __init__(self, scenario: "Scenario", name: str, role: str, peer: str) -> None:
        self.account = accounting.PairAccount()
        self.inflated_starts = 0
        self.inflates_rows = True
        self._role = role
        self._peer = peer
        events = observability.EventRing(name)
        incarnation = f"{name}-incarnation"
        self.writer = accounting.AccountWriter(
            scenario.log, name, role, incarnation, self._snapshot, events, scenario.interval_s
        )

    def _snapshot(self) -> accounting.Snapshot:
        totals = self.account.totals(f"{self._peer}-incarnation", self._peer, "cheese")
        extra = self.inflated_starts
        run_us = totals.run_us + extra * 100_000
        totals = totals._replace(starts=totals.starts + extra, outcomes=totals.outcomes + extra, run_us=run_us)
        rows: list[tuple[str, str, str, float]] = [
            ("tasks_sent", "cheese", "", totals.starts),
            ("jobs_complete", "", "", 9),
        ]
        if self._role == "agent":
            started = totals.starts - (0 if self.inflates_rows else extra)
            rows += [("tasks_started", "cheese", "", started), ("slot_seconds", "cheese", "", run_us / 1e6)]
        return accounting.Snapshot(rows, [totals])


class Scenario:
    """One entry and one agent that exchange messages and append records."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, interval_s: float = INTERVAL_S) -> None:
        self.interval_s = interval_s
        self.now_s = 1000.0
        monkeypatch.setattr("time.time", lambda: self.now_s)
        self.log = EditableLog()
        self.entry = Process(self, "entry", "entry", "agent")
        self.agent = Process(self, "agent", "agent", "entry")
        self.server = "server-incarnation"
        self.worker_clock_offset_s = 0.0
        self._number = 0
        self._reports: dict[str, accounting.UsageReport] = {}
        self._worker_starts = 0

    def run_tasks(self, count: int, run_ms: float = 100.0, acknowledged: bool = True) -> None:
        """Count tasks as run, with one assign and one results message."""
        self._number += 1
        self._worker_starts += count
        outcomes = [wire.Outcome("s", 1, task, "completed", "", b"", run_ms) for task in range(count)]  # type: ignore[arg-type]
        self.agent.account.count_assign(self._number, count)
        if acknowledged:
            self.entry.account.count_assign(self._number, count)
            self.entry.account.count_results(self._number, outcomes)
            self.agent.account.count_results(self._number, outcomes)

    async def append(self, *processes: Process) -> None:
        """Advance time by one interval and append a record of each process."""
        self.now_s += self.interval_s
        for process in processes or (self.entry, self.agent):
            await process.writer._append(final=False)

    async def stop(self, *processes: Process) -> None:
        """Stop processes as planned."""
        for process in processes or (self.entry, self.agent):
            await process.writer.close()

    def report(self, final: bool = False) -> accounting.UsageReport:
        """Create the worker's next usage report without appending it to the log."""
        before = self._reports.get(self.server)
        starts = self._worker_starts
        self._worker_starts = 0
        self._reports[self.server] = accounting.UsageReport(
            worker="agent",
            workspace="cheese",
            incarnation=self.server,
            sequence=before.sequence + 1 if before else 1,
            to_s=self.now_s + self.worker_clock_offset_s,
            slots=8,
            starts=starts + (before.starts if before else 0),
            slot_seconds=starts * 0.1 + (before.slot_seconds if before else 0),
            final=final,
        )
        return self._reports[self.server]

    def kill_server(self) -> None:
        """Replace the worker's backend server without a final report of the old one."""
        self.server += "-next"
        self._worker_starts = 0

    async def append_report(self, report: accounting.UsageReport | None = None) -> None:
        """Append a usage report of the worker, by default one for the current time."""
        await self.log.append(accounting.REPORT_STREAM, (report or self.report()).encode())

    async def audit_worker(self) -> list[accounting.Finding]:
        """Compare the agent's records with the usage reports."""
        ledger = await accounting.AccountLedger.read(self.log)
        return accounting.WorkerAudit(ledger, await accounting.ReportLedger.read(self.log)).findings

    async def audit(self) -> list[accounting.Finding]:
        """Audit the records on the log."""
        return accounting.Audit(await accounting.AccountLedger.read(self.log)).findings

    async def usage(self, from_s: float = 0.0, to_s: float = 1e12) -> accounting.WorkspaceUsage:
        """Return the usage of the workspace."""
        ledger = await accounting.AccountLedger.read(self.log, (from_s, to_s))
        return accounting.Usage(ledger, from_s, to_s).by_workspace()["cheese"]
