"""Link URLs of entries that were recently reported as alive."""

import asyncio
from typing import TYPE_CHECKING

from cactusgauge.fleet import messages

if TYPE_CHECKING:
    from collections import abc

FORGET_AFTER_S = 5.0  # an entry that nobody has reported for this long is dropped from the list


class KnownEntries:
    """Keeps each link URL for some seconds after its last confirmation."""

    def __init__(self, forget_s: float = FORGET_AFTER_S) -> None:
        self._forget_s = forget_s
        self._confirmed_at: dict[str, float] = {}

    def confirm(self, link_urls: "abc.Iterable[str]") -> bool:
        """Record that these entries were just reported as alive; return whether one of them is new.

        URLs that can't be dialled are left out, as they would take the places of entries among an agent's links.
        """
        now = asyncio.get_running_loop().time()
        added = False
        for url in filter(messages.is_link_url, link_urls):
            added = added or url not in self._confirmed_at
            self._confirmed_at[url] = now
        return added

    def current(self) -> list[str]:
        """Return the link URLs that were confirmed within the last `forget_s` seconds, sorted."""
        oldest = asyncio.get_running_loop().time() - self._forget_s
        self._confirmed_at = {
            url: confirmed_at for url, confirmed_at in self._confirmed_at.items() if confirmed_at >= oldest
        }
        return sorted(self._confirmed_at)
