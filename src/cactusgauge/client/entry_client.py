"""HTTP requests to entries and agents, without retries."""

import json
from typing import Any, NamedTuple, Self

import aiohttp

from cactusgauge import operations_resource

CONNECT_TIMEOUT_S = 1.0
# Added to the wait that a request asks for: the time to forward it to the session's owner or, in a recovery, to have
# the agents seal the session.
REPLY_TIMEOUT_MARGIN_S = 5.0
DOCUMENT_TIMEOUT_S = 2.0
NO_CONNECTION = "no_connection"  # code of the local reply when no connection could be opened


class EntryReply(NamedTuple):
    """A reply with a JSON object; `retry_after_s` is the value of its Retry-After header."""

    url: str
    status: int
    document: dict[str, Any]
    retry_after_s: float | None = None

    @property
    def code(self) -> str:
        """Error code of a refusal; empty for other replies."""
        return str(self.document.get("code", ""))

    @property
    def ran(self) -> str:
        """Execution status that a refusal states: `nothing` or `unknown`."""
        return str(self.document.get("ran", "unknown"))

    @property
    def message(self) -> str:
        """Error message of a refusal, on one line."""
        return " ".join(str(self.document.get("message", "")).split()) or f"HTTP status {self.status}"


class EntryClient:
    """Sends each request once; a reply that is not a JSON object of the HTTP interface counts as no reply.

    Connections are not reused: aiohttp retries an idempotent request if its reused connection was closed, so a refused
    connection would no longer prove that nothing was sent.
    """

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self._session.close()

    async def request(self, method: str, url: str, body: bytes = b"", wait_s: float | None = None) -> EntryReply | None:
        """Return the reply, or None if none arrived; `wait_s` is how long the entry may hold the request open.

        If no connection could be opened, the reply has status 0 and the code NO_CONNECTION.
        """
        params = {} if wait_s is None else {"wait": f"{wait_s:.3f}"}
        timeout = aiohttp.ClientTimeout(total=(wait_s or 0) + REPLY_TIMEOUT_MARGIN_S, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.request(
                method, url, data=body or None, params=params, timeout=timeout, allow_redirects=False
            ) as response:
                document = json.loads(await response.read())
                retry_after_s = self._parse_retry_after(response.headers.get("Retry-After"))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            message = f"cannot connect to {url.partition('/v1/')[0]}"
            return EntryReply(url, 0, {"code": NO_CONNECTION, "message": message, "ran": "nothing"})
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None
        # A load balancer, or a process after an unhandled exception, may reply with other content.
        is_interface_reply = isinstance(document, dict) and (response.status < 300 or "ran" in document)
        return EntryReply(url, response.status, document, retry_after_s) if is_interface_reply else None

    async def get_document(self, url: str) -> dict[str, Any] | None:
        """Return the JSON object at a URL, or None if the process does not return one."""
        timeout = aiohttp.ClientTimeout(total=DOCUMENT_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.get(url, timeout=timeout, allow_redirects=False) as response:
                document = json.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None
        return document if isinstance(document, dict) and response.status == 200 else None

    async def get_lines(self, url: str, params: dict[str, str]) -> tuple[str, list[bytes]]:
        """Return the id of the event ring and the event lines; `params` is the query. Errors of aiohttp propagate."""
        timeout = aiohttp.ClientTimeout(total=DOCUMENT_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        async with self._session.get(url, params=params, timeout=timeout, allow_redirects=False) as response:
            response.raise_for_status()
            ring = response.headers.get(operations_resource.RING_ID_HEADER, "")
            return ring, (await response.read()).splitlines()

    @staticmethod
    def _parse_retry_after(text: str | None) -> float | None:
        try:
            return float(text) if text else None
        except ValueError:
            return None
