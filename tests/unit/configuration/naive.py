"""Naive behaviour behind the same abstract classes, which the tests must tell apart from the sound one."""

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
        """Accept whatever is valid."""
        return configuration.Decision(configuration.Outcome.INVALID if problems else configuration.Outcome.ACCEPTED)


class ForgetfulRule(configuration.BaseVersionRule):
    """Keeps no ids."""

    def can_discard(self, verdict: configuration.Verdict, offset: int) -> bool:
        """Forget at once."""
        return True


class SnapshotAtOwnOffset(configuration.SnapshotRule):
    """Takes a snapshot's state as of where the snapshot stands, as if it had no through offset."""

    def usable_state(
        self, snapshot: configuration.StateDocument, offset: int, first_offset: int
    ) -> configuration.StateDocument:
        """Use every snapshot."""
        return snapshot.model_copy(update={"through": offset - 1})


class DefaultingSource(configuration.LogConfigSource):
    """Starts from defaults, and returns to them while the log is down."""

    def __init__(self, log: memory_log.MemoryLog, seed: str) -> None:
        super().__init__(log, seed)
        self._faults = log.faults

    @property
    def current(self) -> configuration.Configuration | None:
        """The defaults unless the log serves."""
        default = configuration.WorkspaceConfig(name=builders.CHEESE)
        if super().current is None or self._faults.unavailable:
            return configuration.Configuration(0, {builders.CHEESE: default})
        return super().current
