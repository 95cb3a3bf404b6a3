"""Whether a change is accepted."""

import abc
from typing import TYPE_CHECKING, NamedTuple

from cactusgauge.configuration import change_record
from cactusgauge.configuration import verdict as verdict_module

if TYPE_CHECKING:
    from collections import abc as collections_abc

MAX_LAG = 500  # offsets; bounds the ids that a state must hold, and exceeds half a day of changes at the target
MAX_REASON_CHARS = 500


class Decision(NamedTuple):
    """An outcome with its reason; `lost_to` are the offsets of the changes that a stale one lost to."""

    outcome: verdict_module.Outcome
    reason: str = ""
    lost_to: tuple[int, ...] = ()


class AcceptanceRule(abc.ABC):
    """Decides about a change from nothing but the records before it, so that all readers agree."""

    @abc.abstractmethod
    def decide(
        self,
        change: change_record.ChangeRecord,
        offset: int,
        versions: "collections_abc.Mapping[str, int]",
        problems: "collections_abc.Sequence[object]",
    ) -> Decision:
        """Decide about the change at an offset, given the names' versions and the resulting state's problems."""

    @abc.abstractmethod
    def can_discard(self, verdict: verdict_module.Verdict, offset: int) -> bool:
        """Whether a repetition of a decided change at or after an offset is refused without knowing its id."""


class BaseVersionRule(AcceptanceRule):
    """Accepts a change if its base versions are current and the result is valid.

    A change that stands more than `max_lag` offsets after the state it was made against is refused. Therefore an id
    that is older than that need not be kept to recognise its repetition.
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
        """Decide by age, base versions and validity, in this order."""
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
        """Whether a repetition would be refused as expired."""
        return max(verdict.offset, verdict.through) < offset - self._max_lag
