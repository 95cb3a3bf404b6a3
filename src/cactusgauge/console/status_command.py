"""The `status` command."""

import asyncio
import json
import sys
from typing import Any

import click

from cactusgauge import client
from cactusgauge import health as health_module
from cactusgauge.console import exit_codes, options, table


@click.command()
@options.entries
@options.as_json
def status(entries: tuple[str, ...], as_json: bool) -> None:
    """Show entries, agents, backend servers and queues.

    One entry is enough; it names the others. Exit code 0 means that every process known answers, 1 that some do not.
    """
    processes = asyncio.run(_discover(entries))
    if as_json:
        click.echo(json.dumps([process._asdict() for process in processes]))
    else:
        _print_tables(processes)
    sys.exit(exit_codes.COMPLETE if all(process.document for process in processes) else exit_codes.FAILED)


async def _discover(entries: tuple[str, ...]) -> list[client.ProcessState]:
    async with client.EntryClient() as http:
        return await client.ProcessDirectory(http).discover(entries)


def _print_tables(processes: list[client.ProcessState]) -> None:
    entries = [process for process in processes if process.role == "entry"]
    agents = [process for process in processes if process.role == "agent"]
    headers: tuple[str, ...] = ("ENTRY", "URL", "DATA CENTRE", "STATE", "CONFIG", "SESSIONS", "PEERS ALIVE")
    click.echo(table.format_table(headers, [_entry_row(entry) for entry in entries]))
    workspaces = [row for entry in entries for row in _workspace_rows(entry)]
    health = _health_by_agent(entries)
    if workspaces:
        headers = ("WORKSPACE", "ENTRY", "NEW SESSIONS AT", "OPEN JOBS", "QUEUED", "RUNNING", "WORKERS")
        click.echo("\n" + table.format_table(headers, sorted(workspaces)))
    if agents:
        headers = (
            "AGENT",
            "URL",
            "WORKSPACE",
            "DATA CENTRE",
            "STATE",
            "HEALTH",
            "SLOTS USED",
            "BACKEND SERVER",
            "LINKS",
        )
        click.echo("\n" + table.format_table(headers, [_agent_row(agent, health) for agent in agents]))
    elif any(entry.document for entry in entries):
        click.echo("\nno agent is known to these entries; check the agents' seeds")
    for process in processes:
        if process.document is None:
            name = "" if process.name == process.url else f" {process.name}"
            click.echo(f"{process.role}{name} does not answer at {process.url}", err=True)


def _state(document: dict[str, Any]) -> str:
    if document["draining"]:
        return "draining"
    return "ready" if document["ready"] else "not ready"


def _entry_row(entry: client.ProcessState) -> tuple[object, ...]:
    if entry.document is None:
        return entry.name, entry.url, "-", "no answer", "-", "-", "-"
    document = entry.document
    peers = document["peers"]
    alive = f"{sum(peer['alive'] for peer in peers)} of {len(peers)}"
    version = "-" if document["config_version"] is None else document["config_version"]
    data_centre = document["entry"]["data_centre"]
    return entry.name, entry.url, data_centre, _state(document), version, document["sessions"], alive


def _workspace_rows(entry: client.ProcessState) -> list[tuple[object, ...]]:
    return [
        (
            each["name"],
            entry.name,
            each["preferred_entry"] or "-",
            each["open_jobs"],
            each["queued"],
            each["running"],
            f"{sum(worker['available'] for worker in each['workers'])} of {len(each['workers'])} available",
        )
        for each in (entry.document["workspaces"] if entry.document else ())
    ]


def _health_by_agent(entries: list[client.ProcessState]) -> dict[str, str]:
    """Return the health of each worker by agent, naming the entries that do not consider it healthy."""
    unhealthy_by_agent: dict[str, list[str]] = {}
    for entry in entries:
        for each in entry.document["workspaces"] if entry.document else ():
            for worker in each["workers"]:
                unhealthy = unhealthy_by_agent.setdefault(worker["agent"], [])
                if worker["health"] != health_module.HealthState.HEALTHY.value:
                    unhealthy.append(f"{worker['health']} at {entry.name}")
    return {
        name: ", ".join(found) or health_module.HealthState.HEALTHY.value for name, found in unhealthy_by_agent.items()
    }


def _agent_row(agent: client.ProcessState, health: dict[str, str]) -> tuple[object, ...]:
    if agent.document is None:
        return agent.name, agent.url, agent.workspace, "-", "no answer", health.get(agent.name, "-"), "-", "-", "-"
    document = agent.document
    server = document["backend_server"]
    state = _state(document) if server or document["draining"] else "no backend server"
    return (
        agent.name,
        agent.url,
        document["workspace"],
        document["data_centre"],
        state,
        health.get(agent.name, "-"),
        f"{document['running']} of {document['slots']}",
        server["name"] if server else "-",
        len(document["links"]),
    )
