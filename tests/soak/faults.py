"""Generates a schedule of faults from a seed; faults may repeat and overlap."""

import enum
import random
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections import abc

STARTUP_S = 4.0  # time for entries and agents to connect to each other
RECOVERY_S = 12.0  # after the last fault, within which every part must work again
FAULT_FREE_END_S = RECOVERY_S + 4.0  # no fault starts in this time at the end of a run
MIN_FAULT_S = 0.2
MAX_FAULT_S = 4.0
MAX_SHORT_FAULT_S = 1.6  # longer than a lease


class FaultKind(enum.Enum):
    """The action of a fault and the part that it affects."""

    KILL_ENTRY = "kill_entry"
    KILL_AGENT = "kill_agent"
    KILL_ALL = "kill_all"
    PAUSE_ENTRY = "pause_entry"
    PAUSE_AGENT = "pause_agent"
    STOP_ENTRY = "stop_entry"
    STOP_AGENT = "stop_agent"
    RELOAD = "reload"
    CUT_LINKS = "cut_links"
    CUT_LINKS_ONE_WAY = "cut_links_one_way"
    RESET_LINKS = "reset_links"
    SILENCE_LINKS = "silence_links"
    DELAY_LINKS = "delay_links"
    CRASH_WORKER = "crash_worker"
    RESTART_WORKER_SAME_ID = "restart_worker_same_id"
    DRAIN_WORKER = "drain_worker"
    SLOW_WORKER = "slow_worker"
    FAIL_WORKER_TASKS = "fail_worker"
    DROP_WORKER_REPLIES = "mute_worker"
    DELAY_WORKER_REQUESTS = "late_worker"
    RESET_WORKER_CALLS = "reset_worker_calls"
    SILENCE_WORKER_CALLS = "silence_worker_calls"
    STORE_BUSY = "store_busy"
    STORE_SLOW = "store_slow"
    STORE_SILENT = "store_silent"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    CUT_STORE = "cut_store"
    CHANGE_CONFIG = "change_config"
    CRASHING_JOBS = "crashing_jobs"
    SHRINK_WORKER = "shrink_worker"
    FOREIGN_HEARTBEAT = "foreign_heartbeat"


RARE_KINDS = frozenset({FaultKind.KILL_ALL})
# Drawn from random streams of their own, so that the other faults of a seed are the same with and without these.
ADDED_KINDS = (FaultKind.CRASHING_JOBS, FaultKind.SHRINK_WORKER)
ADDED_PER_SECOND = 0.3
FOREIGN_KINDS = (FaultKind.FOREIGN_HEARTBEAT,)
FOREIGN_PER_SECOND = 1.0


class Fault(NamedTuple):
    """A fault; `target` is a fraction from 0 to 1 that selects one of the matching parts."""

    at_s: float
    kind: FaultKind
    target: float
    duration_s: float


def generate_faults(
    seed: int, seconds: float, with_added_kinds: bool = False, with_foreign_heartbeats: bool = False
) -> list[Fault]:
    """Return the faults of a run, ordered by time."""
    kinds = [kind for kind in FaultKind if kind not in (*ADDED_KINDS, *FOREIGN_KINDS)]
    faults = _draw(random.Random(seed), kinds, seconds, 1.0)
    if with_added_kinds:
        faults += _draw(random.Random(f"{seed} added"), ADDED_KINDS, seconds, ADDED_PER_SECOND)
    if with_foreign_heartbeats:
        faults += _draw(random.Random(f"{seed} foreign"), FOREIGN_KINDS, seconds, FOREIGN_PER_SECOND)
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw(rng: random.Random, kinds: "abc.Sequence[FaultKind]", seconds: float, per_second: float) -> list[Fault]:
    weights = [0.3 if kind in RARE_KINDS else 1.0 for kind in kinds]
    faults = []
    at_s = STARTUP_S
    while (at_s := at_s + rng.expovariate(per_second)) < seconds - FAULT_FREE_END_S:
        kind = rng.choices(kinds, weights)[0]
        duration_s = rng.choice([rng.uniform(MIN_FAULT_S, MAX_SHORT_FAULT_S), rng.uniform(1.0, MAX_FAULT_S)])
        fault = Fault(round(at_s, 3), kind, rng.random(), round(duration_s, 3))
        faults.append(fault)
        if rng.random() < 0.3:  # repeat the fault, possibly on another part at the same time
            faults.append(fault._replace(at_s=round(at_s + rng.uniform(0, duration_s), 3), target=rng.random()))
    return faults
