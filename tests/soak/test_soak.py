"""A short run of the soak with real processes, and the seeds that once failed."""

import pathlib

import pytest

from tests.soak import soak

SECONDS = 32.0  # 4 s to start, 12 s of faults, 16 s for the recovery
# Seeds that failed once, each with a line on the cause.
REGRESSIONS: dict[int, str] = {}


@pytest.mark.parametrize("seed", [20261204, *REGRESSIONS])
async def test_promises_hold_under_faults(seed: int, tmp_path: pathlib.Path) -> None:
    """Guards against promises that a combination of faults breaks."""
    result = await soak.Soak(seed, SECONDS, soak.Size(), tmp_path, network=200).run()
    assert result.findings == []
    assert result.succeeded > result.jobs / 2
