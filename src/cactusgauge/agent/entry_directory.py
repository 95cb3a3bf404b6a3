"""The entries that an agent knows."""

from cactusgauge import ids, rendezvous, wire


class EntryDirectory:
    """Chooses the entries to link to: those that rank first for the workspace, or the seeds if none is known."""

    def __init__(self, workspace: ids.WorkspaceName, seeds: list[str], links_per_agent: int) -> None:
        self._workspace = workspace
        self._seeds = seeds
        self._links_per_agent = links_per_agent
        self._entries_by_url: dict[str, list[wire.EntryInfo]] = {}

    def update(self, url: str, entries: list[wire.EntryInfo]) -> None:
        """Take in the entries that the entry linked at `url` sees alive."""
        self._entries_by_url[url] = entries

    def remove(self, url: str) -> None:
        """Drop what an entry reported, as its link is gone."""
        self._entries_by_url.pop(url, None)

    def wanted_urls(self) -> set[str]:
        """Return the URLs to link to."""
        known = {info.name: info for entries in self._entries_by_url.values() for info in entries}
        ranked = rendezvous.rank(self._workspace, known.values())
        if not ranked:
            return set(self._seeds)
        return {info.link_url for info in ranked[: self._links_per_agent]}
