"""Counters, histograms, the event ring and structured log lines."""

from cactusgauge.observability.counters import Counters
from cactusgauge.observability.event_ring import Event, EventRing

__all__ = ["Counters", "Event", "EventRing"]
