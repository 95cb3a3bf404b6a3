"""The `status` command."""

import click


@click.command()
def status() -> None:
    """Show entries, agents, backend servers and queues."""
    raise click.ClickException("not available in this version")
