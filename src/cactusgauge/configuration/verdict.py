"""What became of a change."""

import enum

import pydantic


class Outcome(enum.Enum):
    """Whether a change was accepted, or why not."""

    ACCEPTED = "accepted"
    STALE = "stale"  # a touched name has another version than the change was made against
    INVALID = "invalid"  # the resulting configuration would not be valid
    EXPIRED = "expired"  # made against a state too far back on the log, or one that did not exist yet


class Verdict(pydantic.BaseModel):
    """The decision about the change at a log offset; the same at every reader of the log."""

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
