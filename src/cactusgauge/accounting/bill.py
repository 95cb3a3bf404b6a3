"""Bills for a period."""

import math
from typing import TYPE_CHECKING, NamedTuple

import pydantic

from cactusgauge.accounting import cost_split, usage

if TYPE_CHECKING:
    from cactusgauge.accounting import account_ledger


class BillLine(pydantic.BaseModel):
    """Usage and cost share of one workspace; messages and bytes are those received by either side.

    `cents` is the cost share and `refused` the number of starts that ended without a run.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    workspace: str
    starts: int
    refused: int
    slot_seconds: float
    task_messages: int
    messages: int
    useful_messages: int
    wasted_messages: int
    bytes: int
    counts: dict[str, int]
    unverified_starts: int
    cents: int


class Bill(pydantic.BaseModel):
    """Usage in a period and the split of its shared cost; an unbounded start or end is None.

    The shared cost (entry VMs and their links) is split in proportion to the assign and results messages exchanged
    with the agents of each workspace, because the records of both sides confirm exactly these messages. The cost of
    heartbeats and of messages between entries is split in the same proportion. Backend servers belong to their
    workspace, so their cost is not shared.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    from_s: float | None
    to_s: float | None
    cents: int
    lines: list[BillLine]

    def differences(self, other: "Bill") -> list[str]:
        """Describe the differences from another bill for the same period."""
        own = {line.workspace: line for line in self.lines}
        theirs = {line.workspace: line for line in other.lines}
        found = [f"workspace {name} appears on only one of the bills" for name in sorted(own.keys() ^ theirs.keys())]
        for name in sorted(own.keys() & theirs.keys()):
            for field in BillLine.model_fields:
                own_value, billed_value = getattr(own[name], field), getattr(theirs[name], field)
                if own_value != billed_value:
                    found.append(f"{name}: {field} is {billed_value} on the bill, {own_value} from the log")
        return found


class Period(NamedTuple):
    """Interval of Unix time; `from_s` is included, `to_s` is not."""

    from_s: float = -math.inf
    to_s: float = math.inf


def make_bill(ledger: "account_ledger.AccountLedger", period: Period, cents: int) -> Bill:
    """Compute the bill for a period from the records; `cents` is the shared cost to split."""
    used = usage.Usage(ledger, period.from_s, period.to_s).by_workspace()
    shares = cost_split.split_cost(cents, {name: each.task_messages for name, each in used.items()})
    lines = [
        BillLine(
            **each._replace(slot_seconds=round(each.slot_seconds, 6))._asdict(),
            useful_messages=each.messages - each.wasted_messages,
            cents=shares[name],
        )
        for name, each in used.items()
    ]
    from_s, to_s = (moment if math.isfinite(moment) else None for moment in period)
    return Bill(from_s=from_s, to_s=to_s, cents=cents, lines=lines)
