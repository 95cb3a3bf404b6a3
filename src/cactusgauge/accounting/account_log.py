"""The part of the platform log that accounting needs."""

from typing import NamedTuple, Protocol


class LogEntry(NamedTuple):
    """A record with its offset in the stream."""

    offset: int
    data: bytes


class AccountLog(Protocol):
    """An append-only stream; every method raises `LogServiceError` if the log does not answer."""

    async def append(self, stream: str, data: bytes) -> int:
        """Append and return the offset; after an error it may or may not have taken effect."""

    async def read_from(self, stream: str, offset: int) -> list[LogEntry]:
        """Return the next retained entries at or after an offset, none at the end."""
