"""A heartbeat from another writer, of a service that is not named, arrives while tasks run."""

import asyncio
import time

import aiohttp
from standins2 import deployment

TOLERANCE_S = 0.02  # the stand-ins look at their runs every 2 ms


async def scenario(trouble, record_path):
    async with deployment.Deployment(record_path) as world:
        await asyncio.sleep(4.0)  # calm for more than `contact_ms`
        job = deployment.new_job()
        submitted = asyncio.create_task(world.call("POST", 0, job, deployment.job_body(6, 2000)))
        await asyncio.sleep(0.5)
        busiest = max(range(len(world.workers)), key=lambda number: len(world.workers[number].active))
        worker, agent = world.workers[busiest], world.agents[busiest]
        body = {
            "service": "telemetria", "address": f"{worker.ip}:9", "zone": "serra", "version": "v1", "slots": 8,
            "state": "ready", "cold_remaining_ms": 0, "capacity": {"cpu": 4000, "mem_mb": 8192, "gpu": 0},
            "labels": ["a", "r1-1"], "clock_ms": 1000, "seq": 1, "born": int(time.time() * 1000) - 1000,
        }  # fmt: skip
        if trouble:
            world.record(f"another writer sends a heartbeat of the service telemetria to {agent.name}")
            url = f"http://{worker.control}/-/instances/x-51c2a7d0/heartbeat"
            async with aiohttp.ClientSession() as session, session.post(url, json=body) as response:
                world.record(f"it is answered {response.status}")
        await submitted
        found = [each for each in deployment.overlaps(world.runs_of(job)) if each[4] > TOLERANCE_S]
        for run, at, other, other_at, seconds in found:
            world.record(
                f"TWICE: {run.task} run {run.number} at {at.id} and run {other.number} at {other_at.id}, "
                f"together for {seconds:.3f} s"
            )
        await asyncio.sleep(4.0)
        calls = worker.calls
        later = [await world.call("POST", 0, deployment.new_job(), deployment.job_body(6, 300)) for _ in range(5)]
        world.record(f"{worker.id}: {worker.calls - calls} calls of its agent during 5 later jobs: {later}")
        return bool(found)


deployment.main(scenario, __file__)
