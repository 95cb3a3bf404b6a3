"""Compares the accounts of agents with the usage reports of their workers."""

import bisect
import math
from typing import TYPE_CHECKING, NamedTuple

from cactusgauge.accounting import account_book, account_writer, audit, cumulative_series

if TYPE_CHECKING:
    from cactusgauge.accounting import chain, report_book

# An agent's run time begins before the request is sent and ends after the answer is read; 50 times a round trip.
SLOT_SECONDS_SLACK_PER_START = 0.05
SLOT_SECONDS_SLACK_SHARE = 0.1


class Excess(NamedTuple):
    """How much one account exceeds the other; `bound` is what faults can explain."""

    amount: int
    bound: int
    own: cumulative_series.Point
    reported: cumulative_series.Point


class WorkerAudit:
    """Bounds that hold between an agent's and its worker's cumulative counts, whatever the lag and the clocks.

    A task that an agent knows to have run by the time of its record was started at the worker by then, so a report
    that reaches CLOCK_SLACK_S further shows it. A task that the worker had started CLOCK_SLACK_S before an agent's
    record is in that record, or occupies one of the slots.
    """

    def __init__(self, book: account_book.AccountBook, reports: "report_book.ReportBook") -> None:
        self._book = book
        self._findings = list(reports.findings)
        self._append_times = book.append_times
        chains: dict[str, list[chain.Chain]] = {}
        for each in book.chains.values():
            if each.role == "agent":
                chains.setdefault(each.process, []).append(each)
        workers = reports.workers
        for worker, reported in workers.items():
            self._compare(worker, chains.get(worker, []), reported)
        if workers:
            newest_s = max(reported.series.points[-1].at_s for reported in workers.values())
            for worker in sorted(chains.keys() - workers.keys()):
                self._note_unreported(worker, chains[worker], newest_s)

    @property
    def findings(self) -> list[account_book.Finding]:
        """All discrepancies."""
        return self._findings

    def _compare(self, worker: str, chains: "list[chain.Chain]", reported: "report_book.WorkerReports") -> None:
        own = cumulative_series.CumulativeSeries(chain.points for chain in chains)
        for chain in chains:
            self._compare_with_pairs(chain, reported.slots)
        self._find_claimed_only(worker, own, reported)
        self._find_reported_only(worker, chains, own, reported)
        self._compare_slot_seconds(worker, own, reported.series)

    def _find_claimed_only(
        self, worker: str, own: cumulative_series.CumulativeSeries, reported: "report_book.WorkerReports"
    ) -> None:
        excesses = []
        for point in own.points:
            covering = reported.series.since(point.at_s + audit.CLOCK_SLACK_S)
            if covering is None:
                break
            lost = sum(
                own.growth(gap.from_s - audit.CLOCK_SLACK_S, gap.to_s + audit.CLOCK_SLACK_S)
                for gap in reported.gaps
                if gap.from_s - audit.CLOCK_SLACK_S < point.at_s
            )
            excesses.append(Excess(point.starts - covering.starts, point.unknown + lost, point, covering))
        found = self._worst(excesses)
        if found is None:
            return
        message = (
            f"its agent claims {found.own.starts} starts, {found.own.unknown} of them of unknown outcome; "
            f"the report that reaches {found.reported.at_s - found.own.at_s:.0f} s further has {found.reported.starts}"
        )
        kind, explanation = account_book.FindingKind.OVERCLAIMED, ""
        if found.amount <= found.bound:
            kind = account_book.FindingKind.UNCONFIRMED
            explanation = (
                f"up to {found.bound} starts were lost before they reached the worker, or the worker ended without a "
                "last report, or the log's retention trimmed its reports"
            )
        self._note(kind, worker, None, found.own.at_s, message, explanation)

    def _find_reported_only(
        self,
        worker: str,
        chains: "list[chain.Chain]",
        own: cumulative_series.CumulativeSeries,
        reported: "report_book.WorkerReports",
    ) -> None:
        window_s = audit.KILL_WINDOW_INTERVALS * max(
            (chain.last.interval_s for chain in chains), default=account_writer.DEFAULT_INTERVAL_S
        )
        elsewhere = self._starts_without_records(worker)
        ended = [
            (chain.last.at_s, self._settled_s(chain.last.at_s, window_s)) for chain in chains if not chain.last.final
        ]
        # Only what is settled: an entry may yet account for an agent that was killed before its first append.
        now_s = self._append_times[-1] if self._append_times else -math.inf
        pairs = [
            (point, reported.series.until(point.at_s - audit.CLOCK_SLACK_S), point.at_s)
            for point in own.points
            if self._settled_s(point.at_s, window_s) <= now_s
        ]
        settled = [point for point in reported.series.points if self._settled_s(point.at_s, window_s) <= now_s]
        if settled:
            last = own.points[-1] if own.points else cumulative_series.Point(reported.series.points[0].at_s)
            pairs.append((last, settled[-1], math.inf))
        excesses = []
        for point, report, until_s in pairs:
            lost = sum(
                reported.slots + reported.series.growth(last_s - audit.CLOCK_SLACK_S, settled_s)
                for last_s, settled_s in ended
                if last_s < until_s
            )
            amount = report.starts - point.starts - elsewhere - reported.slots
            excesses.append(Excess(amount, lost, point, report))
        found = self._worst(excesses)
        if found is None:
            return
        message = (
            f"the worker reports {found.reported.starts} starts, its agents account for {found.own.starts}, other "
            f"records for {elsewhere}; {reported.slots} may have been running"
        )
        if found.amount <= found.bound:
            kind = account_book.FindingKind.UNCONFIRMED
            explanation = f"an agent was killed before its last append, which explains at most {found.bound} starts"
        else:
            kind = account_book.FindingKind.UNACCOUNTED
            explanation = "only if the log was out of reach for the agent, or it was killed with its entries at once"
        from_s, to_s = sorted((found.own.at_s, found.reported.at_s))
        self._note(kind, worker, from_s, to_s, message, explanation)

    @staticmethod
    def _worst(excesses: list[Excess]) -> Excess | None:
        found = [each for each in excesses if each.amount > 0]
        return max(found, key=lambda each: (max(0, each.amount - each.bound), each.amount), default=None)

    def _compare_slot_seconds(
        self, worker: str, own: cumulative_series.CumulativeSeries, reported: cumulative_series.CumulativeSeries
    ) -> None:
        for point in reversed(own.points):
            covering = reported.since(point.at_s + audit.CLOCK_SLACK_S)
            if covering is None:
                continue
            earlier = reported.until(point.at_s - audit.CLOCK_SLACK_S)
            slack = SLOT_SECONDS_SLACK_PER_START * point.starts + SLOT_SECONDS_SLACK_SHARE * covering.slot_seconds
            if earlier.slot_seconds - slack <= point.slot_seconds <= covering.slot_seconds + slack:
                return
            message = (
                f"its agent claims {point.slot_seconds:.1f} slot-seconds; the worker reports "
                f"{earlier.slot_seconds:.1f} before and {covering.slot_seconds:.1f} after"
            )
            explanation = "a VM was paused or killed, or answers were lost; slot-seconds are shown and not split"
            self._note(account_book.FindingKind.UNCONFIRMED, worker, None, point.at_s, message, explanation)
            return

    def _compare_with_pairs(self, chain: "chain.Chain", slots: int) -> None:
        """Tie what is billed, which the pairs show, to the counters that are compared with the worker."""
        found = next((each for each in chain.excesses if max(each.answered, each.handled - slots) > 0), None)
        if found is not None:
            excess = max(found.answered, found.handled - slots)
            message = f"its pairs show {excess} starts more than its counters and {slots} slots allow"
            name = f"{chain.process} ({chain.incarnation})"
            self._note(account_book.FindingKind.OVERCLAIMED, name, None, found.at_s, message)

    def _note_unreported(self, worker: str, chains: "list[chain.Chain]", newest_s: float) -> None:
        points = cumulative_series.CumulativeSeries(chain.points for chain in chains).points
        began_s = next((point.at_s for point in points if point.starts), math.inf)
        if newest_s < began_s + audit.CLOCK_SLACK_S:
            return
        message = f"no usage report of this worker confirms its agent's {points[-1].starts} starts"
        explanation = "its reports lag more than those of others, or were trimmed"
        self._note(account_book.FindingKind.UNCONFIRMED, worker, began_s, points[-1].at_s, message, explanation)

    def _starts_without_records(self, worker: str) -> int:
        """Return what entries account for with agent incarnations that were killed before their first append."""
        return sum(
            pair.starts
            for chain in self._book.chains.values()
            for pair in chain.last.pairs
            if pair.peer_name == worker and pair.peer not in self._book.chains
        )

    def _settled_s(self, at_s: float, window_s: float) -> float:
        """Return when everything up to a time is on the log, unless a process was killed before its append.

        The log's accepting an append after an interval proves that an outage, if there was one, is over.
        """
        due_s = at_s + window_s / audit.KILL_WINDOW_INTERVALS + audit.CLOCK_SLACK_S
        index = bisect.bisect_right(self._append_times, due_s)
        return self._append_times[index] + window_s if index < len(self._append_times) else math.inf

    def _note(
        self,
        kind: account_book.FindingKind,
        worker: str,
        from_s: float | None,
        to_s: float | None,
        message: str,
        explanation: str = "",
    ) -> None:
        self._findings.append(account_book.Finding(kind, worker, "usage report", from_s, to_s, message, explanation))
