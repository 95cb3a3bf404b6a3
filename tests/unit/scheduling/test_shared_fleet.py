"""Replays loads of several entries on shared workers."""

from typing import TYPE_CHECKING

from cactusgauge import fleet, runs
from tests.unit.scheduling import shared_fleet

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import scheduling

SEEDS = range(12)
SECONDS = 6.0


def _kinds(load: float) -> list[shared_fleet.JobKind]:
    """Return the three kinds of jobs of a small deployment, at a multiple of its usual rates."""
    return [
        shared_fleet.JobKind("entry", 0, 8, 0.12, 17.2 * load),
        shared_fleet.JobKind("fee", 2, 4, 1.8, 3.1 * load),
        shared_fleet.JobKind("label", 1, 2, 0.4, 50.0 * load),
    ]


def _share_in_time(
    load: float, report_interval_s: "abc.Callable[[scheduling.WorkerReport], float]", seeds: range = SEEDS
) -> float:
    """Return the fraction of jobs that end within their objective, over all seeds."""
    jobs = in_time = 0
    for seed in seeds:
        model = shared_fleet.SharedFleet(3, 11, report_interval_s, seed)
        model.run(_kinds(load), SECONDS)
        jobs += model.jobs
        in_time += model.in_time
    return in_time / jobs


async def test_jobs_find_room_that_other_entries_left_free() -> None:
    """Guards against jobs that wait, or are sent to full workers, because reports under load are old.

    A worker is refilled within tens of milliseconds near full load, so a report per heartbeat is mostly outdated.
    """
    for load in (1.0, 1.5):
        baseline = _share_in_time(load, lambda report: runs.HEARTBEAT_INTERVAL_S)
        assert _share_in_time(load, fleet.report_interval_s) > baseline
