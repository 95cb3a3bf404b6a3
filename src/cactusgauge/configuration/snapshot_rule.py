"""Rules for the snapshots from which a reader of a trimmed log may start."""

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge.configuration import state_document


class SnapshotRule(abc.ABC):
    """Decides whether a snapshot is usable, and which offset its state covers."""

    @abc.abstractmethod
    def usable_state(
        self, snapshot: "state_document.StateDocument", offset: int, first_offset: int
    ) -> "state_document.StateDocument | None":
        """Return the state to start from, or None, given the snapshot's own offset and the first retained offset."""


class ThroughOffsetRule(SnapshotRule):
    """Accepts a snapshot only if every record after its through offset is retained."""

    def usable_state(
        self, snapshot: "state_document.StateDocument", offset: int, first_offset: int
    ) -> "state_document.StateDocument | None":
        """Return the state, or None if records after its through offset are missing."""
        if not first_offset - 1 <= snapshot.through < offset:
            return None
        return snapshot
