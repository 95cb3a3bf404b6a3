import json

import aiohttp

from cactusgauge import client, observability, timeline

PROCESS = client.ProcessState("agent", "agent-1", "http://agent", "cheese", {})


class RingClient(client.EntryClient):
    """Serves a ring as the process does, at most 1000 events per request."""

    def __init__(self, ring: observability.EventRing | None) -> None:
        self.ring = ring

    async def get_lines(self, url: str, params: dict[str, str]) -> tuple[str, list[bytes]]:
        """Return the events after a number."""
        if self.ring is None:
            raise aiohttp.ClientConnectionError
        events = self.ring.since(int(params["after"]), 1000)
        return self.ring.id, [json.dumps(event._asdict()).encode() for event in events]


async def test_feed_reports_overwritten_events_restarts_and_unreachable_processes() -> None:
    """Guards against missing events that look as if nothing happened."""
    ring = observability.EventRing("agent-1", capacity=1500)
    source = RingClient(ring)
    feed = timeline.EventFeed(source, PROCESS)
    for _ in range(2000):
        ring.record("task_started")
    first = await feed.read()
    assert [(event.key.number, event.kind) for event in first[:2]] == [(500, "events_lost"), (501, "task_started")]
    assert (first[0].fields, first[-1].key, len(first)) == ({"count": 500}, (ring.id, 2000), 1501)
    source.ring = None
    assert await feed.read() == []
    assert not feed.is_reachable
    source.ring = observability.EventRing("agent-1")
    source.ring.record("agent_started")
    restarted = await feed.read()
    assert [(event.key, event.kind) for event in restarted] == [((source.ring.id, 1), "agent_started")]
    assert feed.is_reachable
    assert await feed.read() == []
