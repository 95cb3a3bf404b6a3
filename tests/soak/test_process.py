import asyncio
import pathlib
import time
from typing import TYPE_CHECKING

import pytest

from tests.soak import process

if TYPE_CHECKING:
    from collections import abc

EXIT_S = 5.0  # within which a process with bad settings ends


@pytest.fixture
def child_watcher() -> "abc.Iterator[None]":
    """Let the event loop read exit statuses, instead of a thread of its own for each process."""
    previous = asyncio.get_child_watcher()
    with asyncio.PidfdChildWatcher() as watcher:
        asyncio.set_child_watcher(watcher)
        yield
    asyncio.set_child_watcher(previous)


@pytest.mark.usefixtures("child_watcher")
async def test_signal_to_a_process_that_has_just_ended_keeps_its_exit_status(tmp_path: pathlib.Path) -> None:
    """Guards against exit status 255, which asyncio reports if another call has read the status (seeds 243, 9004)."""
    part = process.SoakProcess("entry", {"node": "entry-0"}, [], tmp_path)
    async with part:
        keeping = asyncio.create_task(part.keep_running())
        await asyncio.sleep(0)
        time.sleep(EXIT_S)  # noqa: ASYNC251  # the process ends, and the event loop can't notice
        part.reload()
        part.kill()
        while not part.exit_codes:
            await asyncio.sleep(0.01)
        keeping.cancel()
    assert part.exit_codes == [2]  # of a process with bad settings
