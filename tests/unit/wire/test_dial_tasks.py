import asyncio

import pytest

from cactusgauge import wire

pytestmark = pytest.mark.looptime


async def test_unexpected_error_of_a_link_does_not_end_the_redialling() -> None:
    """Guards against a URL that is never dialled again because one attempt failed in an unexpected way."""
    attempts: list[str] = []
    events: list[str] = []

    async def dial_once(url: str) -> None:
        attempts.append(url)
        raise OverflowError("port must be 0-65535")

    async with wire.DialTasks(dial_once, 0.1, 0.1, lambda event, **fields: events.append(event)) as tasks:
        tasks.start("ws://10.0.0.1:99999")
        await asyncio.sleep(0.25)
    assert len(attempts) == 3
    assert events == ["link_failed"] * 3
