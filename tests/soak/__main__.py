"""Runs the soak test from the command line: `python -m tests.soak --seeds 1-50`."""

import asyncio
import logging
import pathlib
import sys
import tempfile
import time

import click

from tests.soak import soak


def _seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


@click.command()
@click.option("--seeds", default="", help="One seed or a range such as 1-50; by default, the current time.")
@click.option("--seconds", default=45.0, show_default=True, help="Duration of a run.")
@click.option("--entries", default=3, show_default=True)
@click.option("--agents", default=5, show_default=True)
@click.option("--jobs-per-s", default=8.0, show_default=True)
@click.option("--network", default=20, show_default=True, help="Second octet of the loopback addresses, 1 to 254.")
@click.option("--added/--no-added", default=True, help="With the faults that were added later.", show_default=True)
@click.option("--foreign/--no-foreign", default=True, help="With heartbeats of other writers.", show_default=True)
@click.option("--logs", type=click.Path(path_type=pathlib.Path), help="Directory for the logs of the processes.")
def main(
    seeds: str,
    seconds: float,
    entries: int,
    agents: int,
    jobs_per_s: float,
    network: int,
    added: bool,
    foreign: bool,
    logs: pathlib.Path | None,
) -> None:
    """Run the soak test with the given seeds; exit with 1 if a promise was broken."""
    size = soak.Size(entries, agents, jobs_per_s)
    root = logs or pathlib.Path(tempfile.mkdtemp(prefix="cactusgauge-soak-"))
    broken = False
    for seed in _seeds(seeds) if seeds else [int(time.time())]:
        folder = root / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        logging.disable(logging.CRITICAL)  # the fake servers log every connection that a fault breaks
        result = asyncio.run(soak.SoakRun(seed, seconds, size, folder, network, added, foreign).run())
        click.echo(
            f"seed {seed}: {result.jobs} jobs, {result.succeeded} succeeded, {result.refused} refused, "
            f"{len(result.findings)} findings; logs in {folder}"
        )
        for finding in result.findings[:20]:
            click.echo(f"  {finding.promise}: {finding.detail}")
        broken = broken or bool(result.findings)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
