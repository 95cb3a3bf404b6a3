"""Runs entries, agents, workers and callers under injected faults and checks what they observed."""

import asyncio
import contextlib
import json
import pathlib
import random
import signal
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

import aiohttp

from cactusgauge import runs
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
SETTLE_S = 3.0  # time bounds are checked only after this time without faults
MAX_CONFIG_DELAY_S = 2.0  # from the write of a configuration until it is in force
KEPT_VERSIONS = 5  # a configuration has a route for each of the last versions, so that a probe finds the one in force
PROBE_INTERVAL_S = 0.5
CRASH_DOWN_S = 2.0  # of a worker that a job has crashed
CRASHING_SHARE = 0.2  # of the jobs that arrive during the fault
RECONNECTING_SHARE = 0.15  # of the callers that wait, in runs with added kinds of faults
MAIN_PATH = "/jobs/"
JOB_PROFILES = (
    callers.JobProfile(MAIN_PATH, 8, 1500, 0.12, 8.0),
    callers.JobProfile(MAIN_PATH, 2, 1500, 0.4, 8.0),
    callers.JobProfile(MAIN_PATH, 4, 1500, 1.2, 12.0),
)


Part = TypeVar("Part")


class Size(NamedTuple):
    """How many processes run and how many jobs are submitted."""

    entries: int = 3
    agents: int = 5
    jobs_per_s: float = 8.0  # a third of the capacity, so that no job has to be refused unless a fault occurs


class Result(NamedTuple):
    """The findings of a run and the number of jobs by outcome."""

    findings: list[promises.Finding]
    jobs: int
    succeeded: int
    refused: int


class SoakRun:
    """One run with a seed; each part has its own loopback address."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        size: Size,
        folder: pathlib.Path,
        network: int,
        with_added_kinds: bool = False,
        with_foreign_heartbeats: bool = False,
    ) -> None:
        self._rng = random.Random(seed)
        self._foreign_rng = random.Random(f"{seed} heartbeats")
        self._seconds = seconds
        self._faults = faults.generate_faults(seed, seconds, with_added_kinds, with_foreign_heartbeats)
        self._size = size
        self._folder = folder
        self._network = network
        self._stored_records = fake_store.FakeStore()
        self._store = store.FaultyStore(self._stored_records, self._rng)
        self._version = 0
        self._written_at = 0.0
        self._version_observations: list[promises.VersionObservation] = []
        self._fault_free_since = float("inf")
        self._active_faults = 0
        self._link_proxies: list[proxy.Proxy] = []
        self._store_proxies: list[proxy.Proxy] = []
        self._worker_proxies: list[proxy.Proxy] = []
        self._entries: list[process.SoakProcess] = []
        self._agents: list[process.SoakProcess] = []
        self._workers: list[worker.FakeWorker] = []
        entry_urls = {f"entry-{number}": self._front_url(number) for number in range(size.entries)}
        # Callers that reconnect have a random stream of their own, so that the other draws of a seed are the same.
        reconnect_rng = random.Random(f"{seed} reconnect")
        self._callers = callers.Callers(entry_urls, JOB_PROFILES, self._rng, reconnect_rng)
        if with_added_kinds:
            self._callers.reconnecting_share = RECONNECTING_SHARE

    async def run(self) -> Result:
        """Run the processes under the scheduled faults and return the result."""
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
                *(group.create_task(each.send_heartbeats(session)) for each in self._workers),
                *(
                    group.create_task(self._restart_after_crashes(*pair))
                    for pair in zip(self._workers, self._worker_proxies, strict=True)
                ),
            ]
            await asyncio.sleep(faults.STARTUP_S)
            submitting = group.create_task(self._callers.submit_forever(session, self._size.jobs_per_s))
            started_at = loop.time() - faults.STARTUP_S
            self._fault_free_since = loop.time()
            fault_tasks = [group.create_task(self._run_fault(fault, started_at)) for fault in self._faults]
            await asyncio.wait([asyncio.create_task(asyncio.sleep(self._seconds - faults.STARTUP_S))])
            await asyncio.gather(*fault_tasks)
            submitting.cancel()
            await self._callers.finish()
            for task in tasks:
                task.cancel()
            return self._result()

    async def _start_parts(self, stack: contextlib.AsyncExitStack) -> None:
        await stack.enter_async_context(fake_store.serve_app(self._store, STORE_PORT, self._ip(5, 0)))
        seeds = [f"{self._ip(1, number)}:{CONTROL_PORT}" for number in range(self._size.entries)]
        for number in range(self._size.entries):
            ip = self._ip(1, number)
            inner_ip = self._ip(2, number)
            link_proxy = proxy.Proxy((ip, LINK_PORT), (inner_ip, LINK_PORT))
            self._link_proxies.append(await stack.enter_async_context(link_proxy))
            listen = {
                "front": f"{ip}:{FRONT_PORT}",
                "ready": f"{ip}:{READY_PORT}",
                "control": f"{ip}:{CONTROL_PORT}",
            }
            settings = await self._settings(stack, f"entry-{number}", ip, listen, seeds, 10 + number)
            options = ["--link-listen", f"{inner_ip}:{LINK_PORT}"]
            part = process.SoakProcess("entry", settings, options, self._folder)
            self._entries.append(await stack.enter_async_context(part))
        for number in range(self._size.agents):
            ip = self._ip(4, number)
            worker_proxy = proxy.Proxy((self._ip(3, number), WORKER_PORT), (self._ip(6, number), WORKER_PORT))
            self._worker_proxies.append(await stack.enter_async_context(worker_proxy))
            fake_worker = worker.FakeWorker(
                number,
                SERVICE,
                f"{self._ip(3, number)}:{WORKER_PORT}",
                f"http://{ip}:{CONTROL_PORT}",
                self._duration_s,
                self._rng,
                self._callers.crashing_jobs,
            )
            self._workers.append(fake_worker)
            await stack.enter_async_context(fake_store.serve_app(fake_worker, WORKER_PORT, self._ip(6, number)))
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
        """Start a store proxy for a process and return the settings of the process."""
        address = (self._ip(5, store_number), STORE_PORT)
        store_proxy = proxy.Proxy(address, (self._ip(5, 0), STORE_PORT))
        self._store_proxies.append(await stack.enter_async_context(store_proxy))
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
        return (record.profile.run_s if record is not None else 0.1) * self._rng.uniform(0.8, 1.2)

    def _write_config(self) -> None:
        self._version += 1
        kept = range(max(1, self._version - KEPT_VERSIONS + 1), self._version + 1)
        paths = [MAIN_PATH, *(f"/v{version}/" for version in kept)]
        document = {"version": self._version, "routes": [self._route(path) for path in paths], "limits": {}}
        self._stored_records.put("keyed.op", "config", json.dumps(document).encode())
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
        """Probe repeatedly which configuration version is in force at each entry."""
        while True:
            await asyncio.gather(*(self._probe(session, number) for number in range(self._size.entries)))
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, session: aiohttp.ClientSession, number: int) -> None:
        now = asyncio.get_running_loop().time()
        newest = self._version
        is_due = now - self._fault_free_since > SETTLE_S and now - self._written_at > MAX_CONFIG_DELAY_S
        incarnation = len(self._entries[number].exit_codes)
        for version in range(newest, max(0, newest - KEPT_VERSIONS), -1):
            url = f"{self._front_url(number)}/v{version}/"
            status, _ = await callers.request(session, "GET", url, None, 1.0)
            if status not in (200, 404) or incarnation != len(self._entries[number].exit_codes):
                return
            if status == 200:
                expected = newest if is_due else 0
                self._version_observations.append(
                    promises.VersionObservation(f"entry-{number}", incarnation, version, expected)
                )
                return

    @staticmethod
    async def _restart_after_crashes(fake_worker: worker.FakeWorker, worker_proxy: proxy.Proxy) -> None:
        """Restart a worker some seconds after each crash that a job has caused."""
        while True:
            await asyncio.sleep(0.005)
            if fake_worker.is_crashed_by_job:
                worker_proxy.refuse()
                await asyncio.sleep(CRASH_DOWN_S)
                fake_worker.restart()
                await worker_proxy.accept()

    async def _run_fault(self, fault: faults.Fault, started_at: float) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(started_at + fault.at_s - loop.time())
        if fault.kind is faults.FaultKind.CHANGE_CONFIG:
            self._write_config()
            return
        self._active_faults += 1
        self._fault_free_since = float("inf")
        try:
            await self._inject(fault)
        finally:
            self._active_faults -= 1
            if not self._active_faults:
                self._fault_free_since = loop.time()

    async def _inject(self, fault: faults.Fault) -> None:
        kind = faults.FaultKind
        entry = _pick(self._entries, fault.target)
        agent = _pick(self._agents, fault.target)
        link_proxy = _pick(self._link_proxies, fault.target)
        worker_proxy = _pick(self._worker_proxies, fault.target)
        fake_worker = _pick(self._workers, fault.target)
        if fault.kind is kind.KILL_ENTRY:
            entry.kill(fault.duration_s)
        elif fault.kind is kind.KILL_AGENT:
            agent.kill(fault.duration_s)
        elif fault.kind is kind.KILL_ALL:
            for each in (*self._entries, *self._agents):
                each.kill(fault.duration_s)
        elif fault.kind is kind.PAUSE_ENTRY:
            await entry.pause(fault.duration_s)
        elif fault.kind is kind.PAUSE_AGENT:
            await agent.pause(fault.duration_s)
        elif fault.kind is kind.STOP_ENTRY:
            await entry.stop()
        elif fault.kind is kind.STOP_AGENT:
            await agent.stop()
        elif fault.kind is kind.RELOAD:
            entry.reload()
            agent.reload()
        elif fault.kind in (kind.CUT_LINKS, kind.CUT_LINKS_ONE_WAY):
            both_directions = fault.kind is kind.CUT_LINKS
            link_proxy.cut(
                forward=both_directions or fault.target < 0.5, backward=both_directions or fault.target >= 0.5
            )
            await asyncio.sleep(fault.duration_s)
            link_proxy.heal()
        elif fault.kind is kind.RESET_LINKS:
            link_proxy.reset(0.5, self._rng)
        elif fault.kind is kind.SILENCE_LINKS:
            link_proxy.silence(0.5, self._rng)
        elif fault.kind is kind.DELAY_LINKS:
            link_proxy.delay(fault.duration_s / 10)
            await asyncio.sleep(fault.duration_s)
            link_proxy.heal()
        elif fault.kind is kind.RESET_WORKER_CALLS:
            worker_proxy.reset(1.0, self._rng)
        elif fault.kind is kind.SILENCE_WORKER_CALLS:
            worker_proxy.silence(1.0, self._rng)
        elif fault.kind is kind.CRASHING_JOBS:
            self._callers.crashing_share = CRASHING_SHARE
            await asyncio.sleep(fault.duration_s)
            self._callers.crashing_share = 0.0
        elif fault.kind is kind.FOREIGN_HEARTBEAT:
            await fake_worker.send_foreign_heartbeat(self._foreign_rng)
        elif fault.kind is kind.SHRINK_WORKER:
            fake_worker.cpu_millicores = worker.CPU_MILLICORES // 4
            await asyncio.sleep(2 * promises.SHRINK_GRACE_S * fault.target)
            fake_worker.cpu_millicores = worker.CPU_MILLICORES
        elif fault.kind is kind.CUT_STORE:
            store_proxy = _pick(self._store_proxies, fault.target)
            store_proxy.cut(forward=True, backward=True)
            await asyncio.sleep(fault.duration_s)
            store_proxy.heal()
        elif fault.kind.value.startswith("store_"):
            self._store.fault = store.StoreFault(fault.kind.value.removeprefix("store_"))
            await asyncio.sleep(fault.duration_s)
            self._store.fault = store.StoreFault.NONE
        else:
            await self._inject_worker_fault(fault, fake_worker, worker_proxy)

    @staticmethod
    async def _inject_worker_fault(
        fault: faults.Fault, fake_worker: worker.FakeWorker, worker_proxy: proxy.Proxy
    ) -> None:
        kind = faults.FaultKind
        leased = fake_worker.incarnation.worker
        if fault.kind is kind.CRASH_WORKER:
            leased.crash()
            worker_proxy.refuse()
            await asyncio.sleep(fault.duration_s)
            fake_worker.restart()
            await worker_proxy.accept()
        elif fault.kind is kind.RESTART_WORKER_SAME_ID:
            fake_worker.restart(same_id=True)
        elif fault.kind is kind.DRAIN_WORKER:
            fake_worker.is_draining = True
            await asyncio.sleep(promises.DRAIN_GRACE_S + fault.duration_s)
            fake_worker.restart()
        elif fault.kind is kind.SLOW_WORKER:
            fake_worker.slowdown = 5.0
            await asyncio.sleep(fault.duration_s)
            fake_worker.slowdown = 1.0
        elif fault.kind is kind.FAIL_WORKER_TASKS:
            leased.fails_all_runs = True
            await asyncio.sleep(fault.duration_s)
            leased.fails_all_runs = False
        elif fault.kind is kind.DROP_WORKER_REPLIES:
            leased.drops_replies = True
            await asyncio.sleep(fault.duration_s)
            leased.drops_replies = False
        elif fault.kind is kind.DELAY_WORKER_REQUESTS:
            leased.delays_requests = True
            await asyncio.sleep(fault.duration_s)
            leased.delays_requests = False
            delayed, leased.delayed_requests = leased.delayed_requests, []
            for request in delayed:
                if not leased.is_down:
                    with contextlib.suppress(runs.WorkerCallError):  # it crashes the worker
                        request()

    def _result(self) -> Result:
        records = self._callers.records
        incarnations = [incarnation for each in self._workers for incarnation in each.incarnations]
        findings = promises.check_jobs(records, incarnations) + promises.check_versions(self._version_observations)
        for each in (*self._entries, *self._agents):
            findings += [
                promises.Finding("a process ends only when told", f"{each.name}: exit {code}")
                for code in each.exit_codes
                # SIGTERM ends a process that has not installed its signal handlers yet.
                if code not in (0, -signal.SIGKILL, -signal.SIGTERM)
            ]
        findings += promises.check_recovery(records.values(), self._fault_free_since + faults.RECOVERY_S)
        return Result(
            findings,
            len(records),
            sum(each.state == "succeeded" for each in records.values()),
            sum(each.is_refused for each in records.values()),
        )


def _pick(parts: "abc.Sequence[Part]", fraction: float) -> Part:
    return parts[int(fraction * len(parts))]
