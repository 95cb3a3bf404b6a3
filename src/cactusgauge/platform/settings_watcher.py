"""Reloads the settings of a process while it runs."""

import asyncio
import pathlib
from typing import TYPE_CHECKING

from cactusgauge import exceptions
from cactusgauge.platform import node_settings

if TYPE_CHECKING:
    from cactusgauge import observability

MAX_LOGGED_ERROR_LENGTH = 500  # characters; a file may have any number of faults
POLL_INTERVAL_S = 1.0  # the platform may change the file without sending a signal


class SettingsWatcher:
    """Reloads the settings file when `reload` is called and whenever its content has changed."""

    def __init__(self, path: pathlib.Path, journal: "observability.Journal") -> None:
        self._path = path
        self._journal = journal
        self._content = path.read_bytes()  # the last one that was read, whether or not it was usable
        self._current = node_settings.decode(path, self._content)
        self._is_readable = True

    @property
    def current(self) -> node_settings.NodeSettings:
        """The current settings."""
        return self._current

    def reload(self) -> None:
        """Apply the settings in the file; keep the current ones if the file is invalid or unchanged."""
        try:
            content = self._path.read_bytes()
        except OSError as error:
            if self._is_readable:
                self._journal.record_state("settings_unusable", error=str(error))
            self._is_readable = False
            return
        self._is_readable = True
        if content == self._content:
            return
        self._content = content
        try:
            self._current = node_settings.decode(self._path, content)
        except exceptions.SettingsError as error:
            self._journal.record_state("settings_unusable", error=str(error)[:MAX_LOGGED_ERROR_LENGTH])
            return
        self._journal.record_state("settings_reloaded", seeds=len(self._current.seed_link_urls))

    async def run(self) -> None:
        """Check the file periodically until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self.reload()
