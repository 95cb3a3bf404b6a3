"""The `load` command."""

import click


@click.command()
def load() -> None:
    """Generate a described load and report response times and messages."""
    raise click.ClickException("not available in this version")
