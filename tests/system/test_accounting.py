"""Accounting with real processes."""

import json
import pathlib
import signal
import time
from typing import Any

from click import testing

from cactusgauge import accounting
from cactusgauge.console import application, exit_codes
from emulator import cluster
from tests.system import caller

INTERVAL_S = 0.2
REPORT_LAG_S = 0.5
COVERAGE_MARGIN_S = 6.0  # a record is compared with a report that extends this much beyond it


def run(processes: cluster.Cluster, *arguments: str) -> tuple[int, Any]:
    environment = {"CACTUSGAUGE_LOG_URL": processes[cluster.LOG_NAME].http_url}
    result = testing.CliRunner().invoke(application.main, [*arguments, "--json"], env=environment)
    return result.exit_code, json.loads(result.stdout)


def reports(processes: cluster.Cluster, path: pathlib.Path) -> list[accounting.UsageReport]:
    """Export the log and return the last usage report of each worker."""
    run(processes, "usage", "--export", str(path))
    lines = [line.split(b"\t", 2) for line in path.read_bytes().splitlines()]
    found = [accounting.UsageReport.decode(data) for stream, _, data in lines if stream.decode() == "usage-reports"]
    return list({report.worker: report for report in found}.values())


def test_records_of_both_sides_agree_through_an_outage_and_a_kill(
    processes: cluster.Cluster, tmp_path: pathlib.Path
) -> None:
    """Guards against usage records of entries and workers that differ without tampering, and against lost usage."""
    for name in ("entry-1", "entry-2"):
        processes.start_entry(name, accounting_interval_s=INTERVAL_S)
    for number in range(2):
        log_url = processes[cluster.LOG_NAME].http_url
        options = ("--log-url", log_url, "--report-lag-s", str(REPORT_LAG_S), "--report-interval-s", str(INTERVAL_S))
        processes.start_worker(number, *options, accounting_interval_s=INTERVAL_S)
    processes.wait_ready("entry-1", "entry-2")
    for name in ("entry-1", "entry-2"):
        processes.wait_linked(name, 2)
    callers = [caller.Caller(processes[name].http_url) for name in ("entry-1", "entry-2")]
    sessions = [each.open_session() for each in callers]
    for number in range(3):
        processes.set_log_faults(unavailable=number == 1)
        for each, session in zip(callers, sessions, strict=True):
            assert each.submit(session, number, caller.job_body(40, run_ms=10)).body["state"] == "complete"
    processes.set_log_faults(lose_replies=3)
    expected = len(processes.starts())

    def is_recorded() -> bool:
        _, bill = run(processes, "usage", "--cost", "100")
        return bool(bill["lines"]) and bill["lines"][0]["starts"] - bill["lines"][0]["refused"] == expected

    processes.wait_until(is_recorded, "all starts are on the log")
    path = tmp_path / "export"
    covered_s = time.time() + COVERAGE_MARGIN_S
    processes.wait_until(
        lambda: all(report.to_s > covered_s for report in reports(processes, path)), "the reports cover the records"
    )
    assert sum(report.starts for report in reports(processes, path)) == expected
    processes.signal("agent-0", signal.SIGKILL)
    processes.wait_exit("agent-0")
    for name in ("entry-1", "entry-2", "agent-1", "server-1"):
        processes.signal(name, signal.SIGTERM)
    for name in ("entry-1", "entry-2", "agent-1", "server-1"):
        assert processes.wait_exit(name) == 0

    assert {report.worker: report.final for report in reports(processes, path)} == {"agent-0": False, "agent-1": True}
    path = tmp_path / "bill.json"
    _, bill = run(processes, "usage", "--cost", "100")
    path.write_text(json.dumps(bill))
    code, audited = run(processes, "audit", "--bill", str(path))
    assert (code, audited["bill_differences"]) == (exit_codes.COMPLETE, [])
    assert {finding["kind"] for finding in audited["findings"]} <= {"unfinished", "unconfirmed"}
    assert expected == 240
    code, _ = run(processes, "audit", "--records", str(tmp_path / "export"))
    assert code == exit_codes.COMPLETE
    assert bill["lines"][0]["cents"] == 10_000
