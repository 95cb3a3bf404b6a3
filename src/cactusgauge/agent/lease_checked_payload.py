"""The body of a start, which needs a valid lease."""

from typing import TYPE_CHECKING

import aiohttp

from cactusgauge import exceptions

if TYPE_CHECKING:
    from aiohttp import abc

    from cactusgauge import ids
    from cactusgauge.agent import backend_server_lease


class LeaseCheckedPayload(aiohttp.BytesPayload):
    """Is written only while the lease is valid.

    aiohttp writes headers and body together, one turn of the event loop after the request was made. In that turn the
    process may be paused for longer than the lease lasts, so the lease is checked again here.
    """

    def __init__(self, value: bytes, lease: "backend_server_lease.BackendServerLease", lease_id: "ids.LeaseId") -> None:
        super().__init__(value)
        self._lease = lease
        self._lease_id = lease_id
        self._is_refused = False

    @property
    def is_refused(self) -> bool:
        """Whether nothing was written because the lease had ended."""
        return self._is_refused

    async def write_with_length(self, writer: "abc.AbstractStreamWriter", content_length: int | None) -> None:
        """Write headers and body, or raise `LeaseEndedError` and write nothing."""
        lease = self._lease.valid_lease
        if lease is None or lease.id != self._lease_id:
            self._is_refused = True
            raise exceptions.LeaseEndedError(f"lease {self._lease_id} ended before the start was sent")
        await super().write_with_length(writer, content_length)
