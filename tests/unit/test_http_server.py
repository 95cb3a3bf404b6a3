import asyncio
import socket

import falcon.asgi

from cactusgauge import http_server


async def test_connection_accepted_during_the_shutdown_is_closed() -> None:
    """Guards against a shutdown that never ends, as it waits for a connection that its client keeps using."""
    server = http_server.HttpServer(falcon.asgi.App(), "127.0.0.1", 0)
    serving = asyncio.create_task(server.run_until_stopped())
    while not server.started:
        await asyncio.sleep(0.01)
    client, accepted = socket.socketpair()
    listener = server.servers[0]
    server.stop()
    while listener.is_serving():
        await asyncio.sleep(0.01)

    def new_protocol() -> asyncio.BaseProtocol:
        return server.config.http_protocol_class(server.config, server.server_state, {})  # type: ignore[call-arg]

    # The event loop does this for a connection that it accepted just before the listener was closed.
    await asyncio.get_running_loop().connect_accepted_socket(new_protocol, accepted)
    with client:
        await asyncio.wait([serving], timeout=10)
        assert serving.done()
