"""The lease that permits an agent to start tasks at its backend server."""

import asyncio
import collections
from typing import NamedTuple

from cactusgauge import ids

DEFAULT_TTL_S = 3.0  # longest time for which a server that stopped renewing can still get new tasks
MIN_TTL_S = 0.2
MAX_ENDED_LEASES = 64  # remembered ids of ended leases, to reject renewals that were sent before the end


class Lease(NamedTuple):
    """A lease of one backend server; `expires_at` is in seconds on the clock of the event loop."""

    id: ids.LeaseId
    name: str
    url: str
    expires_at: float


class BackendServerLease:
    """Holds the lease of the agent's only backend server.

    Validity is checked on each use, against the monotonic clock, so that an agent process that was suspended does not
    use an expired lease. The time to live counts from the grant time that the server repeats in its announcement, not
    from the arrival of the announcement: one that was queued while the agent was suspended proves only that the server
    was alive earlier. A new lease is therefore valid only after its first renewal.
    """

    def __init__(self) -> None:
        self._lease: Lease | None = None
        self._ended_ids: collections.deque[ids.LeaseId] = collections.deque(maxlen=MAX_ENDED_LEASES)

    @property
    def valid_lease(self) -> Lease | None:
        """The current lease, or None if it has expired or the server has released it."""
        if self._lease is None or asyncio.get_running_loop().time() >= self._lease.expires_at:
            return None
        return self._lease

    def grant_or_renew(
        self,
        name: str,
        url: str,
        lease_id: ids.LeaseId | None,
        granted_at: float | None,
        ttl_s: float = DEFAULT_TTL_S,
    ) -> Lease | None:
        """Renew the lease `lease_id`, or grant a new one if it is not the current lease.

        `granted_at` is the loop time of the last grant that the server received. Return None if the lease was released
        or replaced: a delayed renewal must neither send work to a server that left nor end the lease of its successor.
        """
        if lease_id in self._ended_ids:
            return None
        now = asyncio.get_running_loop().time()
        current = self._lease
        if current is None or current.id != lease_id or current.url != url:
            if current is not None and now < current.expires_at:
                self._ended_ids.append(current.id)
            current = Lease(ids.new_lease_id(), name, url, now)
        if current.id == lease_id and granted_at is not None and granted_at <= now:
            expires_at = granted_at + min(max(ttl_s, MIN_TTL_S), DEFAULT_TTL_S)
            current = current._replace(expires_at=max(current.expires_at, expires_at))
        self._lease = current
        return current

    def release(self, lease_id: ids.LeaseId) -> bool:
        """End a lease; return False if it is not the current lease."""
        if self._lease is None or self._lease.id != lease_id:
            return False
        self._ended_ids.append(lease_id)
        self._lease = None
        return True
