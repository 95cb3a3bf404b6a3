"""An entry, an agent and a log, with time under the control of the test."""

import json
from typing import Any

import pytest

from cactusgauge import accounting, exceptions, observability, wire

INTERVAL_S = 10.0


class MemoryLog:
    """The accounting stream, with outages, lost replies and retention."""

    def __init__(self) -> None:
        self.entries: list[accounting.LogEntry] = []
        self.is_down = False
        self.loses_replies = False

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record."""
        if self.is_down:
            raise exceptions.LogServiceError("down")
        offset = self.entries[-1].offset + 1 if self.entries else 0
        self.entries.append(accounting.LogEntry(offset, data))
        if self.loses_replies:
            raise exceptions.LogServiceError("reply lost")
        return offset

    async def read_from(self, stream: str, offset: int) -> list[accounting.LogEntry]:
        """Return two entries at a time."""
        return [entry for entry in self.entries if entry.offset >= offset][:2]

    def edit(self, process: str, sequence: int, **changes: Any) -> None:
        """Change a record and leave its hash."""
        for index, entry in enumerate(self.entries):
            document = json.loads(entry.data)
            if (document["record"]["process"], document["record"]["sequence"]) == (process, sequence):
                document["record"].update(changes)
                self.entries[index] = entry._replace(data=json.dumps(document).encode())

    def drop(self, process: str, sequence: int) -> None:
        """Remove a record."""
        self.entries = [
            entry
            for entry in self.entries
            if (lambda record: (record["process"], record["sequence"]) != (process, sequence))(
                json.loads(entry.data)["record"]
            )
        ]


class Process:
    """One side with its writer."""

    def __init__(self, world: "World", name: str, role: str, peer: str) -> None:
        self.account = accounting.PairAccount()
        self.inflated_starts = 0
        self._peer = peer
        events = observability.EventRing(name)
        incarnation = f"{name}-incarnation"
        self.writer = accounting.AccountWriter(world.log, name, role, incarnation, self._snapshot, events, INTERVAL_S)

    def _snapshot(self) -> accounting.Snapshot:
        totals = self.account.totals(f"{self._peer}-incarnation", self._peer, "cheese")
        totals = totals._replace(starts=totals.starts + self.inflated_starts)
        return accounting.Snapshot(
            [("tasks_sent", "cheese", "", totals.starts), ("jobs_complete", "", "", 9)], [totals]
        )


class World:
    """One entry and one agent that exchange messages and append records."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.now_s = 1000.0
        patch.setattr("time.time", lambda: self.now_s)
        self.log = MemoryLog()
        self.entry = Process(self, "entry", "entry", "agent")
        self.agent = Process(self, "agent", "agent", "entry")
        self._number = 0

    def run_tasks(self, count: int, run_ms: float = 100.0, acknowledged: bool = True) -> None:
        """Run tasks in one assign and one results message."""
        self._number += 1
        outcomes = [wire.Outcome("s", 1, task, "completed", "", b"", run_ms) for task in range(count)]  # type: ignore[arg-type]
        self.agent.account.count_assign(self._number, count)
        if acknowledged:
            self.entry.account.count_assign(self._number, count)
            self.entry.account.count_results(self._number, outcomes)
            self.agent.account.count_results(self._number, outcomes)

    async def append(self, *processes: Process) -> None:
        """Let an interval pass and append the record of each process."""
        self.now_s += INTERVAL_S
        for process in processes or (self.entry, self.agent):
            await process.writer._append(final=False)

    async def stop(self, *processes: Process) -> None:
        """Stop processes as planned."""
        for process in processes or (self.entry, self.agent):
            await process.writer.close()

    async def audit(self) -> list[accounting.Finding]:
        """Audit what is on the log."""
        return accounting.Audit(await accounting.AccountBook.read(self.log)).findings

    async def usage(self, from_s: float = 0.0, to_s: float = 1e12) -> accounting.WorkspaceUsage:
        """Return the usage of the workspace."""
        book = await accounting.AccountBook.read(self.log)
        return accounting.Usage(book, from_s, to_s).by_workspace()["cheese"]
