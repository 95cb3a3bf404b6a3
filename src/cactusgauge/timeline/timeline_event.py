"""Events as the time line sees them."""

import datetime
import json
from typing import Any, NamedTuple


class EventKey(NamedTuple):
    """Identifies an event: the ring of one run of a process, and the number within it."""

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
    """An event in the common order; `time_s` is Unix time after the correction of clocks."""

    event: TimelineEvent
    time_s: float

    @property
    def time_text(self) -> str:
        """The time in ISO 8601 with microseconds, UTC."""
        return datetime.datetime.fromtimestamp(self.time_s, datetime.UTC).isoformat(timespec="microseconds")

    @property
    def fields_text(self) -> str:
        """The fields as `name=value`."""
        return " ".join(f"{name}={value}" for name, value in self.event.fields.items() if value != "")

    def as_text(self) -> str:
        """Return one line."""
        event = self.event
        return f"{self.time_text} {event.process} #{event.key.number} {event.kind} {self.fields_text}".rstrip()

    def as_json(self) -> str:
        """Return one JSON line."""
        event = self.event
        document = {"time": self.time_text, "time_s": self.time_s, "local_s": event.local_s}
        document |= {"process": event.process, "role": event.role, "ring": event.key.ring, "number": event.key.number}
        return json.dumps({**document, "kind": event.kind, "fields": event.fields})
