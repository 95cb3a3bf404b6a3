"""Measures the CPU time per task of an entry's dispatcher, by the number of workers of one workspace.

The dispatcher is the real one. Its links are fakes whose agents complete every task after its run time. The clock is
simulated and advances from event to event, so that other load on the machine changes no scheduling decision.
"""

import asyncio
import cProfile
import heapq
import pathlib
import pstats
import statistics
import time
from typing import Any

import click

from cactusgauge import configuration, dispatch, ids, jobs, load, observability, wire
from cactusgauge.dispatch import worker_groups

MIX_PATH = pathlib.Path(__file__).parent.parent / "examples" / "mixes" / "deployment.yaml"
WORKSPACE = ids.WorkspaceName("cheese")
WARM_UP_S = 1.0
DEADLINE_MS = 60_000


class ManualClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock is set through `now`."""

    now = 0.0

    def time(self) -> float:
        """Return the simulated time."""
        return self.now


class FakeLink:
    """Receives the messages for an agent and schedules the end of each of its tasks."""

    is_suspect = False

    def __init__(self, number: int, speed: float, simulation: "DispatchSimulation") -> None:
        self.number = number
        self.last_assign = 0
        self._speed = speed
        self._simulation = simulation

    def set_active(self, active: bool) -> None:
        """Do nothing, as no heartbeats are sent."""

    def post(self, message: Any) -> None:
        """Start the tasks of an `Assign`."""
        self.last_assign = message.number
        for start in message.starts:
            self._simulation.start(self.number, start, self._speed)


class DispatchSimulation:
    """Simulates the workers and the arriving jobs of one dispatcher."""

    def __init__(self, workers: int, load_share: float, duration_s: float, loop: ManualClockLoop) -> None:
        mix = load.MixLoader(MIX_PATH).load()
        speeds = [mix.fleet.speeds[number % len(mix.fleet.speeds)] for number in range(workers)]
        fleet = mix.fleet.model_copy(update={"speeds": speeds})
        mix = mix.model_copy(update={"fleet": fleet, "load": load_share, "duration_s": duration_s})
        config = configuration.WorkspaceConfig(name=WORKSPACE, max_queued_tasks=1_000_000, max_running_tasks=100_000)
        self._loop = loop
        self._fleet = fleet
        self._ratios: list[float] = []
        self._plan = load.draw_plan(mix)
        self._ends: list[tuple[float, int, int, wire.Start, float]] = []
        self._started = 0
        self.dispatcher = dispatch.Dispatcher(
            config, observability.Counters(), observability.EventRing("measure"), self._record_finished_job
        )
        self._links = [FakeLink(number, speed, self) for number, speed in enumerate(speeds)]
        self._workers = [self._attach(link) for link in self._links]

    def start(self, worker: int, start: wire.Start, speed: float) -> None:
        """Schedule the end of a task that starts now."""
        run_s = self._plan[start.number].tasks[start.task].run_ms / 1000 / speed
        self._started += 1
        heapq.heappush(self._ends, (self._loop.now + run_s, self._started, worker, start, run_s))

    async def measure(self, limit_s: float, profile: cProfile.Profile | None) -> dict[str, float]:
        """Run until all jobs arrived or `limit_s` of CPU time is used; return the CPU times per completed task."""
        arrivals = iter(enumerate(self._plan))
        arrival = next(arrivals, None)
        cpu_s = admission_s = completed = queued = 0.0
        while arrival is not None and cpu_s < limit_s:
            is_end = bool(self._ends) and self._ends[0][0] <= arrival[1].at_s
            self._loop.now = self._ends[0][0] if is_end else arrival[1].at_s
            is_measured = self._loop.now >= WARM_UP_S
            if profile is not None and is_measured:
                profile.enable()
            job = None if is_end else self._create_job(*arrival)
            began = time.thread_time()
            if job is None:
                _, _, worker, start, run_s = heapq.heappop(self._ends)
                self._deliver_outcome(worker, start, run_s)
            else:
                self.dispatcher.admit(job)
            now = time.thread_time()
            await asyncio.sleep(0)  # runs the dispatch that the event scheduled
            if is_measured:
                cpu_s += time.thread_time() - began
                admission_s += 0 if is_end else now - began
                completed += is_end
                queued += self.dispatcher.queued_count if is_end else 0
            if profile is not None:
                profile.disable()
            if not is_end:
                arrival = next(arrivals, None)
        return {
            "us_per_task": 1e6 * (cpu_s - admission_s) / completed,
            "admission_us_per_task": 1e6 * admission_s / completed,
            "tasks": completed,
            "mean_queued": queued / completed,
            "ratio": statistics.mean(self._ratios),
        }

    def _attach(self, link: Any) -> dispatch.RemoteWorker:
        name = ids.AgentName(f"agent-{link.number}")
        hello = wire.AgentHello(
            wire.PROTOCOL_VERSION, name, ids.AgentIncarnation(name), WORKSPACE, ids.DataCentreName("serra"), 8, ""
        )
        worker = self.dispatcher.find_or_create_worker(hello)
        self.dispatcher.attach(worker, link, wire.Resume(0, 8, True, 1))
        return worker

    def _create_job(self, number: int, planned: load.PlannedJob) -> jobs.Job:
        tasks = [jobs.TaskRequest(payload="", kind=task.kind, duration_ms=task.declared_ms) for task in planned.tasks]
        request = jobs.JobRequest(tasks, DEADLINE_MS, b"digest")
        return jobs.Job(ids.JobId(ids.SessionId("s"), number), request, self._loop.now, DEADLINE_MS)

    def _record_finished_job(self, job: jobs.Job) -> None:
        if job.accepted_at >= WARM_UP_S:
            self._ratios.append((self._loop.now - job.accepted_at) / self._plan[job.id.number].ideal_s(self._fleet))

    def _deliver_outcome(self, number: int, start: wire.Start, run_s: float) -> None:
        worker = self._workers[number]
        outcome = wire.Outcome(start.session, start.number, start.task, "completed", "", b"", run_s * 1000)
        results = wire.Results(worker.last_result_number + 1, self._links[number].last_assign, 8, [outcome])
        self.dispatcher.handle_results(worker, results)


@click.command()
@click.option("--workers", default="11,100,570", show_default=True, help="Numbers of workers, separated by commas.")
@click.option(
    "--loads",
    default="0.5,0.8,1.2",
    show_default=True,
    help="Loads as shares of the capacity; above 1, tasks queue up.",
)
@click.option("--duration", default=3.0, show_default=True, help="Seconds of arrivals; the first second is warm-up.")
@click.option("--limit", default=10.0, show_default=True, help="CPU seconds after which a run is stopped.")
@click.option("--group", type=int, help="Number of workers planned together, instead of the dispatcher's default.")
@click.option("--profile", "profiles", is_flag=True, help="Print a CPU profile; this slows the run down.")
def main(workers: str, loads: str, duration: float, limit: float, group: int | None, profiles: bool) -> None:
    """Print a table of the CPU time per task, for outcomes with dispatch and for the admission of jobs."""
    if group is not None:
        worker_groups.MAX_GROUP_SIZE = group
    click.echo("| workers | load | tasks | mean queue | µs per task | µs of admission | mean ratio |")
    click.echo("|---|---|---|---|---|---|---|")
    for count in [int(text) for text in workers.split(",")]:
        for load_share in [float(text) for text in loads.split(",")]:
            profile = cProfile.Profile() if profiles else None
            loop = ManualClockLoop()
            with asyncio.Runner(loop_factory=lambda loop=loop: loop) as runner:  # type: ignore[misc]
                result = runner.run(_measure(count, load_share, duration, loop, limit, profile))
            click.echo(
                f"| {count} | {load_share:g} | {result['tasks']:.0f} | {result['mean_queued']:.0f} "
                f"| {result['us_per_task']:.0f} | {result['admission_us_per_task']:.0f} "
                f"| {result['ratio']:.2f} |"
            )
            if profile is not None:
                pstats.Stats(profile).sort_stats("tottime").print_stats(14)


async def _measure(
    workers: int, load_share: float, duration_s: float, loop: ManualClockLoop, limit_s: float, profile: Any
) -> dict[str, float]:
    return await DispatchSimulation(workers, load_share, duration_s, loop).measure(limit_s, profile)


if __name__ == "__main__":
    main()
