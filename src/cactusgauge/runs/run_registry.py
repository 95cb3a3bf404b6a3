"""The runs at one worker and the capacity that is reserved for them."""

import enum
from typing import TYPE_CHECKING, NamedTuple

from cactusgauge import ids, scheduling
from cactusgauge.runs import speed_estimator

if TYPE_CHECKING:
    from collections import abc


NO_ROOM = "no_room"
TASK_IS_RUNNING = "task_is_running"


class RunPhase(enum.Enum):
    """State of a run at its worker."""

    STARTING = "starting"  # start requested, no reply yet
    RUNNING = "running"
    STOPPING = "stopping"


class NewRun(NamedTuple):
    """A run that an entry asks for; `expected_s` is its duration on a worker of median speed.

    `generation` is the number of the worker's incarnation that the entry has chosen, as in `WorkerReport`.
    """

    key: ids.RunKey
    owner: ids.EntryIncarnation
    generation: int
    demand: scheduling.Resources
    expected_s: float
    payload: str


class Run:
    """A run that may exist at the worker.

    `first_conclusive_listing` is the number of the first listing that proves the run gone if it does not contain it;
    None while the reply to its start or stop is awaited. `is_confirmed` tells whether the worker has certainly started
    the run, `is_crash_reported` whether a crash of the worker during the run was reported. `unwanted_since` is the
    loop time from which its entry need not wait for its end, so that its task may run elsewhere.
    """

    __slots__ = (
        "demand",
        "expected_s",
        "first_conclusive_listing",
        "is_confirmed",
        "is_crash_reported",
        "key",
        "owner",
        "phase",
        "started_at",
        "stop_reason",
        "unwanted_since",
    )

    def __init__(self, new: NewRun, now: float) -> None:
        self.key = new.key
        self.owner = new.owner
        self.demand = new.demand
        self.expected_s = new.expected_s
        self.phase = RunPhase.STARTING
        self.is_confirmed = False
        self.is_crash_reported = False
        self.started_at = now
        self.stop_reason = ""
        self.unwanted_since = float("inf")
        self.first_conclusive_listing: int | None = None


class RunRegistry:
    """Admits runs up to the worker's capacity.

    The capacity for a run stays reserved from the start request until the end of the run is proved: by the worker's
    list of ends, by a refusal, or by a listing without the run that was requested after the reply to its start or stop.
    So the worker never exceeds its capacity, even if requests arrive late.
    """

    def __init__(self, now: float) -> None:
        self._runs: dict[ids.RunKey, Run] = {}
        self._tasks: dict[ids.TaskKey, ids.RunKey] = {}  # a task has at most one run here
        self._used = scheduling.Resources()
        self._speed = speed_estimator.SpeedEstimator(now)
        self.capacity = scheduling.Resources()

    @property
    def free(self) -> scheduling.Resources:
        """Capacity that is free for new runs."""
        return self.capacity.minus(self._used)

    @property
    def runs(self) -> "abc.Collection[Run]":
        """All runs that may exist at the worker."""
        return self._runs.values()

    def get(self, key: ids.RunKey) -> Run | None:
        """Return a run that may exist at the worker, or None if it is unknown or has ended."""
        return self._runs.get(key)

    def owned_by(self, owner: ids.EntryIncarnation) -> list[Run]:
        """Return the runs of an entry."""
        return [run for run in self._runs.values() if run.owner == owner]

    def has_unconfirmed_stop(self, unwanted_before: float) -> bool:
        """Return whether the worker has not confirmed the stop of a run that was unwanted before a loop time."""
        return any(
            run.unwanted_since < unwanted_before and run.first_conclusive_listing is None for run in self._runs.values()
        )

    def admit(self, new: NewRun, now: float) -> str:
        """Reserve capacity for a run; return an empty string, or why it is refused."""
        if new.key.task in self._tasks:
            return TASK_IS_RUNNING
        if not new.demand.fits(self.free):
            return NO_ROOM
        self._runs[new.key] = Run(new, now)
        self._tasks[new.key.task] = new.key
        self._used = self._used.plus(new.demand)
        return ""

    def remove(self, key: ids.RunKey) -> Run | None:
        """Remove a run that has ended and release its capacity."""
        run = self._runs.pop(key, None)
        if run is None:
            return None
        del self._tasks[key.task]
        self._used = self._used.minus(run.demand)
        return run

    def record_completion(self, run: Run, now: float) -> float:
        """Update the speed estimate with a completed run; return its duration in seconds."""
        ran_s = now - run.started_at
        self._speed.record(ran_s, run.expected_s, now)
        return ran_s

    def slowness(self, now: float) -> float:
        """Return the ratio of actual to expected task durations at this worker."""
        running = [
            (now - run.started_at, run.expected_s) for run in self._runs.values() if run.phase is RunPhase.RUNNING
        ]
        return self._speed.slowness(running, now)

    def reset_speed(self, now: float) -> None:
        """Discard the speed estimate, as the worker was restarted or replaced."""
        self._speed = speed_estimator.SpeedEstimator(now)
