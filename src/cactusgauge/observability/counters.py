"""Counters and latency histograms of one process."""

import collections
from typing import TYPE_CHECKING

import prometheus_client
from hdrh import histogram
from prometheus_client import core, registry

if TYPE_CHECKING:
    from collections import abc

MAX_RECORDED_US = 3_600_000_000  # one hour
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)
MICROSECONDS_PER_SECOND = 1_000_000


class Counters(registry.Collector):
    """Counts by name, workspace and label, and records durations in hdrhistograms."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str, str]] = collections.Counter()
        self._histograms: dict[tuple[str, str], histogram.HdrHistogram] = {}

    def add(self, name: str, workspace: str, label: str, amount: float = 1) -> None:
        """Add to a counter; `workspace` and `label` may be empty."""
        self._counts[name, workspace, label] += amount  # type: ignore[assignment]

    def get(self, name: str, workspace: str | None = None, label: str | None = None) -> float:
        """Return the sum of a counter over the workspaces and labels that match."""
        return sum(
            count
            for (its_name, its_workspace, its_label), count in self._counts.items()
            if its_name == name
            and (workspace is None or its_workspace == workspace)
            and (label is None or its_label == label)
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

    def collect(self) -> "abc.Iterator[core.Metric]":
        """Yield the metrics for the Prometheus text format."""
        families: dict[str, core.CounterMetricFamily] = {}
        for (name, workspace, label), count in sorted(self._counts.items()):
            family = families.get(name)
            if family is None:
                family = core.CounterMetricFamily(f"cactusgauge_{name}", name, labels=["workspace", "label"])
                families[name] = family
            family.add_metric([workspace, label], count)
        yield from families.values()
        yield from self._collect_quantiles()

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        collector_registry = prometheus_client.CollectorRegistry()
        collector_registry.register(self)
        return prometheus_client.generate_latest(collector_registry)

    def _collect_quantiles(self) -> "abc.Iterator[core.Metric]":
        families: dict[str, core.GaugeMetricFamily] = {}
        for (name, workspace), recorder in sorted(self._histograms.items()):
            family = families.get(name)
            if family is None:
                family = core.GaugeMetricFamily(f"cactusgauge_{name}_seconds", name, labels=["workspace", "quantile"])
                families[name] = family
            for quantile in QUANTILES:
                value = recorder.get_value_at_percentile(quantile * 100) / MICROSECONDS_PER_SECOND
                family.add_metric([workspace, str(quantile)], value)
        yield from families.values()
