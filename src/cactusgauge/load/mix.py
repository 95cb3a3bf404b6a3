"""Description of a load: arrivals, job sizes, run times, wrong declarations and cancellations."""

import pydantic

from cactusgauge import ids

MILLISECONDS_PER_SECOND = 1000


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Fleet(_StrictModel):
    """The workers that the ideal time and the load share refer to.

    `speeds` has one item for each worker; a speed of 2 halves run times. Each worker has `slots` slots.
    """

    speeds: list[pydantic.PositiveFloat] = pydantic.Field(min_length=1)
    slots: pydantic.PositiveInt = 8

    @property
    def capacity(self) -> float:
        """Work that the fleet completes per second, in seconds of run time at speed 1."""
        return sum(self.speeds) * self.slots


class JobSizeClass(_StrictModel):
    """A class of jobs, drawn in proportion to `weight`; a job has `min` to `max` tasks, uniformly distributed."""

    weight: pydantic.PositiveFloat
    min: pydantic.PositiveInt
    max: pydantic.PositiveInt

    @pydantic.model_validator(mode="after")
    def _check_bounds(self) -> "JobSizeClass":
        if self.min > self.max:
            raise ValueError("min must not exceed max")
        return self


class TaskKind(_StrictModel):
    """A kind of task, drawn in proportion to `weight`.

    Run times at speed 1 are lognormal, clipped to `min_ms` and `max_ms`; `sigma` is the standard deviation of their
    natural logarithm.
    """

    name: str = pydantic.Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")
    weight: pydantic.PositiveFloat
    median_ms: pydantic.PositiveFloat
    sigma: pydantic.NonNegativeFloat = 0.3
    min_ms: pydantic.NonNegativeFloat = 50
    max_ms: pydantic.PositiveFloat = 1000


class Burst(_StrictModel):
    """The arrival rate from `start_s` to `end_s` is `factor` times the rate outside of bursts."""

    start_s: pydantic.NonNegativeFloat
    end_s: pydantic.PositiveFloat
    factor: pydantic.PositiveFloat


class Declarations(_StrictModel):
    """Run times that callers declare for `share` of the tasks: the true run times with a lognormal error of `sigma`.

    A share `wrong_share` of them is in addition multiplied or divided by `wrong_factor`.
    """

    share: float = pydantic.Field(default=1.0, ge=0, le=1)
    sigma: pydantic.NonNegativeFloat = 0.2
    wrong_share: float = pydantic.Field(default=0.0, ge=0, le=1)
    wrong_factor: float = pydantic.Field(default=10.0, ge=1)


class Cancellations(_StrictModel):
    """Cancels `share` of the jobs `after_s` after submission, and `burst_share` of the open jobs at `burst_at_s`.

    `burst_at_s` counts from the start of the run; there is no such burst if it is None.
    """

    share: float = pydantic.Field(default=0.0, ge=0, le=1)
    after_s: pydantic.NonNegativeFloat = 0.5
    burst_at_s: pydantic.NonNegativeFloat | None = None
    burst_share: float = pydantic.Field(default=0.9, ge=0, le=1)


class Mix(_StrictModel):
    """The load of one workspace; unknown keys are rejected.

    `load` is the share of the fleet's capacity that arrives per second outside of bursts. Jobs that arrive in the
    first `warm_up_s` are not part of the reported response times.
    """

    name: str
    workspace: ids.WorkspaceName
    seed: int = 1
    duration_s: pydantic.PositiveFloat = 30
    warm_up_s: pydantic.NonNegativeFloat = 5
    load: pydantic.PositiveFloat = 0.8
    fleet: Fleet
    jobs: list[JobSizeClass] = pydantic.Field(min_length=1)
    kinds: list[TaskKind] = pydantic.Field(min_length=1)
    bursts: list[Burst] = []
    declarations: Declarations = Declarations()
    cancellations: Cancellations = Cancellations()
    deadline_ms: pydantic.PositiveInt = 60_000
    sessions: pydantic.PositiveInt = 8

    def rate_factor(self, at_s: float) -> float:
        """Return the arrival rate at a time, relative to the rate outside of bursts."""
        return next((burst.factor for burst in self.bursts if burst.start_s <= at_s < burst.end_s), 1.0)
