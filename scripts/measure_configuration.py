"""Measures the time from the append of a configuration change until it is in force at every entry and agent."""

import asyncio
import json
import pathlib
import random
import statistics
import tempfile
import time
import urllib.request

import aiohttp
import click

from cactusgauge import configuration, ids, log_service, wire
from emulator import cluster

CHANGES_PER_DAY = 730
SECONDS_PER_DAY = 86_400
TARGET_AGENTS = 122  # agents linked to one entry; see docs/CAPACITY.md
TARGET_PEERS = 13  # other entries linked to one entry
FRAME_OVERHEAD_BYTES = 54  # IP, TCP and WebSocket headers
MAX_DELAY_S = 3.0  # the bound of G8 in docs/design.md; a change that is not in force by then counts as late


def _in_force_at(url: str, version: int) -> float:
    """Return the Unix time in seconds at which a process first put this version or a higher one in force."""
    with urllib.request.urlopen(f"{url}/v1/events", timeout=10) as response:
        events = [json.loads(line) for line in response.read().splitlines()]
    found = [
        event["wall_s"]
        for event in events
        if event["kind"] == "config_in_force" and event["fields"]["version"] >= version
    ]
    return min(found, default=float("inf"))


async def _publish(log_url: str, workspace: str, changes: int, seed: int) -> dict[int, float]:
    """Publish changes one after the other; return, by version, the Unix time just before its append was sent."""
    generator = random.Random(seed)
    append_times: dict[int, float] = {}
    async with aiohttp.ClientSession() as session:
        log = configuration.ConfigLog(log_service.HttpLogService(session, log_url))
        for number in range(changes):
            await log.catch_up()
            name = ids.WorkspaceName(workspace)
            key = f"templates.{cluster.TEMPLATE}"
            change = configuration.ChangeRecord(
                id=f"{name}-{number}",
                author="measurement",
                through=log.state.through,
                base={key: log.state.version_of(key)},
                templates={cluster.TEMPLATE: configuration.Template(settings={"slots": 1 + number % 8})},
            )
            # A change is accepted by the append of its record, so the delay includes the whole append.
            sent_at = time.time()
            version = await log.append_change(change)
            append_times[version] = sent_at
            await log.catch_up()
            assert log.state.version == version
            await asyncio.sleep(generator.uniform(0.5, 1.5))  # avoids a fixed phase relative to the polls
    return append_times


def _print_delays(kind: str, names: list[str], processes: cluster.Cluster, append_times: dict[int, float]) -> None:
    delays = [
        max(_in_force_at(processes[name].http_url, version) - sent_at for name in names)
        for version, sent_at in append_times.items()
    ]
    late = sum(delay > MAX_DELAY_S for delay in delays)
    print(
        f"{kind}: {len(names)} processes, {len(delays)} changes: in force at the last one after "
        f"median {statistics.median(delays):.3f} s, maximum {max(delays):.3f} s; over {MAX_DELAY_S:g} s: {late}"
    )


def _sum_counter(processes: cluster.Cluster, entries: list[str], counter: str, label: str) -> float:
    rows = [row for name in entries for row in processes.get_json(name, "/v1/status")["counters"]]
    return sum(float(value) for name, _, row_label, value in rows if (name, row_label) == (counter, label))


def _print_traffic(processes: cluster.Cluster, entries: list[str], changes: int) -> None:
    """Print the measured traffic of a change and the traffic that it implies at the target size."""
    agent_config_bytes = _sum_counter(processes, entries, "bytes_sent", "AgentConfig") / _sum_counter(
        processes, entries, "messages_sent", "AgentConfig"
    )
    peer_beat_bytes = len(wire.FrameCodec().encode(wire.PeerBeat(True, changes)))
    document = processes.get_json(entries[0], configuration.CONFIGURATION_PATH)
    to_agents = TARGET_AGENTS * (agent_config_bytes + FRAME_OVERHEAD_BYTES)
    to_peers = TARGET_PEERS * (peer_beat_bytes + FRAME_OVERHEAD_BYTES)
    per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    print(
        f"a change: {agent_config_bytes:.0f} bytes to each agent and {peer_beat_bytes} to each peer, with "
        f"{FRAME_OVERHEAD_BYTES} of headers each; at {TARGET_AGENTS} agents, {TARGET_PEERS} peers and "
        f"{CHANGES_PER_DAY} changes a day: "
        f"{per_s * (to_agents + to_peers):.0f} bytes/s sent by an entry, "
        f"{per_s * 3 * (agent_config_bytes + FRAME_OVERHEAD_BYTES):.1f} received by an agent with 3 links; "
        f"the whole state has {len(json.dumps(document))} bytes"
    )


@click.command()
@click.option("--entries", default=4, show_default=True)
@click.option("--agents", default=4, show_default=True)
@click.option("--changes", default=60, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(entries: int, agents: int, changes: int, seed: int) -> None:
    """Start entries and agents, publish changes, and print the delays; all processes share the machine's clock."""
    with tempfile.TemporaryDirectory() as directory, cluster.Cluster(pathlib.Path(directory)) as processes:
        entry_names = [f"entry-{number}" for number in range(entries)]
        agent_names = [f"agent-{number}" for number in range(agents)]
        for name in entry_names:
            processes.start_entry(name)
        for number in range(agents):
            processes.start_worker(number)
        processes.wait_ready(*entry_names, *agent_names)
        log_url = processes[cluster.LOG_NAME].http_url
        append_times = asyncio.run(_publish(log_url, processes.workspace, changes, seed))
        time.sleep(MAX_DELAY_S)
        _print_delays("entries", entry_names, processes, append_times)
        _print_delays("agents", agent_names, processes, append_times)
        _print_traffic(processes, entry_names, changes)


if __name__ == "__main__":
    main()
