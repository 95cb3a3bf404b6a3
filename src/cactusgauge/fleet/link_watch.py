"""Drops links that have gone silent."""

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge import observability
    from cactusgauge.fleet import fleet_link

SILENCE_S = 1.0  # more than six lost beats; a connection that went silent for good is replaced
CHECK_S = 0.2


class LinkWatch:
    """Checks all links of a process, with one timer for all of them."""

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

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            self._check(asyncio.get_running_loop().time())

    def _check(self, now: float) -> None:
        silent = {link for link in self._links if now - link.heard_at >= SILENCE_S}
        # A process that was itself paused first reads what has arrived meanwhile, so a link falls at the second check.
        for link in silent & self._suspected:
            self._counters.add("fleet_links_silent", "", "")
            link.abort()
        self._suspected = silent
