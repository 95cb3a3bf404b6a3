"""The `drain` command."""

import asyncio
import json
import sys
from typing import NamedTuple

import click

from cactusgauge import client, operations_resource
from cactusgauge.console import exit_codes, options

POLL_INTERVAL_S = 0.2


class DrainResult(NamedTuple):
    """Result for one process; `problem` is empty if it has exited, or if it drains and --no-wait was given."""

    name: str
    url: str
    problem: str


@click.command()
@click.argument("names", nargs=-1, required=True, metavar="NAME...")
@options.entries
@options.timeout
@click.option("--no-wait", is_flag=True, help="Do not wait until the processes have ended.")
@options.as_json
def drain(names: tuple[str, ...], entries: tuple[str, ...], timeout_s: float, no_wait: bool, as_json: bool) -> None:
    """Stop entries or agents gracefully, one after the other.

    A draining process accepts no new work, finishes its current work and ends; its supervisor may restart it. Exit
    code 0 means that all have ended, 1 that some have not, 2 that a name is unknown and no process was drained.
    """
    results = asyncio.run(_drain_all(names, entries, None if no_wait else timeout_s))
    if as_json:
        click.echo(json.dumps([each._asdict() for each in results]))
    for each in results:
        if each.problem:
            click.echo(f"{each.name} ({each.url}): {each.problem}", err=True)
    sys.exit(exit_codes.FAILED if any(each.problem for each in results) else exit_codes.COMPLETE)


async def _drain_all(names: tuple[str, ...], entries: tuple[str, ...], timeout_s: float | None) -> list[DrainResult]:
    async with client.EntryClient() as http:
        known = {process.name: process for process in await client.ProcessDirectory(http).discover(entries)}
        unknown = [name for name in names if name not in known]
        if unknown:
            raise click.UsageError(f"no process named {', '.join(unknown)}; `cactusgauge status` lists all names")
        # One after another, so that an entry hands its sessions over to one that is not drained, if there is any.
        return [await _drain(http, known[name], timeout_s) for name in dict.fromkeys(names)]


async def _drain(http: client.EntryClient, process: client.ProcessState, timeout_s: float | None) -> DrainResult:
    if process.document is None:
        return DrainResult(process.name, process.url, "does not answer; it may have ended")
    url = f"{process.url}{operations_resource.DRAIN_PATH}"
    reply = await http.request("POST", url, process.incarnation.encode())
    if reply is None or reply.status != 202:
        return DrainResult(process.name, process.url, reply.message if reply is not None else "no reply; run it again")
    if sys.stderr.isatty():
        click.echo(f"{process.name} drains", err=True)
    if timeout_s is not None and not await _wait_until_ended(http, process, timeout_s):
        return DrainResult(
            process.name, process.url, f"still drains after {timeout_s:g} s; run it again to wait further"
        )
    return DrainResult(process.name, process.url, "")


async def _wait_until_ended(http: client.EntryClient, process: client.ProcessState, timeout_s: float) -> bool:
    deadline = asyncio.get_running_loop().time() + timeout_s
    url = f"{process.url}{operations_resource.STATUS_PATH}"
    while asyncio.get_running_loop().time() < deadline:
        # A process that does not answer has exited: a draining process serves its status until it exits.
        document = await http.get_document(url)
        if document is None or process._replace(document=document).incarnation != process.incarnation:
            return True
        await asyncio.sleep(POLL_INTERVAL_S)
    return False
