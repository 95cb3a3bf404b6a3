"""Commands that show usage and audit the accounting records."""

import asyncio
import datetime
import decimal
import json
import math
import pathlib
import sys
from typing import BinaryIO

import aiohttp
import click
import pydantic

from cactusgauge import accounting, exceptions, log_service
from cactusgauge.console import exit_codes, options, table

CENTS = 100  # per unit of currency

_records_option = click.option(
    "--records",
    "records_path",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    metavar="FILE",
    help="Exported accounting streams that are read instead of the log.",
)


def _parse_cost(context: click.Context, parameter: click.Parameter, text: str) -> int:
    try:
        cents = decimal.Decimal(text) * CENTS
    except decimal.InvalidOperation as error:
        raise click.BadParameter(f"{text!r}: an amount such as 1250.00 is expected") from error
    if not cents.is_finite() or cents < 0 or cents != int(cents):
        raise click.BadParameter(f"{text!r}: an amount with at most two decimals is expected")
    return int(cents)


@click.command()
@options.log_url
@_records_option
@options.since
@options.until
@click.option("--cost", "cents", default="0", callback=_parse_cost, metavar="AMOUNT", help="Shared cost to split.")
@click.option("--export", "export", type=click.File("wb"), metavar="FILE", help="Write the records to a file, too.")
@options.as_json
def usage(
    log_url: str | None,
    records_path: pathlib.Path | None,
    since: float | None,
    until: float | None,
    cents: int,
    export: BinaryIO | None,
    as_json: bool,
) -> None:
    """Show what each workspace consumed in a period, and its share of the shared cost.

    The shared cost is split in proportion to the task messages (assigns and results), which the records of both sides
    confirm. `audit --bill` verifies what --json prints.
    """
    period = _make_period(since, until)
    ledger, _ = _read_ledgers(log_url, records_path, period, export)
    bill = accounting.make_bill(ledger, period, cents)
    if as_json:
        click.echo(bill.model_dump_json())
    else:
        _print_bill(bill)


@click.command()
@options.log_url
@_records_option
@click.option(
    "--bill",
    "bill_path",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    metavar="FILE",
    help="Output of usage --json that is compared with the records.",
)
@options.as_json
def audit(
    log_url: str | None, records_path: pathlib.Path | None, bill_path: pathlib.Path | None, as_json: bool
) -> None:
    """Verify the accounting records and, with --bill, a bill, from the log alone.

    The accounts of entries and agents are compared with each other and with the usage reports of the workers.
    A violation cannot be explained by any fault; an open finding may be the effect of a fault, within a bound. Exit
    code 0 means that there are no violations, 1 that there are some.
    """
    bill = _load_bill(bill_path) if bill_path is not None else None
    ledger, reports = _read_ledgers(
        log_url, records_path, _make_period(bill.from_s, bill.to_s) if bill else accounting.Period()
    )
    findings = accounting.Audit(ledger).findings + accounting.WorkerAudit(ledger, reports).findings
    differences = _compare_bill(ledger, bill) if bill is not None else []
    violations = [finding for finding in findings if not finding.kind.is_open]
    if as_json:
        documents = [{**finding._asdict(), "kind": finding.kind.value} for finding in findings]
        click.echo(json.dumps({"findings": documents, "bill_differences": differences}))
    else:
        _print_findings(ledger, findings, differences)
    sys.exit(exit_codes.FAILED if violations or differences else exit_codes.COMPLETE)


def _read_ledgers(
    log_url: str | None, path: pathlib.Path | None, period: accounting.Period, export: BinaryIO | None = None
) -> tuple[accounting.AccountLedger, accounting.ReportLedger]:
    async def read_log(url: str) -> tuple[accounting.AccountLedger, accounting.ReportLedger]:
        async with aiohttp.ClientSession() as session:
            return await read_streams(log_service.HttpLogService(session, url))

    async def read_streams(log: log_service.LogService) -> tuple[accounting.AccountLedger, accounting.ReportLedger]:
        # Reports are read first: records written meanwhile then have no report yet, but no report lacks its records.
        reports = await accounting.ReportLedger.read(log, export_record)
        return await accounting.AccountLedger.read(log, period, export_record), reports

    def export_record(stream: str, record: log_service.LogRecord) -> None:
        if export is not None:
            export.write(accounting.FileAccountLog.format_line(stream, record))

    if path is None and log_url is None:
        raise click.UsageError("give --log-url or --records")
    try:
        if path is not None:
            return asyncio.run(read_streams(accounting.FileAccountLog(path)))
        return asyncio.run(read_log(str(log_url)))
    except exceptions.LogServiceError as error:
        raise click.UsageError(str(error)) if path is not None else click.ClickException(str(error)) from error


def _make_period(since: float | None, until: float | None) -> accounting.Period:
    return accounting.Period(-math.inf if since is None else since, math.inf if until is None else until)


def _load_bill(path: pathlib.Path) -> accounting.Bill:
    try:
        return accounting.Bill.model_validate_json(path.read_bytes())
    except pydantic.ValidationError as error:
        raise click.UsageError(f"{path} is not the output of usage --json") from error


def _compare_bill(ledger: accounting.AccountLedger, bill: accounting.Bill) -> list[str]:
    return accounting.make_bill(ledger, _make_period(bill.from_s, bill.to_s), bill.cents).differences(bill)


def _print_bill(bill: accounting.Bill) -> None:
    headers = ("WORKSPACE", "STARTS", "NOT RUN", "SLOT SECONDS", "TASK MESSAGES", "MESSAGES", "WASTED", "KB", "COST")
    rows = [
        (
            line.workspace,
            line.starts,
            line.refused,
            f"{line.slot_seconds:.1f}",
            line.task_messages,
            line.messages,
            line.wasted_messages,
            round(line.bytes / 1000),
            f"{line.cents / CENTS:.2f}",
        )
        for line in bill.lines
    ]
    click.echo(f"from {_format_time(bill.from_s)} to {_format_time(bill.to_s)}\n{table.format_table(headers, rows)}")
    for line in bill.lines:
        if line.unverified_starts:
            click.echo(
                f"{line.workspace}: up to {line.unverified_starts} starts more may belong to this period, "
                "as the first records are not on the log"
            )


def _print_findings(
    ledger: accounting.AccountLedger, findings: list[accounting.Finding], differences: list[str]
) -> None:
    for finding in sorted(findings, key=lambda each: each.kind.is_open):
        label = "open" if finding.kind.is_open else "VIOLATION"
        peer_text = f" with {finding.peer}" if finding.peer else ""
        click.echo(f"{label} {finding.kind.value}: {finding.process or 'unknown process'}{peer_text}")
        click.echo(f"  from {_format_time(finding.from_s)} to {_format_time(finding.to_s)}: {finding.message}")
        if finding.explanation:
            click.echo(f"  may be explained: {finding.explanation}")
    for difference in differences:
        click.echo(f"VIOLATION bill: {difference}")
    record_count = sum(chain.count for chain in ledger.chains.values())
    open_count = sum(finding.kind.is_open for finding in findings)
    violation_count = len(findings) - open_count + len(differences)
    click.echo(
        f"{record_count} records of {len(ledger.chains)} processes: "
        f"{violation_count} violations, {open_count} open findings"
    )


def _format_time(seconds: float | None) -> str:
    if seconds is None:
        return "-"
    return datetime.datetime.fromtimestamp(seconds, datetime.UTC).isoformat(timespec="seconds")
