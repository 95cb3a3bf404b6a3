import asyncio
from typing import Any

import pytest

from cactusgauge import background, exceptions

pytestmark = pytest.mark.looptime


async def test_loop_goes_on_after_an_unexpected_error() -> None:
    """Guards against a process that ends, or goes on without one of its loops, because of an unexpected error."""
    rounds: list[int] = []
    events: list[tuple[str, dict[str, Any]]] = []

    async def run() -> None:
        rounds.append(len(rounds))
        if len(rounds) < 3:
            raise KeyError("value")

    await background.keep_running("beat", run, lambda event, **fields: events.append((event, fields)))
    assert rounds == [0, 1, 2]
    assert events == [("loop_failed", {"loop": "beat", "error": "KeyError: 'value'"})] * 2


async def test_errors_of_the_settings_and_cancellation_end_the_loop() -> None:
    """Guards against a process that can't be stopped or that hides an error which its operator must correct."""

    async def misconfigured() -> None:
        raise exceptions.SettingsError("port in use")

    with pytest.raises(exceptions.SettingsError):
        await background.keep_running("listen", misconfigured, print)
    loop = asyncio.create_task(background.keep_running("beat", lambda: asyncio.sleep(99), print))
    await asyncio.sleep(0)
    loop.cancel()
    with pytest.raises(asyncio.CancelledError):
        await loop
