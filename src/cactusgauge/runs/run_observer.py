"""Interface for the events of a run controller."""

import abc

from cactusgauge import ids, scheduling


class RunObserver(abc.ABC):
    """Receives the events of a run controller."""

    @abc.abstractmethod
    def on_run_ended(self, owner: ids.EntryIncarnation, end: scheduling.RunEnd) -> None:
        """Handle the end of a run that belongs to an entry."""

    @abc.abstractmethod
    def on_worker_crashed(self, generation: int, tasks: scheduling.TasksAtCrash) -> None:
        """Handle a crash of the worker's incarnation number `generation`; the ends of its runs follow."""

    @abc.abstractmethod
    def on_report_changed(self) -> None:
        """Handle a change of the worker's report."""

    @abc.abstractmethod
    def log_event(self, event: str, **fields: str | float) -> None:
        """Log a decision."""
