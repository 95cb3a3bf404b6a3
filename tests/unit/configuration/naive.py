"""Naive implementations of the abstract classes, which the tests must detect as wrong."""

from collections import abc

from cactusgauge import configuration
from emulator import memory_log
from tests.unit.configuration import builders


class LastWriteWins(configuration.BaseVersionRule):
    """Ignores base versions."""

    def decide(
        self,
        change: configuration.ChangeRecord,
        offset: int,
        versions: abc.Mapping[str, int],
        problems: abc.Sequence[object],
    ) -> configuration.Decision:
        """Accept every valid change."""
        return configuration.Decision(configuration.Outcome.INVALID if problems else configuration.Outcome.ACCEPTED)


class ForgetfulRule(configuration.BaseVersionRule):
    """Discards the ids of all changes."""

    def can_discard(self, verdict: configuration.Verdict, offset: int) -> bool:
        """Discard every verdict at once."""
        return True


class SnapshotAtOwnOffset(configuration.SnapshotRule):
    """Ignores the through offset: treats a snapshot as covering all records before its own offset."""

    def usable_state(
        self, snapshot: configuration.StateDocument, offset: int, first_offset: int
    ) -> configuration.StateDocument:
        """Accept every snapshot."""
        return snapshot.model_copy(update={"through": offset - 1})


class DefaultingSource(configuration.LogConfigSource):
    """Starts with default settings, and falls back to them while the log is unavailable."""

    def __init__(self, log: memory_log.MemoryLog, seed: str) -> None:
        super().__init__(log, seed)
        self._faults = log.faults

    @property
    def current(self) -> configuration.Configuration | None:
        """The configuration from the log, or the defaults while the log is unavailable."""
        default = configuration.WorkspaceConfig(name=builders.CHEESE)
        if super().current is None or self._faults.unavailable:
            return configuration.Configuration(0, {builders.CHEESE: default})
        return super().current
