"""Times of leases and grants.

A worker's lease covers everything that runs there and is renewed by the agent. A grant covers the runs of one entry at
one agent and is renewed by the entry's messages. A caller that loses its entry sends its job again after
`resend_after_s`; by then the runs of the lost entry must be gone, also if their agent is lost in the same moment:
grant plus lease on a slow clock plus stop must be shorter.
"""

from typing import NamedTuple

MAX_CLOCK_DRIFT = 0.02  # the platform's bound on how slow a worker's clock may be
BEAT_INTERVAL_S = 0.15  # interval of beats between entries and agents and of lease renewals
SUSPECT_AFTER_S = 0.45  # three lost beats: no new runs are sent
DELAY_MARGIN_S = 0.05  # for the delay of messages and timers
GRANT_SHARE = 0.5  # of the time that grant and lease share


class RunTiming(NamedTuple):
    """Durations that follow from the platform's bounds, in seconds."""

    grant_s: float
    lease_s: float
    stop_s: float
    max_lease_s: float  # to which a worker shortens longer leases

    @property
    def runs_gone_after_s(self) -> float:
        """Time after the last grant at which an agent that is not heard, and its worker, run nothing of it."""
        return self.grant_s + self.lease_s * (1 + MAX_CLOCK_DRIFT) + self.stop_s + DELAY_MARGIN_S


def run_timing(resend_after_s: float, max_lease_s: float, stop_s: float) -> RunTiming:
    """Return the durations for a platform whose callers send again after `resend_after_s`."""
    budget_s = resend_after_s - stop_s - 2 * DELAY_MARGIN_S
    grant_s = GRANT_SHARE * budget_s
    lease_s = min((budget_s - grant_s) / (1 + MAX_CLOCK_DRIFT), max_lease_s)
    return RunTiming(grant_s, lease_s, stop_s, max_lease_s)
