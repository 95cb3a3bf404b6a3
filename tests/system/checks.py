"""Checks that compare answers with the starts recorded by the backend servers."""

import collections
import json
from typing import TYPE_CHECKING

from tests.system import caller

if TYPE_CHECKING:
    from emulator import cluster

MAX_LATE_START_S = 3.0  # a server may still get starts within this time after it left


def check_answer(
    processes: "cluster.Cluster",
    response: caller.Response,
    session: str,
    number: int,
    count: int,
    tag: str = "r",
    starts: dict[str, int] | None = None,
) -> dict[str, int]:
    """Check that an answer is complete, belongs to the job and agrees with the recorded starts; count tasks by state.

    `starts` are the starts of all jobs; without it, they are read from the backend servers.
    """
    body = response.body
    assert response.status == 200, response
    assert (body["session"], body["job"]) == (session, number)
    assert [task["index"] for task in body["tasks"]] == list(range(count))
    states = [task["state"] for task in body["tasks"]]
    assert (body["state"] == "complete") == (set(states) == {"completed"}), body
    if starts is None:
        starts = processes.starts(f"{session}/{number}/")
    for task in body["tasks"]:
        started = starts.get(f"{session}/{number}/{task['index']}", 0)
        assert started in {"completed": {1}, "failed": {1}, "not_run": {0}, "unknown": {0, 1}}[task["state"]], task
        if task["state"] == "completed":
            assert task["result"] == f"{tag}{task['index']}"
    return dict(collections.Counter(states))


def check_nothing_ran(processes: "cluster.Cluster", session: str, number: int) -> None:
    """Check that no task of a job was started."""
    assert not processes.starts(f"{session}/{number}/")


def check_started_once(processes: "cluster.Cluster") -> None:
    """Check that no task of any job was started more than once."""
    repeated = {task: count for task, count in processes.starts().items() if count > 1}
    assert not repeated, json.dumps(repeated)


def check_no_start_after(processes: "cluster.Cluster", server: str, since: float) -> None:
    """Check that a backend server got no start more than MAX_LATE_START_S after the monotonic time `since`."""
    delays = [event["at"] - since for event in processes.journal(server) if event["event"] in ("start", "refused")]
    assert not [each for each in delays if each > MAX_LATE_START_S], f"start {max(delays):.3f} s after {server} left"


def wait_started(processes: "cluster.Cluster", session: str, number: int, count: int = 1) -> None:
    """Wait until at least `count` tasks of a job were started."""
    processes.wait_until(
        lambda: len(processes.starts(f"{session}/{number}/")) >= count, f"{count} tasks of {session}/{number} started"
    )
