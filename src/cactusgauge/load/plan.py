"""Draws the jobs of a run from a mix, before the run starts."""

import json
import random
from typing import TYPE_CHECKING, NamedTuple

from cactusgauge.load import mix as mix_module

if TYPE_CHECKING:
    from collections import abc


class PlannedTask(NamedTuple):
    """A task; `run_ms` is its run time at speed 1, `declared_ms` the one that the caller declares, None if none."""

    kind: str
    run_ms: float
    declared_ms: float | None


class PlannedJob(NamedTuple):
    """A job to submit `at_s` seconds after the start; `cancel_after_s` is None for a job that is not cancelled."""

    at_s: float
    tasks: list[PlannedTask]
    cancel_after_s: float | None

    def body(self, deadline_ms: int) -> bytes:
        """Return the request body of the submission."""
        tasks = []
        for task in self.tasks:
            document = {"payload": json.dumps({"run_ms": task.run_ms, "result": ""}), "kind": task.kind}
            tasks.append(document if task.declared_ms is None else {**document, "duration_ms": task.declared_ms})
        return json.dumps({"tasks": tasks, "deadline_ms": deadline_ms}).encode()

    def ideal_s(self, fleet: "mix_module.Fleet") -> float:
        """Return the ideal response time in seconds.

        It is the run time of the longest task on the fastest worker, or the total work divided by the capacity of the
        fleet, whichever is longer.
        """
        longest_ms = max(task.run_ms for task in self.tasks)
        total_ms = sum(task.run_ms for task in self.tasks)
        return max(longest_ms / max(fleet.speeds), total_ms / fleet.capacity) / mix_module.MILLISECONDS_PER_SECOND


def draw_plan(mix: "mix_module.Mix") -> list[PlannedJob]:
    """Return the jobs of a run in order of arrival; the same mix gives the same plan.

    Jobs are drawn until their work reaches the offered load over the duration, so that runs with different seeds offer
    the same work. Given the number of jobs, arrival times are independent, as in a Poisson process.
    """
    rng = random.Random(mix.seed)
    offered_ms = mix.load * mix.fleet.capacity * _weighted_duration_s(mix) * mix_module.MILLISECONDS_PER_SECOND
    jobs: list[list[PlannedTask]] = []
    while offered_ms > 0:
        tasks = _draw_tasks(mix, rng)
        offered_ms -= sum(task.run_ms for task in tasks)
        jobs.append(tasks)
    times = sorted(_draw_arrival(mix, rng) for _ in jobs)
    return [PlannedJob(at_s, tasks, _draw_cancellation(mix, rng)) for at_s, tasks in zip(times, jobs, strict=True)]


def _weighted_duration_s(mix: "mix_module.Mix") -> float:
    """Return how long the load outside of bursts would have to last to offer the same work."""
    burst_extra_s = sum((min(each.end_s, mix.duration_s) - each.start_s) * (each.factor - 1) for each in mix.bursts)
    return mix.duration_s + burst_extra_s


def _draw_arrival(mix: "mix_module.Mix", rng: random.Random) -> float:
    """Draw an arrival time with a density proportional to the rate factor, by rejection sampling."""
    max_factor = max(1.0, *(burst.factor for burst in mix.bursts)) if mix.bursts else 1.0
    while True:
        at_s = rng.uniform(0, mix.duration_s)
        if rng.random() * max_factor < mix.rate_factor(at_s):
            return at_s


def _draw_tasks(mix: "mix_module.Mix", rng: random.Random) -> list[PlannedTask]:
    size_class = rng.choices(mix.jobs, [each.weight for each in mix.jobs])[0]
    kinds: abc.Sequence[mix_module.TaskKind] = rng.choices(
        mix.kinds, [each.weight for each in mix.kinds], k=rng.randint(size_class.min, size_class.max)
    )
    return [_draw_task(kind, mix.declarations, rng) for kind in kinds]


def _draw_task(kind: "mix_module.TaskKind", declarations: "mix_module.Declarations", rng: random.Random) -> PlannedTask:
    run_ms = kind.median_ms * rng.lognormvariate(0, kind.sigma)
    run_ms = round(min(max(run_ms, kind.min_ms), kind.max_ms), 3)
    declared_ms = run_ms * rng.lognormvariate(0, declarations.sigma)
    if rng.random() < declarations.wrong_share:
        declared_ms *= declarations.wrong_factor ** rng.choice((-1, 1))
    is_declared = rng.random() < declarations.share
    return PlannedTask(kind.name, run_ms, round(declared_ms, 3) if is_declared else None)


def _draw_cancellation(mix: "mix_module.Mix", rng: random.Random) -> float | None:
    return mix.cancellations.after_s if rng.random() < mix.cancellations.share else None
