import asyncio
import contextlib
from typing import Any

import pytest
import websockets.exceptions

from cactusgauge import exceptions, observability, wire

HEARTBEAT = wire.Heartbeat(0, 0)


class _Connection:
    """A fake WebSocket connection that delivers `frames`; `send` blocks if `is_full` is set."""

    def __init__(self, is_full: bool) -> None:
        self.transport = self
        self.frames: asyncio.Queue[bytes] = asyncio.Queue()
        self.is_full = is_full
        self.closed = asyncio.Event()
        self.sent: list[bytes] = []

    def abort(self) -> None:
        """End the connection."""
        self.closed.set()

    async def recv(self) -> bytes:
        """Return the next frame; frames that arrived before the connection ended are still delivered."""
        getting = asyncio.create_task(self.frames.get())
        closing = asyncio.create_task(self.closed.wait())
        await asyncio.wait([getting, closing], return_when=asyncio.FIRST_COMPLETED)
        closing.cancel()
        if getting.done():
            return getting.result()
        getting.cancel()
        raise websockets.exceptions.ConnectionClosedError(None, None)

    async def send(self, frame: bytes) -> None:
        """Record a frame; if `is_full` is set, block until the connection ends."""
        self.sent.append(frame)
        if self.is_full:
            await self.closed.wait()
            raise websockets.exceptions.ConnectionClosedError(None, None)

    async def close(self, code: int, reason: str) -> None:
        """Close the connection."""
        self.closed.set()


def _link(connection: Any) -> wire.Link:
    return wire.Link(connection, wire.FrameCodec(), observability.Counters(), lambda: HEARTBEAT)


@pytest.mark.looptime
@pytest.mark.parametrize("is_full", [False, True])
@pytest.mark.parametrize("post_interval_s", [0.4, 100.0])
async def test_link_to_a_silent_peer_is_aborted(is_full: bool, post_interval_s: float) -> None:
    """Guards against a dead peer that is not detected because the writer is busy or blocked."""
    connection = _Connection(is_full)

    async def post_forever(link: wire.Link) -> None:
        while True:
            link.post(HEARTBEAT)
            await asyncio.sleep(post_interval_s)

    async with _link(connection) as link:
        posting = asyncio.create_task(post_forever(link))
        with pytest.raises(exceptions.LinkClosedError):
            await asyncio.wait_for(link.receive(), wire.SILENCE_TIMEOUT_S + 2 * wire.HEARTBEAT_INTERVAL_S)
        posting.cancel()


@pytest.mark.looptime
async def test_link_stays_open_while_heartbeats_arrive() -> None:
    """Guards against aborting a link whose peer sends only heartbeats."""
    connection = _Connection(is_full=False)
    async with _link(connection) as link:
        for _ in range(10):
            await asyncio.sleep(wire.SILENCE_TIMEOUT_S - 0.1)
            connection.frames.put_nowait(wire.FrameCodec().encode(HEARTBEAT))
            assert await link.receive() == HEARTBEAT


@pytest.mark.looptime
async def test_nothing_is_read_from_an_aborted_link() -> None:
    """Guards against a delayed frame of a replaced link that overwrites newer state."""
    connection = _Connection(is_full=False)
    async with _link(connection) as link:
        connection.frames.put_nowait(wire.FrameCodec().encode(HEARTBEAT))
        link.abort()
        with pytest.raises(exceptions.LinkClosedError):
            await link.receive()


@pytest.mark.looptime
async def test_link_is_suspect_before_it_is_silent() -> None:
    """Guards against new jobs that wait for an unreachable worker although others are idle."""
    connection = _Connection(is_full=False)
    async with _link(connection) as link:
        await asyncio.sleep(1.9)
        assert not link.is_suspect
        await asyncio.sleep(0.2)
        assert link.is_suspect and not link.is_silent
        connection.frames.put_nowait(wire.FrameCodec().encode(HEARTBEAT))
        await link.receive()
        assert not link.is_suspect


@pytest.mark.looptime
async def test_nothing_is_sent_before_there_is_a_heartbeat() -> None:
    """Guards against a handshake with a slow peer that fails because a heartbeat is sent during it."""
    connection = _Connection(is_full=False)
    async with wire.Link(connection, wire.FrameCodec(), observability.Counters(), lambda: None) as link:  # type: ignore[arg-type]
        await asyncio.sleep(2 * wire.HEARTBEAT_INTERVAL_S)
        assert not connection.sent
        link.post(HEARTBEAT)
        await asyncio.sleep(0)
        assert connection.sent == [wire.FrameCodec().encode(HEARTBEAT)]


@pytest.mark.looptime
async def test_cancellation_while_a_link_closes_is_not_lost() -> None:
    """Guards against a stop that never ends: closing a link suppressed the cancellation of the task that uses it."""
    connection = _Connection(is_full=False)

    async def dial_forever() -> None:
        while True:
            with contextlib.suppress(exceptions.LinkClosedError):
                async with _link(connection):
                    await asyncio.sleep(1)
                    asyncio.get_running_loop().call_soon(dialling.cancel)
                    raise exceptions.LinkClosedError("closed")
            await asyncio.sleep(10)

    dialling = asyncio.create_task(dial_forever())
    await asyncio.wait([dialling], timeout=5)
    assert dialling.cancelled()
