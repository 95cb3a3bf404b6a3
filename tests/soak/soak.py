"""Runs entries, agents, workers and callers under faults, and collects what they saw."""

import asyncio
import contextlib
import json
import pathlib
import random
import signal
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

import aiohttp

from tests.soak import callers, faults, process, promises, proxy, store, worker
from tests.unit.platform import fake_store

if TYPE_CHECKING:
    from collections import abc

LINK_PORT = 7720
FRONT_PORT = 7721
READY_PORT = 7722
CONTROL_PORT = 7723
WORKER_PORT = 7724
STORE_PORT = 7725
SERVICE = "service-a"
CONTACT_S = 3.0  # without faults, after which bounds of time hold
IN_FORCE_S = 2.0  # for a configuration
KEPT_VERSIONS = 5  # routes of earlier versions in a configuration, which show what is in force
PROBE_S = 0.5
MAIN_PATH = "/jobs/"
SHAPES = (
    callers.Shape(MAIN_PATH, 8, 1500, 0.12, 8.0),
    callers.Shape(MAIN_PATH, 2, 1500, 0.4, 8.0),
    callers.Shape(MAIN_PATH, 4, 1500, 1.2, 12.0),
)


Part = TypeVar("Part")


class Size(NamedTuple):
    """How many parts run, and how many jobs come."""

    entries: int = 3
    agents: int = 5
    jobs_per_s: float = 8.0  # a third of the capacity, so that no job needs to be refused without a fault


class Result(NamedTuple):
    """What a run has shown."""

    findings: list[promises.Finding]
    jobs: int
    succeeded: int
    refused: int


class Soak:
    """One run; each part has an address of the loopback network of its own."""

    def __init__(self, seed: int, seconds: float, size: Size, folder: pathlib.Path, network: int) -> None:
        self._draw = random.Random(seed)
        self._seconds = seconds
        self._faults = faults.draw(seed, seconds)
        self._size = size
        self._folder = folder
        self._network = network
        self._records = fake_store.FakeStore()
        self._store = store.FaultyStore(self._records, self._draw)
        self._version = 0
        self._written_at = 0.0
        self._versions_seen: list[promises.VersionSeen] = []
        self._calm_since = float("inf")
        self._open_faults = 0
        self._link_proxies: list[proxy.Proxy] = []
        self._store_proxies: list[proxy.Proxy] = []
        self._worker_proxies: list[proxy.Proxy] = []
        self._entries: list[process.SoakProcess] = []
        self._agents: list[process.SoakProcess] = []
        self._workers: list[worker.WorkerStandIn] = []
        entry_urls = {f"entry-{number}": self._front_url(number) for number in range(size.entries)}
        self._callers = callers.Callers(entry_urls, SHAPES, self._draw)

    async def run(self) -> Result:
        """Play the faults and return what broke."""
        loop = asyncio.get_running_loop()
        async with contextlib.AsyncExitStack() as stack, asyncio.TaskGroup() as group:
            session = await stack.enter_async_context(aiohttp.ClientSession())
            self._write_config()
            await self._start_parts(stack)
            urls = {f"entry-{number}": self._ready_url(number) for number in range(self._size.entries)}
            tasks = [
                group.create_task(self._callers.watch_ready(session, urls)),
                group.create_task(self._probe_forever(session)),
                *(group.create_task(each.keep_running()) for each in (*self._entries, *self._agents)),
                *(group.create_task(each.beat_forever(session)) for each in self._workers),
            ]
            await asyncio.sleep(faults.CALM_START_S)
            handing_in = group.create_task(self._callers.submit_forever(session, self._size.jobs_per_s))
            started_at = loop.time() - faults.CALM_START_S
            self._calm_since = loop.time()
            playing = [group.create_task(self._play(fault, started_at)) for fault in self._faults]
            await asyncio.wait([asyncio.create_task(asyncio.sleep(self._seconds - faults.CALM_START_S))])
            await asyncio.gather(*playing)
            handing_in.cancel()
            await self._callers.finish()
            for task in tasks:
                task.cancel()
            return self._result()

    async def _start_parts(self, stack: contextlib.AsyncExitStack) -> None:
        await stack.enter_async_context(fake_store.serve_app(self._store, STORE_PORT, self._ip(5, 0)))
        seeds = [f"{self._ip(1, number)}:{CONTROL_PORT}" for number in range(self._size.entries)]
        for number in range(self._size.entries):
            ip = self._ip(1, number)
            inner = self._ip(2, number)
            link = proxy.Proxy((ip, LINK_PORT), (inner, LINK_PORT))
            self._link_proxies.append(await stack.enter_async_context(link))
            listen = {
                "front": f"{ip}:{FRONT_PORT}",
                "ready": f"{ip}:{READY_PORT}",
                "control": f"{ip}:{CONTROL_PORT}",
            }
            settings = await self._settings(stack, f"entry-{number}", ip, listen, seeds, 10 + number)
            options = ["--link-listen", f"{inner}:{LINK_PORT}"]
            part = process.SoakProcess("entry", settings, options, self._folder)
            self._entries.append(await stack.enter_async_context(part))
        for number in range(self._size.agents):
            ip = self._ip(4, number)
            calls = proxy.Proxy((self._ip(3, number), WORKER_PORT), (self._ip(6, number), WORKER_PORT))
            self._worker_proxies.append(await stack.enter_async_context(calls))
            stand_in = worker.WorkerStandIn(
                number,
                SERVICE,
                f"{self._ip(3, number)}:{WORKER_PORT}",
                f"http://{ip}:{CONTROL_PORT}",
                self._duration_s,
                self._draw,
            )
            self._workers.append(stand_in)
            await stack.enter_async_context(fake_store.serve_app(stand_in, WORKER_PORT, self._ip(6, number)))
            settings = await self._settings(
                stack, f"agent-{number}", ip, {"control": f"{ip}:{CONTROL_PORT}"}, seeds, 30 + number
            )
            part = process.SoakProcess("agent", settings, [], self._folder)
            self._agents.append(await stack.enter_async_context(part))

    async def _settings(
        self,
        stack: contextlib.AsyncExitStack,
        name: str,
        ip: str,
        listen: dict[str, str],
        seeds: list[str],
        store_number: int,
    ) -> dict[str, Any]:
        """Return the settings of a process that reaches the store through a proxy of its own."""
        address = (self._ip(5, store_number), STORE_PORT)
        way = proxy.Proxy(address, (self._ip(5, 0), STORE_PORT))
        self._store_proxies.append(await stack.enter_async_context(way))
        return {
            "node": name,
            "ip": ip,
            "zone": "a",
            "listen": listen,
            "port_range": [LINK_PORT, LINK_PORT],
            "seeds": seeds,
            "heartbeat_ms": int(worker.HEARTBEAT_S * 1000),
            "platform": {"address": f"{address[0]}:{address[1]}"},
        }

    def _ip(self, group: int, number: int) -> str:
        return f"127.{self._network}.{group}.{number + 1}"

    def _front_url(self, number: int) -> str:
        return f"http://{self._ip(1, number)}:{FRONT_PORT}"

    def _ready_url(self, number: int) -> str:
        return f"http://{self._ip(1, number)}:{READY_PORT}"

    def _duration_s(self, key: Any) -> float:
        record = self._callers.records.get(key.job)
        return (record.shape.run_s if record is not None else 0.1) * self._draw.uniform(0.8, 1.2)

    def _write_config(self) -> None:
        self._version += 1
        kept = range(max(1, self._version - KEPT_VERSIONS + 1), self._version + 1)
        paths = [MAIN_PATH, *(f"/v{version}/" for version in kept)]
        document = {"version": self._version, "routes": [self._route(path) for path in paths], "limits": {}}
        self._records.put("keyed.op", "config", json.dumps(document).encode())
        self._written_at = asyncio.get_running_loop().time()

    @staticmethod
    def _route(path: str) -> dict[str, Any]:
        return {
            "name": f"queue{path.replace('/', '-')}",
            "host": callers.ROUTE_HOST,
            "path_prefix": path,
            "service": SERVICE,
            "priority": 1,
            "attempts": 3,
            "slack_factor": 1.6,
            "target_latency_ms": 60,
        }

    async def _probe_forever(self, session: aiohttp.ClientSession) -> None:
        """Ask each entry for the routes of the last versions."""
        while True:
            await asyncio.gather(*(self._probe(session, number) for number in range(self._size.entries)))
            await asyncio.sleep(PROBE_S)

    async def _probe(self, session: aiohttp.ClientSession, number: int) -> None:
        now = asyncio.get_running_loop().time()
        newest = self._version
        must_know = now - self._calm_since > CONTACT_S and now - self._written_at > IN_FORCE_S
        life = len(self._entries[number].exits)
        for version in range(newest, max(0, newest - KEPT_VERSIONS), -1):
            url = f"{self._front_url(number)}/v{version}/"
            status, _ = await callers.request(session, "GET", url, None, 1.0)
            if status not in (200, 404) or life != len(self._entries[number].exits):
                return
            if status == 200:
                expected = newest if must_know else 0
                self._versions_seen.append(promises.VersionSeen(f"entry-{number}", life, version, expected))
                return

    async def _play(self, fault: faults.Fault, started_at: float) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(started_at + fault.at - loop.time())
        if fault.kind is faults.FaultKind.CHANGE_CONFIG:
            self._write_config()
            return
        self._open_faults += 1
        self._calm_since = float("inf")
        try:
            await self._harm(fault)
        finally:
            self._open_faults -= 1
            if not self._open_faults:
                self._calm_since = loop.time()

    async def _harm(self, fault: faults.Fault) -> None:
        kind = faults.FaultKind
        entry = _pick(self._entries, fault.target)
        agent = _pick(self._agents, fault.target)
        link = _pick(self._link_proxies, fault.target)
        calls = _pick(self._worker_proxies, fault.target)
        stand_in = _pick(self._workers, fault.target)
        if fault.kind is kind.KILL_ENTRY:
            entry.kill(fault.for_s)
        elif fault.kind is kind.KILL_AGENT:
            agent.kill(fault.for_s)
        elif fault.kind is kind.KILL_ALL:
            for each in (*self._entries, *self._agents):
                each.kill(fault.for_s)
        elif fault.kind is kind.PAUSE_ENTRY:
            await entry.pause(fault.for_s)
        elif fault.kind is kind.PAUSE_AGENT:
            await agent.pause(fault.for_s)
        elif fault.kind is kind.STOP_ENTRY:
            await entry.stop()
        elif fault.kind is kind.STOP_AGENT:
            await agent.stop()
        elif fault.kind is kind.RELOAD:
            entry.reload()
            agent.reload()
        elif fault.kind in (kind.CUT_LINKS, kind.CUT_LINKS_ONE_WAY):
            is_both = fault.kind is kind.CUT_LINKS
            link.cut(forward=is_both or fault.target < 0.5, backward=is_both or fault.target >= 0.5)
            await asyncio.sleep(fault.for_s)
            link.heal()
        elif fault.kind is kind.RESET_LINKS:
            link.reset(0.5, self._draw)
        elif fault.kind is kind.SILENCE_LINKS:
            link.silence(0.5, self._draw)
        elif fault.kind is kind.DELAY_LINKS:
            link.delay(fault.for_s / 10)
            await asyncio.sleep(fault.for_s)
            link.heal()
        elif fault.kind is kind.RESET_WORKER_CALLS:
            calls.reset(1.0, self._draw)
        elif fault.kind is kind.SILENCE_WORKER_CALLS:
            calls.silence(1.0, self._draw)
        elif fault.kind is kind.CUT_STORE:
            way = _pick(self._store_proxies, fault.target)
            way.cut(forward=True, backward=True)
            await asyncio.sleep(fault.for_s)
            way.heal()
        elif fault.kind.value.startswith("store_"):
            self._store.fault = store.StoreFault(fault.kind.value.removeprefix("store_"))
            await asyncio.sleep(fault.for_s)
            self._store.fault = store.StoreFault.NONE
        else:
            await self._harm_worker(fault, stand_in, calls)

    @staticmethod
    async def _harm_worker(fault: faults.Fault, stand_in: worker.WorkerStandIn, calls: proxy.Proxy) -> None:
        kind = faults.FaultKind
        leased = stand_in.life.worker
        if fault.kind is kind.CRASH_WORKER:
            leased.crash()
            calls.refuse()
            await asyncio.sleep(fault.for_s)
            stand_in.restart()
            await calls.accept()
        elif fault.kind is kind.RESTART_WORKER_SAME_ID:
            stand_in.restart(same_id=True)
        elif fault.kind is kind.DRAIN_WORKER:
            stand_in.is_draining = True
            await asyncio.sleep(promises.DRAIN_S + fault.for_s)
            stand_in.restart()
        elif fault.kind is kind.SLOW_WORKER:
            stand_in.slowness = 5.0
            await asyncio.sleep(fault.for_s)
            stand_in.slowness = 1.0
        elif fault.kind is kind.FAIL_WORKER:
            leased.fails_all_runs = True
            await asyncio.sleep(fault.for_s)
            leased.fails_all_runs = False
        elif fault.kind is kind.MUTE_WORKER:
            leased.drops_replies = True
            await asyncio.sleep(fault.for_s)
            leased.drops_replies = False
        elif fault.kind is kind.LATE_WORKER:
            leased.delays_requests = True
            await asyncio.sleep(fault.for_s)
            leased.delays_requests = False
            late, leased.delayed_requests = leased.delayed_requests, []
            for order in late:
                order()

    def _result(self) -> Result:
        records = self._callers.records
        lives = [life for each in self._workers for life in each.lives]
        findings = promises.check(records, lives) + promises.check_versions(self._versions_seen)
        for each in (*self._entries, *self._agents):
            findings += [
                promises.Finding("a process ends only when told", f"{each.name}: exit {code}")
                for code in each.exits
                if code not in (0, -signal.SIGKILL, -signal.SIGTERM)  # the last while it starts
            ]
        findings += promises.check_recovery(records.values(), self._calm_since + faults.RECOVERY_S)
        return Result(
            findings,
            len(records),
            sum(each.state == "succeeded" for each in records.values()),
            sum(each.is_refused for each in records.values()),
        )


def _pick(parts: "abc.Sequence[Part]", fraction: float) -> Part:
    return parts[int(fraction * len(parts))]
