"""The `cactusgauge` command for callers and operators."""

import click

from cactusgauge.console import (
    account_commands,
    config_commands,
    drain_command,
    explain_command,
    job_commands,
    load_command,
    status_command,
    timeline_command,
)


@click.group()
@click.version_option(package_name="cactusgauge")
def main() -> None:
    """Submit jobs to cactusgauge and operate it."""


for command in (
    job_commands.job,
    config_commands.config,
    status_command.status,
    drain_command.drain,
    explain_command.explain,
    timeline_command.show_timeline,
    load_command.load,
    account_commands.usage,
    account_commands.audit,
):
    main.add_command(command)


if __name__ == "__main__":
    main()
