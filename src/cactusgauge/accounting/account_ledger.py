"""Reads the accounting records of all processes from the log and verifies each chain of records."""

import enum
import math
from typing import TYPE_CHECKING, NamedTuple

from cactusgauge import exceptions
from cactusgauge.accounting import account_record, record_chain

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import log_service


PAGE_RECORDS = 500
# In record intervals of the process. A process makes its next record only after the log has accepted the previous one,
# so a longer time between two records means that an outage of the log may have delayed the first.
MAX_UNDELAYED_INTERVALS = 2


class FindingKind(enum.Enum):
    """Kinds of discrepancies; a crash or an outage can cause the open kinds (see `is_open`), but not the others."""

    MALFORMED = "malformed"
    EDITED = "edited"  # a record does not match its own hash
    CONFLICTING = "conflicting"  # two different records have the same sequence number
    DROPPED = "dropped"  # records are missing, but later ones of the chain are on the log
    BROKEN_CHAIN = "broken_chain"  # a record is out of order or lacks the hash of the previous one
    DECREASING = "decreasing"  # cumulative counts became lower
    MISMATCH = "mismatch"  # the counts of entry and agent contradict each other
    IMPOSSIBLE = "impossible"  # a side's records lack messages that it acknowledged
    MISSING = "missing"  # a side has no records for a time in which other processes appended some
    OVERCLAIMED = "overclaimed"  # an agent recorded more starts than its worker's reports or its own counters allow
    UNACCOUNTED = "unaccounted"  # a worker reports more starts than its agents can have left unrecorded
    TRIMMED = "trimmed"  # the log's retention removed the first records
    UNFINISHED = "unfinished"  # only one side recorded the last messages
    UNCONFIRMED = "unconfirmed"  # agent and worker differ by no more than faults explain

    @property
    def is_open(self) -> bool:
        """Whether a fault that the system must tolerate can explain the finding."""
        return self in (FindingKind.TRIMMED, FindingKind.UNFINISHED, FindingKind.UNCONFIRMED)


class Finding(NamedTuple):
    """A discrepancy: the process, the peer if it concerns a pair, the period, and a possible explanation.

    `from_s` and `to_s` are Unix times, or None if unknown.
    """

    kind: FindingKind
    process: str
    peer: str
    from_s: float | None
    to_s: float | None
    message: str
    explanation: str = ""


async def read_stream(
    log: "log_service.LogService",
    stream: str,
    on_record: "abc.Callable[[str, log_service.LogRecord], None] | None" = None,
) -> "abc.AsyncIterator[log_service.LogRecord]":
    """Yield all retained records of a stream; raise `LogServiceError` if the log does not respond.

    `on_record`, if given, is called with the name of the stream and each record.
    """
    page = await log.read(stream, 0, PAGE_RECORDS)
    while page.records:
        for record in page.records:
            if on_record is not None:
                on_record(stream, record)
            yield record
        page = await log.read(stream, page.records[-1].offset + 1, PAGE_RECORDS)


class AccountLedger:
    """Record chains by incarnation, and the findings about the records themselves.

    Each record is compared with the previous one of its chain and then discarded from memory. `boundaries` are the
    start and end of the period for which usage is computed.
    """

    def __init__(self, boundaries: "abc.Iterable[float]" = (-math.inf, math.inf)) -> None:
        self._boundaries = tuple(boundaries)
        self._is_trimmed: bool | None = None
        self._findings: list[Finding] = []
        self._edited_records: set[tuple[str, int]] = set()
        self._chains: dict[str, record_chain.RecordChain] = {}
        self._append_seconds: set[int] = set()

    @classmethod
    async def read(
        cls,
        log: "log_service.LogService",
        boundaries: "abc.Iterable[float]" = (-math.inf, math.inf),
        on_record: "abc.Callable[[str, log_service.LogRecord], None] | None" = None,
    ) -> "AccountLedger":
        """Build a ledger from all retained records; see `read_stream`."""
        ledger = cls(boundaries)
        async for log_record in read_stream(log, account_record.STREAM, on_record):
            ledger.add(log_record)
        return ledger

    @property
    def chains(self) -> "dict[str, record_chain.RecordChain]":
        """The record chains by incarnation."""
        return self._chains

    @property
    def append_times(self) -> list[int]:
        """Times, in whole seconds, at which the log accepted records.

        Records delayed by an outage are left out, because they were appended later than they were made. So is the last
        record of each process, because it is not known whether it was delayed.
        """
        return sorted(self._append_seconds)

    @property
    def is_trimmed(self) -> bool:
        """Whether the log no longer holds the beginning of the stream."""
        return bool(self._is_trimmed)

    @property
    def findings(self) -> list[Finding]:
        """The discrepancies found in the records themselves."""
        return self._findings

    def add(self, log_record: "log_service.LogRecord") -> None:
        """Verify and add the next record of the stream."""
        if self._is_trimmed is None:
            self._is_trimmed = log_record.offset > 0
        try:
            record, record_hash = account_record.AccountRecord.decode(log_record.data)
        except exceptions.AccountingError:
            message = f"the record at offset {log_record.offset} is not a valid accounting record"
            self._findings.append(Finding(FindingKind.MALFORMED, "", "", None, None, message))
            return
        chain = self._chains.get(record.incarnation)
        if record_hash is None:
            self._edited_records.add((record.incarnation, record.sequence))
            message = f"record {record.sequence} does not match its hash: it was modified after it was created"
            self._add_finding(FindingKind.EDITED, record, message)
        elif chain is None:
            self._chains[record.incarnation] = record_chain.RecordChain(record, record_hash, self._boundaries)
            if record.sequence > 1 and (record.incarnation, record.sequence - 1) not in self._edited_records:
                self._report_missing_records(1, record)
        elif record.sequence > chain.last.sequence:
            self._check_successor(chain.last, chain.last_hash, record)
            chain.add(record, record_hash)
        else:
            self._check_repeated(chain, record, record_hash)

    def _check_successor(
        self, before: account_record.AccountRecord, before_hash: str, after: account_record.AccountRecord
    ) -> None:
        if after.sequence != before.sequence + 1:
            gap = range(before.sequence + 1, after.sequence)
            if any((after.incarnation, sequence) not in self._edited_records for sequence in gap):
                message = f"records {gap[0]} to {gap[-1]} are not on the log, but later ones are"
                self._add_finding(FindingKind.DROPPED, after, message, before.at_s)
        elif after.previous != before_hash:
            message = f"record {after.sequence} does not contain the hash of record {before.sequence}"
            self._add_finding(FindingKind.BROKEN_CHAIN, after, message, before.at_s)
        if after.at_s - before.at_s <= MAX_UNDELAYED_INTERVALS * before.interval_s:
            self._append_seconds.add(math.floor(before.at_s))
        self._check_not_decreasing(before, after)

    def _check_repeated(
        self, chain: "record_chain.RecordChain", record: account_record.AccountRecord, record_hash: str
    ) -> None:
        """Check a record whose sequence number is not above that of the newest record of its chain."""
        is_equal = chain.matches_earlier(record.sequence, record_hash)
        if is_equal is None:
            message = f"record {record.sequence} comes after record {chain.last.sequence} on the log"
            self._add_finding(FindingKind.BROKEN_CHAIN, record, message)
        elif not is_equal:
            message = f"two different records have sequence number {record.sequence}"
            self._add_finding(FindingKind.CONFLICTING, record, message)

    def _report_missing_records(self, first: int, record: account_record.AccountRecord) -> None:
        message = f"records {first} to {record.sequence - 1} are not on the log"
        if self._is_trimmed:
            explanation = "they were trimmed by the retention of the log; usage up to then can no longer be verified"
            self._add_finding(FindingKind.TRIMMED, record, message, explanation=explanation)
        else:
            self._add_finding(FindingKind.DROPPED, record, message)

    def _check_not_decreasing(self, before: account_record.AccountRecord, after: account_record.AccountRecord) -> None:
        old_rows = {row[:3]: row.value for row in before.rows}
        new_rows = {row[:3]: row.value for row in after.rows}
        decreased = [" ".join(filter(None, key)) for key, value in old_rows.items() if new_rows.get(key, -1) < value]
        new_pairs = {pair.peer: pair for pair in after.pairs}
        for pair in before.pairs:
            later = new_pairs.get(pair.peer)
            if later is None or any(new < old for old, new in zip(pair[3:], later[3:], strict=True)):
                decreased.append(f"pair {pair.peer_name or pair.peer}")
        if decreased:
            message = f"cumulative counts decreased in record {after.sequence}: {', '.join(decreased)}"
            self._add_finding(FindingKind.DECREASING, after, message, before.at_s)

    def _add_finding(
        self,
        kind: FindingKind,
        record: account_record.AccountRecord,
        message: str,
        from_s: float | None = None,
        explanation: str = "",
    ) -> None:
        name = f"{record.process} ({record.incarnation})"
        self._findings.append(Finding(kind, name, "", from_s, record.at_s, message, explanation))
