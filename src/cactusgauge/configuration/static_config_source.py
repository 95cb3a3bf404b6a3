"""A configuration that is given once, for tests and for a first start without a log."""

from typing import TYPE_CHECKING

from cactusgauge.configuration import config_source

if TYPE_CHECKING:
    from cactusgauge.configuration import configuration


class StaticConfigSource(config_source.ConfigSource):
    """Always gives the same configuration."""

    def __init__(self, current: "configuration.Configuration | None") -> None:
        self._current = current

    @property
    def current(self) -> "configuration.Configuration | None":
        """The configuration given at construction."""
        return self._current
