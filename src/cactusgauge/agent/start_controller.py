"""Decides about every start that reaches an agent."""

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from cactusgauge import configuration, ids, jobs, wire
from cactusgauge.agent import entry_ledger

DRAIN_CHECK_S = 0.05
ACKNOWLEDGEMENT_S = 20.0  # an entry that is heard at all acknowledges within IDLE_HEARTBEAT_S
MAX_EARLY_SEALS = 10_000  # callers can name any session, so what is kept of unknown owners must be bounded

if TYPE_CHECKING:
    from cactusgauge import observability
    from cactusgauge.agent import backend_server_lease, slot_gate, start_log, task_runner


class StartController:
    """Starts tasks within the limits, refuses the others as `not_run`, and reports every outcome."""

    def __init__(
        self,
        workspace: ids.WorkspaceName,
        lease: "backend_server_lease.BackendServerLease",
        gate: "slot_gate.SlotGate",
        starts: "start_log.StartLog",
        runner: "task_runner.TaskRunner",
        counters: "observability.Counters",
        events: "observability.EventRing",
    ) -> None:
        self._workspace = workspace
        self._lease = lease
        self._gate = gate
        self._starts = starts
        self._runner = runner
        self._counters = counters
        self._events = events
        self._ledgers: dict[ids.EntryIncarnation, entry_ledger.EntryLedger] = {}
        self._early_seals: dict[ids.SessionId, None] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._flush_scheduled = False
        self._draining = False
        self._shown_serving = False
        self._configuration = configuration.AgentConfiguration(gate.slots)
        gate.slots = self._configuration.slots

    @property
    def config_version(self) -> int:
        """Version of the configuration in force, -1 before the first."""
        return self._configuration.version

    @property
    def serving(self) -> bool:
        """Whether new work is taken now."""
        return not self._draining and self._lease.valid is not None and self._gate.slots > 0

    @property
    def ledgers(self) -> list[entry_ledger.EntryLedger]:
        """The ledgers of all entry incarnations heard of."""
        return list(self._ledgers.values())

    @property
    def running_count(self) -> int:
        """Number of tasks that run."""
        return len(self._tasks)

    def ledger(self, incarnation: ids.EntryIncarnation) -> entry_ledger.EntryLedger:
        """Return the ledger of an entry incarnation."""
        found = self._ledgers.get(incarnation)
        if found is None:
            found = entry_ledger.EntryLedger(incarnation)
            self._ledgers[incarnation] = found
            for session in [each for each in self._early_seals if ids.owner_of(each) == incarnation]:
                del self._early_seals[session]
                found.seal(session)
        return found

    def attach(self, ledger: entry_ledger.EntryLedger, link: wire.Link, last_result_number: int) -> None:
        """Resume an entry's work over a new link."""
        ledger.attach(link, last_result_number, self._credit(ledger), self.serving)
        self._schedule_flush()

    def detach(self, ledger: entry_ledger.EntryLedger) -> None:
        """Note that an entry's link is gone; its demand counts no longer."""
        ledger.detach()
        self._gate.set_demand(ledger.incarnation, 0)
        self._schedule_flush()

    def handle(self, ledger: entry_ledger.EntryLedger, assign: wire.Assign) -> None:
        """Start or refuse each task of an assign message; a repeated message is ignored."""
        if not ledger.accept(assign):
            self._counters.add("messages_wasted", self._workspace, "repeated_assign")
            return
        self._gate.set_demand(ledger.incarnation, assign.demand)
        refused = 0
        for start in assign.starts:
            reason = self._refusal(ledger, start)
            if reason is jobs.Reason.NONE:
                self._begin(ledger, start, assign.number)
            else:
                refused += 1
                self._refuse(ledger, start, assign.number, reason)
        if refused and refused == len(assign.starts):
            self._counters.add("messages_wasted", self._workspace, "all_refused")
        self._schedule_flush()

    def set_demand(self, ledger: entry_ledger.EntryLedger, demand: int) -> None:
        """Note an entry's demand."""
        self._gate.set_demand(ledger.incarnation, demand)
        self._schedule_flush()

    def configure(self, config: wire.AgentConfig) -> None:
        """Put a version of the configuration in force and tell the entries; an older version is ignored."""
        if not self._configuration.update(config.version, config.slots):
            return
        self._gate.slots = self._configuration.slots
        self._events.record_state("config_in_force", version=config.version, slots=self._gate.slots)
        self._show_state()

    def seal(self, seal: wire.Seal) -> wire.Sealed:
        """Start nothing more of a session and tell what is known of a job."""
        self._seal(seal.session)
        self._events.record_state("session_sealed", session=seal.session)
        record = self._starts.find(ids.JobId(seal.session, seal.number))
        if record is None:
            return wire.Sealed(seal.request, 0, b"", [], [])
        return wire.Sealed(
            seal.request, record.task_count, record.digest, sorted(record.running), list(record.outcomes.values())
        )

    def _seal(self, session: ids.SessionId) -> None:
        ledger = self._ledgers.get(ids.owner_of(session))
        if ledger is not None:
            ledger.seal(session)
            return
        # An owner that is not known here has started nothing here; its seal waits for its first link.
        self._early_seals[session] = None
        if len(self._early_seals) > MAX_EARLY_SEALS:
            del self._early_seals[next(iter(self._early_seals))]

    def refresh(self) -> None:
        """Tell the entries of a change of state since the last call, and drop what is over time."""
        if self.serving != self._shown_serving:
            self._shown_serving = self.serving
            self._events.record_state("serving_changed", serving=self.serving)
        self._runner.end_overdue()
        self._starts.expire()
        for ledger in self._ledgers.values():
            ledger.expire()
            # An entry that linked since the last call may have been told another state than the others.
            if ledger.shown_serving != self.serving:
                ledger.show_state(self._credit(ledger), self.serving)

    async def drain(self) -> None:
        """Take no new work, and wait until all running tasks ended and their results were received.

        Results that no entry acknowledges within ACKNOWLEDGEMENT_S are given up; their tasks become unknown.
        """
        self._draining = True
        self.refresh()
        while self._tasks:
            await asyncio.wait(self._tasks)
        self._flush()
        give_up_at = asyncio.get_running_loop().time() + ACKNOWLEDGEMENT_S
        while owed := [ledger.incarnation for ledger in self._ledgers.values() if ledger.is_owed_results]:
            if asyncio.get_running_loop().time() >= give_up_at:
                self._events.record_state("results_unacknowledged", entries=", ".join(owed))
                return
            await asyncio.sleep(DRAIN_CHECK_S)

    def _show_state(self) -> None:
        for ledger in self._ledgers.values():
            ledger.show_state(self._credit(ledger), self.serving)

    def _refusal(self, ledger: entry_ledger.EntryLedger, start: wire.Start) -> jobs.Reason:
        if ledger.is_sealed(start.session):
            return jobs.Reason.SEALED
        if self._draining:
            return jobs.Reason.AGENT_DRAINING
        if self._lease.valid is None:
            return jobs.Reason.NO_BACKEND_SERVER
        if not self._gate.acquire(ledger.incarnation):
            return jobs.Reason.NO_SLOT
        return jobs.Reason.NONE

    def _refuse(self, ledger: entry_ledger.EntryLedger, start: wire.Start, assign: int, reason: jobs.Reason) -> None:
        self._counters.add("starts_refused", self._workspace, reason.value)
        job = str(ids.JobId(start.session, start.number))
        self._events.record("start_refused", job=job, task=start.task, assign=assign, reason=reason.value)
        ledger.add_outcome(
            wire.Outcome(start.session, start.number, start.task, jobs.TaskState.NOT_RUN.value, reason.value, b"", 0)
        )

    def _begin(self, ledger: entry_ledger.EntryLedger, start: wire.Start, assign: int) -> None:
        self._starts.add_start(start)
        task = asyncio.create_task(self._run(ledger, start, assign))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, ledger: entry_ledger.EntryLedger, start: wire.Start, assign: int) -> None:
        task_id = ids.TaskId(start.session, start.number, start.task)
        job = str(task_id.job)
        self._events.record("task_started", job=job, task=start.task, assign=assign)
        try:
            outcome = await self._runner.run(start, lambda: self._release(ledger))
        except Exception:  # a fault of ours must neither lose the slot nor leave the task without an outcome
            logging.exception("start of task %s", task_id)
            unknown, reason = jobs.TaskState.UNKNOWN.value, jobs.Reason.INTERNAL_ERROR.value
            outcome = wire.Outcome(start.session, start.number, start.task, unknown, reason, b"", 0)
        if outcome.state == jobs.TaskState.NOT_RUN.value:
            self._starts.remove_start(task_id)
        else:
            self._starts.add_outcome(outcome)
            label = "idempotent" if start.idempotent else "non_idempotent"
            self._counters.add("tasks_started", self._workspace, label)
            self._counters.add("slot_seconds", self._workspace, "", outcome.run_ms / 1000)
        self._counters.add(f"tasks_{outcome.state}", self._workspace, outcome.reason)
        self._events.record(
            "task_ended", job=job, task=start.task, assign=assign, state=outcome.state, reason=outcome.reason
        )
        ledger.add_outcome(outcome)
        self._schedule_flush()

    def _release(self, ledger: entry_ledger.EntryLedger) -> None:
        self._gate.release(ledger.incarnation)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        for ledger in self._ledgers.values():
            credit = self._credit(ledger)
            ledger.flush(credit)
            # A lower credit reaches the entry with its next result, before it can start anything more.
            if ledger.link is not None:
                ledger.link.set_active(self._gate.is_used_by(ledger.incarnation))
            if self._gate.demand(ledger.incarnation) and credit > ledger.shown_credit:
                ledger.show_state(credit, self.serving)

    def _credit(self, ledger: entry_ledger.EntryLedger) -> int:
        return 0 if self._draining else self._gate.credit(ledger.incarnation)
