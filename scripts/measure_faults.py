"""Measures what callers see when an entry or agent is killed, an entry is paused or a link is cut in mid-load.

Open loop: small jobs arrive at a fixed rate, whether earlier ones were answered or not. A caller that gets no reply
repeats its request at the other entry. It opens a new session when an answer was recovered or its session is gone.
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
ATTEMPT_S = 2.0
GIVE_UP_S = 30.0
FAULT_S = 10.0
SERVED_TARGET_S = 3.0
GONE_CODES = ("session_expired", "session_closed", "draining")


class Outcome(NamedTuple):
    """How one job ended; times are monotonic, in seconds."""

    submitted_at: float
    ended_at: float
    kind: str


class Callers:
    """Callers with a session each, and the outcomes of their jobs."""

    def __init__(self, http: aiohttp.ClientSession, urls: list[str], workspace: str) -> None:
        self._http = http
        self._urls = [f"{url}/v1/workspaces/{workspace}/sessions" for url in urls]
        self._sessions: dict[int, str] = {}
        self._numbers: collections.Counter[str] = collections.Counter()
        self.outcomes: list[Outcome] = []

    async def submit(self, caller: int) -> None:
        """Submit one job and record how it ended."""
        began = time.monotonic()
        tag = f"{caller}.{len(self.outcomes)}.{began}."
        try:
            async with asyncio.timeout(GIVE_UP_S):
                kind = await self._submit(caller, tag)
        except TimeoutError:
            kind = "no_answer"
        self.outcomes.append(Outcome(began, time.monotonic(), kind))

    async def _submit(self, caller: int, tag: str) -> str:
        session = await self._session(caller)
        self._numbers[session] += 1
        path = f"/{session}/jobs/{self._numbers[session]}?wait=1.5"
        tasks = [
            {"payload": json.dumps({"run_ms": RUN_MS, "result": f"{tag}{index}"}), "kind": "fee-charge"}
            for index in range(TASKS)
        ]
        body = json.dumps({"tasks": tasks}).encode()
        status, answer = await self._repeat("PUT", path, caller, body)
        if status != 200 or answer["recovered"]:
            self._forget(caller, session)
        if status != 200:
            return "refused" if answer.get("ran") == "nothing" else "no_answer"
        if answer["state"] != "complete":
            return "failed"
        right = [task["result"] for task in answer["tasks"]] == [f"{tag}{index}" for index in range(TASKS)]
        return "complete" if right else "wrong"

    async def _session(self, caller: int) -> str:
        if caller not in self._sessions:
            _, answer = await self._repeat("POST", "", caller, b"")
            self._sessions[caller] = answer["session"]
        return self._sessions[caller]

    def _forget(self, caller: int, session: str) -> None:
        if self._sessions.get(caller) == session:
            del self._sessions[caller]

    async def _repeat(self, method: str, path: str, caller: int, body: bytes) -> tuple[int, dict[str, Any]]:
        """Send a request to the entries in turn until one gives a final reply."""
        turn = caller
        while True:
            url = self._urls[turn % len(self._urls)]
            turn += 1
            try:
                timeout = aiohttp.ClientTimeout(total=ATTEMPT_S)
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


async def _cause(processes: cluster.Cluster, fault: str) -> None:
    """Cause a fault and end it after FAULT_S, if it is one that ends."""
    entry = _preferred_entry(processes)
    match fault:
        case "entry killed":
            processes.signal(entry, signal.SIGKILL)
        case "agent killed":
            processes.signal("agent-0", signal.SIGKILL)
        case "entry paused 10 s":
            processes.signal(entry, signal.SIGSTOP)
            await asyncio.sleep(FAULT_S)
            processes.signal(entry, signal.SIGCONT)
        case "link cut 10 s":
            processes.network.cut(entry, "agent-0")
            await asyncio.sleep(FAULT_S)
            processes.network.heal()


async def _load(processes: cluster.Cluster, fault: str, rate: float, before_s: float, after_s: float) -> dict[str, Any]:
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as http:
        callers = Callers(http, [processes[name].http_url for name in ENTRIES], processes.workspace)
        began = time.monotonic()
        jobs: list[asyncio.Task[None]] = []
        causing: asyncio.Task[None] | None = None
        fault_at = began + before_s
        while (now := time.monotonic()) < fault_at + after_s:
            if causing is None and now >= fault_at:
                fault_at = now
                causing = asyncio.create_task(_cause(processes, fault))
            jobs.append(asyncio.create_task(callers.submit(len(jobs) % CALLERS)))
            await asyncio.sleep(max(0.0, began + len(jobs) / rate - time.monotonic()))
        await asyncio.gather(*jobs)
        if causing is not None:
            await causing
    return _summary(processes, fault, fault_at, callers.outcomes)


def _summary(processes: cluster.Cluster, fault: str, fault_at: float, outcomes: list[Outcome]) -> dict[str, Any]:
    kinds = collections.Counter(outcome.kind for outcome in outcomes)
    starts = processes.starts()
    new = [outcome for outcome in outcomes if outcome.submitted_at >= fault_at]
    served = min((outcome.ended_at - fault_at for outcome in new if outcome.kind == "complete"), default=None)
    disturbed = [
        outcome.submitted_at - fault_at
        for outcome in new
        if outcome.kind != "complete" or outcome.ended_at - outcome.submitted_at > 1
    ]
    return {
        "fault": fault,
        "jobs": len(outcomes),
        **{kind: kinds[kind] for kind in ("complete", "failed", "refused", "no_answer", "wrong")},
        "duplicate_starts": sum(count - 1 for count in starts.values()),
        "served_again_s": round(served, 2) if served is not None else None,
        "undisturbed_after_s": round(max(disturbed), 2) if disturbed else 0.0,
    }


def _measure(fault: str, rate: float, before_s: float, after_s: float) -> dict[str, Any]:
    with (
        tempfile.TemporaryDirectory() as directory,
        cluster.Cluster(pathlib.Path(directory), networked=True) as processes,
    ):
        for name in ENTRIES:
            processes.start_entry(name)
        for number in range(WORKERS):
            processes.start_worker(number)
        processes.wait_ready(*ENTRIES)
        for name in ENTRIES:
            processes.wait_linked(name, WORKERS)
        return asyncio.run(_load(processes, fault, rate, before_s, after_s))


FAULTS = ("none", "entry killed", "agent killed", "entry paused 10 s", "link cut 10 s")


@click.command()
@click.option("--rate", type=float, default=40.0, show_default=True, help="Jobs per second.")
@click.option("--before", type=float, default=5.0, show_default=True, help="Seconds of load before the fault.")
@click.option("--after", type=float, default=18.0, show_default=True, help="Seconds of load from the fault on.")
@click.option("--json", "as_json", is_flag=True, help="Print a JSON document.")
def main(rate: float, before: float, after: float, as_json: bool) -> None:
    """Run all faults; exit with 1 if a target is missed."""
    rows = [_measure(fault, rate, before, after) for fault in FAULTS]
    missed = [
        row["fault"]
        for row in rows
        if row["duplicate_starts"] or row["wrong"] or (row["served_again_s"] or GIVE_UP_S) >= SERVED_TARGET_S
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
