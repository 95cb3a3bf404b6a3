"""The accounting records of all processes, as read from the log."""

import enum
import itertools
from typing import TYPE_CHECKING, NamedTuple

from cactusgauge import exceptions
from cactusgauge.accounting import account_record

if TYPE_CHECKING:
    from cactusgauge import platform


READ_RECORDS = 500
# A record that waited for the log longer than this has a successor that is further away.
PROMPT_INTERVALS = 2


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


class Chain(NamedTuple):
    """The intact records of one incarnation by sequence number; the first ones may have been trimmed."""

    process: str
    role: str
    incarnation: str
    records: list[account_record.AccountRecord]

    @property
    def last(self) -> account_record.AccountRecord:
        """The newest record."""
        return self.records[-1]

    @property
    def starts_late(self) -> bool:
        """Whether the first records are not there."""
        return self.records[0].sequence > 1


async def read_stream(log: "platform.LogService", stream: str) -> "list[platform.LogRecord]":
    """Return all retained records of a stream; raise `LogServiceError` if the log does not answer."""
    entries: list[platform.LogRecord] = []
    page = await log.read(stream, 0, READ_RECORDS)
    while page.records:
        entries += page.records
        page = await log.read(stream, page.records[-1].offset + 1, READ_RECORDS)
    return entries


class AccountBook:
    """Chains of records and the findings about the records themselves."""

    def __init__(self, entries: "list[platform.LogRecord]") -> None:
        self._is_trimmed = bool(entries) and entries[0].offset > 0
        self._findings: list[Finding] = []
        self._damaged: set[tuple[str, int]] = set()
        self._records: dict[str, dict[int, account_record.AccountRecord]] = {}
        for entry in entries:
            self._add(entry)
        self._chains = {
            incarnation: Chain(records[min(records)].process, records[min(records)].role, incarnation, ordered)
            for incarnation, records in self._records.items()
            if (ordered := [records[sequence] for sequence in sorted(records)])
        }
        for chain in self._chains.values():
            self._check(chain)

    @classmethod
    async def read(cls, log: "platform.LogService") -> "AccountBook":
        """Read the whole retained stream; raise `LogServiceError` if the log does not answer."""
        return cls(await read_stream(log, account_record.STREAM))

    @property
    def chains(self) -> dict[str, Chain]:
        """The chains by incarnation."""
        return self._chains

    @property
    def append_times(self) -> list[float]:
        """Times at which the log accepted records.

        The time of a record that waited through an outage is no such time, and is left out. So is that of the last
        record of each process, of which nothing tells whether it waited.
        """
        return sorted(
            before.at_s
            for chain in self._chains.values()
            for before, after in itertools.pairwise(chain.records)
            if after.at_s - before.at_s <= PROMPT_INTERVALS * before.interval_s
        )

    @property
    def is_trimmed(self) -> bool:
        """Whether the log no longer holds the beginning of the stream."""
        return self._is_trimmed

    @property
    def findings(self) -> list[Finding]:
        """What is wrong with the records themselves."""
        return self._findings

    def _add(self, entry: "platform.LogRecord") -> None:
        try:
            record, is_intact = account_record.AccountRecord.decode(entry.data)
        except exceptions.AccountingError:
            message = f"the record at offset {entry.offset} is no accounting record"
            self._findings.append(Finding(FindingKind.MALFORMED, "", "", None, None, message))
            return
        place = (record.incarnation, record.sequence)
        if not is_intact:
            self._damaged.add(place)
            message = f"record {record.sequence} does not fit its hash: it was changed after it was made"
            self._note(FindingKind.EDITED, record, message)
            return
        known = self._records.setdefault(record.incarnation, {}).setdefault(record.sequence, record)
        if known != record:
            message = f"two different records have the number {record.sequence}"
            self._note(FindingKind.CONFLICTING, record, message)

    def _check(self, chain: Chain) -> None:
        if chain.starts_late and (chain.incarnation, chain.records[0].sequence - 1) not in self._damaged:
            self._note_missing(1, chain.records[0])
        for before, after in itertools.pairwise(chain.records):
            if after.sequence != before.sequence + 1:
                gap = range(before.sequence + 1, after.sequence)
                if any((chain.incarnation, sequence) not in self._damaged for sequence in gap):
                    message = f"records {gap[0]} to {gap[-1]} are not on the log, though later ones are"
                    self._note(FindingKind.DROPPED, after, message, before.at_s)
            elif after.previous != before.hash:
                message = f"record {after.sequence} does not follow on record {before.sequence}"
                self._note(FindingKind.BROKEN_CHAIN, after, message, before.at_s)
            self._check_growth(before, after)

    def _note_missing(self, first: int, record: account_record.AccountRecord) -> None:
        message = f"records {first} to {record.sequence - 1} are not on the log"
        if self._is_trimmed:
            explanation = "the log's retention trimmed them; consumption up to then cannot be verified any more"
            self._note(FindingKind.TRIMMED, record, message, explanation=explanation)
        else:
            self._note(FindingKind.DROPPED, record, message)

    def _check_growth(self, before: account_record.AccountRecord, after: account_record.AccountRecord) -> None:
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
            self._note(FindingKind.DECREASING, after, message, before.at_s)

    def _note(
        self,
        kind: FindingKind,
        record: account_record.AccountRecord,
        message: str,
        from_s: float | None = None,
        explanation: str = "",
    ) -> None:
        name = f"{record.process} ({record.incarnation})"
        self._findings.append(Finding(kind, name, "", from_s, record.at_s, message, explanation))
