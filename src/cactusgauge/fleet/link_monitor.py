"""Drops links that have gone silent."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge import observability
    from cactusgauge.fleet import fleet_link

SILENCE_TIMEOUT_S = 1.0  # more than six lost beats; a connection that went silent for good is replaced


class LinkMonitor:
    """Holds all links of a process, which checks them with each beat."""

    def __init__(self, counters: "observability.Counters") -> None:
        self._counters = counters
        self._links: set[fleet_link.FleetLink] = set()
        self._suspected: set[fleet_link.FleetLink] = set()

    def add(self, link: "fleet_link.FleetLink") -> None:
        """Watch a link."""
        self._links.add(link)

    def discard(self, link: "fleet_link.FleetLink") -> None:
        """Stop watching a link."""
        self._links.discard(link)

    def check(self, now: float) -> None:
        """Drop the links that were silent at the last check and still are."""
        silent = {link for link in self._links if now - link.last_received_at >= SILENCE_TIMEOUT_S}
        # A process that was itself paused first reads what has arrived meanwhile, so a link falls at the second check.
        for link in silent & self._suspected:
            self._counters.add("fleet_links_silent", "", "")
            link.abort()
        self._suspected = silent
