"""Counters, latency histograms, the event ring buffer and the structured log."""

from cactusgauge.observability.counters import Counters
from cactusgauge.observability.event_ring import Event, EventRing
from cactusgauge.observability.journal import Journal

__all__ = ["Counters", "Event", "EventRing", "Journal"]
