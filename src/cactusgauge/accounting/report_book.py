"""The usage reports of all workers, as read from the log."""

import itertools
from typing import TYPE_CHECKING, NamedTuple

from cactusgauge import exceptions
from cactusgauge.accounting import account_book, cumulative_series, usage_report

if TYPE_CHECKING:
    from cactusgauge import platform


class Gap(NamedTuple):
    """A time between two reports, in which the worker may have run what no report covers."""

    from_s: float
    to_s: float


class WorkerReports(NamedTuple):
    """Reports of one worker; `gaps` follow incarnations that ended without a final report."""

    series: cumulative_series.CumulativeSeries
    slots: int
    gaps: list[Gap]


class ReportBook:
    """Reports by worker, and the findings about the reports themselves."""

    def __init__(self, entries: "list[platform.LogRecord]") -> None:
        self._is_trimmed = bool(entries) and entries[0].offset > 0
        self._findings: list[account_book.Finding] = []
        self._reports: dict[str, dict[str, list[usage_report.UsageReport]]] = {}
        for entry in entries:
            self._add(entry)

    @classmethod
    async def read(cls, log: "platform.LogService") -> "ReportBook":
        """Read the whole retained stream; raise `LogServiceError` if the log does not answer."""
        return cls(await account_book.read_stream(log, usage_report.REPORT_STREAM))

    @property
    def findings(self) -> list[account_book.Finding]:
        """What is wrong with the reports themselves."""
        return self._findings

    @property
    def workers(self) -> dict[str, WorkerReports]:
        """The reports by worker."""
        return {worker: self._summarise(list(runs.values())) for worker, runs in sorted(self._reports.items())}

    def _add(self, entry: "platform.LogRecord") -> None:
        try:
            report = usage_report.UsageReport.decode(entry.data)
        except exceptions.AccountingError:
            message = f"the record at offset {entry.offset} of {usage_report.REPORT_STREAM} is no usage report"
            self._findings.append(account_book.Finding(account_book.FindingKind.MALFORMED, "", "", None, None, message))
            return
        known = self._reports.setdefault(report.worker, {}).setdefault(report.incarnation, [])
        last = known[-1] if known else report
        if report.sequence > last.sequence or not known:
            if report.starts < last.starts or report.slot_seconds < last.slot_seconds or report.to_s < last.to_s:
                self._note(account_book.FindingKind.DECREASING, last, report, "is lower than the one before")
            known.append(report)
        elif report.sequence == last.sequence and report != last:
            self._note(account_book.FindingKind.CONFLICTING, last, report, "stands there twice with different content")

    def _summarise(self, runs: list[list[usage_report.UsageReport]]) -> WorkerReports:
        runs.sort(key=lambda run: run[0].to_s)
        series = cumulative_series.CumulativeSeries(
            [cumulative_series.Point(each.to_s, each.starts, 0, each.slot_seconds) for each in run] for run in runs
        )
        gaps = [Gap(ended[-1].to_s, began[0].to_s) for ended, began in itertools.pairwise(runs) if not ended[-1].final]
        if self._is_trimmed:
            gaps.append(Gap(-float("inf"), runs[0][0].to_s))
        return WorkerReports(series, max(run[-1].slots for run in runs), gaps)

    def _note(
        self,
        kind: account_book.FindingKind,
        before: usage_report.UsageReport,
        report: usage_report.UsageReport,
        what: str,
    ) -> None:
        message = f"usage report {report.sequence} of {report.incarnation} {what}"
        name = f"worker {report.worker}"
        self._findings.append(account_book.Finding(kind, name, "", before.to_s, report.to_s, message))
