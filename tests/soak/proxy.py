"""A TCP proxy that can delay, hold, silence, reset and refuse connections."""

import asyncio
import contextlib
import random
from typing import Self

CHUNK_BYTES = 64 * 1024


class _Direction:
    """State of one direction of all connections: bytes are held while it is cut, else delayed by `delay_s`."""

    def __init__(self) -> None:
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.delay_s = 0.0


class _Connection:
    """The two sides of a connection; a silenced connection stays open but discards all bytes."""

    def __init__(self, client: asyncio.StreamWriter, server: asyncio.StreamWriter) -> None:
        self.client = client
        self.server = server
        self.is_silenced = False

    def reset(self) -> None:
        """Abort the connections of both sides."""
        self.client.transport.abort()
        self.server.transport.abort()


class Proxy:
    """Forwards connections from one address to another; use it as an async context manager."""

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self._listen = listen
        self._target = target
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._accepting = asyncio.Lock()
        self._forward = _Direction()
        self._backward = _Direction()

    async def __aenter__(self) -> Self:
        await self.accept()
        return self

    async def __aexit__(self, *exception: object) -> None:
        self.refuse()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def accept(self) -> None:
        """Listen for connections; also undoes `refuse`."""
        async with self._accepting:
            if self._server is None:
                self._server = await asyncio.start_server(self._serve, *self._listen)

    def refuse(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self._connections):
            connection.reset()

    def cut(self, forward: bool, backward: bool) -> None:
        """Hold the bytes of one or both directions on open and new connections."""
        if forward:
            self._forward.is_open.clear()
        if backward:
            self._backward.is_open.clear()

    def delay(self, seconds: float) -> None:
        """Delay each chunk in both directions."""
        self._forward.delay_s = self._backward.delay_s = seconds

    def heal(self) -> None:
        """End cuts and delays; held bytes are then forwarded."""
        self._forward.is_open.set()
        self._backward.is_open.set()
        self.delay(0.0)

    def reset(self, share: float, rng: random.Random) -> None:
        """Reset a random share of the open connections."""
        for connection in self._sample(share, rng):
            connection.reset()

    def silence(self, share: float, rng: random.Random) -> None:
        """Silence a random share of the open connections permanently; new connections work."""
        for connection in self._sample(share, rng):
            connection.is_silenced = True

    def _sample(self, share: float, rng: random.Random) -> list[_Connection]:
        return [each for each in list(self._connections) if rng.random() < share]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            server_reader, server_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()  # the client sees a failed connection, as without the proxy
            return
        connection = _Connection(writer, server_writer)
        self._connections.add(connection)
        pumps = [
            asyncio.create_task(self._pump(reader, server_writer, self._forward, connection)),
            asyncio.create_task(self._pump(server_reader, writer, self._backward, connection)),
        ]
        self._tasks.update(pumps)
        try:
            await asyncio.wait(pumps)
        finally:
            connection.reset()
            self._connections.discard(connection)
            self._tasks.difference_update(pumps)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: _Direction,
        connection: _Connection,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await direction.is_open.wait()
                if direction.delay_s:
                    await asyncio.sleep(direction.delay_s)
                if connection.is_silenced:
                    continue
                writer.write(chunk)
                await writer.drain()
            if not connection.is_silenced and writer.can_write_eof():
                writer.write_eof()
