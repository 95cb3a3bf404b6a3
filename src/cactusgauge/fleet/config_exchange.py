"""Passes the newest configuration between the two ends of a link."""

import asyncio
import random
from typing import TYPE_CHECKING

from cactusgauge.fleet import messages

if TYPE_CHECKING:
    from cactusgauge.fleet import config_cache, fleet_link

REQUEST_TIMEOUT_S = 0.5  # after a request, until a peer that does not answer is no longer waited for
RELAY_AFTER_S = 0.5  # entries that the store serves have a new configuration by then
MAX_COPY_DELAY_S = 10.0  # spreads the copies of all agents, which together are far larger than a small entry's link


class ConfigExchange:
    """Asks one peer at a time for a newer configuration, and answers such requests."""

    def __init__(self, cache: "config_cache.ConfigCache") -> None:
        self._cache = cache
        self._asked_at = float("-inf")

    def request_if_newer(self, link: "fleet_link.FleetLink", version: int) -> None:
        """Ask the peer for its configuration if it has a newer one."""
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

    At once if an entry stays behind another one, as then the agent may be the only way between them; otherwise within
    MAX_COPY_DELAY_S, for entries that restart while the store is away.
    """

    def __init__(self) -> None:
        self._behind_since: float | None = None
        self._wanted_version = 0
        self._copy_at = 0.0

    def is_due(self, own_version: int, oldest_version: int, newest_version: int, now: float) -> bool:
        """Return whether to copy now; the versions are this agent's and those of its linked entries."""
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
