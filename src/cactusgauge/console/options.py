"""Options that several commands share."""

import datetime
import re
import time
import urllib.parse

import click

ENTRY_VARIABLE = "CACTUSGAUGE_ENTRY"
LOG_VARIABLE = "CACTUSGAUGE_LOG_URL"
WORKSPACE_VARIABLE = "CACTUSGAUGE_WORKSPACE"
DEFAULT_TIMEOUT_S = 130.0  # the default maximum deadline, plus time to fetch the answer or to hand sessions over
UNIT_SECONDS = {"s": 1, "m": 60, "h": 3600, "d": 86400}


def _parse_time(context: click.Context, parameter: click.Parameter, text: str | None) -> float | None:
    if text is None:
        return None
    relative = re.fullmatch(r"(\d+(?:\.\d+)?)([smhd])", text)
    if relative:
        return time.time() - float(relative[1]) * UNIT_SECONDS[relative[2]]
    try:
        parsed = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        message = f"{text!r}: a time such as 2026-12-04T04:10:00 (UTC) or an age such as 90s, 10m, 2h is expected"
        raise click.BadParameter(message) from error
    return parsed.replace(tzinfo=parsed.tzinfo or datetime.UTC).timestamp()


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
optional_entries = click.option(
    "--entry",
    "entries",
    multiple=True,
    envvar=ENTRY_VARIABLE,
    show_envvar=True,
    metavar="URL",
    callback=_check_urls,
    help="HTTP URL of an entry, through which the others are found; may be repeated.",
)
log_url = click.option(
    "--log-url", envvar=LOG_VARIABLE, show_envvar=True, metavar="URL", help="URL of the platform's log."
)
workspace = click.option(
    "--workspace", required=True, envvar=WORKSPACE_VARIABLE, show_envvar=True, metavar="NAME", help="Workspace."
)
since = click.option(
    "--since", callback=_parse_time, metavar="TIME", help="Only from this time (ISO 8601) or age (10m) on."
)
until = click.option("--until", callback=_parse_time, metavar="TIME", help="Only before this time or age.")
timeout = click.option(
    "--timeout",
    "timeout_s",
    type=click.FloatRange(min=0),
    default=DEFAULT_TIMEOUT_S,
    show_default=True,
    metavar="SECONDS",
    help="Stop waiting after this time.",
)
as_json = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
