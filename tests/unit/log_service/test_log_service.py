"""Contract tests of `LogService`, for the in-memory log and for the HTTP client with the emulated platform log."""

import asyncio
import contextlib
from collections import abc

import aiohttp
import falcon.asgi
import pytest

from cactusgauge import exceptions, http_server, log_service
from emulator import cluster, memory_log, platform_log

STREAM = "stream"


class Setup:
    """A log service and the in-memory streams behind it."""

    def __init__(self, service: log_service.LogService, streams: memory_log.MemoryLog) -> None:
        self.service = service
        self.streams = streams


@contextlib.asynccontextmanager
async def client_of(
    app: "falcon.asgi.App[falcon.asgi.Request, falcon.asgi.Response]",
) -> abc.AsyncIterator[log_service.LogService]:
    """Serve an application and yield a client for it."""
    port = cluster.free_port()
    server = http_server.HttpServer(app, cluster.HOST, port)
    serving = asyncio.create_task(server.run_until_stopped())
    while not server.started:
        await asyncio.sleep(0.01)
    async with aiohttp.ClientSession() as session:
        yield log_service.HttpLogService(session, f"http://{cluster.HOST}:{port}")
    server.stop()
    await serving


@pytest.fixture(params=["memory", "http"])
async def setup(request: pytest.FixtureRequest) -> abc.AsyncIterator[Setup]:
    """Yield each implementation."""
    streams = memory_log.MemoryLog()
    if request.param == "memory":
        yield Setup(streams, streams)
        return
    app = falcon.asgi.App()
    platform_log.PlatformLog(streams).add_to(app)
    async with client_of(app) as service:
        yield Setup(service, streams)


async def test_offsets_are_consecutive_and_reads_are_limited(setup: Setup) -> None:
    """Guards against records that are skipped, repeated or altered."""
    records = [bytes([number, 255]) for number in range(5)]
    assert [await setup.service.append(STREAM, data) for data in records] == [0, 1, 2, 3, 4]
    page = await setup.service.read(STREAM, 1, 2)
    assert page == log_service.LogPage(
        [log_service.LogRecord(1, records[1]), log_service.LogRecord(2, records[2])], 0, 5
    )
    assert await setup.service.read(STREAM, 5, 2) == log_service.LogPage([], 0, 5)
    assert await setup.service.read("other", 0, 2) == log_service.LogPage([], 0, 0)


async def test_trimmed_read_shows_the_first_offset(setup: Setup) -> None:
    """Guards against a gap that the reader cannot detect."""
    for number in range(4):
        await setup.service.append(STREAM, bytes([number]))
    setup.streams.trim(STREAM, 3)
    assert await setup.service.read(STREAM, 1, 9) == log_service.LogPage([log_service.LogRecord(3, bytes([3]))], 3, 4)


async def test_faults_raise_errors_and_leave_the_outcome_unknown(setup: Setup) -> None:
    """Guards against treating an append whose reply is lost as not done, and against ignored faults."""
    setup.streams.faults.lose_replies = 1
    with pytest.raises(exceptions.LogServiceError):
        await setup.service.append(STREAM, b"a")
    assert (await setup.service.read(STREAM, 0, 9)).end_offset == 1
    setup.streams.faults.appends_per_s = 0.001
    await setup.service.append(STREAM, b"b")
    with pytest.raises(exceptions.LogServiceError):
        await setup.service.append(STREAM, b"c")
    assert (await setup.service.read(STREAM, 0, 9)).end_offset == 2
    setup.streams.faults = memory_log.LogFaults(unavailable=True)
    with pytest.raises(exceptions.LogServiceError):
        await setup.service.read(STREAM, 0, 9)


@pytest.mark.parametrize("body", [b"", b"[]", b'{"first": 0, "end": 1, "records": [{"offset": 0, "data": "%"}]}'])
async def test_malformed_reply_is_an_error(body: bytes) -> None:
    """Guards against exceptions other than `LogServiceError`, which callers do not handle."""

    class MalformedResource:
        async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response, stream: str) -> None:
            response.data = body

    app = falcon.asgi.App()
    app.add_route("/v1/streams/{stream}/records", MalformedResource())
    async with client_of(app) as service:
        with pytest.raises(exceptions.LogServiceError):
            await service.read(STREAM, 0, 9)
