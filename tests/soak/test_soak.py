"""A short run of the soak with real processes, and the seeds that once failed."""

import pathlib

import pytest

from tests.soak import soak

SHORT_S = 32.0  # 4 s to start, 12 s of faults, 16 s for the recovery
USUAL_S = 45.0
RUNS = [
    pytest.param(20261204, SHORT_S, id="short"),
    pytest.param(4, USUAL_S, id="runs in the new life of a worker under the same id, told as lost"),
    pytest.param(5, USUAL_S, id="an entry reloaded during its imports"),
    pytest.param(6, USUAL_S, id="the same as seed 4, with several workers"),
]


@pytest.mark.parametrize(("seed", "seconds"), RUNS)
async def test_promises_hold_under_faults(seed: int, seconds: float, tmp_path: pathlib.Path) -> None:
    """Guards against promises that a combination of faults breaks; all but the first seed once failed."""
    result = await soak.SoakRun(seed, seconds, soak.Size(), tmp_path, network=200).run()
    assert result.findings == []
    assert result.succeeded > result.jobs / 2
