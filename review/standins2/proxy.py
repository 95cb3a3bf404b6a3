"""A TCP proxy on loopback that can be cut: bytes are held, and new connections hang."""

import asyncio
import contextlib

FIRST_RETRANSMISSION_S = 0.2


class Proxy:
    """Forwards connections from `listen` to `target`, both pairs of address and port."""

    def __init__(self, listen, target):
        self._listen, self._target = listen, target
        self._open = asyncio.Event()
        self._open.set()
        self._server = None
        self._tasks = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, *self._listen)
        return self

    async def __aexit__(self, *exception):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self):
        self._open.clear()

    def heal(self):
        self._open.set()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        inner = None
        try:
            await self._wait(reader)
            inner_reader, inner = await asyncio.open_connection(*self._target)
            pumps = [
                asyncio.ensure_future(self._pump(reader, inner)),
                asyncio.ensure_future(self._pump(inner_reader, writer)),
            ]
            try:
                await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
                await self._cross(asyncio.get_running_loop().time())
            finally:
                for pump in pumps:
                    pump.cancel()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            for each in (writer, inner):
                if each is not None:
                    each.transport.abort()

    async def _cross(self, closed_at):
        """Wait until the end of a connection, sent at `closed_at`, has crossed the proxy.

        TCP sends it again 0.2, 0.6, 1.4, 3.0, 6.2, ... s after the first time, so it may come some time after a cut.
        """
        loop = asyncio.get_running_loop()
        pause_s = FIRST_RETRANSMISSION_S
        arrives_at = closed_at
        while not self._open.is_set():
            arrives_at += pause_s
            pause_s *= 2
            await asyncio.sleep(max(0.0, arrives_at - loop.time()))

    async def _wait(self, reader):
        """Wait until the cut is over; raise `OSError` if the dialling side has given up by then."""
        await self._open.wait()
        await asyncio.sleep(0)
        if reader.at_eof():
            raise ConnectionResetError

    async def _pump(self, reader, writer):
        with contextlib.suppress(OSError):
            while chunk := await reader.read(65536):
                await self._open.wait()
                writer.write(chunk)
                await writer.drain()
