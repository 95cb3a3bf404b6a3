"""Settings of a process that change while it runs."""

import asyncio
import pathlib
from typing import TYPE_CHECKING

from cactusgauge import exceptions
from cactusgauge.platform import node_settings

if TYPE_CHECKING:
    from cactusgauge import observability

POLL_INTERVAL_S = 1.0  # the file may change without a signal


class SettingsWatcher:
    """Reads the settings file again on a signal and whenever its content has changed."""

    def __init__(self, path: pathlib.Path, journal: "observability.Journal") -> None:
        self._path = path
        self._journal = journal
        self._content = path.read_bytes()
        self._current = node_settings.load(path)

    @property
    def current(self) -> node_settings.NodeSettings:
        """The settings in force."""
        return self._current

    def reload(self) -> None:
        """Put the file's settings into force; keep the old ones if it can't be used."""
        try:
            content = self._path.read_bytes()
            if content == self._content:
                return
            self._current = node_settings.load(self._path)
        except (OSError, exceptions.SettingsError) as error:
            self._journal.record_state("settings_unusable", error=str(error))
            return
        self._content = content
        self._journal.record_state("settings_reloaded", seeds=len(self._current.seed_link_urls))

    async def run(self) -> None:
        """Check the file until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self.reload()
