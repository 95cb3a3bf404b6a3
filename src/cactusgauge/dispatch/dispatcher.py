"""Dispatcher of one workspace at one entry."""

import asyncio
import heapq
import itertools
from typing import TYPE_CHECKING

from cactusgauge import accounting, configuration, exceptions, ids, jobs, wire
from cactusgauge.dispatch import ordering, placement, remote_worker, speed_book

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import observability

AGENT_LOST_S = 10.0  # then tasks in flight there are reported unknown, so that callers are not kept waiting
DEADLINE_GRACE_S = 1.0  # time for an agent's report of a task that it stopped at the deadline

ORDERINGS: "dict[configuration.OrderingName, type[ordering.TaskOrdering]]" = {
    configuration.OrderingName.ARRIVAL: ordering.ArrivalOrdering,
    configuration.OrderingName.FEWEST_REMAINING: ordering.FewestRemainingOrdering,
}
PLACEMENTS: "dict[configuration.PlacementName, type[placement.WorkerPlacement]]" = {
    configuration.PlacementName.ANY_FREE: placement.AnyFreePlacement,
    configuration.PlacementName.FASTEST_FREE: placement.FastestFreePlacement,
    configuration.PlacementName.WAIT_FOR_FASTER: placement.WaitForFasterPlacement,
}

# A refusal for one of these reasons would be repeated if the worker were asked again at once.
PAUSING_REASONS = frozenset(
    {
        jobs.Reason.NO_BACKEND_SERVER.value,
        jobs.Reason.CONNECTION_REFUSED.value,
        jobs.Reason.REFUSED_BY_BACKEND_SERVER.value,
        jobs.Reason.AGENT_DRAINING.value,
    }
)


class Dispatcher:
    """Queues the tasks of a workspace's owned jobs and sends each to at most one agent at a time.

    A task leaves an agent's in-flight table for the queue only with a proof that it did not run.
    """

    def __init__(
        self,
        config: "configuration.WorkspaceConfig",
        counters: "observability.Counters",
        events: "observability.EventRing",
        on_finished: "abc.Callable[[jobs.Job], None]",
    ) -> None:
        self._counters = counters
        self._events = events
        self._on_finished = on_finished
        self._workers: dict[ids.AgentName, remote_worker.RemoteWorker] = {}
        self._jobs: dict[ids.JobId, jobs.Job] = {}
        self._heap: list[tuple[float, int, jobs.Job]] = []
        self._heap_numbers = itertools.count()
        self._queued_count = 0
        self._speeds = speed_book.SpeedBook()
        # Kept for agents that were replaced too, as accounts are cumulative.
        self._accounts: dict[tuple[ids.AgentName, ids.AgentIncarnation], accounting.PairAccount] = {}
        self._dispatch_scheduled = False
        self.apply(config)

    @property
    def workspace(self) -> ids.WorkspaceName:
        """Name of the workspace."""
        return self._config.name

    @property
    def workers(self) -> list[remote_worker.RemoteWorker]:
        """The workers known, linked or lately lost."""
        return list(self._workers.values())

    @property
    def speeds(self) -> speed_book.SpeedBook:
        """The learned speeds."""
        return self._speeds

    @property
    def queued_count(self) -> int:
        """Number of tasks that wait for a slot."""
        return self._queued_count

    @property
    def running_count(self) -> int:
        """Number of tasks in flight."""
        return sum(len(worker.in_flight) for worker in self._workers.values())

    @property
    def open_jobs(self) -> list[jobs.Job]:
        """The jobs that are not finished."""
        return list(self._jobs.values())

    def pair_totals(self) -> list[accounting.PairTotals]:
        """Return the account with every agent incarnation."""
        return [
            account.totals(incarnation, name, self.workspace) for (name, incarnation), account in self._accounts.items()
        ]

    def apply(self, config: "configuration.WorkspaceConfig") -> None:
        """Put a version of the workspace's configuration in force."""
        self._config = config
        self._ordering = ORDERINGS[config.ordering]()
        self._placement = PLACEMENTS[config.placement]()
        self._heap = []
        for job in self._jobs.values():
            self._push(job)

    def admit(self, job: jobs.Job) -> None:
        """Queue a whole job, or raise `OverloadedError` and queue nothing of it."""
        if self._queued_count + job.task_count > self._config.max_queued_tasks:
            self._counters.add("jobs_refused", self.workspace, exceptions.OverloadedError.code)
            raise exceptions.OverloadedError(
                f"{self._queued_count} tasks are queued; the limit is {self._config.max_queued_tasks}"
            )
        self._jobs[job.id] = job
        self._queued_count += job.task_count
        self._push(job)
        self._counters.add("jobs_accepted", self.workspace, "")
        self._counters.add("tasks_accepted", self.workspace, "", job.task_count)
        self._events.record("job_accepted", job=str(job.id), tasks=job.task_count, workspace=self.workspace)
        self.schedule()

    def cancel(self, job: jobs.Job) -> None:
        """Refuse the queued tasks of a job; running ones finish."""
        self._events.record("job_cancelled", job=str(job.id), queued=job.queued_count)
        self._refuse_queued(job, jobs.Reason.CANCELLED)

    def schedule(self) -> None:
        """Dispatch once in this turn of the event loop, so that what arrives together leaves together."""
        if not self._dispatch_scheduled:
            self._dispatch_scheduled = True
            asyncio.get_running_loop().call_soon(self._dispatch)

    def find_worker(self, hello: wire.AgentHello) -> remote_worker.RemoteWorker:
        """Return the view of the agent that says hello; a new view is not in use before `attach`."""
        known = self._workers.get(hello.name)
        if known is not None and known.incarnation == hello.incarnation:
            return known
        account = self._accounts.setdefault((hello.name, hello.incarnation), accounting.PairAccount())
        return remote_worker.RemoteWorker(hello, hello.data_centre, account)

    def attach(self, worker: remote_worker.RemoteWorker, link: wire.Link, resume: wire.Resume) -> None:
        """Use a worker's new link; tasks that never arrived return to the queue.

        Only an agent that runs completes the handshake, so only then it replaces the view of another incarnation,
        whose tasks become unknown.
        """
        known = self._workers.get(worker.name)
        if known is not None and known is not worker:
            if known.incarnation == worker.incarnation:
                raise exceptions.ProtocolError(f"agent {worker.name} opened two first links")
            self._abandon(known, jobs.Reason.AGENT_RESTARTED)
            if known.link is not None:
                known.link.abort()
        self._workers[worker.name] = worker
        for task_id in worker.attach(link, resume):
            self._return_to_queue(task_id)
        self.schedule()

    def detach(self, worker: remote_worker.RemoteWorker, link: wire.Link) -> None:
        """Note the loss of a worker's link."""
        worker.detach(link, asyncio.get_running_loop().time())

    def take_results(self, worker: remote_worker.RemoteWorker, results: wire.Results) -> None:
        """Take in the outcomes of tasks; a repeated message is ignored."""
        if not worker.accept_results(results):
            self._counters.add("messages_wasted", self.workspace, "repeated_results")
            return
        worker.update_state(results.credit, worker.serving)
        useless = [self._take_outcome(worker, outcome) for outcome in results.outcomes]
        if useless and all(useless):
            self._counters.add("messages_wasted", self.workspace, useless[0])
        refused = results.outcomes and all(each.reason == jobs.Reason.NO_SLOT.value for each in results.outcomes)
        if refused and worker.free_slots:
            # The agent still runs tasks that were given up here, so its credit would be answered by refusals only.
            worker.pause(asyncio.get_running_loop().time())
        self.schedule()

    def take_state(self, worker: remote_worker.RemoteWorker, state: wire.AgentState) -> None:
        """Take in a change of an agent's credit or state."""
        worker.acknowledge(state.assign_ack)
        worker.update_state(state.credit, state.serving)
        self.schedule()

    def sweep(self) -> None:
        """End what is over time: queued tasks after the deadline, tasks at lost agents."""
        now = asyncio.get_running_loop().time()
        for job in list(self._jobs.values()):
            if now >= job.deadline:
                self._refuse_queued(job, jobs.Reason.DEADLINE)
            if now >= job.deadline + DEADLINE_GRACE_S:
                self._give_up(job)
        for worker in list(self._workers.values()):
            if worker.lost_since is not None and now - worker.lost_since > AGENT_LOST_S:
                self._abandon(worker, jobs.Reason.AGENT_LOST)
        self.schedule()

    def _push(self, job: jobs.Job) -> None:
        heapq.heappush(self._heap, (self._ordering.key(job), next(self._heap_numbers), job))

    def _next_job(self, now: float) -> jobs.Job | None:
        while self._heap:
            key, _, job = self._heap[0]
            if job.id not in self._jobs or not job.queued_count or now >= job.deadline:
                heapq.heappop(self._heap)
                continue
            current_key = self._ordering.key(job)
            if current_key != key:
                heapq.heapreplace(self._heap, (current_key, next(self._heap_numbers), job))
                continue
            return job
        return None

    def _dispatch(self) -> None:
        self._dispatch_scheduled = False
        now = asyncio.get_running_loop().time()
        available = [worker for worker in self._workers.values() if worker.is_available(now)]
        batches: dict[ids.AgentName, list[tuple[jobs.Job, jobs.Task, float]]] = {}
        free_slots = {worker.name: worker.free_slots for worker in available}
        budget = self._config.max_running_tasks - self.running_count
        while budget > 0:
            chosen = self._choose(available, free_slots, now)
            if chosen is None:
                break
            job, task, worker = chosen
            job.send(task.index)
            self._queued_count -= 1
            free_slots[worker.name] -= 1
            budget -= 1
            run_s = self._speeds.expected_run_s(task.request) * self._speeds.slowness(worker.name)
            batches.setdefault(worker.name, []).append((job, task, run_s))
        self._send(available, batches, now)

    def _choose(
        self, available: list[remote_worker.RemoteWorker], free_slots: dict[ids.AgentName, int], now: float
    ) -> tuple[jobs.Job, jobs.Task, remote_worker.RemoteWorker] | None:
        free = [worker for worker in available if free_slots[worker.name] > 0]
        if not free:
            return None
        job = self._next_job(now)
        if job is None:
            return None
        task = job.next_task()
        busy = [worker for worker in available if free_slots[worker.name] <= 0]
        worker = self._placement.choose(job, task, free, busy, self._speeds, now)
        if worker is None:
            return None
        return job, task, worker

    def _send(
        self,
        available: list[remote_worker.RemoteWorker],
        batches: dict[ids.AgentName, list[tuple[jobs.Job, jobs.Task, float]]],
        now: float,
    ) -> None:
        for worker in available:
            batch = batches.get(worker.name, [])
            if batch:
                number = worker.assign(batch, self._queued_count, now).number
                self._counters.add("tasks_sent", self.workspace, "", len(batch))
                for job, task, _ in batch:
                    self._events.record(
                        "task_sent", job=str(job.id), task=task.index, worker=worker.name, assign=number
                    )
            elif self._queued_count and not worker.shown_demand and not worker.free_slots:
                worker.assign([], self._queued_count, now)

    def _take_outcome(self, worker: remote_worker.RemoteWorker, outcome: wire.Outcome) -> str:
        """Take in one outcome; return why it is of no use, or an empty string."""
        task_id = ids.TaskId(outcome.session, outcome.number, outcome.task)
        sent = worker.end(task_id)
        if sent is None or task_id.job not in self._jobs:
            self._counters.add("outcomes_late", self.workspace, "")
            return "late_result"
        now = asyncio.get_running_loop().time()
        state = jobs.TaskState(outcome.state)
        if state is jobs.TaskState.NOT_RUN and outcome.reason != jobs.Reason.SEALED.value:
            if outcome.reason in PAUSING_REASONS:
                worker.pause(now)
            self._events.record(
                "task_returned",
                job=str(task_id.job),
                task=outcome.task,
                worker=worker.name,
                assign=sent.number,
                reason=outcome.reason,
            )
            self._return_to_queue(task_id)
            return outcome.reason
        job = self._jobs[task_id.job]
        if state is jobs.TaskState.COMPLETED:
            self._speeds.learn(worker.name, job.task_at(outcome.task).request, outcome.run_ms / 1000)
        origin: dict[str, str | int] = {"worker": worker.name, "assign": sent.number}
        self._finish_task(job, outcome.task, state, outcome.reason, outcome.result, outcome.run_ms, origin)
        if outcome.reason == jobs.Reason.SEALED.value:
            self._refuse_sealed(task_id.session)
        return ""

    def _return_to_queue(self, task_id: ids.TaskId) -> None:
        job = self._jobs.get(task_id.job)
        if job is None or not job.return_to_queue(task_id.task):
            return
        self._queued_count += 1
        self._counters.add("tasks_returned", self.workspace, "")
        if job.refusal is not None:
            self._refuse_queued(job, job.refusal)
            return
        self._push(job)

    def _refuse_sealed(self, session: ids.SessionId) -> None:
        for job in list(self._jobs.values()):
            if job.id.session == session:
                self._refuse_queued(job, jobs.Reason.SEALED)

    def _refuse_queued(self, job: jobs.Job, reason: jobs.Reason) -> None:
        refused = job.refuse_queued(reason, asyncio.get_running_loop().time())
        if not refused:
            return
        self._queued_count -= refused
        self._counters.add("tasks_not_run", self.workspace, reason.value, refused)
        self._settle(job)

    def _give_up(self, job: jobs.Job) -> None:
        for index in range(job.task_count):
            if not job.task_at(index).state.is_final:
                self._finish_task(job, index, jobs.TaskState.UNKNOWN, jobs.Reason.DEADLINE.value)

    def _abandon(self, worker: remote_worker.RemoteWorker, reason: jobs.Reason) -> None:
        for task_id in worker.abandon():
            job = self._jobs.get(task_id.job)
            if job is not None:
                origin = {"worker": worker.name}
                self._finish_task(job, task_id.task, jobs.TaskState.UNKNOWN, reason.value, origin=origin)

    def _finish_task(
        self,
        job: jobs.Job,
        index: int,
        state: jobs.TaskState,
        reason: str = "",
        result: bytes = b"",
        run_ms: float = 0,
        origin: "abc.Mapping[str, str | int] | None" = None,
    ) -> None:
        now = asyncio.get_running_loop().time()
        if job.finish_task(index, state, now, reason, result, run_ms):
            self._counters.add(f"tasks_{state.value}", self.workspace, reason)
            self._events.record(
                "task_ended", job=str(job.id), task=index, state=state.value, reason=reason, **(origin or {})
            )
        self._settle(job)

    def _settle(self, job: jobs.Job) -> None:
        if not job.is_finished or self._jobs.pop(job.id, None) is None:
            return
        now = asyncio.get_running_loop().time()
        self._counters.add(f"jobs_{job.state.value}", self.workspace, "")
        self._counters.record_duration("job_response", self.workspace, now - job.accepted_at)
        self._events.record("job_finished", job=str(job.id), state=job.state.value)
        self._on_finished(job)
