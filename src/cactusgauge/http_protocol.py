"""The HTTP/1.1 protocol of the daemons' servers."""

import asyncio
from typing import cast

from uvicorn.protocols.http import httptools_impl

from cactusgauge import batching_transport


class HttpProtocol(httptools_impl.HttpToolsProtocol):
    """Sends the head and the body of a response at once, so that no client is left with a head alone."""

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Use a new connection."""
        super().connection_made(cast("asyncio.Transport", batching_transport.BatchingTransport(transport)))
