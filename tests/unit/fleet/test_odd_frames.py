"""Entries and agents that receive odd frames from a peer."""

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

import cbor2
import pytest
import websockets.exceptions
from websockets.asyncio import client, server

from cactusgauge import fleet, ids
from cactusgauge.fleet import messages
from tests.unit.fleet import conftest

if TYPE_CHECKING:
    from collections import abc

INCARNATION = "odd"
PROTOCOL_ERROR = 1002  # WebSocket close code


def _hello(entries: "abc.Sequence[str]" = ()) -> bytes:
    return cbor2.dumps([0, messages.PROTOCOL_VERSION, "odd", INCARNATION, 0, list(entries)])


def _grant(stamp: object) -> bytes:
    return cbor2.dumps([5, stamp, 0, 0, []])


def _record_events(journal: Any, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    events: list[str] = []

    def log_event(event: str, **fields: object) -> None:
        events.append(event)

    monkeypatch.setattr(journal, "log_event", log_event)
    return events


class _OddEntry:
    """Sends a hello and given frames to every agent that dials it; `closed` holds the codes of the closed links."""

    def __init__(self, *frames: bytes) -> None:
        self.port = conftest.free_port()
        self.url = f"ws://{conftest.HOST}:{self.port}"
        self.closed: list[int | None] = []
        self._frames = frames

    @contextlib.asynccontextmanager
    async def running(self) -> "abc.AsyncIterator[None]":
        """Serve until the context ends."""
        async with server.serve(self._serve, conftest.HOST, self.port, compression=None, ping_interval=None):
            yield

    async def _serve(self, connection: server.ServerConnection) -> None:
        with contextlib.suppress(websockets.exceptions.ConnectionClosed):
            for frame in self._frames:
                await connection.send(frame)
            async for _ in connection:
                pass
        await connection.wait_closed()
        self.closed.append(connection.close_code)


@pytest.mark.parametrize("stamp", [float("inf"), float("nan"), 1e15, 1e300], ids=repr)
async def test_agent_refuses_a_grant_that_would_not_end(stamp: float, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against runs that are never stopped because of one odd stamp of their entry."""
    odd = _OddEntry(_hello(), _grant(stamp))
    agent = conftest.Agent("a", [odd.url])
    granted: list[float] = []
    monkeypatch.setattr(agent.controller, "extend_grant", lambda owner, until: granted.append(until))
    events = _record_events(agent.link_client._journal, monkeypatch)
    async with odd.running(), conftest.running(agent):
        await conftest.until(lambda: bool(odd.closed))
        await conftest.until(lambda: "link_failed" in events)
    assert granted == []
    assert odd.closed[0] == PROTOCOL_ERROR


async def test_agent_refuses_starts_with_a_later_stamp(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a run that begins with a grant of any length."""
    odd = _OddEntry(_hello(), cbor2.dumps([6, 1e15, [[1, ["j", 0, 0, 1], [1000, 10, 0], 100.0, ""]]]))
    agent = conftest.Agent("a", [odd.url])
    started: list[object] = []
    monkeypatch.setattr(agent.controller, "start", lambda new, stamped_at: started.append(new))
    async with odd.running(), conftest.running(agent):
        await conftest.until(lambda: bool(odd.closed))
    assert started == []
    assert odd.closed[0] == PROTOCOL_ERROR


async def test_agent_serves_other_entries_beside_an_odd_one() -> None:
    """Guards against an agent that a frame of one entry takes from the others."""
    odd = _OddEntry(_hello(["", "http://[", "ws://10.0.0.1:99999"]), _grant(float("inf")))
    entry = conftest.Entry("e", [])
    agent = conftest.Agent("a", [odd.url, entry.url])
    async with odd.running(), conftest.running(entry, agent):
        await conftest.until(lambda: entry.link_server.has_workers)
        await conftest.until(lambda: len(odd.closed) >= 2)
        answer = await entry.submit("0" * 16)
        assert answer is not None and answer.result.value == "succeeded"


async def test_agent_links_to_the_valid_ones_of_the_listed_entries() -> None:
    """Guards against an agent that stops following the list of entries because of one odd address in it."""
    entry = conftest.Entry("e", [])
    odd = _OddEntry(_hello(["", "http://[", "ws://10.0.0.1:99999", "ws://a..b:1", entry.url]))
    agent = conftest.Agent("a", [odd.url])
    async with odd.running(), conftest.running(entry, agent):
        await conftest.until(lambda: entry.link_server.has_workers)


@pytest.mark.parametrize(
    "frame",
    [
        b"\xff",
        cbor2.dumps([11, "ws://10.0.0.1:99999"]),
        cbor2.dumps([1, messages.PROTOCOL_VERSION, "b", "i", "d", float("inf"), 0, 0, [], []]),
        cbor2.dumps([1, messages.PROTOCOL_VERSION, "b", "i", "d", 0.0, 0, 10**400, [], []]),
    ],
    ids=["not CBOR", "odd address", "infinite stamp", "huge number"],
)
async def test_entry_closes_only_the_link_of_an_odd_frame(frame: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a frame that is not logged, stays in the entry's state or affects other links."""
    entry = conftest.Entry("e", [])
    agent = conftest.Agent("a", [entry.url])
    events = _record_events(entry.journal, monkeypatch)
    async with conftest.running(entry, agent):
        await conftest.until(lambda: entry.link_server.has_workers)
        async with client.connect(entry.url, compression=None, proxy=None) as connection:
            await connection.send(frame)
            async with asyncio.timeout(2.0):
                await connection.wait_closed()
        assert connection.close_code == PROTOCOL_ERROR
        await conftest.until(lambda: "link_failed" in events)
        assert [view.agent for view in entry.link_server.workers] == ["a"]
        assert entry.link_server._list_known_entries() == [entry.url]
        answer = await entry.submit("0" * 16)
        assert isinstance(answer, fleet.JobAnswer) and answer.result.value == "succeeded"


async def test_agent_account_can_be_recorded_after_an_odd_frame() -> None:
    """Guards against an accounting record that fails for good because of a huge number of one agent."""
    entry = conftest.Entry("e", [])
    async with conftest.running(entry):
        await asyncio.sleep(0.05)
        hello = [1, messages.PROTOCOL_VERSION, ids.AgentName("b"), "i", "d", 0.0, 0, 0, [], []]
        end = [10**5000, ["j", 0, 0, 1], "done", 10**5000, ""]
        async with client.connect(entry.url, compression=None, proxy=None) as connection:
            await connection.send(cbor2.dumps(hello) + cbor2.dumps([4, [end]]))
            async with asyncio.timeout(2.0):
                await connection.wait_closed()
        for pair in entry.link_server.take_accounts().pairs:
            assert str(pair)
