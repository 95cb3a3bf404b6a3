"""Connections of one entry's machine are reset while a job runs; its client hands the job in again at another entry."""

import asyncio
import pathlib
import random
import time

from review.standins import deployment, worker

ENTRIES = 3
ROUNDS = 5
TASK_S = 3.0
SHARE = 0.55  # `reset_conns`, x: share of the machine's connections that is reset
RETRY_S = 1.3  # `retry_ms`
TOLERANCE_S = 0.1  # twice `stop_ms`


async def run_scenario(record: deployment.Record, has_trouble: bool) -> bool:
    """Return whether two runs of one task were at work at the same time."""
    labels = [("a", "r1-1"), ("a", "r1-1"), ("a", "r1-2"), ("a", "r1-2")]
    async with deployment.Deployment(record, ENTRIES, labels, lambda task: TASK_S) as system:
        for number in range(ROUNDS):
            await _hand_in(system, number % ENTRIES, has_trouble)
            await asyncio.sleep(2.0)
        return _overlaps(record, [run for each in system.workers for run in each.history])


async def _hand_in(system: deployment.Deployment, entry: int, has_trouble: bool) -> None:
    job = deployment.new_job_id()
    step = {"count": 3, "cpu": 1500, "mem_mb": 64, "estimate_ms": int(TASK_S * 1000)}
    body = deployment.job_body(f"job {job}", step)
    posting = asyncio.create_task(system.request("POST", entry, job, body, 10.0))
    await asyncio.sleep(0.6)
    if has_trouble:
        _reset_connections(system, entry)
    status, _ = await posting
    if status in (0, 502, 504):
        await asyncio.sleep(RETRY_S)
        await system.request("POST", (entry + 1) % ENTRIES, job, body, 10.0)


def _reset_connections(system: deployment.Deployment, entry: int) -> None:
    """Reset SHARE of the connections of the entry's machine, the client's among them; the others are drawn."""
    links = sorted(system.link_proxies[entry].connections, key=id)
    fronts = list(system.front_proxies[entry].connections)
    count = int(SHARE * (len(links) + len(fronts)))
    for connection in [*fronts, *random.sample(links, count - len(fronts))]:
        connection.reset()
    system.record("connections_reset", machine=system.entries[entry].name, count=count, of=len(links) + len(fronts))


def _overlaps(record: deployment.Record, runs: list[worker.Run]) -> bool:
    found = False
    for first in runs:
        for second in runs:
            if first.task != second.task or (first.started_at, first.worker) >= (second.started_at, second.worker):
                continue
            end = min(first.ended_at, second.ended_at, time.monotonic())
            if end - second.started_at > TOLERANCE_S:
                found = True
                record(
                    "two_runs_at_once", task=first.task, runs=[[each.worker, each.number] for each in (first, second)],
                    from_s=record.at(second.started_at), to_s=record.at(end),
                )  # fmt: skip
    return found


if __name__ == "__main__":
    deployment.main(run_scenario, str(pathlib.Path(__file__).parent))
