"""The part of the configuration that an agent needs."""

from cactusgauge.configuration import change_record


class AgentConfiguration:
    """The slots that the entries tell, of the highest version heard over all links."""

    def __init__(self, max_slots: int) -> None:
        self._max_slots = max_slots
        self._version = change_record.NO_VERSION
        self._slots = 0

    @property
    def version(self) -> int:
        """The version in force, -1 before the first."""
        return self._version

    @property
    def is_known(self) -> bool:
        """Whether any version is in force."""
        return self._version != change_record.NO_VERSION

    @property
    def slots(self) -> int:
        """The slots in force: 0 before the first version, and never more than the agent's own limit."""
        return min(self._slots, self._max_slots)

    def update(self, version: int, slots: int) -> bool:
        """Put a version in force unless a higher or the same one is; return whether it did."""
        if version <= self._version:
            return False
        self._version = version
        self._slots = slots
        return True
