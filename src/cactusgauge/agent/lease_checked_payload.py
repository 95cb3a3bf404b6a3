"""A request body that is sent only under a valid lease."""

from typing import TYPE_CHECKING

import aiohttp

from cactusgauge import exceptions

if TYPE_CHECKING:
    from aiohttp import abc

    from cactusgauge import ids
    from cactusgauge.agent import backend_server_lease


class LeaseCheckedPayload(aiohttp.BytesPayload):
    """Checks the lease again at the moment at which the request is written.

    aiohttp writes headers and body together, one iteration of the event loop after the request was made. The process
    may be suspended in between for longer than the lease is valid.
    """

    def __init__(self, value: bytes, lease: "backend_server_lease.BackendServerLease", lease_id: "ids.LeaseId") -> None:
        super().__init__(value)
        self._lease = lease
        self._lease_id = lease_id
        self._is_refused = False

    @property
    def is_refused(self) -> bool:
        """Whether the write was refused, and so nothing was sent, because the lease had ended."""
        return self._is_refused

    async def write_with_length(self, writer: "abc.AbstractStreamWriter", content_length: int | None) -> None:
        """Write headers and body; if the lease has ended, write nothing and raise `LeaseEndedError`."""
        lease = self._lease.valid_lease
        if lease is None or lease.id != self._lease_id:
            self._is_refused = True
            raise exceptions.LeaseEndedError(f"lease {self._lease_id} ended before the request was sent")
        await super().write_with_length(writer, content_length)
