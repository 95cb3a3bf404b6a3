"""An agent's knowledge of its worker's clock and of the lease on it."""

import asyncio

from cactusgauge.runs import timing


class WorkerLease:
    """Translates between the loop's clock and the worker's, and knows when a lease has surely ended."""

    def __init__(self, clock_s: float, lease_s: float, earlier_leases_s: float = 0.0) -> None:
        """`earlier_leases_s` bounds the leases of orders that may have reached the worker before."""
        self._lease_s = lease_s
        self._clock_s = clock_s
        self._clock_read_at = asyncio.get_running_loop().time()
        self._expires_at = self._clock_read_at + earlier_leases_s * (1 + timing.MAX_CLOCK_DRIFT)

    @property
    def has_expired(self) -> bool:
        """Whether everything that ran under the lease is gone."""
        return asyncio.get_running_loop().time() > self._expires_at

    @property
    def can_extend(self) -> bool:
        """Whether the worker was heard within a lease; renewals without replies would keep runs that nobody sees."""
        return asyncio.get_running_loop().time() - self._clock_read_at < self._lease_s

    def update_clock(self, clock_s: float) -> None:
        """Take in a reading of the worker's clock, newer than those before."""
        self._clock_s = clock_s
        self._clock_read_at = asyncio.get_running_loop().time()

    def extend(self) -> float:
        """Return the end of a lease from now on the worker's clock, which may be slow but not fast."""
        now = asyncio.get_running_loop().time()
        self._expires_at = max(
            self._expires_at, now + self._lease_s * (1 + timing.MAX_CLOCK_DRIFT) + timing.DELAY_MARGIN_S
        )
        return self._clock_s + (now - self._clock_read_at) * (1 - timing.MAX_CLOCK_DRIFT) + self._lease_s
