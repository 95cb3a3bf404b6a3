"""HTTP resource through which callers open sessions and submit, poll and cancel jobs."""

import re
from typing import TYPE_CHECKING

from cactusgauge import exceptions, ids
from cactusgauge.entry import caller_request, forwarder

if TYPE_CHECKING:
    import falcon.asgi

    from cactusgauge.entry import request_router

MAX_WAIT_S = 60.0
SESSION_PATTERN = re.compile(r"[0-9a-f]{16}-[0-9a-f]{16}")
MAX_JOB_NUMBER = 2**53 - 1  # the largest integer that every JSON parser represents exactly
MAX_NUMBER_DIGITS = 16  # int() raises ValueError for strings of more than 4300 digits
SESSIONS_PATH = "/v1/workspaces/{workspace}/sessions"
JOB_PATH = "/v1/workspaces/{workspace}/sessions/{session}/jobs/{number}"


class JobsResource:
    """Sessions and jobs; every error has a code and states whether the request may have been executed."""

    def __init__(self, router: "request_router.RequestRouter", max_body_bytes: int) -> None:
        self._router = router
        self._max_body_bytes = max_body_bytes

    def add_to(self, app: "falcon.asgi.App[falcon.asgi.Request, falcon.asgi.Response]") -> None:
        """Add all routes to an application."""
        app.add_route(SESSIONS_PATH, self, suffix="session")
        app.add_route(JOB_PATH, self, suffix="job")

    async def on_post_session(
        self, request: "falcon.asgi.Request", response: "falcon.asgi.Response", workspace: str
    ) -> None:
        """Open a session."""
        try:
            reply = await self._router.open_session(ids.WorkspaceName(workspace), self._parse_hop(request))
        except exceptions.CactusgaugeError as error:
            reply = caller_request.error_reply(error)
        self._write_reply(response, reply)

    async def on_put_job(
        self,
        request: "falcon.asgi.Request",
        response: "falcon.asgi.Response",
        workspace: str,
        session: str,
        number: str,
    ) -> None:
        """Submit a job, or attach to it if it was submitted before."""
        await self._handle(caller_request.Method.SUBMIT, request, response, workspace, session, number)

    async def on_get_job(
        self,
        request: "falcon.asgi.Request",
        response: "falcon.asgi.Response",
        workspace: str,
        session: str,
        number: str,
    ) -> None:
        """Poll or wait for the answer of a job."""
        await self._handle(caller_request.Method.GET, request, response, workspace, session, number)

    async def on_delete_job(
        self,
        request: "falcon.asgi.Request",
        response: "falcon.asgi.Response",
        workspace: str,
        session: str,
        number: str,
    ) -> None:
        """Cancel a job."""
        await self._handle(caller_request.Method.CANCEL, request, response, workspace, session, number)

    async def _handle(
        self,
        method: caller_request.Method,
        request: "falcon.asgi.Request",
        response: "falcon.asgi.Response",
        workspace: str,
        session: str,
        number: str,
    ) -> None:
        try:
            job_id = ids.JobId(self._parse_session_id(session), self._parse_job_number(number))
            body = await self._read_body(request) if method is caller_request.Method.SUBMIT else b""
            reply = await self._router.handle(
                caller_request.CallerRequest(
                    method,
                    ids.WorkspaceName(workspace),
                    job_id,
                    body,
                    self._parse_wait_s(request),
                    self._parse_hop(request),
                )
            )
        except exceptions.CactusgaugeError as error:
            reply = caller_request.error_reply(error)
        self._write_reply(response, reply)

    async def _read_body(self, request: "falcon.asgi.Request") -> bytes:
        body = b""
        while chunk := await request.stream.read(65536):
            body += chunk
            if len(body) > self._max_body_bytes:
                raise exceptions.BodyTooLargeError(f"the request body exceeds {self._max_body_bytes} bytes")
        return body

    @staticmethod
    def _parse_session_id(text: str) -> ids.SessionId:
        if not SESSION_PATTERN.fullmatch(text):
            raise exceptions.RequestError(f"session {text[:40]!r}: an id that an entry issued is expected")
        return ids.SessionId(text)

    @staticmethod
    def _parse_job_number(text: str) -> int:
        is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_NUMBER_DIGITS
        if not is_number or int(text) > MAX_JOB_NUMBER:
            raise exceptions.RequestError(
                f"job number {text[:20]!r}: an integer from 0 to {MAX_JOB_NUMBER} is expected"
            )
        return int(text)

    @staticmethod
    def _parse_wait_s(request: "falcon.asgi.Request") -> float:
        text = request.get_param("wait", default="0")
        try:
            wait_s = float(text)
        except ValueError:
            wait_s = -1.0
        if not 0 <= wait_s <= MAX_WAIT_S:
            raise exceptions.RequestError(f"wait={text[:20]!r}: seconds from 0 to {MAX_WAIT_S:.0f} are expected")
        return wait_s

    @staticmethod
    def _parse_hop(request: "falcon.asgi.Request") -> caller_request.Hop:
        try:
            return caller_request.Hop(request.get_header(forwarder.HOP_HEADER, default=""))
        except ValueError as error:
            raise exceptions.RequestError(f"unknown value of header {forwarder.HOP_HEADER}") from error

    @staticmethod
    def _write_reply(response: "falcon.asgi.Response", reply: caller_request.Reply) -> None:
        response.status = reply.status
        response.content_type = "application/json"
        response.data = reply.body
        if reply.retry_after_s is not None:
            response.set_header("Retry-After", f"{reply.retry_after_s:.0f}")
