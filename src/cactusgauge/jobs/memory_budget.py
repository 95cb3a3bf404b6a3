"""Memory of a workspace's jobs that are not finished."""

from cactusgauge import exceptions


class MemoryBudget:
    """Counts the memory of unfinished jobs, with the results that arrived, and refuses a job that has no room.

    A job that has the memory for itself is accepted whatever its size, as waiting would not help it; the limits on a
    body bound it. Results of accepted jobs are counted but not refused.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Approximate memory in bytes."""
        return self._used_bytes

    def check(self, size: int) -> None:
        """Raise `OverloadedError` if a job of `size` bytes would pass the limit."""
        if self._used_bytes and self._used_bytes + size > self._limit:
            raise exceptions.OverloadedError(
                f"unfinished jobs hold {self._used_bytes} bytes and this one needs {size}; the limit is {self._limit}"
            )

    def add(self, size: int) -> None:
        """Count memory that a job takes, or gives back if `size` is negative."""
        self._used_bytes += size
