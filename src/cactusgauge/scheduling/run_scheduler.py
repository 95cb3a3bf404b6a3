"""Queueing, placement and refusal of jobs at one entry, without I/O."""

import abc
from typing import TYPE_CHECKING

from cactusgauge import ids
from cactusgauge.scheduling import (
    admission_policy,
    crash_ledger,
    drain_rate,
    duration_estimator,
    fleet_state,
    job_order,
    job_result,
    late_job_policy,
    parallel_job,
    run_end,
    run_placement,
    worker_report,
    worker_view,
)

if TYPE_CHECKING:
    from collections import abc as collections_abc

    from cactusgauge import health as health_module

MAX_BLOCKED_JOBS = 6  # a dispatch pass ends after this many jobs that do not fit; most tasks are of similar size
# Multiple of the expected duration; more than 3 standard deviations of the task durations on a healthy worker.
STRAGGLER_FACTOR = 2.5
STRAGGLER_SLACK_S = 0.1  # so that a network delay does not make a task of a few milliseconds a straggler
# Relative slowness of a worker from which its stragglers are moved; normal workers differ by a factor of up to 2.2.
# The other worker must be faster by this factor, too.
MIN_STRAGGLER_SLOWNESS = 1.8
# Each move discards the work done so far. Agents that the task avoids after a failure count as moves too.
MAX_MOVES_PER_TASK = 2
SUSPENSION_THRESHOLD_S = 0.3  # after this time without a tick, the process is assumed to have been suspended
# After a suspension, starts wait for this long, so that pending messages and disconnects are read first.
RESUME_DELAY_S = 0.1
MAX_LOGGED_WAIT_S = 1e6  # JSON has no infinity
STARTUP_GRACE_S = 1.0  # a new entry accepts every job for this long, as not all workers have reported yet
RUN_NUMBER_STEP = 10_000  # increment for a run number that a worker refused as too low
TRIAL_S = 0.2  # after this time without a crash, the next suspect may start on a worker; covers reports and delays
CRASHES_WORKERS = "crashes_workers"  # reason for which a job fails if workers crash under one of its tasks


class SchedulerOutput(abc.ABC):
    """Receives the actions of a scheduler: starts, stops, results of jobs and log events."""

    @abc.abstractmethod
    def start(self, agent: ids.AgentName, task: parallel_job.ParallelTask, run: ids.RunKey, expected_s: float) -> int:
        """Send a start to an agent and return its sequence number; `expected_s` is for a worker of median speed."""

    @abc.abstractmethod
    def stop(self, agent: ids.AgentName, runs: list[ids.RunKey], reason: str) -> None:
        """Tell an agent to stop runs."""

    @abc.abstractmethod
    def finish(
        self, job: parallel_job.ParallelJob, result: job_result.JobResult, reason: str, retry_after_s: int
    ) -> None:
        """Send the result of a job to its callers; `retry_after_s` is 0 unless they should retry after a delay."""

    @abc.abstractmethod
    def request_dispatch(self) -> None:
        """Call `RunScheduler.dispatch` soon; one call serves all requests since the last one."""

    @abc.abstractmethod
    def log_event(self, event: str, **fields: str | float) -> None:
        """Log an event with its fields."""


class RunScheduler:
    """Schedules the jobs of an entry until they end.

    Runs of an ended job may continue on their workers until the stop is confirmed. Until then, no other run of the
    same task starts. `now` and other times are event loop times in seconds; `new_run_number` returns a lower bound for
    the number of the next run. `entry_count` is the number of entries that share the workers.
    """

    def __init__(
        self,
        fleet: fleet_state.FleetState,
        order: job_order.JobOrder,
        placement: run_placement.RunPlacement,
        admission: admission_policy.AdmissionPolicy,
        late_jobs: late_job_policy.LateJobPolicy,
        health: "health_module.WorkerHealth",
        output: SchedulerOutput,
        new_run_number: "collections_abc.Callable[[], int]",
        started_at: float,
    ) -> None:
        self._fleet = fleet
        self._order = order
        self._placement = placement
        self._admission = admission
        self._late_jobs = late_jobs
        self._health = health
        self._output = output
        self._new_run_number = new_run_number
        self._duration_estimator = duration_estimator.DurationEstimator()
        self._drain_rate = drain_rate.DrainRate()
        self._crash_ledger = crash_ledger.CrashLedger()
        self._trials_refused_at: dict[ids.AgentName, float] = {}
        self._jobs: dict[ids.JobKey, parallel_job.ParallelJob] = {}
        self._running: dict[ids.AgentName, dict[ids.RunKey, parallel_job.ParallelTask]] = {}
        self._stopping_runs: dict[ids.TaskKey, ids.RunKey] = {}  # of ended jobs, until their end is known
        self._grace_ends_at = started_at + STARTUP_GRACE_S
        self._last_tick_at: float | None = None
        self._resume_at = float("-inf")
        self.entry_count = 1

    @property
    def open_jobs(self) -> "collections_abc.Collection[parallel_job.ParallelJob]":
        """All jobs that have not ended."""
        return self._jobs.values()

    def count_waiting_jobs(self, queue: ids.QueueName) -> int:
        """Return the number of jobs in a queue that have no started task."""
        return sum(job.policy.queue == queue and not job.has_started for job in self._jobs.values())

    def runs_on_agent(self, agent: ids.AgentName) -> list[ids.RunKey]:
        """Return the runs that this entry assumes to be on an agent's worker."""
        return list(self._running.get(agent, {}))

    def unwanted_runs(self, agent: ids.AgentName, held: "collections_abc.Iterable[ids.RunKey]") -> list[ids.RunKey]:
        """Return the runs held by an agent that this entry does not know, has stopped, or whose job has ended."""
        known = self._running.get(agent, {})
        return [run for run in held if not self._is_wanted(known.get(run))]

    def has_runs_on_agent(self, agent: ids.AgentName) -> bool:
        """Return whether this entry assumes that it has runs on an agent's worker."""
        return bool(self._running.get(agent))

    def expected_s(self, job: parallel_job.ParallelJob) -> float:
        """Return the expected run time of a job on median workers."""
        return self._critical_path_s(job)

    def get_job(self, key: ids.JobKey) -> parallel_job.ParallelJob | None:
        """Return an open job, or None if there is no open job with this key."""
        return self._jobs.get(key)

    def submit(self, job: parallel_job.ParallelJob, now: float) -> admission_policy.Refusal | None:
        """Accept a job or return its refusal; a refused job never runs."""
        if self._crash_ledger.is_at_limit(job.key):  # its caller has sent it before, to this or another entry
            self._jobs[job.key] = job
            self._finish(job, job_result.JobResult.FAILED, CRASHES_WORKERS)
            return None
        refusal = self._check_admission(job, now)
        if refusal is not None:
            return refusal
        self._jobs[job.key] = job
        self._output.request_dispatch()
        return None

    def cancel(self, key: ids.JobKey, result: job_result.JobResult, reason: str) -> bool:
        """End a job and stop its runs; return whether the job was open."""
        job = self._jobs.get(key)
        if job is None:
            return False
        self._finish(job, result, reason)
        return True

    def update_worker(
        self, view: worker_view.WorkerView, report: worker_report.WorkerReport, handled_start: int, now: float
    ) -> None:
        """Apply a report that includes all starts up to number `handled_start`, and dispatch waiting tasks."""
        previous = view.report
        view.update(report, handled_start, now)
        if previous is None or previous.slowness != report.slowness or previous.phase is not report.phase:
            self._fleet.update_median_slowness()
        self._output.request_dispatch()

    def cancel_all(self, reason: str, retry_after_s: int = 0) -> None:
        """End all jobs, which this entry can't serve any more."""
        for job in list(self._jobs.values()):
            self._finish(job, job.result_if_given_up, reason, retry_after_s)

    def end_run(self, agent: ids.AgentName, end: run_end.RunEnd, now: float) -> None:
        """Process the end of a run: complete, fail or requeue its task."""
        if self._stopping_runs.get(end.key.task) == end.key:
            del self._stopping_runs[end.key.task]
        task = self._running.get(agent, {}).pop(end.key, None)
        if task is not None and self._jobs.get(task.job.key) is task.job:
            self._apply_end(agent, task, end, now)
        self._output.request_dispatch()

    def _is_wanted(self, task: parallel_job.ParallelTask | None) -> bool:
        return task is not None and not task.is_stopping and self._jobs.get(task.job.key) is task.job

    def _apply_end(
        self, agent: ids.AgentName, task: parallel_job.ParallelTask, end: run_end.RunEnd, now: float
    ) -> None:
        job = task.job
        job.record_decision(now, f"{end.kind.value} {task.key.step}/{task.key.position} {end.reason}".rstrip())
        if end.kind is run_end.EndKind.DONE:
            self._complete(agent, task, end, now)
        elif end.kind is run_end.EndKind.FAILED:
            self._fail(agent, task, end)
        else:
            self._requeue(agent, task, end, now)

    def record_crash(self, crash: crash_ledger.WorkerCrash, now: float) -> bool:
        """Count the crash of a worker and end jobs with a task that causes crashes; return whether it was unknown.

        The ends of this entry's runs on the worker are reported separately.
        """
        if not self._crash_ledger.record(crash, now):
            return False
        for key in {task.job for task in crash.tasks.all}:
            job = self._jobs.get(key)
            if job is not None and self._crash_ledger.is_at_limit(key):
                job.record_decision(now, f"given up after a crash at {crash.agent}")
                self._finish(job, job_result.JobResult.FAILED, CRASHES_WORKERS)
        return True

    def handle_agent_loss(self, agent: ids.AgentName, reason: str, now: float) -> None:
        """Treat all runs on an agent as lost."""
        runs = list(self._running.get(agent, {}))
        for key in runs:
            self.end_run(agent, run_end.RunEnd(key, run_end.EndKind.LOST, 0.0, reason), now)
        self._stopping_runs = {task: run for task, run in self._stopping_runs.items() if run not in runs}

    def tick(self, now: float) -> None:
        """End jobs past their deadline, drop late jobs, move stragglers and place tasks; called periodically."""
        if self._was_suspended(now):
            assert self._last_tick_at is not None
            self._resume_at = now + RESUME_DELAY_S
            self._output.log_event("suspension_noticed", paused_ms=round((now - self._last_tick_at) * 1000))
        self._last_tick_at = now
        for job in list(self._jobs.values()):
            if now >= job.deadline:
                self._finish(job, job.result_if_given_up, "deadline")
        self._drop_late_jobs(now)
        self._move_stragglers(now)
        self.dispatch(now)

    def dispatch(self, now: float) -> None:
        """Start waiting tasks on workers with free resources.

        After a suspension of the process, callers may have disconnected and submitted their jobs to another entry.
        Nothing starts until the messages that arrived in the meantime have been read.
        """
        if self._was_suspended(now) or now < self._resume_at:
            return
        blocked = 0
        for job in self._placeable_jobs_by_rank(now):
            if now < job.deadline and not self._dispatch_job(job, now):
                blocked += 1
                if blocked >= MAX_BLOCKED_JOBS:
                    return

    def _was_suspended(self, now: float) -> bool:
        return self._last_tick_at is not None and now - self._last_tick_at > SUSPENSION_THRESHOLD_S

    def _dispatch_job(self, job: parallel_job.ParallelJob, now: float) -> bool:
        """Place the waiting tasks of a job; return whether all were placed."""
        available = self._available_workers(job, now)
        for step_tasks in job.tasks:
            runs_per_agent = (
                self._count_runs_per_agent(step_tasks) if step_tasks and step_tasks[0].step.max_per_worker else {}
            )
            for task in step_tasks:
                if task.phase is not parallel_job.TaskPhase.WAITING or task.key in self._stopping_runs:
                    continue
                candidates = [view for view in available if run_placement.is_eligible(task, view, runs_per_agent)]
                if self._crash_ledger.is_suspect(task.key):
                    candidates = self._workers_for_suspect(task, candidates, now)
                preferred = [view for view in candidates if view.agent not in task.avoided_agents]
                expected_s = self._duration_estimator.expected_s(job.policy.queue, task.step.estimate_s)
                worker = self._placement.choose(task, expected_s, preferred or candidates, now)
                if worker is None:
                    return False
                self._start(task, worker, expected_s, now)
                runs_per_agent[worker.agent] = runs_per_agent.get(worker.agent, 0) + 1
                if self._health.max_in_flight(worker.agent, now) is not None:
                    available = self._available_workers(job, now)
        return True

    def _workers_for_suspect(
        self, task: parallel_job.ParallelTask, candidates: list[worker_view.WorkerView], now: float
    ) -> list[worker_view.WorkerView]:
        """Return the trial workers on which a task that may have crashed another worker can run again.

        Suspects start there one after the other, so that a second crash shows which of them is the cause.
        """

        def can_run(view: worker_view.WorkerView) -> bool:
            return (
                view.report is not None
                and task.demand.fits(view.report.capacity)
                and run_placement.is_eligible(task, view, {})
            )

        trial_workers = self._fleet.trial_workers(task.job.policy.service, can_run, now)
        return [view for view in trial_workers if view in candidates and not self._has_trial(view.agent, now)]

    def _has_trial(self, agent: ids.AgentName, now: float) -> bool:
        """Return whether this or another entry started a suspect on a worker so recently that it may still crash it."""
        if now - self._trials_refused_at.get(agent, float("-inf")) < TRIAL_S / 2:
            return True
        return any(
            now - task.started_at < TRIAL_S and self._crash_ledger.is_suspect(task.key)
            for task in self._running.get(agent, {}).values()
        )

    def _available_workers(self, job: parallel_job.ParallelJob, now: float) -> list[worker_view.WorkerView]:
        """Return the workers of a job's service that accept runs and are below the limit set by their health."""
        result = []
        for view in self._fleet.available_workers(job.policy.service):
            max_in_flight = self._health.max_in_flight(view.agent, now)
            if max_in_flight is None or len(self._running.get(view.agent, {})) < max_in_flight:
                result.append(view)
        return result

    @staticmethod
    def _count_runs_per_agent(tasks: list[parallel_job.ParallelTask]) -> dict[ids.AgentName, int]:
        counts: dict[ids.AgentName, int] = {}
        for task in tasks:
            if task.agent is not None:
                counts[task.agent] = counts.get(task.agent, 0) + 1
        return counts

    def _start(
        self, task: parallel_job.ParallelTask, view: worker_view.WorkerView, expected_s: float, now: float
    ) -> None:
        task.last_run = max(task.last_run + 1, self._new_run_number())
        run = task.run
        task.phase = parallel_job.TaskPhase.RUNNING
        task.agent = view.agent
        task.started_at = now
        task.is_stopping = False
        task.job.record_start()
        task.job.record_decision(now, f"start {task.key.step}/{task.key.position} at {view.agent}")
        self._running.setdefault(view.agent, {})[run] = task
        number = self._output.start(view.agent, task, run, expected_s)
        view.reserve(number, task.demand)
        self._drain_rate.add(now, self._core_s(task))

    def _complete(self, agent: ids.AgentName, task: parallel_job.ParallelTask, end: run_end.RunEnd, now: float) -> None:
        job = task.job
        view = self._fleet.get(agent)
        if view is not None and end.ran_s > 0:
            self._duration_estimator.record(
                job.policy.queue, task.step.estimate_s, end.ran_s, self._fleet.slowness(view)
            )
        self._health.record(agent, job.key, job.policy.queue, failed=False)
        self._crash_ledger.clear(task.key)
        for unblocked in job.mark_done(task):
            unblocked.phase = parallel_job.TaskPhase.WAITING
        if job.open_count == 0:
            self._finish(job, job_result.JobResult.SUCCEEDED, "")

    def _fail(self, agent: ids.AgentName, task: parallel_job.ParallelTask, end: run_end.RunEnd) -> None:
        job = task.job
        self._health.record(agent, job.key, job.policy.queue, failed=True)
        task.failures += 1
        self._output.log_event(
            "run_failed", run=str(end.key), agent=agent, failures=task.failures, allowed=job.policy.max_failures
        )
        task.phase = parallel_job.TaskPhase.WAITING
        task.agent = None
        task.avoided_agents.add(agent)
        if task.failures >= job.policy.max_failures:
            self._finish(job, job_result.JobResult.FAILED, "attempts_used")

    def _requeue(self, agent: ids.AgentName, task: parallel_job.ParallelTask, end: run_end.RunEnd, now: float) -> None:
        task.phase = parallel_job.TaskPhase.WAITING
        task.agent = None
        if end.reason == "old_run":  # the worker has had a run of this task with the same or a higher number
            task.last_run += RUN_NUMBER_STEP
        elif end.reason == crash_ledger.TRIAL_RUNNING:
            self._trials_refused_at[agent] = now
        elif end.reason == "unhealthy":
            self._health.record(agent, task.job.key, task.job.policy.queue, failed=True)
            task.avoided_agents.add(agent)
        if end.kind is run_end.EndKind.NOT_STARTED:
            task.job.record_not_started()
            self._drain_rate.remove(now, self._core_s(task))
        self._output.log_event(
            "run_requeued", run=str(end.key), agent=agent, kind=end.kind.value, reason=end.reason,
            age_ms=round((now - task.job.arrived_at) * 1000),
        )  # fmt: skip

    def _finish(
        self, job: parallel_job.ParallelJob, result: job_result.JobResult, reason: str, retry_after_s: int = 0
    ) -> None:
        del self._jobs[job.key]
        stops: dict[ids.AgentName, list[ids.RunKey]] = {}
        for task in job.all_tasks:
            if task.phase is parallel_job.TaskPhase.RUNNING and task.agent is not None:
                self._stopping_runs[task.key] = task.run
                stops.setdefault(task.agent, []).append(task.run)
        for agent, runs in stops.items():
            self._output.stop(agent, runs, result.value)
        self._output.finish(job, result, reason, retry_after_s)

    def _drop_late_jobs(self, now: float) -> None:
        """Drop the late jobs that have not started and that the policy does not keep."""
        wait_s: dict[ids.ServiceName, float] = {}  # the jobs dropped in one tick share the estimate of the backlog
        for job in list(self._jobs.values()):
            if job.has_started:
                continue
            remaining_s = self._expected_job_s(job)
            if now + remaining_s <= job.objective_at:
                continue
            available_share = (
                self._fleet.available_share(job.policy.service, now) if now >= self._grace_ends_at else 0.0
            )
            if self._late_jobs.should_drop(job, remaining_s, available_share, now):
                service = job.policy.service
                if service not in wait_s:
                    wait_s[service] = self._load(job, now).wait_s
                retry_after_s = admission_policy.retry_after_s(wait_s[service], job.policy.priority)
                self._finish(job, job_result.JobResult.NOT_RUN, "objective_lost", retry_after_s)

    def _placeable_jobs_by_rank(self, now: float) -> list[parallel_job.ParallelJob]:
        """Return the jobs with waiting tasks that fit on some worker, most urgent first.

        Under overload hardly any waiting job fits anywhere, and every report and end of a run leads here. Ranking all
        waiting jobs would take a small entry more time than it has.
        """
        most_free: dict[ids.ServiceName, int] = {}
        placeable = []
        for job in self._jobs.values():
            if not job.waiting_count:
                continue
            service = job.policy.service
            if service not in most_free:
                free = (view.free.cpu_millicores for view in self._fleet.available_workers(service))
                most_free[service] = max(free, default=-1)
            if job.min_cpu_millicores <= most_free[service]:
                placeable.append(job)
        placeable.sort(key=lambda job: self._order.rank(job, self._expected_job_s(job), now))
        return placeable

    def _check_admission(self, job: parallel_job.ParallelJob, now: float) -> admission_policy.Refusal | None:
        job.set_objective(self._critical_path_s(job))
        available = self._fleet.available_workers(job.policy.service)
        if now < self._grace_ends_at:
            return None
        if not available:
            return admission_policy.Refusal("no_workers", admission_policy.MIN_RETRY_AFTER_S)
        for step in job.steps:
            if not any(view.report is not None and step.demand.fits(view.report.capacity) for view in available):
                return admission_policy.Refusal("never_fits", admission_policy.MAX_RETRY_AFTER_S)
        load = self._load(job, now)
        job.admission = {
            "wait_ms": round(min(load.wait_s, MAX_LOGGED_WAIT_S) * 1000),
            "ahead_core_s": round(load.ahead_core_s, 1),
            "drain_core_s_per_s": round(load.drain_core_s_per_s, 1),
            "oldest_wait_ms": round(load.oldest_wait_s * 1000),
            "workers": len(available),
            "oldest_report_ms": round((now - min(view.reported_at for view in available)) * 1000),
        }
        return self._admission.evaluate(job, load, now)

    def _load(self, job: parallel_job.ParallelJob, now: float) -> admission_policy.Load:
        available = self._fleet.available_workers(job.policy.service)
        own_rank = self._order.rank(job, self._expected_job_s(job), now)
        ahead_core_s = 0.0
        oldest_wait_s = 0.0
        for other in self._jobs.values():
            if other is job or other.policy.service != job.policy.service or not other.has_unstarted_tasks:
                continue
            if self._order.rank(other, self._expected_job_s(other), now) <= own_rank:
                ahead_core_s += self._waiting_core_s(other)
                if not other.has_started:
                    oldest_wait_s = max(oldest_wait_s, now - other.arrived_at)
        ahead_core_s += self._waiting_core_s(job)
        critical_path_s = self._expected_job_s(job)
        free_core_s = sum(
            view.free.cpu_millicores / 1000 * critical_path_s
            for view in available
            if all(step.demand.fits(view.free) for step in job.steps)
        )
        lowest_slowness = min((self._fleet.slowness(view) for view in available), default=1.0)
        return admission_policy.Load(
            max(0.0, ahead_core_s - free_core_s),
            self._expected_drain_rate(available, now),
            oldest_wait_s,
            critical_path_s * lowest_slowness,
        )

    def _expected_drain_rate(self, available: list[worker_view.WorkerView], now: float) -> float:
        """Return the core-seconds per second that this entry can expect from the available workers."""
        capacity = 0.0
        for view in available:
            assert view.report is not None
            capacity += view.report.capacity.cpu_millicores / 1000 / self._fleet.slowness(view)
        return max(self._drain_rate.per_second(now), capacity / max(1, self.entry_count)) if available else 0.0

    def _waiting_core_s(self, job: parallel_job.ParallelJob) -> float:
        """Return the expected core-seconds of the tasks that are not running or done."""
        if len(job.steps) == 1:
            return job.waiting_count * self._core_s(job.tasks[0][0])
        return sum(self._core_s(task) for task in job.all_tasks if task.phase in _UNSTARTED_PHASES)

    def _core_s(self, task: parallel_job.ParallelTask) -> float:
        expected_s = self._duration_estimator.expected_s(task.job.policy.queue, task.step.estimate_s)
        return expected_s * task.demand.cpu_millicores / 1000

    def _critical_path_s(self, job: parallel_job.ParallelJob) -> float:
        ends: list[float] = []
        for step in job.steps:
            before = max((ends[number] for number in step.depends_on), default=0.0)
            ends.append(before + self._duration_estimator.expected_s(job.policy.queue, step.estimate_s))
        return max(ends, default=0.0)

    def _expected_job_s(self, job: parallel_job.ParallelJob) -> float:
        """Return the expected duration of the job's critical path, which includes steps that are already done."""
        if len(job.steps) == 1:
            return self._duration_estimator.expected_s(job.policy.queue, job.steps[0].estimate_s)
        return self._critical_path_s(job)

    def _move_stragglers(self, now: float) -> None:
        """Stop runs that take far too long on slow workers if a faster worker is free; their tasks are requeued."""
        for agent, runs in self._running.items():
            view = self._fleet.get(agent)
            if view is None or not view.is_reachable or self._fleet.slowness(view) < MIN_STRAGGLER_SLOWNESS:
                continue
            stops = []
            for run, task in runs.items():
                if (
                    task.is_stopping
                    or len(task.avoided_agents) >= MAX_MOVES_PER_TASK
                    or self._jobs.get(task.job.key) is not task.job
                ):
                    continue
                expected_s = self._duration_estimator.expected_s(task.job.policy.queue, task.step.estimate_s)
                if now - task.started_at < STRAGGLER_FACTOR * expected_s + STRAGGLER_SLACK_S:
                    continue
                if self._has_faster_worker(task, view, now):
                    task.is_stopping = True
                    task.avoided_agents.add(agent)
                    stops.append(run)
            if stops:
                self._output.log_event(
                    "stragglers_moved", agent=agent, runs=len(stops), slowness=round(self._fleet.slowness(view), 2)
                )
                self._output.stop(agent, stops, "straggler")

    def _has_faster_worker(self, task: parallel_job.ParallelTask, current: worker_view.WorkerView, now: float) -> bool:
        return any(
            view is not current
            and task.demand.fits(view.free)
            and self._fleet.slowness(view) * MIN_STRAGGLER_SLOWNESS < self._fleet.slowness(current)
            for view in self._available_workers(task.job, now)
        )


_UNSTARTED_PHASES = frozenset({parallel_job.TaskPhase.WAITING, parallel_job.TaskPhase.BLOCKED})
