"""Bounded ring of a process's events, the source of the time line."""

import asyncio
import collections
import itertools
import json
import time
from typing import NamedTuple

from absl import logging

DEFAULT_CAPACITY = 20_000


class Event(NamedTuple):
    """One event; `wall_s` is Unix time and `loop_s` the event loop's monotonic time, both in seconds."""

    number: int
    wall_s: float
    loop_s: float
    process: str
    kind: str
    fields: dict[str, str | int | float]


class EventRing:
    """Keeps the last events of one process."""

    def __init__(self, process: str, capacity: int = DEFAULT_CAPACITY) -> None:
        self._process = process
        self._events: collections.deque[Event] = collections.deque(maxlen=capacity)
        self._numbers = itertools.count(1)

    def record(self, kind: str, **fields: str | int | float) -> None:
        """Record an event of a task, job or message."""
        loop_s = asyncio.get_running_loop().time()
        self._events.append(Event(next(self._numbers), time.time(), loop_s, self._process, kind, fields))

    def record_state(self, kind: str, **fields: str | int | float) -> None:
        """Record a change of state of the process and log it as one structured line."""
        self.record(kind, **fields)
        logging.info("%s", json.dumps({"process": self._process, "event": kind, **fields}))

    def since(self, number: int) -> list[Event]:
        """Return the held events with a number above `number`, oldest first."""
        return [event for event in self._events if event.number > number]
