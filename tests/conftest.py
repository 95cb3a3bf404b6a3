"""Fixtures for all tests."""

import pathlib
from collections import abc

import pytest

from emulator import cluster


@pytest.fixture
def processes(tmp_path: pathlib.Path) -> abc.Iterator[cluster.Cluster]:
    """Yield a cluster of real processes, which are stopped after the test."""
    with cluster.Cluster(tmp_path) as started:
        yield started
