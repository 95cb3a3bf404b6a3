"""A TCP proxy on loopback that can reset, cut and silence connections."""

import asyncio
import socket
import struct
from typing import TYPE_CHECKING, Self

if TYPE_CHECKING:
    from collections import abc

CHUNK_BYTES = 64 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # closing sends a reset in place of the usual end of the stream


class Connection:
    """A proxied connection: its client's side and the side of the process behind the proxy."""

    def __init__(self, client: asyncio.StreamWriter, server: asyncio.StreamWriter) -> None:
        self.client = client
        self.server = server
        self.is_silent = False

    @property
    def client_port(self) -> int:
        """Port from which the connection was opened."""
        return int(self.client.get_extra_info("peername")[1])

    def close(self) -> None:
        """Close both sides once everything that was received is sent."""
        for writer in (self.client, self.server):
            writer.close()

    def reset(self) -> None:
        """Reset both sides."""
        for writer in (self.client, self.server):
            handle = writer.get_extra_info("socket")
            if handle is not None and handle.fileno() >= 0:
                handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()


class Proxy:
    """Forwards connections from `listen` to `target`.

    `is_cut_off`, if set, tells from the port of a connection's client whether that client's machine is cut off: its
    bytes are held, and its new connections hang.
    """

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self._listen = listen
        self._target = target
        self.is_cut_off: abc.Callable[[int], bool] | None = None
        self.connections: set[Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._open = asyncio.Event()
        self._open.set()

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._serve, *self._listen)
        return self

    async def __aexit__(self, *exception: object) -> None:
        assert self._server is not None
        self._server.close()
        for connection in list(self.connections):
            connection.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        """Hold the bytes of all connections in both directions, as a partition does."""
        self._open.clear()

    def heal(self) -> None:
        """End a cut; the bytes that were held are delivered."""
        self._open.set()

    def silence(self) -> None:
        """Let the connections that are open now go silent for good; new ones work."""
        for connection in self.connections:
            connection.is_silent = True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        port = int(writer.get_extra_info("peername")[1])
        try:
            await self._wait_until_open(port)
            server_reader, server_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        connection = Connection(writer, server_writer)
        self.connections.add(connection)
        pumps = [
            asyncio.create_task(self._pump(reader, server_writer, connection)),
            asyncio.create_task(self._pump(server_reader, writer, connection)),
        ]
        self._tasks.update(pumps)
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.connections.discard(connection)
            await asyncio.sleep(0)
            for pump in pumps:
                pump.cancel()
            self._tasks.difference_update(pumps)
            connection.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, connection: Connection) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self._wait_until_open(connection.client_port)
                if connection.is_silent:
                    continue
                writer.write(chunk)
                await writer.drain()
            while connection.is_silent:
                await asyncio.sleep(1.0)
            await self._wait_until_open(connection.client_port)
        except OSError:
            pass

    async def _wait_until_open(self, client_port: int) -> None:
        await self._open.wait()
        while self.is_cut_off is not None and self.is_cut_off(client_port):
            await asyncio.sleep(0.01)
