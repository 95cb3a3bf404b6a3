"""The lease under which an agent may start tasks at its backend server."""

import asyncio
import collections
from typing import NamedTuple

from cactusgauge import ids

DEFAULT_TTL_S = 3.0  # the bound on new work for a backend server that is leaving
MIN_TTL_S = 0.2
MAX_ENDED_LEASES = 64  # ids of ended leases, for renewals that were under way at the end


class Lease(NamedTuple):
    """One registration of a backend server; `expires_at` is a loop time in seconds."""

    id: ids.LeaseId
    name: str
    url: str
    expires_at: float


class BackendServerLease:
    """Holds the lease of the one backend server beside the agent.

    Validity is checked at the moment of use, on the monotonic clock, so that an agent that was paused does not act on
    an expired lease. A lease runs from the grant that the server repeats in its announcement, not from the arrival of
    the announcement: one that waited while the agent was paused proves only that the server was there before. A new
    lease is therefore valid only from its first renewal on.
    """

    def __init__(self) -> None:
        self._lease: Lease | None = None
        self._ended_ids: collections.deque[ids.LeaseId] = collections.deque(maxlen=MAX_ENDED_LEASES)

    @property
    def valid_lease(self) -> Lease | None:
        """The lease, if it has not expired and the server has not left."""
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
        """Renew the lease of `lease_id`, or grant a new one if it is not the current one.

        `granted_at` is the loop time of the last grant that the server received. Return None for a lease that was
        ended by a leave or replaced: a renewal that is late must bring no work to a server that left, and take none
        from its successor.
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
        """End a lease; return False if it is not the current one."""
        if self._lease is None or self._lease.id != lease_id:
            return False
        self._ended_ids.append(lease_id)
        self._lease = None
        return True
