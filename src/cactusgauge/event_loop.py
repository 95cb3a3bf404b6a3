"""Event loop with fewer polls for I/O and a clock that counts system suspension."""

import asyncio
import selectors
import time

# A message takes two to four loop iterations to handle. New input waits for at most this many iterations.
MAX_SKIPPED_POLLS = 4


class PollSkippingSelector(selectors.DefaultSelector):
    """Polls for I/O only every few loop iterations while callbacks are ready.

    asyncio polls before each iteration, so a message that takes four iterations to handle would cost four system calls.
    """

    def __init__(self) -> None:
        super().__init__()
        self._skipped_polls = 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready file objects; a call with a timeout of zero may return none without a system call."""
        if timeout is not None and timeout <= 0 and self._skipped_polls < MAX_SKIPPED_POLLS:
            self._skipped_polls += 1
            return []
        self._skipped_polls = 0
        return super().select(timeout)


class BootTimeEventLoop(asyncio.SelectorEventLoop):
    """Event loop on CLOCK_BOOTTIME, so that leases, grants and deadlines also expire while the system is suspended."""

    def __init__(self) -> None:
        super().__init__(PollSkippingSelector())

    def time(self) -> float:
        """Return the seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
