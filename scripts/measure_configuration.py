"""Measures the time from the acceptance of a change to its being in force at every entry and agent."""

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

from cactusgauge import configuration, ids, platform
from emulator import cluster

SETTLE_S = 3.0  # the bound of G8; what is not in force by then is missed


def _in_force_at(url: str, version: int) -> float:
    """Return the Unix time in seconds at which a process put a version, or a higher one, in force."""
    with urllib.request.urlopen(f"{url}/v1/events", timeout=10) as response:
        events = [json.loads(line) for line in response.read().splitlines()]
    found = [
        event["wall_s"]
        for event in events
        if event["kind"] == "config_in_force" and event["fields"]["version"] >= version
    ]
    return min(found, default=float("inf"))


async def _publish(log_url: str, workspace: str, changes: int, seed: int) -> dict[int, float]:
    """Publish changes one after the other; return the Unix time just before each version's append was sent."""
    generator = random.Random(seed)
    accepted: dict[int, float] = {}
    async with aiohttp.ClientSession() as session:
        log = configuration.ConfigLog(platform.HttpLogService(session, log_url))
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
            # The record that the append makes decides the change, so the delay includes the whole append.
            sent_at = time.time()
            version = await log.append_change(change)
            accepted[version] = sent_at
            await log.catch_up()
            assert log.state.version == version
            await asyncio.sleep(generator.uniform(0.5, 1.5))  # no fixed phase to the polls
    return accepted


def _report(kind: str, names: list[str], processes: cluster.Cluster, accepted: dict[int, float]) -> None:
    delays = [
        max(_in_force_at(processes[name].http_url, version) - at for name in names) for version, at in accepted.items()
    ]
    late = sum(delay > SETTLE_S for delay in delays)
    print(
        f"{kind}: {len(names)} processes, {len(delays)} changes: in force at the last one after "
        f"median {statistics.median(delays):.3f} s, maximum {max(delays):.3f} s; over {SETTLE_S:g} s: {late}"
    )


@click.command()
@click.option("--entries", default=4, show_default=True)
@click.option("--agents", default=4, show_default=True)
@click.option("--changes", default=60, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(entries: int, agents: int, changes: int, seed: int) -> None:
    """Start entries and agents, publish changes, and compare the events of all processes by the common clock."""
    with tempfile.TemporaryDirectory() as directory, cluster.Cluster(pathlib.Path(directory)) as processes:
        entry_names = [f"entry-{number}" for number in range(entries)]
        agent_names = [f"agent-{number}" for number in range(agents)]
        for name in entry_names:
            processes.start_entry(name)
        for number in range(agents):
            processes.start_worker(number)
        processes.wait_ready(*entry_names, *agent_names)
        log_url = processes[cluster.LOG_NAME].http_url
        accepted = asyncio.run(_publish(log_url, processes.workspace, changes, seed))
        time.sleep(SETTLE_S)
        _report("entries", entry_names, processes, accepted)
        _report("agents", agent_names, processes, accepted)


if __name__ == "__main__":
    main()
