"""The entries known to an agent."""

from cactusgauge import ids, rendezvous, wire


class EntryDirectory:
    """Selects the entries to link to: the top-ranked ones for the workspace, or the seeds if no entry is known."""

    def __init__(self, workspace: ids.WorkspaceName, seeds: list[str], links_per_agent: int) -> None:
        self._workspace = workspace
        self._seeds = seeds
        self._links_per_agent = links_per_agent
        self._entries_by_url: dict[str, list[wire.EntryInfo]] = {}

    def update(self, url: str, entries: list[wire.EntryInfo]) -> None:
        """Store the list of live entries that the entry at `url` reported."""
        self._entries_by_url[url] = entries

    def remove(self, url: str) -> None:
        """Discard the report of the entry at `url` after its link was lost."""
        self._entries_by_url.pop(url, None)

    def wanted_urls(self) -> set[str]:
        """Return the URLs to link to."""
        known = {info.name: info for entries in self._entries_by_url.values() for info in entries}
        ranked = rendezvous.rank(self._workspace, known.values())
        if not ranked:
            return set(self._seeds)
        return {info.link_url for info in ranked[: self._links_per_agent]}
