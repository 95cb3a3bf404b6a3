"""Counters and latency histograms of one process."""

import collections
from typing import TYPE_CHECKING

from hdrh import histogram

if TYPE_CHECKING:
    from collections import abc

MAX_RECORDED_US = 3_600_000_000  # one hour
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_SECOND = 1_000_000


class Counters:
    """Counters by name, workspace and label, and HdrHistograms of durations by name and workspace."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str, str]] = collections.Counter()
        self._histograms: dict[tuple[str, str], histogram.HdrHistogram] = {}

    def add(self, name: str, workspace: str, label: str, amount: float = 1) -> None:
        """Increase a counter; `workspace` and `label` may be empty."""
        self._counts[name, workspace, label] += amount  # type: ignore[assignment]

    def get(self, name: str, workspace: str | None = None, label: str | None = None) -> float:
        """Return the sum of a counter over the matching workspaces and labels; None matches all."""
        return sum(
            count
            for (counter_name, counter_workspace, counter_label), count in self._counts.items()
            if counter_name == name
            and (workspace is None or counter_workspace == workspace)
            and (label is None or counter_label == label)
        )

    def record_duration(self, name: str, workspace: str, seconds: float) -> None:
        """Record a duration in seconds."""
        recorder = self._histograms.get((name, workspace))
        if recorder is None:
            recorder = histogram.HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
            self._histograms[name, workspace] = recorder
        recorder.record_value(max(1, int(seconds * MICROSECONDS_PER_SECOND)))

    def as_rows(self) -> list[tuple[str, str, str, float]]:
        """Return all counters as rows of name, workspace, label and value."""
        return [(*key, count) for key, count in sorted(self._counts.items())]

    @property
    def histograms(self) -> "abc.Mapping[tuple[str, str], histogram.HdrHistogram]":
        """Histograms of the durations in microseconds, by name and workspace."""
        return self._histograms

    def to_prometheus_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # Imported on demand: importing prometheus_client takes a tenth of the startup time, and the metrics of most
        # processes are never requested.
        from cactusgauge.observability import exposition

        return exposition.generate(self)
