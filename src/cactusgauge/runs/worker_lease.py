"""The worker's clock and the lease on its runs, as the agent knows them."""

import asyncio
import contextlib
from typing import TYPE_CHECKING

from cactusgauge.runs import timing, worker_client

if TYPE_CHECKING:
    from collections import abc


class WorkerLease:
    """Converts times of the loop's clock to the worker's clock and tells when a lease has certainly ended."""

    def __init__(self, clock_s: float, lease_s: float, earlier_leases_s: float = 0.0) -> None:
        """Start at a reading of the worker's clock, `clock_s`; each lease lasts `lease_s`.

        `earlier_leases_s` bounds the leases of requests that may have reached the worker before.
        """
        self._lease_s = lease_s
        self._clock_s = clock_s
        self._clock_read_at = asyncio.get_running_loop().time()
        self._expires_at = self._clock_read_at + earlier_leases_s * (1 + timing.MAX_CLOCK_DRIFT)
        self._requested: list[float] = []  # ends of the leases in requests without a reply, as `_expires_at`

    @property
    def has_expired(self) -> bool:
        """Whether the lease has certainly ended, so that everything that ran under it is gone."""
        return asyncio.get_running_loop().time() > max([self._expires_at, *self._requested])

    @property
    def can_extend(self) -> bool:
        """Whether the worker replied within one lease duration; renewals without replies keep unseen runs alive."""
        return asyncio.get_running_loop().time() - self._clock_read_at < self._lease_s

    def update_clock(self, clock_s: float) -> None:
        """Record a newer reading of the worker's clock."""
        self._clock_s = clock_s
        self._clock_read_at = asyncio.get_running_loop().time()

    @contextlib.contextmanager
    def extension(self) -> "abc.Iterator[float]":
        """Start a lease now, for a request that is sent in this context.

        Yield its end on the worker's clock, which may run slow but not fast. Only a request that raises
        `WorkerDownError` has certainly not reached the worker, so its lease does not count.
        """
        now = asyncio.get_running_loop().time()
        expires_at = now + self._lease_s * (1 + timing.MAX_CLOCK_DRIFT) + timing.DELAY_MARGIN_S
        self._requested.append(expires_at)
        has_arrived = True
        try:
            yield self._clock_s + (now - self._clock_read_at) * (1 - timing.MAX_CLOCK_DRIFT) + self._lease_s
        except worker_client.WorkerDownError:
            has_arrived = False
            raise
        finally:
            self._requested.remove(expires_at)
            if has_arrived:
                self._expires_at = max(self._expires_at, expires_at)
