"""A worker and its agent are cut off; the worker crashes behind the cut and starts again as another kind.

Jobs that require the label of the old kind wait meanwhile, as no other worker has it.
"""

import asyncio
import contextlib
import pathlib

from review.standins import deployment

ROUNDS = 3
TASK_S = 0.5
ESTIMATE_MS = 4000
CUT_S = 5.0  # `node_cut` on workers lasts up to 5.5 s in the site file
CRASH_AFTER_S = 1.5
DOWN_S = 2.0
JOB_INTERVAL_S = 0.25


async def run_scenario(record: deployment.Record, has_trouble: bool) -> bool:
    """Return whether a task started on a worker without the label that its step requires."""
    labels = [("a", "r1-1"), *(("b", f"r1-{number}") for number in range(1, 6))]
    required: dict[str, str] = {}
    async with deployment.Deployment(record, 2, labels, lambda task: TASK_S) as system:
        for _ in range(ROUNDS):
            posting = asyncio.create_task(_post_forever(system, "a", required))
            await asyncio.sleep(1.0)
            if has_trouble:
                await _cut(system, "b")
            await asyncio.sleep(1.5)
            posting.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await posting
            if has_trouble:  # an ordinary restart as the first kind, before the next round
                await system.workers[0].crash()
                await asyncio.sleep(1.0)
                await system.workers[0].start(("a", "r1-1"))
                await asyncio.sleep(3.0)
        wrong = [
            run
            for each in system.workers
            for run in each.history
            if required[run.task.partition(".")[0]] not in run.labels
        ]
        for run in wrong:
            record("label_missing", task=run.task, worker=run.worker, labels=list(run.labels), required="a",
                   at=record.at(run.started_at))  # fmt: skip
        return bool(wrong)


async def _post_forever(system: deployment.Deployment, label: str, required: dict[str, str]) -> None:
    number = 0
    async with asyncio.TaskGroup() as group:
        while True:
            job = deployment.new_job_id()
            required[job] = label
            step = {"count": 1, "cpu": 1500, "mem_mb": 64, "estimate_ms": ESTIMATE_MS, "required_label": label}
            body = deployment.job_body(f"job {job}", step)
            group.create_task(system.request("POST", number % 2, job, body, 10.0))
            number += 1
            await asyncio.sleep(JOB_INTERVAL_S)


async def _cut(system: deployment.Deployment, new_label: str) -> None:
    """Cut the first agent off from all entries; its worker crashes behind the cut and comes back as another kind."""
    agent, worker = system.agents[0], system.workers[0]
    ports: set[int] = agent.local_ports()

    def is_cut_off(port: int) -> bool:
        if port not in ports:
            ports.update(agent.local_ports())
        return port in ports

    for proxy in system.link_proxies:
        proxy.is_cut_off = is_cut_off
    system.record("cut_begins", machine=agent.name)
    await asyncio.sleep(CRASH_AFTER_S)
    await worker.crash()
    await asyncio.sleep(DOWN_S)
    await worker.start((new_label, "r1-1"))
    await asyncio.sleep(CUT_S - CRASH_AFTER_S - DOWN_S)
    for proxy in system.link_proxies:
        proxy.is_cut_off = None
    system.record("cut_ends", machine=agent.name)


if __name__ == "__main__":
    deployment.main(run_scenario, str(pathlib.Path(__file__).parent))
