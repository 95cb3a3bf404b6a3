"""A message connection between two processes of the system."""

import asyncio
import collections
import contextlib
from typing import TYPE_CHECKING, Self

import websockets.exceptions
from websockets import frames

from cactusgauge import exceptions
from cactusgauge.wire import codec as codec_module

if TYPE_CHECKING:
    from collections import abc
    from types import TracebackType

    from websockets.asyncio import connection as connection_module

    from cactusgauge import observability
    from cactusgauge.wire import messages

HEARTBEAT_INTERVAL_S = 1.0
SILENCE_TIMEOUT_S = 3.0  # three missed heartbeats
SUSPECT_AFTER_S = 2.0  # after two missed heartbeats, new work goes elsewhere before the link is aborted
IDLE_HEARTBEAT_INTERVAL_S = 5.0  # the 122 idle links of an entry at the target size take less than 7 KB/s
IDLE_SILENCE_TIMEOUT_S = 15.0
GRACE_AFTER_PAUSE_S = 0.2  # a process that was itself suspended first reads the messages that arrived meanwhile
DRAIN_TIMEOUT_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.01
MAX_CLOSE_REASON_BYTES = 120  # WebSocket limits the close reason to 123 bytes


class Link:
    """Sends and receives typed messages over one WebSocket connection.

    `post` queues a message without waiting and a writer task sends it, so that a slow peer does not block the caller.
    On an active link, the writer sends a heartbeat after HEARTBEAT_INTERVAL_S without another message, and a separate
    task aborts the connection after SILENCE_TIMEOUT_S without a message from the peer; it is separate because the
    writer may be blocked by an unresponsive peer. An idle link uses IDLE_HEARTBEAT_INTERVAL_S and
    IDLE_SILENCE_TIMEOUT_S. During the handshake `heartbeat` returns None and no heartbeat is sent: a slow peer would
    receive it instead of the handshake message that it expects. `workspace` is the label of the link's counters.
    """

    def __init__(
        self,
        connection: "connection_module.Connection",
        codec: codec_module.FrameCodec,
        counters: "observability.Counters",
        heartbeat: "abc.Callable[[], messages.Message | None]",
    ) -> None:
        self._connection = connection
        self._codec = codec
        self._counters = counters
        self._heartbeat = heartbeat
        self._outbox: collections.deque[messages.Message] = collections.deque()
        self._wake = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._aborted = False
        self._last_received = asyncio.get_running_loop().time()
        self._active = True
        self._became_active = asyncio.Event()
        self._active_since = self._last_received
        self.workspace = ""

    @property
    def is_silent(self) -> bool:
        """Whether the last message of the peer is older than the silence timeout."""
        return asyncio.get_running_loop().time() >= self._silence_deadline

    @property
    def is_suspect(self) -> bool:
        """Whether the peer has been silent for so long that it should get no new work."""
        return asyncio.get_running_loop().time() >= self._silence_deadline - (SILENCE_TIMEOUT_S - SUSPECT_AFTER_S)

    @property
    def is_drained(self) -> bool:
        """Whether every posted message has been passed to the transport."""
        return not self._outbox

    @property
    def _silence_deadline(self) -> float:
        if self._active:
            return max(self._last_received, self._active_since) + SILENCE_TIMEOUT_S
        return self._last_received + IDLE_SILENCE_TIMEOUT_S

    async def __aenter__(self) -> Self:
        self._tasks = [asyncio.create_task(self._write()), asyncio.create_task(self._monitor_silence())]
        return self

    async def __aexit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, traceback: "TracebackType | None"
    ) -> None:
        for task in self._tasks:
            task.cancel()
        try:
            await asyncio.gather(*self._tasks, return_exceptions=True)
        except asyncio.CancelledError:
            self.abort()
            raise
        if isinstance(error, exceptions.ProtocolError):
            self._counters.add("protocol_errors", self.workspace, "")
            await self.close(str(error), code=1002)  # the WebSocket code of a protocol error
        else:
            await self.close("closed")

    def post(self, message: "messages.Message") -> None:
        """Queue a message; messages are sent in the order of the calls."""
        self._outbox.append(message)
        self._wake.set()

    def set_active(self, active: bool) -> None:
        """Set whether work depends on the link; both sides derive this from the running and the queued tasks."""
        if active == self._active:
            return
        self._active = active
        if active:
            self._active_since = asyncio.get_running_loop().time()
            self._wake.set()
            self._became_active.set()

    async def receive(self) -> "messages.Message":
        """Return the next message; raise `LinkClosedError` if the link is closed, `ProtocolError` for a bad frame."""
        try:
            frame = await self._connection.recv()
        except websockets.exceptions.ConnectionClosed as error:
            if error.sent is not None and error.sent.code == frames.CloseCode.MESSAGE_TOO_BIG:
                self._counters.add("bad_frames", self.workspace, "")
            raise exceptions.LinkClosedError(str(error)) from error
        if self._aborted:
            raise exceptions.LinkClosedError("the link was aborted")
        self._last_received = asyncio.get_running_loop().time()
        try:
            message = self._codec.decode(frame)
        except exceptions.ProtocolError:
            self._counters.add("bad_frames", self.workspace, "")
            raise
        name = type(message).__name__
        self._counters.add("messages_received", self.workspace, name)
        self._counters.add("bytes_received", self.workspace, name, len(frame))
        return message

    @staticmethod
    async def drain(links: "abc.Iterable[Link]") -> None:
        """Wait up to DRAIN_TIMEOUT_S until the posted messages of all given links have been passed to the transport."""
        links = list(links)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                while not all(link.is_drained for link in links):
                    await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    async def close(self, reason: str, code: int = 1000) -> None:
        """Close the connection with a reason for the peer."""
        self._wake.set()
        short_reason = reason.encode()[:MAX_CLOSE_REASON_BYTES].decode(errors="ignore")
        with contextlib.suppress(OSError, websockets.exceptions.WebSocketException):
            await self._connection.close(code, short_reason)

    def abort(self) -> None:
        """Drop the connection immediately, without a close handshake; unread frames are lost."""
        self._aborted = True
        self._connection.transport.abort()

    async def _write(self) -> None:
        with contextlib.suppress(websockets.exceptions.ConnectionClosed):
            while True:
                await self._send_outbox()
                await self._wait_for_message()

    async def _send_outbox(self) -> None:
        while self._outbox:
            message = self._outbox[0]
            frame = self._codec.encode(message)
            await self._connection.send(frame)
            self._outbox.popleft()
            name = type(message).__name__
            self._counters.add("messages_sent", self.workspace, name)
            self._counters.add("bytes_sent", self.workspace, name, len(frame))

    async def _wait_for_message(self) -> None:
        self._wake.clear()
        if self._outbox:
            return
        try:
            async with asyncio.timeout(HEARTBEAT_INTERVAL_S if self._active else IDLE_HEARTBEAT_INTERVAL_S):
                await self._wake.wait()
        except TimeoutError:
            heartbeat = self._heartbeat()
            if heartbeat is not None:
                self._outbox.append(heartbeat)

    async def _monitor_silence(self) -> None:
        loop = asyncio.get_running_loop()
        while not self._aborted:
            self._became_active.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(self._silence_deadline):
                    await self._became_active.wait()
            if loop.time() < self._silence_deadline:
                continue
            await asyncio.sleep(GRACE_AFTER_PAUSE_S)
            if self.is_silent:
                self.abort()
