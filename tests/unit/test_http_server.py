import asyncio
import socket

import falcon.asgi

from cactusgauge import http_server
from cactusgauge.platform import asgi

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


async def _answer(scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
    await asgi.respond(send, 200, {"state": "succeeded"})


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


async def test_answer_arrives_in_one_piece() -> None:
    """Guards against a caller that reads 200 and then loses the connection before it can read the job's state."""
    server = http_server.HttpServer(_answer, "127.0.0.1", 0)
    serving = asyncio.create_task(server.run_until_stopped())
    while not server.started:
        await asyncio.sleep(0.01)
    address = server.servers[0].sockets[0].getsockname()
    answers = await asyncio.to_thread(_first_reads, address, 100)
    server.stop()
    await serving
    assert {answer.endswith(b'{"state":"succeeded"}') for answer in answers} == {True}


def _first_reads(address: tuple[str, int], requests: int) -> list[bytes]:
    """Send requests on connections of their own and return what the first read of each answer gives."""
    answers = []
    for _ in range(requests):
        with socket.create_connection(address) as client:
            client.sendall(REQUEST)
            answers.append(client.recv(10_000))
    return answers
