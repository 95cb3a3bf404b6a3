"""Log service that keeps its records in the platform's store."""

from cactusgauge import exceptions, fleet, log_service
from cactusgauge.platform import store as store_module


class StoreLog(log_service.LogService):
    """Stores each record of a stream under a unique key.

    Records of topics without keys expire within minutes; records with a key are kept until they are deleted. `writer`
    is the first part of the keys and must be unique, as the id of a process incarnation is.
    """

    def __init__(self, store: store_module.Store, writer: str) -> None:
        self._store = store
        self._writer = writer
        self._count = 0

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset."""
        # A record that is appended again gets a new key; readers recognize the duplicate by its sequence number.
        self._count += 1
        try:
            return await self._store.put(f"keyed.{stream}", f"{self._writer}/{self._count}", data)
        except fleet.StoreUnavailableError as error:
            raise exceptions.LogServiceError(str(error)) from error

    async def read(self, stream: str, offset: int, limit: int) -> log_service.LogPage:
        """Return at most `limit` records, starting at `offset`."""
        try:
            records = await self._store.newest_values(f"keyed.{stream}")
        except fleet.StoreUnavailableError as error:
            raise exceptions.LogServiceError(str(error)) from error
        found = sorted(log_service.LogRecord(number, data) for number, data in records if number >= offset)[:limit]
        first = found[0].offset if found else offset
        return log_service.LogPage(found, first, found[-1].offset + 1 if found else offset)
