"""Memory limit for the unfinished jobs of a workspace."""

from cactusgauge import exceptions


class MemoryBudget:
    """Tracks the memory of unfinished jobs, including received results, and refuses jobs that exceed the limit.

    While no other job uses memory, a job of any size is accepted, because waiting would not help; its size is limited
    by the maximum body size. Results of accepted jobs are counted but never refused.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit = limit_bytes
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Approximate memory in use, in bytes."""
        return self._used_bytes

    def check(self, size: int) -> None:
        """Raise `OverloadedError` if a job of `size` bytes would exceed the limit."""
        if self._used_bytes and self._used_bytes + size > self._limit:
            raise exceptions.OverloadedError(
                f"unfinished jobs use {self._used_bytes} bytes and this job needs {size}; the limit is {self._limit}"
            )

    def add(self, size: int) -> None:
        """Add `size` bytes to the memory in use; a negative `size` releases memory."""
        self._used_bytes += size
