"""WebSocket server of an entry for links from agents and other entries."""

import asyncio
import contextlib
from typing import TYPE_CHECKING

from websockets.asyncio import server

from cactusgauge import exceptions, wire

if TYPE_CHECKING:
    from cactusgauge import observability
    from cactusgauge.entry import agent_links, peer_links

HELLO_TIMEOUT_S = 3.0


class LinkServer:
    """Accepts links; the first message says whether an agent or an entry opened it."""

    def __init__(
        self,
        host: str,
        port: int,
        codec: wire.FrameCodec,
        counters: "observability.Counters",
        agents: "agent_links.AgentLinks",
        peers: "peer_links.PeerLinks",
    ) -> None:
        self._host = host
        self._port = port
        self._codec = codec
        self._counters = counters
        self._agents = agents
        self._peers = peers

    async def run(self) -> None:
        """Serve until cancelled; raise `SettingsError` if the port cannot be bound."""
        try:
            listener = await server.serve(
                self._serve,
                self._host,
                self._port,
                compression=None,
                ping_interval=None,
                max_size=wire.MAX_FRAME_BYTES,
                close_timeout=1,
            )
        except OSError as error:
            raise exceptions.SettingsError(
                f"cannot listen on {self._host}:{self._port}; is the port in use?"
            ) from error
        async with listener:
            await listener.serve_forever()

    async def _serve(self, connection: server.ServerConnection) -> None:
        hello: wire.Message | None = None

        def heartbeat() -> wire.Message | None:
            if isinstance(hello, wire.AgentHello):
                return self._agents.heartbeat(hello)
            return self._peers.heartbeat() if hello is not None else None

        with contextlib.suppress(exceptions.CactusgaugeError):
            async with wire.Link(connection, self._codec, self._counters, heartbeat) as link:
                hello = await self._receive_hello(link)
                if isinstance(hello, wire.AgentHello):
                    await self._agents.serve(link, hello)
                elif isinstance(hello, wire.PeerHello):
                    await self._peers.serve(link, hello)
                else:
                    raise exceptions.ProtocolError(
                        f"expected AgentHello or PeerHello as the first message, got {type(hello).__name__}"
                    )

    @staticmethod
    async def _receive_hello(link: wire.Link) -> wire.Message:
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                hello = await link.receive()
        except TimeoutError as error:
            raise exceptions.ProtocolError(f"no hello message within {HELLO_TIMEOUT_S} s") from error
        protocol = getattr(hello, "protocol", wire.PROTOCOL_VERSION)
        if protocol != wire.PROTOCOL_VERSION:
            raise exceptions.ProtocolError(f"protocol {protocol}; this entry speaks {wire.PROTOCOL_VERSION}")
        return hello
