"""Soak tests with real processes: a short run, and the seeds that failed in the past."""

import pathlib

import pytest

from tests.soak import soak

SHORT_S = 32.0  # 4 s to start, 12 s of faults, 16 s for the recovery
USUAL_S = 45.0
RUNS = [
    pytest.param(20261204, SHORT_S, False, id="short"),
    pytest.param(20261205, SHORT_S, True, id="short, with jobs that crash workers and workers that shrink"),
    pytest.param(4, USUAL_S, False, id="runs of a worker restarted under the same id, reported as lost"),
    pytest.param(5, USUAL_S, False, id="SIGHUP at an entry that is still importing modules"),
    pytest.param(6, USUAL_S, False, id="the same as seed 4, with several workers"),
    pytest.param(126, USUAL_S, True, id="job given up although one of its starts never reached the crashed worker"),
    pytest.param(103, USUAL_S, True, id="the same as seed 126"),
    pytest.param(7211, USUAL_S, True, id="job given up as its worker restarted twice at once"),
    pytest.param(8015, USUAL_S, True, id="job given up for two crashes that another one caused beside it"),
    pytest.param(243, USUAL_S, True, id="exit status 255 of an entry"),
    pytest.param(244, USUAL_S, True, id="job refused as overloaded after the recovery"),
]


async def test_promises_hold_under_foreign_heartbeats(tmp_path: pathlib.Path) -> None:
    """Guards against a heartbeat of another writer that replaces the worker of an agent (review/7)."""
    run = soak.SoakRun(20261206, SHORT_S, soak.Size(), tmp_path, 200, with_foreign_heartbeats=True)
    result = await run.run()
    assert result.findings == []
    assert result.succeeded > result.jobs / 2


@pytest.mark.parametrize(("seed", "seconds", "with_added_kinds"), RUNS)
async def test_promises_hold_under_faults(
    seed: int, seconds: float, with_added_kinds: bool, tmp_path: pathlib.Path
) -> None:
    """Guards against a combination of faults that breaks a promise; the short ones never failed."""
    result = await soak.SoakRun(seed, seconds, soak.Size(), tmp_path, 200, with_added_kinds).run()
    assert result.findings == []
    assert result.succeeded > result.jobs / 2
