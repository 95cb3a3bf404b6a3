"""Runs tasks at the backend server over HTTP."""

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from cactusgauge import ids, jobs, wire
from cactusgauge.agent import lease_checked_payload

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge.agent import backend_server_lease

TASK_HEADER = "Cactusgauge-Task"
LEASE_HEADER = "Cactusgauge-Lease"
KIND_HEADER = "Cactusgauge-Kind"
IDEMPOTENT_HEADER = "Cactusgauge-Idempotent"
NOT_RUN_HEADER = "Cactusgauge-Not-Run"
CONTENT_LENGTH = "Content-Length"
TRANSFER_ENCODING = "Transfer-Encoding"
CHUNKED = "chunked"
PRECONDITION_FAILED = 412
OK = 200
MAX_RESULT_BYTES = 64 * 1024  # the results of a job of 340 tasks, the default maximum, fit into one frame
KEEP_ALIVE_TIMEOUT_S = 2.0  # below the usual timeout of servers, which thus rarely close a connection during a request
MIN_CONNECT_TIMEOUT_S = 0.001  # aiohttp treats zero as no limit
MILLISECONDS_PER_SECOND = 1000

TaskEnd = tuple[jobs.TaskState, jobs.Reason, bytes]


class TaskRunner:
    """Sends each start to the backend server at most once and returns its outcome.

    `not_run` is reported only if the connection was refused, the lease ended, or the server itself says so. Any other
    missing response is `unknown`, and so is a result without a declared length, as it may be truncated. Starts are
    POST requests, which aiohttp never retries, and redirects are not followed.
    """

    def __init__(self, session: aiohttp.ClientSession, lease: "backend_server_lease.BackendServerLease") -> None:
        self._session = session
        self._lease = lease
        self._overdue_requests: dict[asyncio.Task[TaskEnd], ids.LeaseId] = {}

    async def run(self, start: wire.Start, release: "abc.Callable[[], None]") -> wire.Outcome:
        """Run a task and return its outcome, at the latest at the job's deadline.

        `release` is called when the server presumably no longer runs the task: after the response, the end of the
        connection, or the end of the lease. That may be after the outcome, as a running task can't be stopped.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        lease = self._lease.valid_lease
        request_task = asyncio.create_task(self._send(start))
        request_task.add_done_callback(lambda _: release())
        await asyncio.wait([request_task], timeout=start.remaining_ms / MILLISECONDS_PER_SECOND)
        if request_task.done():
            state, reason, result = request_task.result()
        else:
            state, reason, result = jobs.TaskState.UNKNOWN, jobs.Reason.DEADLINE, b""
            self._track_overdue(request_task, lease)
        run_ms = (loop.time() - started_at) * MILLISECONDS_PER_SECOND
        return wire.Outcome(start.session, start.number, start.task, state.value, reason.value, result, run_ms)

    def cancel_overdue(self) -> None:
        """Cancel the requests past their deadline whose lease is no longer valid."""
        lease = self._lease.valid_lease
        for request_task, lease_id in self._overdue_requests.items():
            if lease is None or lease.id != lease_id:
                request_task.cancel()

    def _track_overdue(self, request_task: "asyncio.Task[TaskEnd]", lease: "backend_server_lease.Lease | None") -> None:
        if lease is None:
            request_task.cancel()
            return
        self._overdue_requests[request_task] = lease.id
        request_task.add_done_callback(self._untrack_overdue)

    def _untrack_overdue(self, request_task: "asyncio.Task[TaskEnd]") -> None:
        self._overdue_requests.pop(request_task, None)
        if not request_task.cancelled():
            request_task.exception()  # retrieved to silence asyncio: the outcome was already reported

    async def _send(self, start: wire.Start) -> TaskEnd:
        lease = self._lease.valid_lease
        if lease is None:
            return jobs.TaskState.NOT_RUN, jobs.Reason.NO_BACKEND_SERVER, b""
        task_id = str(ids.TaskId(start.session, start.number, start.task))
        headers = {
            TASK_HEADER: task_id,
            LEASE_HEADER: lease.id,
            KIND_HEADER: start.kind,
            IDEMPOTENT_HEADER: "1" if start.idempotent else "0",
        }
        # A connection is useless once the lease has expired: `LeaseCheckedPayload` refuses to send then.
        connect_timeout_s = max(MIN_CONNECT_TIMEOUT_S, lease.expires_at - asyncio.get_running_loop().time())
        timeout = aiohttp.ClientTimeout(total=None, connect=connect_timeout_s)
        body = lease_checked_payload.LeaseCheckedPayload(start.payload.encode(), self._lease, lease.id)
        try:
            async with self._session.post(
                lease.url, data=body, headers=headers, timeout=timeout, allow_redirects=False
            ) as response:
                return await self._read_response(response)
        except aiohttp.ClientConnectorError:
            return jobs.TaskState.NOT_RUN, jobs.Reason.CONNECTION_REFUSED, b""
        except aiohttp.ConnectionTimeoutError:
            return jobs.TaskState.NOT_RUN, jobs.Reason.NO_BACKEND_SERVER, b""
        except (aiohttp.ClientError, OSError):
            if body.is_refused:
                return jobs.TaskState.NOT_RUN, jobs.Reason.NO_BACKEND_SERVER, b""
            return jobs.TaskState.UNKNOWN, jobs.Reason.CONNECTION_LOST, b""

    @staticmethod
    async def _read_response(response: aiohttp.ClientResponse) -> TaskEnd:
        if response.status == PRECONDITION_FAILED and response.headers.get(NOT_RUN_HEADER) == "1":
            return jobs.TaskState.NOT_RUN, jobs.Reason.REFUSED_BY_BACKEND_SERVER, b""
        body = await response.content.read(MAX_RESULT_BYTES + 1)
        while len(body) <= MAX_RESULT_BYTES and not response.content.at_eof():
            body += await response.content.read(MAX_RESULT_BYTES + 1 - len(body))
        if len(body) > MAX_RESULT_BYTES:
            return jobs.TaskState.FAILED, jobs.Reason.RESULT_TOO_LARGE, b""
        if response.status != OK:
            return jobs.TaskState.FAILED, jobs.Reason.BACKEND_ERROR, body
        if CONTENT_LENGTH not in response.headers and CHUNKED not in response.headers.get(TRANSFER_ENCODING, ""):
            return jobs.TaskState.UNKNOWN, jobs.Reason.CONNECTION_LOST, b""
        return jobs.TaskState.COMPLETED, jobs.Reason.NONE, body
