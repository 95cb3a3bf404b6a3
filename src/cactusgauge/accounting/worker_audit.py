"""Compares the accounting records of agents with the usage reports of their workers."""

import bisect
import math
from typing import TYPE_CHECKING, NamedTuple

from cactusgauge.accounting import account_ledger, account_writer, audit, cumulative_series

if TYPE_CHECKING:
    from cactusgauge.accounting import record_chain, report_ledger

# Seconds. An agent measures run time from before it sends the request until after it has read the response. The
# allowance is 50 times a round trip.
SLOT_SECONDS_SLACK_PER_START = 0.05
SLOT_SECONDS_SLACK_SHARE = 0.1  # of the slot-seconds that the worker reports


class Excess(NamedTuple):
    """By how many starts the agent or the worker exceeds the other; `bound` is the number that faults can explain."""

    amount: int
    bound: int
    agent_point: cumulative_series.Point
    worker_point: cumulative_series.Point


class WorkerAudit:
    """Checks bounds between the cumulative counts of an agent and its worker that hold for any lag and clock skew.

    The skew is limited to MAX_CLOCK_SKEW_S. A task that ran according to an agent's record had been started at the
    worker by then, so a report made MAX_CLOCK_SKEW_S or more later includes it. A task that the worker started at least
    MAX_CLOCK_SKEW_S before an agent's record is included in that record, or still occupies one of the slots.
    """

    def __init__(self, ledger: account_ledger.AccountLedger, reports: "report_ledger.ReportLedger") -> None:
        self._ledger = ledger
        self._findings = list(reports.findings)
        self._append_times = ledger.append_times
        chains: dict[str, list[record_chain.RecordChain]] = {}
        for chain in ledger.chains.values():
            if chain.role == "agent":
                chains.setdefault(chain.process, []).append(chain)
        workers = reports.workers
        for worker, reported in workers.items():
            self._compare(worker, chains.get(worker, []), reported)
        if workers:
            newest_s = max(reported.series.points[-1].at_s for reported in workers.values())
            for worker in sorted(chains.keys() - workers.keys()):
                self._report_missing_reports(worker, chains[worker], newest_s)

    @property
    def findings(self) -> list[account_ledger.Finding]:
        """All discrepancies."""
        return self._findings

    def _compare(
        self, worker: str, chains: "list[record_chain.RecordChain]", reported: "report_ledger.WorkerReports"
    ) -> None:
        agent_series = cumulative_series.CumulativeSeries(chain.points for chain in chains)
        for chain in chains:
            self._compare_with_pairs(chain, reported.slots)
        self._check_overclaimed(worker, agent_series, reported)
        self._check_unaccounted(worker, chains, agent_series, reported)
        self._compare_slot_seconds(worker, agent_series, reported.series)

    def _check_overclaimed(
        self, worker: str, agent_series: cumulative_series.CumulativeSeries, reported: "report_ledger.WorkerReports"
    ) -> None:
        """Check that the agent recorded no more starts than the worker reports."""
        excesses = []
        for point in agent_series.points:
            covering = reported.series.upper_bound_at(point.at_s + audit.MAX_CLOCK_SKEW_S)
            if covering is None:
                break
            lost = sum(
                agent_series.max_starts_between(gap.from_s - audit.MAX_CLOCK_SKEW_S, gap.to_s + audit.MAX_CLOCK_SKEW_S)
                for gap in reported.gaps
                if gap.from_s - audit.MAX_CLOCK_SKEW_S < point.at_s
            )
            excesses.append(Excess(point.starts - covering.starts, point.unknown + lost, point, covering))
        found = self._largest_excess(excesses)
        if found is None:
            return
        message = (
            f"its agent recorded {found.agent_point.starts} starts, {found.agent_point.unknown} of them with unknown "
            f"outcome; the report up to {found.worker_point.at_s - found.agent_point.at_s:.0f} s later has "
            f"{found.worker_point.starts}"
        )
        kind, explanation = account_ledger.FindingKind.OVERCLAIMED, ""
        if found.amount <= found.bound:
            kind = account_ledger.FindingKind.UNCONFIRMED
            explanation = (
                f"up to {found.bound} starts were lost before they reached the worker, or the worker ended without a "
                "final report, or its reports were trimmed by the retention of the log"
            )
        self._add_finding(kind, worker, None, found.agent_point.at_s, message, explanation)

    def _check_unaccounted(
        self,
        worker: str,
        chains: "list[record_chain.RecordChain]",
        agent_series: cumulative_series.CumulativeSeries,
        reported: "report_ledger.WorkerReports",
    ) -> None:
        """Check that the worker reports no more starts than its agents recorded and its slots can hold."""
        window_s = audit.KILL_WINDOW_INTERVALS * max(
            (chain.last.interval_s for chain in chains), default=account_writer.DEFAULT_INTERVAL_S
        )
        entry_only_starts = self._entry_only_starts(worker)
        # Chains of agents that were killed or still run: the time of the last record, and the time by which all records
        # up to then are on the log.
        unfinished = [
            (chain.last.at_s, self._complete_at_s(chain.last.at_s, window_s))
            for chain in chains
            if not chain.last.final
        ]
        # Check only times up to which all records are on the log: until then, an entry may still append the starts of
        # an agent that was killed before its first append.
        now_s = self._append_times[-1] if self._append_times else -math.inf
        comparisons = [
            (point, reported.series.lower_bound_at(point.at_s - audit.MAX_CLOCK_SKEW_S), point.at_s)
            for point in agent_series.points
            if self._complete_at_s(point.at_s, window_s) <= now_s
        ]
        complete_points = [
            point for point in reported.series.points if self._complete_at_s(point.at_s, window_s) <= now_s
        ]
        if complete_points:
            last = (
                agent_series.points[-1]
                if agent_series.points
                else cumulative_series.Point(reported.series.points[0].at_s)
            )
            comparisons.append((last, complete_points[-1], math.inf))
        excesses = []
        for point, report, until_s in comparisons:
            unrecorded = sum(
                reported.slots + reported.series.max_starts_between(last_s - audit.MAX_CLOCK_SKEW_S, complete_at_s)
                for last_s, complete_at_s in unfinished
                if last_s < until_s
            )
            amount = report.starts - point.starts - entry_only_starts - reported.slots
            excesses.append(Excess(amount, unrecorded, point, report))
        found = self._largest_excess(excesses)
        if found is None:
            return
        message = (
            f"the worker reports {found.worker_point.starts} starts, its agents recorded {found.agent_point.starts}, "
            f"other records contain {entry_only_starts}; {reported.slots} may have been running"
        )
        if found.amount <= found.bound:
            kind = account_ledger.FindingKind.UNCONFIRMED
            explanation = f"an agent was killed before its last append, which explains at most {found.bound} starts"
        else:
            kind = account_ledger.FindingKind.UNACCOUNTED
            explanation = (
                "only possible if the log was unreachable for the agent, or it was killed together with its entries"
            )
        from_s, to_s = sorted((found.agent_point.at_s, found.worker_point.at_s))
        self._add_finding(kind, worker, from_s, to_s, message, explanation)

    @staticmethod
    def _largest_excess(excesses: list[Excess]) -> Excess | None:
        found = [each for each in excesses if each.amount > 0]
        return max(found, key=lambda each: (max(0, each.amount - each.bound), each.amount), default=None)

    def _compare_slot_seconds(
        self,
        worker: str,
        agent_series: cumulative_series.CumulativeSeries,
        worker_series: cumulative_series.CumulativeSeries,
    ) -> None:
        """Compare the newest slot-seconds of the agent that a later report covers with the worker's."""
        for point in reversed(agent_series.points):
            covering = worker_series.upper_bound_at(point.at_s + audit.MAX_CLOCK_SKEW_S)
            if covering is None:
                continue
            earlier = worker_series.lower_bound_at(point.at_s - audit.MAX_CLOCK_SKEW_S)
            slack = SLOT_SECONDS_SLACK_PER_START * point.starts + SLOT_SECONDS_SLACK_SHARE * covering.slot_seconds
            if earlier.slot_seconds - slack <= point.slot_seconds <= covering.slot_seconds + slack:
                return
            message = (
                f"its agent recorded {point.slot_seconds:.1f} slot-seconds; the worker reports "
                f"{earlier.slot_seconds:.1f} before and {covering.slot_seconds:.1f} after"
            )
            explanation = (
                "a VM was paused or killed, or responses were lost; slot-seconds are shown but do not affect the cost"
            )
            self._add_finding(account_ledger.FindingKind.UNCONFIRMED, worker, None, point.at_s, message, explanation)
            return

    def _compare_with_pairs(self, chain: "record_chain.RecordChain", slots: int) -> None:
        """Check that the pair counts, which are billed, agree with the counters, which are compared with the worker."""
        found = next((each for each in chain.excesses if max(each.answered, each.handled - slots) > 0), None)
        if found is not None:
            excess = max(found.answered, found.handled - slots)
            message = f"its pair counts exceed what its counters and {slots} slots allow by {excess} starts"
            name = f"{chain.process} ({chain.incarnation})"
            self._add_finding(account_ledger.FindingKind.OVERCLAIMED, name, None, found.at_s, message)

    def _report_missing_reports(self, worker: str, chains: "list[record_chain.RecordChain]", newest_s: float) -> None:
        points = cumulative_series.CumulativeSeries(chain.points for chain in chains).points
        began_s = next((point.at_s for point in points if point.starts), math.inf)
        if newest_s < began_s + audit.MAX_CLOCK_SKEW_S:
            return
        message = f"no usage report of this worker confirms its agent's {points[-1].starts} starts"
        explanation = "its reports lag behind those of other workers, or were trimmed"
        self._add_finding(
            account_ledger.FindingKind.UNCONFIRMED, worker, began_s, points[-1].at_s, message, explanation
        )

    def _entry_only_starts(self, worker: str) -> int:
        """Return the starts that entries recorded for agent incarnations killed before their first append."""
        return sum(
            pair.starts
            for chain in self._ledger.chains.values()
            for pair in chain.last.pairs
            if pair.peer_name == worker and pair.peer not in self._ledger.chains
        )

    def _complete_at_s(self, at_s: float, window_s: float) -> float:
        """Return when all records up to a time are on the log, except those of processes killed before their append.

        An append that the log accepts at least one interval later proves that any outage of the log is over.
        """
        due_s = at_s + window_s / audit.KILL_WINDOW_INTERVALS + audit.MAX_CLOCK_SKEW_S
        index = bisect.bisect_right(self._append_times, due_s)
        return self._append_times[index] + window_s if index < len(self._append_times) else math.inf

    def _add_finding(
        self,
        kind: account_ledger.FindingKind,
        worker: str,
        from_s: float | None,
        to_s: float | None,
        message: str,
        explanation: str = "",
    ) -> None:
        self._findings.append(account_ledger.Finding(kind, worker, "usage report", from_s, to_s, message, explanation))
