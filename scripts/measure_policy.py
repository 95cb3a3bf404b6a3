"""Measures scheduling policies on loopback with real entries and workers and the generator of `cactusgauge load`.

By default, there are one entry and the workers of the mix. Each arm, which is a pair of an ordering and a placement,
runs in new processes. The arms of a case run one after the other with the same mix and seed.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import time
from typing import Any

import click

from cactusgauge import configuration, ids, load
from emulator import cluster

ENTRY = "entry-1"
MIX_DIRECTORY = pathlib.Path(__file__).parent.parent / "examples" / "mixes"
SERVER_SLOTS = 8
MAX_STARTS = 3
SETTLE_S = 1.5  # time for the first announcements and heartbeats
SECOND_WORKSPACE = ids.WorkspaceName("criers")


class PolicyCluster(cluster.Cluster):
    """Processes whose initial configuration contains the given workspace settings and a second workspace."""

    def __init__(self, directory: pathlib.Path, workspace_settings: dict[str, Any]) -> None:
        super().__init__(directory)
        self._workspace_settings = workspace_settings

    def _first_change(self) -> configuration.ChangeRecord:
        change = super()._first_change()
        templates = {
            name: template.model_copy(update={"settings": {**template.settings, **self._workspace_settings}})
            for name, template in change.templates.items()
            if template is not None
        }
        workspaces = {**change.workspaces, SECOND_WORKSPACE: change.workspaces[ids.WorkspaceName(self._workspace)]}
        base = {**change.base, f"workspaces.{SECOND_WORKSPACE}": -1}
        return change.model_copy(update={"templates": templates, "workspaces": workspaces, "base": base})


@click.command()
@click.option("--mix", "mix_name", default="deployment", show_default=True, help="Name of a mix in examples/mixes.")
@click.option(
    "--loads",
    default="0.5,0.8,0.95",
    show_default=True,
    help="Shares of the capacity; if empty, the load of the mix.",
)
@click.option(
    "--arm",
    "arms",
    multiple=True,
    default=("arrival/any_free", "fewest_remaining/wait_for_faster"),
    show_default=True,
    help="ORDERING/PLACEMENT; may be repeated.",
)
@click.option("--duration", type=float, help="Seconds of arrivals per run, instead of the duration of the mix.")
@click.option("--seeds", default="7", show_default=True, help="Seeds, separated by commas.")
@click.option("--worker", "faulty", multiple=True, help="NUMBER=OPTIONS for one backend server, such as '5=--fail 1'.")
@click.option("--set", "overrides", default="{}", help="Additional workspace settings as a JSON object.")
@click.option("--output", type=click.Path(path_type=pathlib.Path), help="File to which each run appends a JSON line.")
@click.option(
    "--entries",
    "entry_counts",
    default="1",
    show_default=True,
    help="Numbers of entries, separated by commas; with suffix '-spread' each entry owns its share of the sessions.",
)
@click.option(
    "--beside", help="Mix of a second workspace with its own workers at the same entries; it is not in the results."
)
@click.option("--profile", is_flag=True, help="Also print the CPU time of the entry.")
def main(
    mix_name: str,
    loads: str,
    arms: tuple[str, ...],
    duration: float | None,
    seeds: str,
    faulty: tuple[str, ...],
    overrides: str,
    output: pathlib.Path | None,
    entry_counts: str,
    beside: str | None,
    profile: bool,
) -> None:
    """Run every arm at every load and seed, alternating between the arms and the numbers of entries."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # the exception lets the context managers end the processes
    mix_path = MIX_DIRECTORY / f"{mix_name}.yaml"
    options = {int(number): text.split() for number, _, text in (each.partition("=") for each in faulty)}
    load_shares: list[float | None] = [float(text) for text in loads.split(",") if text]
    for load_share in load_shares or [None]:
        for seed in [int(text) for text in seeds.split(",")]:
            for arm, entries in itertools.product(arms, entry_counts.split(",")):
                ordering, _, placement = arm.partition("/")
                workspace_settings = {"ordering": ordering, "placement": placement, **json.loads(overrides)}
                result = _measure(mix_path, load_share, seed, duration, workspace_settings, options, entries, beside)
                result |= {"arm": arm, "entries": entries, "faulty": list(faulty), "overrides": overrides}
                click.echo(_format_result(result, profile))
                if output is not None:
                    with output.open("a") as output_file:
                        output_file.write(json.dumps(result) + "\n")


def _measure(
    mix_path: pathlib.Path,
    load_share: float | None,
    seed: int,
    duration: float | None,
    workspace_settings: dict[str, Any],
    faulty: dict[int, list[str]],
    entries: str,
    beside: str | None,
) -> dict[str, Any]:
    mix = load.MixLoader(mix_path).load()
    second_mix = None
    if beside is not None:
        second_mix = (
            load.MixLoader(MIX_DIRECTORY / f"{beside}.yaml").load().model_copy(update={"workspace": SECOND_WORKSPACE})
        )
    with contextlib.ExitStack() as stack:
        count, _, spread = entries.partition("-")
        names = [f"entry-{number + 1}" for number in range(int(count))]
        processes = _start_processes(stack, mix, workspace_settings, faulty, names, second_mix)
        time.sleep(SETTLE_S)
        machine_load = os.getloadavg()[0]
        entry_pid = processes[ENTRY].process.pid
        cpu_before = _cpu_s(entry_pid)
        result = _run_load(processes, names, mix, load_share, seed, duration, bool(spread), second_mix)
        result["entry_cpu_s"] = round(_cpu_s(entry_pid) - cpu_before, 2)
        result["machine_load"] = [round(machine_load, 1), round(os.getloadavg()[0], 1)]
        result["slowness"] = {
            worker["agent"]: worker["slowness"]
            for worker in processes.get_json(ENTRY, "/v1/status")["workspaces"][0]["workers"]
        }
        reports = processes.server_reports()
        result["starts"] = {report["name"]: len(report["starts"]) for report in reports}
        result["duplicate_starts"] = sum(count - 1 for count in processes.starts().values())
        result["slots_exceeded"] = sum(report["max_running"] > SERVER_SLOTS for report in reports)
        result["quarantines"] = _count_events(processes, "worker_quarantined")
        return result


def _start_processes(
    stack: contextlib.ExitStack,
    mix: load.Mix,
    workspace_settings: dict[str, Any],
    faulty: dict[int, list[str]],
    entries: list[str],
    second_mix: load.Mix | None,
) -> PolicyCluster:
    """Start all processes; retry if one does not become ready, as another process may have taken its port."""
    for _ in range(MAX_STARTS):
        directory = pathlib.Path(tempfile.mkdtemp(prefix="measure-"))
        processes = PolicyCluster(directory, workspace_settings)
        try:
            for name in entries:
                processes.start_entry(name, workspaces=[mix.workspace, SECOND_WORKSPACE])
            for number, speed in enumerate(mix.fleet.speeds):
                options = ["--speed", str(speed), "--seed", str(number), *faulty.get(number, [])]
                processes.start_worker(number, *options)
            own_count, second_speeds = len(mix.fleet.speeds), second_mix.fleet.speeds if second_mix is not None else []
            for number, speed in enumerate(second_speeds, own_count):
                processes.start_worker(number, "--speed", str(speed), "--seed", str(number), workspace=SECOND_WORKSPACE)
            processes.wait_ready(*entries)
            for name in entries:
                processes.wait_linked(name, own_count + len(second_speeds))
                processes.wait_peers(name, len(entries) - 1)
            _check_servers(processes, own_count + len(second_speeds))
        except TimeoutError as error:
            click.echo(str(error), err=True)
            processes.__exit__()
            continue
        stack.callback(shutil.rmtree, directory)
        return stack.enter_context(processes)
    raise click.ClickException(f"the processes did not become ready in {MAX_STARTS} attempts")


def _check_servers(processes: PolicyCluster, count: int) -> None:
    """Raise `TimeoutError` if two backend servers got the same port, as one of them then responds for both."""
    names = {report["name"] for report in processes.server_reports()}
    if len(names) != count:
        raise TimeoutError(f"only {len(names)} of {count} backend servers respond under their own names")


def _count_events(processes: cluster.Cluster, kind: str) -> float:
    rows = processes.get_json(ENTRY, "/v1/status")["counters"]
    return float(sum(value for name, _, _, value in rows if name == kind))


def _run_load(
    processes: cluster.Cluster,
    entries: list[str],
    mix: load.Mix,
    load_share: float | None,
    seed: int,
    duration: float | None,
    spreads_sessions: bool,
    second_mix: load.Mix | None,
) -> dict[str, Any]:
    given = {"load": load_share, "seed": seed, "duration_s": duration}
    changes = {name: value for name, value in given.items() if value is not None}
    changed = load.Mix.model_validate({**mix.model_dump(), **changes})
    urls = [processes[name].http_url for name in entries]
    return asyncio.run(_generate_load(changed, urls, spreads_sessions, second_mix))


async def _generate_load(
    mix: load.Mix, urls: list[str], spreads_sessions: bool, second_mix: load.Mix | None
) -> dict[str, Any]:
    before = await load.MessageCounts.read(urls)
    generators = [load.LoadGenerator(mix, load.draw_plan(mix), urls, spreads_sessions)]
    if second_mix is not None:
        generators.append(load.LoadGenerator(second_mix, load.draw_plan(second_mix), urls, spreads_sessions))
    records, *_ = await asyncio.gather(*(each.run() for each in generators))
    counts = (await load.MessageCounts.read(urls)).since(before)
    return load.WorkspaceReport.build(mix, records, counts).as_dict()


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _format_result(result: dict[str, Any], profile: bool) -> str:
    jobs = " ".join(f"{count} {state}" for state, count in result["jobs"].items() if count)
    line = (
        f"{result['mix']} load {result['load']:g} seed {result['seed']} {result['arm']} "
        f"entries {result['entries']}: "
        f"mean {result['ratio_mean']:.2f} p50 {result['ratio_p50']:.2f} p99 {result['ratio_p99']:.2f} "
        f"max {result['ratio_max']:.2f}; {jobs}; {result['messages_per_task']:.2f} messages/task, "
        f"wasted {result['wasted_share']:.2%}; duplicates {result['duplicate_starts']}; "
        f"servers over their slots {result['slots_exceeded']}; "
        f"machine load {result['machine_load']}"
    )
    if result["quarantines"]:
        line += f"; quarantines {result['quarantines']:.0f}"
    if profile:
        line += f"; entry CPU {result['entry_cpu_s']} s; {result['starts']} {result['slowness']} {result['details']}"
    return line


if __name__ == "__main__":
    main()
