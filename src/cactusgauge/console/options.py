"""Options that several commands share."""

import urllib.parse

import click

ENTRY_VARIABLE = "CACTUSGAUGE_ENTRY"
WORKSPACE_VARIABLE = "CACTUSGAUGE_WORKSPACE"


def _check_urls(context: click.Context, parameter: click.Parameter, urls: tuple[str, ...]) -> tuple[str, ...]:
    for url in urls:
        parts = urllib.parse.urlsplit(url)
        if parts.scheme != "http" or not parts.hostname or parts.path not in ("", "/"):
            raise click.BadParameter(f"{url!r}: a URL of the form http://IP:PORT is expected")
    return tuple(dict.fromkeys(url.rstrip("/") for url in urls))


entries = click.option(
    "--entry",
    "entries",
    multiple=True,
    required=True,
    envvar=ENTRY_VARIABLE,
    show_envvar=True,
    metavar="URL",
    callback=_check_urls,
    help="HTTP URL of an entry; repeat it to name others that are asked when one does not answer.",
)
workspace = click.option(
    "--workspace", required=True, envvar=WORKSPACE_VARIABLE, show_envvar=True, metavar="NAME", help="Workspace."
)
as_json = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
