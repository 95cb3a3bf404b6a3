"""A small deployment on loopback: entries, agents, workers and the store, and the record of what was seen."""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections import abc
from typing import Any, Self

import aiohttp
from review.standins import node, proxy, store, worker

HOST = "jobs.example"
PREFIX = "/jobs/"
SERVICE = "service-a"
LINK_UP_TIMEOUT_S = 25.0
MAX_RUN_S = 112.0
BOUNDS = {
    "contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "max_hold_ms": 1000,
    "stop_ms": 50, "cancel_ms": 3000, "visible_ms": 3000, "far_x": 1.5, "retry_ms": 1300, "lease_ms": 3000,
}  # fmt: skip


class CannotRunError(Exception):
    """The deployment could not be brought up, so that nothing can be judged."""


class Record:
    """Writes what was seen to a file, one JSON object per line; times are in seconds since the scenario began."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def __call__(self, event: str, **fields: Any) -> None:
        """Record an event."""
        at = round(time.monotonic() - self._started_at, 3)
        self._file.write(json.dumps({"t": at, "event": event, **fields}) + "\n")
        self._file.flush()

    def at(self, moment: float) -> float:
        """Convert a moment of the monotonic clock to the record's time."""
        return round(moment - self._started_at, 3)


class Deployment:
    """Use it as an async context manager; all processes are killed at its end.

    The folder with settings and logs of the processes is removed, unless REVIEW_KEEP_LOGS is set.

    Agents and the other entries reach the links of an entry through a proxy at its advertised address
    (`link_proxies`). Clients reach its front through a proxy that stands for the platform's forwarding
    (`front_proxies`), and each process reaches the store through a proxy of its own (`store_proxies`).
    """

    def __init__(
        self,
        record: Record,
        entries: int,
        worker_labels: abc.Sequence[tuple[str, ...]],
        duration_s: abc.Callable[[str], float],
    ) -> None:
        self.record = record
        self._entry_count = entries
        self._worker_labels = worker_labels
        self._duration_s = duration_s
        self._network = 20 + os.getpid() % 200
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="cactusgauge-review-"))
        self._stack = contextlib.AsyncExitStack()
        self._version = 0
        self._ports = _free_ports(8)
        self.entries: list[node.Node] = []
        self.agents: list[node.Node] = []
        self.workers: list[worker.Worker] = []
        self.link_proxies: list[proxy.Proxy] = []
        self.front_proxies: list[proxy.Proxy] = []
        self.store_proxies: dict[str, proxy.Proxy] = {}
        self.routes: list[dict[str, object]] = [route(PREFIX)]

    async def __aenter__(self) -> Self:
        await self._stack.__aenter__()
        try:
            await self._start()
        except BaseException:
            await self._stack.__aexit__(None, None, None)
            raise
        return self

    async def _start(self) -> None:
        link, front, ready, control, app, store_port, link_inner, front_inner = self._ports
        self.store = store.Store(self._ip(9, 0), store_port)
        await self.store.start()
        self._stack.push_async_callback(self.store.close)
        self.publish(self.routes)
        seeds = [f"{self._ip(1, number)}:{control}" for number in range(self._entry_count)]
        for number in range(self._entry_count):
            ip = self._ip(1, number)
            self.link_proxies.append(await self._enter(proxy.Proxy((ip, link), (ip, link_inner))))
            self.front_proxies.append(await self._enter(proxy.Proxy((self._ip(8, number), front), (ip, front_inner))))
            listen = {
                "front": f"{ip}:{front_inner}",
                "ready": f"{ip}:{ready}",
                "control": f"{ip}:{control}",
            }
            settings = await self._settings(f"front-a-{number + 1}", "front", ip, listen, seeds, 10 + number)
            part = node.Node("entry", settings, self._folder, ["--link-listen", f"{ip}:{link_inner}"])
            self.entries.append(part)
            self._stack.push_async_callback(part.kill)
        for number, labels in enumerate(self._worker_labels):
            ip = self._ip(3, number)
            settings = await self._settings(
                f"side-a-{number + 1}", "side", ip, {"control": f"{ip}:{control}"}, seeds, 40 + number
            )
            part = node.Node("agent", settings, self._folder, [])
            self.agents.append(part)
            self._stack.push_async_callback(part.kill)
            stand_in = worker.Worker(
                f"w{number + 1}", SERVICE, ip, app, f"http://{ip}:{control}", labels, self._duration_s, self.record
            )
            self.workers.append(stand_in)
            self._stack.push_async_callback(stand_in.close)
        self.session = await self._enter(aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True)))
        for part in (*self.entries, *self.agents):
            await part.start()
        for stand_in in self.workers:
            await stand_in.start()
        await self._wait_until_linked()

    async def __aexit__(self, *exception: object) -> None:
        await self._stack.__aexit__(None, None, None)
        if "REVIEW_KEEP_LOGS" not in os.environ:
            shutil.rmtree(self._folder, ignore_errors=True)

    async def _enter(self, context: Any) -> Any:
        return await self._stack.enter_async_context(context)

    async def _settings(
        self, name: str, kind: str, ip: str, listen: dict[str, str], seeds: list[str], number: int
    ) -> dict[str, Any]:
        address = (self._ip(9, number), self._ports[5])
        self.store_proxies[name] = await self._enter(proxy.Proxy(address, (self._ip(9, 0), self._ports[5])))
        settings = {
            "node": name, "role": "entry" if kind == "front" else "agent", "machine_class": kind, "ip": ip,
            "serves": ["front", "control"] if kind == "front" else ["side"], "zone": "a", "region": "r",
            "zones": {"a": "r"}, "listen": listen, "port_range": [self._ports[0], self._ports[0] + 15],
            "seeds": seeds[:3], "bootstrap": True, "in_tolerance": False, "data_dir": None, "discovery": "local",
            "entry": "vip", "heartbeat_ms": 1500, "bounds": BOUNDS, "control_mode": "rpc",
            "platform": {"address": f"{address[0]}:{address[1]}", "form": "log"},
        }  # fmt: skip
        if kind == "side":
            settings |= {"app": f"{ip}:{self._ports[4]}", "service": SERVICE}
        return settings

    def _ip(self, group: int, number: int) -> str:
        return f"127.{self._network}.{group}.{number + 1}"

    def agent_ip(self, number: int) -> str:
        """Address of an agent's machine."""
        return self._ip(3, number)

    def publish(self, routes: list[dict[str, object]]) -> None:
        """Write the next configuration; its version is acknowledged when this returns."""
        self._version += 7
        self.routes = routes
        self.store.put("keyed.op", "config", store.config(self._version, routes))
        self.record("config_acknowledged", version=self._version, routes=[each["path_prefix"] for each in routes])

    def front_url(self, entry: int) -> str:
        """URL of an entry's front, by way of the platform's forwarding."""
        return f"http://{self._ip(8, entry)}:{self._ports[1]}"

    async def _wait_until_linked(self) -> None:
        """Wait until every entry is linked to every agent and all workers are reported."""
        until = time.monotonic() + LINK_UP_TIMEOUT_S
        while time.monotonic() < until:
            links = min(len(self.entries), 3)  # agents of a deployment of more than four entries link to three of them
            linked = [part.log_text.count('"entry_linked"') for part in self.agents]
            served = [part.log_text.count('"agent_linked"') for part in self.entries]
            recovered = [part.log_text.count('"cause":"recovered"') for part in self.agents]
            if min(linked) >= links and min(served) >= 1 and min(recovered) >= 1:
                await asyncio.sleep(2.0)
                return
            for part in (*self.entries, *self.agents):
                if part.exit_code is not None:
                    raise CannotRunError(f"{part.name} ended with {part.exit_code}: {part.log_text[-500:]}")
            await asyncio.sleep(0.1)
        raise CannotRunError("entries and agents did not link")

    async def request(
        self,
        method: str,
        entry: int,
        job: str,
        body: object = None,
        deadline_s: float = 8.0,
        prefix: str = PREFIX,
        session: aiohttp.ClientSession | None = None,
    ) -> tuple[int, dict[str, Any]]:
        """Send one request of a client; the status is 0 if the connection broke or no answer came in time."""
        headers = {"Host": HOST, "Deadline-Ms": str(int(deadline_s * 1000))}
        self.record("sent", method=method, entry=self.entries[entry].name, path=prefix + job)
        status, reply = 0, {}
        try:
            async with (session or self.session).request(
                method, f"{self.front_url(entry)}{prefix}{job}", json=body, headers=headers,
                timeout=aiohttp.ClientTimeout(total=deadline_s),
            ) as response:  # fmt: skip
                content = await response.read()
                status, reply = response.status, json.loads(content) if content.startswith(b"{") else {}
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            reply = {"error": type(error).__name__}
        self.record(
            "answered", method=method, entry=self.entries[entry].name, path=prefix + job, status=status, body=reply
        )
        return status, reply


def route(prefix: str, service: str = SERVICE) -> dict[str, object]:
    """Return a route of the configuration."""
    return {
        "name": f"q{prefix.replace('/', '-')}", "host": HOST, "path_prefix": prefix, "service": service,
        "priority": 1, "attempts": 3, "slack_factor": 1.6, "target_latency_ms": 60,
    }  # fmt: skip


def job_body(spec: str, *steps: dict[str, Any]) -> dict[str, Any]:
    """Return the body of a job that need not be kept."""
    return {"spec": spec, "steps": list(steps), "best_effort": True}


def new_job_id() -> str:
    """Return a random job id of 16 hexadecimal digits."""
    return os.urandom(8).hex()


def _free_ports(count: int) -> list[int]:
    """Return ports that are free on the loopback addresses, below the range of ephemeral ports."""
    ports: list[int] = []
    candidate = 11_000 + os.getpid() * 37 % 18_000
    while len(ports) < count:
        candidate += 1
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind(("127.0.0.1", candidate))
            ports.append(candidate)
    return ports


async def _run(scenario: abc.Coroutine[None, None, bool]) -> bool:
    """Run a scenario; SIGTERM and SIGINT end it, and with it the processes that it started."""
    task = asyncio.create_task(scenario)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(MAX_RUN_S):
            return await task
    except asyncio.CancelledError as error:
        raise CannotRunError("ended by a signal") from error


def main(scenario: abc.Callable[[Record, bool], abc.Coroutine[None, None, bool]], folder: str) -> None:
    """Run a scenario, which returns whether the rule was broken, and exit with 1, 0 or 2 (could not run)."""
    record = Record(pathlib.Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record("scenario", trouble=has_trouble)
    try:
        is_broken = asyncio.run(_run(scenario(record, has_trouble)))
    except (CannotRunError, OSError, TimeoutError) as error:
        record("cannot_run", error=f"{type(error).__name__}: {error}")
        print(f"could not run: {error}")
        sys.exit(2)
    record("verdict", rule_broken=is_broken)
    print("rule broken" if is_broken else "rule held")
    sys.exit(1 if is_broken else 0)
