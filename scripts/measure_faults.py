"""Measures how callers are affected if an entry or agent is killed, an entry is paused or a link is cut under load.

The load is open-loop: small jobs arrive at a fixed rate, whether earlier jobs have been answered or not. A caller that
gets no reply repeats its request at the other entry. It opens a new session if an answer was recovered or its session
no longer exists.

Two times in the results are in seconds since the fault. `served_again_s` is the time of the first complete answer to a
caller that arrives at the moment of the fault and first asks the entry that is not the preferred one.
`undisturbed_after_s` is the submission time of the last job that was not complete within a second.
"""

import asyncio
import collections
import json
import pathlib
import signal
import sys
import tempfile
import time
from typing import Any, NamedTuple

import aiohttp
import click

from emulator import cluster

ENTRIES = ("entry-0", "entry-1")
WORKERS = 4
CALLERS = 40
TASKS = 4
RUN_MS = 50
ATTEMPT_TIMEOUT_S = 2.0
JOB_TIMEOUT_S = 30.0
FAULT_DURATION_S = 10.0
SERVED_AGAIN_TARGET_S = 3.0
GONE_CODES = ("session_expired", "session_closed", "draining")


class Outcome(NamedTuple):
    """The outcome of one job; times are monotonic, in seconds."""

    submitted_at: float
    ended_at: float
    kind: str


class Callers:
    """Submits the jobs of callers, each with its own session, and holds the outcomes."""

    def __init__(self, http: aiohttp.ClientSession, urls: list[str], workspace: str) -> None:
        self._http = http
        self._urls = [f"{url}/v1/workspaces/{workspace}/sessions" for url in urls]
        self._sessions: dict[int, str] = {}
        self._numbers: collections.Counter[str] = collections.Counter()
        self.outcomes: list[Outcome] = []

    async def submit(self, caller: int) -> None:
        """Submit one job and record its outcome."""
        began = time.monotonic()
        result_prefix = f"{caller}.{len(self.outcomes)}.{began}."
        try:
            async with asyncio.timeout(JOB_TIMEOUT_S):
                kind = await self._submit(caller, result_prefix)
        except TimeoutError:
            kind = "no_answer"
        self.outcomes.append(Outcome(began, time.monotonic(), kind))

    async def _submit(self, caller: int, result_prefix: str) -> str:
        session = await self._get_session(caller)
        self._numbers[session] += 1
        path = f"/{session}/jobs/{self._numbers[session]}?wait=1.5"
        tasks = [
            {"payload": json.dumps({"run_ms": RUN_MS, "result": f"{result_prefix}{index}"}), "kind": "fee-charge"}
            for index in range(TASKS)
        ]
        body = json.dumps({"tasks": tasks}).encode()
        status, answer = await self._request_until_final("PUT", path, caller, body)
        if status != 200 or answer["recovered"]:
            self._drop_session(caller, session)
        if status != 200:
            return "refused" if answer.get("ran") == "nothing" else "no_answer"
        if answer["state"] != "complete":
            return "failed"
        is_correct = [task["result"] for task in answer["tasks"]] == [
            f"{result_prefix}{index}" for index in range(TASKS)
        ]
        return "complete" if is_correct else "wrong"

    async def _get_session(self, caller: int) -> str:
        if caller not in self._sessions:
            _, answer = await self._request_until_final("POST", "", caller, b"")
            self._sessions[caller] = answer["session"]
        return self._sessions[caller]

    def _drop_session(self, caller: int, session: str) -> None:
        if self._sessions.get(caller) == session:
            del self._sessions[caller]

    async def _request_until_final(
        self, method: str, path: str, caller: int, body: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Send a request to the entries in turn until one of them sends a final reply."""
        attempt = caller
        while True:
            url = self._urls[attempt % len(self._urls)]
            attempt += 1
            try:
                timeout = aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S)
                async with self._http.request(method, f"{url}{path}", data=body, timeout=timeout) as response:
                    answer: dict[str, Any] = await response.json()
                    if response.status not in (202, 504) and answer.get("code") not in ("not_ready", "overloaded"):
                        return response.status, answer
            except (aiohttp.ClientError, OSError, TimeoutError):
                await asyncio.sleep(0.02)


def _preferred_entry(processes: cluster.Cluster) -> str:
    status = processes.get_json(ENTRIES[0], "/v1/status")
    name: str = status["workspaces"][0]["preferred_entry"]
    return name


def _busiest_agent(processes: cluster.Cluster, entry: str) -> str:
    status = processes.get_json(entry, "/v1/status")
    workers = [worker for workspace in status["workspaces"] for worker in workspace["workers"]]
    name: str = max(workers, key=lambda worker: worker["in_flight"])["agent"]
    return name


async def _probe(callers: Callers, entry: str) -> float:
    """Return the time of the first complete answer to a caller without a session that asks the other entry first."""
    # The load uses lower caller numbers; whether the number is odd or even selects the entry that is asked first.
    caller = CALLERS + 1 - ENTRIES.index(entry)
    while True:
        await callers.submit(caller)
        if callers.outcomes[-1].kind == "complete":
            return time.monotonic()


async def _inject_fault(processes: cluster.Cluster, fault: str, entry: str) -> None:
    """Inject a fault; end a pause or a cut after FAULT_DURATION_S."""
    agent = _busiest_agent(processes, entry)
    match fault:
        case "entry killed":
            processes.signal(entry, signal.SIGKILL)
        case "agent killed":
            processes.signal(agent, signal.SIGKILL)
        case "entry paused 10 s":
            processes.signal(entry, signal.SIGSTOP)
            await asyncio.sleep(FAULT_DURATION_S)
            processes.signal(entry, signal.SIGCONT)
        case "link cut 10 s":
            processes.network.partition(entry, agent)
            await asyncio.sleep(FAULT_DURATION_S)
            processes.network.heal()


async def _generate_load(
    processes: cluster.Cluster, fault: str, rate: float, before_s: float, after_s: float
) -> dict[str, Any]:
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as http:
        callers = Callers(http, [processes[name].http_url for name in ENTRIES], processes.workspace)
        began = time.monotonic()
        jobs: list[asyncio.Task[None]] = []
        fault_task: asyncio.Task[None] | None = None
        probe_task: asyncio.Task[float] | None = None
        entry = _preferred_entry(processes)
        fault_at = began + before_s
        while (now := time.monotonic()) < fault_at + after_s:
            if fault_task is None and now >= fault_at:
                fault_at = now
                fault_task = asyncio.create_task(_inject_fault(processes, fault, entry))
                await asyncio.sleep(0)
                probe_task = asyncio.create_task(_probe(callers, entry))
            jobs.append(asyncio.create_task(callers.submit(len(jobs) % CALLERS)))
            await asyncio.sleep(max(0.0, began + len(jobs) / rate - time.monotonic()))
        await asyncio.gather(*jobs)
        assert fault_task is not None
        assert probe_task is not None
        await fault_task
        served_at = await probe_task
    return _summarize(processes, fault, fault_at, served_at, callers.outcomes)


def _summarize(
    processes: cluster.Cluster, fault: str, fault_at: float, served_at: float, outcomes: list[Outcome]
) -> dict[str, Any]:
    kinds = collections.Counter(outcome.kind for outcome in outcomes)
    starts = processes.starts()
    after_fault = [outcome for outcome in outcomes if outcome.submitted_at >= fault_at]
    disturbed = [
        outcome.submitted_at - fault_at
        for outcome in after_fault
        if outcome.kind != "complete" or outcome.ended_at - outcome.submitted_at > 1
    ]
    return {
        "fault": fault,
        "jobs": len(outcomes),
        **{kind: kinds[kind] for kind in ("complete", "failed", "refused", "no_answer", "wrong")},
        "duplicate_starts": sum(count - 1 for count in starts.values()),
        "served_again_s": round(served_at - fault_at, 2),
        "undisturbed_after_s": round(max(disturbed), 2) if disturbed else 0.0,
    }


def _measure(fault: str, rate: float, before_s: float, after_s: float) -> dict[str, Any]:
    with (
        tempfile.TemporaryDirectory() as directory,
        cluster.Cluster(pathlib.Path(directory), proxied=True) as processes,
    ):
        for name in ENTRIES:
            processes.start_entry(name)
        for number in range(WORKERS):
            processes.start_worker(number)
        processes.wait_ready(*ENTRIES)
        for name in ENTRIES:
            processes.wait_linked(name, WORKERS)
        return asyncio.run(_generate_load(processes, fault, rate, before_s, after_s))


FAULTS = ("none", "entry killed", "agent killed", "entry paused 10 s", "link cut 10 s")


@click.command()
@click.option("--rate", type=float, default=40.0, show_default=True, help="Jobs per second.")
@click.option("--before", type=float, default=5.0, show_default=True, help="Seconds of load before the fault.")
@click.option("--after", type=float, default=18.0, show_default=True, help="Seconds of load from the fault on.")
@click.option("--json", "as_json", is_flag=True, help="Print the results as JSON.")
def main(rate: float, before: float, after: float, as_json: bool) -> None:
    """Measure every fault; exit with status 1 if a target is missed."""
    rows = [_measure(fault, rate, before, after) for fault in FAULTS]
    missed = [
        row["fault"]
        for row in rows
        if row["duplicate_starts"] or row["wrong"] or row["served_again_s"] >= SERVED_AGAIN_TARGET_S
    ]
    if as_json:
        setup = {"rate": rate, "tasks": TASKS, "run_ms": RUN_MS, "entries": len(ENTRIES), "workers": WORKERS}
        click.echo(json.dumps({"setup": setup, "rows": rows, "missed": missed}, indent=1))
    else:
        click.echo(f"| {' | '.join(rows[0])} |")
        click.echo(f"|{'---|' * len(rows[0])}")
        for row in rows:
            click.echo(f"| {' | '.join(str(value) for value in row.values())} |")
        click.echo(f"targets missed: {', '.join(missed) or 'none'}")
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
