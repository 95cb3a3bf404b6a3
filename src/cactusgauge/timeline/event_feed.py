"""Reads the events of one process."""

import json
from typing import TYPE_CHECKING

import aiohttp

from cactusgauge import operations_resource
from cactusgauge.timeline import timeline_event

if TYPE_CHECKING:
    from cactusgauge import client

EVENTS_LOST = "events_lost"


class EventFeed:
    """Reads the event ring of a process; events overwritten before they were read become one event `events_lost`."""

    def __init__(self, client: "client.EntryClient", process: "client.ProcessState") -> None:
        self._client = client
        self._process = process
        self._ring = ""
        self._last_number = 0
        self._wall_offset_s = 0.0  # added to the loop time of an event to get its Unix time
        self._is_reachable = True

    @property
    def process(self) -> "client.ProcessState":
        """The process whose events are read."""
        return self._process

    @property
    def is_reachable(self) -> bool:
        """Whether the last request was answered."""
        return self._is_reachable

    async def read(self) -> list[timeline_event.TimelineEvent]:
        """Return all events recorded since the last call."""
        events: list[timeline_event.TimelineEvent] = []
        while True:
            batch = await self._read_batch()
            events += batch
            if len(batch) < operations_resource.MAX_EVENTS:
                return events

    async def _read_batch(self) -> list[timeline_event.TimelineEvent]:
        url = f"{self._process.url}{operations_resource.EVENTS_PATH}"
        try:
            ring, lines = await self._client.get_lines(url, {"after": str(self._last_number)})
            if ring != self._ring and self._last_number:
                # The process has restarted and numbers its events from 1 again.
                self._last_number = 0
                ring, lines = await self._client.get_lines(url, {"after": "0"})
            documents = [json.loads(line) for line in lines]
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            self._is_reachable = False
            return []
        self._is_reachable = True
        if ring != self._ring and documents:
            # One offset for the whole ring, so that a step of the process's wall clock does not reorder its events.
            self._wall_offset_s = documents[0]["wall_s"] - documents[0]["loop_s"]
            self._ring = ring
        return [event for document in documents for event in self._convert(document)]

    def _convert(self, document: dict[str, object]) -> list[timeline_event.TimelineEvent]:
        number, loop_s = document["number"], document["loop_s"]
        fields = document["fields"]
        assert isinstance(number, int)
        assert isinstance(loop_s, float)
        assert isinstance(fields, dict)
        event = timeline_event.TimelineEvent(
            timeline_event.EventKey(self._ring, number),
            loop_s + self._wall_offset_s,
            str(document["process"]),
            self._process.role,
            str(document["kind"]),
            fields,
        )
        lost = number - self._last_number - 1
        self._last_number = number
        if not lost:
            return [event]
        key = timeline_event.EventKey(self._ring, number - 1)
        return [event._replace(key=key, kind=EVENTS_LOST, fields={"count": lost}), event]
