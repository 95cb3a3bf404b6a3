"""Forwards callers' requests to other entries over HTTP."""

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from cactusgauge.entry import caller_request

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import wire

HOP_HEADER = "Cactusgauge-Hop"
CONNECT_TIMEOUT_S = 1.0
REPLY_TIMEOUT_MARGIN_S = 3.0  # added to the time that the caller waits for the answer
# An entry opens a session at once. A slower one is skipped, as new jobs must be served within 3 s after a fault.
OPEN_SESSION_TIMEOUT_S = 1.0
ALIVE_CHECK_INTERVAL_S = 0.25  # between checks whether the other entry, whose reply is awaited, is still alive


class Forwarder:
    """Sends requests to other entries.

    Requests about a job are idempotent: the URL names the job, so an entry that receives one twice applies it once.
    """

    def __init__(self, http_session: aiohttp.ClientSession) -> None:
        self._http_session = http_session

    async def forward(
        self,
        entry: "wire.EntryInfo",
        request: caller_request.CallerRequest,
        hop: caller_request.Hop,
        is_alive: "abc.Callable[[], bool]",
    ) -> caller_request.Reply | None:
        """Return the other entry's reply, or None if it sends none or is no longer alive.

        `hop` tells the other entry how the request reached it, and so whether it may forward the request again.
        """
        send_task = asyncio.create_task(self._send(entry, request, hop))
        try:
            while not send_task.done():
                await asyncio.wait([send_task], timeout=ALIVE_CHECK_INTERVAL_S)
                if not send_task.done() and not is_alive():
                    return None
            return send_task.result()
        finally:
            send_task.cancel()

    async def open_session(self, entry: "wire.EntryInfo", workspace: str) -> caller_request.Reply | None:
        """Open a session at another entry, which does not forward the request; return None if it sends no reply."""
        url = f"{entry.http_url}/v1/workspaces/{workspace}/sessions"
        return await self._request("POST", url, b"", {}, OPEN_SESSION_TIMEOUT_S, caller_request.Hop.OWNER)

    async def _send(
        self, entry: "wire.EntryInfo", request: caller_request.CallerRequest, hop: caller_request.Hop
    ) -> caller_request.Reply | None:
        session, number = request.job_id
        url = f"{entry.http_url}/v1/workspaces/{request.workspace}/sessions/{session}/jobs/{number}"
        params = {"wait": str(request.wait_s)}
        timeout_s = request.wait_s + REPLY_TIMEOUT_MARGIN_S
        return await self._request(request.method.value, url, request.body, params, timeout_s, hop)

    async def _request(
        self,
        method: str,
        url: str,
        body: bytes,
        params: dict[str, str],
        timeout_s: float,
        hop: caller_request.Hop,
    ) -> caller_request.Reply | None:
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        headers = {HOP_HEADER: hop.value}
        try:
            async with self._http_session.request(
                method, url, data=body, params=params, headers=headers, timeout=timeout, allow_redirects=False
            ) as response:
                retry_after = response.headers.get("Retry-After")
                retry_after_s = float(retry_after) if retry_after else None
                return caller_request.Reply(response.status, await response.read(), retry_after_s)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
