"""Reads which configuration version is in force at each process."""

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import pydantic

from cactusgauge import configuration
from cactusgauge.client import process_directory

if TYPE_CHECKING:
    from cactusgauge.client import entry_client

POLL_INTERVAL_S = 0.2


class ProcessVersion(NamedTuple):
    """A process and its configuration version: -1 if it has none yet, None if it does not answer."""

    role: str
    name: str
    url: str
    version: int | None

    def has_at_least(self, version: int) -> bool:
        """Whether this version or a higher one is in force."""
        return self.version is not None and self.version >= version


class Deployment:
    """Discovers processes through the given entries and reads the configuration in force there."""

    def __init__(self, client: "entry_client.EntryClient", urls: tuple[str, ...]) -> None:
        self._client = client
        self._directory = process_directory.ProcessDirectory(client)
        self._urls = urls

    async def entry_versions(self) -> list[ProcessVersion]:
        """Return the version at every entry."""
        return self._versions(await self._directory.discover_entries(self._urls))

    async def process_versions(self) -> list[ProcessVersion]:
        """Return the version at every entry and agent."""
        return self._versions(await self._directory.discover(self._urls))

    async def wait_for_version(self, version: int, timeout_s: float) -> list[ProcessVersion]:
        """Wait until all entries have at least `version` or the timeout expires; return the versions of the entries."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while True:
            entries = await self.entry_versions()
            if all(entry.has_at_least(version) for entry in entries) or loop.time() >= deadline:
                return entries
            await asyncio.sleep(POLL_INTERVAL_S)

    async def document(self) -> configuration.StateDocument | None:
        """Return the configuration state of the entry that has read the log furthest, or None if no entry has one."""
        urls = [f"{url}{configuration.CONFIGURATION_PATH}" for url in self._urls]
        documents = []
        for body in await asyncio.gather(*(self._client.get_document(url) for url in urls)):
            try:
                documents.append(configuration.StateDocument.model_validate(body))
            except pydantic.ValidationError:
                continue
        return max(documents, key=lambda document: document.through, default=None)

    @staticmethod
    def _versions(processes: list[process_directory.ProcessState]) -> list[ProcessVersion]:
        versions = []
        for process in processes:
            version = process.document.get("config_version") if process.document else None
            if process.document is not None and version is None:
                version = configuration.NO_VERSION
            versions.append(ProcessVersion(process.role, process.name, process.url, version))
        return versions
