"""Selects the entries that an agent links to."""

from typing import TYPE_CHECKING

from cactusgauge import rendezvous

if TYPE_CHECKING:
    from collections import abc

LINKS_PER_AGENT = 3  # links each of 14 entries to 16 of 76 workers; a further link costs both ends 13 messages a second
FULL_MESH_MAX_ENTRIES = 4  # up to this number, agents link to all entries
UNREACHABLE_AFTER_S = 1.5  # an entry without a link for this long does not count, so a further one is dialled


class LinkSelector:
    """Prefers the entries that rank first for the agent, by a hash of its name and the link URL.

    As each agent links to only a few entries, the cost of links per entry does not grow with the deployment, and
    workers are still shared by several entries. An entry with runs at the agent stays linked.
    """

    def __init__(self, agent: str, links: int = LINKS_PER_AGENT) -> None:
        self._agent = agent
        self._links = links
        self._unlinked_since: dict[str, float] = {}

    def select(
        self, known: "abc.Iterable[str]", linked: "abc.Container[str]", with_runs: "abc.Set[str]", now: float
    ) -> set[str]:
        """Return the link URLs to dial and to keep; `with_runs` are those of entries with runs here."""
        ranked = sorted(known, key=lambda url: rendezvous.unit_hash(self._agent, url))
        links = len(ranked) if len(ranked) <= FULL_MESH_MAX_ENTRIES else self._links
        self._unlinked_since = {url: self._unlinked_since.get(url, now) for url in ranked if url not in linked}
        selected = set(with_runs)
        counted = 0
        for url in ranked:
            if counted >= links:
                break
            selected.add(url)
            counted += now - self._unlinked_since.get(url, now) <= UNREACHABLE_AFTER_S
        return selected
