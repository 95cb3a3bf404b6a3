"""Entries and agents of a fleet in one process, linked over loopback."""

import asyncio
import contextlib
import gc
import json
import socket
from typing import TYPE_CHECKING

from cactusgauge import exceptions, fleet, ids, observability, runs, scheduling
from emulator import leased_worker

if TYPE_CHECKING:
    from collections import abc

HOST = "127.0.0.1"
HEARTBEAT_S = 0.5
TIMING = runs.run_timing(resend_after_s=1.3, max_lease_s=1.0, stop_s=0.05)
QUEUE = scheduling.QueuePolicy(ids.QueueName("q"), ids.ServiceName("s"), 0, 2, 1.6, 0.06)


def free_port() -> int:
    """Return a port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


def decode(body: bytes) -> tuple[int, fleet.RouteTable]:
    """Decode a configuration that holds only a version and services."""
    try:
        content = json.loads(body)
        version, services = int(content["version"]), content["services"]
    except (ValueError, KeyError, TypeError) as error:
        raise exceptions.ConfigError(str(error)) from error
    return version, fleet.RouteTable([], fleet.HttpLimits(), services)


def document(version: int, services: "abc.Iterable[str]" = ("s",)) -> bytes:
    """Return a configuration that holds only a version and services."""
    return json.dumps({"version": version, "services": list(services)}).encode()


class MemoryDirectory(fleet.EntryDirectory):
    """Keeps entries in memory."""

    def __init__(self) -> None:
        self.records: list[fleet.EntryRecord] = []

    async def publish(self, link_url: str) -> None:
        """Publish an entry."""
        self.records.append(fleet.EntryRecord(link_url, len(self.records)))

    async def entries(self) -> list[fleet.EntryRecord]:
        """Return all published entries."""
        return self.records


class MemoryCancellations(fleet.CancellationLog):
    """Keeps cancellations in memory, and drops those before `first` as the store drops old records."""

    def __init__(self) -> None:
        self.jobs: list[ids.QueuedJob] = []
        self.first = 0
        self.is_available = True

    async def record(self, job: ids.QueuedJob) -> None:
        """Store a cancellation."""
        if not self.is_available:
            raise fleet.StoreUnavailableError("store returned status 503 for an append")
        self.jobs.append(job)

    async def read(self, cursor: int, wait_s: float) -> fleet.CancellationBatch:
        """Return the cancellations after a cursor, waiting for one."""
        deadline = asyncio.get_running_loop().time() + wait_s
        while self.is_available and len(self.jobs) <= cursor and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.01)
        if not self.is_available:
            raise fleet.StoreUnavailableError("store returned status 503 for a read")
        start = max(cursor, self.first)
        return fleet.CancellationBatch(self.jobs[start:], max(start, len(self.jobs)))


class Entry:
    """An entry with its job service."""

    def __init__(self, name: str, seeds: list[str]) -> None:
        self.port = free_port()
        self.url = f"ws://{HOST}:{self.port}"
        self.is_store_reachable = True
        self.counters = observability.Counters()
        self.journal = observability.Journal(name, self.counters, descriptor=-1)
        self.cache = fleet.ConfigCache(decode, self.journal.record_state)
        self.job_service = fleet.ParallelJobService(self.counters, self.journal)
        self.link_server = fleet.EntryLinkServer(
            name,
            self.url,
            lambda: seeds,
            TIMING,
            self.cache,
            self.counters,
            self.journal,
            fleet.scheduler_builder(1.5),
            self.job_service.finish,
            self.job_service.cancel,
            self.job_service.record_started_elsewhere,
            lambda: self.is_store_reachable,
        )
        self.job_service.attach(self.link_server.scheduler)

    async def run(self) -> None:
        """Serve until cancelled."""
        await self.link_server.run(HOST, self.port)

    async def submit(
        self, name: str, tasks: int = 1, disconnected: asyncio.Event | None = None, required_label: str = ""
    ) -> fleet.JobAnswer | None:
        """Submit a job and return its answer."""
        now = asyncio.get_running_loop().time()
        steps = [scheduling.Step(tasks, scheduling.Resources(1000, 10), 0.1, required_label=required_label)]
        new = fleet.NewJob(ids.JobKey(name), QUEUE, steps, "payload", now + 8)
        event = disconnected or asyncio.Event()

        async def wait_for_disconnect() -> None:
            await event.wait()

        return await self.job_service.submit(new, wait_for_disconnect)


class Agent:
    """An agent with its worker."""

    def __init__(self, name: str, seeds: list[str], directory: fleet.EntryDirectory | None = None) -> None:
        self.duration_s = 0.1
        self.restart_after_s = 0.8  # of a crashed worker
        self.worker = leased_worker.LeasedWorker(lambda key: self.duration_s)
        self.labels: tuple[str, ...] = ()
        self.name = name
        self._sequence = 0
        counters = observability.Counters()
        journal = observability.Journal(name, counters, descriptor=-1)
        self.cache = fleet.ConfigCache(decode, journal.record_state)
        self.link_client = fleet.AgentLinkClient(
            ids.AgentName(name),
            ids.DataCentreName("serra"),
            lambda: seeds,
            TIMING,
            self.cache,
            directory or MemoryDirectory(),
            counters,
            journal,
        )
        self.controller = runs.RunController(
            TIMING, 1.5, lambda heartbeat: self.worker, self.link_client.is_service_known, self.link_client
        )

    async def run(self) -> None:
        """Run until cancelled and send heartbeats of the worker to the controller."""
        async with self.link_client, self.controller, asyncio.TaskGroup() as group:
            group.create_task(self.link_client.run(self.controller))
            while True:
                if self.worker.is_down:
                    await asyncio.sleep(self.restart_after_s)
                    self.worker.restart()
                self.send_heartbeat()
                await asyncio.sleep(HEARTBEAT_S)

    def send_heartbeat(self) -> None:
        """Send a heartbeat of the worker to the controller."""
        self._sequence += 1
        self.controller.handle_heartbeat(
            runs.WorkerHeartbeat(
                ids.WorkerId(self.name),
                self.worker.incarnation,
                self._sequence,
                ids.ServiceName("s"),
                "10.0.0.1:80",
                False,
                scheduling.Resources(4000, 1000),
                self.labels,
                self.worker.clock_s,
            )
        )

    def restart_worker(self, labels: tuple[str, ...]) -> None:
        """Restart the worker as another kind and let it send its first heartbeat."""
        self.worker.restart()
        self.labels = labels
        self.send_heartbeat()


@contextlib.asynccontextmanager
async def running(*parts: "Entry | Agent") -> "abc.AsyncIterator[dict[Entry | Agent, asyncio.Task[None]]]":
    """Run entries and agents until the context ends; a test may cancel the task of one of them."""
    gc.collect()  # the garbage of earlier tests takes over 0.1 s, which would pause all entries and agents
    tasks = {part: asyncio.create_task(part.run()) for part in parts}
    try:
        yield tasks
    finally:
        for task in tasks.values():
            task.cancel()
        await asyncio.gather(*tasks.values(), return_exceptions=True)


async def until(condition: "abc.Callable[[], bool]", seconds: float = 5.0) -> None:
    """Wait until a condition holds; fail after some seconds."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)
