"""State of all workers as an entry knows it."""

import statistics
from typing import TYPE_CHECKING

from cactusgauge import rendezvous
from cactusgauge.scheduling import worker_report, worker_view

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import ids

MIN_SLOWNESS = 0.05  # lower bound of reported slowness and of the median, which is used as a divisor
# A worker that stops reporting is expected to return within this time; a restart takes half of it.
RETURN_TIMEOUT_S = 3.0
CRASH_RETURN_TIMEOUT_S = 5.0  # a worker that crashed is expected to return within this time
TRIAL_SHARE = 0.1  # of the workers; they may all be down while tasks crash them, and the rest must carry the load


class FleetState:
    """Workers by agent; their slowness (task duration, lower is faster) is relative to the median of the fleet."""

    def __init__(self) -> None:
        self._workers: dict[ids.AgentName, worker_view.WorkerView] = {}
        self._median_slowness = 1.0

    @property
    def workers(self) -> "abc.Iterable[worker_view.WorkerView]":
        """All known workers."""
        return self._workers.values()

    def get(self, agent: "ids.AgentName") -> worker_view.WorkerView | None:
        """Return the view of an agent's worker, or None if it is unknown."""
        return self._workers.get(agent)

    def add(self, agent: "ids.AgentName") -> worker_view.WorkerView:
        """Return the view of an agent's worker, and create it if it is unknown."""
        return self._workers.setdefault(agent, worker_view.WorkerView(agent))

    def remove(self, agent: "ids.AgentName") -> None:
        """Remove an agent's worker."""
        self._workers.pop(agent, None)

    def update_median_slowness(self) -> None:
        """Recompute the median slowness of the workers that accept runs."""
        known = [
            view.report.slowness for view in self._workers.values() if view.accepts_runs and view.report is not None
        ]
        self._median_slowness = max(statistics.median(known), MIN_SLOWNESS) if known else 1.0

    def slowness(self, view: worker_view.WorkerView) -> float:
        """Return the slowness of a worker relative to the median worker, which has 1."""
        if view.report is None:
            return 1.0
        return max(view.report.slowness, MIN_SLOWNESS) / self._median_slowness

    def available_share(self, service: "ids.ServiceName", now: float) -> float:
        """Return the fraction of the expected workers of a service that accept runs.

        A worker is expected if it has reported within RETURN_TIMEOUT_S and is not draining. Workers without a service
        count too, because a restarted agent does not know the service of its worker yet.
        """
        expected = [
            view
            for view in self._workers.values()
            if view.report is not None
            and view.report.service in (service, "")
            and view.report.phase is not worker_report.WorkerPhase.DRAINING
            and now - view.reported_at < RETURN_TIMEOUT_S
        ]
        return sum(view.accepts_runs for view in expected) / len(expected) if expected else 0.0

    def trial_workers(
        self, service: "ids.ServiceName", can_run: "abc.Callable[[worker_view.WorkerView], bool]", now: float
    ) -> "list[worker_view.WorkerView]":
        """Return the workers for tasks that may have crashed another worker, among those for which `can_run` holds.

        These are the same few workers at all entries. A worker that such a task has crashed stays one of them until it
        returns, so that no more of them are down at a time and the other workers serve the other tasks.
        """
        expected = [
            view
            for view in self._workers.values()
            if view.report is not None
            and view.report.service == service
            and now - view.ready_at < CRASH_RETURN_TIMEOUT_S
            and can_run(view)
        ]
        expected.sort(key=lambda view: rendezvous.unit_hash(service, view.agent))
        return expected[: max(1, round(TRIAL_SHARE * len(expected)))]

    def available_workers(self, service: "ids.ServiceName") -> "list[worker_view.WorkerView]":
        """Return the workers of a service that accept runs."""
        return [
            view
            for view in self._workers.values()
            if view.accepts_runs and view.report is not None and view.report.service == service
        ]
