"""Commands that publish and show configuration."""

import asyncio
import contextlib
import functools
import getpass
import json
import pathlib
import sys
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
import click

from cactusgauge import client, configuration, exceptions, log_service
from cactusgauge.console import exit_codes, options

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import settings


class Target(NamedTuple):
    """Addresses of the log and the entries, and the output format."""

    log_url: str | None
    entry_urls: tuple[str, ...]
    as_json: bool


class FileError(click.ClickException):
    """The configuration file cannot be read."""

    exit_code = exit_codes.USAGE


class UnavailableError(click.ClickException):
    """Neither the log nor an entry returned what the command needs; nothing was published."""

    exit_code = exit_codes.FAILED


class UnknownOutcomeError(click.ClickException):
    """It is unknown whether a change was accepted."""

    exit_code = exit_codes.UNKNOWN


class Connection:
    """Access to the log and the entries during one command."""

    def __init__(self, session: aiohttp.ClientSession, http: client.EntryClient, target: Target) -> None:
        self._target = target
        self._deployment = client.Deployment(http, target.entry_urls)
        self._log: configuration.ConfigLog | None = None
        if target.log_url is not None:
            self._log = configuration.ConfigLog(log_service.HttpLogService(session, target.log_url))

    @property
    def deployment(self) -> client.Deployment:
        """The deployment of the given entries; raises `UsageError` if no entry is given."""
        if not self._target.entry_urls:
            raise click.UsageError("--entry URL is needed")
        return self._deployment

    @property
    def log(self) -> configuration.ConfigLog:
        """The configuration log; raises `UsageError` if no log is given."""
        if self._log is None:
            raise click.UsageError("--log-url URL is needed")
        return self._log

    async def read_state(self) -> configuration.ConfigState:
        """Return the state from the log, or from an entry if the log is not given or not usable."""
        if self._log is None and not self._target.entry_urls:
            raise click.UsageError("--log-url URL or --entry URL is needed")
        failure = "no entry has a configuration"
        if self._log is not None:
            try:
                await self._read_log(self._log)
                return self._log.state
            except exceptions.LogServiceError as error:
                failure = str(error)
        state = configuration.ConfigState()
        document = await self._deployment.document()
        if document is None:
            raise UnavailableError(failure)
        state.adopt(document)
        return state

    async def read_log_state(self) -> configuration.ConfigState:
        """Return the state from the log; raise `UnavailableError` if the log cannot be read."""
        try:
            await self._read_log(self.log)
        except exceptions.LogServiceError as error:
            raise UnavailableError(f"{error}; nothing was published") from error
        return self.log.state

    async def _read_log(self, log: configuration.ConfigLog) -> None:
        try:
            await log.catch_up()
        except exceptions.LogGapError:
            document = await self._deployment.document()
            if document is None or not log.state.adopt(document):
                raise
            await log.catch_up()


@contextlib.asynccontextmanager
async def _connect(target: Target) -> "abc.AsyncIterator[Connection]":
    async with aiohttp.ClientSession() as session, client.EntryClient() as http:
        yield Connection(session, http, target)


_file_argument = click.argument("path", metavar="FILE", type=click.Path(path_type=pathlib.Path))
_timeout_option = click.option(
    "--timeout", "timeout_s", type=click.FloatRange(min=0), default=30.0, show_default=True, help="Seconds to wait."
)


def _with_target_options(command: "abc.Callable[..., None]") -> "abc.Callable[..., None]":
    """Add the options for the log, the entries and JSON output; the command gets them as one `Target`."""

    @options.log_url
    @options.optional_entries
    @options.as_json
    @functools.wraps(command)
    def run_command(log_url: str | None, entries: tuple[str, ...], as_json: bool, **parameters: Any) -> None:
        command(Target(log_url, entries, as_json), **parameters)

    return run_command


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def _check_length(context: click.Context, parameter: click.Parameter, value: str | None) -> str | None:
    if value is not None and not 1 <= len(value) <= configuration.MAX_ID_CHARS:
        raise click.BadParameter(f"1 to {configuration.MAX_ID_CHARS} characters are expected")
    return value


@click.group()
def config() -> None:
    """Check, publish and show configuration.

    Exit codes: 0 done; 1 differences found, an entry behind, or no answer and nothing published; 2 wrong usage or
    findings in the file; 3 refused; 4 outcome unknown; 5 accepted but not in force at every entry in time.
    """


@config.command()
@_file_argument
@_with_target_options
def check(target: Target, path: pathlib.Path) -> None:
    """Check FILE, on top of the published configuration if --log-url or --entry is given."""

    async def run() -> configuration.Catalogue:
        async with _connect(target) as connection:
            return (await connection.read_state()).catalogue

    is_offline = target.log_url is None and not target.entry_urls
    published = configuration.Catalogue() if is_offline else asyncio.run(run())
    _load_file(target, path, published)
    _print_output(target, {"file": str(path), "findings": []}, [f"{path}: ok"])


@config.command()
@_file_argument
@_with_target_options
def diff(target: Target, path: pathlib.Path) -> None:
    """Show what FILE would change; exit with 1 if it would change anything."""

    async def run() -> configuration.ConfigState:
        async with _connect(target) as connection:
            return await connection.read_state()

    state = asyncio.run(run())
    change = _load_file(target, path, state.catalogue).make_change(state, "diff", "diff")
    rows = _find_differences(state, change) if change else []
    lines = [f"{row['name']} (version {row['version']}): {row['path']}: {row['old']} -> {row['new']}" for row in rows]
    _print_output(
        target, {"version": state.version, "differences": rows}, lines or [f"no difference to version {state.version}"]
    )
    sys.exit(exit_codes.FAILED if rows else exit_codes.COMPLETE)


@config.command()
@_file_argument
@click.option(
    "--author", default=_user_name, callback=_check_length, help="Name in the history; your user name by default."
)
@click.option(
    "--base",
    "reviewed",
    type=click.IntRange(min=0),
    help="Version that you reviewed; the change is refused if one of its names was changed since.",
)
@click.option(
    "--change-id", callback=_check_length, help="Id of an earlier attempt, to look up its outcome or to repeat it."
)
@_timeout_option
@_with_target_options
def publish(
    target: Target, path: pathlib.Path, author: str, reviewed: int | None, change_id: str | None, timeout_s: float
) -> None:
    """Publish FILE, wait for the verdict, and with --entry wait until it is in force at every entry."""
    sys.exit(asyncio.run(_publish(target, path, author, reviewed, change_id, timeout_s)))


async def _publish(
    target: Target, path: pathlib.Path, author: str, reviewed: int | None, change_id: str | None, timeout_s: float
) -> int:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    async with _connect(target) as connection:
        state = await connection.read_log_state()
        verdict = state.find_verdict(change_id) if change_id else None
        if verdict is None:
            file = _load_file(target, path, state.catalogue)
            change = file.make_change(state, author, change_id or configuration.new_change_id(), reviewed)
            if change is None:
                _print_output(target, {"outcome": "unchanged", "version": state.version}, ["nothing to change"])
                return 0
            try:
                verdict = await configuration.ConfigPublisher(connection.log).publish(change, timeout_s)
            except exceptions.PublishError as error:
                raise UnknownOutcomeError(str(error)) from error
        if not verdict.is_accepted:
            _report_refusal(target, state, verdict)
            return exit_codes.REFUSED
        if not target.entry_urls:
            entries = []
        else:
            entries = await connection.deployment.wait_for_version(verdict.offset, max(0.0, deadline - loop.time()))
    accepted = f"version {verdict.offset} is accepted (change {verdict.id})"
    document = {"outcome": "accepted", "version": verdict.offset, "change_id": verdict.id}
    return _report_entries(target, document, accepted, entries, verdict.offset)


@config.command()
@click.option("--everywhere", is_flag=True, help="Show the version at every entry and agent.")
@_with_target_options
def show(target: Target, everywhere: bool) -> None:
    """Show the templates, the workspaces and the resulting settings."""

    async def run() -> tuple[configuration.ConfigState, list[client.ProcessVersion]]:
        async with _connect(target) as connection:
            state = await connection.read_state()
            return state, await connection.deployment.process_versions() if everywhere else []

    state, processes = asyncio.run(run())
    configs = state.configuration.workspaces if state.configuration else {}
    document: dict[str, Any] = {
        "version": state.version,
        "through": state.through,
        "catalogue": state.catalogue.model_dump(mode="json"),
        "settings": {name: each.model_dump(mode="json") for name, each in configs.items()},
    }
    lines = [f"version {state.version} (log read through offset {state.through})"]
    for name, template in sorted(state.catalogue.templates.items()):
        lines.append(f"template {name} (version {state.version_of(f'templates.{name}')}): {template.model_dump_json()}")
    for workspace, each in sorted(configs.items()):
        version = state.version_of(f"workspaces.{workspace}")
        template_name = state.catalogue.workspaces[workspace].template
        lines.append(f"workspace {workspace} (version {version}, template {template_name}):")
        lines += [f"  {key}: {value}" for key, value in each.model_dump(mode="json", exclude={"name"}).items()]
    if everywhere:
        document["processes"] = [each._asdict() for each in processes]
        lines += [_process_line(each, state.version) for each in processes]
    _print_output(target, document, lines)
    # Agents do not count: one that is gone, or whose workspace was removed, never reaches the version.
    in_force = all(each.has_at_least(state.version) for each in processes if each.role == "entry")
    sys.exit(exit_codes.COMPLETE if in_force else exit_codes.FAILED)


@config.command()
@click.option("--limit", type=click.IntRange(min=1), default=20, show_default=True, help="Number of changes to show.")
@_with_target_options
def history(target: Target, limit: int) -> None:
    """Show the latest changes and their outcomes, newest first."""

    async def run() -> configuration.ConfigState:
        async with _connect(target) as connection:
            return await connection.read_state()

    verdicts = asyncio.run(run()).verdicts[::-1][:limit]
    lines = [
        f"{each.offset}\t{each.outcome.value}\t{each.author}\t{each.id}\t{', '.join(each.names)}"
        + (f"\t{each.reason}" if each.reason else "")
        for each in verdicts
    ]
    _print_output(target, {"changes": [each.model_dump(mode="json") for each in verdicts]}, lines or ["no changes yet"])


@config.command()
@click.option("--version", type=int, help="Version to wait for; the latest on the log by default.")
@_timeout_option
@_with_target_options
def wait(target: Target, version: int | None, timeout_s: float) -> None:
    """Wait until a version is in force at every entry."""

    async def run() -> tuple[int, list[client.ProcessVersion]]:
        async with _connect(target) as connection:
            awaited = version if version is not None else (await connection.read_state()).version
            return awaited, await connection.deployment.wait_for_version(awaited, timeout_s)

    awaited, entries = asyncio.run(run())
    sys.exit(_report_entries(target, {"version": awaited}, f"version {awaited}", entries, awaited))


def _load_file(target: Target, path: pathlib.Path, published: configuration.Catalogue) -> configuration.ConfigFile:
    try:
        file = configuration.ConfigFile(path)
    except exceptions.SettingsError as error:
        raise FileError(str(error)) from error
    findings = file.findings(published)
    if findings:
        _report_findings(target, findings)
        sys.exit(exit_codes.USAGE)
    return file


def _report_findings(target: Target, findings: "list[settings.Finding]") -> None:
    if target.as_json:
        click.echo(json.dumps({"findings": [each._asdict() for each in findings]}))
        return
    for each in findings:
        click.echo(str(each), err=True)


def _report_refusal(target: Target, state: configuration.ConfigState, verdict: configuration.Verdict) -> None:
    conflicting = [each for each in state.verdicts if each.offset in verdict.lost_to]
    document = {
        "outcome": verdict.outcome.value,
        "change_id": verdict.id,
        "reason": verdict.reason,
        "lost_to": [each.model_dump(mode="json") for each in conflicting],
    }
    conflicts = "".join(f"; lost to version {each.offset} by {each.author} (change {each.id})" for each in conflicting)
    if target.as_json:
        click.echo(json.dumps(document))
    else:
        click.echo(f"refused as {verdict.outcome.value}: {verdict.reason}{conflicts}", err=True)


def _report_entries(
    target: Target, document: dict[str, Any], text: str, entries: list[client.ProcessVersion], version: int
) -> int:
    """Print where the version is in force and return the exit code; without entries, that is not checked."""
    in_force = all(each.has_at_least(version) for each in entries) if target.entry_urls else None
    document = {**document, "entries": [each._asdict() for each in entries], "in_force_everywhere": in_force}
    _print_output(target, document, [text, *(_process_line(each, version) for each in entries)])
    return exit_codes.RUNNING if in_force is False else exit_codes.COMPLETE


def _process_line(process: client.ProcessVersion, version: int) -> str:
    if process.version is None:
        return f"{process.role} {process.name} ({process.url}): does not answer"
    state = "in force" if process.has_at_least(version) else "not in force"
    return f"{process.role} {process.name} ({process.url}): {state} (version {process.version})"


def _find_differences(state: configuration.ConfigState, change: configuration.ChangeRecord) -> list[dict[str, Any]]:
    """Return a row for each value that a change would alter, with its old and new value."""
    rows = []
    old = {"templates": state.catalogue.templates, "workspaces": state.catalogue.workspaces}
    new = {"templates": change.templates, "workspaces": change.workspaces}
    for name in change.names:
        kind, _, key = name.partition(".")
        before, after = _flatten(old[kind].get(key)), _flatten(new[kind].get(key))  # type: ignore[attr-defined]
        for path in sorted(before.keys() | after.keys()):
            if before.get(path) != after.get(path):
                values = {"old": before.get(path), "new": after.get(path)}
                rows.append({"name": name, "version": state.version_of(name), "path": path, **values})
    return rows


def _flatten(model: configuration.Template | configuration.WorkspaceEntry | None) -> dict[str, Any]:
    """Return the values in nested mappings by dotted path; lists stay whole."""
    values_by_path: dict[str, Any] = {}

    def visit(path: str, value: Any) -> None:
        if isinstance(value, dict):
            for key, child in value.items():
                visit(f"{path}.{key}" if path else key, child)
        else:
            values_by_path[path] = value

    visit("", model.model_dump(mode="json") if model else {})
    return values_by_path


def _print_output(target: Target, document: dict[str, Any], lines: list[str]) -> None:
    click.echo(json.dumps(document) if target.as_json else "\n".join(lines))
