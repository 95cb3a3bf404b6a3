"""An entry's view of the other entries."""

import asyncio

from cactusgauge import ids, rendezvous, wire


class Membership:
    """Entries heard of, each with the time of its last heartbeat; nothing here decides about correctness."""

    def __init__(self, own: wire.EntryInfo) -> None:
        self._own = own
        self._peers: dict[ids.EntryName, wire.EntryInfo] = {}
        self._heard_at: dict[ids.EntryName, float] = {}
        self._config_versions: dict[ids.EntryName, int] = {}

    @property
    def own(self) -> wire.EntryInfo:
        """This entry."""
        return self._own

    @property
    def known(self) -> list[wire.EntryInfo]:
        """All other entries heard of."""
        return list(self._peers.values())

    @property
    def alive_peers(self) -> list[wire.EntryInfo]:
        """The other entries heard within SILENCE_TIMEOUT_S."""
        return [info for info in self._peers.values() if self._is_fresh(info.name)]

    @property
    def alive(self) -> list[wire.EntryInfo]:
        """This entry and the others that are alive."""
        return [self._own, *self.alive_peers]

    def is_alive(self, name: ids.EntryName) -> bool:
        """Whether another entry was heard within SILENCE_TIMEOUT_S."""
        return self._is_fresh(name)

    def set_serving(self, serving: bool) -> None:
        """Change whether this entry takes new sessions."""
        self._own = self._own._replace(serving=serving)

    def hear(self, info: wire.EntryInfo, config_version: int) -> bool:
        """Take in a heartbeat; return whether what is known of the entry changed."""
        if info.name == self._own.name:
            return False
        changed = self._peers.get(info.name) != info or not self._is_fresh(info.name)
        self._peers[info.name] = info
        self._heard_at[info.name] = asyncio.get_running_loop().time()
        self._config_versions[info.name] = config_version
        return changed

    def mark_unreachable(self, name: ids.EntryName) -> None:
        """Note that no link to an entry is left; it is not alive until it is heard again."""
        self._heard_at.pop(name, None)

    def learn(self, info: wire.EntryInfo) -> None:
        """Note an entry that another one mentioned; it counts as alive only once it is heard."""
        if info.name != self._own.name and info.name not in self._peers:
            self._peers[info.name] = info

    def config_version(self, name: ids.EntryName) -> int:
        """Return the configuration version that an entry last reported, or -1."""
        return self._config_versions.get(name, -1)

    def find_alive(self, incarnation: ids.EntryIncarnation) -> wire.EntryInfo | None:
        """Return the entry of an incarnation if it is alive."""
        return next((info for info in self.alive_peers if info.incarnation == incarnation), None)

    def preferred(self, workspace: ids.WorkspaceName) -> list[wire.EntryInfo]:
        """Return the alive entries that take new sessions of a workspace, the preferred one first."""
        return rendezvous.rank(workspace, [info for info in self.alive if info.serving])

    def _is_fresh(self, name: ids.EntryName) -> bool:
        heard_at = self._heard_at.get(name)
        return heard_at is not None and asyncio.get_running_loop().time() - heard_at <= wire.SILENCE_TIMEOUT_S
