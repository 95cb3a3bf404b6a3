"""Events of a timeline."""

import datetime
import json
from typing import Any, NamedTuple


class EventKey(NamedTuple):
    """Identifies an event: the id of the event ring, which changes when a process restarts, and the number in it."""

    ring: str
    number: int


class TimelineEvent(NamedTuple):
    """An event of a process; `local_s` is Unix time on that process's own clock, in seconds."""

    key: EventKey
    local_s: float
    process: str
    role: str
    kind: str
    fields: dict[str, Any]


class OrderedEvent(NamedTuple):
    """An event with its corrected time; `time_s` is Unix time after clock correction."""

    event: TimelineEvent
    time_s: float

    @property
    def time_text(self) -> str:
        """The time in ISO 8601 with microseconds, UTC."""
        return datetime.datetime.fromtimestamp(self.time_s, datetime.UTC).isoformat(timespec="microseconds")

    @property
    def fields_text(self) -> str:
        """The non-empty fields as `name=value`, separated by spaces."""
        return " ".join(f"{name}={value}" for name, value in self.event.fields.items() if value != "")

    def as_text(self) -> str:
        """Return the event as one line of text."""
        event = self.event
        return f"{self.time_text} {event.process} #{event.key.number} {event.kind} {self.fields_text}".rstrip()

    def as_json(self) -> str:
        """Return the event as one JSON line."""
        event = self.event
        document = {"time": self.time_text, "time_s": self.time_s, "local_s": event.local_s}
        document |= {"process": event.process, "role": event.role, "ring": event.key.ring, "number": event.key.number}
        return json.dumps({**document, "kind": event.kind, "fields": event.fields})
