"""Ring buffer of the recent events of a process, from which timelines are built."""

import asyncio
import collections
import itertools
import json
import secrets
import time
from typing import NamedTuple

from absl import logging

DEFAULT_CAPACITY = 20_000
ID_BYTES = 8


class Event(NamedTuple):
    """One event; `wall_s` is Unix time and `loop_s` the event loop's monotonic time, both in seconds."""

    number: int
    wall_s: float
    loop_s: float
    process: str
    kind: str
    fields: dict[str, str | int | float]


class EventRing:
    """Keeps the most recent events of one process, numbered from 1 without gaps.

    Each task records several events, so recording is kept cheap: it stores only the monotonic time. Reading computes
    the Unix times from the system clock at that moment, so a step of that clock does not reorder events.
    """

    def __init__(self, process: str, capacity: int = DEFAULT_CAPACITY) -> None:
        self._process = process
        self._id = secrets.token_hex(ID_BYTES)
        self._events: collections.deque[tuple[float, str, dict[str, str | int | float]]] = collections.deque(
            maxlen=capacity
        )
        self._last_number = 0

    @property
    def id(self) -> str:
        """Random id of this ring; it changes when the process restarts and event numbers begin at 1 again."""
        return self._id

    @property
    def last_number(self) -> int:
        """Number of the most recent event, 0 if there is none."""
        return self._last_number

    def record(self, kind: str, **fields: str | int | float) -> None:
        """Record an event of a task, job or message."""
        self._last_number += 1
        self._events.append((asyncio.get_running_loop().time(), kind, fields))

    def record_state(self, kind: str, **fields: str | int | float) -> None:
        """Record a state change of the process and log it as one line of JSON."""
        self.record(kind, **fields)
        logging.info("%s", json.dumps({"process": self._process, "event": kind, **fields}))

    def since(self, number: int, limit: int | None = None) -> list[Event]:
        """Return up to `limit` retained events with a number above `number`, oldest first."""
        first = self._last_number - len(self._events) + 1
        start = max(0, number + 1 - first)
        stop = None if limit is None else start + limit
        wall_offset_s = time.time() - asyncio.get_running_loop().time()
        return [
            Event(first + start + index, loop_s + wall_offset_s, loop_s, self._process, kind, fields)
            for index, (loop_s, kind, fields) in enumerate(itertools.islice(self._events, start, stop))
        ]
