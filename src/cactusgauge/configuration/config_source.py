"""Interface of the sources from which a process gets its configuration."""

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import abc as collections_abc

    from cactusgauge import observability
    from cactusgauge.configuration import configuration, peer_states, state_document


class ConfigSource(abc.ABC):
    """Provides the configuration in force."""

    @property
    @abc.abstractmethod
    def current(self) -> "configuration.Configuration | None":
        """The configuration in force, or None before the first one; its version never decreases."""

    @abc.abstractmethod
    def document(self) -> "state_document.StateDocument | None":
        """Return the state to send to peers, or None before the first configuration."""

    @abc.abstractmethod
    async def follow(
        self,
        peers: "peer_states.PeerStates",
        counters: "observability.Counters",
        events: "observability.EventRing",
        on_change: "collections_abc.Callable[[], None]",
    ) -> None:
        """Keep `current` up to date until cancelled; call `on_change` each time it changes."""
