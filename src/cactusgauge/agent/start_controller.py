"""Starts or refuses the tasks that entries assign to an agent."""

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from cactusgauge import configuration, ids, jobs, wire
from cactusgauge.agent import remote_entry

DRAIN_POLL_INTERVAL_S = 0.05
ACKNOWLEDGEMENT_TIMEOUT_S = 20.0  # a connected entry acknowledges within `wire.link.IDLE_HEARTBEAT_INTERVAL_S`
MAX_PENDING_SEALS = 10_000  # callers can send any session id, so the seals for unknown owners must be bounded

if TYPE_CHECKING:
    from cactusgauge import observability
    from cactusgauge.agent import backend_server_lease, slot_allocator, start_log, task_runner


class StartController:
    """Starts tasks while slots are free, refuses the others as `not_run`, and reports every outcome."""

    def __init__(
        self,
        workspace: ids.WorkspaceName,
        lease: "backend_server_lease.BackendServerLease",
        allocator: "slot_allocator.SlotAllocator",
        start_log: "start_log.StartLog",
        runner: "task_runner.TaskRunner",
        counters: "observability.Counters",
        events: "observability.EventRing",
    ) -> None:
        self._workspace = workspace
        self._lease = lease
        self._allocator = allocator
        self._start_log = start_log
        self._runner = runner
        self._counters = counters
        self._events = events
        self._entries: dict[ids.EntryIncarnation, remote_entry.RemoteEntry] = {}
        self._pending_seals: dict[ids.SessionId, None] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._flush_scheduled = False
        self._draining = False
        self._last_serving = False
        self._configuration = configuration.AgentConfiguration(allocator.slots)
        allocator.slots = self._configuration.slots

    @property
    def config_version(self) -> int:
        """Version of the active configuration, -1 before the first one."""
        return self._configuration.version

    @property
    def serving(self) -> bool:
        """Whether new tasks are accepted now."""
        return not self._draining and self._lease.valid_lease is not None and self._allocator.slots > 0

    @property
    def entries(self) -> list[remote_entry.RemoteEntry]:
        """All entry incarnations that have connected."""
        return list(self._entries.values())

    @property
    def running_count(self) -> int:
        """Number of running tasks."""
        return len(self._tasks)

    def get_entry(self, incarnation: ids.EntryIncarnation) -> remote_entry.RemoteEntry:
        """Return the state of an entry incarnation; create it on first use."""
        found = self._entries.get(incarnation)
        if found is None:
            found = remote_entry.RemoteEntry(incarnation)
            self._entries[incarnation] = found
            for session in [each for each in self._pending_seals if ids.owner_of(each) == incarnation]:
                del self._pending_seals[session]
                found.seal(session)
        return found

    def attach(self, entry: remote_entry.RemoteEntry, link: wire.Link, last_result_number: int) -> None:
        """Resume the exchange with an entry over a new link."""
        entry.attach(link, last_result_number, self._credit(entry), self.serving)
        self._schedule_flush()

    def detach(self, entry: remote_entry.RemoteEntry) -> None:
        """Record the loss of an entry's link and set its demand to 0."""
        entry.detach()
        self._allocator.set_demand(entry.incarnation, 0)
        self._schedule_flush()

    def handle_assign(self, entry: remote_entry.RemoteEntry, assign: wire.Assign) -> None:
        """Start or refuse each task of an assign message; a duplicate message is ignored."""
        if not entry.accept(assign):
            self._counters.add("messages_wasted", self._workspace, "repeated_assign")
            return
        self._allocator.set_demand(entry.incarnation, assign.demand)
        refused = 0
        for start in assign.starts:
            reason = self._refusal_reason(entry, start)
            if reason is jobs.Reason.NONE:
                self._start_task(entry, start, assign.number)
            else:
                refused += 1
                self._refuse(entry, start, assign.number, reason)
        if refused and refused == len(assign.starts):
            self._counters.add("messages_wasted", self._workspace, "all_refused")
        self._schedule_flush()

    def set_demand(self, entry: remote_entry.RemoteEntry, demand: int) -> None:
        """Set the number of tasks that an entry has queued."""
        self._allocator.set_demand(entry.incarnation, demand)
        self._schedule_flush()

    def configure(self, config: wire.AgentConfig) -> None:
        """Apply a version of the configuration and inform the entries; an older version is ignored."""
        if not self._configuration.update(config.version, config.slots):
            return
        self._allocator.slots = self._configuration.slots
        self._events.record_state("config_in_force", version=config.version, slots=self._allocator.slots)
        self._send_state_to_all()

    def seal(self, seal: wire.Seal) -> wire.Sealed:
        """Refuse all later starts of a session and return the records of one of its jobs."""
        self._seal(seal.session)
        self._events.record_state("session_sealed", session=seal.session)
        record = self._start_log.find(ids.JobId(seal.session, seal.number))
        if record is None:
            return wire.Sealed(seal.request, 0, b"", [], [])
        return wire.Sealed(
            seal.request, record.task_count, record.digest, sorted(record.running), list(record.outcomes.values())
        )

    def _seal(self, session: ids.SessionId) -> None:
        entry = self._entries.get(ids.owner_of(session))
        if entry is not None:
            entry.seal(session)
            return
        # An owner that never connected has started nothing here; the seal takes effect when it connects.
        self._pending_seals[session] = None
        if len(self._pending_seals) > MAX_PENDING_SEALS:
            del self._pending_seals[next(iter(self._pending_seals))]

    def refresh(self) -> None:
        """Inform the entries of a state change, cancel overdue requests and remove old records and results."""
        if self.serving != self._last_serving:
            self._last_serving = self.serving
            self._events.record_state("serving_changed", serving=self.serving)
        self._runner.cancel_overdue()
        self._start_log.expire()
        for entry in self._entries.values():
            entry.drop_old_results()
            # An entry that connected since the last call may have received a different state from the others.
            if entry.last_sent_serving != self.serving:
                entry.send_state(self._credit(entry), self.serving)

    async def drain(self) -> None:
        """Accept no new tasks, and wait until all running tasks have ended and their results are acknowledged.

        Results that no entry acknowledges within ACKNOWLEDGEMENT_TIMEOUT_S are dropped; their tasks become unknown.
        """
        self._draining = True
        self.refresh()
        while self._tasks:
            await asyncio.wait(self._tasks)
        self._flush()
        deadline = asyncio.get_running_loop().time() + ACKNOWLEDGEMENT_TIMEOUT_S
        while unacknowledged := [entry.incarnation for entry in self._entries.values() if entry.awaits_acknowledgement]:
            if asyncio.get_running_loop().time() >= deadline:
                self._events.record_state("results_unacknowledged", entries=", ".join(unacknowledged))
                return
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def _send_state_to_all(self) -> None:
        for entry in self._entries.values():
            entry.send_state(self._credit(entry), self.serving)

    def _refusal_reason(self, entry: remote_entry.RemoteEntry, start: wire.Start) -> jobs.Reason:
        if entry.is_sealed(start.session):
            return jobs.Reason.SEALED
        if self._draining:
            return jobs.Reason.AGENT_DRAINING
        if self._lease.valid_lease is None:
            return jobs.Reason.NO_BACKEND_SERVER
        if not self._allocator.acquire(entry.incarnation):
            return jobs.Reason.NO_SLOT
        return jobs.Reason.NONE

    def _refuse(
        self, entry: remote_entry.RemoteEntry, start: wire.Start, assign_number: int, reason: jobs.Reason
    ) -> None:
        self._counters.add("starts_refused", self._workspace, reason.value)
        job = str(ids.JobId(start.session, start.number))
        self._events.record("start_refused", job=job, task=start.task, assign=assign_number, reason=reason.value)
        entry.add_outcome(
            wire.Outcome(start.session, start.number, start.task, jobs.TaskState.NOT_RUN.value, reason.value, b"", 0)
        )

    def _start_task(self, entry: remote_entry.RemoteEntry, start: wire.Start, assign_number: int) -> None:
        self._start_log.add_start(start)
        task = asyncio.create_task(self._run_task(entry, start, assign_number))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_task(self, entry: remote_entry.RemoteEntry, start: wire.Start, assign_number: int) -> None:
        task_id = ids.TaskId(start.session, start.number, start.task)
        job = str(task_id.job)
        self._events.record("task_started", job=job, task=start.task, assign=assign_number)
        try:
            outcome = await self._runner.run(start, lambda: self._release_slot(entry))
        except Exception:  # an internal error must neither leak the slot nor leave the task without an outcome
            logging.exception("Unexpected error while running task %s", task_id)
            unknown, reason = jobs.TaskState.UNKNOWN.value, jobs.Reason.INTERNAL_ERROR.value
            outcome = wire.Outcome(start.session, start.number, start.task, unknown, reason, b"", 0)
        if outcome.state == jobs.TaskState.NOT_RUN.value:
            self._start_log.remove_start(task_id)
        else:
            self._start_log.add_outcome(outcome)
            label = "idempotent" if start.idempotent else "non_idempotent"
            self._counters.add("tasks_started", self._workspace, label)
            self._counters.add("slot_seconds", self._workspace, "", outcome.run_ms / 1000)
        self._counters.add(f"tasks_{outcome.state}", self._workspace, outcome.reason)
        self._events.record(
            "task_ended", job=job, task=start.task, assign=assign_number, state=outcome.state, reason=outcome.reason
        )
        entry.add_outcome(outcome)
        self._schedule_flush()

    def _release_slot(self, entry: remote_entry.RemoteEntry) -> None:
        self._allocator.release(entry.incarnation)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        for entry in self._entries.values():
            credit = self._credit(entry)
            entry.flush(credit)
            if entry.link is not None:
                entry.link.set_active(self._allocator.has_work_from(entry.incarnation))
            # A lower credit needs no extra message: the next results carry it, before the entry can start more tasks.
            if self._allocator.demand(entry.incarnation) and credit > entry.last_sent_credit:
                entry.send_state(credit, self.serving)

    def _credit(self, entry: remote_entry.RemoteEntry) -> int:
        return 0 if self._draining else self._allocator.credit(entry.incarnation)
