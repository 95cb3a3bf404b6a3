"""The job commands against real processes."""

import json
import pathlib
import signal
from typing import Any

from click import testing

from cactusgauge.console import application, exit_codes
from emulator import cluster
from tests.system import caller


def run(processes: cluster.Cluster, *arguments: str) -> tuple[int, dict[str, Any]]:
    urls = " ".join(processes[name].http_url for name in ("entry-1", "entry-2"))
    environment = {"CACTUSGAUGE_ENTRY": urls, "CACTUSGAUGE_WORKSPACE": processes.workspace}
    result = testing.CliRunner().invoke(application.main, [*arguments, "--json"], env=environment)
    return result.exit_code, json.loads(result.stdout)


def test_commands_follow_a_session_over_a_planned_stop(processes: cluster.Cluster, tmp_path: pathlib.Path) -> None:
    """Guards against lost answers, second runs and wrong exit codes in the commands when an entry is stopped."""
    processes.start_entry("entry-1")
    processes.start_entry("entry-2")
    processes.start_worker(0)
    for name in ("entry-1", "entry-2"):
        processes.wait_ready(name)
        processes.wait_peers(name, 1)
        processes.wait_linked(name, 1)
    short, long = tmp_path / "short.json", tmp_path / "long.json"
    short.write_bytes(caller.job_body(4, run_ms=5))
    long.write_bytes(caller.job_body(20, run_ms=400))
    file = ["--session-file", str(tmp_path / "session.json")]

    code, first = run(processes, "job", "submit", str(short), *file)
    assert (code, first["state"], first["job"]) == (exit_codes.COMPLETE, "complete", 1)
    code, accepted = run(processes, "job", "submit", str(long), *file, "--no-wait")
    assert (code, accepted["outcome"], accepted["job"]) == (exit_codes.RUNNING, "running", 2)
    code, cancelled = run(processes, "job", "cancel", *file)
    assert (code, cancelled["job"]) == (exit_codes.FAILED, 2)
    reasons = {(task["state"], task.get("reason")) for task in cancelled["tasks"]}
    assert reasons == {("completed", None), ("not_run", "cancelled")}

    same = ["--session", first["session"], "--number"]
    assert run(processes, "job", "submit", str(short), *same, "1") == (exit_codes.COMPLETE, first)
    code, conflict = run(processes, "job", "submit", str(long), *same, "1")
    assert (code, conflict["code"]) == (exit_codes.REFUSED, "job_conflict")

    status = processes.get_json("entry-1", "/v1/status")
    owner = "entry-1" if first["session"].startswith(status["entry"]["incarnation"]) else "entry-2"
    processes.signal(owner, signal.SIGTERM)
    processes.wait_exit(owner)
    code, renewed = run(processes, "job", "submit", str(short), *file)
    assert (code, renewed["job"]) == (exit_codes.COMPLETE, 1)
    assert renewed["session"] != first["session"]
    assert run(processes, "job", "wait", *same, "1") == (exit_codes.COMPLETE, first)
    assert set(processes.starts().values()) == {1}
