"""Merges events of several processes into one order."""

import heapq
import math
from typing import TYPE_CHECKING

from cactusgauge.timeline import clock_offsets, message_pairs, timeline_event

if TYPE_CHECKING:
    from collections import abc


class Timeline:
    """Orders events by corrected time, and never against what numbers and messages prove.

    Events of one process stay in the order of their numbers, and a message is sent before it is received. Events are
    taken out in batches, so that a live view holds only the recent ones.
    """

    def __init__(self) -> None:
        self._pairs = message_pairs.MessagePairs()
        self._offsets = clock_offsets.ClockOffsets()
        self._pending: dict[timeline_event.EventKey, tuple[timeline_event.TimelineEvent, float]] = {}
        self._senders: dict[timeline_event.EventKey, list[timeline_event.EventKey]] = {}

    def add(self, events: "abc.Iterable[timeline_event.TimelineEvent]", received_at: float = 0.0) -> None:
        """Take in events of one process in the order of their numbers; `received_at` is a loop time in seconds."""
        for event in events:
            self._pending[event.key] = (event, received_at)
            for pair in self._pairs.add(event):
                self._offsets.add(pair)
                if pair.received.key in self._pending:
                    self._senders.setdefault(pair.received.key, []).append(pair.sent.key)

    def offset_s(self, ring: str) -> float:
        """Return the seconds that are added to a process's clock."""
        return self._offsets.offset_s(ring)

    def take(self, received_until: float = math.inf) -> list[timeline_event.PlacedEvent]:
        """Remove and return the first events, up to the first one that was received after a loop time."""
        taken: list[timeline_event.PlacedEvent] = []
        for placed in self._order():
            if self._pending[placed.event.key][1] > received_until:
                break
            taken.append(placed)
        for placed in taken:
            del self._pending[placed.event.key]
            self._senders.pop(placed.event.key, None)
        return taken

    def _order(self) -> "abc.Iterator[timeline_event.PlacedEvent]":
        """Yield the pending events: of those whose predecessors were yielded, always the earliest."""
        successors, waiting = self._predecessors()
        times = {key: self._time_s(event) for key, (event, _) in self._pending.items()}
        heap = [(times[key], key) for key, count in waiting.items() if not count]
        heapq.heapify(heap)
        while waiting:
            if not heap:
                # Contradictory records, for example of a process with a duplicate name; go on with the earliest.
                earliest = min(waiting, key=lambda key: (times[key], key))
                heap.append((times[earliest], earliest))
            _, key = heapq.heappop(heap)
            if waiting.pop(key, None) is None:
                continue
            yield timeline_event.PlacedEvent(self._pending[key][0], times[key])
            for successor in successors.get(key, ()):
                if successor not in waiting:
                    continue
                times[successor] = max(times[successor], times[key])
                waiting[successor] -= 1
                if not waiting[successor]:
                    heapq.heappush(heap, (times[successor], successor))

    def _predecessors(
        self,
    ) -> tuple[dict[timeline_event.EventKey, list[timeline_event.EventKey]], dict[timeline_event.EventKey, int]]:
        """Return the successors of each pending event, and how many predecessors each waits for."""
        successors: dict[timeline_event.EventKey, list[timeline_event.EventKey]] = {}
        waiting = dict.fromkeys(self._pending, 0)
        previous: dict[str, timeline_event.EventKey] = {}
        for key in sorted(self._pending):
            before = [previous[key.ring]] if key.ring in previous else []
            before += [sender for sender in self._senders.get(key, ()) if sender in self._pending]
            for predecessor in before:
                successors.setdefault(predecessor, []).append(key)
            waiting[key] = len(before)
            previous[key.ring] = key
        return successors, waiting

    def _time_s(self, event: timeline_event.TimelineEvent) -> float:
        return event.local_s + self._offsets.offset_s(event.key.ring)
