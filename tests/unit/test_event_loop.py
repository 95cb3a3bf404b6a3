import asyncio
import selectors
import socket
import unittest.mock

from cactusgauge import event_loop


async def _turns(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


def test_turns_with_ready_callbacks_poll_seldom() -> None:
    """Guards against a system call for each turn of the loop."""
    with (
        unittest.mock.patch.object(
            selectors.DefaultSelector, "select", autospec=True, side_effect=selectors.DefaultSelector.select
        ) as select,
        asyncio.Runner(loop_factory=event_loop.BootTimeEventLoop) as runner,
    ):
        runner.run(_turns(1))
        before = select.call_count
        runner.run(_turns(100))
        assert select.call_count - before < 50


def test_input_is_read_while_callbacks_are_always_ready() -> None:
    """Guards against input that waits as long as there is work."""

    async def read_beside_work() -> bytes:
        near, far = socket.socketpair()
        with near, far:
            near.setblocking(False)
            working = asyncio.create_task(_turns(1_000_000))
            reading = asyncio.create_task(asyncio.get_running_loop().sock_recv(near, 10))
            await _turns(3)
            far.send(b"x")
            await _turns(2 * event_loop.MAX_UNPOLLED_TURNS + 2)
            working.cancel()
            return reading.result()

    with asyncio.Runner(loop_factory=event_loop.BootTimeEventLoop) as runner:
        assert runner.run(read_beside_work()) == b"x"
