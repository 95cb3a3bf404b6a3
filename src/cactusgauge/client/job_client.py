"""Submits, awaits and cancels jobs, with failover between entries."""

import asyncio
import enum
import urllib.parse
from typing import TYPE_CHECKING, Any, NamedTuple

from absl import logging

from cactusgauge import exceptions, ids
from cactusgauge.client import entry_client

if TYPE_CHECKING:
    from collections import abc

MAX_LONG_POLL_S = 20.0  # longest wait per request; below the limit of an entry, 60 s, and usual proxy timeouts
RETRY_DELAY_S = 0.3  # first delay, once every entry was tried without a result; grows by this much per round
MAX_RETRY_DELAY_S = 2.0
MAX_NEW_SESSIONS = 3  # per submitted job

# After these refusals the owner will never accept the job number, so an earlier request that is still in flight cannot
# start the job either.
CLOSED_SESSION_CODES = frozenset({exceptions.DrainingError.code, exceptions.SessionClosedError.code})
# The owner has discarded the session and its finished jobs, so the refusal proves that the job did not run only if its
# number was never sent before.
EXPIRED_SESSION_CODES = frozenset({exceptions.SessionExpiredError.code})
# Refusals after which another attempt may succeed.
TRANSIENT_CODES = frozenset(
    {exceptions.OverloadedError.code, exceptions.NotReadyError.code, entry_client.NO_CONNECTION}
)


class Outcome(enum.Enum):
    """Outcome of a job request, as far as the client can prove it."""

    COMPLETE = "complete"
    FAILED = "failed"  # answered with another state than `complete`, and no task has the state `unknown`
    REFUSED = "refused"  # the job provably did not run
    UNKNOWN = "unknown"  # the job, or some of its tasks, may have run
    RUNNING = "running"  # accepted, and no answer yet


class JobRef(NamedTuple):
    """A job of a caller; `never_sent` is true if no request with its number was sent before."""

    session: ids.SessionId
    number: int
    never_sent: bool = False


class JobResult(NamedTuple):
    """Result of a request: the answer, or the code and message of a refusal or a missing reply."""

    outcome: Outcome
    job: JobRef
    answer: dict[str, Any] | None = None
    code: str = ""
    message: str = ""


class JobClient:
    """Tries the entries in turn; a request without a reply is repeated with the same session and number.

    A job is submitted to a new session only if it provably did not run and can no longer run under its first number.
    `on_progress` receives the job and its number of open tasks, None while that is not known.
    """

    def __init__(
        self,
        client: entry_client.EntryClient,
        entry_urls: "abc.Sequence[str]",
        workspace: str,
        long_poll_s: float = MAX_LONG_POLL_S,
        on_progress: "abc.Callable[[JobRef, int | None], None] | None" = None,
    ) -> None:
        self._client = client
        self._entry_urls = list(entry_urls)
        self._sessions_path = f"/v1/workspaces/{urllib.parse.quote(workspace, safe='')}/sessions"
        self._long_poll_s = long_poll_s
        self._on_progress = on_progress
        self._failed_attempts = 0

    async def open_session(self, timeout_s: float) -> ids.SessionId:
        """Open a session at the first entry that accepts; raise `RequestError` if none does within `timeout_s`."""
        deadline = asyncio.get_running_loop().time() + timeout_s
        refusal = f"no entry answers ({', '.join(self._entry_urls)})"
        while True:
            reply = await self._client.request("POST", f"{self._entry_urls[0]}{self._sessions_path}")
            if reply is not None and reply.status == 201:
                return ids.SessionId(str(reply.document["session"]))
            if reply is not None:
                refusal = f"{reply.code}: {reply.message}"
                if reply.code not in TRANSIENT_CODES | CLOSED_SESSION_CODES:
                    raise exceptions.RequestError(refusal)
            if not await self._switch_entry(reply, deadline):
                raise exceptions.RequestError(f"no session could be opened; {refusal}")

    async def submit(
        self,
        job: JobRef,
        body: bytes,
        timeout_s: float,
        open_new_session: "abc.Callable[[], abc.Awaitable[JobRef]]",
        wait: bool = True,
    ) -> JobResult:
        """Submit a job and wait for its answer up to `timeout_s` seconds.

        `open_new_session` is called for a job that provably did not run and must move to a new session. If `wait` is
        false, the result is `RUNNING` as soon as the job is accepted.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        for _ in range(MAX_NEW_SESSIONS):
            result = await self._submit_once(job, body, deadline, wait)
            if result.outcome is not Outcome.REFUSED or result.code not in CLOSED_SESSION_CODES | EXPIRED_SESSION_CODES:
                return result
            job = await open_new_session()
        return await self._submit_once(job, body, deadline, wait)

    async def wait(self, job: JobRef, timeout_s: float) -> JobResult:
        """Wait for the answer of a job."""
        return await self._await_answer("GET", job, asyncio.get_running_loop().time() + timeout_s)

    async def cancel(self, job: JobRef, timeout_s: float) -> JobResult:
        """Cancel a job and wait for its answer."""
        return await self._await_answer("DELETE", job, asyncio.get_running_loop().time() + timeout_s)

    async def _submit_once(self, job: JobRef, body: bytes, deadline: float, wait: bool) -> JobResult:
        may_have_run = not job.never_sent
        if self._on_progress is not None:
            self._on_progress(job, None)
        while True:
            reply = await self._request_job("PUT", job, body, deadline if wait else 0)
            if reply is not None and reply.status == 202:
                if not wait or asyncio.get_running_loop().time() >= deadline:
                    return JobResult(Outcome.RUNNING, job)
                self._show_progress(job, reply)
                return await self._await_answer("GET", job, deadline, body)
            if reply is not None and reply.status == 200:
                return self._result_of_answer(job, reply)
            if reply is not None and not self._is_transient(reply):
                return self._result_of_refusal(job, reply, may_have_run)
            may_have_run = may_have_run or reply is None or reply.ran != exceptions.ExecutionStatus.NOTHING_RAN.value
            if not await self._switch_entry(reply, deadline):
                return self._result_of_timeout(job, reply, may_have_run)

    async def _await_answer(self, method: str, job: JobRef, deadline: float, body: bytes = b"") -> JobResult:
        """Repeat a request until it is answered, refused or out of time; `body` is set only for a new submission."""
        # After a missing reply the whole body is sent again, because a recovery needs every task of the job.
        while True:
            reply = await self._request_job(method, job, body if method == "PUT" else b"", deadline)
            if reply is not None and reply.status == 200:
                return self._result_of_answer(job, reply)
            if reply is not None and reply.status == 202:
                self._show_progress(job, reply)
                method = "GET"
                if asyncio.get_running_loop().time() >= deadline:
                    return JobResult(Outcome.RUNNING, job, message="the job is still running")
                continue
            if reply is not None and not self._is_transient(reply):
                if body:  # the job was accepted before, so the refusal does not prove that nothing ran
                    return JobResult(Outcome.UNKNOWN, job, code=reply.code, message=reply.message)
                return self._result_of_refusal(job, reply, may_have_run=False)
            if body:
                method = "PUT"
            if not await self._switch_entry(reply, deadline):
                return self._result_of_timeout(job, reply, may_have_run=True)

    async def _request_job(
        self, method: str, job: JobRef, body: bytes, deadline: float
    ) -> entry_client.EntryReply | None:
        url = f"{self._entry_urls[0]}{self._sessions_path}/{urllib.parse.quote(job.session, safe='')}/jobs/{job.number}"
        remaining_s = max(0.0, deadline - asyncio.get_running_loop().time())
        reply = await self._client.request(method, url, body, min(self._long_poll_s, remaining_s))
        if reply is None or reply.status not in (200, 202) or self._is_answer_to(job, reply):
            return reply
        logging.warning("ignored a reply that is not a whole answer to %s %s", method, url)
        return None

    async def _switch_entry(self, reply: entry_client.EntryReply | None, deadline: float) -> bool:
        """Switch to the next entry, after a delay if all were tried; return False if the deadline would pass."""
        self._entry_urls.append(self._entry_urls.pop(0))
        self._failed_attempts += 1
        delay_s = 0.0
        if self._failed_attempts % len(self._entry_urls) == 0:
            delay_s = min(RETRY_DELAY_S * self._failed_attempts / len(self._entry_urls), MAX_RETRY_DELAY_S)
        if reply is not None and reply.code not in CLOSED_SESSION_CODES:
            delay_s = max(delay_s, reply.retry_after_s or 0.0)
        if asyncio.get_running_loop().time() + delay_s >= deadline:
            return False
        await asyncio.sleep(delay_s)
        return True

    def _show_progress(self, job: JobRef, reply: entry_client.EntryReply) -> None:
        if self._on_progress is not None:
            self._on_progress(job, int(reply.document.get("open_tasks", 0)))

    @staticmethod
    def _is_answer_to(job: JobRef, reply: entry_client.EntryReply) -> bool:
        """Return whether a reply with status 200 or 202 is about this job and whole."""
        document = reply.document
        if (document.get("session"), document.get("job")) != (job.session, job.number):
            return False
        if reply.status == 202:
            return isinstance(document.get("open_tasks", 0), int)
        tasks = document.get("tasks")
        return (
            isinstance(document.get("state"), str)
            and isinstance(tasks, list)
            and all(isinstance(task, dict) and isinstance(task.get("state"), str) for task in tasks)
        )

    @staticmethod
    def _is_transient(reply: entry_client.EntryReply) -> bool:
        return reply.code in TRANSIENT_CODES or (reply.status >= 500 and reply.code not in CLOSED_SESSION_CODES)

    @staticmethod
    def _result_of_answer(job: JobRef, reply: entry_client.EntryReply) -> JobResult:
        task_states = [task["state"] for task in reply.document["tasks"]]
        if reply.document["state"] == Outcome.COMPLETE.value:
            outcome = Outcome.COMPLETE
        else:
            outcome = Outcome.UNKNOWN if "unknown" in task_states else Outcome.FAILED
        return JobResult(outcome, job, reply.document)

    @staticmethod
    def _result_of_refusal(job: JobRef, reply: entry_client.EntryReply, may_have_run: bool) -> JobResult:
        # Whether it is proven that the job did not run.
        is_proven = reply.ran == exceptions.ExecutionStatus.NOTHING_RAN.value or reply.code in EXPIRED_SESSION_CODES
        if may_have_run:
            # Only these refusals also prove that no earlier request ran this body.
            is_proven = is_proven and reply.code in CLOSED_SESSION_CODES | {exceptions.JobConflictError.code}
        return JobResult(Outcome.REFUSED if is_proven else Outcome.UNKNOWN, job, code=reply.code, message=reply.message)

    @staticmethod
    def _result_of_timeout(job: JobRef, reply: entry_client.EntryReply | None, may_have_run: bool) -> JobResult:
        if reply is None:
            return JobResult(Outcome.UNKNOWN, job, code="no_reply", message="no entry replied in time")
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.REFUSED
        return JobResult(outcome, job, code=reply.code, message=reply.message)
