"""Rules that accept or reject a configuration change."""

import abc
from typing import TYPE_CHECKING, NamedTuple

from cactusgauge.configuration import change_record
from cactusgauge.configuration import verdict as verdict_module

if TYPE_CHECKING:
    from collections import abc as collections_abc

# In log offsets: more than half a day of changes at the target rate. Limits how many change ids a state must keep.
MAX_LAG = 500
MAX_REASON_CHARS = 500


class Decision(NamedTuple):
    """An outcome and its reason; `lost_to` holds the offsets of the accepted changes that made a change stale."""

    outcome: verdict_module.Outcome
    reason: str = ""
    lost_to: tuple[int, ...] = ()


class AcceptanceRule(abc.ABC):
    """Accepts or rejects a change using only the log records before it, so that all readers come to the same result."""

    @abc.abstractmethod
    def decide(
        self,
        change: change_record.ChangeRecord,
        offset: int,
        versions: "collections_abc.Mapping[str, int]",
        problems: "collections_abc.Sequence[object]",
    ) -> Decision:
        """Accept or reject the change at an offset.

        `versions` holds the current version of each name; `problems` are the validation errors of the catalogue that
        would result from the change.
        """

    @abc.abstractmethod
    def can_discard(self, verdict: verdict_module.Verdict, offset: int) -> bool:
        """Whether a verdict is no longer needed, as its change would be rejected if repeated at or after an offset."""


class BaseVersionRule(AcceptanceRule):
    """Optimistic concurrency: accepts a change if its base versions are current and the result is valid.

    A change more than `max_lag` offsets after the state it was made against is rejected as expired. Ids of older
    changes are therefore not needed to recognise a repeated change.
    """

    def __init__(self, max_lag: int = MAX_LAG) -> None:
        self._max_lag = max_lag

    def decide(
        self,
        change: change_record.ChangeRecord,
        offset: int,
        versions: "collections_abc.Mapping[str, int]",
        problems: "collections_abc.Sequence[object]",
    ) -> Decision:
        """Check age, base versions and validity, in this order."""
        if not offset - self._max_lag <= change.through < offset:
            reason = f"made against offset {change.through}, decided at offset {offset}; publish it again"
            return Decision(verdict_module.Outcome.EXPIRED, reason)
        stale = {
            name: versions.get(name, change_record.NO_VERSION)
            for name, base in change.base.items()
            if versions.get(name, change_record.NO_VERSION) != base
        }
        if stale:
            found = ", ".join(
                f"{name} is at version {current}, not {change.base[name]}" for name, current in stale.items()
            )
            return Decision(verdict_module.Outcome.STALE, found[:MAX_REASON_CHARS], tuple(sorted(set(stale.values()))))
        if problems:
            reason = "; ".join(str(problem) for problem in problems)
            return Decision(verdict_module.Outcome.INVALID, reason[:MAX_REASON_CHARS])
        return Decision(verdict_module.Outcome.ACCEPTED)

    def can_discard(self, verdict: verdict_module.Verdict, offset: int) -> bool:
        """Whether the change and its base state are both older than `max_lag`, so that a repeat would be expired."""
        return max(verdict.offset, verdict.through) < offset - self._max_lag
