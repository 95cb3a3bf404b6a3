"""Durations of leases and grants.

A worker's lease covers everything that runs there and is renewed by the agent. A grant covers the runs of one entry at
one agent and is renewed by the entry's messages. A caller that loses its entry sends its job again after
`resend_after_s`. By then the runs of the lost entry must be gone, even if their agent is lost at the same moment.
Therefore the grant, the lease on a slow clock and the time to stop a run must together be shorter than that.
"""

from typing import NamedTuple

MAX_CLOCK_DRIFT = 0.02  # the platform guarantees that a worker's clock runs slow by at most this fraction
HEARTBEAT_INTERVAL_S = 0.15  # between heartbeats of entries and agents, and between lease renewals
SUSPECT_AFTER_S = 0.45  # no new runs are sent after three missed heartbeats
DELAY_MARGIN_S = 0.05  # for delays of messages and timers
GRANT_SHARE = 0.5  # of the time that is divided between grant and lease


class RunTiming(NamedTuple):
    """Durations in seconds, derived from the limits of the platform; `stop_s` is the time to stop a run."""

    grant_s: float
    lease_s: float
    stop_s: float
    max_lease_s: float  # the worker shortens longer leases to this

    @property
    def runs_gone_after_s(self) -> float:
        """Time after the last grant at which no run of the entry is left at an unreachable agent and its worker."""
        return self.grant_s + self.lease_s * (1 + MAX_CLOCK_DRIFT) + self.stop_s + DELAY_MARGIN_S


def run_timing(resend_after_s: float, max_lease_s: float, stop_s: float) -> RunTiming:
    """Return the durations for a platform whose callers send a job again after `resend_after_s`."""
    # One margin is part of `runs_gone_after_s`; the other separates that time from the caller's next attempt.
    budget_s = resend_after_s - stop_s - 2 * DELAY_MARGIN_S
    grant_s = GRANT_SHARE * budget_s
    lease_s = min((budget_s - grant_s) / (1 + MAX_CLOCK_DRIFT), max_lease_s)
    return RunTiming(grant_s, lease_s, stop_s, max_lease_s)
