"""Interfaces of the platform's store for the configuration, cancellations and the addresses of entries."""

import abc
from typing import NamedTuple

from cactusgauge import exceptions, ids


class StoreUnavailableError(exceptions.CactusgaugeError):
    """A request to the store failed; a write may or may not have taken effect."""

    code = "store_unavailable"


class CursorLostError(exceptions.CactusgaugeError):
    """The records after a cursor are no longer kept."""

    code = "cursor_lost"


class ConfigBatch(NamedTuple):
    """Configurations that were written after a cursor, a position in the store's history, and the next cursor.

    The oldest configuration comes first.
    """

    bodies: list[bytes]
    cursor: int


class ConfigStore(abc.ABC):
    """Reads the operators' configuration."""

    @abc.abstractmethod
    async def newest(self) -> ConfigBatch:
        """Return the newest configuration, if there is one, and the cursor after it."""

    @abc.abstractmethod
    async def changes(self, cursor: int, wait_s: float) -> ConfigBatch:
        """Return the configurations after a cursor; wait up to `wait_s` for the first one."""


class CancellationBatch(NamedTuple):
    """Jobs that were cancelled after a cursor, oldest first, and the next cursor."""

    jobs: list[ids.QueuedJob]
    cursor: int


class CancellationLog(abc.ABC):
    """The cancellations of the last minutes, in an order that all entries see."""

    @abc.abstractmethod
    async def record(self, job: ids.QueuedJob) -> None:
        """Store the cancellation of a job; raise `StoreUnavailableError` if it may not be stored."""

    @abc.abstractmethod
    async def read(self, cursor: int, wait_s: float) -> CancellationBatch:
        """Return the cancellations after a cursor; wait up to `wait_s` for the first one.

        A cursor before the first retained cancellation is moved forward to it.
        """


class EntryRecord(NamedTuple):
    """The link URL of an entry; `revision` increases each time it is published."""

    link_url: str
    revision: int


class EntryDirectory(abc.ABC):
    """The link URLs that entries have published; some of the entries may no longer exist."""

    @abc.abstractmethod
    async def publish(self, link_url: str) -> None:
        """Publish the link URL of an entry."""

    @abc.abstractmethod
    async def entries(self) -> list[EntryRecord]:
        """Return all published entries."""
