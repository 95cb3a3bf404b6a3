"""The part of the configuration that an agent uses."""

from cactusgauge.configuration import change_record


class AgentConfiguration:
    """Number of slots from the highest configuration version that any entry has sent."""

    def __init__(self, max_slots: int) -> None:
        self._max_slots = max_slots
        self._version = change_record.NO_VERSION
        self._slots = 0

    @property
    def version(self) -> int:
        """The version in force, or -1 before the first one."""
        return self._version

    @property
    def is_known(self) -> bool:
        """Whether any version is in force."""
        return self._version != change_record.NO_VERSION

    @property
    def slots(self) -> int:
        """The number of slots in force: 0 before the first version, and at most the agent's own limit."""
        return min(self._slots, self._max_slots)

    def update(self, version: int, slots: int) -> bool:
        """Apply a version if it is higher than the one in force; return whether it was applied."""
        if version <= self._version:
            return False
        self._version = version
        self._slots = slots
        return True
