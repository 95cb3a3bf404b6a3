"""Applies the cancellations that other entries have stored."""

import asyncio
from typing import TYPE_CHECKING

from cactusgauge.fleet import config_follower, stores

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import ids


class CancellationFollower:
    """Reads all retained cancellations, then waits for further ones; retries while the store is unavailable.

    An entry that can reach the store applies a cancellation at the latest when a silent connection to the store has
    timed out and the read is repeated.
    """

    def __init__(
        self,
        log: stores.CancellationLog,
        apply: "abc.Callable[[ids.QueuedJob], object]",
        log_event: "abc.Callable[..., None]",
    ) -> None:
        self._log = log
        self._apply = apply
        self._log_event = log_event
        self._is_reachable = True

    @property
    def is_store_reachable(self) -> bool:
        """Whether the last read succeeded."""
        return self._is_reachable

    async def run(self) -> None:
        """Follow cancellations until cancelled."""
        cursor = 0
        retry_s = config_follower.RETRY_S
        while True:
            try:
                batch = await self._log.read(cursor, config_follower.LONG_POLL_S)
            except stores.StoreUnavailableError as error:
                if self._is_reachable:
                    self._log_event("cancellations_lost", reason=str(error), cursor=cursor)
                self._is_reachable = False
                await asyncio.sleep(retry_s)
                retry_s = min(retry_s * 2, config_follower.MAX_RETRY_S)
                continue
            if not self._is_reachable:
                self._log_event("cancellations_regained", cursor=cursor)
            self._is_reachable = True
            retry_s = config_follower.RETRY_S
            cursor = batch.cursor
            for job in batch.jobs:
                self._apply(job)
