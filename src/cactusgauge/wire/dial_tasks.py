"""Tasks that maintain links to a changing set of URLs."""

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING, Self

import websockets.exceptions

from cactusgauge import exceptions

if TYPE_CHECKING:
    from collections import abc


class DialTasks:
    """Runs one task per URL, which reconnects after a random delay whenever its link ends.

    `dial_once` opens a link and serves it until it ends; an error from it ends only that link, and an unexpected one is
    logged as `link_failed`. Leaving the context cancels all tasks.
    """

    def __init__(
        self,
        dial_once: "abc.Callable[[str], abc.Awaitable[None]]",
        min_delay_s: float,
        max_delay_s: float,
        log_event: "abc.Callable[..., None]",
    ) -> None:
        self._dial_once = dial_once
        self._min_delay_s = min_delay_s
        self._max_delay_s = max_delay_s
        self._log_event = log_event
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exception: object) -> None:
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    @property
    def urls(self) -> set[str]:
        """The URLs with a running task."""
        return set(self._tasks)

    def start(self, url: str) -> None:
        """Start the task that maintains a link to a URL."""
        self._tasks[url] = asyncio.create_task(self._dial_forever(url))

    def stop(self, url: str) -> None:
        """Cancel the task of a URL, which closes its link."""
        self._tasks.pop(url).cancel()

    async def _dial_forever(self, url: str) -> None:
        while True:
            with contextlib.suppress(
                OSError, TimeoutError, websockets.exceptions.WebSocketException, exceptions.CactusgaugeError
            ):
                try:
                    await self._dial_once(url)
                except (ValueError, TypeError, LookupError, OverflowError) as error:
                    # For example a URL with a port beyond 65535; other links must not depend on it.
                    self._log_event("link_failed", url=url, error=f"{type(error).__name__}: {error}"[:200])
            await asyncio.sleep(random.uniform(self._min_delay_s, self._max_delay_s))
