"""Where a process takes its configuration from."""

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusgauge.configuration import configuration


class ConfigSource(abc.ABC):
    """Gives the configuration in force, or None while there is none."""

    @property
    @abc.abstractmethod
    def current(self) -> "configuration.Configuration | None":
        """The configuration in force; its version never decreases."""
