"""A stand-in for the platform's store: keyed topics of one partition, as PROTOCOL.md describes.

Only the calls that the programs make are there: `log-newest`, `log-read`, `log-append`. It answers after 4 ms, the time
that SYSTEM.md gives.
"""

import asyncio
import base64
import json
import struct

from aiohttp import web

ANSWER_S = 0.004
READ_HEADER = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")


class Store:
    """Keeps all records; keys are never dropped."""

    def __init__(self, ip: str, port: int) -> None:
        self._ip = ip
        self._port = port
        self._records: dict[str, list[bytes]] = {}
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen for calls."""
        app = web.Application()
        app.router.add_get("/-/log-newest", self._newest)
        app.router.add_get("/-/log-read", self._read)
        app.router.add_post("/-/log-append", self._append)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.05, keepalive_timeout=3600.0)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._ip, self._port, reuse_address=True).start()

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record as the operator does; the return is the acknowledgement."""
        self._records.setdefault(topic, []).append(bytes([len(key)]) + key.encode() + value)

    async def _newest(self, request: web.Request) -> web.Response:
        await asyncio.sleep(ANSWER_S)
        records = self._records.get(request.query["topic"], [])
        newest = {record[1 : 1 + record[0]].decode(): (offset, record) for offset, record in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(record[1 + record[0] :]).decode(), "offset": offset}
            for key, (offset, record) in sorted(newest.items())
        ]
        return web.json_response({"items": items, "has_more": False, "end": len(records)})

    async def _read(self, request: web.Request) -> web.Response:
        loop = asyncio.get_running_loop()
        records = self._records.setdefault(request.query["topic"], [])
        start = int(request.query["from"])
        until = loop.time() + int(request.query.get("wait_ms", "0")) / 1000
        while len(records) <= start and loop.time() < until:
            await asyncio.sleep(0.005)
        await asyncio.sleep(ANSWER_S)
        content = b"".join(LENGTH.pack(len(record)) + record for record in records[start:])
        return web.Response(body=READ_HEADER.pack(len(records), 0) + content)

    async def _append(self, request: web.Request) -> web.Response:
        body = await request.read()
        await asyncio.sleep(ANSWER_S)
        records = self._records.setdefault(request.query["topic"], [])
        offset, position = len(records), 0
        while position + LENGTH.size <= len(body):
            (length,) = LENGTH.unpack_from(body, position)
            position += LENGTH.size
            records.append(body[position : position + length])
            position += length
        return web.json_response({"offset": offset, "end": len(records)})


def config(version: int, routes: list[dict[str, object]]) -> bytes:
    """Return the value of `op/config`."""
    services = [{"name": name} for name in sorted({str(route["service"]) for route in routes})]
    return json.dumps({"version": version, "routes": routes, "services": services, "limits": {}}).encode()
