"""TCP proxies on loopback that can block connections in one or both directions, or reset them."""

import asyncio
import contextlib
import os
import pathlib
import threading
from typing import TYPE_CHECKING, NamedTuple, Self

if TYPE_CHECKING:
    from collections import abc

HOST = "127.0.0.1"
CHUNK_BYTES = 65536
CALL_TIMEOUT_S = 10.0
UNKNOWN_CLIENT = "caller"


class Connection(NamedTuple):
    """One proxied connection; `writers` are the streams to the client and to the server."""

    client: str
    server: str
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]


class Network:
    """Emulates network faults between processes with TCP proxies in front of their ports.

    While a direction is blocked, bytes, new connections and the closing of connections are held back, as a network
    partition does to TCP. The event loop runs in its own thread, so that tests with blocking calls can use it.
    """

    def __init__(self, names_by_pid: "abc.Callable[[], dict[int, str]]") -> None:
        self._names_by_pid = names_by_pid
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._blocked: set[tuple[str, str]] = set()
        self._unblocked = asyncio.Event()
        self._connections: set[Connection] = set()
        self._listeners: list[asyncio.Server] = []

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *exception: object) -> None:
        self._call(self._cancel_all())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(CALL_TIMEOUT_S)
        self._loop.close()

    def listen(self, server: str, target_port: int) -> int:
        """Open a proxy to a port of the process `server` and return the port of the proxy."""
        return self._call(self._listen(server, target_port))

    def block(self, sender: str, receiver: str) -> None:
        """Hold back everything that `sender` sends to `receiver`."""
        self._loop.call_soon_threadsafe(self._blocked.add, (sender, receiver))

    def partition(self, process: str, *others: str) -> None:
        """Block both directions between a process and each of the others."""
        for other in others:
            self.block(process, other)
            self.block(other, process)

    def heal(self) -> None:
        """Unblock all directions."""
        self._loop.call_soon_threadsafe(self._heal)

    def reset(self, process: str, other: str) -> int:
        """Abort all connections between two processes and return their number."""
        return self._call(self._reset({process, other}))

    def _call(self, coroutine: "abc.Coroutine[object, object, int]") -> int:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(CALL_TIMEOUT_S)

    async def _cancel_all(self) -> int:
        for listener in self._listeners:
            listener.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return len(tasks)

    def _heal(self) -> None:
        self._blocked.clear()
        self._unblocked.set()
        self._unblocked = asyncio.Event()

    async def _reset(self, processes: set[str]) -> int:
        connections = [each for each in self._connections if {each.client, each.server} == processes]
        for connection in connections:
            for writer in connection.writers:
                writer.transport.abort()
        return len(connections)

    async def _listen(self, server: str, target_port: int) -> int:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await self._proxy_connection(server, target_port, reader, writer)
            writer.transport.abort()

        listener = await asyncio.start_server(serve, HOST, 0)
        self._listeners.append(listener)
        port: int = listener.sockets[0].getsockname()[1]
        return port

    async def _proxy_connection(
        self, server: str, target_port: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        client = self._find_client(writer)
        await self._wait_until_unblocked(client, server)
        if reader.at_eof():
            return
        target_reader, target_writer = await asyncio.open_connection(HOST, target_port)
        connection = Connection(client, server, (writer, target_writer))
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, client, server),
                self._forward(target_reader, writer, server, client),
            )
        finally:
            self._connections.discard(connection)
            target_writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sender: str, receiver: str
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self._wait_until_unblocked(sender, receiver)
                writer.write(data)
                await writer.drain()
        await self._wait_until_unblocked(sender, receiver)
        writer.close()

    async def _wait_until_unblocked(self, sender: str, receiver: str) -> None:
        while (sender, receiver) in self._blocked:
            await self._unblocked.wait()

    def _find_client(self, writer: asyncio.StreamWriter) -> str:
        """Return the name of the process that opened a connection, looked up in the kernel's table of TCP sockets."""
        # Seen from the client, the peer of this socket is the local address and its own address the remote one.
        local, remote = (self._hex_address(writer.get_extra_info(name)[1]) for name in ("peername", "sockname"))
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[1] == local and fields[2] == remote:
                return self._find_socket_owner(f"socket:[{fields[9]}]")  # the inode of the socket
        return UNKNOWN_CLIENT

    def _find_socket_owner(self, socket_link: str) -> str:
        for pid, name in self._names_by_pid().items():
            with contextlib.suppress(OSError):
                for descriptor in os.scandir(f"/proc/{pid}/fd"):
                    with contextlib.suppress(OSError):
                        if os.readlink(descriptor.path) == socket_link:
                            return name
        return UNKNOWN_CLIENT

    @staticmethod
    def _hex_address(port: int) -> str:
        """Return a port on 127.0.0.1 in the notation of /proc/net/tcp."""
        return f"0100007F:{port:04X}"
