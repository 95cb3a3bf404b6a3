"""Opens connections to other processes of the system."""

from websockets.asyncio import client

from cactusgauge.wire import codec

OPEN_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 1.0


async def dial(url: str, open_timeout_s: float = OPEN_TIMEOUT_S) -> client.ClientConnection:
    """Open a connection for a `Link`, which sends its own heartbeats and so needs no pings of the library."""
    return await client.connect(
        url,
        compression=None,
        ping_interval=None,
        max_size=codec.MAX_FRAME_BYTES,
        open_timeout=open_timeout_s,
        close_timeout=CLOSE_TIMEOUT_S,
        proxy=None,
    )
