"""Accounting: usage records on the platform log, bills, and the audit of both."""

from cactusgauge.accounting.account_ledger import AccountLedger, Finding, FindingKind
from cactusgauge.accounting.account_record import STREAM, AccountRecord, CounterRow
from cactusgauge.accounting.account_writer import DEFAULT_INTERVAL_S, AccountWriter, Snapshot
from cactusgauge.accounting.audit import Audit
from cactusgauge.accounting.bill import Bill, Period, make_bill
from cactusgauge.accounting.cost_split import split_cost
from cactusgauge.accounting.file_account_log import FileAccountLog
from cactusgauge.accounting.pair_account import PairAccount, PairTotals
from cactusgauge.accounting.record_chain import RecordChain
from cactusgauge.accounting.report_ledger import ReportLedger
from cactusgauge.accounting.usage import Usage, WorkspaceUsage
from cactusgauge.accounting.usage_report import REPORT_STREAM, UsageReport
from cactusgauge.accounting.worker_audit import WorkerAudit

__all__ = [
    "AccountLedger",
    "AccountRecord",
    "AccountWriter",
    "Audit",
    "Bill",
    "CounterRow",
    "DEFAULT_INTERVAL_S",
    "FileAccountLog",
    "Finding",
    "FindingKind",
    "PairAccount",
    "PairTotals",
    "Period",
    "REPORT_STREAM",
    "RecordChain",
    "ReportLedger",
    "STREAM",
    "Snapshot",
    "Usage",
    "UsageReport",
    "WorkerAudit",
    "WorkspaceUsage",
    "make_bill",
    "split_cost",
]
