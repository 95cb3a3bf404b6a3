"""Commands that submit and follow jobs."""

import click


@click.group()
def job() -> None:
    """Submit, wait for and cancel jobs."""
