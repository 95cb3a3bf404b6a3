"""Soak tests with real processes: a short run, and the seeds that failed in the past."""

import pathlib

import pytest

from tests.soak import soak

SHORT_S = 32.0  # 4 s to start, 12 s of faults, 16 s for the recovery
USUAL_S = 45.0
RUNS = [
    pytest.param(20261204, SHORT_S, id="short"),
    pytest.param(4, USUAL_S, id="runs of a worker restarted under the same id, reported as lost"),
    pytest.param(5, USUAL_S, id="SIGHUP at an entry that is still importing modules"),
    pytest.param(6, USUAL_S, id="the same as seed 4, with several workers"),
]


@pytest.mark.parametrize(("seed", "seconds"), RUNS)
async def test_promises_hold_under_faults(seed: int, seconds: float, tmp_path: pathlib.Path) -> None:
    """Guards against a combination of faults that breaks a promise; all seeds but the first failed in the past."""
    result = await soak.SoakRun(seed, seconds, soak.Size(), tmp_path, network=200).run()
    assert result.findings == []
    assert result.succeeded > result.jobs / 2
