"""Runs one job of 340 tasks through two entries and four agents and counts the starts at the backend servers."""

import json
import pathlib
import sys
import tempfile
import time

from emulator import cluster, http_json

TASK_COUNT = 340
RUN_MS = 50
ENTRIES = ("entry-1", "entry-2")
SPEEDS = (0.5, 1.0, 1.5, 2.0)
SLOTS = 8
WAIT_S = 60


def _run_demo(processes: cluster.Cluster) -> int:
    for name in ENTRIES:
        processes.start_entry(name)
    for number, speed in enumerate(SPEEDS):
        processes.start_worker(number, "--speed", str(speed))
    processes.wait_ready(*ENTRIES)
    for name in ENTRIES:
        processes.wait_linked(name, len(SPEEDS))
    base = f"{processes['entry-1'].http_url}/v1/workspaces/{processes.workspace}/sessions"
    session = http_json.call("POST", base)["session"]
    tasks = [{"payload": json.dumps({"run_ms": RUN_MS, "result": f"label {index}"})} for index in range(TASK_COUNT)]
    began = time.monotonic()
    answer = http_json.call("PUT", f"{base}/{session}/jobs/1?wait={WAIT_S}", json.dumps({"tasks": tasks}).encode())
    elapsed_s = time.monotonic() - began
    reports = answer["tasks"]
    assert isinstance(reports, list)
    correct = sum(
        report["state"] == "completed" and report["result"] == f"label {report['index']}" for report in reports
    )
    starts = processes.starts()
    duplicates = sum(count - 1 for count in starts.values())
    ideal_s = TASK_COUNT * RUN_MS / 1000 / (SLOTS * sum(SPEEDS))
    print(f"job {answer['state']} in {elapsed_s:.2f} s (lower bound {ideal_s:.2f} s)")
    for report in processes.server_reports():
        print(f"  {report['name']}: {len(report['starts'])} starts, at most {report['max_running']} at once")
    print(f"demo: {TASK_COUNT} tasks, {correct} complete, {duplicates} duplicate starts")
    return 0 if correct == len(starts) == TASK_COUNT and not duplicates else 1


def main() -> int:
    """Run the demo; return 0 if every task was started exactly once and returned the correct result."""
    with tempfile.TemporaryDirectory() as directory, cluster.Cluster(pathlib.Path(directory)) as processes:
        return _run_demo(processes)


if __name__ == "__main__":
    sys.exit(main())
