"""The `timeline` command."""

import asyncio
import math
import sys
from typing import TYPE_CHECKING

import click

from cactusgauge import client, timeline
from cactusgauge.console import exit_codes, options
from cactusgauge.timeline import event_filter

if TYPE_CHECKING:
    from collections import abc

POLL_INTERVAL_S = 0.5
# Two polls and a reply: by then, both the sending and the receiving of a message have been read, so that they can be
# printed in order.
ORDERING_DELAY_S = 1.2
DISCOVERY_INTERVAL_S = 5.0


@click.command(name="timeline")
@options.entries
@click.option("--job", default="", metavar="SESSION[/NUMBER]", help="Only this job, or all jobs of this session.")
@click.option("--worker", default="", metavar="AGENT", help="Only events of and about this worker.")
@click.option("--workspace", default="", metavar="NAME", help="Only this workspace.")
@options.since
@options.until
@click.option("--follow", is_flag=True, help="Go on with new events until interrupted.")
@click.option(
    "--format",
    "form",
    type=click.Choice(["text", "json", "html"]),
    default="text",
    show_default=True,
    help="Lines of text, JSON lines, or one HTML page.",
)
def show_timeline(
    entries: tuple[str, ...],
    job: str,
    worker: str,
    workspace: str,
    since: float | None,
    until: float | None,
    follow: bool,
    form: str,
) -> None:
    """Show the events of all processes in one order.

    Times are corrected for differences between clocks, and no message is shown as received before it was sent. Exit
    code 0 means that every process answered, 1 that the events of some are missing.
    """
    if follow and form == "html":
        raise click.UsageError("--follow prints text or json, not html")
    criteria = event_filter.Criteria(
        job, worker, workspace, -math.inf if since is None else since, math.inf if until is None else until
    )
    collector = _Collector(entries, criteria)
    try:
        asyncio.run(collector.follow(form) if follow else collector.show(form))
    except KeyboardInterrupt:
        sys.exit(exit_codes.COMPLETE)
    sys.exit(exit_codes.FAILED if collector.unreachable else exit_codes.COMPLETE)


class _Collector:
    """Reads the events of all processes into one timeline and prints the matching ones."""

    def __init__(self, entries: tuple[str, ...], criteria: event_filter.Criteria) -> None:
        self._entries = entries
        self._feeds: dict[str, timeline.EventFeed] = {}
        self._timeline = timeline.Timeline()
        self._agent_workspaces: dict[str, str] = {}
        self._filter = timeline.EventFilter(criteria, self._agent_workspaces)
        self._unreachable: dict[str, str] = {}

    @property
    def unreachable(self) -> "abc.Collection[str]":
        """URLs of the processes that do not answer."""
        return self._unreachable

    async def show(self, form: str) -> None:
        """Print all matching events that the processes hold now."""
        async with client.EntryClient() as http:
            await self._discover(http)
            await self._read_feeds()
        matching = [ordered for ordered in self._timeline.pop_ordered() if self._filter.matches(ordered)]
        if form == "html":
            click.echo(timeline.HtmlPage(matching).render(), nl=False)
        else:
            self._print(matching, form)

    async def follow(self, form: str) -> None:
        """Print events until interrupted, each ORDERING_DELAY_S after it was read."""
        loop = asyncio.get_running_loop()
        async with client.EntryClient() as http:
            discovered_at = -math.inf
            while True:
                if loop.time() - discovered_at > DISCOVERY_INTERVAL_S:
                    await self._discover(http)
                    discovered_at = loop.time()
                await self._read_feeds()
                popped = self._timeline.pop_ordered(loop.time() - ORDERING_DELAY_S)
                self._print([ordered for ordered in popped if self._filter.matches(ordered)], form)
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _discover(self, http: client.EntryClient) -> None:
        for process in await client.ProcessDirectory(http).discover(self._entries):
            if process.url not in self._feeds:
                self._feeds[process.url] = timeline.EventFeed(http, process)
            if process.role == "agent":
                self._agent_workspaces[process.name] = process.workspace

    async def _read_feeds(self) -> None:
        feeds = list(self._feeds.values())
        for feed, events in zip(feeds, await asyncio.gather(*(feed.read() for feed in feeds)), strict=True):
            self._timeline.add(events, asyncio.get_running_loop().time())
            self._report_reachability(feed)

    def _report_reachability(self, feed: timeline.EventFeed) -> None:
        url, name = feed.process.url, feed.process.name
        if not feed.is_reachable and url not in self._unreachable:
            self._unreachable[url] = name
            click.echo(f"{name} does not answer at {url}; its events are missing", err=True)
        elif feed.is_reachable and url in self._unreachable:
            del self._unreachable[url]
            click.echo(f"{name} answers again", err=True)

    @staticmethod
    def _print(events: "abc.Iterable[timeline.OrderedEvent]", form: str) -> None:
        for ordered in events:
            click.echo(ordered.as_json() if form == "json" else ordered.as_text())
