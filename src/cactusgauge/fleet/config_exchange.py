"""Copies the newest configuration from one end of a link to the other."""

import asyncio
import random
from typing import TYPE_CHECKING

from cactusgauge.fleet import messages

if TYPE_CHECKING:
    from cactusgauge.fleet import config_cache, fleet_link

REQUEST_TIMEOUT_S = 0.5  # after this time without an answer, another peer may be asked
RELAY_AFTER_S = 0.5  # by then, entries that can reach the store have a new configuration
MAX_COPY_DELAY_S = 10.0  # spreads the copies of all agents, which together are too large for the link of a small entry


class ConfigExchange:
    """Requests a newer configuration from one peer at a time, and answers such requests."""

    def __init__(self, cache: "config_cache.ConfigCache") -> None:
        self._cache = cache
        self._asked_at = float("-inf")

    def request_if_newer(self, link: "fleet_link.FleetLink", version: int) -> None:
        """Request the configuration of the peer if it has a newer one."""
        now = asyncio.get_running_loop().time()
        if version > self._cache.version and now - self._asked_at >= REQUEST_TIMEOUT_S:
            self._asked_at = now
            link.post(messages.DocumentRequest(self._cache.version))

    def answer(self, link: "fleet_link.FleetLink", request: messages.DocumentRequest) -> None:
        """Send the configuration if it is newer than what the peer has."""
        document = self._cache.document
        if document is not None and document.version > request.version:
            link.post(messages.ConfigDocument(document.version, document.body))


class CopySchedule:
    """Decides when an agent copies a configuration that it does not need itself.

    The agent copies it at once if one linked entry stays behind another, as it may be the only connection between them.
    Otherwise it does so within MAX_COPY_DELAY_S, for entries that restart while the store is unavailable.
    """

    def __init__(self) -> None:
        self._behind_since: float | None = None
        self._wanted_version = 0
        self._copy_at = 0.0

    def is_due(self, own_version: int, oldest_version: int, newest_version: int, now: float) -> bool:
        """Return whether to copy now, from the versions of this agent and of its linked entries."""
        if newest_version <= own_version:
            self._behind_since = None
            return False
        if newest_version != self._wanted_version:
            self._wanted_version = newest_version
            self._copy_at = now + random.uniform(0, MAX_COPY_DELAY_S)
        if oldest_version == newest_version:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        is_behind = self._behind_since is not None and now - self._behind_since >= RELAY_AFTER_S
        return is_behind or now >= self._copy_at
