"""Amounts of CPU, memory and accelerators."""

from typing import NamedTuple


class Resources(NamedTuple):
    """CPU in thousandths of a core, memory in MB and the number of accelerators."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, free: "Resources") -> bool:
        """Return whether these resources fit into the free ones."""
        return (
            self.cpu_millicores <= free.cpu_millicores
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both amounts."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference, whose fields may be negative."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )
