"""Command that exports the accounting records from the platform's store."""

import asyncio
import pathlib
import sys

import aiohttp
import click

from cactusgauge import accounting, exceptions
from cactusgauge.accounting import account_ledger, file_account_log
from cactusgauge.platform import store, store_log

EXIT_UNAVAILABLE = 3


@click.command()
@click.option("--store", "url", required=True, metavar="URL", help="URL of the store, as http://IP:PORT.")
@click.argument("path", type=click.Path(dir_okay=False, path_type=pathlib.Path), metavar="FILE")
def main(url: str, path: pathlib.Path) -> None:
    """Write all accounting records to FILE, for `cactusgauge usage --records FILE` and `cactusgauge audit`."""
    try:
        count = asyncio.run(_export(url, path))
    except exceptions.LogServiceError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_UNAVAILABLE)
    click.echo(f"{count} records written to {path}")


async def _export(url: str, path: pathlib.Path) -> int:
    count = 0
    async with aiohttp.ClientSession() as session:
        log = store_log.StoreLog(store.Store(session, url), "export")
        with path.open("wb") as file:
            async for record in account_ledger.read_stream(log, accounting.STREAM):
                file.write(file_account_log.FileAccountLog.format_line(accounting.STREAM, record))
                count += 1
    return count
