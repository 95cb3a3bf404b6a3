"""Links between entries."""

import asyncio
from typing import TYPE_CHECKING

from cactusgauge import exceptions, ids, wire

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import configuration, observability
    from cactusgauge.entry import hand_over_store, membership

REDIAL_DELAY_S = 0.5
DIAL_CHECK_INTERVAL_S = 0.5
HAND_OVER_PART_BYTES = 1024 * 1024  # a part is sent once its answers reach this size
HAND_OVER_TIMEOUT_S = 5.0  # for each peer that is tried as the successor


class PeerLinks:
    """Dials the other entries, exchanges heartbeats and hands sessions over.

    Each entry dials every other one that it knows, so two entries share two links; a message may arrive on either.
    `seeds` are the link URLs that are dialled from the start; `on_change` is called after a heartbeat that changes
    what is known of another entry, and after the last link to one ends.
    """

    def __init__(
        self,
        members: "membership.Membership",
        hand_overs: "hand_over_store.HandOverStore",
        config_source: "configuration.ConfigSource",
        codec: wire.FrameCodec,
        counters: "observability.Counters",
        events: "observability.EventRing",
        seeds: list[str],
        on_change: "abc.Callable[[], None]",
    ) -> None:
        self._members = members
        self._hand_overs = hand_overs
        self._config_source = config_source
        self._codec = codec
        self._counters = counters
        self._events = events
        self._seeds = seeds
        self._on_change = on_change
        self._links: dict[ids.EntryName, list[wire.Link]] = {}
        self._dial_tasks = wire.DialTasks(self._dial, REDIAL_DELAY_S, REDIAL_DELAY_S, events.record_state)
        self._hand_over_accepted: dict[ids.EntryIncarnation, asyncio.Event] = {}

    async def run(self) -> None:
        """Keep a dial task for every known address until cancelled."""
        async with self._dial_tasks:
            while True:
                urls = {*self._seeds, *(info.link_url for info in self._members.known)}
                for url in urls - {self._members.own.link_url} - self._dial_tasks.urls:
                    self._dial_tasks.start(url)
                await asyncio.sleep(DIAL_CHECK_INTERVAL_S)

    async def serve(self, link: wire.Link, hello: wire.PeerHello) -> None:
        """Serve a link that another entry opened."""
        link.post(self._build_hello())
        await self._run_link(link, hello)

    def heartbeat(self) -> wire.Message:
        """Return a heartbeat with this entry's current state."""
        return wire.PeerBeat(self._members.own.serving, self._config_version())

    def broadcast(self, message: wire.Message) -> None:
        """Send a message to every linked entry."""
        for links in self._links.values():
            links[-1].post(message)

    async def hand_over(self, sessions: list[wire.HandOverSession]) -> wire.EntryInfo | None:
        """Hand all sessions, own and taken over, to one peer and inform the others; return the peer, or None."""
        own = self._members.own.incarnation
        by_owner = {own: sessions, **self._hand_overs.sessions_by_owner(own)}
        for successor in self._members.alive_peers:
            if successor.name not in self._links or not successor.serving:
                continue
            link = self._links[successor.name][-1]
            accepted = [self._hand_over_accepted.setdefault(owner, asyncio.Event()) for owner in by_owner]
            for owner, owned in by_owner.items():
                for part, last in self._split_into_parts(owned):
                    link.post(wire.HandOver(owner, part, last))
            try:
                async with asyncio.timeout(HAND_OVER_TIMEOUT_S):
                    await asyncio.gather(*(event.wait() for event in accepted))
            except TimeoutError:
                continue
            for owner in by_owner:
                self.broadcast(wire.HandOverDone(owner, successor.incarnation))
            await wire.Link.drain(links[-1] for links in self._links.values())
            return successor
        return None

    async def _dial(self, url: str) -> None:
        connection = await wire.dial(url)
        async with wire.Link(connection, self._codec, self._counters, self.heartbeat) as link:
            link.post(self._build_hello())
            hello = await link.receive()
            if not isinstance(hello, wire.PeerHello):
                raise exceptions.ProtocolError(f"expected PeerHello as the first message, got {type(hello).__name__}")
            await self._run_link(link, hello)

    async def _run_link(self, link: wire.Link, hello: wire.PeerHello) -> None:
        if hello.protocol != wire.PROTOCOL_VERSION:
            raise exceptions.ProtocolError(f"protocol {hello.protocol}; this entry speaks {wire.PROTOCOL_VERSION}")
        if hello.info.name == self._members.own.name:
            raise exceptions.ProtocolError(
                f"both ends of the link have the entry name {hello.info.name!r}; names must be unique"
            )
        name = hello.info.name
        self._links.setdefault(name, []).append(link)
        for info in hello.known:
            self._members.add_known(info)
        self._record_heartbeat(hello.info, hello.config_version)
        self._events.record_state("peer_linked", entry=name, incarnation=hello.info.incarnation)
        try:
            while True:
                self._handle_message(link, hello.info, await link.receive())
        finally:
            self._unregister(name, link)
            self._events.record_state("peer_unlinked", entry=name)

    def _handle_message(self, link: wire.Link, peer: wire.EntryInfo, message: wire.Message) -> None:
        match message:
            case wire.PeerBeat():
                self._record_heartbeat(peer._replace(serving=message.serving), message.config_version)
            case wire.HandOver():
                self._hand_overs.add(message.sessions)
                if message.last:
                    own = self._members.own.incarnation
                    self._hand_overs.set_successor(message.incarnation, own)
                    self._events.record_state("hand_over_received", incarnation=message.incarnation)
                    link.post(wire.HandOverDone(message.incarnation, own))
            case wire.HandOverDone():
                if message.incarnation in self._hand_over_accepted:
                    self._hand_over_accepted[message.incarnation].set()
                self._hand_overs.set_successor(message.incarnation, message.successor)
            case _:
                raise exceptions.ProtocolError(f"unexpected message {type(message).__name__} from an entry")

    def _record_heartbeat(self, info: wire.EntryInfo, config_version: int) -> None:
        if self._members.record_heartbeat(info, config_version):
            self._on_change()

    def _unregister(self, name: ids.EntryName, link: wire.Link) -> None:
        self._links[name].remove(link)
        if not self._links[name]:
            del self._links[name]
            self._members.mark_unreachable(name)
            self._on_change()

    def _build_hello(self) -> wire.PeerHello:
        return wire.PeerHello(
            wire.PROTOCOL_VERSION, self._members.own, self._config_version(), self._members.alive_peers
        )

    def _config_version(self) -> int:
        current = self._config_source.current
        return current.version if current is not None else -1

    @staticmethod
    def _split_into_parts(
        sessions: list[wire.HandOverSession],
    ) -> "abc.Iterator[tuple[list[wire.HandOverSession], bool]]":
        """Yield the sessions of each part and whether it is the last; the last part may be empty."""
        part: list[wire.HandOverSession] = []
        size = 0
        for session in sessions:
            part.append(session)
            size += sum(len(job.answer) for job in session.jobs)
            if size >= HAND_OVER_PART_BYTES:
                yield part, False
                part, size = [], 0
        yield part, True
