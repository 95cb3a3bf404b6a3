"""The `load` command."""

import asyncio
import json
import pathlib
from typing import Any

import aiohttp
import click

from cactusgauge import exceptions
from cactusgauge import load as load_module


@click.command()
@click.argument(
    "mix_paths", metavar="MIX...", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path, dir_okay=False)
)
@click.option("--entry", "entry_urls", multiple=True, required=True, help="HTTP URL of an entry; may be repeated.")
@click.option("--load", "load_share", type=float, help="Share of the fleet's capacity, instead of the mix's.")
@click.option("--duration", "duration_s", type=float, help="Seconds of arrivals, instead of the mix's.")
@click.option("--seed", type=int, help="Seed, instead of the mix's.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON document.")
@click.option(
    "--plot",
    "plot_path",
    type=click.Path(path_type=pathlib.Path, dir_okay=False),
    help="File for a plot of all jobs: .svg (self-contained) or .csv.",
)
def load(
    mix_paths: tuple[pathlib.Path, ...],
    entry_urls: tuple[str, ...],
    load_share: float | None,
    duration_s: float | None,
    seed: int | None,
    as_json: bool,
    plot_path: pathlib.Path | None,
) -> None:
    """Run the load described by each MIX against running entries, and report per workspace.

    Jobs are submitted at their planned times whether or not earlier ones were answered (open loop), and response
    times count from the planned time. The reported ratio is the response time over the ideal time. The ideal time of
    a job is its longest task on the fastest worker, or its total work over the total capacity of the mix's fleet,
    whichever is longer. Ratios cover complete jobs that arrive after the warm-up.

    Messages are those that the entries count: sent and received, including heartbeats and control messages. A message
    is wasted if it was useless to its receiver: repeated or late results, and both messages of a refused start.
    A submission whose reply is lost counts as unknown and is never repeated.
    """
    if plot_path is not None and plot_path.suffix not in (".svg", ".csv"):
        raise click.UsageError(f"--plot {plot_path}: a name that ends in .svg or .csv is expected")
    overrides = {"load": load_share, "duration_s": duration_s, "seed": seed}
    try:
        mixes = [_apply_overrides(load_module.MixLoader(path).load(), overrides) for path in mix_paths]
        runs = asyncio.run(_run(mixes, [url.rstrip("/") for url in entry_urls]))
    except (exceptions.SettingsError, aiohttp.ClientError, OSError) as error:
        raise click.ClickException(str(error)) from error
    reports = [report for report, _ in runs]
    if as_json:
        click.echo(json.dumps([report.as_dict() for report in reports], indent=2))
    else:
        click.echo("\n".join(report.as_text() for report in reports))
    if plot_path is not None:
        records = [record for _, job_records in runs for record in job_records]
        title = ", ".join(report.mix for report in reports)
        is_svg = plot_path.suffix == ".svg"
        plot_path.write_text(load_module.plot_svg(title, records) if is_svg else load_module.plot_csv(records))


def _apply_overrides(mix: load_module.Mix, overrides: dict[str, Any]) -> load_module.Mix:
    given = {name: value for name, value in overrides.items() if value is not None}
    return load_module.Mix.model_validate({**mix.model_dump(), **given})


async def _run(
    mixes: list[load_module.Mix], entry_urls: list[str]
) -> list[tuple[load_module.WorkspaceReport, list[load_module.JobRecord]]]:
    before = await load_module.MessageCounts.read(entry_urls)
    generators = [load_module.LoadGenerator(mix, load_module.draw_plan(mix), entry_urls) for mix in mixes]
    results = await asyncio.gather(*(generator.run() for generator in generators))
    counts = (await load_module.MessageCounts.read(entry_urls)).since(before)
    return [
        (load_module.WorkspaceReport.build(mix, records, counts), records)
        for mix, records in zip(mixes, results, strict=True)
    ]
