"""Checks of invariants with real processes under load and faults."""

import asyncio

from cactusgauge import load
from emulator import cluster

MIX = load.Mix.model_validate(
    {
        "name": "faults",
        "workspace": "cheese",
        "seed": 5,
        "duration_s": 3,
        "load": 2.0,
        "fleet": {"speeds": [1, 2, 0.5], "slots": 8},
        "jobs": [{"weight": 3, "min": 1, "max": 5}, {"weight": 1, "min": 10, "max": 60}],
        "kinds": [{"name": "label", "weight": 1, "median_ms": 60, "max_ms": 200}],
        "declarations": {"wrong_share": 0.5},
        "cancellations": {"share": 0.1, "burst_at_s": 2},
        "deadline_ms": 20_000,
    }
)


def test_every_job_is_answered_and_no_task_starts_twice(processes: cluster.Cluster) -> None:
    """Guards against lost jobs and second starts under overload, cancellations and faulty backend servers."""
    entry = processes.start_entry("entry-1")
    for number, options in enumerate((["--refuse", "0.1"], ["--drop", "0.05"], ["--fail", "1"])):
        processes.start_worker(number, "--speed", str(MIX.fleet.speeds[number]), *options)
    processes.wait_ready("entry-1")
    processes.wait_linked("entry-1", 3)
    plan = load.draw_plan(MIX)

    records = asyncio.run(load.LoadGenerator(MIX, plan, [entry.http_url]).run())

    assert [record.at_s for record in records] == [job.at_s for job in plan]
    assert load.JobResult.UNKNOWN not in {record.result for record in records}
    assert load.JobResult.COMPLETE in {record.result for record in records}
    assert load.JobResult.CANCELLED in {record.result for record in records}
    assert set(processes.starts().values()) == {1}
    assert all(report["max_running"] <= report["slots"] for report in processes.server_reports())
