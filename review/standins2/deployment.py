"""A small deployment on loopback addresses: the programs of the deploy file, a store and workers."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib

import aiohttp

from standins2 import proxy as proxy_module
from standins2 import store as store_module
from standins2 import worker as worker_module

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "registro"
ZONES = ("serra", "campanha", "litoral")
BOUNDS = {
    "contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "max_hold_ms": 1000,
    "stop_ms": 50, "cancel_ms": 3000, "visible_ms": 3000, "far_x": 1.5, "retry_ms": 1300,
}  # fmt: skip
GROWN_BOUNDS = BOUNDS | {
    "contact_ms": 4000, "ack_ms": 6000, "drain_ms": 3000, "config_apply_ms": 3000, "cancel_ms": 4000, "far_x": 2,
}  # fmt: skip
HEARTBEAT_MS = 1500


class CannotRunError(Exception):
    """The case could not be run."""


class Process:
    """One program of the deploy file, started again when it ends."""

    def __init__(self, role, settings, folder, options=()):
        commands = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.name, self.role = settings["node"], role
        self._arguments = [*shlex.split(commands[role]["run"]), *options]
        self._file = folder / f"{self.name}.json"
        self._file.write_text(json.dumps(settings))
        self.log_path = folder / f"{self.name}.log"
        self._process = None
        self._keeper = None
        self.exits = []
        self.down_s = 0.5

    async def start(self):
        await self._spawn()
        self._keeper = asyncio.create_task(self._keep())

    async def _spawn(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment |= {"CACTUSGAUGE_NODE_FILE": str(self._file), "PYTHONPATH": str(ROOT / "target/deps")}
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._arguments, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL
            )

    async def _keep(self):
        while True:
            self.exits.append(await self._process.wait())
            await asyncio.sleep(self.down_s)
            await self._spawn()

    def signal(self, number):
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def close(self):
        if self._keeper is not None:
            self._keeper.cancel()
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal.SIGCONT)
                self._process.kill()
            await self._process.wait()


class Deployment:
    """Entries, agents with a worker each, and a store; `record` collects what was sent, answered and run."""

    def __init__(self, record_path, entries=3, agents=3, cpu=64_000, bounds=None, least_ready=None, with_proxies=False):
        self._record_path = record_path
        self._lines = []
        self._began = time.monotonic()
        self._counts = entries, agents
        self._cpu = cpu
        self._bounds = bounds or BOUNDS
        self._stores = {}
        self._least_ready = least_ready or entries
        self.ready = []
        self.link_proxies = []  # one for each entry, if there are any
        self.front_proxies = []
        self._with_proxies = with_proxies
        self.entries, self.agents, self.workers = [], [], []
        self.store = None
        self.session = None
        self._stack = contextlib.AsyncExitStack()
        self.version = 0

    def record(self, text):
        self._lines.append(f"{time.monotonic() - self._began:8.3f} {text}")

    def at(self, moment):
        return f"{moment - self._began:.3f}"

    async def __aenter__(self):
        if not (ROOT / "target/deps").is_dir():
            raise CannotRunError("target/deps is missing: run the build of the deploy file first")
        try:
            await self._start()
        except BaseException:
            await self._close()
            raise
        return self

    async def __aexit__(self, *exception):
        await self._close()

    async def _close(self):
        self._record_path.write_text("\n".join(self._lines) + "\n")
        await self._stack.aclose()

    async def _start(self):
        self._folder = pathlib.Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        self._network = random.randint(16, 250), random.randint(1, 250)
        ports = _free_ports(6, self._ip(1, 0))
        self.link_port, self.front_port, self.ready_port, self.control_port, self.worker_port, self.store_port = ports
        self.store = store_module.Store()
        self._stack.push_async_callback(self.store.close)
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        self.write_config()
        entry_count, agent_count = self._counts
        seeds = [f"{self._ip(1, number)}:{self.control_port}" for number in range(entry_count)]
        for number in range(entry_count):
            ip = self._ip(1, number)
            listen = {
                "front": f"{ip}:{self.front_port}", "ready": f"{ip}:{self.ready_port}",
                "control": f"{ip}:{self.control_port}",
            }  # fmt: skip
            await self._add("entry", f"front-{ZONES[number % 3]}-{1 + number // 3}", ip, number, listen, seeds, self.entries)
        for number in range(agent_count):
            ip = self._ip(2, number)
            listen = {"control": f"{ip}:{self.control_port}"}
            await self._add("agent", f"side-{ZONES[number % 3]}-{number}", ip, number, listen, seeds, self.agents)
            worker = worker_module.Worker(
                f"i-{random.getrandbits(32):08x}", ip, self.worker_port, f"{ip}:{self.control_port}", SERVICE,
                HEARTBEAT_MS / 1000, self._cpu, log=self.record,
            )  # fmt: skip
            self.workers.append(await self._stack.enter_async_context(worker))
        await self._wait_until_ready()

    def store_address(self, process):
        """Return the address at which the store serves a process."""
        return self._stores[process.name]

    def front(self, number):
        """Return the address at which clients reach an entry."""
        return f"{self._ip(6 if self._with_proxies else 1, number)}:{self.front_port}"

    def write_config(self, prefixes=(PREFIX,)):
        """Write the next version of the configuration, with a route for each path prefix."""
        self.version += 1
        routes = [
            {
                "name": prefix.strip("/"), "host": HOST, "path_prefix": prefix, "service": SERVICE, "priority": 1,
                "attempts": 3, "slack_factor": 2.0, "target_latency_ms": 1500,
            }
            for prefix in prefixes
        ]  # fmt: skip
        document = {"version": self.version, "routes": routes, "services": [{"name": SERVICE}], "limits": {}}
        self.store.put("keyed.op", "config", json.dumps(document).encode())
        self.record(f"operator: configuration {self.version} with the routes {', '.join(prefixes)}")

    async def call(self, method, entry, job, body=None, deadline_s=10.0, says_deadline=True):
        """Send a request to an entry; return status and body, or 0 and None without a complete answer in time."""
        url = f"http://{self.front(entry)}{PREFIX}{job}"
        self.record(f"client: {method} {job or '(pending)'} to {self.entries[entry].name}")
        headers = {"Host": HOST} | ({"Deadline-Ms": str(int(deadline_s * 1000))} if says_deadline else {})
        answer = 0, None
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with self.session.request(
                method, url, json=body, headers=headers, timeout=aiohttp.ClientTimeout(total=deadline_s)
            ) as response:
                content = await response.read()
                answer = response.status, json.loads(content) if content else None
        self.record(f"client: {method} {job or '(pending)'} at {self.entries[entry].name} answered {answer}")
        return answer

    def runs_of(self, job):
        """Return the runs of a job at all workers, with their worker, by the time of their start."""
        found = [(run, worker) for worker in self.workers for run in worker.runs if run.task.startswith(job + ".")]
        return sorted(found, key=lambda pair: pair[0].started_at)

    async def _add(self, role, name, ip, number, listen, seeds, processes):
        address = self._ip(3 if role == "entry" else 4, number), self.store_port
        await self.store.listen(*address)
        self._stores[name] = address
        settings = {
            "node": name, "role": role, "machine_class": "front" if role == "entry" else "side",
            "serves": ["front", "control"] if role == "entry" else ["side"], "ip": ip,
            "zone": ZONES[number % 3], "region": "sul", "zones": dict.fromkeys(ZONES, "sul"), "listen": listen,
            "port_range": [self.link_port, self.link_port + 1], "seeds": seeds, "bootstrap": True, "data_dir": None,
            "discovery": "local", "entry": "vip", "heartbeat_ms": HEARTBEAT_MS, "bounds": self._bounds,
            "control_mode": "rpc", "platform": {"address": f"{address[0]}:{address[1]}", "form": "log", "keep_s": 20},
        }  # fmt: skip
        options = []
        if role == "entry" and self._with_proxies:
            inner = self._ip(5, number), self.link_port
            link_proxy = proxy_module.Proxy((ip, self.link_port), inner)
            self.link_proxies.append(await self._stack.enter_async_context(link_proxy))
            options = ["--link-listen", f"{inner[0]}:{inner[1]}"]
            outer = self._ip(6, number), self.front_port
            front_proxy = proxy_module.Proxy(outer, (ip, self.front_port))
            self.front_proxies.append(await self._stack.enter_async_context(front_proxy))
        process = Process(role, settings, self._folder, options)
        processes.append(process)
        self._stack.push_async_callback(process.close)
        await process.start()

    def _ip(self, group, number):
        first, second = self._network
        return f"127.{first}.{second}.{16 * group + number + 1}"

    async def _wait_until_ready(self):
        """Wait until all agents serve and enough entries are ready, and let each ready one answer a job."""
        until = time.monotonic() + 25
        while True:
            states = []
            for number in range(len(self.entries)):
                url = f"http://{self._ip(1, number)}:{self.ready_port}/-/ready"
                try:
                    async with self.session.get(url, timeout=aiohttp.ClientTimeout(total=1)) as response:
                        states.append(response.status)
                except (aiohttp.ClientError, TimeoutError, OSError):
                    states.append(0)
            # Where agents link to a few entries only, an entry may have none, and gets no connections.
            ready = [number for number, state in enumerate(states) if state == 200]
            if len(ready) >= self._least_ready and all(worker.calls for worker in self.workers):
                break
            if time.monotonic() > until:
                raise CannotRunError(f"the deployment is not ready: {states}")
            await asyncio.sleep(0.1)
        self.ready = ready
        self.record(f"ready: {', '.join(self.entries[number].name for number in ready)}")
        await asyncio.sleep(2.0)
        for number in ready:
            answer = await self.call("POST", number, new_job(), job_body(2, 50))
            if answer != (200, {"state": "succeeded"}):
                raise CannotRunError(f"{self.entries[number].name} does not serve: {answer}")


def new_job():
    return f"{random.getrandbits(64):016x}"


def job_body(count, work_ms, cpu=6200, **step):
    """Return the body of a job with one step, whose tasks take `work_ms`."""
    return {
        "spec": f"ms={work_ms} {random.getrandbits(32):08x}",
        "best_effort": True,
        "steps": [{"count": count, "cpu": cpu, "mem_mb": 256, "estimate_ms": work_ms, **step}],
    }


def overlaps(runs):
    """Return the pairs of runs of one task that were there at the same time, with how long, in seconds."""
    found = []
    for number, (run, worker) in enumerate(runs):
        for other, other_worker in runs[number + 1 :]:
            if run.task == other.task:
                ended = min(run.ended_at or time.monotonic(), other.ended_at or time.monotonic())
                if ended > other.started_at:
                    found.append((run, worker, other, other_worker, ended - other.started_at))
    return found


def _free_ports(count, ip):
    sockets = []
    try:
        while len(sockets) < count:
            probe = socket.socket()
            probe.bind((ip, 0))
            sockets.append(probe)
        return [probe.getsockname()[1] for probe in sockets]
    finally:
        for probe in sockets:
            probe.close()


def main(scenario, file):
    """Run a scenario and exit with 1 if it reports a broken rule, 0 if the rule held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = pathlib.Path(file).resolve().parent

    async def run():
        async with asyncio.timeout(100):
            return await scenario(trouble, folder / "record.txt")

    try:
        broken = asyncio.run(run())
    except (CannotRunError, TimeoutError, OSError) as error:
        print(f"could not run: {type(error).__name__} {error}")
        sys.exit(2)
    print("BROKEN" if broken else "held")
    sys.exit(1 if broken else 0)
