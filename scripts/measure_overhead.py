"""Measures the latency that the system adds to the run time of tasks, and its messages per task.

One entry, eleven agents and their backend servers run as real processes on loopback, without any other load. The
added latency of a job is its elapsed time minus a lower bound: the run time of its only task, or that of
its tasks spread evenly over all slots.
"""

import json
import pathlib
import statistics
import tempfile
import time
from typing import Any

import click

from emulator import cluster, http_json

WORKERS = 11
SLOTS_PER_WORKER = 8  # the default of the setting `slots` of agents
RUN_MS = 50
SINGLE_JOBS = 100
LARGE_JOBS = 10
LARGE_TASKS = 340
# Labels of the counted messages, which are the names of their classes.
MESSAGES = ("Assign", "Results", "AgentState", "Heartbeat")


def _time_job(base: str, session: str, number: int, task_count: int) -> float:
    """Submit a job and wait until it is complete; return the elapsed time in milliseconds."""
    tasks = [{"payload": json.dumps({"run_ms": RUN_MS})} for _ in range(task_count)]
    body = json.dumps({"tasks": tasks}).encode()
    started_at = time.perf_counter()
    reply = http_json.call("PUT", f"{base}/{session}/jobs/{number}?wait=30", body)
    elapsed_s = time.perf_counter() - started_at
    assert reply["state"] == "complete", reply
    return elapsed_s * 1000


def _count_messages(processes: cluster.Cluster) -> dict[str, float]:
    """Return how many messages of each class the entry has sent and received so far."""
    counts: dict[str, float] = dict.fromkeys(MESSAGES, 0.0)
    rows: list[list[Any]] = processes.get_json("entry-1", "/v1/status")["counters"]
    for name, _, label, count in rows:
        if name in ("messages_sent", "messages_received") and label in counts:
            counts[label] += count
    return counts


def _measure(processes: cluster.Cluster, title: str, job_count: int, task_count: int, lower_bound_ms: float) -> None:
    """Run jobs of `task_count` tasks one after another and print a row of the table."""
    base = f"{processes['entry-1'].http_url}/v1/workspaces/{processes.workspace}/sessions"
    session = http_json.call("POST", base)["session"]
    before = _count_messages(processes)
    elapsed_times_ms = [_time_job(base, session, number, task_count) for number in range(job_count)]
    after = _count_messages(processes)
    added_ms = [elapsed_ms - lower_bound_ms for elapsed_ms in elapsed_times_ms]
    messages = ", ".join(f"{name} {(after[name] - before[name]) / job_count / task_count:.2f}" for name in MESSAGES)
    quantiles = statistics.quantiles(added_ms, n=20)
    print(f"| {title} | {lower_bound_ms:.0f} | {statistics.median(added_ms):.1f} | {quantiles[-1]:.1f} | {messages} |")


@click.command()
def main() -> None:
    """Measure jobs of one task and large jobs, and print the results as a Markdown table."""
    with tempfile.TemporaryDirectory() as directory, cluster.Cluster(pathlib.Path(directory)) as processes:
        processes.start_entry("entry-1")
        for number in range(WORKERS):
            processes.start_worker(number)
        processes.wait_ready("entry-1")
        processes.wait_linked("entry-1", WORKERS)
        print("| job | lower bound (ms) | added, median (ms) | added, p95 (ms) | messages per task |")
        print("|---|---|---|---|---|")
        _measure(processes, f"1 task of {RUN_MS} ms", SINGLE_JOBS, 1, RUN_MS)
        lower_bound_ms = LARGE_TASKS * RUN_MS / (WORKERS * SLOTS_PER_WORKER)
        _measure(processes, f"{LARGE_TASKS} tasks of {RUN_MS} ms", LARGE_JOBS, LARGE_TASKS, lower_bound_ms)


if __name__ == "__main__":
    main()
