"""Commands that show and verify consumption."""

import click


@click.command()
def usage() -> None:
    """Show what each workspace consumed."""
    raise click.ClickException("not available in this version")


@click.command()
def audit() -> None:
    """Verify the accounting records on the log."""
    raise click.ClickException("not available in this version")
