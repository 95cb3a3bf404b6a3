"""The `timeline` command."""

import click


@click.command()
def timeline() -> None:
    """Show the events of all processes in one order."""
    raise click.ClickException("not available in this version")
