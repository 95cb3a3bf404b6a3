"""Timeline: merges the events of all processes into one order."""

from cactusgauge.timeline.clock_offsets import ClockOffsets
from cactusgauge.timeline.event_feed import EventFeed
from cactusgauge.timeline.event_filter import EventFilter
from cactusgauge.timeline.html_page import HtmlPage
from cactusgauge.timeline.message_matcher import MessageMatcher, MessagePair
from cactusgauge.timeline.timeline import Timeline
from cactusgauge.timeline.timeline_event import EventKey, OrderedEvent, TimelineEvent

__all__ = [
    "ClockOffsets",
    "EventFeed",
    "EventFilter",
    "EventKey",
    "HtmlPage",
    "MessagePair",
    "MessageMatcher",
    "OrderedEvent",
    "Timeline",
    "TimelineEvent",
]
