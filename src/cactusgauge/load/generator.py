"""Submits the jobs of a plan to entries over HTTP."""

import asyncio
import random
from typing import TYPE_CHECKING, Any

import aiohttp

from cactusgauge.load import job_record
from cactusgauge.load import plan as plan_module

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge.load import mix as mix_module

LONG_POLL_S = 60  # the longest wait that an entry accepts
REPLY_TIMEOUT_MARGIN_S = 15.0
CREATED = 201
OK = 200
ACCEPTED = 202
BAD_REQUEST = 400
# With this header, a request for a new session looks forwarded by another entry, so the entry that receives it opens
# the session itself.
FORWARDED_HEADERS = {"Cactusgauge-Hop": "owner"}


class _RepeatedRequestError(aiohttp.ClientError):
    """The HTTP client was about to send a submission a second time."""


class LoadGenerator:
    """Submits each planned job at its time, whether or not earlier jobs were answered.

    A submission is sent once. If its reply is lost, the job counts as `unknown` and is not submitted again. With
    `spreads_sessions`, each entry owns the sessions that are opened at it, even if the workspace prefers another entry.
    """

    def __init__(
        self,
        mix: "mix_module.Mix",
        plan: "list[plan_module.PlannedJob]",
        entry_urls: "abc.Sequence[str]",
        spreads_sessions: bool = False,
    ) -> None:
        self._mix = mix
        self._plan = plan
        self._entry_urls = entry_urls
        self._session_headers = FORWARDED_HEADERS if spreads_sessions else {}
        self._random = random.Random(mix.seed)
        self._open_job_urls: dict[int, str] = {}
        self._cancelled_numbers: set[int] = set()

    async def run(self) -> list[job_record.JobRecord]:
        """Run the whole plan; return one record for each job, in order of arrival."""
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=LONG_POLL_S + REPLY_TIMEOUT_MARGIN_S)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as client:
            session_urls = [await self._open_session(client, number) for number in range(self._mix.sessions)]
            started_at = asyncio.get_running_loop().time()
            burst = asyncio.create_task(self._cancel_burst(client, started_at))
            jobs = [
                asyncio.create_task(
                    self._run_job(
                        client, started_at, number, f"{session_urls[number % len(session_urls)]}/jobs/{number}"
                    )
                )
                for number in range(len(self._plan))
            ]
            records = await asyncio.gather(*jobs)
            burst.cancel()
            await asyncio.gather(burst, return_exceptions=True)
            return records

    async def _open_session(self, client: aiohttp.ClientSession, number: int) -> str:
        entry_url = self._entry_urls[number % len(self._entry_urls)]
        sessions_url = f"{entry_url}/v1/workspaces/{self._mix.workspace}/sessions"
        async with client.post(sessions_url, headers=self._session_headers) as response:
            document = await response.json()
            if response.status != CREATED:
                raise ConnectionError(f"{sessions_url}: {document.get('code')}: {document.get('message')}")
            return f"{sessions_url}/{document['session']}"

    async def _run_job(
        self, client: aiohttp.ClientSession, started_at: float, number: int, url: str
    ) -> job_record.JobRecord:
        planned = self._plan[number]
        loop = asyncio.get_running_loop()
        body = planned.body(self._mix.deadline_ms)
        await asyncio.sleep(started_at + planned.at_s - loop.time())
        self._open_job_urls[number] = url
        cancel_task = None
        if planned.cancel_after_s is not None:
            cancel_task = asyncio.create_task(self._cancel_later(client, number, planned.cancel_after_s))
        try:
            result, detail = await self._submit(client, number, url, body)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            result, detail = job_record.JobResult.UNKNOWN, type(error).__name__
        finally:
            del self._open_job_urls[number]
            if cancel_task is not None:
                cancel_task.cancel()
        response_s = loop.time() - started_at - planned.at_s
        ideal_s = planned.ideal_s(self._mix.fleet)
        return job_record.JobRecord(planned.at_s, len(planned.tasks), ideal_s, response_s, result, detail)

    async def _submit(
        self, client: aiohttp.ClientSession, number: int, url: str, body: bytes
    ) -> tuple[job_record.JobResult, str]:
        # aiohttp retries a PUT if the connection drops; the middleware sees the second attempt and stops it.
        attempts = 0

        async def send_once(
            request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
        ) -> aiohttp.ClientResponse:
            nonlocal attempts
            attempts += 1
            if attempts > 1:
                raise _RepeatedRequestError("the reply to the submission was lost")
            return await handler(request)

        async with client.put(f"{url}?wait={LONG_POLL_S}", data=body, middlewares=(send_once,)) as response:
            status, document = response.status, await response.json()
        while status == ACCEPTED:
            async with client.get(f"{url}?wait={LONG_POLL_S}") as response:
                status, document = response.status, await response.json()
        return self._result(number, status, document)

    def _result(self, number: int, status: int, document: dict[str, Any]) -> tuple[job_record.JobResult, str]:
        if status != OK:
            is_refused = status >= BAD_REQUEST and document.get("ran") == "nothing"
            result = job_record.JobResult.REFUSED if is_refused else job_record.JobResult.UNKNOWN
            return result, str(document.get("code", status))
        if document["state"] == "complete":
            return job_record.JobResult.COMPLETE, ""
        reasons = {f"{task['state']}:{task.get('reason', '')}" for task in document["tasks"]} - {"completed:"}
        if number in self._cancelled_numbers and reasons == {"not_run:cancelled"}:
            return job_record.JobResult.CANCELLED, ""
        return job_record.JobResult.FAILED, " ".join(sorted(reasons))

    async def _cancel_later(self, client: aiohttp.ClientSession, number: int, after_s: float) -> None:
        await asyncio.sleep(after_s)
        await self._cancel(client, number)

    async def _cancel_burst(self, client: aiohttp.ClientSession, started_at: float) -> None:
        """Cancel a random share of the open jobs at the time that the mix sets, if it sets one."""
        at_s = self._mix.cancellations.burst_at_s
        if at_s is None:
            return
        await asyncio.sleep(started_at + at_s - asyncio.get_running_loop().time())
        numbers = sorted(self._open_job_urls)
        selected = self._random.sample(numbers, round(len(numbers) * self._mix.cancellations.burst_share))
        await asyncio.gather(*(self._cancel(client, number) for number in selected))

    async def _cancel(self, client: aiohttp.ClientSession, number: int) -> None:
        url = self._open_job_urls.get(number)
        if url is None:
            return
        self._cancelled_numbers.add(number)
        try:
            async with client.delete(url) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return  # the answer to the submission shows the outcome
