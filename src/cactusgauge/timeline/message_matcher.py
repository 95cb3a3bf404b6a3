"""Matches the event of sending a message with the event of receiving it."""

import collections
from typing import TYPE_CHECKING, NamedTuple

from cactusgauge.timeline import timeline_event

if TYPE_CHECKING:
    from collections import abc

# Number of keys, counted for sent and for received messages separately. Limits the memory, as an event whose
# counterpart was overwritten in its ring never matches.
MAX_UNMATCHED = 100_000


class MessageKey(NamedTuple):
    """Identifies a message about a task.

    `direction` is `start` for the start sent to the agent and `end` for the end sent back. `worker` is the name of the
    agent, and `assign` the number of the message that assigned the task.
    """

    direction: str
    job: str
    task: int
    worker: str
    assign: int


class MessagePair(NamedTuple):
    """A message; `sent` happened before `received`, whatever the clocks show."""

    sent: timeline_event.TimelineEvent
    received: timeline_event.TimelineEvent


class MessageMatcher:
    """Matches events as they are added; events of different processes may come in any order.

    `task_sent` at an entry precedes `task_started` or `start_refused` at the agent; `task_ended` or `start_refused` at
    the agent precedes `task_ended` or `task_returned` at the entry.
    """

    def __init__(self) -> None:
        self._unmatched_sent: dict[MessageKey, collections.deque[timeline_event.TimelineEvent]] = {}
        self._unmatched_received: dict[MessageKey, collections.deque[timeline_event.TimelineEvent]] = {}

    def add(self, event: timeline_event.TimelineEvent) -> "abc.Iterator[MessagePair]":
        """Add an event and yield the pairs that it completes."""
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
        # Assign numbers start over when an agent restarts, so a key may repeat; events of one key match in order.
        unmatched.setdefault(key, collections.deque()).append(event)
        if len(unmatched) > MAX_UNMATCHED:
            del unmatched[next(iter(unmatched))]
