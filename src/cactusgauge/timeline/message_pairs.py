"""Finds the event of sending and the event of receiving one message."""

import collections
from typing import TYPE_CHECKING, NamedTuple

from cactusgauge.timeline import timeline_event

if TYPE_CHECKING:
    from collections import abc

MAX_UNMATCHED = 100_000  # events whose counterpart was overwritten in its ring never match


class MessageKey(NamedTuple):
    """One message about one task: the start on its way to the agent, or its end on the way back."""

    stage: str
    job: str
    task: int
    worker: str
    assign: int


class MessagePair(NamedTuple):
    """`sent` happened before `received`, whatever the clocks say."""

    sent: timeline_event.TimelineEvent
    received: timeline_event.TimelineEvent


class MessagePairs:
    """Matches events as they come, in any order between processes.

    `task_sent` at an entry comes before `task_started` or `start_refused` at the agent, and `task_ended` or
    `start_refused` at the agent before `task_ended` or `task_returned` at the entry.
    """

    def __init__(self) -> None:
        self._sent: dict[MessageKey, collections.deque[timeline_event.TimelineEvent]] = {}
        self._received: dict[MessageKey, collections.deque[timeline_event.TimelineEvent]] = {}

    def add(self, event: timeline_event.TimelineEvent) -> "abc.Iterator[MessagePair]":
        """Take in an event and yield the pairs that it completes."""
        if "assign" not in event.fields:
            return
        if event.kind == "task_sent":
            yield from self._add_sent(self._key("start", event, event.fields["worker"]), event)
        elif event.kind in ("task_started", "start_refused"):
            yield from self._add_received(self._key("start", event, event.process), event)
        if event.role == "agent" and event.kind in ("task_ended", "start_refused"):
            yield from self._add_sent(self._key("end", event, event.process), event)
        elif event.role == "entry" and event.kind in ("task_ended", "task_returned"):
            yield from self._add_received(self._key("end", event, event.fields["worker"]), event)

    def _add_sent(self, key: MessageKey, event: timeline_event.TimelineEvent) -> "abc.Iterator[MessagePair]":
        counterpart = self._take(self._received, key)
        if counterpart is not None:
            yield MessagePair(event, counterpart)
        else:
            self._keep(self._sent, key, event)

    def _add_received(self, key: MessageKey, event: timeline_event.TimelineEvent) -> "abc.Iterator[MessagePair]":
        counterpart = self._take(self._sent, key)
        if counterpart is not None:
            yield MessagePair(counterpart, event)
        else:
            self._keep(self._received, key, event)

    @staticmethod
    def _key(stage: str, event: timeline_event.TimelineEvent, worker: str) -> MessageKey:
        return MessageKey(stage, event.fields["job"], event.fields["task"], worker, event.fields["assign"])

    @staticmethod
    def _take(
        waiting: "dict[MessageKey, collections.deque[timeline_event.TimelineEvent]]", key: MessageKey
    ) -> timeline_event.TimelineEvent | None:
        events = waiting.get(key)
        if events is None:
            return None
        event = events.popleft()
        if not events:
            del waiting[key]
        return event

    @staticmethod
    def _keep(
        waiting: "dict[MessageKey, collections.deque[timeline_event.TimelineEvent]]",
        key: MessageKey,
        event: timeline_event.TimelineEvent,
    ) -> None:
        # A restarted agent counts assigns anew, so a key may occur again; then first matches first.
        waiting.setdefault(key, collections.deque()).append(event)
        if len(waiting) > MAX_UNMATCHED:
            del waiting[next(iter(waiting))]
