"""The links from an agent to entries."""

import asyncio
from typing import TYPE_CHECKING

from cactusgauge import exceptions, wire

if TYPE_CHECKING:
    from cactusgauge import ids, observability
    from cactusgauge.agent import entry_directory, remote_entry, start_controller

WELCOME_TIMEOUT_S = 3.0
MIN_REDIAL_DELAY_S = 0.1
MAX_REDIAL_DELAY_S = 1.0
DIAL_CHECK_INTERVAL_S = 0.2


class EntryLinks:
    """Maintains one link, served by one task, to each entry that the directory selects."""

    def __init__(
        self,
        name: "ids.AgentName",
        incarnation: "ids.AgentIncarnation",
        workspace: "ids.WorkspaceName",
        data_centre: "ids.DataCentreName",
        slots: int,
        http_url: str,
        directory: "entry_directory.EntryDirectory",
        controller: "start_controller.StartController",
        counters: "observability.Counters",
        events: "observability.EventRing",
    ) -> None:
        self._hello = wire.AgentHello(wire.PROTOCOL_VERSION, name, incarnation, workspace, data_centre, slots, http_url)
        self._directory = directory
        self._controller = controller
        self._counters = counters
        self._events = events
        self._codec = wire.FrameCodec()
        self._dial_tasks = wire.DialTasks(self._dial, MIN_REDIAL_DELAY_S, MAX_REDIAL_DELAY_S, events.record_state)
        self._linked_urls: set[str] = set()

    @property
    def linked_urls(self) -> set[str]:
        """URLs of the entries with an established link."""
        return set(self._linked_urls)

    async def run(self) -> None:
        """Keep links to the selected entries until cancelled."""
        async with self._dial_tasks:
            while True:
                self._update_dial_tasks()
                await asyncio.sleep(DIAL_CHECK_INTERVAL_S)

    def _update_dial_tasks(self) -> None:
        wanted = self._directory.wanted_urls()
        for url in wanted - self._dial_tasks.urls:
            self._dial_tasks.start(url)
        # A linked entry may own sessions, so an established link is kept even if its entry is no longer selected.
        for url in self._dial_tasks.urls - wanted - self._linked_urls:
            self._dial_tasks.stop(url)

    async def _dial(self, url: str) -> None:
        connection = await wire.dial(url)
        link = wire.Link(connection, self._codec, self._counters, lambda: self._heartbeat(link))
        async with link:
            await self.serve(url, link)

    async def serve(self, url: str, link: wire.Link) -> None:
        """Perform the handshake with the entry at `url` and process its messages until the link closes."""
        link.workspace = self._hello.workspace
        welcome = await self._handshake(link)
        entry = self._controller.get_entry(welcome.incarnation)
        if entry.link is not None:
            raise exceptions.ProtocolError(f"entry {welcome.name} already has a link to this agent")
        await self._receive_messages(url, link, entry, welcome)

    def _heartbeat(self, link: wire.Link) -> wire.Message | None:
        """Return the heartbeat for a link, or None before the link is attached to an entry."""
        acks = (entry.last_assign_number for entry in self._controller.entries if entry.link is link)
        ack = next(acks, None)
        return wire.Heartbeat(ack, 0) if ack is not None else None

    async def _handshake(self, link: wire.Link) -> wire.Welcome:
        link.post(self._hello)
        async with asyncio.timeout(WELCOME_TIMEOUT_S):
            welcome = await link.receive()
        if not isinstance(welcome, wire.Welcome) or welcome.protocol != wire.PROTOCOL_VERSION:
            raise exceptions.ProtocolError(f"expected Welcome with protocol version {wire.PROTOCOL_VERSION}")
        return welcome

    async def _receive_messages(
        self, url: str, link: wire.Link, entry: "remote_entry.RemoteEntry", welcome: wire.Welcome
    ) -> None:
        self._controller.attach(entry, link, welcome.last_result_number)
        self._directory.update(url, welcome.entries)
        self._linked_urls.add(url)
        self._events.record_state("entry_linked", entry=welcome.name, incarnation=welcome.incarnation)
        try:
            while True:
                self._handle_message(url, link, entry, await link.receive())
        finally:
            # No message of this link may be processed once another link can be attached to the entry.
            self._controller.detach(entry)
            self._linked_urls.discard(url)
            self._directory.remove(url)
            self._events.record_state("entry_unlinked", entry=welcome.name)

    def _handle_message(
        self, url: str, link: wire.Link, entry: "remote_entry.RemoteEntry", message: wire.Message
    ) -> None:
        match message:
            case wire.Assign():
                self._controller.handle_assign(entry, message)
            case wire.Heartbeat():
                entry.acknowledge(message.ack)
                self._controller.set_demand(entry, message.demand)
            case wire.Entries():
                self._directory.update(url, message.entries)
            case wire.AgentConfig():
                self._controller.configure(message)
            case wire.Seal():
                link.post(self._controller.seal(message))
            case _:
                raise exceptions.ProtocolError(f"unexpected message {type(message).__name__} from an entry")
