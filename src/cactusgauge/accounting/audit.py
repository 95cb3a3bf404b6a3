"""Compares the accounting records of entries with those of agents."""

import itertools
from typing import TYPE_CHECKING, NamedTuple

from cactusgauge.accounting import account_ledger

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge.accounting import pair_account

MAX_CLOCK_SKEW_S = 5.0  # the clocks of VMs are expected to agree within this
# Covers a process killed just before an append, a peer that has just made its record, and a slow append in between.
KILL_WINDOW_INTERVALS = 3


class View(NamedTuple):
    """One side's counts of one kind of message, with the times of the first and last record that contain them.

    `number` is the number of the last message that the counts include.
    """

    first_s: float
    last_s: float
    number: int
    counts: tuple[int, ...]
    is_final: bool


class Side(NamedTuple):
    """All views of one side; a sender counts acknowledged messages, a receiver handled ones."""

    name: str
    views: list[View]
    interval_s: float

    @property
    def last(self) -> View:
        """The newest view."""
        return self.views[-1]

    @property
    def last_growth_s(self) -> float:
        """Time of the first view with the highest message number."""
        return next(view.first_s for view in self.views if view.number == self.last.number)


class MessageKind(NamedTuple):
    """A numbered stream of messages, with the fields of `PairTotals` that hold its message number and its counts."""

    name: str
    sender_role: str
    unit: str
    number_field: str
    count_fields: tuple[str, ...]


MESSAGE_KINDS = (
    MessageKind("starts", "entry", "starts", "assign_number", ("starts",)),
    MessageKind("results", "agent", "outcomes", "results_number", ("outcomes", "refused", "run_us")),
)


class Audit:
    """Compares the records of each pair of entry and agent incarnations, matched by message number.

    Message numbers make the comparison exact and independent of clocks: both sides must have the same counts at the
    same number, and counts must never decrease as numbers increase, regardless of the side.
    """

    def __init__(self, ledger: account_ledger.AccountLedger) -> None:
        self._ledger = ledger
        self._findings = list(ledger.findings)
        self._append_times = ledger.append_times
        for entry, agent in self._pairs():
            for kind in MESSAGE_KINDS:
                self._compare(kind, entry, agent)

    @property
    def findings(self) -> list[account_ledger.Finding]:
        """All discrepancies."""
        return self._findings

    @property
    def violations(self) -> list[account_ledger.Finding]:
        """The discrepancies that no fault can explain."""
        return [finding for finding in self._findings if not finding.kind.is_open]

    def _pairs(self) -> list[tuple[str, str]]:
        """Return the pairs of entry and agent incarnations that appear in the records of either side."""
        pairs = set()
        for chain in self._ledger.chains.values():
            for pair in chain.last.pairs:
                incarnations = (chain.incarnation, pair.peer)
                pairs.add(incarnations if chain.role == "entry" else incarnations[::-1])
        return sorted(pairs)

    def _compare(self, kind: MessageKind, entry: str, agent: str) -> None:
        entry_side = self._side(kind, entry, agent)
        agent_side = self._side(kind, agent, entry)
        sender, receiver = (entry_side, agent_side) if kind.sender_role == "entry" else (agent_side, entry_side)
        if not sender.views or not receiver.views:
            self._report_missing_side(kind, *((sender, receiver) if sender.views else (receiver, sender)))
            return
        self._compare_counts(kind, sender, receiver)
        if sender.last.number > receiver.last.number:
            self._report_lead(kind, sender, receiver, is_acknowledged=True)
        elif receiver.last.number > sender.last.number:
            self._report_lead(kind, receiver, sender, is_acknowledged=False)

    def _compare_counts(self, kind: MessageKind, sender: Side, receiver: Side) -> None:
        """Report the first contradiction between the counts of both sides, in order of message numbers."""
        merged = sorted(
            [(view, sender) for view in sender.views] + [(view, receiver) for view in receiver.views],
            key=lambda item: (item[0].number, item[0].counts),
        )
        agreed_s: float | None = None
        for (before, side_before), (after, side_after) in itertools.pairwise(merged):
            is_equal = before.counts == after.counts
            if before.number == after.number and side_before is not side_after and is_equal:
                agreed_s = max(before.last_s, after.first_s)
            if before.number == after.number and is_equal:
                continue
            if before.number != after.number and all(map(int.__le__, before.counts, after.counts)):
                continue
            shown = ", ".join(
                f"{name} {count_before} by {side_before.name} and {count_after} by {side_after.name}"
                for name, count_before, count_after in zip(kind.count_fields, before.counts, after.counts, strict=True)
                if count_before != count_after
            )
            numbers = f"{before.number}" if before.number == after.number else f"{before.number} and {after.number}"
            message = f"{kind.name} up to message {numbers}: {shown}"
            self._add_finding(
                account_ledger.FindingKind.MISMATCH, side_after, side_before, agreed_s, after.first_s, message
            )
            return

    def _report_lead(self, kind: MessageKind, ahead: Side, behind: Side, is_acknowledged: bool) -> None:
        """Report that one side's records contain messages which those of the other side lack.

        `is_acknowledged` is set if the sender is ahead, as it counts only messages that the receiver acknowledged.
        """
        amount = ahead.last.counts[0] - behind.last.counts[0]
        message = (
            f"{behind.name} has recorded {kind.name} up to message {behind.last.number}, {ahead.name} up to "
            f"{ahead.last.number}: {amount} {kind.unit} appear in the records of one side only"
        )
        since_s, until_s = behind.last.last_s, ahead.last_growth_s
        if is_acknowledged and self._is_impossible(ahead, behind):
            message += f"; {behind.name} acknowledged them, so its records cannot contain fewer"
            self._add_finding(account_ledger.FindingKind.IMPOSSIBLE, ahead, behind, since_s, until_s, message)
            return
        if behind.last.is_final:
            explanation = "the link was lost before the last acknowledgement"
        elif until_s - since_s <= self._kill_window_s(ahead, behind):
            explanation = (
                f"{behind.name} is still running, or was killed or lost the link shortly before; "
                "at most this amount is lost"
            )
        elif self._is_outage(since_s, until_s):
            explanation = f"no process appended in between: the log was down, and {behind.name} ended during the outage"
        else:
            message += f", over {until_s - since_s:.0f} s in which other processes appended records"
            explanation = f"only possible if the log was unreachable for {behind.name} alone"
            self._add_finding(account_ledger.FindingKind.MISSING, behind, ahead, since_s, until_s, message, explanation)
            return
        self._add_finding(account_ledger.FindingKind.UNFINISHED, behind, ahead, since_s, until_s, message, explanation)

    def _report_missing_side(self, kind: MessageKind, present: Side, missing: Side) -> None:
        """Report the messages of a pair of which only one side has any records."""
        if not present.views or not present.last.number or not present.last.counts[0]:
            return
        began_s = next(view.first_s for view in present.views if view.counts[0])
        message = f"{present.last.counts[0]} {kind.unit} appear only in the records of {present.name}"
        if present.last_growth_s - began_s <= self._kill_window_s(present, missing) or self._is_outage(
            began_s, present.last_growth_s
        ):
            explanation = f"{missing.name} was killed before its first append; at most this amount is unconfirmed"
            finding_kind = account_ledger.FindingKind.UNFINISHED
        else:
            explanation = f"only possible if the log was unreachable for {missing.name} alone"
            finding_kind = account_ledger.FindingKind.MISSING
        self._add_finding(finding_kind, missing, present, began_s, present.last.last_s, message, explanation)

    @staticmethod
    def _is_impossible(sender: Side, receiver: Side) -> bool:
        """Whether a final record of the receiver, or one made after an acknowledgement, lacks acknowledged messages."""
        if receiver.last.is_final:
            return True
        return any(
            received.last_s > sent.first_s + MAX_CLOCK_SKEW_S and received.number < sent.number
            for sent in sender.views
            for received in receiver.views
        )

    @staticmethod
    def _kill_window_s(*sides: Side) -> float:
        """Return the longest time for which a side killed before an append can lack counts that the other side has."""
        return KILL_WINDOW_INTERVALS * max(side.interval_s for side in sides)

    def _is_outage(self, since_s: float, until_s: float) -> bool:
        """Return whether no process appended a record between two times, so that the log may have been down."""
        return not any(since_s + MAX_CLOCK_SKEW_S < at_s < until_s - MAX_CLOCK_SKEW_S for at_s in self._append_times)

    def _side(self, kind: MessageKind, incarnation: str, peer: str) -> Side:
        """Return the views that an incarnation has of its messages with a peer; none if it has no records."""
        chain = self._ledger.chains.get(incarnation)
        if chain is None:
            return Side(self._name(incarnation, peer), [], 0.0)
        views = [
            View(
                view.first_s,
                view.last_s,
                getattr(view.totals, kind.number_field),
                tuple(getattr(view.totals, name) for name in kind.count_fields),
                view.is_final,
            )
            for view in chain.pairs.get(peer, [])
        ]
        return Side(f"{chain.process} ({incarnation})", views, chain.last.interval_s)

    def _name(self, incarnation: str, peer: str) -> str:
        """Return the name of an incarnation without records, as the records of its peer show it."""
        chain = self._ledger.chains.get(peer)
        pairs: abc.Sequence[pair_account.PairTotals] = chain.last.pairs if chain else ()
        name = next((pair.peer_name for pair in pairs if pair.peer == incarnation), "")
        return f"{name} ({incarnation})" if name else incarnation

    def _add_finding(
        self,
        kind: account_ledger.FindingKind,
        side: Side,
        peer: Side,
        from_s: float | None,
        to_s: float | None,
        message: str,
        explanation: str = "",
    ) -> None:
        self._findings.append(account_ledger.Finding(kind, side.name, peer.name, from_s, to_s, message, explanation))
