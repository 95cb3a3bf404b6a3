"""Closes links on which nothing is received any more."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge import observability
    from cactusgauge.fleet import fleet_link

SILENCE_TIMEOUT_S = 1.0  # more than six missed heartbeats; a link that stays silent is closed so that it gets replaced


class LinkMonitor:
    """Monitors all links of a process, which calls `check` with each heartbeat."""

    def __init__(self, counters: "observability.Counters") -> None:
        self._counters = counters
        self._links: set[fleet_link.FleetLink] = set()
        self._silent_at_last_check: set[fleet_link.FleetLink] = set()

    def add(self, link: "fleet_link.FleetLink") -> None:
        """Start monitoring a link."""
        self._links.add(link)

    def discard(self, link: "fleet_link.FleetLink") -> None:
        """Stop monitoring a link."""
        self._links.discard(link)

    def check(self, now: float) -> None:
        """Abort the links that were silent at the previous check and still are."""
        silent = {link for link in self._links if now - link.last_received_at >= SILENCE_TIMEOUT_S}
        # After a pause of this process, messages that arrived meanwhile are still unread, so one check is not enough.
        for link in silent & self._silent_at_last_check:
            self._counters.add("fleet_links_silent", "", "")
            link.abort()
        self._silent_at_last_check = silent
