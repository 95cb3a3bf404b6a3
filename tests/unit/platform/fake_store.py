"""An in-memory fake of the platform's store, with the calls that the adapter uses."""

import asyncio
import base64
import contextlib
import json
import struct
from typing import TYPE_CHECKING, Any

from cactusgauge import http_server
from cactusgauge.platform import asgi

if TYPE_CHECKING:
    from collections import abc

READ_HEADER = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")


class FakeStore:
    """Keeps keyed topics in memory.

    A `status` other than 200 is returned for every call; `first_offset` is the first retained offset.
    """

    def __init__(self) -> None:
        self.records: dict[str, list[bytes]] = {}
        self.status = 200
        self.first_offset = 0
        self.page_size = 500

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record."""
        self.records.setdefault(topic, []).append(bytes([len(key)]) + key.encode() + value)

    async def __call__(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        """Handle one request."""
        body = await asgi.read_body(receive, 1_000_000)
        if body is None:
            return  # the client has disconnected
        query = dict(part.split("=", 1) for part in scope["query_string"].decode().split("&") if part)
        if self.status != 200:
            await asgi.respond(send, self.status, {})
            return
        records = self.records.setdefault(query["topic"], [])
        if scope["path"] == "/-/log-newest":
            await asgi.respond(send, 200, self._newest(records, query.get("depends_on", "")))
        elif scope["path"] == "/-/log-append":
            records.append(body[RECORD_LENGTH.size :])
            await asgi.respond(send, 200, {"offset": len(records) - 1, "end": len(records)})
        else:
            await self._read(records, query, send)

    def _newest(self, records: list[bytes], after: str) -> dict[str, Any]:
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(records):
            newest[record[1 : 1 + record[0]].decode()] = (offset, record[1 + record[0] :])
        keys = sorted(key for key in newest if key > after)
        items = [
            {"key": key, "value": base64.b64encode(newest[key][1]).decode(), "offset": newest[key][0]}
            for key in keys[: self.page_size]
        ]
        return {"items": items, "has_more": len(keys) > self.page_size, "end": len(records)}

    async def _read(self, records: list[bytes], query: dict[str, str], send: asgi.Send) -> None:
        start = int(query["from"])
        if start < self.first_offset:
            await asgi.respond(send, 410, {"first": self.first_offset})
            return
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get("wait_ms", "0")) / 1000
        while len(records) <= start and loop.time() < until:
            await asyncio.sleep(0.01)
        content = b"".join(RECORD_LENGTH.pack(len(record)) + record for record in records[start:])
        await asgi.respond(send, 200, READ_HEADER.pack(len(records), self.first_offset) + content)


@contextlib.asynccontextmanager
async def serve_app(
    app: "abc.Callable[..., abc.Awaitable[None]]", port: int, host: str = "127.0.0.1"
) -> "abc.AsyncIterator[str]":
    """Serve an ASGI application on a loopback address and yield its URL."""
    server = http_server.HttpServer(app, host, port)
    task = asyncio.create_task(server.run_until_stopped())
    while not server.started:
        await asyncio.sleep(0.01)
    try:
        yield f"http://{host}:{port}"
    finally:
        server.stop()
        await task


def config_body(version: int) -> bytes:
    """Return the body of a configuration document."""
    return json.dumps({"version": version, "routes": [], "limits": {}}).encode()
