"""An agent's protocol state for one entry incarnation, kept across links."""

import asyncio
import collections

from cactusgauge import accounting, exceptions, ids, jobs, wire

MAX_SEALED_SESSIONS = 10_000
RESULT_RETENTION_S = 120.0
ABANDONED_AFTER_S = 10.0  # an entry that has had no link for this long no longer waits for the agent's tasks


class RemoteEntry:
    """Message numbers, unacknowledged results and sealed sessions of one entry incarnation.

    The number of the last assign message ensures that each one takes effect at most once. It is kept until the agent
    exits, as an entry whose process was suspended may reconnect at any time. Result numbers only increase: a `Welcome`
    may be older than results that arrived over another link, so the next number can't be derived from it.
    """

    def __init__(self, incarnation: ids.EntryIncarnation) -> None:
        self._incarnation = incarnation
        self._link: wire.Link | None = None
        self._link_number = 0
        self._last_assign_number = 0
        self._last_result_number = 0
        self._pending_outcomes: list[wire.Outcome] = []
        self._unacknowledged_results: collections.deque[wire.Results] = collections.deque()
        self._sealed_sessions: set[ids.SessionId] = set()
        self._all_sessions_sealed = False
        self._unlinked_since: float | None = None
        self._last_sent_credit = 0
        self._account = accounting.PairAccount()
        self._last_sent_serving = False

    @property
    def incarnation(self) -> ids.EntryIncarnation:
        """Id of the entry process."""
        return self._incarnation

    @property
    def account(self) -> accounting.PairAccount:
        """The accounting counters for this agent and this entry incarnation."""
        return self._account

    @property
    def link(self) -> "wire.Link | None":
        """The current link, or None while the entry is not connected."""
        return self._link

    @property
    def last_assign_number(self) -> int:
        """Number of the last assign message that was handled."""
        return self._last_assign_number

    @property
    def last_sent_credit(self) -> int:
        """The credit in the last message to the entry."""
        return self._last_sent_credit

    @property
    def last_sent_serving(self) -> bool:
        """Whether the last state sent to the entry says that the agent accepts new tasks."""
        return self._last_sent_serving

    @property
    def awaits_acknowledgement(self) -> bool:
        """Whether the entry has not acknowledged some results and can still use them."""
        if not self._pending_outcomes and not self._unacknowledged_results:
            return False
        return (
            self._unlinked_since is None or asyncio.get_running_loop().time() - self._unlinked_since < ABANDONED_AFTER_S
        )

    def attach(self, link: wire.Link, last_result_number: int, credit: int, serving: bool) -> None:
        """Use a new link: report the last handled assign and resend the results that the entry has not received."""
        self._link = link
        self._link_number += 1
        self._unlinked_since = None
        self._last_sent_credit = credit
        self._last_sent_serving = serving
        self.acknowledge(last_result_number)
        link.post(wire.Resume(self._last_assign_number, credit, serving, self._link_number))
        for results in self._unacknowledged_results:
            link.post(results._replace(assign_ack=self._last_assign_number, credit=credit))

    def detach(self) -> None:
        """Record the loss of the link; none of its messages may be processed after that."""
        self._link = None
        self._unlinked_since = asyncio.get_running_loop().time()

    def accept(self, assign: wire.Assign) -> bool:
        """Check and record the number of an assign message; return False for a duplicate."""
        if assign.number <= self._last_assign_number:
            return False
        if assign.number != self._last_assign_number + 1:
            raise exceptions.ProtocolError(f"expected assign {self._last_assign_number + 1}, got {assign.number}")
        self._last_assign_number = assign.number
        self._account.count_assign(assign.number, len(assign.starts))
        self.acknowledge(assign.result_ack)
        return True

    def acknowledge(self, result_number: int) -> None:
        """Remove the results up to `result_number`, which the entry has received."""
        while self._unacknowledged_results and self._unacknowledged_results[0].number <= result_number:
            results = self._unacknowledged_results.popleft()
            self._account.count_results(results.number, results.outcomes)

    def add_outcome(self, outcome: wire.Outcome) -> None:
        """Queue an outcome for the next results message."""
        self._pending_outcomes.append(outcome)

    def flush(self, credit: int) -> None:
        """Send the queued outcomes in one message."""
        if not self._pending_outcomes or self._link is None:
            return
        self._last_result_number += 1
        results = wire.Results(self._last_result_number, self._last_assign_number, credit, self._pending_outcomes)
        self._pending_outcomes = []
        self._unacknowledged_results.append(results)
        self._last_sent_credit = credit
        self._link.post(results)

    def send_state(self, credit: int, serving: bool) -> None:
        """Send the entry its credit and whether the agent accepts new tasks."""
        self._last_sent_credit = credit
        self._last_sent_serving = serving
        if self._link is not None:
            self._link.post(wire.AgentState(self._last_assign_number, credit, serving))

    def seal(self, session: ids.SessionId) -> None:
        """Refuse later starts of a session.

        Beyond MAX_SEALED_SESSIONS, later starts of every session of this entry incarnation are refused, as the set is
        bounded.
        """
        if len(self._sealed_sessions) >= MAX_SEALED_SESSIONS:
            self._all_sessions_sealed = True
            self._sealed_sessions.clear()
        if not self._all_sessions_sealed:
            self._sealed_sessions.add(session)

    def is_sealed(self, session: ids.SessionId) -> bool:
        """Whether starts of a session are refused."""
        return self._all_sessions_sealed or session in self._sealed_sessions

    def drop_old_results(self) -> None:
        """Drop the result bytes for an entry that was disconnected for too long; their tasks become unknown.

        The outcomes themselves are kept, at most one per slot: the entry process may only have been suspended, and it
        counts the slot of a task as occupied until it receives an outcome.
        """
        if self._unlinked_since is None:
            return
        if asyncio.get_running_loop().time() - self._unlinked_since > RESULT_RETENTION_S:
            self._pending_outcomes = [self._without_result(each) for each in self._pending_outcomes]
            self._unacknowledged_results = collections.deque(
                each._replace(outcomes=[self._without_result(outcome) for outcome in each.outcomes])
                for each in self._unacknowledged_results
            )

    @staticmethod
    def _without_result(outcome: wire.Outcome) -> wire.Outcome:
        if not outcome.result:
            return outcome
        return outcome._replace(state=jobs.TaskState.UNKNOWN.value, reason=jobs.Reason.NO_RECORD.value, result=b"")
