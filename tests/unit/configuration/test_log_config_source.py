"""Tests of following the log through outages, trimming and restarts."""

import asyncio
import contextlib
from collections import abc
from typing import Any

import pytest

from cactusgauge import configuration, exceptions, log_service, observability
from emulator import memory_log
from tests.unit.configuration import builders, naive

pytestmark = pytest.mark.looptime

MAX_EFFECT_DELAY_S = 3.0  # guarantee G8: an accepted configuration takes effect everywhere within 3 s


class FakePeers(configuration.PeerStates):
    """One peer, or none."""

    def __init__(self, peer: configuration.ConfigSource | None = None) -> None:
        self.peer = peer

    def versions(self) -> dict[str, int]:
        """Return the peer's version."""
        document = self.peer.document() if self.peer else None
        return {"http://peer": document.version if document else -1} if self.peer else {}

    async def fetch(self, url: str) -> configuration.StateDocument | None:
        """Return the peer's state."""
        return self.peer.document() if self.peer else None


@contextlib.asynccontextmanager
async def following(
    source: configuration.ConfigSource, peers: configuration.PeerStates | None = None
) -> abc.AsyncIterator[list[int]]:
    """Run a source; yield the list of versions that it has put in force."""
    in_force: list[int] = []

    def record_version() -> None:
        assert source.current is not None
        in_force.append(source.current.version)

    counters, events = observability.Counters(), observability.EventRing("test")
    task = asyncio.create_task(source.follow(peers or configuration.NoPeers(), counters, events, record_version))
    try:
        yield in_force
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


@pytest.fixture
def log() -> memory_log.MemoryLog:
    """Return a log with a template at offset 0 and `cheese` with 4 slots at offset 1."""
    created = memory_log.MemoryLog()
    created.append_without_faults(configuration.STREAM, builders.encode(builders.template_change()))
    created.append_without_faults(configuration.STREAM, builders.encode(builders.workspace_change(4, -1, 0, "w1")))
    return created


def change_slots(log: memory_log.MemoryLog, slots: int, base: int, change_id: str) -> int:
    """Append a change of `cheese` made against the state at offset `base`."""
    return log.append_without_faults(
        configuration.STREAM, builders.encode(builders.workspace_change(slots, base, base, change_id))
    )


async def test_accepted_change_is_in_force_within_the_bound(log: memory_log.MemoryLog) -> None:
    """Guards against a follower that misses changes, or applies a rejected one."""
    source = configuration.LogConfigSource(log, "a")
    async with following(source) as in_force:
        await asyncio.sleep(1)
        change_slots(log, 2, 1, "w2")
        change_slots(log, 3, 1, "loser")
        await asyncio.sleep(MAX_EFFECT_DELAY_S)
        assert builders.slots(source.current) == 2
        assert in_force == [1, 2]


@pytest.mark.parametrize(
    ("source_type", "keeps_version"),
    [(configuration.LogConfigSource, True), (naive.DefaultingSource, False)],
    ids=["followed", "naive"],
)
async def test_outage_keeps_the_version_and_a_start_in_it_gives_none(
    log: memory_log.MemoryLog, source_type: type[configuration.LogConfigSource], keeps_version: bool
) -> None:
    """Guards against reverting while the log is unavailable, and against using defaults after a restart."""
    source = source_type(log, "a")
    async with following(source):
        await asyncio.sleep(1)
        log.faults.unavailable = True
        started = source_type(log, "b")
        async with following(started):
            await asyncio.sleep(600)
            assert (builders.slots(source.current) == 4) is keeps_version
            assert (started.current is None) is keeps_version
            log.faults.unavailable = False
            await asyncio.sleep(MAX_EFFECT_DELAY_S)
            assert builders.slots(started.current) == 4


async def test_start_in_an_outage_takes_the_state_from_a_peer(log: memory_log.MemoryLog) -> None:
    """Guards against an entry that never becomes ready, or decides later changes differently, after such a start."""
    peer = configuration.LogConfigSource(log, "a")
    async with following(peer):
        await asyncio.sleep(1)
        log.faults.unavailable = True
        source = configuration.LogConfigSource(log, "b")
        async with following(source, FakePeers(peer)) as in_force:
            await asyncio.sleep(MAX_EFFECT_DELAY_S)
            assert in_force == [1]
            log.faults.unavailable = False
            change_slots(log, 2, 1, "w2")
            log.append_without_faults(configuration.STREAM, builders.encode(builders.workspace_change(9, -1, 0, "w1")))
            await asyncio.sleep(MAX_EFFECT_DELAY_S)
            assert in_force == [1, 2]
            assert source.document() == peer.document()


async def test_peer_behind_is_never_followed(log: memory_log.MemoryLog) -> None:
    """Guards against reverting to the older state of a peer that was paused."""
    paused = configuration.LogConfigSource(log, "a")
    async with following(paused):
        await asyncio.sleep(1)
    change_slots(log, 2, 1, "w2")
    source = configuration.LogConfigSource(log, "b")
    async with following(source, FakePeers(paused)) as in_force:
        await asyncio.sleep(1)
        log.faults.unavailable = True
        await asyncio.sleep(60)
        assert in_force == [2]
    state = configuration.ConfigState()
    document = source.document()
    behind = paused.document()
    assert document is not None
    assert behind is not None
    assert state.adopt(document)
    assert not state.adopt(behind)
    assert state.version == 2


class SlowLog(log_service.LogService):
    """A log as seen over a slow connection: each request takes `delay_s`."""

    def __init__(self, log: memory_log.MemoryLog) -> None:
        self._log = log
        self.delay_s = 0.0

    async def append(self, stream: str, data: bytes) -> int:
        """Append after the delay."""
        await asyncio.sleep(self.delay_s)
        return await self._log.append(stream, data)

    async def read(self, stream: str, offset: int, limit: int) -> log_service.LogPage:
        """Read after the delay."""
        await asyncio.sleep(self.delay_s)
        return await self._log.read(stream, offset, limit)


@pytest.mark.parametrize(
    ("has_peer", "wait_s"), [(True, MAX_EFFECT_DELAY_S), (False, 20.0)], ids=["with a peer", "alone"]
)
async def test_change_is_followed_over_a_slow_log(log: memory_log.MemoryLog, has_peer: bool, wait_s: float) -> None:
    """Guards against waiting for a slow log although a peer is ahead, and against giving up on a slow log."""
    peer = configuration.LogConfigSource(log, "a")
    slow_log = SlowLog(log)
    source = configuration.LogConfigSource(slow_log, "b")
    async with following(peer), following(source, FakePeers(peer if has_peer else None)) as in_force:
        await asyncio.sleep(1)
        slow_log.delay_s = 8.0
        await asyncio.sleep(1)
        change_slots(log, 2, 1, "w2")
        await asyncio.sleep(wait_s)
        assert in_force == [1, 2]


async def test_trimmed_log_without_a_snapshot_needs_a_peer(log: memory_log.MemoryLog) -> None:
    """Guards against a start from the retained records alone, which miss the trimmed changes."""
    peer = configuration.LogConfigSource(log, "a")
    async with following(peer):
        await asyncio.sleep(1)
        change_slots(log, 2, 1, "w2")
        await asyncio.sleep(1)
        log.trim(configuration.STREAM, 2)
        source = configuration.LogConfigSource(log, "b")
        peers = FakePeers()
        async with following(source, peers):
            await asyncio.sleep(60)
            assert source.current is None
            peers.peer = peer
            await asyncio.sleep(MAX_EFFECT_DELAY_S)
            assert builders.slots(source.current) == 2


async def read_after_trim(log: memory_log.MemoryLog, rule: configuration.SnapshotRule) -> int | None:
    """Return the number of slots that a new reader of a log finds, or None if the log has a gap."""
    reader = configuration.ConfigLog(log, rule=rule)
    try:
        await reader.catch_up()
    except exceptions.LogGapError:
        return None
    return builders.slots(reader.state.configuration)


async def test_snapshot_written_while_a_change_is_appended(log: memory_log.MemoryLog) -> None:
    """Guards against losing a change that lies between a snapshot and the offset that the snapshot covers."""
    writer = configuration.ConfigLog(log)
    await writer.catch_up()
    log.faults.delay_s = 1.0
    snapshot = asyncio.create_task(writer.append_snapshot())
    await asyncio.sleep(0.5)
    change_slots(log, 2, 1, "w2")
    assert await snapshot == 3
    log.faults.delay_s = 0
    naive_rule = naive.SnapshotAtOwnOffset()
    log.trim(configuration.STREAM, 2)
    assert await read_after_trim(log, configuration.ThroughOffsetRule()) == 2
    assert await read_after_trim(log, naive_rule) == 4  # the naive rule skips the change at offset 2
    log.trim(configuration.STREAM, 3)
    assert await read_after_trim(log, configuration.ThroughOffsetRule()) is None
    assert await read_after_trim(log, naive_rule) == 4


async def test_writers_of_snapshots_are_bounded_and_harmless(log: memory_log.MemoryLog) -> None:
    """Guards against entries that flood the log with snapshots, and a log whose last snapshot has been trimmed."""
    sources = [configuration.LogConfigSource(log, str(number)) for number in range(5)]
    async with contextlib.AsyncExitStack() as stack:
        for source in sources:
            await stack.enter_async_context(following(source))
        await asyncio.sleep(3600)
        end = (await log.read(configuration.STREAM, 0, 1)).end_offset
        # At most ten minutes, the jitter and one poll pass between two snapshots; all writers may write at once.
        assert 3600 // (600 + 10 + 1) <= end - 2 <= 6 * len(sources)
        log.trim(configuration.STREAM, 2)
        assert await read_after_trim(log, configuration.ThroughOffsetRule()) == 4
        base = 1
        for number in range(120):
            base = change_slots(log, 5 + number, base, f"w{number + 2}")
        await asyncio.sleep(30)
        log.trim(configuration.STREAM, base)
        assert await read_after_trim(log, configuration.ThroughOffsetRule()) == 124
        documents: list[Any] = [source.document() for source in sources]
        assert all(document == documents[0] for document in documents)
