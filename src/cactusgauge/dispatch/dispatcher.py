"""Dispatcher of the tasks of one workspace at one entry."""

import asyncio
from typing import TYPE_CHECKING

from cactusgauge import accounting, configuration, exceptions, ids, jobs, wire
from cactusgauge import health as health_module
from cactusgauge.dispatch import (
    admission,
    failure_classification,
    job_queue,
    ordering,
    placement,
    remote_worker,
    run_time_estimator,
    task_planner,
    worker_groups,
)

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import observability

AGENT_LOST_TIMEOUT_S = 10.0  # after so long without a link, an agent's tasks become unknown, so callers stop waiting
DEADLINE_GRACE_S = 1.0  # allows for the report of an agent that stopped a task at its deadline

ORDERINGS: "dict[configuration.OrderingName, type[ordering.TaskOrdering]]" = {
    configuration.OrderingName.ARRIVAL: ordering.ArrivalOrdering,
    configuration.OrderingName.FEWEST_REMAINING: ordering.FewestRemainingOrdering,
}
PLACEMENTS: "dict[configuration.PlacementName, type[placement.WorkerPlacement]]" = {
    configuration.PlacementName.ANY_FREE: placement.AnyFreePlacement,
    configuration.PlacementName.FASTEST_FREE: placement.FastestFreePlacement,
    configuration.PlacementName.WAIT_FOR_FASTER: placement.WaitForFasterPlacement,
}

# After a refusal for one of these reasons the worker is paused, as an immediate retry would be refused again.
PAUSE_REASONS = frozenset(
    {
        jobs.Reason.NO_BACKEND_SERVER.value,
        jobs.Reason.CONNECTION_REFUSED.value,
        jobs.Reason.REFUSED_BY_BACKEND_SERVER.value,
        jobs.Reason.AGENT_DRAINING.value,
    }
)


class Dispatcher:
    """Queues the tasks of the jobs that this entry owns in a workspace and sends each to at most one agent at a time.

    A task that was sent returns to the queue only if it provably did not run.
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
        self._estimator = run_time_estimator.RunTimeEstimator()
        self._health = health_module.WorkerHealth(config.name, counters, events, self._available_worker_count)
        self._planner = task_planner.TaskPlanner(self._estimator, self._health)
        self._groups = self._planner.groups
        # Accounts are cumulative, so those of replaced agent incarnations are kept.
        self._accounts: dict[tuple[ids.AgentName, ids.AgentIncarnation], accounting.PairAccount] = {}
        self._dispatch_scheduled = False
        self._replan_timer: asyncio.TimerHandle | None = None
        self.apply_config(config)

    @property
    def workspace(self) -> ids.WorkspaceName:
        """Name of the workspace."""
        return self._config.name

    @property
    def workers(self) -> list[remote_worker.RemoteWorker]:
        """All known workers, including those that are currently disconnected."""
        return list(self._workers.values())

    @property
    def estimator(self) -> run_time_estimator.RunTimeEstimator:
        """Estimator of run times and of the slowness of workers."""
        return self._estimator

    @property
    def queued_count(self) -> int:
        """Number of tasks that wait for a slot."""
        return len(self._queue)

    @property
    def health(self) -> health_module.WorkerHealth:
        """Health tracker of the workers."""
        return self._health

    @property
    def running_count(self) -> int:
        """Number of tasks in flight."""
        return self._groups.running_count

    @property
    def open_jobs(self) -> list[jobs.Job]:
        """The unfinished jobs."""
        return list(self._jobs.values())

    def pair_totals(self) -> list[accounting.PairTotals]:
        """Return the account totals for every agent incarnation."""
        return [
            account.totals(incarnation, name, self.workspace) for (name, incarnation), account in self._accounts.items()
        ]

    def apply_config(self, config: "configuration.WorkspaceConfig") -> None:
        """Apply a new version of the workspace configuration and rebuild the queue in its order."""
        self._config = config
        self._ordering = ORDERINGS[config.ordering]()
        self._planner.configure(PLACEMENTS[config.placement](), config.max_running_tasks)
        self._admission = admission.AdmissionControl(config, self._ordering, self._estimator)
        self._queue = job_queue.JobQueue(self._ordering, self._estimator)
        for job in self._jobs.values():
            if job.queued_count:
                self._queue.add(job, [task.index for task in job.queued_tasks])
        self._groups.mark_all_dirty()

    def admit(self, job: jobs.Job) -> None:
        """Queue all tasks of a job, or raise a `RequestError` and queue none of them."""
        now = asyncio.get_running_loop().time()
        self._admission.check(job, self._queue, self._planner.capacity(now), now)
        self._jobs[job.id] = job
        self._queue.add(job, range(job.task_count))
        self._counters.add("jobs_accepted", self.workspace, "")
        self._counters.add("tasks_accepted", self.workspace, "", job.task_count)
        self._events.record("job_accepted", job=str(job.id), tasks=job.task_count, workspace=self.workspace)
        self._groups.mark_some_dirty(job.task_count)
        self.schedule()

    def cancel(self, job: jobs.Job) -> None:
        """End the queued tasks of a job as not run; running tasks are allowed to finish."""
        self._events.record("job_cancelled", job=str(job.id), queued=job.queued_count)
        self._refuse_queued(job, jobs.Reason.CANCELLED)

    def schedule(self) -> None:
        """Schedule one dispatch on the event loop; several calls before it runs are combined into one."""
        if not self._dispatch_scheduled:
            self._dispatch_scheduled = True
            asyncio.get_running_loop().call_soon(self._dispatch)

    def find_or_create_worker(self, hello: wire.AgentHello) -> remote_worker.RemoteWorker:
        """Return the worker for an agent's hello message; a new worker is not registered until `attach`."""
        known = self._workers.get(hello.name)
        if known is not None and known.incarnation == hello.incarnation:
            return known
        account = self._accounts.setdefault((hello.name, hello.incarnation), accounting.PairAccount())
        return remote_worker.RemoteWorker(hello, hello.data_centre, account)

    def attach(self, worker: remote_worker.RemoteWorker, link: wire.Link, resume: wire.Resume) -> None:
        """Start using a worker's new link and requeue the tasks that never reached the agent.

        Only a running agent completes the handshake. Therefore a worker of another incarnation is replaced here and
        not earlier; the tasks in flight at the replaced worker become unknown.
        """
        known = self._workers.get(worker.name)
        if known is not None and known is not worker:
            if known.incarnation == worker.incarnation:
                raise exceptions.ProtocolError(f"agent {worker.name} opened two initial links at the same time")
            self._abandon_worker(known, jobs.Reason.AGENT_RESTARTED)
            self._health.forget(worker.name)
            if known.link is not None:
                known.link.abort()
        self._workers[worker.name] = worker
        returned = worker.attach(link, resume)
        self._groups.add_or_replace(worker)
        for task_id in returned:
            self._return_to_queue(task_id)
        self.schedule()

    def detach(self, worker: remote_worker.RemoteWorker, link: wire.Link) -> None:
        """Record that a worker lost its link."""
        worker.detach(link, asyncio.get_running_loop().time())

    def handle_results(self, worker: remote_worker.RemoteWorker, results: wire.Results) -> None:
        """Process the task outcomes of a results message; a repeated message is ignored."""
        if not worker.accept_results(results):
            self._counters.add("messages_wasted", self.workspace, "repeated_results")
            return
        worker.update_state(results.credit, worker.serving)
        waste_reasons = [self._handle_outcome(worker, outcome) for outcome in results.outcomes]
        if waste_reasons and all(waste_reasons):
            self._counters.add("messages_wasted", self.workspace, waste_reasons[0])
        refused = results.outcomes and all(each.reason == jobs.Reason.NO_SLOT.value for each in results.outcomes)
        if refused and worker.free_slots:
            # The agent still runs tasks that this entry gave up, so new tasks within its credit would only be refused.
            worker.pause(asyncio.get_running_loop().time())
        self._groups.mark_dirty(worker)
        self.schedule()

    def handle_agent_state(self, worker: remote_worker.RemoteWorker, state: wire.AgentState) -> None:
        """Process a change of an agent's credit or state."""
        worker.acknowledge(state.assign_ack)
        worker.update_state(state.credit, state.serving)
        self._groups.mark_dirty(worker)
        self.schedule()

    def sweep(self) -> None:
        """End the tasks of jobs past their deadline and the tasks in flight at lost agents."""
        now = asyncio.get_running_loop().time()
        for job in list(self._jobs.values()):
            if now >= job.deadline:
                self._refuse_queued(job, jobs.Reason.DEADLINE)
            if now >= job.deadline + DEADLINE_GRACE_S:
                self._end_overdue_tasks(job)
        for worker in list(self._workers.values()):
            if worker.disconnected_since is not None and now - worker.disconnected_since > AGENT_LOST_TIMEOUT_S:
                self._abandon_worker(worker, jobs.Reason.AGENT_LOST)
        self._groups.mark_all_dirty()
        self.schedule()

    def _dispatch(self) -> None:
        self._dispatch_scheduled = False
        now = asyncio.get_running_loop().time()
        # Each group considers every `stride`th waiting task. What it takes leaves the queue, so one group fewer shares
        # the rest.
        stride = len(self._groups)
        for group in self._groups.take_dirty():
            self._send_batches(group, self._planner.plan(group, self._queue, stride, now), now)
            group.recount()
            stride -= 1
        self._schedule_replan()

    def _schedule_replan(self) -> None:
        """Set a timer for the next planning, as the slot that a task waits for may become free later than expected."""
        due = self._groups.next_replan_at
        if due is None or (self._replan_timer is not None and self._replan_timer.when() <= due):
            return
        if self._replan_timer is not None:
            self._replan_timer.cancel()
        self._replan_timer = asyncio.get_running_loop().call_at(due, self._on_replan_timer)

    def _on_replan_timer(self) -> None:
        self._replan_timer = None
        self._groups.mark_due_dirty(asyncio.get_running_loop().time())
        self._groups.mark_some_dirty(1)  # a task waiting for a slot in one group may find a faster free slot in another
        self.schedule()

    def _send_batches(
        self, group: worker_groups.WorkerGroup, batches: dict[ids.AgentName, list[placement.PlacedTask]], now: float
    ) -> None:
        for batch in batches.values():
            worker = batch[0].worker
            starts = [(each.job, each.task, each.run_s) for each in batch]
            number = worker.assign(starts, len(self._queue), now).number
            self._counters.add("tasks_sent", self.workspace, "", len(batch))
            for each in batch:
                self._events.record(
                    "task_sent",
                    job=str(each.job.id),
                    task=each.task.index,
                    worker=worker.name,
                    assign=number,
                )
        if not self._queue:
            return
        # An empty assign message announces the demand to an agent whose credit is used up or 0; agents divide their
        # slots among the entries that report demand.
        for worker in group.workers:
            if worker.announced_demand or worker.name in batches or worker.free_slots or not worker.is_available(now):
                continue
            worker.assign([], len(self._queue), now)

    def _handle_outcome(self, worker: remote_worker.RemoteWorker, outcome: wire.Outcome) -> str:
        """Process one task outcome; return why it counts as wasted, or an empty string if it was useful."""
        task_id = ids.TaskId(outcome.session, outcome.number, outcome.task)
        sent = worker.remove_in_flight(task_id)
        if sent is None or task_id.job not in self._jobs:
            self._counters.add("outcomes_late", self.workspace, "")
            return "late_result"
        now = asyncio.get_running_loop().time()
        state = jobs.TaskState(outcome.state)
        self._record_health(worker, task_id, state, outcome.reason, sent)
        if state is jobs.TaskState.NOT_RUN and outcome.reason != jobs.Reason.SEALED.value:
            if outcome.reason in PAUSE_REASONS:
                worker.pause(now)
            self._events.record(
                "task_returned",
                job=str(task_id.job),
                task=outcome.task,
                worker=worker.name,
                assign=sent.assign_number,
                reason=outcome.reason,
            )
            self._return_to_queue(task_id)
            return outcome.reason
        job = self._jobs[task_id.job]
        if state is jobs.TaskState.COMPLETED:
            self._estimator.record_completion(
                worker.name, job.task_at(outcome.task).request, outcome.run_ms / 1000, now
            )
        origin: dict[str, str | int] = {"worker": worker.name, "assign": sent.assign_number}
        self._finish_task(job, outcome.task, state, outcome.reason, outcome.result, outcome.run_ms, origin)
        if outcome.reason == jobs.Reason.SEALED.value:
            self._refuse_sealed(task_id.session)
        return ""

    def _record_health(
        self,
        worker: remote_worker.RemoteWorker,
        task_id: ids.TaskId,
        state: jobs.TaskState,
        reason: str,
        sent: remote_worker.InFlightTask,
    ) -> None:
        ran_s = asyncio.get_running_loop().time() - sent.sent_at
        is_failure = failure_classification.is_worker_failure(state, reason, ran_s, sent.expected_end - sent.sent_at)
        if is_failure is not None:
            kind = self._jobs[task_id.job].task_at(task_id.task).request.kind
            self._health.record(worker.name, task_id.job, kind, is_failure)

    def _available_worker_count(self) -> int:
        now = asyncio.get_running_loop().time()
        return sum(worker.is_available(now) for worker in self._workers.values())

    def _return_to_queue(self, task_id: ids.TaskId) -> None:
        job = self._jobs.get(task_id.job)
        if job is None or not job.return_to_queue(task_id.task):
            return
        self._queue.add(job, [task_id.task])
        self._groups.mark_some_dirty(1)
        self._counters.add("tasks_returned", self.workspace, "")
        if job.refusal is not None:
            self._refuse_queued(job, job.refusal)

    def _refuse_sealed(self, session: ids.SessionId) -> None:
        for job in list(self._jobs.values()):
            if job.id.session == session:
                self._refuse_queued(job, jobs.Reason.SEALED)

    def _refuse_queued(self, job: jobs.Job, reason: jobs.Reason) -> None:
        refused = job.refuse_queued(reason, asyncio.get_running_loop().time())
        if not refused:
            return
        self._queue.remove_job(job)
        self._counters.add("tasks_not_run", self.workspace, reason.value, refused)
        self._finish_job_if_done(job)

    def _end_overdue_tasks(self, job: jobs.Job) -> None:
        for index in range(job.task_count):
            if not job.task_at(index).state.is_final:
                self._finish_task(job, index, jobs.TaskState.UNKNOWN, jobs.Reason.DEADLINE.value)

    def _abandon_worker(self, worker: remote_worker.RemoteWorker, reason: jobs.Reason) -> None:
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
            self._queue.update_rank(job)
        self._finish_job_if_done(job)

    def _finish_job_if_done(self, job: jobs.Job) -> None:
        if not job.is_finished or self._jobs.pop(job.id, None) is None:
            return
        now = asyncio.get_running_loop().time()
        self._counters.add(f"jobs_{job.state.value}", self.workspace, "")
        self._counters.record_duration("job_response", self.workspace, now - job.accepted_at)
        self._events.record("job_finished", job=str(job.id), state=job.state.value)
        self._on_finished(job)
