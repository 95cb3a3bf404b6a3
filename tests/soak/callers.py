"""Callers that submit jobs, wait, retry, disconnect and cancel."""

import asyncio
import dataclasses
import enum
import json
import random
from typing import TYPE_CHECKING

import aiohttp

from cactusgauge import ids

if TYPE_CHECKING:
    from collections import abc

RESEND_DELAY_S = 1.3  # after no answer, a broken connection, 502 or 504
REFUSAL_STATUSES = (429, 503)
CANCELED_STATUSES = (200, 410)  # a cancellation is acknowledged, also by an entry that does not have the job
ROUTE_HOST = "jobs.example"


class CallerAction(enum.Enum):
    """What a caller does after it submitted its job."""

    WAIT = "wait"
    DISCONNECT = "leave"
    CANCEL = "cancel"
    RECONNECT = "reconnect"  # loses its first connection and sends the job again


@dataclasses.dataclass
class JobProfile:
    """The size and timing of a job, which has one step of equal tasks."""

    path: str
    tasks: int
    cpu_millicores: int
    run_s: float
    deadline_s: float


@dataclasses.dataclass
class Attempt:
    """One request for a job and its HTTP status; 0 means no response."""

    entry: str
    sent_at: float
    ended_at: float = float("inf")
    status: int = 0
    state: str = ""


@dataclasses.dataclass
class JobRecord:
    """A job and everything that its caller observed."""

    job: str
    profile: JobProfile
    payload: str
    action: CallerAction
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    canceled_at: float | None = None  # when the caller disconnected or its cancellation was acknowledged
    is_cancel_sent: bool = False
    crashes_workers: bool = False  # each worker that starts one of its tasks

    @property
    def is_refused(self) -> bool:
        """Whether every attempt was refused, so that the job must not have run."""
        return all(attempt.status in REFUSAL_STATUSES for attempt in self.attempts)

    @property
    def state(self) -> str:
        """The final state in the last response, or an empty string."""
        return self.attempts[-1].state if self.attempts else ""


class Callers:
    """Submits jobs at a given rate; `records` holds all of them by job id."""

    def __init__(
        self,
        entries: dict[str, str],
        profiles: "abc.Sequence[JobProfile]",
        rng: random.Random,
        reconnect_rng: random.Random,
    ) -> None:
        self._entries = entries
        self._profiles = profiles
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()
        self.ready: set[str] = set(entries)
        self.records: dict[str, JobRecord] = {}
        self.crashing_share = 0.0  # of the new jobs
        self.crashing_jobs: set[ids.JobKey] = set()
        self.reconnecting_share = 0.0  # of the callers that would wait
        self._reconnect_rng = reconnect_rng

    async def submit_forever(self, session: aiohttp.ClientSession, per_second: float) -> None:
        """Submit jobs until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(per_second))
            action = self._rng.choices(
                [CallerAction.WAIT, CallerAction.DISCONNECT, CallerAction.CANCEL], [0.9, 0.05, 0.05]
            )[0]
            record = JobRecord(f"{self._rng.getrandbits(64):016x}", self._rng.choice(self._profiles), "", action)
            record.payload = f"payload of {record.job}"
            if action is CallerAction.WAIT and self._reconnect_rng.random() < self.reconnecting_share:
                record.action = CallerAction.RECONNECT
            self.records[record.job] = record
            if self.crashing_share and self._rng.random() < self.crashing_share:
                record.crashes_workers = True
                self.crashing_jobs.add(ids.JobKey(record.job))
            task = asyncio.create_task(self._run_caller(session, record))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait until every caller has an answer or has passed its deadline."""
        await asyncio.gather(*self._tasks)

    async def watch_ready(self, session: aiohttp.ClientSession, urls: dict[str, str]) -> None:
        """Track ready entries as the platform's load balancer does: two failed checks in a row remove an entry."""
        misses = dict.fromkeys(urls, 0)
        while True:
            for name, url in urls.items():
                status, _ = await request(session, "GET", f"{url}/-/ready", None, 0.5)
                misses[name] = 0 if status == 200 else misses[name] + 1
            ready = {name for name, count in misses.items() if count < 2}
            self.ready = ready or set(urls)
            await asyncio.sleep(1.0)

    async def _run_caller(self, session: aiohttp.ClientSession, record: JobRecord) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + record.profile.deadline_s
        while True:
            attempt = Attempt(self._choose_entry(record), loop.time())
            record.attempts.append(attempt)
            disconnects_after_s = self._disconnects_after_s(record)
            cancel = None
            if record.action is CallerAction.CANCEL and len(record.attempts) == 1:
                cancel = asyncio.create_task(self._cancel(session, record))
            remaining_s = deadline - loop.time()
            attempt.status, attempt.state = await self._post(
                session, record, attempt, min(remaining_s, disconnects_after_s or 99)
            )
            attempt.ended_at = loop.time()
            if cancel is not None:
                await cancel
            if record.action is CallerAction.DISCONNECT and attempt.status == 0:
                record.canceled_at = loop.time()
                return
            if attempt.status not in (0, 502, 504) or record.canceled_at is not None:
                return
            if loop.time() + RESEND_DELAY_S >= deadline:
                record.canceled_at = loop.time()  # the caller stops reading responses
                return
            await asyncio.sleep(RESEND_DELAY_S)

    def _choose_entry(self, record: JobRecord) -> str:
        """Return the entry for the next attempt; a caller that reconnects often reaches its first entry again."""
        entry = self._rng.choice(sorted(self.ready))
        if record.action is CallerAction.RECONNECT and len(record.attempts) == 1:
            first = record.attempts[0].entry
            if first in self.ready and self._reconnect_rng.random() < 0.5:
                return first
        return entry

    def _disconnects_after_s(self, record: JobRecord) -> float | None:
        """Return when the caller closes the connection of its next attempt, or None if it waits for the answer."""
        if record.action is CallerAction.DISCONNECT:
            return self._rng.uniform(0, record.profile.run_s)
        if record.action is CallerAction.RECONNECT and len(record.attempts) == 1:
            return self._reconnect_rng.uniform(0, record.profile.run_s)
        return None

    async def _post(
        self, session: aiohttp.ClientSession, record: JobRecord, attempt: Attempt, timeout_s: float
    ) -> tuple[int, str]:
        profile = record.profile
        step = {
            "count": profile.tasks,
            "cpu": profile.cpu_millicores,
            "mem_mb": 64,
            "estimate_ms": int(profile.run_s * 1000),
        }
        body = {"spec": record.payload, "steps": [step], "best_effort": True}
        url = f"{self._entries[attempt.entry]}{profile.path}{record.job}"
        status, content = await request(session, "POST", url, body, timeout_s)
        return status, str(content.get("state", ""))

    async def _cancel(self, session: aiohttp.ClientSession, record: JobRecord) -> None:
        await asyncio.sleep(self._rng.uniform(0, record.profile.run_s))
        entry = self._rng.choice(sorted(self.ready))
        url = f"{self._entries[entry]}{record.profile.path}{record.job}"
        record.is_cancel_sent = True
        status, _ = await request(session, "DELETE", url, None, 2.0)
        if status in CANCELED_STATUSES:
            record.canceled_at = asyncio.get_running_loop().time()


async def request(
    session: aiohttp.ClientSession, method: str, url: str, body: object, timeout_s: float
) -> tuple[int, dict[str, object]]:
    """Send a request and return status and body; the status is 0 without a complete response."""
    headers = {"Host": ROUTE_HOST, "Deadline-Ms": str(int(timeout_s * 1000))}
    try:
        async with session.request(
            method, url, json=body, headers=headers, timeout=aiohttp.ClientTimeout(total=timeout_s)
        ) as response:
            content = await response.read()
            return response.status, json.loads(content) if content.startswith(b"{") else {}
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0, {}
