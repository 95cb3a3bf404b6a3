"""A bounded set of jobs."""

import collections
import itertools
from typing import TYPE_CHECKING, Generic, TypeVar

from cactusgauge import ids

if TYPE_CHECKING:
    from collections import abc

Job = TypeVar("Job", ids.JobKey, ids.QueuedJob)


class RecentJobs(Generic[Job]):
    """The jobs that were added last, at most `capacity` of them."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._jobs: collections.OrderedDict[Job, None] = collections.OrderedDict()

    def __contains__(self, job: Job) -> bool:
        return job in self._jobs

    def __len__(self) -> int:
        return len(self._jobs)

    def __iter__(self) -> "abc.Iterator[Job]":
        return iter(self._jobs)

    def newest(self, count: int) -> list[Job]:
        """Return at most `count` of the jobs that were added last, oldest first."""
        return list(itertools.islice(reversed(self._jobs), count))[::-1]

    def add(self, jobs: "abc.Iterable[Job]") -> list[Job]:
        """Add jobs and return those that were not there."""
        added = []
        for job in jobs:
            if job not in self._jobs:
                added.append(job)
            self._jobs[job] = None
            self._jobs.move_to_end(job)
        while len(self._jobs) > self._capacity:
            self._jobs.popitem(last=False)
        return added
