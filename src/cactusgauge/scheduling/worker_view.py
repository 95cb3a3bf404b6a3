"""State of one worker as an entry knows it."""

from typing import TYPE_CHECKING

from cactusgauge.scheduling import resources, worker_report

if TYPE_CHECKING:
    from cactusgauge import ids


class WorkerView:
    """The latest report of a worker, minus the resources of starts that the report does not include yet."""

    def __init__(self, agent: "ids.AgentName") -> None:
        self.agent = agent
        self.report: worker_report.WorkerReport | None = None
        self.is_reachable = False
        self.reported_at = 0.0
        self.ready_at = float("-inf")  # time of the last report with the phase READY
        self._reservations: dict[int, resources.Resources] = {}  # by the sequence number of the start
        self._free = resources.Resources()

    @property
    def free(self) -> resources.Resources:
        """Resources that are free for new runs."""
        return self._free

    @property
    def accepts_runs(self) -> bool:
        """Whether new runs may be sent to the worker."""
        return self.is_reachable and self.report is not None and self.report.phase is worker_report.WorkerPhase.READY

    def update(self, report: worker_report.WorkerReport, handled_start: int, now: float) -> None:
        """Apply a report that includes all starts up to number `handled_start`."""
        self.report = report
        self.reported_at = now
        if report.phase is worker_report.WorkerPhase.READY:
            self.ready_at = now
        self._reservations = {number: each for number, each in self._reservations.items() if number > handled_start}
        self._free = report.free
        for each in self._reservations.values():
            self._free = self._free.minus(each)

    def reserve(self, number: int, demand: resources.Resources) -> None:
        """Reserve the resources of start `number` until a report includes it."""
        self._reservations[number] = demand
        self._free = self._free.minus(demand)

    def handle_refusal(self, number: int) -> None:
        """Treat the worker as full until its next report, because a refused start shows that this view is outdated."""
        self._reservations.pop(number, None)
        self._free = resources.Resources()

    def release(self, number: int, demand: resources.Resources) -> None:
        """Free the resources of an ended run; the report that includes its end is batched and arrives later."""
        self._reservations.pop(number, None)
        self._free = self._free.plus(demand)

    def clear_reservations(self) -> None:
        """Drop all reservations, because the link on which the starts were sent is closed."""
        self._reservations.clear()
