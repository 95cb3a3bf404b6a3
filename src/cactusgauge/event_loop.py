"""The event loop of the processes that run on the users' platform."""

import asyncio
import selectors
import time

MAX_SKIPPED_POLLS = 4  # a message takes two to four turns of the loop; new input waits for no more than these


class PollSkippingSelector(selectors.DefaultSelector):
    """Polls for input only every few turns while callbacks are ready.

    asyncio polls before each turn, so a message that takes four turns to handle costs four system calls.
    """

    def __init__(self) -> None:
        super().__init__()
        self._skipped_polls = 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return ready file objects; with a timeout of zero, at times none without asking the system."""
        if timeout is not None and timeout <= 0 and self._skipped_polls < MAX_SKIPPED_POLLS:
            self._skipped_polls += 1
            return []
        self._skipped_polls = 0
        return super().select(timeout)


class BootTimeEventLoop(asyncio.SelectorEventLoop):
    """Uses CLOCK_BOOTTIME, so that leases, grants and deadlines have passed after a suspension."""

    def __init__(self) -> None:
        super().__init__(PollSkippingSelector())

    def time(self) -> float:
        """Return the seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
