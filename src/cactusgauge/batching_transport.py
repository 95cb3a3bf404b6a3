"""A transport that sends what is written within one turn of the event loop at once."""

import asyncio
from typing import Any


class BatchingTransport:
    """Wraps a transport and joins its writes; everything else is passed on to it."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._pending: list[bytes] = []

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        """Queue data, which is sent when the current turn of the event loop has ended."""
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._flush)
        self._pending.append(data)

    def close(self) -> None:
        """Send what is queued and close the transport."""
        self._flush()
        self._transport.close()

    def _flush(self) -> None:
        data = b"".join(self._pending)
        self._pending.clear()
        if data and not self._transport.is_closing():
            self._transport.write(data)
