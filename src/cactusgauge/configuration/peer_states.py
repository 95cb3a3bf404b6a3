"""Configuration state of the other entries."""

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge.configuration import state_document


class PeerStates(abc.ABC):
    """Entries from which the state can be taken."""

    @abc.abstractmethod
    def versions(self) -> dict[str, int]:
        """Return the configuration version that each live peer last reported, by URL; -1 for none."""

    @abc.abstractmethod
    async def fetch(self, url: str) -> "state_document.StateDocument | None":
        """Return a peer's state, or None if it gave none."""


class NoPeers(PeerStates):
    """A reader without peers."""

    def versions(self) -> dict[str, int]:
        """Return nothing."""
        return {}

    async def fetch(self, url: str) -> "state_document.StateDocument | None":
        """Return nothing."""
        return None
