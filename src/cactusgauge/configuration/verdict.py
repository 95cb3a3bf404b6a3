"""The outcome of a configuration change."""

import enum

import pydantic


class Outcome(enum.Enum):
    """Whether a change was accepted, or why it was rejected."""

    ACCEPTED = "accepted"
    STALE = "stale"  # a changed name no longer has the version that the change was made against
    INVALID = "invalid"  # the resulting configuration would not be valid
    EXPIRED = "expired"  # made against a state that is too old, or against an offset that did not exist yet


class Verdict(pydantic.BaseModel):
    """The decision on the change at a log offset; every reader of the log comes to the same one.

    `through` is the last offset that the author had read, `names` are the changed names, and `lost_to` holds the
    offsets of the accepted changes that made this one stale.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    offset: int
    through: int
    id: str
    author: str
    names: list[str]
    outcome: Outcome
    reason: str = ""
    lost_to: list[int] = []

    @property
    def is_accepted(self) -> bool:
        """Whether the change took effect."""
        return self.outcome is Outcome.ACCEPTED
