"""Measures how CPU, memory and traffic of each role grow with load, and generates the tables of docs/CAPACITY.md.

Real entry and agent processes run on loopback; this process simulates their peers. Every slope is a least-squares
fit over at least three sizes.
"""

import asyncio
import json
import pathlib
import statistics
import sys
import tempfile
import time
from typing import Any, NamedTuple

import aiohttp
import click
import psutil
from websockets.asyncio import client, server

from cactusgauge import ids, jobs, observability, wire
from emulator import cluster

CAPACITY_PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"
BEGIN_MARK = "<!-- measured: begin -->"
END_MARK = "<!-- measured: end -->"
WORKSPACE = ids.WorkspaceName("cheese")
SETTLE_S = 2.0
WINDOW_S = 8.0
IDLE_WINDOW_S = 15.0  # three heartbeats of an idle link
AGENT_COUNTS = (10, 40, 120)
ENTRY_LINK_COUNTS = (1, 3, 9)
PEER_COUNTS = (1, 3, 6)
TASK_RATES = (200, 400, 800)
TASKS_PER_JOB = 20
HELD_JOBS = (100, 300, 900)
RUN_MS = 50
MAX_SLOTS = 64
WORKERS = 11
SEGMENT_OVERHEAD_BYTES = 54  # IP and TCP headers with timestamps, and the shortest WebSocket header

TARGET_WORKERS = 570
TARGET_STARTS_PER_S = 21_000
TARGET_ENTRIES = 14  # two in each of seven data centres
TARGET_LINKS_PER_AGENT = 3
TARGET_CONFIG_CHANGES_PER_DAY = 730
MAX_CPU_PERCENT = 4.4
MAX_MEMORY_MB = 256
MAX_TRAFFIC_KB_PER_S = 7
SECONDS_PER_DAY = 86_400


class Sample(NamedTuple):
    """One measurement: load size, CPU seconds per second, resident memory in MB, and frames and bytes per second."""

    size: float
    cpu: float
    memory_mb: float
    frames_per_s: float
    bytes_per_s: float


class LinearFit(NamedTuple):
    """A line fitted to samples."""

    slope: float
    intercept: float

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit(samples: list[Sample], field: str) -> LinearFit:
    """Return the least-squares line of one field over the sizes of the samples."""
    line = statistics.linear_regression([each.size for each in samples], [getattr(each, field) for each in samples])
    return LinearFit(line.slope, line.intercept)


class FakeAgent:
    """The agent's side of the link protocol; each task ends after RUN_MS."""

    def __init__(self, number: int, codec: wire.FrameCodec) -> None:
        self._hello = wire.AgentHello(
            wire.PROTOCOL_VERSION,
            ids.AgentName(f"agent-{number}"),
            ids.new_agent_incarnation(),
            WORKSPACE,
            ids.DataCentreName("serra"),
            8,
            f"http://{cluster.HOST}:{number}",
        )
        self._codec = codec
        self._last_assign = 0
        self._last_result = 0

    async def run(self, url: str) -> None:
        """Serve one link until cancelled."""
        connection = await client.connect(url, compression=None, ping_interval=None, proxy=None)
        counters = observability.Counters()
        async with wire.Link(connection, self._codec, counters, lambda: wire.Heartbeat(self._last_assign, 0)) as link:
            link.post(self._hello)
            await link.receive()
            link.post(wire.Resume(0, 8, True, 1))
            link.set_active(False)
            while True:
                message = await link.receive()
                if isinstance(message, wire.Assign):
                    self._last_assign = message.number
                    for start in message.starts:
                        asyncio.get_running_loop().call_later(RUN_MS / 1000, self._send_outcome, link, start)

    def _send_outcome(self, link: wire.Link, start: wire.Start) -> None:
        self._last_result += 1
        state = jobs.TaskState.COMPLETED.value
        outcome = wire.Outcome(start.session, start.number, start.task, state, "", b"ok", RUN_MS)
        link.post(wire.Results(self._last_result, self._last_assign, 8, [outcome]))


class FakeEntry:
    """The entry's side of the link protocol, on a port of its own."""

    def __init__(self, number: int, codec: wire.FrameCodec) -> None:
        self._codec = codec
        self._port = cluster.free_port()
        self._info = wire.EntryInfo(
            ids.EntryName(f"fake-{number}"),
            ids.new_entry_incarnation(),
            f"ws://{cluster.HOST}:{self._port}",
            "http://127.0.0.1:1",
            ids.DataCentreName("serra"),
            [WORKSPACE],
            1.0,
            True,
        )
        self._last_assign = 0
        self._last_result = 0
        self.link: wire.Link | None = None
        self._is_peer = False

    @property
    def link_url(self) -> str:
        """URL to which agents and entries connect."""
        return self._info.link_url

    async def run(self) -> None:
        """Serve links until cancelled."""
        async with server.serve(
            self._serve, cluster.HOST, self._port, compression=None, ping_interval=None
        ) as listener:
            await listener.serve_forever()

    async def _serve(self, connection: server.ServerConnection) -> None:
        counters = observability.Counters()
        async with wire.Link(connection, self._codec, counters, self._heartbeat) as link:
            hello = await link.receive()
            if isinstance(hello, wire.PeerHello):
                self._is_peer = True
                link.post(wire.PeerHello(wire.PROTOCOL_VERSION, self._info, 0, []))
            else:
                link.post(wire.Welcome(wire.PROTOCOL_VERSION, self._info.name, self._info.incarnation, 0, [self._info]))
                await link.receive()
                link.post(wire.AgentConfig(1, MAX_SLOTS))
                link.set_active(False)
            self.link = link
            while True:
                message = await link.receive()
                if isinstance(message, wire.Results):
                    self._last_result = message.number

    def _heartbeat(self) -> wire.Message:
        return wire.PeerBeat(True, 0) if self._is_peer else wire.Heartbeat(self._last_result, 0)

    async def start_tasks(self, rate: float, seconds: float, session: ids.SessionId) -> None:
        """Send starts at a constant rate, each in its own `Assign`."""
        loop = asyncio.get_running_loop()
        payload = json.dumps({"run_ms": RUN_MS})
        began = loop.time()
        for count in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, began + count / rate - loop.time()))
            assert self.link is not None
            self._last_assign += 1
            start = wire.Start(session, count // 20, count % 20, 20, b"d", "default", payload, False, 30_000)
            self.link.post(wire.Assign(self._last_assign, self._last_result, 0, [start]))


class ProcessMeter:
    """Measures the CPU, memory and traffic of one process."""

    def __init__(self, processes: cluster.Cluster, name: str) -> None:
        self._processes = processes
        self._name = name
        self._process = psutil.Process(processes[name].process.pid)

    async def sample(self, size: float, window_s: float = WINDOW_S) -> Sample:
        """Return the mean rates over a time window and the memory at its end."""
        before, cpu_before, began = await self._traffic(), self._cpu(), time.monotonic()
        await asyncio.sleep(window_s)
        cpu, elapsed = self._cpu() - cpu_before, time.monotonic() - began
        after = await self._traffic()
        memory_mb = self._process.memory_info().rss / 1e6
        return Sample(
            size,
            cpu / elapsed,
            memory_mb,
            (after[0] - before[0]) / elapsed,
            (after[1] - before[1]) / elapsed,
        )

    def _cpu(self) -> float:
        times = self._process.cpu_times()
        return float(times.user + times.system)

    async def _traffic(self) -> tuple[float, float]:
        status = await asyncio.to_thread(self._processes.get_json, self._name, "/v1/status")
        rows = status["counters"]
        frames = sum(row[3] for row in rows if row[0] in ("messages_sent", "messages_received"))
        byte_count = sum(row[3] for row in rows if row[0] in ("bytes_sent", "bytes_received"))
        return frames, byte_count


def _link_url(processes: cluster.Cluster, name: str) -> str:
    entry = processes.get_json(name, "/v1/status")["entry"]
    url: str = entry["link_url"]
    return url


async def _start_entry(processes: cluster.Cluster, name: str, **overrides: Any) -> ProcessMeter:
    processes.start_entry(name, **overrides)
    await asyncio.to_thread(processes.wait_ready, name)
    return ProcessMeter(processes, name)


async def _link_agents(processes: cluster.Cluster, name: str, count: int) -> list[asyncio.Task[None]]:
    codec = wire.FrameCodec()
    url = await asyncio.to_thread(_link_url, processes, name)
    agents = [asyncio.create_task(FakeAgent(number, codec).run(url)) for number in range(count)]
    await asyncio.to_thread(processes.wait_linked, name, count)
    return agents


async def measure_entry_links(processes: cluster.Cluster) -> list[Sample]:
    """Measure an idle entry by the number of linked agents."""
    samples = []
    for count in AGENT_COUNTS:
        name = f"entry-links-{count}"
        meter = await _start_entry(processes, name)
        agents = await _link_agents(processes, name, count)
        await asyncio.sleep(SETTLE_S)
        samples.append(await meter.sample(count, IDLE_WINDOW_S))
        await _cancel_tasks(agents)
        processes.kill_and_remove(name)
    return samples


def _start_fake_entries(count: int) -> tuple[list[FakeEntry], list[asyncio.Task[None]]]:
    """Start fake entries; return them and the tasks that run them."""
    codec = wire.FrameCodec()
    entries = [FakeEntry(number, codec) for number in range(count)]
    return entries, [asyncio.create_task(entry.run()) for entry in entries]


async def measure_entry_peers(processes: cluster.Cluster) -> list[Sample]:
    """Measure an idle entry by the number of other entries."""
    samples = []
    for count in PEER_COUNTS:
        peers, tasks = _start_fake_entries(count)
        name = f"entry-peers-{count}"
        meter = await _start_entry(processes, name, seeds=[peer.link_url for peer in peers])
        await asyncio.sleep(SETTLE_S)
        samples.append(await meter.sample(count, IDLE_WINDOW_S))
        processes.kill_and_remove(name)
        await _cancel_tasks(tasks)
    return samples


async def measure_entry_tasks(processes: cluster.Cluster) -> list[Sample]:
    """Measure an entry by the task rate, with jobs of TASKS_PER_JOB tasks."""
    name = "entry-tasks"
    meter = await _start_entry(processes, name)
    agents = await _link_agents(processes, name, WORKERS)
    samples = []
    async with aiohttp.ClientSession() as session:
        for rate in TASK_RATES:
            driver = asyncio.create_task(_submit_jobs(session, processes[name].http_url, rate / TASKS_PER_JOB))
            await asyncio.sleep(SETTLE_S)
            samples.append(await meter.sample(rate))
            await _cancel_tasks([driver])
            await asyncio.sleep(1.0)
    await _cancel_tasks(agents)
    processes.kill_and_remove(name)
    return samples


async def measure_held_jobs(processes: cluster.Cluster) -> list[Sample]:
    """Measure an entry's memory by the number of tasks of finished jobs that it keeps for resubmissions."""
    samples = []
    for count in HELD_JOBS:
        name = f"entry-held-{count}"
        meter = await _start_entry(processes, name)
        agents = await _link_agents(processes, name, WORKERS)
        async with aiohttp.ClientSession() as session:
            base = f"{processes[name].http_url}/v1/workspaces/{WORKSPACE}/sessions"
            for _ in range(count // 50):
                session_id = await _open_session(session, base)
                await asyncio.gather(*(_submit_job(session, base, session_id, number) for number in range(50)))
        samples.append(await meter.sample(count * TASKS_PER_JOB, window_s=1.0))
        await _cancel_tasks(agents)
        processes.kill_and_remove(name)
    return samples


async def measure_agent_links(processes: cluster.Cluster) -> list[Sample]:
    """Measure an idle agent by the number of linked entries."""
    samples = []
    for count in ENTRY_LINK_COUNTS:
        entries, tasks = _start_fake_entries(count)
        name = f"agent-links-{count}"
        processes.start_agent(name, seeds=[entry.link_url for entry in entries], links_per_agent=count)
        meter = ProcessMeter(processes, name)
        await asyncio.sleep(SETTLE_S * 2)
        samples.append(await meter.sample(count, IDLE_WINDOW_S))
        processes.kill_and_remove(name)
        await _cancel_tasks(tasks)
    return samples


async def measure_agent_tasks(processes: cluster.Cluster) -> list[Sample]:
    """Measure an agent by the task rate, with an emulated backend server over real HTTP."""
    (entry,), serving = _start_fake_entries(1)
    processes.start_agent("agent-tasks", seeds=[entry.link_url], slots=MAX_SLOTS)
    processes.start_backend_server("server-tasks", "agent-tasks", "--speed", "1")
    await asyncio.to_thread(processes.wait_ready, "agent-tasks")
    meter = ProcessMeter(processes, "agent-tasks")
    while entry.link is None:
        await asyncio.sleep(0.05)
    samples = []
    for round_number, rate in enumerate((25, 50, 100)):
        session = ids.SessionId(f"{'0' * 16}-{round_number}")
        driver = asyncio.create_task(entry.start_tasks(rate, WINDOW_S + 2 * SETTLE_S, session))
        await asyncio.sleep(SETTLE_S)
        samples.append(await meter.sample(rate))
        await driver
    await _cancel_tasks(serving)
    return samples


async def _submit_jobs(session: aiohttp.ClientSession, http_url: str, jobs_per_s: float) -> None:
    base = f"{http_url}/v1/workspaces/{WORKSPACE}/sessions"
    session_id = await _open_session(session, base)
    loop = asyncio.get_running_loop()
    began = loop.time()
    pending: set[asyncio.Task[None]] = set()
    number = 0
    try:
        while True:
            await asyncio.sleep(max(0.0, began + number / jobs_per_s - loop.time()))
            task = asyncio.create_task(_submit_job(session, base, session_id, number))
            pending.add(task)
            task.add_done_callback(pending.discard)
            number += 1
    finally:
        await asyncio.gather(*pending, return_exceptions=True)


async def _open_session(session: aiohttp.ClientSession, base: str) -> str:
    async with session.post(base) as response:
        session_id: str = (await response.json())["session"]
        return session_id


async def _submit_job(session: aiohttp.ClientSession, base: str, session_id: str, number: int) -> None:
    tasks = [{"payload": json.dumps({"run_ms": RUN_MS, "entry": index})} for index in range(TASKS_PER_JOB)]
    async with session.put(f"{base}/{session_id}/jobs/{number}?wait=30", json={"tasks": tasks}) as response:
        assert response.status == 200, await response.text()


async def _cancel_tasks(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def measure() -> dict[str, list[Sample]]:
    """Run all measurements one after the other."""
    measurements = {
        "entry, idle, by linked agents": measure_entry_links,
        "entry, idle, by other entries": measure_entry_peers,
        "entry, by tasks a second": measure_entry_tasks,
        "entry, by finished tasks held": measure_held_jobs,
        "agent, idle, by linked entries": measure_agent_links,
        "agent, by tasks a second": measure_agent_tasks,
    }
    results = {}
    for title, measurement in measurements.items():
        with tempfile.TemporaryDirectory() as directory, cluster.Cluster(pathlib.Path(directory)) as processes:
            results[title] = await measurement(processes)
        print(title, *results[title], sep="\n  ", file=sys.stderr)
    return results


def render(results: dict[str, list[Sample]]) -> str:
    """Return the tables of the measurements and of the target size in Markdown."""
    lines = [
        "| measurement | sizes | CPU µs/s at zero | CPU µs/s per unit | MB at zero | KB per unit | frames/s per unit "
        "| bytes/s per unit |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for title, samples in results.items():
        cpu, memory = fit(samples, "cpu"), fit(samples, "memory_mb")
        frames, traffic = fit(samples, "frames_per_s"), fit(samples, "bytes_per_s")
        sizes = ", ".join(f"{each.size:g}" for each in samples)
        lines.append(
            f"| {title} | {sizes} | {cpu.intercept * 1e6:.0f} | {cpu.slope * 1e6:.1f} | {memory.intercept:.1f} "
            f"| {memory.slope * 1e3:.2f} | {frames.slope:.2f} | {traffic.slope:.1f} |"
        )
    return "\n".join([*lines, "", *_render_target(results)])


def _render_target(results: dict[str, list[Sample]]) -> list[str]:
    links = TARGET_WORKERS * TARGET_LINKS_PER_AGENT / TARGET_ENTRIES
    peers = TARGET_ENTRIES - 1
    by_agents, by_peers = results["entry, idle, by linked agents"], results["entry, idle, by other entries"]
    by_links = results["agent, idle, by linked entries"]
    entry_cpu = fit(by_agents, "cpu").value_at(links) + fit(by_peers, "cpu").slope * peers
    entry_bytes = _wire_bytes(by_agents, links) + _wire_bytes(by_peers, peers)
    entry_memory = fit(by_agents, "memory_mb").value_at(links) + fit(by_peers, "memory_mb").slope * peers
    agent_cpu = fit(by_links, "cpu").value_at(TARGET_LINKS_PER_AGENT)
    agent_bytes = _wire_bytes(by_links, TARGET_LINKS_PER_AGENT)
    agent_memory = fit(by_links, "memory_mb").value_at(TARGET_LINKS_PER_AGENT)
    entry_tasks, agent_tasks = TARGET_STARTS_PER_S / TARGET_ENTRIES, TARGET_STARTS_PER_S / TARGET_WORKERS
    entry_task_cpu = fit(results["entry, by tasks a second"], "cpu").slope
    agent_task_cpu = fit(results["agent, by tasks a second"], "cpu").slope
    return [
        f"At the target: {TARGET_WORKERS} agents with {TARGET_LINKS_PER_AGENT} links each over {TARGET_ENTRIES} "
        f"entries, so {links:.0f} agent links and {peers} peers an entry; {entry_tasks:.0f} starts/s an entry and "
        f"{agent_tasks:.0f} starts/s an agent.",
        "",
        "| control, idle | entry | agent | limit | met |",
        "|---|---|---|---|---|",
        _format_row("CPU, % of a core", entry_cpu * 100, agent_cpu * 100, MAX_CPU_PERCENT),
        _format_row("memory, MB", entry_memory, agent_memory, MAX_MEMORY_MB),
        _format_row("traffic with headers, KB/s", entry_bytes / 1e3, agent_bytes / 1e3, MAX_TRAFFIC_KB_PER_S),
        "",
        "| task traffic at the peak | entry | agent |",
        "|---|---|---|",
        f"| CPU µs per task | {entry_task_cpu * 1e6:.0f} | {agent_task_cpu * 1e6:.0f} |",
        f"| CPU, % of a core | {entry_task_cpu * entry_tasks * 100:.0f} | {agent_task_cpu * agent_tasks * 100:.1f} |",
        f"| starts/s at which one core is full | {1 / entry_task_cpu:.0f} | {1 / agent_task_cpu:.0f} |",
    ]


def _wire_bytes(samples: list[Sample], size: float) -> float:
    payload, frames = fit(samples, "bytes_per_s").slope, fit(samples, "frames_per_s").slope
    return size * (payload + frames * SEGMENT_OVERHEAD_BYTES)


def _format_row(title: str, entry: float, agent: float, limit: float) -> str:
    met = "yes" if max(entry, agent) <= limit else "no"
    return f"| {title} | {entry:.2f} | {agent:.2f} | {limit:g} | {met} |"


@click.command()
@click.option("--write", is_flag=True, help="Replace the measured tables in docs/CAPACITY.md.")
def main(write: bool) -> None:
    """Run all measurements and print the tables."""
    tables = render(asyncio.run(measure()))
    print(tables)
    if write:
        text = CAPACITY_PAGE.read_text()
        head, _, rest = text.partition(BEGIN_MARK)
        _, _, tail = rest.partition(END_MARK)
        CAPACITY_PAGE.write_text(f"{head}{BEGIN_MARK}\n{tables}\n{END_MARK}{tail}")


if __name__ == "__main__":
    main()
