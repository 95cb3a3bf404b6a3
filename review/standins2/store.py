"""A stand-in of the platform's store, with the calls that the processes use.

Each process has a port of its own, so that one machine can be partitioned from the store while all others are served.
"""

import asyncio
import base64
import struct

from aiohttp import web

HEADER = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")
ANSWER_S = 0.004


class Store:
    """Topics with one partition; `put` writes as the operator does."""

    def __init__(self):
        self.topics = {}  # topic -> list of records
        self.cut_ports = set()
        self._runners = []

    async def listen(self, ip, port):
        app = web.Application(client_max_size=4_000_000)
        app.router.add_post("/-/log-append", self._append)
        app.router.add_get("/-/log-read", self._read)
        app.router.add_get("/-/log-newest", self._newest)
        runner = web.AppRunner(app, handler_cancellation=True, access_log=None, shutdown_timeout=0.5)
        await runner.setup()
        await web.TCPSite(runner, ip, port).start()
        self._runners.append(runner)

    async def close(self):
        self.cut_ports.clear()
        for runner in self._runners:
            await runner.cleanup()

    def put(self, topic, key, value):
        self.topics.setdefault(topic, []).append(bytes([len(key)]) + key.encode() + value)

    def _address(self, request):
        return request.transport.get_extra_info("sockname")[:2] if request.transport else None

    async def _pass(self, request):
        """Hold a call of a machine that is partitioned from the store, and its answer, until the cut is over.

        If the caller has closed its connection by then, nothing is done.
        """
        while self._address(request) in self.cut_ports:
            await asyncio.sleep(0.01)
        if request.transport is None or request.transport.is_closing():
            raise web.HTTPServiceUnavailable

    async def _append(self, request):
        await self._pass(request)
        await asyncio.sleep(ANSWER_S)
        body = await request.read()
        topic = request.query["topic"]
        records = self.topics.setdefault(topic, [])
        offset, position = len(records), 0
        while position < len(body):
            (length,) = LENGTH.unpack_from(body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        await self._pass(request)
        return web.json_response({"offset": offset, "end": len(records)})

    async def _read(self, request):
        await self._pass(request)
        await asyncio.sleep(ANSWER_S)
        topic, start = request.query["topic"], int(request.query["from"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(request.query.get("wait_ms", "0")) / 1000
        records = self.topics.setdefault(topic, [])
        while len(records) <= start and loop.time() < until:
            await asyncio.sleep(0.005)
            await self._pass(request)
        await self._pass(request)
        content = b"".join(LENGTH.pack(len(record)) + record for record in records[start:])
        return web.Response(body=HEADER.pack(len(records), 0) + content, content_type="application/octet-stream")

    async def _newest(self, request):
        await self._pass(request)
        await asyncio.sleep(ANSWER_S)
        records = self.topics.setdefault(request.query["topic"], [])
        newest = {}
        for offset, record in enumerate(records):
            newest[record[1 : 1 + record[0]].decode()] = (offset, record[1 + record[0] :])
        keys = sorted(key for key in newest if key > request.query.get("depends_on", "") and newest[key][1])
        items = [
            {"key": key, "value": base64.b64encode(newest[key][1]).decode(), "offset": newest[key][0]}
            for key in keys[:500]
        ]
        return web.json_response({"items": items, "has_more": len(keys) > 500, "end": len(records)})
