"""Access to the configuration state of other entries."""

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge.configuration import state_document


class PeerStates(abc.ABC):
    """Entries from which the configuration state can be fetched."""

    @abc.abstractmethod
    def versions(self) -> dict[str, int]:
        """Return the configuration version that each live peer last reported, by URL; -1 if it has none."""

    @abc.abstractmethod
    async def fetch(self, url: str) -> "state_document.StateDocument | None":
        """Fetch the state of a peer; return None if that fails or the peer has none."""


class NoPeers(PeerStates):
    """An empty set of peers."""

    def versions(self) -> dict[str, int]:
        """Return an empty mapping."""
        return {}

    async def fetch(self, url: str) -> "state_document.StateDocument | None":
        """Return None."""
        return None
