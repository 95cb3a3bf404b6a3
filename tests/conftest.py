"""Fixtures for all tests."""

import pathlib
from collections import abc

import pytest

from emulator import cluster


@pytest.fixture
def processes(tmp_path: pathlib.Path) -> abc.Iterator[cluster.Cluster]:
    """Give a set of real processes that are ended after the test."""
    with cluster.Cluster(tmp_path) as started:
        yield started
