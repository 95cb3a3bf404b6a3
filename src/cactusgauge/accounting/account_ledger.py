"""The accounting records of all processes, as read from the log."""

import enum
import math
from typing import TYPE_CHECKING, NamedTuple

from cactusgauge import exceptions
from cactusgauge.accounting import account_record, record_chain

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import log_service


PAGE_RECORDS = 500
# A record that waited for the log longer than this has a successor that is further away.
MAX_UNDELAYED_INTERVALS = 2


class FindingKind(enum.Enum):
    """What is wrong with the records; OPEN kinds can be the effect of a fault, the others cannot."""

    MALFORMED = "malformed"
    EDITED = "edited"
    CONFLICTING = "conflicting"
    DROPPED = "dropped"
    BROKEN_CHAIN = "broken_chain"
    DECREASING = "decreasing"
    MISMATCH = "mismatch"
    IMPOSSIBLE = "impossible"
    MISSING = "missing"
    OVERCLAIMED = "overclaimed"
    UNACCOUNTED = "unaccounted"
    TRIMMED = "trimmed"
    UNFINISHED = "unfinished"
    UNCONFIRMED = "unconfirmed"

    @property
    def is_open(self) -> bool:
        """Whether a fault of the kind that must be survived explains it."""
        return self in (FindingKind.TRIMMED, FindingKind.UNFINISHED, FindingKind.UNCONFIRMED)


class Finding(NamedTuple):
    """One discrepancy: whose records, the other side if a pair is concerned, the period, and what may explain it."""

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
    """Yield all retained records of a stream; raise `LogServiceError` if the log does not answer.

    `on_record` gets the name of the stream and each record as well.
    """
    page = await log.read(stream, 0, PAGE_RECORDS)
    while page.records:
        for record in page.records:
            if on_record is not None:
                on_record(stream, record)
            yield record
        page = await log.read(stream, page.records[-1].offset + 1, PAGE_RECORDS)


class AccountLedger:
    """Chains of records and the findings about the records themselves.

    A record is compared with the one before it in its chain and not kept. `boundaries` are the ends of the period for
    which the usage is wanted.
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
        """Read the whole retained stream as `read_stream` does."""
        ledger = cls(boundaries)
        async for entry in read_stream(log, account_record.STREAM, on_record):
            ledger.add(entry)
        return ledger

    @property
    def chains(self) -> "dict[str, record_chain.RecordChain]":
        """The chains by incarnation."""
        return self._chains

    @property
    def append_times(self) -> list[int]:
        """Times, in whole seconds, at which the log accepted records.

        The time of a record that waited through an outage is no such time, and is left out. So is that of the last
        record of each process, of which nothing tells whether it waited.
        """
        return sorted(self._append_seconds)

    @property
    def is_trimmed(self) -> bool:
        """Whether the log no longer holds the beginning of the stream."""
        return bool(self._is_trimmed)

    @property
    def findings(self) -> list[Finding]:
        """What is wrong with the records themselves."""
        return self._findings

    def add(self, entry: "log_service.LogRecord") -> None:
        """Take the next record of the stream."""
        if self._is_trimmed is None:
            self._is_trimmed = entry.offset > 0
        try:
            record, record_hash = account_record.AccountRecord.decode(entry.data)
        except exceptions.AccountingError:
            message = f"the record at offset {entry.offset} is no accounting record"
            self._findings.append(Finding(FindingKind.MALFORMED, "", "", None, None, message))
            return
        chain = self._chains.get(record.incarnation)
        if record_hash is None:
            self._edited_records.add((record.incarnation, record.sequence))
            message = f"record {record.sequence} does not fit its hash: it was changed after it was made"
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
                message = f"records {gap[0]} to {gap[-1]} are not on the log, though later ones are"
                self._add_finding(FindingKind.DROPPED, after, message, before.at_s)
        elif after.previous != before_hash:
            message = f"record {after.sequence} does not follow on record {before.sequence}"
            self._add_finding(FindingKind.BROKEN_CHAIN, after, message, before.at_s)
        if after.at_s - before.at_s <= MAX_UNDELAYED_INTERVALS * before.interval_s:
            self._append_seconds.add(math.floor(before.at_s))
        self._check_not_decreasing(before, after)

    def _check_repeated(
        self, chain: "record_chain.RecordChain", record: account_record.AccountRecord, record_hash: str
    ) -> None:
        is_equal = chain.matches_earlier(record.sequence, record_hash)
        if is_equal is None:
            message = f"record {record.sequence} stands behind record {chain.last.sequence}"
            self._add_finding(FindingKind.BROKEN_CHAIN, record, message)
        elif not is_equal:
            message = f"two different records have the number {record.sequence}"
            self._add_finding(FindingKind.CONFLICTING, record, message)

    def _report_missing_records(self, first: int, record: account_record.AccountRecord) -> None:
        message = f"records {first} to {record.sequence - 1} are not on the log"
        if self._is_trimmed:
            explanation = "the log's retention trimmed them; consumption up to then cannot be verified any more"
            self._add_finding(FindingKind.TRIMMED, record, message, explanation=explanation)
        else:
            self._add_finding(FindingKind.DROPPED, record, message)

    def _check_not_decreasing(self, before: account_record.AccountRecord, after: account_record.AccountRecord) -> None:
        old_rows = {row[:3]: row.value for row in before.rows}
        new_rows = {row[:3]: row.value for row in after.rows}
        shrunk = [" ".join(filter(None, key)) for key, value in old_rows.items() if new_rows.get(key, -1) < value]
        new_pairs = {pair.peer: pair for pair in after.pairs}
        for pair in before.pairs:
            later = new_pairs.get(pair.peer)
            if later is None or any(new < old for old, new in zip(pair[3:], later[3:], strict=True)):
                shrunk.append(f"pair {pair.peer_name or pair.peer}")
        if shrunk:
            message = f"cumulative counts decrease in record {after.sequence}: {', '.join(shrunk)}"
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
