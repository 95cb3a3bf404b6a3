"""An entry's view of the other entries."""

import asyncio

from cactusgauge import ids, rendezvous, wire


class Membership:
    """The known entries with the times of their last heartbeats; correctness does not depend on this view."""

    def __init__(self, own: wire.EntryInfo) -> None:
        self._own = own
        self._peers: dict[ids.EntryName, wire.EntryInfo] = {}
        self._last_heartbeat_at: dict[ids.EntryName, float] = {}
        self._config_versions: dict[ids.EntryName, int] = {}

    @property
    def own(self) -> wire.EntryInfo:
        """This entry."""
        return self._own

    @property
    def known(self) -> list[wire.EntryInfo]:
        """All other known entries, alive or not."""
        return list(self._peers.values())

    @property
    def alive_peers(self) -> list[wire.EntryInfo]:
        """The other entries whose last heartbeat is not older than `wire.SILENCE_TIMEOUT_S`."""
        return [info for info in self._peers.values() if self._has_recent_heartbeat(info.name)]

    @property
    def alive(self) -> list[wire.EntryInfo]:
        """This entry and the others that are alive."""
        return [self._own, *self.alive_peers]

    def is_alive(self, name: ids.EntryName) -> bool:
        """Return whether another entry's last heartbeat is not older than `wire.SILENCE_TIMEOUT_S`."""
        return self._has_recent_heartbeat(name)

    def set_serving(self, serving: bool) -> None:
        """Set whether this entry accepts new sessions."""
        self._own = self._own._replace(serving=serving)

    def record_heartbeat(self, info: wire.EntryInfo, config_version: int) -> bool:
        """Record a heartbeat; return whether the entry's details or liveness changed."""
        if info.name == self._own.name:
            return False
        changed = self._peers.get(info.name) != info or not self._has_recent_heartbeat(info.name)
        self._peers[info.name] = info
        self._last_heartbeat_at[info.name] = asyncio.get_running_loop().time()
        self._config_versions[info.name] = config_version
        return changed

    def mark_unreachable(self, name: ids.EntryName) -> None:
        """Record that no link to an entry is left; it is not alive until its next heartbeat."""
        self._last_heartbeat_at.pop(name, None)

    def add_known(self, info: wire.EntryInfo) -> None:
        """Add an entry that another one mentioned; it counts as alive only after its own heartbeat."""
        if info.name != self._own.name and info.name not in self._peers:
            self._peers[info.name] = info

    def config_version(self, name: ids.EntryName) -> int:
        """Return the configuration version that an entry last reported, or -1."""
        return self._config_versions.get(name, -1)

    def find_alive(self, incarnation: ids.EntryIncarnation) -> wire.EntryInfo | None:
        """Return the entry with an incarnation, or None if it is not alive."""
        return next((info for info in self.alive_peers if info.incarnation == incarnation), None)

    def preferred(self, workspace: ids.WorkspaceName) -> list[wire.EntryInfo]:
        """Return the live entries that accept new sessions of a workspace, in order of preference."""
        return rendezvous.rank(workspace, [info for info in self.alive if info.serving])

    def _has_recent_heartbeat(self, name: ids.EntryName) -> bool:
        last_heartbeat_at = self._last_heartbeat_at.get(name)
        return (
            last_heartbeat_at is not None
            and asyncio.get_running_loop().time() - last_heartbeat_at <= wire.SILENCE_TIMEOUT_S
        )
