"""The entry process."""

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
import falcon.asgi

from cactusgauge import accounting, configuration, http_server, ids, observability, operations_resource, wire
from cactusgauge.entry import (
    agent_links,
    configuration_resource,
    forwarder,
    hand_over_store,
    job_recovery,
    job_service,
    jobs_resource,
    link_server,
    membership,
    peer_configuration,
    peer_links,
    request_router,
)

if TYPE_CHECKING:
    from cactusgauge import log_service, settings

SWEEP_S = 0.25
MAX_BODY_BYTES = 16 * 1024 * 1024  # before the workspace's own limit is known
DRAIN_CHECK_S = 0.05


class EntryDaemon(operations_resource.DaemonState):
    """Wires the parts of an entry together and runs them until it is stopped."""

    def __init__(
        self, own: "settings.EntrySettings", config_source: configuration.ConfigSource, log: "log_service.LogService"
    ) -> None:
        self._settings = own
        self._config_source = config_source
        self._counters = observability.Counters()
        self._events = observability.EventRing(own.name)
        self._stop = asyncio.Event()
        self._stopping = False
        self._members = membership.Membership(
            wire.EntryInfo(
                ids.EntryName(own.name),
                ids.new_entry_incarnation(),
                own.link_url,
                own.http_url,
                own.data_centre,
                own.workspaces,
                own.size,
                config_source.current is not None,
            )
        )
        codec = wire.FrameCodec()
        self._service = job_service.JobService(
            self._members.own.incarnation, config_source, self._counters, self._events
        )
        self._hand_overs = hand_over_store.HandOverStore()
        self._agents = agent_links.AgentLinks(self._members, self._service, self._events)
        self._peers = peer_links.PeerLinks(
            self._members,
            self._hand_overs,
            config_source,
            codec,
            self._counters,
            self._events,
            own.seeds,
            self._agents.broadcast_entries,
        )
        self._link_server = link_server.LinkServer(
            own.host, own.link_port, codec, self._counters, self._agents, self._peers
        )
        self._accounts = accounting.AccountWriter(
            log,
            own.name,
            "entry",
            self._members.own.incarnation,
            self._take_accounts,
            self._events,
            own.accounting_interval_s,
        )

    @property
    def incarnation(self) -> str:
        """Random id of this run of the entry."""
        return self._members.own.incarnation

    @property
    def is_ready(self) -> bool:
        """Whether a configuration is in force and the entry is not being stopped."""
        return self._service.is_ready and not self._stopping

    @property
    def counters(self) -> observability.Counters:
        """The entry's counters."""
        return self._counters

    @property
    def events(self) -> observability.EventRing:
        """The entry's events."""
        return self._events

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        self._stop.set()

    async def run(self) -> None:
        """Serve until `stop`, then drain."""
        async with aiohttp.ClientSession() as session:
            router = request_router.RequestRouter(
                self._members,
                self._service,
                self._hand_overs,
                job_recovery.JobRecovery(self._agents, self._events),
                forwarder.Forwarder(session),
            )
            app = falcon.asgi.App()
            operations_resource.OperationsResource(self).add_to(app)
            jobs_resource.JobsResource(router, MAX_BODY_BYTES).add_to(app)
            configuration_resource.ConfigurationResource(self._config_source).add_to(app)
            async with self._accounts:
                await self._run_parts(
                    http_server.HttpServer(app, self._settings.host, self._settings.http_port),
                    peer_configuration.PeerConfiguration(self._members, session),
                )

    def status(self) -> dict[str, Any]:
        """Return the entry's view: itself, its peers, workers and queues."""
        now = asyncio.get_running_loop().time()
        current = self._config_source.current
        return {
            "role": "entry",
            "entry": self._members.own._asdict(),
            "ready": self.is_ready,
            "draining": self._stopping,
            "config_version": current.version if current else None,
            "peers": [
                {
                    **info._asdict(),
                    "alive": self._members.is_alive(info.name),
                    "config_version": self._members.config_version(info.name),
                }
                for info in self._members.known
            ],
            "workspaces": [
                {
                    "name": each.workspace,
                    "preferred_entry": next((info.name for info in self._members.preferred(each.workspace)), None),
                    "queued": each.queued_count,
                    "running": each.running_count,
                    "open_jobs": len(each.open_jobs),
                    "workers": [
                        {
                            "agent": worker.name,
                            "incarnation": worker.incarnation,
                            "http_url": worker.http_url,
                            "linked": worker.link is not None,
                            "data_centre": worker.data_centre,
                            "available": worker.is_available(now),
                            "health": each.health.state(worker.name).value,
                            "credit": worker.credit,
                            "in_flight": len(worker.in_flight),
                            "slowness": round(each.estimator.slowness(worker.name), 3),
                        }
                        for worker in each.workers
                    ],
                }
                for each in self._service.dispatchers
            ],
            "sessions": len(self._service.sessions),
            "counters": self._counters.as_rows(),
        }

    async def _run_parts(self, server: http_server.HttpServer, peers: configuration.PeerStates) -> None:
        async with asyncio.TaskGroup() as group:
            serving = group.create_task(server.run_until_stopped())
            background = [
                group.create_task(self._link_server.run()),
                group.create_task(self._peers.run()),
                group.create_task(self._sweep_forever()),
                group.create_task(
                    self._config_source.follow(peers, self._counters, self._events, self._apply_configuration)
                ),
            ]
            self._events.record_state("entry_started", incarnation=self._members.own.incarnation)
            await self._stop.wait()
            await self._drain()
            server.stop()
            await serving
            for task in background:
                task.cancel()
        self._events.record_state("entry_stopped")

    def _take_accounts(self) -> accounting.Snapshot:
        pairs = [totals for each in self._service.dispatchers for totals in each.pair_totals()]
        return accounting.Snapshot(self._counters.as_rows(), pairs)

    def _apply_configuration(self) -> None:
        self._service.apply_configuration()
        self._agents.broadcast_configuration()
        self._members.set_serving(not self._stopping)
        self._peers.broadcast(self._peers.beat())

    async def _drain(self) -> None:
        self._stopping = True
        self._service.drain()
        self._members.set_serving(False)
        self._peers.broadcast(self._peers.beat())
        self._events.record_state("entry_draining", open_jobs=self._service.open_job_count)
        await asyncio.sleep(self._settings.drain_notice_s)
        while self._service.open_job_count:
            await asyncio.sleep(DRAIN_CHECK_S)
        successor = await self._peers.hand_over(self._service.hand_over_sessions())
        name = successor.name if successor is not None else "none"
        await self._agents.acknowledge_results()
        self._events.record_state("sessions_handed_over", successor=name, sessions=len(self._service.sessions))

    async def _sweep_forever(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self._service.sweep()
