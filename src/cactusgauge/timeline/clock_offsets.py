"""Estimates how far the clocks of processes differ."""

import heapq
import itertools
import math
import statistics
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge.timeline import message_pairs


class ClockOffsets:
    """Seconds to add to each process's clock, from the apparent delays of messages.

    Messages from A to B bound the difference of the two clocks on one side, messages from B to A on the other; the
    middle is taken, so the error is at most half of the fastest round trip. Processes that exchange no messages are
    compared through others. Within each connected group the median clock is believed.
    """

    def __init__(self) -> None:
        self._min_delays: dict[tuple[str, str], float] = {}
        self._offsets: dict[str, float] | None = None

    def add(self, pair: "message_pairs.MessagePair") -> None:
        """Take in one message."""
        rings = (pair.sent.key.ring, pair.received.key.ring)
        delay_s = pair.received.local_s - pair.sent.local_s
        if delay_s < self._min_delays.get(rings, math.inf):
            self._min_delays[rings] = delay_s
            self._offsets = None

    def offset_s(self, ring: str) -> float:
        """Return the seconds to add to the clock of a ring; 0 if nothing is known."""
        if self._offsets is None:
            self._offsets = self._estimate()
        return self._offsets.get(ring, 0.0)

    def _estimate(self) -> dict[str, float]:
        neighbours: dict[str, list[tuple[float, str, float]]] = {}
        for first, second in {(min(rings), max(rings)) for rings in self._min_delays}:
            low = -self._min_delays.get((first, second), math.inf)
            high = self._min_delays.get((second, first), math.inf)
            # With messages in one direction only, equal clocks are assumed as far as these allow.
            both = math.isfinite(low) and math.isfinite(high)
            difference = (low + high) / 2 if both else min(max(0.0, low), high)
            width = high - low
            neighbours.setdefault(first, []).append((width, second, difference))
            neighbours.setdefault(second, []).append((width, first, -difference))
        offsets: dict[str, float] = {}
        for start in sorted(neighbours):
            if start not in offsets:
                group = self._spread(start, neighbours)
                centre = statistics.median(group.values())
                offsets |= {ring: offset - centre for ring, offset in group.items()}
        return offsets

    @staticmethod
    def _spread(start: str, neighbours: dict[str, list[tuple[float, str, float]]]) -> dict[str, float]:
        """Return offsets relative to `start`, along the pairs with the tightest bounds."""
        offsets: dict[str, float] = {}
        tie = itertools.count()
        heap = [(0.0, next(tie), start, 0.0)]
        while heap:
            _, _, ring, offset = heapq.heappop(heap)
            if ring in offsets:
                continue
            offsets[ring] = offset
            for width, other, difference in neighbours[ring]:
                if other not in offsets:
                    heapq.heappush(heap, (width, next(tie), other, offset + difference))
        return offsets
