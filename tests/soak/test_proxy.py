import asyncio
import socket

from tests.soak import proxy

HOST = "127.0.0.1"


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


async def test_overlapping_faults_may_end_at_once() -> None:
    """Guards against a soak that ends as two faults of one worker end at the same moment and both open its port."""
    async with proxy.Proxy((HOST, _free_port()), (HOST, _free_port())) as worker_proxy:
        worker_proxy.refuse()
        await asyncio.gather(worker_proxy.accept(), worker_proxy.accept())
