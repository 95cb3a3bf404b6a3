"""Measures the latency that the system adds to the run time of tasks, and its messages per task.

One entry and eleven workers run as real processes on loopback, without any other load.
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
SLOTS = 8
RUN_MS = 50
SINGLE_JOBS = 100
LARGE_JOBS = 10
LARGE_TASKS = 340
MESSAGES = ("Assign", "Results", "AgentState", "Heartbeat")


def _time_job(base: str, session: str, number: int, count: int) -> float:
    tasks = [{"payload": json.dumps({"run_ms": RUN_MS})} for _ in range(count)]
    body = json.dumps({"tasks": tasks}).encode()
    began = time.perf_counter()
    answer = http_json.call("PUT", f"{base}/{session}/jobs/{number}?wait=30", body)
    elapsed_s = time.perf_counter() - began
    assert answer["state"] == "complete", answer
    return elapsed_s * 1000


def _count_messages(processes: cluster.Cluster) -> dict[str, float]:
    counts: dict[str, float] = dict.fromkeys(MESSAGES, 0.0)
    rows: list[list[Any]] = processes.get_json("entry-1", "/v1/status")["counters"]
    for name, _, label, count in rows:
        if name in ("messages_sent", "messages_received") and label in counts:
            counts[label] += count
    return counts


def _measure(processes: cluster.Cluster, title: str, jobs: int, count: int, ideal_ms: float) -> None:
    base = f"{processes['entry-1'].http_url}/v1/workspaces/{processes.workspace}/sessions"
    session = http_json.call("POST", base)["session"]
    before = _count_messages(processes)
    times = [_time_job(base, session, number, count) for number in range(jobs)]
    after = _count_messages(processes)
    added = [elapsed - ideal_ms for elapsed in times]
    messages = ", ".join(f"{name} {(after[name] - before[name]) / jobs / count:.2f}" for name in MESSAGES)
    quantiles = statistics.quantiles(added, n=20)
    print(f"| {title} | {ideal_ms:.0f} | {statistics.median(added):.1f} | {quantiles[-1]:.1f} | {messages} |")


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
        ideal_ms = LARGE_TASKS * RUN_MS / (WORKERS * SLOTS)
        _measure(processes, f"{LARGE_TASKS} tasks of {RUN_MS} ms", LARGE_JOBS, LARGE_TASKS, ideal_ms)


if __name__ == "__main__":
    main()
