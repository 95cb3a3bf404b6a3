"""Main program of the processes that run on the users' platform: `entry` and `agent`."""

import asyncio
import contextlib
import functools
import gc
import logging as standard_logging
import os
import pathlib
import signal
import sys
from typing import TYPE_CHECKING

import aiohttp
import click
from absl import logging

from cactusgauge import accounting, background, event_loop, exceptions, fleet, http_server, ids, observability, runs
from cactusgauge.platform import (
    config_document,
    heartbeat_app,
    http_worker_client,
    job_app,
    network_address,
    node_settings,
    settings_watcher,
    store,
    store_cancellations,
    store_log,
)

if TYPE_CHECKING:
    from collections import abc

EXIT_BAD_SETTINGS = 2
PUBLISH_INTERVAL_S = 10.0  # between writes of an entry's link URL to the store
PUBLISH_RETRY_DELAY_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.05
ACCOUNTING_CLOSE_TIMEOUT_S = 0.3  # maximum wait for the last record to be stored in a planned stop
TRAFFIC_SHIFT_S = 2.5  # the platform needs two readiness checks, a second apart, to route connections elsewhere
# Records of 600 bytes from 14 processes take 24 MB a day, of the 400 MB that the store retains.
ACCOUNTING_INTERVAL_S = 30.0
SHUTDOWN_RESERVE_S = 0.8  # part of the time between SIGTERM and SIGKILL that is reserved for the shutdown itself


class Node:
    """Objects that both roles need: settings, counters, journal, store client and configuration."""

    def __init__(self, path: pathlib.Path, session: aiohttp.ClientSession) -> None:
        self.counters = observability.Counters()
        settings = node_settings.load(path)
        self.journal = observability.Journal(settings.name, self.counters)
        self.settings_watcher = settings_watcher.SettingsWatcher(path, self.journal)
        self.timing = runs.run_timing(settings.resend_after_s, settings.max_lease_s, settings.stop_s)
        self.store = store.Store(session, settings.store_url, self.journal.log_event)
        self.cache = fleet.ConfigCache(config_document.decode, self.journal.record_state)
        self.stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.settings_watcher.reload)

    @property
    def settings(self) -> node_settings.NodeSettings:
        """The current settings."""
        return self.settings_watcher.current

    @contextlib.asynccontextmanager
    async def run_in_background(self, *coroutines: "abc.Coroutine[None, None, None]") -> "abc.AsyncIterator[None]":
        """Run coroutines and the settings watcher until the context ends, then cancel them."""
        watch = background.keep_running("settings", self.settings_watcher.run, self.journal.log_event)
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(each) for each in (watch, *coroutines)]
            yield
            for task in tasks:
                task.cancel()

    def account_writer(
        self, role: str, incarnation: str, snapshot: "abc.Callable[[], accounting.Snapshot]"
    ) -> accounting.AccountWriter:
        """Return a writer for the accounting records of this process."""
        log = store_log.StoreLog(self.store, incarnation)
        return accounting.AccountWriter(
            log,
            self.settings.name,
            role,
            incarnation,
            snapshot,
            self.journal,
            ACCOUNTING_INTERVAL_S,
            ACCOUNTING_CLOSE_TIMEOUT_S,
        )

    def create_server(
        self, purpose: str, app: "abc.Callable[..., abc.Awaitable[None]]", keep_alive_s: int
    ) -> http_server.HttpServer:
        """Return a server on a listen address of the settings; raise `SettingsError` if it is not set.

        `purpose` is `front`, `ready` or `control`; idle connections are closed after `keep_alive_s`.
        """
        listen = self.settings.listen_address(purpose)
        if listen is None:
            raise exceptions.SettingsError(f"listen.{purpose}: an address is expected (found nothing)")
        return http_server.HttpServer(app, listen.host, listen.port, keep_alive_s)


async def run_entry(path: pathlib.Path, link_listen: network_address.Address | None) -> None:
    """Run an entry until a stop signal; links are accepted at `link_listen`, by default the advertised address."""
    async with store.new_session() as session:
        node = Node(path, session)
        settings = node.settings
        job_service = fleet.ParallelJobService(node.counters, node.journal)
        entry = fleet.EntryLinkServer(
            settings.name,
            settings.link_url,
            lambda: node.settings.seed_link_urls,
            node.timing,
            node.cache,
            node.counters,
            node.journal,
            fleet.scheduler_builder(settings.distant_data_factor),
            job_service.finish,
            job_service.cancel,
            job_service.record_started_elsewhere,
            lambda: cancellation_follower.is_store_reachable,
        )
        job_service.attach(entry.scheduler)
        cancellations = store_cancellations.StoreCancellations(node.store)
        app = job_app.JobApp(job_service, node.cache, entry, cancellations, node.counters, node.journal)
        readiness = job_app.ReadinessApp(app, node.counters)
        link = link_listen or network_address.Address(f"{settings.host}:{settings.link_port}")
        server = node.create_server("front", app, 60)
        other_servers = [node.create_server("ready", readiness, 60)]
        if settings.listen_address("control") is not None:
            other_servers.append(node.create_server("control", readiness, 60))
        follower = fleet.ConfigFollower(node.store, node.cache, node.journal.record_state)
        cancellation_follower = fleet.CancellationFollower(
            cancellations,
            lambda job: job_service.cancel(job, fleet.CANCELED_ELSEWHERE),
            node.journal.record_state,
        )
        node.journal.record_state("entry_started", incarnation=entry.incarnation, link_url=settings.link_url)
        async with (
            node.account_writer("entry", entry.incarnation, entry.take_accounts),
            node.run_in_background(
                entry.run(link.host, link.port),
                background.keep_running("configuration", follower.run, node.journal.log_event),
                background.keep_running("cancellations", cancellation_follower.run, node.journal.log_event),
                background.keep_running("publish", functools.partial(_publish_forever, node), node.journal.log_event),
                *(each.run_until_stopped() for each in other_servers),
            ),
        ):
            serving = asyncio.create_task(server.run_until_stopped())
            await _wait_for_stop(node, serving)
            await _drain_entry(node, app, job_service, entry)
            server.stop()
            await serving
        node.journal.record_state("entry_stopped", open_jobs=job_service.open_count)
        node.journal.flush()


async def run_agent(path: pathlib.Path) -> None:
    """Run an agent until a stop signal."""
    async with (
        store.new_session() as session,
        http_worker_client.new_session() as worker_session,
    ):
        node = Node(path, session)
        settings = node.settings
        agent = fleet.AgentLinkClient(
            ids.AgentName(settings.name),
            settings.data_centre,
            lambda: node.settings.seed_link_urls,
            node.timing,
            node.cache,
            node.store,
            node.counters,
            node.journal,
        )

        def connect(heartbeat: runs.WorkerHeartbeat) -> runs.WorkerClient:
            return http_worker_client.HttpWorkerClient(worker_session, f"http://{heartbeat.address}", heartbeat.worker)

        controller = runs.RunController(node.timing, settings.heartbeat_s, connect, agent.is_service_known, agent)
        async with agent, controller:
            app = heartbeat_app.HeartbeatApp(controller, node.counters, node.journal)
            server = node.create_server("control", app, 60)
            node.journal.record_state("agent_started")
            async with (
                node.account_writer("agent", agent.incarnation, agent.take_accounts),
                node.run_in_background(agent.run(controller), server.run_until_stopped()),
            ):
                await node.stop_requested.wait()
                await _drain_agent(node, controller, agent)
        node.journal.record_state("agent_stopped")
        node.journal.flush()


async def _wait_for_stop(node: Node, serving: "asyncio.Task[None]") -> None:
    stop_requested = asyncio.create_task(node.stop_requested.wait())
    await asyncio.wait({stop_requested, serving}, return_when=asyncio.FIRST_COMPLETED)
    if serving.done():
        serving.result()
        raise exceptions.SettingsError("the HTTP server stopped unexpectedly")


async def _drain_entry(
    node: Node, app: job_app.JobApp, job_service: fleet.ParallelJobService, entry: fleet.EntryLinkServer
) -> None:
    """Let the platform route new connections elsewhere, serve requests meanwhile, then wait for the open jobs."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    ends_by = started_at + node.settings.stop_grace_s - SHUTDOWN_RESERVE_S
    app.is_draining = True
    job_service.drain(ends_by)
    node.journal.record_state("entry_draining", open_jobs=job_service.open_count)
    await asyncio.sleep(TRAFFIC_SHIFT_S)
    while job_service.open_count and loop.time() < ends_by:
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
    entry.scheduler.cancel_all(fleet.ENTRY_STOPPING)


async def _drain_agent(node: Node, controller: runs.RunController, agent: fleet.AgentLinkClient) -> None:
    """Accept no new runs and wait for the current ones; those that take too long are stopped and run elsewhere."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    controller.drain()
    # The runs that are left are stopped one reserve earlier than the agent must end, to leave time for the stops.
    while controller.registry.runs and loop.time() - started_at < node.settings.stop_grace_s - 2 * SHUTDOWN_RESERVE_S:
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
    controller.stop([run.key for run in controller.registry.runs], "agent_stopping")
    while controller.registry.runs and loop.time() - started_at < node.settings.stop_grace_s - SHUTDOWN_RESERVE_S:
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
    await agent.flush()


async def _publish_forever(node: Node) -> None:
    """Write the entry's link URL to the store periodically, so that agents find it."""
    while True:
        try:
            await node.store.publish(node.settings.link_url)
        except fleet.StoreUnavailableError as error:
            node.counters.add("directory_writes_failed", "", error.code)
            await asyncio.sleep(PUBLISH_RETRY_DELAY_S)
            continue
        await asyncio.sleep(PUBLISH_INTERVAL_S)


@click.command()
@click.argument("role", type=click.Choice(["entry", "agent"]))
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.option(
    "--link-listen",
    type=network_address.Address,
    metavar="HOST:PORT",
    help="Address to listen on for agents, if they connect through a proxy at the advertised address.",
)
def main(role: str, check: bool, link_listen: network_address.Address | None) -> None:
    """Run a cactusgauge process on the platform; CACTUSGAUGE_NODE_FILE is the path of its settings file."""
    logging.set_verbosity(logging.WARNING)
    for library in ("uvicorn", "websockets", "asyncio"):
        standard_logging.getLogger(library).setLevel(standard_logging.ERROR)
    path = pathlib.Path(os.environ.get(node_settings.SETTINGS_VARIABLE, "/etc/cactusgauge/settings.json"))
    try:
        if check:
            click.echo(f"{path}: ok, node {node_settings.load(path).name}")
            return
        gc.freeze()  # imported modules are never freed, so the garbage collector can skip them
        gc.enable()
        with asyncio.Runner(loop_factory=event_loop.BootTimeEventLoop) as runner:
            runner.run(run_entry(path, link_listen) if role == "entry" else run_agent(path))
    except exceptions.SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_BAD_SETTINGS)
