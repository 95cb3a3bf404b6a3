"""Runs a falcon application on uvicorn inside a daemon."""

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

import uvicorn

from cactusgauge import exceptions, http_protocol

if TYPE_CHECKING:
    import socket
    from collections import abc

    import falcon.asgi

BACKLOG = 2048  # connections that the kernel queues until they are accepted
KEEP_ALIVE_S = 30  # how long an idle connection stays open
CLOSE_POLL_INTERVAL_S = 0.1


class HttpServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon."""

    def __init__(
        self,
        app: "falcon.asgi.App[falcon.asgi.Request, falcon.asgi.Response] | abc.Callable[..., abc.Awaitable[None]]",
        host: str,
        port: int,
        keep_alive_s: int = KEEP_ALIVE_S,
    ) -> None:
        super().__init__(
            uvicorn.Config(
                app,
                host=host,
                port=port,
                http=http_protocol.HttpProtocol,
                log_config=None,
                access_log=False,
                lifespan="off",
                backlog=BACKLOG,
                timeout_keep_alive=keep_alive_s,
                date_header=False,
                server_header=False,
                proxy_headers=False,
            )
        )
        self._stop_requested = asyncio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> "abc.Generator[None]":
        """Do nothing: the daemon handles SIGTERM and SIGINT."""
        yield

    async def run_until_stopped(self) -> None:
        """Serve until `stop`; raise `SettingsError` if the port cannot be bound."""
        try:
            await self.serve()
        except SystemExit as error:
            raise exceptions.SettingsError(
                f"cannot listen on {self.config.host}:{self.config.port}; is the port in use?"
            ) from error

    def stop(self) -> None:
        """Stop accepting connections and return from `run_until_stopped` once open requests are answered."""
        self.should_exit = True
        self._stop_requested.set()

    async def main_loop(self) -> None:
        """Wait for `stop`; uvicorn's own loop would wake up ten times a second to check for it."""
        await self._stop_requested.wait()

    async def shutdown(self, sockets: "list[socket.socket] | None" = None) -> None:
        """Close the listener, finish open requests and close all connections."""
        # uvicorn closes only the connections that exist when its shutdown begins. One that is still being accepted
        # would stay open as long as its client uses it, and the shutdown waits for every connection.
        closing = asyncio.create_task(self._close_new_connections(set(self.server_state.connections)))
        try:
            await super().shutdown(sockets)
        finally:
            closing.cancel()

    async def _close_new_connections(self, already_closed: set[Any]) -> None:
        while True:
            for connection in self.server_state.connections - already_closed:
                connection.shutdown()
                already_closed.add(connection)
            await asyncio.sleep(CLOSE_POLL_INTERVAL_S)
