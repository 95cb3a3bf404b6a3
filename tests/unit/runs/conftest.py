"""A harness that connects a run controller to an emulated worker in the same process."""

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

from cactusgauge import ids, runs, scheduling
from emulator import leased_worker

if TYPE_CHECKING:
    from collections import abc

# The entry that all runs belong to.
HEARTBEAT_S = 1.5
OWNER = ids.EntryIncarnation("entry-1")
TIMING = runs.run_timing(resend_after_s=1.3, max_lease_s=1.0, stop_s=0.05)


def run_key(position: int = 0, run: int = 1, job: str = "j") -> ids.RunKey:
    """Return the key of a run of the task at `position` in the first step of a job."""
    return ids.RunKey(ids.JobKey(job), 0, position, run)


class ControllerHarness(runs.RunObserver):
    """Takes the place of an agent: runs a controller and records the ends of runs and the log events."""

    def __init__(self, duration_s: float = 0.2) -> None:
        self.duration_s = duration_s
        self.worker = leased_worker.LeasedWorker(lambda key: self.duration_s)
        self.ends: list[tuple[ids.EntryIncarnation, scheduling.RunEnd]] = []
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.crashes: list[scheduling.TasksAtCrash] = []
        # What listens at other addresses than the worker's; by default the worker is at all of them.
        self.listeners: dict[str, runs.WorkerClient] = {}
        self.known_services = {"s"}
        self.controller = self.new_controller()
        self._sequence = 0

    def new_controller(self) -> runs.RunController:
        """Return a new controller, as after a restart of the agent."""
        return runs.RunController(
            TIMING,
            HEARTBEAT_S,
            lambda heartbeat: self.listeners.get(heartbeat.address, self.worker),
            lambda service: service in self.known_services,
            self,
        )

    @contextlib.asynccontextmanager
    async def serving(self) -> "abc.AsyncIterator[None]":
        """Run the controller after a first heartbeat of the worker."""
        async with self.controller:
            self.send_heartbeat()
            await asyncio.sleep(0.05)
            yield

    def send_heartbeat(
        self,
        incarnation: int = 1,
        sequence: int | None = None,
        is_draining: bool = False,
        cores: int = 4,
        worker: str = "w",
        address: str = "10.0.0.1:80",
        service: str = "s",
        clock_s: float | None = None,
    ) -> runs.HeartbeatResult:
        """Send a heartbeat to the controller, with the next sequence number if none is given; return its result.

        Without other arguments it is one of the worker.
        """
        self._sequence += 1
        return self.controller.handle_heartbeat(
            runs.WorkerHeartbeat(
                ids.WorkerId(worker),
                incarnation,
                self._sequence if sequence is None else sequence,
                ids.ServiceName(service),
                address,
                is_draining,
                scheduling.Resources(cores * 1000, 1000),
                (),
                self.worker.clock_s if clock_s is None else clock_s,
            )
        )

    def start(self, key: ids.RunKey, cores: int = 1, stamped_at: float | None = None) -> None:
        """Start a run for the owner; `stamped_at` is the loop time of the agent's stamp, by default now."""
        now = asyncio.get_running_loop().time()
        generation = self.controller.report().generation
        new_run = runs.NewRun(key, OWNER, generation, scheduling.Resources(cores * 1000, 10), 0.2, "payload")
        self.controller.start(new_run, now if stamped_at is None else stamped_at)

    async def renew_grant(self, seconds: float) -> None:
        """Renew the owner's grant every 0.1 s, for the given number of seconds."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            self.controller.extend_grant(OWNER, loop.time() + TIMING.grant_s)
            await asyncio.sleep(0.1)

    def end_kinds(self) -> list[scheduling.EndKind]:
        """Return the kinds of the recorded ends, in order."""
        return [end.kind for _, end in self.ends]

    def end_reasons(self) -> list[str]:
        """Return the reasons of the recorded ends, in order."""
        return [end.reason for _, end in self.ends]

    def on_run_ended(self, owner: ids.EntryIncarnation, end: scheduling.RunEnd) -> None:
        """Record the end of a run."""
        self.ends.append((owner, end))

    def on_worker_crashed(self, generation: int, tasks: scheduling.TasksAtCrash) -> None:
        """Record the tasks on the crashed worker."""
        self.crashes.append(tasks)

    def on_report_changed(self) -> None:
        """Do nothing, as tests call `report` themselves."""

    def log_event(self, event: str, **fields: str | float) -> None:
        """Record a log event."""
        self.events.append((event, fields))
