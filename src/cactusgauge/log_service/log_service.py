"""Interface of the platform's append-only log."""

import abc
from typing import NamedTuple


class LogRecord(NamedTuple):
    """A record and its offset."""

    offset: int
    data: bytes


class LogPage(NamedTuple):
    """Result of a read: consecutive records, the first retained offset and the offset of the next append."""

    records: list[LogRecord]
    first_offset: int
    end_offset: int


class LogService(abc.ABC):
    """Streams of records; the offsets of a stream are consecutive integers from 0."""

    @abc.abstractmethod
    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset.

        Raise `LogServiceError` if the append is not confirmed; the record may or may not have been appended.
        """

    @abc.abstractmethod
    async def read(self, stream: str, offset: int, limit: int) -> LogPage:
        """Return at most `limit` records, starting at `offset` or at the first retained record if that is higher.

        Raise `LogServiceError` if the read fails.
        """
