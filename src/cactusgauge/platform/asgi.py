"""Helpers for the ASGI applications of this package."""

import json
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections import abc

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class BodyTooLargeError(Exception):
    """The body of a request exceeds its size limit."""


async def read_body(receive: Receive, limit: int) -> bytes | None:
    """Return the whole body, or None if the client disconnected before sending all of it.

    Raise `BodyTooLargeError` if the body is longer than `limit` bytes.
    """
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > limit:
            raise BodyTooLargeError
        chunks.append(chunk)
        if not message.get("more_body"):
            return b"".join(chunks)


async def respond(
    send: Send,
    status: int,
    body: "dict[str, Any] | bytes",
    headers: "abc.Iterable[tuple[bytes, bytes]]" = (),
) -> None:
    """Send a complete response; a dict is encoded as JSON, bytes are sent as Prometheus text."""
    content = body if isinstance(body, bytes) else json.dumps(body, separators=(",", ":")).encode()
    kind = b"text/plain; version=0.0.4" if isinstance(body, bytes) else b"application/json"
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                (b"content-type", kind),
                (b"content-length", str(len(content)).encode()),
                *headers,
            ],
        }
    )
    await send({"type": "http.response.body", "body": content})


async def refuse_websocket(receive: Receive, send: Send) -> None:
    """Refuse a WebSocket connection, which the server answers with 403."""
    await receive()
    await send({"type": "websocket.close"})


def header(scope: Scope, name: bytes) -> str:
    """Return the value of a header, or an empty string if it is absent; `name` must be in lower case."""
    for key, value in scope["headers"]:
        if key == name:
            return str(value.decode("latin-1"))
    return ""
