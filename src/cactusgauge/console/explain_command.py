"""The `explain` command."""

import pathlib
import sys

import click

from cactusgauge.timeline import job_log

EXIT_NOT_FOUND = 1


@click.command(name="explain")
@click.argument("job", metavar="JOB")
@click.argument(
    "logs",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    metavar="LOG...",
)
def explain(job: str, logs: tuple[pathlib.Path, ...]) -> None:
    """Tell what happened to a job, from the logs of entries and agents.

    Lines are in the order of the processes' wall clocks, which may differ. Exit code 1 means that no line names the
    job.
    """
    lines = []
    for path in logs:
        with path.open(errors="replace") as file:
            lines += [line for line in map(job_log.parse_line, file) if line is not None]
    explanation = job_log.explain_job(job, lines)
    if not explanation:
        click.echo(f"none of {len(lines)} lines names job {job}; a job that succeeds may have been left out", err=True)
        sys.exit(EXIT_NOT_FOUND)
    for line in explanation:
        click.echo(str(line))
