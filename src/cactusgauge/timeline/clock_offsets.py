"""Estimates the offsets between the clocks of processes."""

import heapq
import itertools
import math
import statistics
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge.timeline import message_matcher


class ClockOffsets:
    """Estimates the seconds to add to each process's clock from the apparent delays of messages.

    Messages from A to B bound the difference of the two clocks on one side, messages from B to A on the other. The
    estimate is the middle, so its error is at most half of the fastest round trip. Processes that exchange no messages
    are compared through other processes. The reference of each connected component is its median clock.
    """

    def __init__(self) -> None:
        self._min_delays: dict[tuple[str, str], float] = {}  # seconds, by ring ids of sender and receiver
        self._offsets: dict[str, float] | None = None  # by ring id; None if a message has been added since

    def add(self, pair: "message_matcher.MessagePair") -> None:
        """Add one message."""
        ring_pair = (pair.sent.key.ring, pair.received.key.ring)
        delay_s = pair.received.local_s - pair.sent.local_s
        if delay_s < self._min_delays.get(ring_pair, math.inf):
            self._min_delays[ring_pair] = delay_s
            self._offsets = None

    def offset_s(self, ring: str) -> float:
        """Return the seconds to add to the clock of an event ring; 0 if there is no estimate."""
        if self._offsets is None:
            self._offsets = self._estimate()
        return self._offsets.get(ring, 0.0)

    def _estimate(self) -> dict[str, float]:
        # By ring id: for each neighbour the uncertainty, its ring id, and its offset minus the offset of this ring.
        bounds: dict[str, list[tuple[float, str, float]]] = {}
        for first, second in {(min(ring_pair), max(ring_pair)) for ring_pair in self._min_delays}:
            lower_s = -self._min_delays.get((first, second), math.inf)
            upper_s = self._min_delays.get((second, first), math.inf)
            # With messages in one direction only, the difference closest to 0 that the bound allows is used.
            is_bounded = math.isfinite(lower_s) and math.isfinite(upper_s)
            difference_s = (lower_s + upper_s) / 2 if is_bounded else min(max(0.0, lower_s), upper_s)
            uncertainty_s = upper_s - lower_s
            bounds.setdefault(first, []).append((uncertainty_s, second, difference_s))
            bounds.setdefault(second, []).append((uncertainty_s, first, -difference_s))
        offsets: dict[str, float] = {}
        for start in sorted(bounds):
            if start not in offsets:
                component = self._propagate_offsets(start, bounds)
                centre = statistics.median(component.values())
                offsets |= {ring: offset - centre for ring, offset in component.items()}
        return offsets

    @staticmethod
    def _propagate_offsets(start: str, bounds: dict[str, list[tuple[float, str, float]]]) -> dict[str, float]:
        """Return offsets relative to `start`, propagated along the pairs with the tightest bounds first."""
        offsets: dict[str, float] = {}
        tie_breaker = itertools.count()
        heap = [(0.0, next(tie_breaker), start, 0.0)]
        while heap:
            _, _, ring, offset = heapq.heappop(heap)
            if ring in offsets:
                continue
            offsets[ring] = offset
            for uncertainty_s, other, difference_s in bounds[ring]:
                if other not in offsets:
                    heapq.heappush(heap, (uncertainty_s, next(tie_breaker), other, offset + difference_s))
        return offsets
