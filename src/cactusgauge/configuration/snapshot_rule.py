"""From which snapshot a reader of a trimmed log may start."""

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge.configuration import state_document


class SnapshotRule(abc.ABC):
    """Decides whether a snapshot may be used, and through which offset its state counts."""

    @abc.abstractmethod
    def usable_state(
        self, snapshot: "state_document.StateDocument", offset: int, first_offset: int
    ) -> "state_document.StateDocument | None":
        """Return the state to start from, given the snapshot's own offset and the first offset retained."""


class ThroughOffsetRule(SnapshotRule):
    """A snapshot is usable only if every record after its through offset is retained."""

    def usable_state(
        self, snapshot: "state_document.StateDocument", offset: int, first_offset: int
    ) -> "state_document.StateDocument | None":
        """Return the state unless records after it are missing."""
        if not first_offset - 1 <= snapshot.through < offset:
            return None
        return snapshot
