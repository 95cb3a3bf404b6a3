"""Which ends of tasks count against their worker."""

from cactusgauge import jobs

# These ends are evidence against a worker, to be compared with the rest of the fleet.
FAILURE_REASONS = frozenset(
    {
        jobs.Reason.BACKEND_ERROR.value,
        jobs.Reason.CONNECTION_LOST.value,
        jobs.Reason.CONNECTION_REFUSED.value,
        jobs.Reason.REFUSED_BY_BACKEND_SERVER.value,
        jobs.Reason.INTERNAL_ERROR.value,
    }
)

HUNG_RUN_TIME_FACTOR = (
    5.0  # a task cut off at its deadline counts against the worker only after so many expected run times
)


def is_worker_failure(state: jobs.TaskState, reason: str, ran_s: float, expected_s: float) -> bool | None:
    """Return whether the end of a task counts against its worker, or None if it says nothing about the worker."""
    # Under overload many tasks are cut off soon after their start, which says nothing about the worker.
    is_hung = reason == jobs.Reason.DEADLINE.value and ran_s > HUNG_RUN_TIME_FACTOR * expected_s
    if reason in FAILURE_REASONS or is_hung:
        return True
    return False if state is jobs.TaskState.COMPLETED else None
