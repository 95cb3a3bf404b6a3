"""The `cactusgauged` command, which runs one daemon."""

import asyncio
import logging as standard_logging
import pathlib
import signal
import sys

import aiohttp
import click
from absl import flags, logging

from cactusgauge import configuration, exceptions, log_service, settings
from cactusgauge.agent import agent_daemon
from cactusgauge.entry import entry_daemon

EXIT_INVALID_SETTINGS = 2
NOISY_LIBRARIES = ("uvicorn", "websockets")  # these log one line per connection


@click.command()
@click.option(
    "--settings",
    "settings_path",
    type=click.Path(path_type=pathlib.Path),
    required=True,
    help="YAML file with the settings of this process.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.version_option(package_name="cactusgauge")
def main(settings_path: pathlib.Path, check: bool) -> None:
    """Run one cactusgauge daemon: an entry or an agent, as the settings say."""
    _set_up_logging()
    try:
        process_settings = settings.SettingsLoader(settings_path).load()
        if check:
            click.echo(f"{settings_path}: ok")
            return
        asyncio.run(_run(process_settings))
    except exceptions.SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    except BaseExceptionGroup as group:
        settings_errors, other_errors = group.split(exceptions.SettingsError)
        if settings_errors is None or other_errors is not None:
            raise
        click.echo(str(settings_errors.exceptions[0]), err=True)
        sys.exit(EXIT_INVALID_SETTINGS)


def _set_up_logging() -> None:
    """Log state changes of this process to standard error; libraries log only warnings."""
    flags.FLAGS(["cactusgauged"])  # absl warns if a program does not parse its flags
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)
    for library in NOISY_LIBRARIES:
        standard_logging.getLogger(library).setLevel(standard_logging.WARNING)


async def _run(process_settings: settings.EntrySettings | settings.AgentSettings) -> None:
    async with aiohttp.ClientSession() as session:
        if isinstance(process_settings, settings.EntrySettings):
            log = log_service.HttpLogService(session, process_settings.log_url)
            await _run_daemon(
                entry_daemon.EntryDaemon(
                    process_settings, configuration.LogConfigSource(log, process_settings.name), log
                )
            )
            return
        agent_log = (
            log_service.HttpLogService(session, process_settings.log_url)
            if process_settings.log_url is not None
            else None
        )
        await _run_daemon(agent_daemon.AgentDaemon(process_settings, agent_log))


async def _run_daemon(daemon: entry_daemon.EntryDaemon | agent_daemon.AgentDaemon) -> None:
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.stop)
    await daemon.run()


if __name__ == "__main__":
    main()
