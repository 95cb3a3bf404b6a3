"""The daemon of the entry role."""

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

SWEEP_INTERVAL_S = 0.25
MAX_BODY_BYTES = 16 * 1024 * 1024  # limit while reading a body, before the workspace's own limit is checked
DRAIN_POLL_INTERVAL_S = 0.05


class EntryDaemon(operations_resource.Daemon):
    """Creates the components of an entry and runs them until it is stopped."""

    def __init__(
        self,
        entry_settings: "settings.EntrySettings",
        config_source: configuration.ConfigSource,
        log: "log_service.LogService",
    ) -> None:
        self._settings = entry_settings
        self._config_source = config_source
        self._counters = observability.Counters()
        self._events = observability.EventRing(entry_settings.name)
        self._stop_requested = asyncio.Event()
        self._is_stopping = False
        self._members = membership.Membership(
            wire.EntryInfo(
                ids.EntryName(entry_settings.name),
                ids.new_entry_incarnation(),
                entry_settings.link_url,
                entry_settings.http_url,
                entry_settings.data_centre,
                entry_settings.workspaces,
                entry_settings.size,
                config_source.current is not None,
            )
        )
        codec = wire.FrameCodec()
        self._service = job_service.JobService(
            self._members.own.incarnation, config_source, self._counters, self._events
        )
        self._hand_overs = hand_over_store.HandOverStore()
        self._agent_links = agent_links.AgentLinks(self._members, self._service, self._events)
        self._peer_links = peer_links.PeerLinks(
            self._members,
            self._hand_overs,
            config_source,
            codec,
            self._counters,
            self._events,
            entry_settings.seeds,
            self._agent_links.broadcast_entries,
        )
        self._link_server = link_server.LinkServer(
            entry_settings.host, entry_settings.link_port, codec, self._counters, self._agent_links, self._peer_links
        )
        self._account_writer = accounting.AccountWriter(
            log,
            entry_settings.name,
            "entry",
            self._members.own.incarnation,
            self._accounting_snapshot,
            self._events,
            entry_settings.accounting_interval_s,
        )

    @property
    def incarnation(self) -> str:
        """Random id of this run of the entry."""
        return self._members.own.incarnation

    @property
    def is_ready(self) -> bool:
        """Whether a configuration is in force and the entry is not being stopped."""
        return self._service.is_ready and not self._is_stopping

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
        self._stop_requested.set()

    async def run(self) -> None:
        """Serve until `stop` is called, then drain."""
        async with aiohttp.ClientSession() as session:
            router = request_router.RequestRouter(
                self._members,
                self._service,
                self._hand_overs,
                job_recovery.JobRecovery(self._agent_links, self._events),
                forwarder.Forwarder(session),
            )
            app = falcon.asgi.App()
            operations_resource.OperationsResource(self).add_to(app)
            jobs_resource.JobsResource(router, MAX_BODY_BYTES).add_to(app)
            configuration_resource.ConfigurationResource(self._config_source).add_to(app)
            async with self._account_writer:
                await self._run_components(
                    http_server.HttpServer(app, self._settings.host, self._settings.http_port),
                    peer_configuration.PeerConfiguration(self._members, session),
                )

    def status(self) -> dict[str, Any]:
        """Return the entry's view of itself, its peers, workers and queues."""
        now = asyncio.get_running_loop().time()
        current = self._config_source.current
        return {
            "role": "entry",
            "entry": self._members.own._asdict(),
            "ready": self.is_ready,
            "draining": self._is_stopping,
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
                    "name": dispatcher.workspace,
                    "preferred_entry": next(
                        (info.name for info in self._members.preferred(dispatcher.workspace)), None
                    ),
                    "queued": dispatcher.queued_count,
                    "running": dispatcher.running_count,
                    "open_jobs": len(dispatcher.open_jobs),
                    "workers": [
                        {
                            "agent": worker.name,
                            "incarnation": worker.incarnation,
                            "http_url": worker.http_url,
                            "linked": worker.link is not None,
                            "data_centre": worker.data_centre,
                            "available": worker.is_available(now),
                            "health": dispatcher.health.state(worker.name).value,
                            "credit": worker.credit,
                            "in_flight": len(worker.in_flight),
                            "slowness": round(dispatcher.estimator.slowness(worker.name), 3),
                        }
                        for worker in dispatcher.workers
                    ],
                }
                for dispatcher in self._service.dispatchers
            ],
            "sessions": len(self._service.sessions),
            "counters": self._counters.as_rows(),
        }

    async def _run_components(self, server: http_server.HttpServer, peers: configuration.PeerStates) -> None:
        async with asyncio.TaskGroup() as group:
            serving = group.create_task(server.run_until_stopped())
            background = [
                group.create_task(self._link_server.run()),
                group.create_task(self._peer_links.run()),
                group.create_task(self._sweep_forever()),
                group.create_task(
                    self._config_source.follow(peers, self._counters, self._events, self._apply_configuration)
                ),
            ]
            self._events.record_state("entry_started", incarnation=self._members.own.incarnation)
            await self._stop_requested.wait()
            await self._drain()
            server.stop()
            await serving
            for task in background:
                task.cancel()
        self._events.record_state("entry_stopped")

    def _accounting_snapshot(self) -> accounting.Snapshot:
        pairs = [totals for dispatcher in self._service.dispatchers for totals in dispatcher.pair_totals()]
        return accounting.Snapshot(self._counters.as_rows(), pairs)

    def _apply_configuration(self) -> None:
        self._service.apply_configuration()
        self._agent_links.broadcast_configuration()
        self._members.set_serving(not self._is_stopping)
        self._peer_links.broadcast(self._peer_links.heartbeat())

    async def _drain(self) -> None:
        self._is_stopping = True
        self._service.start_draining()
        self._members.set_serving(False)
        self._peer_links.broadcast(self._peer_links.heartbeat())
        self._events.record_state("entry_draining", open_jobs=self._service.open_job_count)
        await asyncio.sleep(self._settings.drain_notice_s)
        while self._service.open_job_count:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        successor = await self._peer_links.hand_over(self._service.hand_over_sessions())
        name = successor.name if successor is not None else "none"
        await self._agent_links.acknowledge_results()
        self._events.record_state("sessions_handed_over", successor=name, sessions=len(self._service.sessions))

    async def _sweep_forever(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._service.sweep()
