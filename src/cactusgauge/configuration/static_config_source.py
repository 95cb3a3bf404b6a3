"""A configuration that is given once, for tests."""

import asyncio
from typing import TYPE_CHECKING

from cactusgauge.configuration import config_source

if TYPE_CHECKING:
    from collections import abc as collections_abc

    from cactusgauge import observability
    from cactusgauge.configuration import configuration, peer_states, state_document


class StaticConfigSource(config_source.ConfigSource):
    """Always gives the same configuration."""

    def __init__(self, current: "configuration.Configuration | None") -> None:
        self._current = current

    @property
    def current(self) -> "configuration.Configuration | None":
        """The configuration given at construction."""
        return self._current

    def document(self) -> "state_document.StateDocument | None":
        """Return None: there is no log behind this configuration."""
        return None

    async def follow(
        self,
        peers: "peer_states.PeerStates",
        counters: "observability.Counters",
        events: "observability.EventRing",
        on_change: "collections_abc.Callable[[], None]",
    ) -> None:
        """Wait until cancelled."""
        await asyncio.get_running_loop().create_future()
