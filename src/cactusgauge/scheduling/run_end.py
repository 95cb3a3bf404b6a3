"""The end of a run and its kind."""

import enum
from typing import NamedTuple

from cactusgauge import ids


class EndKind(enum.Enum):
    """How a run ended; only FAILED counts towards the failure limit."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"  # its lease expired, or its worker or agent is gone
    NOT_STARTED = "not_started"


class RunEnd(NamedTuple):
    """The end of a run.

    `ran_s` is its run time in seconds, 0 if unknown. `reason` is why it was not started, was stopped or was lost, or
    empty.
    """

    key: ids.RunKey
    kind: EndKind
    ran_s: float
    reason: str
