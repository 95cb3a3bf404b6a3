"""Fixtures for tests with real processes."""

import concurrent.futures
from collections import abc

import pytest


@pytest.fixture
def background() -> abc.Iterator[concurrent.futures.ThreadPoolExecutor]:
    """Return a thread pool for callers that wait for answers."""
    with concurrent.futures.ThreadPoolExecutor(max_workers=64) as executor:
        yield executor
