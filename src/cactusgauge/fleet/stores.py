"""What the fleet keeps in the platform's store, behind narrow abstract classes."""

import abc
from typing import NamedTuple

from cactusgauge import exceptions


class StoreUnavailableError(exceptions.CactusgaugeError):
    """The store did not serve a call; a write may or may not have taken effect."""

    code = "store_unavailable"


class CursorLostError(exceptions.CactusgaugeError):
    """The records after a cursor are no longer kept."""

    code = "cursor_lost"


class ConfigBatch(NamedTuple):
    """Bodies of configurations that were written after a cursor, oldest first, and the next cursor."""

    bodies: list[bytes]
    cursor: int


class ConfigStore(abc.ABC):
    """The operators' configuration."""

    @abc.abstractmethod
    async def newest(self) -> ConfigBatch:
        """Return the newest configuration, if there is one, and the cursor after it."""

    @abc.abstractmethod
    async def changes(self, cursor: int, wait_s: float) -> ConfigBatch:
        """Return the configurations after a cursor; wait for one up to `wait_s`."""


class EntryRecord(NamedTuple):
    """An entry's link URL; `revision` rises each time it is published."""

    link_url: str
    revision: int


class EntryDirectory(abc.ABC):
    """Link URLs of entries; those of dead ones may remain."""

    @abc.abstractmethod
    async def publish(self, link_url: str) -> None:
        """Publish an entry."""

    @abc.abstractmethod
    async def entries(self) -> list[EntryRecord]:
        """Return all published entries."""
