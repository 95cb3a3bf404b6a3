"""Discovers all entries and agents, starting from known entries."""

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

from cactusgauge import operations_resource

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge.client import entry_client

MAX_CONCURRENT_REQUESTS = 32  # limits the open sockets of a command, for example with 570 agents


class ProcessState(NamedTuple):
    """A process and its status document (None if it does not answer); `workspace` is empty for entries."""

    role: str
    name: str
    url: str
    workspace: str
    document: dict[str, Any] | None

    @property
    def incarnation(self) -> str:
        """Incarnation of the process; empty if it does not answer."""
        if self.document is None:
            return ""
        return str(self.document["entry"]["incarnation"] if self.role == "entry" else self.document["incarnation"])


class ProcessDirectory:
    """Reads the status of the given entries and of all entries and agents that they list."""

    def __init__(self, client: "entry_client.EntryClient") -> None:
        self._client = client
        self._request_limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def discover(self, entry_urls: "abc.Iterable[str]") -> list[ProcessState]:
        """Return all processes found: entries, then agents, each sorted by name."""
        found = await self.discover_entries(entry_urls)
        agents = await self._find_agents(found)
        return [*found, *sorted(agents, key=lambda process: (process.name, process.url))]

    async def discover_entries(self, entry_urls: "abc.Iterable[str]") -> list[ProcessState]:
        """Return the entries found, sorted by name."""
        return sorted(await self._find_entries(entry_urls), key=lambda process: (process.name, process.url))

    async def _find_entries(self, urls: "abc.Iterable[str]") -> list[ProcessState]:
        names_by_url = {url: url for url in urls}
        found: dict[str, ProcessState] = {}
        while new_urls := names_by_url.keys() - found.keys():
            for state in await self._fetch_states("entry", [(names_by_url[url], url, "") for url in new_urls]):
                found[state.url] = state
                if state.document is None:
                    continue
                entry = state.document["entry"]
                found[state.url] = state._replace(name=entry["name"])
                for peer in state.document["peers"]:
                    names_by_url.setdefault(peer["http_url"], peer["name"])
        return self._drop_stale_addresses(list(found.values()))

    async def _find_agents(self, entries: list[ProcessState]) -> list[ProcessState]:
        known: dict[str, tuple[str, str, str]] = {}  # name, URL and workspace of each agent, by URL
        for entry in entries:
            for workspace in entry.document["workspaces"] if entry.document else ():
                for worker in workspace["workers"]:
                    known[worker["http_url"]] = (worker["agent"], worker["http_url"], workspace["name"])
        return self._drop_stale_addresses(await self._fetch_states("agent", known.values()))

    async def _fetch_states(self, role: str, processes: "abc.Iterable[tuple[str, str, str]]") -> list[ProcessState]:
        async def fetch_state(name: str, url: str, workspace: str) -> ProcessState:
            async with self._request_limit:
                document = await self._client.get_document(f"{url}{operations_resource.STATUS_PATH}")
            is_expected = document is not None and document.get("role") == role
            return ProcessState(role, name, url, workspace, document if is_expected else None)

        return list(await asyncio.gather(*(fetch_state(*process) for process in processes)))

    @staticmethod
    def _drop_stale_addresses(processes: list[ProcessState]) -> list[ProcessState]:
        # An entry may still list the address that a process had before it was replaced.
        answering = {process.name for process in processes if process.document is not None}
        return [process for process in processes if process.document is not None or process.name not in answering]
