"""An event loop with a clock that tests set."""

from collections import abc
from typing import TypeVar

from tests.unit.dispatch import conftest as dispatch_conftest

Result = TypeVar("Result")


class Clock:
    """Runs single calls inside an event loop whose time only the test changes."""

    def __init__(self) -> None:
        self.loop = dispatch_conftest.ManualClockLoop()

    def call(self, action: abc.Callable[[], Result]) -> Result:
        """Return the result of an action that runs inside the loop."""

        async def run() -> Result:
            return action()

        return self.loop.run_until_complete(run())

    def advance(self, seconds: float) -> None:
        """Let time pass while the process is paused: no timer runs."""
        self.loop.now += seconds
