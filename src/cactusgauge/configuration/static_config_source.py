"""Fixed configuration source, for tests."""

import asyncio
from typing import TYPE_CHECKING

from cactusgauge.configuration import config_source

if TYPE_CHECKING:
    from collections import abc as collections_abc

    from cactusgauge import observability
    from cactusgauge.configuration import configuration, peer_states, state_document


class StaticConfigSource(config_source.ConfigSource):
    """Always provides the same configuration."""

    def __init__(self, current: "configuration.Configuration | None") -> None:
        self._current = current

    @property
    def current(self) -> "configuration.Configuration | None":
        """The configuration passed to the constructor."""
        return self._current

    def document(self) -> "state_document.StateDocument | None":
        """Return None, as this configuration does not come from a log."""
        return None

    async def follow(
        self,
        peers: "peer_states.PeerStates",
        counters: "observability.Counters",
        events: "observability.EventRing",
        on_change: "collections_abc.Callable[[], None]",
    ) -> None:
        """Wait until cancelled; the configuration never changes."""
        await asyncio.get_running_loop().create_future()
