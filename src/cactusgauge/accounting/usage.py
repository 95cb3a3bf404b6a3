"""Usage of each workspace in a period."""

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from cactusgauge.accounting import account_ledger, pair_account, record_chain

MICROSECONDS_PER_SECOND = 1_000_000
# Counters of entries that the bill shows but that do not affect the cost.
INFORMATIONAL_COUNTERS = ("jobs_accepted", "tasks_accepted", "tasks_completed", "tasks_failed", "tasks_unknown")


class WorkspaceUsage(NamedTuple):
    """Usage of one workspace in a period.

    `refused` are the starts that ended without a run, and `counts` the values of `INFORMATIONAL_COUNTERS`.
    `unverified_starts` were counted before the first retained record, so it is unknown whether they belong to the
    period; `starts` does not include them.
    """

    workspace: str
    starts: int = 0
    refused: int = 0
    slot_seconds: float = 0.0
    task_messages: int = 0
    messages: int = 0
    wasted_messages: int = 0
    bytes: int = 0
    counts: dict[str, int] = {}  # noqa: RUF012  # never changed
    unverified_starts: int = 0


class Usage:
    """Usage in a period, computed from the cumulative records of both sides of each pair.

    A record is assigned to the time at which it was made. Usage is a difference of cumulative counts, so consecutive
    periods add up exactly even if records are lost, repeated or late. Of the two sides of a pair, the one with the
    higher message number is used, so that a killed process loses nothing that its peer recorded. The ledger must have
    been read with the start and end of the period as boundaries.
    """

    def __init__(
        self, ledger: "account_ledger.AccountLedger", from_s: float = -math.inf, to_s: float = math.inf
    ) -> None:
        self._ledger = ledger
        self._from_s = from_s
        self._to_s = to_s

    def by_workspace(self) -> dict[str, WorkspaceUsage]:
        """Return the usage of every workspace that appears in the period or before it."""
        used: dict[str, WorkspaceUsage] = {}
        for views in self._pairs().values():
            self._add_pair(used, views)
        for chain in self._ledger.chains.values():
            self._add_rows(used, chain)
        return dict(sorted(used.items()))

    def _pairs(self) -> "dict[tuple[str, str], list[tuple[record_chain.RecordChain, record_chain.PairView]]]":
        found: dict[tuple[str, str], list[tuple[record_chain.RecordChain, record_chain.PairView]]] = {}
        for chain in self._ledger.chains.values():
            for peer, views in chain.pairs.items():
                key = (chain.incarnation, peer) if chain.role == "entry" else (peer, chain.incarnation)
                found.setdefault(key, []).extend((chain, view) for view in views)
        return found

    def _add_pair(
        self, used: dict[str, WorkspaceUsage], views: "list[tuple[record_chain.RecordChain, record_chain.PairView]]"
    ) -> None:
        before = [view.totals for _, view in views if view.first_s < self._from_s]
        until = [view.totals for _, view in views if view.first_s < self._to_s]
        if not until:
            return
        # If the first records were trimmed, only what was counted since the first retained record is certain.
        is_start_unknown = not before and all(chain.lacks_first_records for chain, _ in views)
        base = before or ([min(until, key=lambda pair: pair.assign_number)] if is_start_unknown else [])
        changes = {
            field: self._newest_value(until, field, number_field) - self._newest_value(base, field, number_field)
            for field, number_field in (
                ("starts", "assign_number"),
                ("assign_number", "assign_number"),
                ("results_number", "results_number"),
                ("refused", "results_number"),
                ("run_us", "results_number"),
            )
        }
        workspace = until[0].workspace
        old = used.get(workspace, WorkspaceUsage(workspace))
        used[workspace] = old._replace(
            starts=old.starts + changes["starts"],
            refused=old.refused + changes["refused"],
            slot_seconds=old.slot_seconds + changes["run_us"] / MICROSECONDS_PER_SECOND,
            task_messages=old.task_messages + changes["assign_number"] + changes["results_number"],
            unverified_starts=old.unverified_starts
            + (self._newest_value(base, "starts", "assign_number") if is_start_unknown else 0),
        )

    @staticmethod
    def _newest_value(pairs: "list[pair_account.PairTotals]", field: str, number_field: str) -> int:
        """Return a field of the totals with the highest message number, or 0 if there are none."""
        if not pairs:
            return 0
        return int(getattr(max(pairs, key=lambda pair: int(getattr(pair, number_field))), field))

    def _add_rows(self, used: dict[str, WorkspaceUsage], chain: "record_chain.RecordChain") -> None:
        before, until = chain.last_before(self._from_s), chain.last_before(self._to_s)
        if until is None:
            return
        base = before or (chain.first if chain.lacks_first_records else None)
        old_values = {row[:3]: row.value for row in base.rows} if base else {}
        for row in until.rows:
            if not row.workspace:
                continue
            change = round(row.value - old_values.get(row[:3], 0))
            old = used.get(row.workspace, WorkspaceUsage(row.workspace))
            if chain.role == "entry" and row.name in INFORMATIONAL_COUNTERS:
                counts = {**old.counts, row.name: old.counts.get(row.name, 0) + change}
                used[row.workspace] = old._replace(counts=counts)
            elif row.name == "messages_wasted":
                used[row.workspace] = old._replace(wasted_messages=old.wasted_messages + change)
            elif row.name == "messages_received":
                used[row.workspace] = old._replace(messages=old.messages + change)
            elif row.name == "bytes_received":
                used[row.workspace] = old._replace(bytes=old.bytes + change)
