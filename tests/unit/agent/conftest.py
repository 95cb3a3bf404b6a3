"""An event loop whose clock is controlled by the test."""

from collections import abc
from typing import TypeVar

from tests.unit.dispatch import conftest as dispatch_conftest

Result = TypeVar("Result")


class Clock:
    """Runs single calls inside an event loop whose time changes only in `advance`."""

    def __init__(self) -> None:
        self.loop = dispatch_conftest.ManualClockLoop()

    def call(self, action: abc.Callable[[], Result]) -> Result:
        """Run an action inside the loop and return its result."""

        async def run() -> Result:
            return action()

        return self.loop.run_until_complete(run())

    def advance(self, seconds: float) -> None:
        """Advance the time without running timers, as while the process is suspended."""
        self.loop.now += seconds
