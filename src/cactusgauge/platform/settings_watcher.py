"""Reloads the settings of a process while it runs."""

import asyncio
import pathlib
from typing import TYPE_CHECKING

from cactusgauge import exceptions
from cactusgauge.platform import node_settings

if TYPE_CHECKING:
    from cactusgauge import observability

POLL_INTERVAL_S = 1.0  # the platform may change the file without sending a signal


class SettingsWatcher:
    """Reloads the settings file when `reload` is called and whenever its content has changed."""

    def __init__(self, path: pathlib.Path, journal: "observability.Journal") -> None:
        self._path = path
        self._journal = journal
        self._content = path.read_bytes()
        self._current = node_settings.load(path)

    @property
    def current(self) -> node_settings.NodeSettings:
        """The current settings."""
        return self._current

    def reload(self) -> None:
        """Apply the settings in the file; keep the current ones if the file is invalid or unchanged."""
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
        """Check the file periodically until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self.reload()
