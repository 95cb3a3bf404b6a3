"""Commands that submit, wait for and cancel jobs."""

import asyncio
import json
import pathlib
import sys
import time
from typing import TYPE_CHECKING, Any, BinaryIO, NoReturn

import click
import pydantic

from cactusgauge import client, exceptions, ids
from cactusgauge.console import exit_codes, options
from cactusgauge.jobs import job_request

if TYPE_CHECKING:
    from collections import abc

PROGRESS_INTERVAL_S = 1.0
MAX_LISTED_TASKS = 20
MAX_FINDINGS = 10

_session_option = click.option("--session", metavar="ID", help="Session of the job.")
_session_file_option = click.option(
    "--session-file",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    metavar="FILE",
    help="File that keeps the session and its last job number between commands.",
)


@click.group()
def job() -> None:
    """Submit, wait for and cancel jobs.

    Exit codes: 0 complete, 1 failed, 2 usage error, 3 refused and nothing ran, 4 outcome unknown, 5 still running.
    """


@job.command()
@click.argument("file", type=click.File("rb"))
@options.entries
@options.workspace
@_session_option
@_session_file_option
@click.option("--number", type=click.IntRange(min=0), help="Job number within --session.")
@options.timeout
@click.option("--no-wait", is_flag=True, help="Return as soon as the job is accepted.")
@click.option("--results", is_flag=True, help="Print the result of every task.")
@options.as_json
def submit(
    file: BinaryIO,
    entries: tuple[str, ...],
    workspace: str,
    session: str | None,
    session_file: pathlib.Path | None,
    number: int | None,
    timeout_s: float,
    no_wait: bool,
    results: bool,
    as_json: bool,
) -> None:
    """Submit the job described in FILE (JSON; - for standard input) and wait for its answer.

    Without a session a new one is opened. The same session, number and FILE given again never run the job twice.
    """
    body = file.read()
    _check_body(file.name, body)
    _check_session(session, session_file, number)
    store = client.SessionFile(session_file, workspace) if session_file is not None else None

    async def run(jobs: client.JobClient) -> client.JobResult:
        async def open_new_session() -> client.JobRef:
            opened = await jobs.open_session(timeout_s)
            if store is not None:
                store.replace(opened)
            return client.JobRef(opened, 1, never_sent=True)

        reserved = store.reserve_number() if store is not None else None
        if session is not None and number is not None:
            first = client.JobRef(ids.SessionId(session), number)
        elif reserved is not None:
            first = client.JobRef(reserved.session, reserved.last_number, never_sent=True)
        else:
            first = await open_new_session()
        return await jobs.submit(first, body, timeout_s, open_new_session, wait=not no_wait)

    _run_request(run, entries, workspace, as_json, results, session_file)


@job.command()
@options.entries
@options.workspace
@_session_option
@_session_file_option
@click.option("--number", type=click.IntRange(min=0), help="Job number; the last one of --session-file if left out.")
@options.timeout
@click.option("--results", is_flag=True, help="Print the result of every task.")
@options.as_json
def wait(
    entries: tuple[str, ...],
    workspace: str,
    session: str | None,
    session_file: pathlib.Path | None,
    number: int | None,
    timeout_s: float,
    results: bool,
    as_json: bool,
) -> None:
    """Wait for the answer of a submitted job."""
    ref = _find_job(workspace, session, session_file, number)
    _run_request(lambda jobs: jobs.wait(ref, timeout_s), entries, workspace, as_json, results, session_file)


@job.command()
@options.entries
@options.workspace
@_session_option
@_session_file_option
@click.option("--number", type=click.IntRange(min=0), help="Job number; the last one of --session-file if left out.")
@options.timeout
@options.as_json
def cancel(
    entries: tuple[str, ...],
    workspace: str,
    session: str | None,
    session_file: pathlib.Path | None,
    number: int | None,
    timeout_s: float,
    as_json: bool,
) -> None:
    """Cancel a job: its queued tasks do not run, its running ones finish."""
    ref = _find_job(workspace, session, session_file, number)
    _run_request(lambda jobs: jobs.cancel(ref, timeout_s), entries, workspace, as_json, False, session_file)


def _check_body(name: str, body: bytes) -> None:
    try:
        job_request.JobBody.model_validate_json(body)
    except pydantic.ValidationError as error:
        findings = "; ".join(
            f"{'.'.join(str(part) for part in finding['loc']) or 'file'}: {finding['msg']}"
            for finding in error.errors(include_url=False, include_input=False)[:MAX_FINDINGS]
        )
        raise click.UsageError(f"{name} does not describe a job: {findings}") from error


def _check_session(session: str | None, session_file: pathlib.Path | None, number: int | None) -> None:
    if session is not None and session_file is not None:
        raise click.UsageError("give either --session or --session-file")
    if (session is None) != (number is None):
        raise click.UsageError("--session and --number belong together; leave out both to open a new session")


def _find_job(
    workspace: str, session: str | None, session_file: pathlib.Path | None, number: int | None
) -> client.JobRef:
    if (session is None) == (session_file is None):
        raise click.UsageError("give either --session with --number, or --session-file")
    if session_file is None:
        if session is None or number is None:
            raise click.UsageError("--session needs --number")
        return client.JobRef(ids.SessionId(session), number)
    if not session_file.exists():
        raise click.UsageError(f"session file {session_file} does not exist; job submit creates it")
    try:
        record = client.SessionFile(session_file, workspace).read()
    except exceptions.SettingsError as error:
        raise click.UsageError(str(error)) from error
    if record is None:
        raise click.UsageError(f"session file {session_file} holds no session")
    return client.JobRef(record.session, record.last_number if number is None else number)


def _run_request(
    request: "abc.Callable[[client.JobClient], abc.Awaitable[client.JobResult]]",
    entries: tuple[str, ...],
    workspace: str,
    as_json: bool,
    results: bool,
    session_file: pathlib.Path | None,
) -> NoReturn:
    started_at = time.monotonic()
    progress = _ProgressLine()

    async def run() -> client.JobResult:
        async with client.EntryClient() as http:
            poll_options = {"long_poll_s": PROGRESS_INTERVAL_S} if progress.is_shown else {}
            return await request(client.JobClient(http, entries, workspace, on_progress=progress.show, **poll_options))

    try:
        result = asyncio.run(run())
    except exceptions.SettingsError as error:
        raise click.UsageError(str(error)) from error
    except exceptions.RequestError as error:
        progress.clear()
        result = client.JobResult(client.Outcome.REFUSED, client.JobRef(ids.SessionId(""), 0), message=str(error))
    except KeyboardInterrupt:
        progress.clear()
        click.echo(f"interrupted{progress.hint}", err=True)
        sys.exit(exit_codes.UNKNOWN)
    progress.clear()
    if session_file is not None and result.answer is not None and result.answer.get("recovered"):
        client.SessionFile(session_file, workspace).mark_lost(result.job.session)
    if as_json:
        click.echo(json.dumps(_as_document(result)))
    else:
        _print(result, time.monotonic() - started_at, results)
    sys.exit(exit_codes.BY_OUTCOME[result.outcome])


def _as_document(result: client.JobResult) -> dict[str, Any]:
    document: dict[str, Any] = {"outcome": result.outcome.value}
    if result.job.session:
        document |= {"session": result.job.session, "job": result.job.number}
    if result.answer is not None:
        return {**document, **result.answer}
    ran = "nothing" if result.outcome is client.Outcome.REFUSED else "unknown"
    return {**document, "code": result.code, "message": result.message, "ran": ran}


def _print(result: client.JobResult, elapsed_s: float, results: bool) -> None:
    name = f"job {result.job.number} of session {result.job.session}"
    wait_command = f"job wait --session {result.job.session} --number {result.job.number}"
    if result.answer is not None:
        _print_answer(result, name, elapsed_s, results)
    elif result.outcome is client.Outcome.RUNNING:
        click.echo(f"{name}: accepted and not finished; get the answer with: cactusgauge {wait_command}")
    elif result.outcome is client.Outcome.REFUSED:
        code = f" ({result.code})" if result.code else ""
        click.echo(f"Error: refused, nothing ran: {result.message}{code}", err=True)
    else:
        click.echo(
            f"Error: {name}: outcome unknown: {result.message} ({result.code}); it may have run, "
            f"so do not submit it under another number; ask again with: cactusgauge {wait_command}",
            err=True,
        )


def _print_answer(result: client.JobResult, name: str, elapsed_s: float, results: bool) -> None:
    assert result.answer is not None
    tasks = result.answer["tasks"]
    counts: dict[str, int] = {}
    for task in tasks:
        counts[task["state"]] = counts.get(task["state"], 0) + 1
    state_counts = ", ".join(f"{count} {state}" for state, count in sorted(counts.items()))
    recovered = " (recovered from the agents' records)" if result.answer.get("recovered") else ""
    click.echo(f"{name}: {result.answer['state']}{recovered} in {elapsed_s:.2f} s, {len(tasks)} tasks: {state_counts}")
    if results:
        for task in tasks:
            click.echo(f"{task['index']}\t{task['state']}\t{task.get('result', task.get('result_base64', ''))}")
        return
    not_completed = [task for task in tasks if task["state"] != "completed"]
    for task in not_completed[:MAX_LISTED_TASKS]:
        click.echo(f"  task {task['index']}: {task['state']} {task.get('reason', '')}".rstrip())
    if len(not_completed) > MAX_LISTED_TASKS:
        click.echo(f"  and {len(not_completed) - MAX_LISTED_TASKS} more; --results or --json lists all tasks")


class _ProgressLine:
    """Progress line on standard error while the command waits; shown only on a terminal."""

    def __init__(self) -> None:
        self.is_shown = sys.stderr.isatty()
        self._started_at = time.monotonic()
        self._job: client.JobRef | None = None

    @property
    def hint(self) -> str:
        """Command to continue with after an interruption."""
        if self._job is None:
            return ""
        return f"; ask again with: cactusgauge job wait --session {self._job.session} --number {self._job.number}"

    def show(self, ref: client.JobRef, open_tasks: int | None) -> None:
        """Show the number of open tasks; None if it is not known yet."""
        self._job = ref
        if self.is_shown and open_tasks is not None:
            elapsed_s = time.monotonic() - self._started_at
            click.echo(f"\r\033[Kjob {ref.number}: {open_tasks} tasks open, {elapsed_s:.0f} s", nl=False, err=True)

    def clear(self) -> None:
        """Clear the line."""
        if self.is_shown and self._job is not None:
            click.echo("\r\033[K", nl=False, err=True)
