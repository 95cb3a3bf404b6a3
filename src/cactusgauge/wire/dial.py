"""Opens connections to other processes of ours."""

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING

import websockets.exceptions
from websockets.asyncio import client

from cactusgauge import exceptions
from cactusgauge.wire import codec

if TYPE_CHECKING:
    from collections import abc

OPEN_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 1.0


async def dial(url: str) -> client.ClientConnection:
    """Return a connection for a `Link`; heartbeats and bounds on silence are the link's, not the library's."""
    return await client.connect(
        url,
        compression=None,
        ping_interval=None,
        max_size=codec.MAX_FRAME_BYTES,
        open_timeout=OPEN_TIMEOUT_S,
        close_timeout=CLOSE_TIMEOUT_S,
        proxy=None,
    )


async def redial_forever(
    dial_once: "abc.Callable[[], abc.Awaitable[None]]", min_pause_s: float, max_pause_s: float
) -> None:
    """Dial, and serve the link until it ends, again and again, with a random pause in between."""
    while True:
        with contextlib.suppress(
            OSError, TimeoutError, websockets.exceptions.WebSocketException, exceptions.CactusgaugeError
        ):
            await dial_once()
        await asyncio.sleep(random.uniform(min_pause_s, max_pause_s))
