"""An entry's view of one worker."""

from typing import TYPE_CHECKING

from cactusgauge.scheduling import resources, worker_report

if TYPE_CHECKING:
    from cactusgauge import ids


class WorkerView:
    """The last report of a worker, less what was sent to it since and is not in the report."""

    def __init__(self, agent: "ids.AgentName") -> None:
        self.agent = agent
        self.report: worker_report.WorkerReport | None = None
        self.is_reachable = False
        self.reported_at = 0.0
        self._reservations: dict[int, resources.Resources] = {}
        self._free = resources.Resources()

    @property
    def free(self) -> resources.Resources:
        """What is free for new runs."""
        return self._free

    @property
    def accepts_runs(self) -> bool:
        """Whether new runs may be sent."""
        return self.is_reachable and self.report is not None and self.report.phase is worker_report.WorkerPhase.READY

    def update(self, report: worker_report.WorkerReport, handled_start: int, now: float) -> None:
        """Take in a report that includes the starts up to number `handled_start`."""
        self.report = report
        self.reported_at = now
        self._reservations = {number: each for number, each in self._reservations.items() if number > handled_start}
        self._free = report.free
        for each in self._reservations.values():
            self._free = self._free.minus(each)

    def reserve(self, number: int, demand: resources.Resources) -> None:
        """Reserve what a start needs until a report includes it."""
        self._reservations[number] = demand
        self._free = self._free.minus(demand)

    def handle_refusal(self, number: int) -> None:
        """Note that an agent refused a start: the view is wrong, so nothing is free until the next report."""
        self._reservations.pop(number, None)
        self._free = resources.Resources()

    def release(self, number: int, demand: resources.Resources) -> None:
        """Free what a run used; the next report, which is coalesced with others, includes it."""
        self._reservations.pop(number, None)
        self._free = self._free.plus(demand)

    def clear_reservations(self) -> None:
        """Drop the reservations, as the link on which the starts were sent is gone."""
        self._reservations.clear()
