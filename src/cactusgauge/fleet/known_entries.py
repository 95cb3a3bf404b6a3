"""Link URLs of entries that are alive, as far as a process has heard lately."""

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import abc

FORGET_AFTER_S = 5.0  # an entry that nobody is linked to for so long is no longer passed on


class KnownEntries:
    """Keeps each link URL until nobody has confirmed it for some seconds."""

    def __init__(self, forget_s: float = FORGET_AFTER_S) -> None:
        self._forget_s = forget_s
        self._confirmed_at: dict[str, float] = {}

    def confirm(self, link_urls: "abc.Iterable[str]") -> bool:
        """Note that somebody is linked to these entries; return whether one is new."""
        now = asyncio.get_running_loop().time()
        added = False
        for url in link_urls:
            added = added or url not in self._confirmed_at
            self._confirmed_at[url] = now
        return added

    def current(self) -> list[str]:
        """Return the entries heard of lately."""
        oldest = asyncio.get_running_loop().time() - self._forget_s
        self._confirmed_at = {url: heard for url, heard in self._confirmed_at.items() if heard >= oldest}
        return sorted(self._confirmed_at)
