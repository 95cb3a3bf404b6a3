"""Commands that publish and show configuration."""

import click


@click.group()
def config() -> None:
    """Check, publish and show configuration."""
