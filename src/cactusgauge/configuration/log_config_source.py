"""Configuration source that follows the platform log, with peers as a fallback."""

import asyncio
import random
from typing import TYPE_CHECKING

from cactusgauge import exceptions
from cactusgauge.configuration import config_log, config_source

if TYPE_CHECKING:
    from collections import abc as collections_abc

    from cactusgauge import log_service, observability
    from cactusgauge.configuration import configuration, peer_states, state_document

POLL_INTERVAL_S = 0.5
MIN_CHECKS_BEHIND = 2  # in a single check, a peer may be ahead only because it polled a moment earlier
SNAPSHOT_INTERVAL_RECORDS = 100  # a start from a trimmed log then reads only a few pages
SNAPSHOT_INTERVAL_S = 600.0  # far below the retention time of any platform log
SNAPSHOT_JITTER_S = 10.0  # an entry that sees another one's snapshot during its delay writes none


class LogConfigSource(config_source.ConfigSource):
    """Follows the log, and fetches the state from a peer that is ahead when the log is slow or unavailable.

    The state depends only on the log records through an offset, whether it was built from the log or fetched from a
    peer, and is replaced only by a state that covers a higher offset. There is no configuration before the first state.
    `seed` seeds the random choice of a peer and the random delay of snapshots.
    """

    def __init__(self, log: "log_service.LogService", seed: str) -> None:
        self._log = config_log.ConfigLog(log)
        self._random = random.Random(seed)
        self._current: configuration.Configuration | None = None
        self._log_state = ""  # last recorded one: `followed`, `behind` or an error code
        self._snapshot_due_at: float | None = None
        self._snapshot_seen_at = 0.0  # loop time when the newest snapshot was first seen, else when following began
        self._snapshot_seen_through: int | None = None

    @property
    def current(self) -> "configuration.Configuration | None":
        """The configuration in force, or None before the first one; its version never decreases."""
        return self._current

    def document(self) -> "state_document.StateDocument | None":
        """Return the state to send to peers, or None before the first configuration."""
        return self._log.state.document() if self._current is not None else None

    async def follow(
        self,
        peers: "peer_states.PeerStates",
        counters: "observability.Counters",
        events: "observability.EventRing",
        on_change: "collections_abc.Callable[[], None]",
    ) -> None:
        """Follow the log and the peers until cancelled."""
        self._snapshot_seen_at = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            # Two tasks, so that a slow log does not delay fetching the state from a peer.
            group.create_task(self._follow_log(counters, events, on_change))
            group.create_task(self._follow_peers(peers, counters, events, on_change))

    async def _follow_log(
        self,
        counters: "observability.Counters",
        events: "observability.EventRing",
        on_change: "collections_abc.Callable[[], None]",
    ) -> None:
        while True:
            try:
                end_offset = await self._log.catch_up()
            except exceptions.LogServiceError as error:
                counters.add("config_polls_failed", "", error.code)
                self._record_log_state(events, error.code, str(error))
            else:
                # The log ends before the last accepted change, for example one fetched from a peer.
                is_log_behind = end_offset <= self._log.state.version
                self._record_log_state(events, "behind" if is_log_behind else "followed", f"end offset {end_offset}")
                await self._write_snapshot(counters)
            self._activate("log", events, on_change)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _follow_peers(
        self,
        peers: "peer_states.PeerStates",
        counters: "observability.Counters",
        events: "observability.EventRing",
        on_change: "collections_abc.Callable[[], None]",
    ) -> None:
        checks_behind = 0
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            version = self._log.state.version
            ahead = {url: peer_version for url, peer_version in peers.versions().items() if peer_version > version}
            checks_behind = checks_behind + 1 if ahead else 0
            if not ahead or (checks_behind < MIN_CHECKS_BEHIND and self._current is not None):
                continue
            highest = max(ahead.values())
            url = self._random.choice(sorted(url for url, peer_version in ahead.items() if peer_version == highest))
            document = await peers.fetch(url)
            counters.add("config_peer_fetches", "", "failed" if document is None else "done")
            if document is not None and self._log.state.adopt(document):
                self._activate(url, events, on_change)

    def _activate(
        self, origin: str, events: "observability.EventRing", on_change: "collections_abc.Callable[[], None]"
    ) -> None:
        latest = self._log.state.configuration
        if latest is None or (self._current is not None and latest.version <= self._current.version):
            return
        self._current = latest
        events.record_state("config_in_force", version=latest.version, origin=origin)
        on_change()

    def _record_log_state(self, events: "observability.EventRing", state: str, detail: str) -> None:
        if state != self._log_state:
            self._log_state = state
            events.record_state("config_log", state=state, detail=detail)

    async def _write_snapshot(self, counters: "observability.Counters") -> None:
        now = asyncio.get_running_loop().time()
        if self._log.snapshot_through != self._snapshot_seen_through:
            self._snapshot_seen_through = self._log.snapshot_through
            self._snapshot_seen_at = now
            self._snapshot_due_at = None
        if not self._is_snapshot_needed(now):
            return
        if self._snapshot_due_at is None:
            self._snapshot_due_at = now + self._random.uniform(0, SNAPSHOT_JITTER_S)
        if now < self._snapshot_due_at:
            return
        # Also set after a failure, so that an entry writes at most one snapshot per SNAPSHOT_JITTER_S.
        self._snapshot_due_at = now + SNAPSHOT_JITTER_S
        try:
            await self._log.append_snapshot()
            counters.add("config_snapshots", "", "written")
        except exceptions.LogServiceError:
            counters.add("config_snapshots", "", "failed")

    def _is_snapshot_needed(self, now: float) -> bool:
        if self._current is None:
            return False
        covered = self._snapshot_seen_through if self._snapshot_seen_through is not None else -1
        if self._log.state.through - covered >= SNAPSHOT_INTERVAL_RECORDS:
            return True
        return now - self._snapshot_seen_at >= SNAPSHOT_INTERVAL_S
