"""Appends a process's accounting records to the log."""

import asyncio
import contextlib
import random
import time
from typing import TYPE_CHECKING, NamedTuple, Self

from cactusgauge import exceptions
from cactusgauge.accounting import account_record

if TYPE_CHECKING:
    from collections import abc
    from types import TracebackType

    from cactusgauge import log_service, observability
    from cactusgauge.accounting import pair_account

DEFAULT_INTERVAL_S = 10.0  # 600 processes make 60 appends/s; the log accepts several hundred
CLOSE_TIMEOUT_S = 5.0  # maximum wait for an unavailable log at a planned stop
CLOSE_RETRY_DELAY_S = 0.5


class Snapshot(NamedTuple):
    """The cumulative counts of a process at one point in time; `rows` hold name, workspace, label and value."""

    rows: "list[tuple[str, str, str, float]]"
    pairs: "list[pair_account.PairTotals]"


class AccountWriter:
    """Appends a record every interval and a final one at a planned stop; does nothing without a log.

    A failed append is retried with the same record before a new one is made, so an outage leaves no gap in the chain.
    A record that is appended twice has the same sequence number and counts once. `snapshot` returns the current
    counts, and `events` receives the state changes of the writer.
    """

    def __init__(
        self,
        log: "log_service.LogService | None",
        process: str,
        role: str,
        incarnation: str,
        snapshot: "abc.Callable[[], Snapshot]",
        events: "observability.EventRing | observability.Journal",
        interval_s: float = DEFAULT_INTERVAL_S,
        close_timeout_s: float = CLOSE_TIMEOUT_S,
    ) -> None:
        self._log = log
        self._process = process
        self._role = role
        self._incarnation = incarnation
        self._snapshot = snapshot
        self._events = events
        self._interval_s = interval_s
        self._close_timeout_s = close_timeout_s
        # Sequence number and hash of the last record that the log accepted.
        self._sequence = 0
        self._previous = ""
        self._pending: account_record.AccountRecord | None = None
        self._append_lock = asyncio.Lock()
        self._is_log_available = True
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        if self._log is not None:
            self._task = asyncio.create_task(self.run())
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: "TracebackType | None"
    ) -> None:
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        if error is None:
            await self.close()

    async def run(self) -> None:
        """Append a record every interval until cancelled."""
        # Random initial delay, so that processes started together do not append at the same time.
        await asyncio.sleep(random.uniform(0, self._interval_s))
        while True:
            await self._append(final=False)
            await asyncio.sleep(self._interval_s)

    async def close(self) -> None:
        """Append the final record, retrying until the close timeout."""
        done = False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._close_timeout_s):
                while not done:
                    done = await self._append(final=True)
                    if not done:
                        await asyncio.sleep(CLOSE_RETRY_DELAY_S)
        if not done:
            self._events.record_state("accounting_incomplete", last_sequence=self._sequence)

    async def _append(self, final: bool) -> bool:
        """Append the pending record, if any, and a new one; return whether the new one was appended."""
        async with self._append_lock:
            if self._pending is not None and not await self._append_pending():
                return False
            self._pending = self._next_record(final)
            return await self._append_pending()

    async def _append_pending(self) -> bool:
        assert self._pending is not None
        assert self._log is not None
        try:
            await self._log.append(account_record.STREAM, self._pending.encode())
        except exceptions.LogServiceError:
            self._set_log_available(False)
            return False
        self._set_log_available(True)
        self._sequence = self._pending.sequence
        self._previous = self._pending.hash
        self._pending = None
        return True

    def _next_record(self, final: bool) -> account_record.AccountRecord:
        snapshot = self._snapshot()
        return account_record.AccountRecord(
            process=self._process,
            role=self._role,
            incarnation=self._incarnation,
            sequence=self._sequence + 1,
            previous=self._previous,
            at_s=time.time(),
            interval_s=self._interval_s,
            final=final,
            rows=[
                account_record.CounterRow(*row) for row in snapshot.rows if row[0] in account_record.ACCOUNTED_COUNTERS
            ],
            pairs=snapshot.pairs,
        )

    def _set_log_available(self, available: bool) -> None:
        if available != self._is_log_available:
            self._is_log_available = available
            self._events.record_state("accounting_log_available", available=available)
