"""The agent daemon."""

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
import falcon.asgi

from cactusgauge import accounting, http_server, ids, observability, operations_resource
from cactusgauge.agent import (
    backend_server_lease,
    backend_server_resource,
    entry_directory,
    entry_links,
    slot_allocator,
    start_controller,
    start_log,
    task_runner,
)

if TYPE_CHECKING:
    from cactusgauge import log_service, settings

REFRESH_INTERVAL_S = 0.25  # between calls of `StartController.refresh`


class AgentDaemon(operations_resource.Daemon):
    """Creates the components of an agent and runs them until the agent is stopped."""

    def __init__(self, agent_settings: "settings.AgentSettings", log: "log_service.LogService | None") -> None:
        self._settings = agent_settings
        self._incarnation = ids.new_agent_incarnation()
        self._counters = observability.Counters()
        self._events = observability.EventRing(agent_settings.name)
        self._lease = backend_server_lease.BackendServerLease()
        self._allocator = slot_allocator.SlotAllocator(agent_settings.slots)
        self._start_log = start_log.StartLog()
        self._directory = entry_directory.EntryDirectory(
            agent_settings.workspace, agent_settings.seeds, agent_settings.links_per_agent
        )
        self._controller: start_controller.StartController | None = None
        self._entry_links: entry_links.EntryLinks | None = None
        self._stop_requested = asyncio.Event()
        self._account_writer = accounting.AccountWriter(
            log,
            agent_settings.name,
            "agent",
            self._incarnation,
            self._accounting_snapshot,
            self._events,
            agent_settings.accounting_interval_s,
        )

    @property
    def incarnation(self) -> str:
        """Random id of this agent process, new after each restart."""
        return self._incarnation

    @property
    def is_ready(self) -> bool:
        """Whether the agent accepts new tasks."""
        return self._controller is not None and self._controller.serving

    @property
    def counters(self) -> observability.Counters:
        """The agent's counters."""
        return self._counters

    @property
    def events(self) -> observability.EventRing:
        """The agent's events."""
        return self._events

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        self._stop_requested.set()

    def status(self) -> dict[str, Any]:
        """Return the status document: backend server, slots, links, start log and counters."""
        lease = self._lease.valid_lease
        return {
            "role": "agent",
            "agent": self._settings.name,
            "incarnation": self._incarnation,
            "http_url": self._settings.http_url,
            "workspace": self._settings.workspace,
            "data_centre": self._settings.data_centre,
            "ready": self.is_ready,
            "config_version": self._controller.config_version if self._controller else -1,
            "draining": self._stop_requested.is_set(),
            "backend_server": {"name": lease.name, "url": lease.url} if lease else None,
            "slots": self._allocator.slots,
            "running": self._allocator.running,
            "links": sorted(self._entry_links.linked_urls) if self._entry_links else [],
            "start_log": {"jobs": len(self._start_log), "bytes": self._start_log.size_bytes},
            "counters": self._counters.as_rows(),
        }

    async def run(self) -> None:
        """Serve until `stop` is called, then finish the running tasks and shut down."""
        connector = aiohttp.TCPConnector(
            limit=self._settings.connections, keepalive_timeout=task_runner.KEEP_ALIVE_TIMEOUT_S
        )
        async with aiohttp.ClientSession(connector=connector, auto_decompress=False) as session:
            controller = start_controller.StartController(
                self._settings.workspace,
                self._lease,
                self._allocator,
                self._start_log,
                task_runner.TaskRunner(session, self._lease),
                self._counters,
                self._events,
            )
            self._controller = controller
            self._entry_links = entry_links.EntryLinks(
                ids.AgentName(self._settings.name),
                self._incarnation,
                self._settings.workspace,
                self._settings.data_centre,
                self._settings.slots,
                self._settings.http_url,
                self._directory,
                controller,
                self._counters,
                self._events,
            )
            app = falcon.asgi.App()
            operations_resource.OperationsResource(self).add_to(app)
            backend_server_resource.BackendServerResource(self._lease, controller).add_to(app)
            server = http_server.HttpServer(app, self._settings.host, self._settings.http_port)
            async with self._account_writer:
                await self._run_components(server, controller, self._entry_links)

    def _accounting_snapshot(self) -> accounting.Snapshot:
        entries = self._controller.entries if self._controller is not None else []
        pairs = [entry.account.totals(entry.incarnation, "", self._settings.workspace) for entry in entries]
        return accounting.Snapshot(self._counters.as_rows(), pairs)

    async def _run_components(
        self,
        server: http_server.HttpServer,
        controller: start_controller.StartController,
        links: entry_links.EntryLinks,
    ) -> None:
        async with asyncio.TaskGroup() as group:
            serving = group.create_task(server.run_until_stopped())
            background = [
                group.create_task(links.run()),
                group.create_task(self._refresh_forever(controller)),
            ]
            self._events.record_state("agent_started", incarnation=self._incarnation)
            await self._stop_requested.wait()
            self._events.record_state("agent_draining", running=controller.running_count)
            await controller.drain()
            server.stop()
            await serving
            for task in background:
                task.cancel()
        self._events.record_state("agent_stopped")

    @staticmethod
    async def _refresh_forever(controller: start_controller.StartController) -> None:
        while True:
            controller.refresh()
            await asyncio.sleep(REFRESH_INTERVAL_S)
