"""Merges the events of several processes into one sequence."""

import heapq
import math
from typing import TYPE_CHECKING

from cactusgauge.timeline import clock_offsets, message_matcher, timeline_event

if TYPE_CHECKING:
    from collections import abc


class Timeline:
    """Orders events by corrected time, but never against the order that event numbers and messages prove.

    Events of one process stay in the order of their numbers, and a message is sent before it is received. A live
    view pops the older events at intervals, so that only recent ones are held.
    """

    def __init__(self) -> None:
        self._matcher = message_matcher.MessageMatcher()
        self._offsets = clock_offsets.ClockOffsets()
        self._pending: dict[timeline_event.EventKey, tuple[timeline_event.TimelineEvent, float]] = {}
        self._sent_keys_by_received_key: dict[timeline_event.EventKey, list[timeline_event.EventKey]] = {}

    def add(self, events: "abc.Iterable[timeline_event.TimelineEvent]", read_at: float = 0.0) -> None:
        """Add events of one process in the order of their numbers; they were read at the loop time `read_at`."""
        for event in events:
            self._pending[event.key] = (event, read_at)
            for pair in self._matcher.add(event):
                self._offsets.add(pair)
                if pair.received.key in self._pending:
                    self._sent_keys_by_received_key.setdefault(pair.received.key, []).append(pair.sent.key)

    def offset_s(self, ring: str) -> float:
        """Return the seconds that are added to the times of the events of a ring."""
        return self._offsets.offset_s(ring)

    def pop_ordered(self, read_until: float = math.inf) -> list[timeline_event.OrderedEvent]:
        """Remove and return, in order, the events that precede the first one that was read after `read_until`."""
        popped: list[timeline_event.OrderedEvent] = []
        for ordered in self._iterate_ordered():
            if self._pending[ordered.event.key][1] > read_until:
                break
            popped.append(ordered)
        for ordered in popped:
            del self._pending[ordered.event.key]
            self._sent_keys_by_received_key.pop(ordered.event.key, None)
        return popped

    def _iterate_ordered(self) -> "abc.Iterator[timeline_event.OrderedEvent]":
        """Yield the pending events in topological order: always the earliest one whose predecessors were yielded.

        An event's time is raised to that of its latest predecessor.
        """
        successors, predecessor_counts = self._build_dependencies()
        times = {key: self._corrected_time_s(event) for key, (event, _) in self._pending.items()}
        heap = [(times[key], key) for key, count in predecessor_counts.items() if not count]
        heapq.heapify(heap)
        while predecessor_counts:
            if not heap:
                # The records contradict each other (a cycle), for example those of two processes with the same name:
                # continue with the earliest event.
                earliest = min(predecessor_counts, key=lambda key: (times[key], key))
                heap.append((times[earliest], earliest))
            _, key = heapq.heappop(heap)
            if predecessor_counts.pop(key, None) is None:
                continue
            yield timeline_event.OrderedEvent(self._pending[key][0], times[key])
            for successor in successors.get(key, ()):
                if successor not in predecessor_counts:
                    continue
                times[successor] = max(times[successor], times[key])
                predecessor_counts[successor] -= 1
                if not predecessor_counts[successor]:
                    heapq.heappush(heap, (times[successor], successor))

    def _build_dependencies(
        self,
    ) -> tuple[dict[timeline_event.EventKey, list[timeline_event.EventKey]], dict[timeline_event.EventKey, int]]:
        """Return the successors and the number of predecessors of each pending event."""
        successors: dict[timeline_event.EventKey, list[timeline_event.EventKey]] = {}
        predecessor_counts = dict.fromkeys(self._pending, 0)
        previous: dict[str, timeline_event.EventKey] = {}
        for key in sorted(self._pending):
            predecessors = [previous[key.ring]] if key.ring in previous else []
            predecessors += [
                sent_key for sent_key in self._sent_keys_by_received_key.get(key, ()) if sent_key in self._pending
            ]
            for predecessor in predecessors:
                successors.setdefault(predecessor, []).append(key)
            predecessor_counts[key] = len(predecessors)
            previous[key.ring] = key
        return successors, predecessor_counts

    def _corrected_time_s(self, event: timeline_event.TimelineEvent) -> float:
        return event.local_s + self._offsets.offset_s(event.key.ring)
