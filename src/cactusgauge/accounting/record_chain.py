"""Summary of the hash-chained accounting records of one incarnation."""

from typing import TYPE_CHECKING, NamedTuple

from cactusgauge.accounting import cumulative_series, pair_account

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge.accounting import account_record

DIGEST_BYTES = 8  # enough to distinguish a repeated record from a different one with the same number
IDENTITY_FIELDS = 3  # number of fields of `PairTotals` that precede the counts


class PairView(NamedTuple):
    """Equal counts of consecutive records, the times of the first and last, and whether the last one is final."""

    totals: pair_account.PairTotals
    first_s: float
    last_s: float
    is_final: bool


class PairExcess(NamedTuple):
    """By how many starts the pair counts of a record exceed its counter of started tasks.

    `answered` is the number of outcomes that were not refused minus the counter. `handled` is the number of all starts,
    except the refused ones, minus the counter; it includes tasks that still run.
    """

    answered: int
    handled: int
    at_s: float


class RecordChain:
    """The intact records of one incarnation in sequence; the first ones may have been trimmed.

    Only the newest record, the changes of counts and the last record before each of the `boundaries` are kept.
    """

    def __init__(
        self, first: "account_record.AccountRecord", first_hash: str, boundaries: "abc.Iterable[float]"
    ) -> None:
        self._first = first
        self._last = first
        self._last_hash = ""
        # First sequence number and concatenated digests of each stretch of records without gaps in their numbers.
        self._digests: list[tuple[int, bytearray]] = []
        self._pairs: dict[str, list[PairView]] = {}
        self._points: list[cumulative_series.Point] = []
        self._excesses: list[PairExcess] = []
        self._last_before: dict[float, account_record.AccountRecord | None] = dict.fromkeys(boundaries)
        self.add(first, first_hash)

    @property
    def process(self) -> str:
        """Name of the process."""
        return self._first.process

    @property
    def role(self) -> str:
        """Role of the process."""
        return self._first.role

    @property
    def incarnation(self) -> str:
        """Id of the incarnation."""
        return self._first.incarnation

    @property
    def first(self) -> "account_record.AccountRecord":
        """The oldest record."""
        return self._first

    @property
    def last(self) -> "account_record.AccountRecord":
        """The newest record."""
        return self._last

    @property
    def last_hash(self) -> str:
        """Hash of the newest record."""
        return self._last_hash

    @property
    def lacks_first_records(self) -> bool:
        """Whether the first records are missing."""
        return self._first.sequence > 1

    @property
    def count(self) -> int:
        """Number of records."""
        return sum(len(digests) for _, digests in self._digests) // DIGEST_BYTES

    @property
    def pairs(self) -> dict[str, list[PairView]]:
        """The successive counts of each pair, by incarnation of the peer."""
        return self._pairs

    @property
    def points(self) -> list[cumulative_series.Point]:
        """Counts of starts over time; of equal counts only the first and last point are kept."""
        return self._points

    @property
    def excesses(self) -> list[PairExcess]:
        """The highest excesses up to each record that raised one of them, in order of the records."""
        return self._excesses

    def last_before(self, boundary_s: float) -> "account_record.AccountRecord | None":
        """Return the newest record made before one of the boundaries, or None."""
        return self._last_before[boundary_s]

    def add(self, record: "account_record.AccountRecord", record_hash: str) -> None:
        """Add a record with a higher sequence number than all previous ones."""
        if not self._digests or record.sequence != self._last.sequence + 1:
            self._digests.append((record.sequence, bytearray()))
        self._last_hash = record_hash
        self._digests[-1][1].extend(self._digest(record_hash))
        self._last = record
        for boundary_s in self._last_before:
            if record.at_s < boundary_s:
                self._last_before[boundary_s] = record
        for pair in record.pairs:
            self._add_pair(record, pair)
        if record.role == "agent":
            self._add_counts(record)

    def matches_earlier(self, sequence: int, record_hash: str) -> bool | None:
        """Return whether the earlier record with this sequence number is equal, or None if there is none."""
        first, digests = next((each for each in reversed(self._digests) if each[0] <= sequence), (0, bytearray()))
        index = (sequence - first) * DIGEST_BYTES
        known = digests[index : index + DIGEST_BYTES]
        return known == self._digest(record_hash) if known else None

    def _add_pair(self, record: "account_record.AccountRecord", pair: pair_account.PairTotals) -> None:
        views = self._pairs.setdefault(pair.peer, [])
        if views and views[-1].totals[IDENTITY_FIELDS:] == pair[IDENTITY_FIELDS:]:
            views[-1] = views[-1]._replace(last_s=record.at_s, is_final=record.final)
            return
        if views:  # share the strings with the first view to save memory
            known = views[0].totals
            pair = pair._replace(peer=known.peer, peer_name=known.peer_name, workspace=known.workspace)
        views.append(PairView(pair, record.at_s, record.at_s, record.final))

    def _add_counts(self, record: "account_record.AccountRecord") -> None:
        """Add the starts of an agent's record to the points and compare its pair counts with its counters."""
        sums: dict[str, float] = {}
        for row in record.rows:
            sums[row.name] = sums.get(row.name, 0) + row.value
        started = round(sums.get("tasks_started", 0))
        unknown, slot_seconds = round(sums.get("tasks_unknown", 0)), sums.get("slot_seconds", 0.0)
        cumulative_series.Point(record.at_s, started, unknown, slot_seconds).append_to(self._points)
        refused = round(sums.get("starts_refused", 0) + sums.get("tasks_not_run", 0))
        answered = sum(pair.outcomes - pair.refused for pair in record.pairs) - started
        handled = sum(pair.starts for pair in record.pairs) - refused - started
        highest = self._excesses[-1] if self._excesses else PairExcess(0, 0, 0.0)
        if answered > highest.answered or handled > highest.handled:
            excess = PairExcess(max(answered, highest.answered), max(handled, highest.handled), record.at_s)
            self._excesses.append(excess)

    @staticmethod
    def _digest(record_hash: str) -> bytes:
        return bytes.fromhex(record_hash)[:DIGEST_BYTES]
