"""Reads the usage reports of all workers from the log and verifies them."""

import itertools
import math
from typing import TYPE_CHECKING, NamedTuple

from cactusgauge import exceptions
from cactusgauge.accounting import account_ledger, cumulative_series, usage_report

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import log_service


class Gap(NamedTuple):
    """A period between two reports in which the worker may have run tasks that no report covers."""

    from_s: float
    to_s: float


class WorkerReports(NamedTuple):
    """Reports of one worker; a gap follows each incarnation that ended without a final report.

    If the log was trimmed, there is also a gap before the first retained report.
    """

    series: cumulative_series.CumulativeSeries
    slots: int
    gaps: list[Gap]


class IncarnationReports:
    """Reports of one incarnation: the first, the last and the counts over time."""

    def __init__(self, first: usage_report.UsageReport) -> None:
        self.first = first
        self.last = first
        self.points: list[cumulative_series.Point] = []

    def add(self, report: usage_report.UsageReport) -> None:
        """Add a report with a higher sequence number."""
        self.last = report
        cumulative_series.Point(report.to_s, report.starts, 0, report.slot_seconds).append_to(self.points)


class ReportLedger:
    """Usage reports by worker, and the findings about the reports themselves."""

    def __init__(self) -> None:
        self._is_trimmed: bool | None = None
        self._findings: list[account_ledger.Finding] = []
        self._incarnations: dict[str, dict[str, IncarnationReports]] = {}

    @classmethod
    async def read(
        cls, log: "log_service.LogService", on_record: "abc.Callable[[str, log_service.LogRecord], None] | None" = None
    ) -> "ReportLedger":
        """Build a ledger from all retained reports; see `account_ledger.read_stream`."""
        ledger = cls()
        async for log_record in account_ledger.read_stream(log, usage_report.REPORT_STREAM, on_record):
            ledger.add(log_record)
        return ledger

    @property
    def findings(self) -> list[account_ledger.Finding]:
        """The discrepancies found in the reports themselves."""
        return self._findings

    @property
    def workers(self) -> dict[str, WorkerReports]:
        """The reports by worker."""
        return {
            worker: self._summarise(list(incarnations.values()))
            for worker, incarnations in sorted(self._incarnations.items())
        }

    def add(self, log_record: "log_service.LogRecord") -> None:
        """Verify and add the next record of the stream."""
        if self._is_trimmed is None:
            self._is_trimmed = log_record.offset > 0
        try:
            report = usage_report.UsageReport.decode(log_record.data)
        except exceptions.AccountingError:
            message = (
                f"the record at offset {log_record.offset} of {usage_report.REPORT_STREAM} is not a valid usage report"
            )
            self._findings.append(
                account_ledger.Finding(account_ledger.FindingKind.MALFORMED, "", "", None, None, message)
            )
            return
        incarnation = self._incarnations.setdefault(report.worker, {}).setdefault(
            report.incarnation, IncarnationReports(report)
        )
        last = incarnation.last
        if report.sequence > last.sequence or not incarnation.points:
            if report.starts < last.starts or report.slot_seconds < last.slot_seconds or report.to_s < last.to_s:
                self._add_finding(
                    account_ledger.FindingKind.DECREASING, last, report, "has lower values than the previous report"
                )
            incarnation.add(report)
        elif report.sequence == last.sequence and report != last:
            self._add_finding(
                account_ledger.FindingKind.CONFLICTING, last, report, "appears twice with different content"
            )

    def _summarise(self, incarnations: list[IncarnationReports]) -> WorkerReports:
        incarnations.sort(key=lambda incarnation: incarnation.first.to_s)
        gaps = [
            Gap(ended.last.to_s, began.first.to_s)
            for ended, began in itertools.pairwise(incarnations)
            if not ended.last.final
        ]
        if self._is_trimmed:
            gaps.append(Gap(-math.inf, incarnations[0].first.to_s))
        series = cumulative_series.CumulativeSeries(incarnation.points for incarnation in incarnations)
        return WorkerReports(series, max(incarnation.last.slots for incarnation in incarnations), gaps)

    def _add_finding(
        self,
        kind: account_ledger.FindingKind,
        before: usage_report.UsageReport,
        report: usage_report.UsageReport,
        problem: str,
    ) -> None:
        message = f"usage report {report.sequence} of {report.incarnation} {problem}"
        name = f"worker {report.worker}"
        self._findings.append(account_ledger.Finding(kind, name, "", before.to_s, report.to_s, message))
