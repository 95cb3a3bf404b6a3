"""Keeps the background loops of a process running after unexpected errors."""

import asyncio
from typing import TYPE_CHECKING

from cactusgauge import exceptions

if TYPE_CHECKING:
    from collections import abc

RESTART_DELAY_S = 0.2  # a loop that fails at once neither fills the log nor uses up the processor


async def keep_running(
    name: str, run: "abc.Callable[[], abc.Awaitable[None]]", log_event: "abc.Callable[..., None]"
) -> None:
    """Run a loop until it returns; an unexpected error is logged as `loop_failed` and the loop starts again.

    A `SettingsError` is raised, as only the operator can correct it.
    """
    while True:
        try:
            await run()
            return
        except exceptions.SettingsError:
            raise
        except Exception as error:
            log_event("loop_failed", loop=name, error=f"{type(error).__name__}: {error}"[:200])
        await asyncio.sleep(RESTART_DELAY_S)
