"""State that an entry keeps of one worker, which it reaches through the agent of the backend server."""

import collections
from typing import TYPE_CHECKING, NamedTuple

from cactusgauge import accounting, exceptions, ids, wire

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import jobs

# A worker that cannot start tasks gets no new ones before the next announcement of its backend server.
REFUSAL_PAUSE_S = 1.0
MILLISECONDS_PER_SECOND = 1000


class InFlightTask(NamedTuple):
    """A task sent to the worker in the assign message `assign_number`; times are loop times in seconds."""

    assign_number: int
    sent_at: float
    expected_end: float


class RemoteWorker:
    """Credit, message numbers and in-flight tasks of one agent incarnation.

    The object outlives its link. After a reconnect, the agent's `Resume` message shows which tasks provably never
    arrived.
    """

    def __init__(
        self,
        hello: wire.AgentHello,
        data_centre: ids.DataCentreName,
        account: accounting.PairAccount | None = None,
    ) -> None:
        self._account = account or accounting.PairAccount()
        self._name = hello.name
        self._incarnation = hello.incarnation
        self._slots = hello.slots
        self._http_url = hello.http_url
        self._data_centre = data_centre
        self._link: wire.Link | None = None
        self._link_number = 0
        self._credit = 0
        self._serving = False
        self._paused_until = 0.0
        self._last_assign_number = 0
        self._last_result_number: int | None = None
        self._result_ack_due = False
        self._unacknowledged: collections.deque[tuple[int, list[ids.TaskId]]] = collections.deque()
        self._in_flight: dict[ids.TaskId, InFlightTask] = {}
        self._disconnected_since: float | None = None
        self._announced_demand = 0

    @property
    def name(self) -> ids.AgentName:
        """Name of the agent."""
        return self._name

    @property
    def incarnation(self) -> ids.AgentIncarnation:
        """Incarnation of the agent."""
        return self._incarnation

    @property
    def data_centre(self) -> ids.DataCentreName:
        """Data centre of the worker."""
        return self._data_centre

    @property
    def http_url(self) -> str:
        """URL of the agent's HTTP interface."""
        return self._http_url

    @property
    def link(self) -> "wire.Link | None":
        """The current link, or None while there is none."""
        return self._link

    @property
    def credit(self) -> int:
        """Number of tasks of this entry that may be in flight at the worker."""
        return self._credit

    @property
    def serving(self) -> bool:
        """Whether the agent reports that its backend server accepts new tasks."""
        return self._serving

    @property
    def in_flight(self) -> "abc.Mapping[ids.TaskId, InFlightTask]":
        """The tasks that were sent and have not ended."""
        return self._in_flight

    @property
    def last_result_number(self) -> int:
        """Number of the last results message that was accepted."""
        return self._last_result_number or 0

    @property
    def disconnected_since(self) -> float | None:
        """Loop time at which the link was lost, or None while there is one."""
        return self._disconnected_since

    @property
    def free_slots(self) -> int:
        """Number of tasks that the credit still allows, regardless of the link state and pauses."""
        return max(0, self._credit - len(self._in_flight))

    @property
    def announced_demand(self) -> int:
        """The demand last announced to the agent."""
        return self._announced_demand

    def is_available(self, now: float) -> bool:
        """Whether new tasks may be sent: the worker is linked, not suspected to be down, serving and not paused."""
        return self._link is not None and self._serving and now >= self._paused_until and not self._link.is_suspect

    def attach(self, link: "wire.Link", resume: wire.Resume) -> list[ids.TaskId]:
        """Switch to a new link; return the tasks that the agent provably never received.

        Messages that still arrive on an earlier link are older than `resume`, so that link is aborted.
        """
        if resume.link_number <= self._link_number:
            raise exceptions.ProtocolError(
                f"agent {self._name} resumed link {resume.link_number} after link {self._link_number}"
            )
        self._link_number = resume.link_number
        if self._link is not None and self._link is not link:
            self._link.abort()
        self._link = link
        self._disconnected_since = None
        self.update_state(resume.credit, resume.serving)
        self.acknowledge(resume.last_assign_number)
        never_received = [task_id for _, task_ids in self._unacknowledged for task_id in task_ids]
        self._unacknowledged.clear()
        self._last_assign_number = resume.last_assign_number
        self._announced_demand = 0
        returned = [task_id for task_id in never_received if task_id in self._in_flight]
        for task_id in returned:
            del self._in_flight[task_id]
        self._update_activity()
        return returned

    def detach(self, link: "wire.Link", now: float) -> None:
        """Record the loss of a link, unless it was already replaced by another one."""
        if self._link is link:
            self._link = None
            self._disconnected_since = now

    def update_state(self, credit: int, serving: bool) -> None:
        """Store the credit and state that the agent reported."""
        self._credit = max(0, credit)
        self._serving = serving

    def pause(self, now: float) -> None:
        """Send no tasks for REFUSAL_PAUSE_S after a refusal, as another start would be refused too."""
        self._paused_until = now + REFUSAL_PAUSE_S

    def assign(
        self,
        tasks: "list[tuple[jobs.Job, jobs.Task, float]]",
        demand: int,
        now: float,
    ) -> wire.Assign:
        """Send tasks, each with its expected run time in seconds, in one message."""
        if self._link is None:
            raise exceptions.LinkClosedError(f"no link to agent {self._name}")
        self._last_assign_number += 1
        starts = [self._build_start(job, task, now) for job, task, _ in tasks]
        task_ids = [ids.TaskId(start.session, start.number, start.task) for start in starts]
        for task_id, (_, _, run_s) in zip(task_ids, tasks, strict=True):
            self._in_flight[task_id] = InFlightTask(self._last_assign_number, now, now + run_s)
        self._unacknowledged.append((self._last_assign_number, task_ids))
        message = wire.Assign(self._last_assign_number, self.last_result_number, demand, starts)
        self._announced_demand = demand
        self._update_activity()
        self._link.post(message)
        return message

    def heartbeat(self, demand: int) -> wire.Heartbeat:
        """Return a heartbeat that acknowledges results and announces the entry's demand."""
        self._announced_demand = demand
        self._update_activity()
        return wire.Heartbeat(self.last_result_number, demand)

    def acknowledge(self, assign_ack: int) -> None:
        """Record that the agent received all assign messages up to a number."""
        while self._unacknowledged and self._unacknowledged[0][0] <= assign_ack:
            number, task_ids = self._unacknowledged.popleft()
            self._account.count_assign(number, len(task_ids))

    def accept_results(self, results: wire.Results) -> bool:
        """Record a results message; return False if it is a repeated one.

        The first message may have any number: an agent resends from the first unacknowledged message on, and earlier
        ones may have gone to a previous `RemoteWorker` for the same agent.
        """
        if self._last_result_number is not None:
            if results.number <= self._last_result_number:
                return False
            if results.number != self._last_result_number + 1:
                raise exceptions.ProtocolError(
                    f"agent {self._name} sent results message {results.number} after {self._last_result_number}"
                )
        self._last_result_number = results.number
        self._account.count_results(results.number, results.outcomes)
        self.acknowledge(results.assign_ack)
        return True

    def remove_in_flight(self, task_id: ids.TaskId) -> InFlightTask | None:
        """Remove a task from the in-flight table; return None if it was not there."""
        ended = self._in_flight.pop(task_id, None)
        self._update_activity()
        return ended

    def abandon(self) -> list[ids.TaskId]:
        """Remove and return all tasks in flight; whether they ran is unknown."""
        abandoned = list(self._in_flight)
        self._in_flight.clear()
        self._update_activity()
        return abandoned

    def _update_activity(self) -> None:
        if self._link is not None:
            self._link.set_active(bool(self._in_flight or self._announced_demand))

    @staticmethod
    def _build_start(job: "jobs.Job", task: "jobs.Task", now: float) -> wire.Start:
        remaining_ms = max(1, int((job.deadline - now) * MILLISECONDS_PER_SECOND))
        return wire.Start(
            job.id.session,
            job.id.number,
            task.index,
            job.task_count,
            job.digest,
            task.request.kind,
            task.request.payload,
            task.request.idempotent,
            remaining_ms,
        )
