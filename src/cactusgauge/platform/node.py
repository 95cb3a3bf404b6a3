"""The processes that run on the users' platform: `entry` and `agent`."""

import asyncio
import contextlib
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

from cactusgauge import accounting, event_loop, exceptions, fleet, http_server, ids, observability, runs
from cactusgauge.platform import (
    config_document,
    control_port,
    front_port,
    http_worker_client,
    node_settings,
    settings_watch,
    store,
    store_log,
)

if TYPE_CHECKING:
    from collections import abc

EXIT_BAD_SETTINGS = 2
PUBLISH_S = 10.0
PUBLISH_RETRY_S = 1.0
DRAIN_CHECK_S = 0.05
ACCOUNTING_CLOSE_S = 0.3  # a planned stop does not wait longer for the last record
ROTATION_S = 2.5  # the platform takes two checks, a second apart, to send connections elsewhere
ACCOUNTING_INTERVAL_S = 30.0  # records of 600 bytes from 14 processes take 24 MB a day, of 400 MB that the store keeps
STOP_RESERVE_S = 0.8  # of the time between SIGTERM and SIGKILL, for closing down


class Node:
    """What both roles have: settings, counters, log lines, the store and the configuration."""

    def __init__(self, path: pathlib.Path, session: aiohttp.ClientSession) -> None:
        self.counters = observability.Counters()
        own = node_settings.load(path)
        self.journal = observability.Journal(own.name, self.counters)
        self.watch = settings_watch.SettingsWatch(path, self.journal)
        self.timing = runs.run_timing(own.resend_after_s, own.max_lease_s, own.stop_s)
        self.store = store.Store(session, own.store_url)
        self.cache = fleet.ConfigCache(config_document.decode, self.journal.record_state)
        self.stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.watch.reload)

    @property
    def own(self) -> node_settings.NodeSettings:
        """The settings in force."""
        return self.watch.current

    @contextlib.asynccontextmanager
    async def background(self, *work: "abc.Coroutine[None, None, None]") -> "abc.AsyncIterator[None]":
        """Run what goes on until the process ends."""
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(each) for each in (self.watch.run(), *work)]
            yield
            for task in tasks:
                task.cancel()

    def accounts(
        self, role: str, incarnation: str, snapshot: "abc.Callable[[], accounting.Snapshot]"
    ) -> accounting.AccountWriter:
        """Return the writer of this process's accounting records."""
        log = store_log.StoreLog(self.store, incarnation)
        return accounting.AccountWriter(
            log, self.own.name, role, incarnation, snapshot, self.journal, ACCOUNTING_INTERVAL_S, ACCOUNTING_CLOSE_S
        )

    def listen(
        self, purpose: str, app: "abc.Callable[..., abc.Awaitable[None]]", keep_alive_s: int
    ) -> http_server.HttpServer:
        """Return a server at an address of the settings; raise `SettingsError` if they lack it."""
        address = self.own.address(purpose)
        if address is None:
            raise exceptions.SettingsError(f"listen.{purpose}: an address is expected (found nothing)")
        return http_server.HttpServer(app, address.host, address.port, keep_alive_s)


async def run_entry(path: pathlib.Path, link_listen: node_settings.Address | None) -> None:
    """Run an entry until it is told to stop; `link_listen` replaces the address that agents are told."""
    async with aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar()) as session:
        node = Node(path, session)
        own = node.own
        desk = fleet.JobService(node.counters, node.journal)
        entry = fleet.EntryLinkServer(
            own.name,
            own.link_url,
            lambda: node.own.seed_link_urls,
            node.timing,
            node.cache,
            node.counters,
            node.journal,
            fleet.scheduler_builder(own.distant_data_factor),
            desk.finish,
        )
        desk.attach(entry.scheduler)
        front = front_port.FrontPort(desk, node.cache, entry, node.counters, node.journal)
        ready = front_port.ReadyPort(front, node.counters)
        link = link_listen or node_settings.Address(f"{own.host}:{own.link_port}")
        server = node.listen("front", front, 60)
        side_servers = [node.listen("ready", ready, 60)]
        if own.address("control") is not None:
            side_servers.append(node.listen("control", ready, 60))
        follower = fleet.ConfigFollower(node.store, node.cache, node.journal.record_state)
        node.journal.record_state("entry_started", incarnation=entry.incarnation, link_url=own.link_url)
        async with (
            node.accounts("entry", entry.incarnation, entry.take_accounts),
            node.background(
                entry.run(link.host, link.port),
                follower.run(),
                _publish_forever(node),
                *(each.run_until_stopped() for each in side_servers),
            ),
        ):
            serving = asyncio.create_task(server.run_until_stopped())
            await _until_stopped(node, serving)
            await _drain_entry(node, front, desk, entry)
            server.stop()
            await serving
        node.journal.record_state("entry_stopped", open_jobs=desk.open_count)
        node.journal.flush()


async def run_agent(path: pathlib.Path) -> None:
    """Run an agent until it is told to stop."""
    async with (
        aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar()) as session,
        http_worker_client.new_session() as worker_session,
    ):
        node = Node(path, session)
        own = node.own
        agent = fleet.AgentLinkClient(
            ids.AgentName(own.name),
            own.data_centre,
            lambda: node.own.seed_link_urls,
            node.timing,
            node.cache,
            node.store,
            node.counters,
            node.journal,
        )

        def connect(announced: runs.WorkerHeartbeat) -> runs.WorkerClient:
            return http_worker_client.HttpWorkerClient(worker_session, f"http://{announced.address}", announced.worker)

        controller = runs.RunController(node.timing, own.heartbeat_s, connect, agent)
        async with agent, controller:
            control = control_port.ControlPort(controller, node.counters, node.journal)
            server = node.listen("control", control, 60)
            node.journal.record_state("agent_started")
            async with (
                node.accounts("agent", agent.incarnation, agent.take_accounts),
                node.background(agent.run(controller), server.run_until_stopped()),
            ):
                await node.stopping.wait()
                await _drain_agent(node, controller, agent)
        node.journal.record_state("agent_stopped")
        node.journal.flush()


async def _until_stopped(node: Node, serving: "asyncio.Task[None]") -> None:
    stopping = asyncio.create_task(node.stopping.wait())
    await asyncio.wait({stopping, serving}, return_when=asyncio.FIRST_COMPLETED)
    if serving.done():
        serving.result()
        raise exceptions.SettingsError("the HTTP server ended by itself")


async def _drain_entry(
    node: Node, front: front_port.FrontPort, desk: fleet.JobService, entry: fleet.EntryLinkServer
) -> None:
    """Send new connections elsewhere, answer what comes meanwhile, then wait for the open jobs."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    ends_by = started_at + node.own.stop_grace_s - STOP_RESERVE_S
    front.is_draining = True
    desk.drain(ends_by)
    node.journal.record_state("entry_draining", open_jobs=desk.open_count)
    await asyncio.sleep(ROTATION_S)
    while desk.open_count and loop.time() < ends_by:
        await asyncio.sleep(DRAIN_CHECK_S)
    entry.scheduler.cancel_all(fleet.ENTRY_STOPPING)


async def _drain_agent(node: Node, controller: runs.RunController, agent: fleet.AgentLinkClient) -> None:
    """Take no new runs and let those at work end; what does not end in time is started again elsewhere."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    controller.drain()
    while controller.registry.runs and loop.time() - started_at < node.own.stop_grace_s - 2 * STOP_RESERVE_S:
        await asyncio.sleep(DRAIN_CHECK_S)
    controller.stop([run.key for run in controller.registry.runs], "agent_stopping")
    while controller.registry.runs and loop.time() - started_at < node.own.stop_grace_s - STOP_RESERVE_S:
        await asyncio.sleep(DRAIN_CHECK_S)
    await agent.flush()


async def _publish_forever(node: Node) -> None:
    while True:
        try:
            await node.store.publish(node.own.link_url)
        except fleet.StoreUnavailableError as error:
            node.counters.add("directory_writes_failed", "", error.code)
            await asyncio.sleep(PUBLISH_RETRY_S)
            continue
        await asyncio.sleep(PUBLISH_S)


@click.command()
@click.argument("role", type=click.Choice(["entry", "agent"]))
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.option(
    "--link-listen",
    type=node_settings.Address,
    metavar="HOST:PORT",
    help="Listen here for agents, where their connections come through a proxy at the advertised address.",
)
def main(role: str, check: bool, link_listen: node_settings.Address | None) -> None:
    """Run a process of cactusgauge on the platform, with the settings file that the environment names."""
    logging.set_verbosity(logging.WARNING)
    for library in ("uvicorn", "websockets", "asyncio"):
        standard_logging.getLogger(library).setLevel(standard_logging.ERROR)
    path = pathlib.Path(os.environ.get(node_settings.SETTINGS_VARIABLE, "/etc/cactusgauge/settings.json"))
    try:
        if check:
            click.echo(f"{path}: ok, node {node_settings.load(path).name}")
            return
        gc.freeze()  # modules are never garbage, so collections need not look at them
        gc.enable()
        with asyncio.Runner(loop_factory=event_loop.BootTimeEventLoop) as runner:
            runner.run(run_entry(path, link_listen) if role == "entry" else run_agent(path))
    except exceptions.SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_BAD_SETTINGS)
