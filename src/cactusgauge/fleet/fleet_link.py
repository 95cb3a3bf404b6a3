"""A connection between an entry and an agent, or between two entries."""

import asyncio
import collections
import contextlib
from typing import TYPE_CHECKING, Self

import websockets.exceptions
from websockets import frames

from cactusgauge import exceptions, wire
from cactusgauge.fleet import messages

if TYPE_CHECKING:
    from types import TracebackType

    from websockets.asyncio import connection as connection_module

    from cactusgauge import observability
    from cactusgauge.fleet import link_monitor

CLOSE_TIMEOUT_S = 0.5  # for telling a peer that it violated the protocol
MAX_CLOSE_REASON_BYTES = 120  # WebSocket limits the close reason to 123 bytes


class FleetLink:
    """Sends and receives messages of `fleet.messages`.

    Messages are posted without waiting; one task sends all messages of an event loop iteration as one frame. Both
    sides send heartbeats, and the monitor aborts a link on which nothing is received any more.
    """

    def __init__(
        self,
        connection: "connection_module.Connection",
        codec: wire.TupleCodec,
        counters: "observability.Counters",
        monitor: "link_monitor.LinkMonitor",
    ) -> None:
        self._connection = connection
        self._codec = codec
        self._counters = counters
        self._monitor = monitor
        self._outbox: list[bytes] = []
        self._received: collections.deque[messages.Message] = collections.deque()
        self._write_needed = asyncio.Event()
        self._writer: asyncio.Task[None] | None = None
        self._last_received_at = asyncio.get_running_loop().time()

    @property
    def last_received_at(self) -> float:
        """Time at which the last frame arrived, in seconds of the event loop's clock."""
        return self._last_received_at

    async def __aenter__(self) -> Self:
        self._writer = asyncio.create_task(self._write())
        self._monitor.add(self)
        return self

    async def __aexit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, traceback: "TracebackType | None"
    ) -> None:
        assert self._writer is not None
        self._monitor.discard(self)
        self._writer.cancel()
        try:
            if isinstance(error, exceptions.ProtocolError):
                await self._report_violation(str(error))
        finally:
            self.abort()
        await asyncio.gather(self._writer, return_exceptions=True)

    def post(self, message: messages.Message) -> None:
        """Queue a message for sending; order is kept."""
        self._outbox.append(self._codec.encode(message))
        self._write_needed.set()

    async def receive(self) -> messages.Message:
        """Return the next message; raise `LinkClosedError` if the link is closed, `ProtocolError` for a bad frame."""
        while not self._received:
            try:
                frame = await self._connection.recv()
            except websockets.exceptions.ConnectionClosed as error:
                raise exceptions.LinkClosedError(str(error)) from error
            self._last_received_at = asyncio.get_running_loop().time()
            self._received.extend(self._codec.decode_all(frame))
            self._counters.add("fleet_frames_received", "", "")
            self._counters.add("fleet_bytes_received", "", "", len(frame))
        message = self._received.popleft()
        self._counters.add("fleet_messages_received", "", type(message).__name__)
        return message

    async def flush(self, timeout_s: float) -> None:
        """Wait until all posted messages are handed to the transport, for at most `timeout_s`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self._outbox:
                    await asyncio.sleep(0.01)

    def abort(self) -> None:
        """Close the connection at once, without sending what is pending."""
        self._connection.transport.abort()

    async def _report_violation(self, reason: str) -> None:
        self._counters.add("fleet_protocol_errors", "", "")
        short_reason = reason.encode()[:MAX_CLOSE_REASON_BYTES].decode(errors="ignore")
        with contextlib.suppress(TimeoutError, OSError, websockets.exceptions.WebSocketException):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._connection.close(frames.CloseCode.PROTOCOL_ERROR, short_reason)

    async def _write(self) -> None:
        with contextlib.suppress(websockets.exceptions.ConnectionClosed):
            while True:
                while self._outbox:
                    count = len(self._outbox)
                    await self._connection.send(b"".join(self._outbox))
                    del self._outbox[:count]
                self._write_needed.clear()
                await self._write_needed.wait()
