"""Time series of cumulative counts."""

import bisect
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections import abc


class Point(NamedTuple):
    """Cumulative counts at a point in time; `unknown` counts the starts of which it is unknown whether they ran."""

    at_s: float
    starts: int = 0
    unknown: int = 0
    slot_seconds: float = 0.0

    def append_to(self, points: "list[Point]") -> None:
        """Append this point to `points`; of consecutive points with equal counts only the first and last are kept."""
        if len(points) > 1 and points[-2][1:] == points[-1][1:] == self[1:]:
            points.pop()
        points.append(self)


class CumulativeSeries:
    """Sum of the counts of several incarnations, each of which starts at zero."""

    def __init__(self, incarnations: "abc.Iterable[abc.Iterable[Point]]") -> None:
        all_series = [sorted(points) for points in incarnations]
        self._series = [(series, [point.at_s for point in series]) for series in all_series if series]
        newest: dict[int, Point] = {}  # by index of the series
        self._points: list[Point] = []
        total = Point(0.0)
        for point, index in sorted(
            (point, index) for index, (series, _) in enumerate(self._series) for point in series
        ):
            before = newest.get(index, Point(0.0))
            newest[index] = point
            sums = (amount + new - old for amount, new, old in zip(total[1:], point[1:], before[1:], strict=True))
            total = Point(point.at_s, *sums)  # type: ignore[arg-type]
            self._points.append(total)

    @property
    def points(self) -> list[Point]:
        """The sum over all incarnations at the time of each point."""
        return self._points

    def lower_bound_at(self, at_s: float) -> Point:
        """Return a lower bound of the counts at a time: the sum of the last points at or before it."""
        found = [series[index - 1] for series, times in self._series if (index := bisect.bisect_right(times, at_s))]
        return self._sum(at_s, found)

    def upper_bound_at(self, at_s: float) -> Point | None:
        """Return an upper bound of the counts at a time: the sum of the first points at or after it.

        For an incarnation that ended earlier, its last point is used. Return None if all of them ended earlier.
        """
        indexes = [bisect.bisect_left(times, at_s) for _, times in self._series]
        found = [series[min(index, len(series) - 1)] for (series, _), index in zip(self._series, indexes, strict=True)]
        newest_s = max((point.at_s for point in found), default=at_s - 1)
        return self._sum(newest_s, found) if newest_s >= at_s else None

    def max_starts_between(self, from_s: float, to_s: float) -> int:
        """Return an upper bound of the number of starts between two times."""
        if not self._points:
            return 0
        return (self.upper_bound_at(to_s) or self._points[-1]).starts - self.lower_bound_at(from_s).starts

    @staticmethod
    def _sum(at_s: float, points: list[Point]) -> Point:
        return Point(
            at_s,
            sum(point.starts for point in points),
            sum(point.unknown for point in points),
            sum(point.slot_seconds for point in points),
        )
