"""HTTP client for the local worker of an agent."""

import json
from typing import Annotated, Any

import aiohttp
import pydantic

from cactusgauge import ids, runs, scheduling
from cactusgauge.platform import job_body, json_document

CALL_TIMEOUT_S = 0.15  # of starts and stops: many times the usual response time; after it, a start is retried
POLL_TIMEOUT_MARGIN_S = 0.1  # added to the time that the worker was asked to wait; ends go unnoticed meanwhile
MAX_CONNECTIONS = 12  # opening one is expensive, so few are used and they stay open
KEEP_ALIVE_TIMEOUT_S = 3600.0
MS_PER_S = 1000

# By the kind of end in the rows of `finished` in the reply to a poll.
END_KINDS = {
    "done": scheduling.EndKind.DONE,
    "failed": scheduling.EndKind.FAILED,
    "stopped": scheduling.EndKind.STOPPED,
    "lapsed": scheduling.EndKind.LOST,
    "broken": scheduling.EndKind.LOST,
    "alone": scheduling.EndKind.LOST,
}
# By the `reason` in a reply with status 409.
START_STATUSES_BY_REASON = {
    "fence": runs.StartStatus.FENCED,
    "old": runs.StartStatus.OLD_RUN,
    "late": runs.StartStatus.EXPIRED,
    "room": runs.StartStatus.NO_ROOM,
}


class _Listing(pydantic.BaseModel):
    born: json_document.UnixMs | None = None  # start of the worker
    # A row begins with the task name and the number of the run.
    running: list[Annotated[list[Any], pydantic.Field(min_length=2)]] = []
    # A row holds the number, task, run, kind of end and checkpoint.
    finished: list[Annotated[list[Any], pydantic.Field(min_length=4)]] = []


def new_session() -> aiohttp.ClientSession:
    """Return an HTTP session for the calls to one worker."""
    return aiohttp.ClientSession(
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        connector=aiohttp.TCPConnector(
            limit=MAX_CONNECTIONS, keepalive_timeout=KEEP_ALIVE_TIMEOUT_S, use_dns_cache=False
        ),
    )


class HttpWorkerClient(runs.WorkerClient):
    """Client of one incarnation of a worker.

    Each call carries the worker's id; a worker with another id answers with 421.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str, worker: ids.WorkerId) -> None:
        self._session = session
        self._url = url
        self._headers = {"Expect-Instance": worker, "Content-Type": "application/json"}

    async def start(self, request: runs.StartRequest) -> runs.StartReply:
        """Start a run."""
        body = {
            "task": job_body.format_task_name(request.key),
            "run": request.key.run,
            "spec": request.payload,
            "expires_ms": int(request.lease_until_s * MS_PER_S),
            "fencing_token": request.fencing_token,
        }
        status, reply = await self._call("/-/run-start", body, CALL_TIMEOUT_S)
        clock_s = _clock_s(reply)
        if status == 200:
            return runs.StartReply(runs.StartStatus.STARTED, clock_s)
        if status in (429, 503):
            return runs.StartReply(runs.StartStatus.UNHEALTHY, clock_s)
        reason = reply.get("reason")
        start_status = START_STATUSES_BY_REASON.get(
            reason if isinstance(reason, str) else "", runs.StartStatus.REJECTED
        )
        return runs.StartReply(start_status if status == 409 else runs.StartStatus.REJECTED, clock_s)

    async def stop(self, key: ids.RunKey, fencing_token: int) -> None:
        """Stop a run."""
        body = {"task": job_body.format_task_name(key), "run": key.run, "fencing_token": fencing_token}
        status, reply = await self._call("/-/run-stop", body, CALL_TIMEOUT_S)
        if status == 409 and reply.get("reason") == "fence":
            raise runs.FencedError(_clock_s(reply))
        if status >= 500 or status == 429:
            raise runs.WorkerCallError(f"worker returned status {status} for a stop")

    async def poll(
        self, fencing_token: int, acknowledged: int, lease_until_s: float | None, wait_s: float
    ) -> runs.WorkerListing:
        """Extend the lease, acknowledge ended runs and return the worker's runs.

        `acknowledged` is the number of the last end that was received. The lease stays as it is if `lease_until_s` is
        None. The worker waits up to `wait_s` for an end before it replies.
        """
        body: dict[str, Any] = {"fencing_token": fencing_token, "ack_index": acknowledged}
        if lease_until_s is not None:
            body["expires_ms"] = int(lease_until_s * MS_PER_S)
        if wait_s > 0:
            body["wait_ms"] = int(wait_s * MS_PER_S)
        status, reply = await self._call("/-/hold", body, wait_s + POLL_TIMEOUT_MARGIN_S)
        if status == 409:
            raise runs.FencedError(_clock_s(reply))
        clock_s = _clock_s(reply)
        if status != 200 or clock_s is None:
            raise runs.WorkerCallError(f"worker returned status {status} for a poll")
        try:
            return _decode_listing(clock_s, reply)
        except json_document.UnreadableError as error:
            raise runs.WorkerCallError(f"worker returned a malformed listing: {error}") from error

    async def _call(self, path: str, body: dict[str, Any], timeout_s: float) -> tuple[int, dict[str, Any]]:
        try:
            async with self._session.post(
                self._url + path,
                data=json.dumps(body, separators=(",", ":")),
                headers=self._headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                allow_redirects=False,
            ) as response:
                content = await response.read()
        except aiohttp.ClientConnectorError as error:
            if isinstance(error.os_error, ConnectionRefusedError):
                raise runs.WorkerDownError(f"nothing listens at {self._url}") from error
            raise runs.WorkerCallError(f"{self._url}{path}: {error}") from error
        except TimeoutError as error:
            raise runs.WorkerCallError(f"{self._url}{path}: no response within {timeout_s} s") from error
        except (aiohttp.ClientError, OSError) as error:
            raise runs.WorkerCallError(f"{self._url}{path}: {error or type(error).__name__}") from error
        if response.status == 421:
            raise runs.WrongWorkerError(f"another worker answers at {self._url}")
        try:
            reply = json_document.parse(content) if content else {}
        except json_document.UnreadableError as error:
            raise runs.WorkerCallError(f"{self._url}{path}: response {error}") from error
        return response.status, reply if isinstance(reply, dict) else {}


def _decode_listing(clock_s: float, reply: dict[str, Any]) -> runs.WorkerListing:
    """Return the listing in a reply; raise `UnreadableError` if it is malformed."""
    listing = json_document.validate(_Listing, reply)
    running = [job_body.parse_run_key(row[0], row[1]) for row in listing.running]
    ends = [
        runs.WorkerRunEnd(
            _end_number(row[0]),
            job_body.parse_run_key(row[1], row[2]),
            END_KINDS.get(_end_kind(row[3]), scheduling.EndKind.LOST),
        )
        for row in listing.finished
    ]
    return runs.WorkerListing(clock_s, listing.born or 0, [key for key in running if key is not None], ends)


def _end_number(value: Any) -> int:
    if not json_document.is_count(value):
        raise json_document.UnreadableError(["finished: the number of an end is expected"])
    number: int = value
    return number


def _end_kind(value: Any) -> str:
    if not isinstance(value, str):
        raise json_document.UnreadableError(["finished: the kind of an end is expected"])
    return value


def _clock_s(reply: dict[str, Any]) -> float | None:
    """Return the time of the worker's clock in a reply, or None if the reply contains no usable one."""
    clock = reply.get("clock_ms")
    return clock / MS_PER_S if isinstance(clock, int | float) and json_document.is_time_ms(clock) else None
