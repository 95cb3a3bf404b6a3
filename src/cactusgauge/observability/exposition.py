"""Converts counters and histograms to the Prometheus text format."""

from typing import TYPE_CHECKING

import prometheus_client
from prometheus_client import core, registry

from cactusgauge.observability import counters as counters_module

if TYPE_CHECKING:
    from collections import abc

QUANTILES = (0.5, 0.9, 0.99, 0.999)


class MetricsCollector(registry.Collector):
    """Prometheus collector for the counters and the quantiles of the durations."""

    def __init__(self, counters: counters_module.Counters) -> None:
        self._counters = counters

    def collect(self) -> "abc.Iterator[core.Metric]":
        """Yield one metric family for each counter and each histogram name."""
        families: dict[str, core.CounterMetricFamily] = {}
        for name, workspace, label, count in self._counters.as_rows():
            family = families.get(name)
            if family is None:
                family = core.CounterMetricFamily(f"cactusgauge_{name}", name, labels=["workspace", "label"])
                families[name] = family
            family.add_metric([workspace, label], count)
        yield from families.values()
        yield from self._collect_quantiles()

    def _collect_quantiles(self) -> "abc.Iterator[core.Metric]":
        families: dict[str, core.GaugeMetricFamily] = {}
        for (name, workspace), recorder in sorted(self._counters.histograms.items()):
            family = families.get(name)
            if family is None:
                family = core.GaugeMetricFamily(f"cactusgauge_{name}_seconds", name, labels=["workspace", "quantile"])
                families[name] = family
            for quantile in QUANTILES:
                value = recorder.get_value_at_percentile(quantile * 100) / counters_module.MICROSECONDS_PER_SECOND
                family.add_metric([workspace, str(quantile)], value)
        yield from families.values()


def generate(counters: counters_module.Counters) -> bytes:
    """Return all metrics of a process in the Prometheus text format."""
    collector_registry = prometheus_client.CollectorRegistry()
    collector_registry.register(MetricsCollector(counters))
    return prometheus_client.generate_latest(collector_registry)
