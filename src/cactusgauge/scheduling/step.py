"""One step of a job: a group of equal tasks."""

from typing import NamedTuple

from cactusgauge.scheduling import resources


class Step(NamedTuple):
    """A group of `task_count` equal tasks that may start once all tasks of the steps in `depends_on` are done.

    `estimate_s` is the caller's rough estimate of the duration of one task. `depends_on` holds
    indexes of earlier steps. A worker needs `required_label`, if not empty. `rack` is the location of the input data.
    `max_per_worker` limits the tasks that run on one worker at a time; 0 means no limit.
    """

    task_count: int
    demand: resources.Resources
    estimate_s: float
    depends_on: tuple[int, ...] = ()
    required_label: str = ""
    rack: str = ""
    max_per_worker: int = 0
