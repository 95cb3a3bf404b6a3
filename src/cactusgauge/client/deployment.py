"""The configuration in force at the processes, as an operator sees it."""

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import pydantic

from cactusgauge import configuration
from cactusgauge.client import process_directory

if TYPE_CHECKING:
    from cactusgauge.client import entry_client

POLL_INTERVAL_S = 0.2


class ProcessVersion(NamedTuple):
    """A process and the version in force there; -1 for none, None if it does not answer."""

    role: str
    name: str
    url: str
    version: int | None

    def has_at_least(self, version: int) -> bool:
        """Whether a version, or a higher one, is in force."""
        return self.version is not None and self.version >= version


class Deployment:
    """Finds all processes through some entries."""

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
        """Return the versions once all entries have at least `version`, or as they are at the timeout."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while True:
            entries = await self.entry_versions()
            if all(entry.has_at_least(version) for entry in entries) or loop.time() >= deadline:
                return entries
            await asyncio.sleep(POLL_INTERVAL_S)

    async def document(self) -> configuration.StateDocument | None:
        """Return the state through the highest offset that the given entries hold."""
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
