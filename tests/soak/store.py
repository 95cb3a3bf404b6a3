"""A fake of the platform's store with faults that a test can turn on."""

import asyncio
import enum
import random

from cactusgauge.platform import asgi
from tests.unit.platform import fake_store

SLOW_REPLY_S = 0.4  # a hundred times the usual response time


class StoreFault(enum.Enum):
    """The active fault of the store."""

    NONE = "none"
    BUSY = "busy"
    SLOW = "slow"
    SILENT = "silent"
    LOSES_ANSWERS = "loses_answers"


class FaultyStore:
    """ASGI application that wraps a `FakeStore`; a silent store responds after the fault has ended."""

    def __init__(self, store: fake_store.FakeStore, rng: random.Random) -> None:
        self._store = store
        self._rng = rng
        self.fault = StoreFault.NONE

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve a call or apply the current fault to it."""
        if self.fault is StoreFault.BUSY:
            await asgi.respond(send, 503, {})
            return
        if self.fault is StoreFault.SLOW:
            await asyncio.sleep(SLOW_REPLY_S)
        while self.fault is StoreFault.SILENT:
            await asyncio.sleep(0.05)
        if self.fault is StoreFault.LOSES_ANSWERS and self._rng.random() < 0.5:
            await self._store(scope, receive, _discard)
            await asyncio.sleep(5.0)  # longer than any timeout of the store's client
        else:
            await self._store(scope, receive, send)


async def _discard(message: dict[str, object]) -> None:
    """Send nothing."""
