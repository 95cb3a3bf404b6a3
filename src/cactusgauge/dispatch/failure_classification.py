"""Classification of task outcomes as failures of the worker."""

from cactusgauge import jobs

# Outcomes with these reasons count against the worker; its health is judged by comparison with the other workers.
FAILURE_REASONS = frozenset(
    {
        jobs.Reason.BACKEND_ERROR.value,
        jobs.Reason.CONNECTION_LOST.value,
        jobs.Reason.CONNECTION_REFUSED.value,
        jobs.Reason.REFUSED_BY_BACKEND_SERVER.value,
        jobs.Reason.INTERNAL_ERROR.value,
    }
)

# A task stopped at its deadline counts against the worker only if it ran longer than this many expected run times.
HUNG_RUN_TIME_FACTOR = 5.0


def is_worker_failure(state: jobs.TaskState, reason: str, ran_s: float, expected_s: float) -> bool | None:
    """Return whether an outcome is a failure of the worker, or None if it says nothing about the worker."""
    # Under overload many tasks reach their deadline soon after their start, which is not the fault of the worker.
    is_hung = reason == jobs.Reason.DEADLINE.value and ran_s > HUNG_RUN_TIME_FACTOR * expected_s
    if reason in FAILURE_REASONS or is_hung:
        return True
    return False if state is jobs.TaskState.COMPLETED else None
