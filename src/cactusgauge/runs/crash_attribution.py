"""Tells which of the runs on a crashed worker may have crashed it."""

from typing import TYPE_CHECKING

from cactusgauge import scheduling

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge.runs import run_registry

RECENT_START_S = 0.1  # a task that crashes the worker that starts it does so within this time


def tasks_at_crash(runs: "abc.Sequence[run_registry.Run]", crashed_at: float) -> scheduling.TasksAtCrash:
    """Divide the tasks of the runs on a worker that crashed at `crashed_at`, a loop time.

    The load that this answers: a task that crashes each worker that starts it, beside many others.
    """
    recent = [run for run in runs if run.started_at > crashed_at - RECENT_START_S]
    # If there is only one, it is taken for the cause also without a reply to its start.
    confirmed = [run for run in recent if run.is_confirmed or len(recent) == 1]
    return scheduling.TasksAtCrash(
        [run.key.task for run in confirmed],
        [run.key.task for run in recent if run not in confirmed],
        [run.key.task for run in runs if run not in recent],
    )
