"""Finds the event of sending and the event of receiving one message."""

import collections
from typing import TYPE_CHECKING, NamedTuple

from cactusgauge.timeline import timeline_event

if TYPE_CHECKING:
    from collections import abc

MAX_UNMATCHED = 100_000  # events whose counterpart was overwritten in its ring never match


class MessageKey(NamedTuple):
    """One message about one task: the start on its way to the agent, or its end on the way back."""

    direction: str
    job: str
    task: int
    worker: str
    assign: int


class MessagePair(NamedTuple):
    """`sent` happened before `received`, whatever the clocks say."""

    sent: timeline_event.TimelineEvent
    received: timeline_event.TimelineEvent


class MessageMatcher:
    """Matches events as they come, in any order between processes.

    `task_sent` at an entry comes before `task_started` or `start_refused` at the agent, and `task_ended` or
    `start_refused` at the agent before `task_ended` or `task_returned` at the entry.
    """

    def __init__(self) -> None:
        self._unmatched_sent: dict[MessageKey, collections.deque[timeline_event.TimelineEvent]] = {}
        self._unmatched_received: dict[MessageKey, collections.deque[timeline_event.TimelineEvent]] = {}

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
        counterpart = self._pop_match(self._unmatched_received, key)
        if counterpart is not None:
            yield MessagePair(event, counterpart)
        else:
            self._add_unmatched(self._unmatched_sent, key, event)

    def _add_received(self, key: MessageKey, event: timeline_event.TimelineEvent) -> "abc.Iterator[MessagePair]":
        counterpart = self._pop_match(self._unmatched_sent, key)
        if counterpart is not None:
            yield MessagePair(counterpart, event)
        else:
            self._add_unmatched(self._unmatched_received, key, event)

    @staticmethod
    def _key(direction: str, event: timeline_event.TimelineEvent, worker: str) -> MessageKey:
        return MessageKey(direction, event.fields["job"], event.fields["task"], worker, event.fields["assign"])

    @staticmethod
    def _pop_match(
        unmatched: "dict[MessageKey, collections.deque[timeline_event.TimelineEvent]]", key: MessageKey
    ) -> timeline_event.TimelineEvent | None:
        events = unmatched.get(key)
        if events is None:
            return None
        event = events.popleft()
        if not events:
            del unmatched[key]
        return event

    @staticmethod
    def _add_unmatched(
        unmatched: "dict[MessageKey, collections.deque[timeline_event.TimelineEvent]]",
        key: MessageKey,
        event: timeline_event.TimelineEvent,
    ) -> None:
        # A restarted agent counts assigns anew, so a key may occur again; then first matches first.
        unmatched.setdefault(key, collections.deque()).append(event)
        if len(unmatched) > MAX_UNMATCHED:
            del unmatched[next(iter(unmatched))]
