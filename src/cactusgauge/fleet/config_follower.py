"""Keeps the configuration up to date with the store."""

import asyncio
from typing import TYPE_CHECKING

from cactusgauge.fleet import stores

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge.fleet import config_cache

LONG_POLL_S = 1.0  # longest wait of a request
RETRY_S = 0.1  # first delay after a failed request; doubled with each further failure
MAX_RETRY_S = 1.0


class ConfigFollower:
    """Reads the newest configuration, then waits for changes; retries while the store is unavailable."""

    def __init__(
        self, store: stores.ConfigStore, cache: "config_cache.ConfigCache", log_event: "abc.Callable[..., None]"
    ) -> None:
        self._store = store
        self._cache = cache
        self._log_event = log_event
        self._is_reachable = True

    async def run(self) -> None:
        """Follow changes until cancelled."""
        cursor: int | None = None
        retry_s = RETRY_S
        while True:
            try:
                if cursor is None:
                    batch = await self._store.newest()
                else:
                    batch = await self._store.changes(cursor, LONG_POLL_S)
            except stores.CursorLostError as error:
                cursor = None  # start again with the newest configuration
                self._log_event("config_cursor_lost", reason=str(error))
                await asyncio.sleep(RETRY_S)  # the records after it may be lost again
                continue
            except stores.StoreUnavailableError as error:
                self._set_reachable(False, str(error))
                await asyncio.sleep(retry_s)
                retry_s = min(retry_s * 2, MAX_RETRY_S)
                continue
            self._set_reachable(True, "")
            retry_s = RETRY_S
            cursor = batch.cursor
            for body in batch.bodies:
                self._cache.apply_if_newer(body, "store")

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable == self._is_reachable:
            return
        self._is_reachable = reachable
        if reachable:
            self._log_event("store_regained", config_version=self._cache.version)
        else:
            self._log_event("store_lost", reason=reason, config_version=self._cache.version)
