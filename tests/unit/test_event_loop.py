import asyncio
import selectors
import socket
import unittest.mock

from cactusgauge import event_loop


async def _run_iterations(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


def test_iterations_with_ready_callbacks_poll_seldom() -> None:
    """Guards against a system call in each loop iteration."""
    with (
        unittest.mock.patch.object(
            selectors.DefaultSelector, "select", autospec=True, side_effect=selectors.DefaultSelector.select
        ) as select,
        asyncio.Runner(loop_factory=event_loop.BootTimeEventLoop) as runner,
    ):
        runner.run(_run_iterations(1))
        before = select.call_count
        runner.run(_run_iterations(100))
        assert select.call_count - before < 50


def test_input_is_read_while_callbacks_are_always_ready() -> None:
    """Guards against input that is not read as long as callbacks are ready."""

    async def read_while_busy() -> bytes:
        receiver, sender = socket.socketpair()
        with receiver, sender:
            receiver.setblocking(False)
            busy_task = asyncio.create_task(_run_iterations(1_000_000))
            read_task = asyncio.create_task(asyncio.get_running_loop().sock_recv(receiver, 10))
            await _run_iterations(3)
            sender.send(b"x")
            await _run_iterations(2 * event_loop.MAX_SKIPPED_POLLS + 2)
            busy_task.cancel()
            return read_task.result()

    with asyncio.Runner(loop_factory=event_loop.BootTimeEventLoop) as runner:
        assert runner.run(read_while_busy()) == b"x"
