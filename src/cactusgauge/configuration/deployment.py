"""The entries as an operator sees them over HTTP."""

import asyncio
from typing import Any, NamedTuple

import aiohttp
import pydantic

from cactusgauge import operations_resource
from cactusgauge.configuration import state_document

TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 1.0
POLL_S = 0.2
CONFIGURATION_PATH = "/v1/configuration"


class EntryVersion(NamedTuple):
    """An entry and the version in force there; -1 for none, None if the entry does not answer."""

    name: str
    url: str
    version: int | None


class Deployment:
    """Finds all entries through those that are given."""

    def __init__(self, session: aiohttp.ClientSession, urls: list[str]) -> None:
        self._session = session
        self._urls = [url.rstrip("/") for url in urls]
        self._timeout = aiohttp.ClientTimeout(total=TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)

    async def entry_versions(self) -> list[EntryVersion]:
        """Return the version at each given entry and at the peers that these see alive."""
        found: dict[str, EntryVersion] = {}
        wanted = list(self._urls)
        while wanted:
            statuses = await asyncio.gather(*(self._get(url + operations_resource.STATUS_PATH) for url in wanted))
            peers = set()
            for url, status in zip(wanted, statuses, strict=True):
                found[url] = self._entry_version(url, status)
                peers |= {peer["http_url"] for peer in (status or {}).get("peers", [])}
            wanted = sorted(peers - found.keys())
        return sorted(found.values())

    async def wait_in_force(self, version: int, timeout_s: float) -> list[EntryVersion]:
        """Return the versions once all entries have at least `version`, or as they are at the timeout."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while True:
            entries = await self.entry_versions()
            if are_in_force(entries, version) or loop.time() >= deadline:
                return entries
            await asyncio.sleep(POLL_S)

    async def document(self) -> state_document.StateDocument | None:
        """Return the state through the highest offset that the given entries hold."""
        bodies = await asyncio.gather(*(self._get(url + CONFIGURATION_PATH) for url in self._urls))
        documents = []
        for body in bodies:
            try:
                documents.append(state_document.StateDocument.model_validate(body))
            except pydantic.ValidationError:
                continue
        return max(documents, key=lambda each: each.through, default=None)

    async def _get(self, url: str) -> Any:
        try:
            async with self._session.get(url, timeout=self._timeout, allow_redirects=False) as response:
                return await response.json() if response.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None

    @staticmethod
    def _entry_version(url: str, status: Any) -> EntryVersion:
        if status is None:
            return EntryVersion("", url, None)
        version = status["config_version"]
        return EntryVersion(status["entry"]["name"], url, -1 if version is None else version)


def are_in_force(entries: list[EntryVersion], version: int) -> bool:
    """Whether every entry answers and has at least a version in force."""
    return bool(entries) and all(each.version is not None and each.version >= version for each in entries)
