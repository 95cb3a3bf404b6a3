"""Structured log on standard output, rate-limited and non-blocking."""

import asyncio
import collections
import json
import os
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge.observability import counters as counters_module

FieldValue = str | float | list[str]
MAX_LINES_PER_SECOND = 25  # per event name; with the usual mix of events a process writes at most 20 KB/s
MAX_PENDING_BYTES = 256 * 1024  # buffered while the reader of standard output is too slow
FLUSH_DELAY_S = 0.2
STDOUT_DESCRIPTOR = 1


class Journal:
    """Writes one JSON object per line; lines above the rate limit of an event are counted and suppressed.

    A slow reader never delays requests: up to MAX_PENDING_BYTES that the pipe does not accept are buffered, and lines
    beyond that are dropped and their bytes counted.
    """

    def __init__(self, process: str, counters: "counters_module.Counters", descriptor: int = STDOUT_DESCRIPTOR) -> None:
        self._process = process
        self._counters = counters
        self._descriptor = descriptor
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._lines_this_second: collections.Counter[str] = collections.Counter()
        self._suppressed: collections.Counter[str] = collections.Counter()
        self._current_second = 0
        self._flush_scheduled = False

    def log_event(self, event: str, **fields: FieldValue) -> None:
        """Log an event, subject to the rate limit for events of that name."""
        self._counters.add("journal_events", "", event)
        second = int(asyncio.get_running_loop().time())
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second.clear()
            self._log_suppressed()
        if self._lines_this_second[event] >= MAX_LINES_PER_SECOND:
            self._suppressed[event] += 1
            return
        self._lines_this_second[event] += 1
        self._append(event, fields)

    def record_state(self, event: str, **fields: FieldValue) -> None:
        """Log a state change as `log_event` does; `EventRing` has a method of the same name, so either can be used."""
        self.log_event(event, **fields)

    def flush(self) -> None:
        """Write as much as the output accepts without blocking."""
        self._flush_scheduled = False
        os.set_blocking(self._descriptor, False)
        while self._pending:
            data = b"".join(self._pending)
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                break
            except OSError:
                # The output is closed, so the pending lines are dropped.
                written = len(data)
                self._counters.add("journal_bytes_lost", "", "closed", written)
            self._pending.clear()
            self._pending_bytes = len(data) - written
            if written < len(data):
                self._pending.append(data[written:])
                break
        if self._pending:
            self._schedule_flush()

    def _log_suppressed(self) -> None:
        suppressed, self._suppressed = self._suppressed, collections.Counter()
        for event, count in suppressed.items():
            self._counters.add("journal_lines_left_out", "", event, count)
            self._append("lines_left_out", {"of": event, "count": count})

    def _append(self, event: str, fields: dict[str, FieldValue]) -> None:
        now = asyncio.get_running_loop().time()
        # `t` is the event loop's monotonic time and `wall` Unix time, both in seconds.
        line = {"t": round(now, 3), "wall": round(time.time(), 3), "process": self._process, "event": event, **fields}
        data = json.dumps(line, separators=(",", ":")).encode() + b"\n"
        if self._pending_bytes + len(data) > MAX_PENDING_BYTES:
            self._counters.add("journal_bytes_lost", "", "full", len(data))
            return
        self._pending.append(data)
        self._pending_bytes += len(data)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_later(FLUSH_DELAY_S, self.flush)
