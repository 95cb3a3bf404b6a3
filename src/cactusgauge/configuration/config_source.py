"""Where a process takes its configuration from."""

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import abc as collections_abc

    from cactusgauge import observability
    from cactusgauge.configuration import configuration, peer_states, state_document


class ConfigSource(abc.ABC):
    """Gives the configuration in force, or None while there is none."""

    @property
    @abc.abstractmethod
    def current(self) -> "configuration.Configuration | None":
        """The configuration in force; its version never decreases."""

    @abc.abstractmethod
    def document(self) -> "state_document.StateDocument | None":
        """Return the state for peers, or None while there is none."""

    @abc.abstractmethod
    async def follow(
        self,
        peers: "peer_states.PeerStates",
        counters: "observability.Counters",
        events: "observability.EventRing",
        on_change: "collections_abc.Callable[[], None]",
    ) -> None:
        """Keep `current` up to date until cancelled; call `on_change` after each change of it."""
