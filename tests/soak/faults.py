"""Draws faults from a seed; they come in series and overlap."""

import enum
import random
from typing import NamedTuple

CALM_START_S = 4.0  # until entries and agents are linked
RECOVERY_S = 12.0  # after the last fault, in which everything is to work again
CALM_END_S = RECOVERY_S + 4.0  # without new faults
MIN_FAULT_S = 0.2
MAX_FAULT_S = 4.0
LONGER_THAN_A_LEASE_S = 1.6


class FaultKind(enum.Enum):
    """What is done, and to which part."""

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
    FAIL_WORKER = "fail_worker"
    MUTE_WORKER = "mute_worker"
    LATE_WORKER = "late_worker"
    RESET_WORKER_CALLS = "reset_worker_calls"
    SILENCE_WORKER_CALLS = "silence_worker_calls"
    STORE_BUSY = "store_busy"
    STORE_SLOW = "store_slow"
    STORE_SILENT = "store_silent"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    CUT_STORE = "cut_store"
    CHANGE_CONFIG = "change_config"


RARE = frozenset({FaultKind.KILL_ALL})


class Fault(NamedTuple):
    """One fault; `target` is a fraction that picks among the parts that fit."""

    at: float
    kind: FaultKind
    target: float
    for_s: float


def draw(seed: int, seconds: float, per_second: float = 1.0) -> list[Fault]:
    """Return the faults of a run, in the order of time."""
    source = random.Random(seed)
    kinds = list(FaultKind)
    weights = [0.3 if kind in RARE else 1.0 for kind in kinds]
    faults = []
    at = CALM_START_S
    while (at := at + source.expovariate(per_second)) < seconds - CALM_END_S:
        kind = source.choices(kinds, weights)[0]
        for_s = source.choice([source.uniform(MIN_FAULT_S, LONGER_THAN_A_LEASE_S), source.uniform(1.0, MAX_FAULT_S)])
        fault = Fault(round(at, 3), kind, source.random(), round(for_s, 3))
        faults.append(fault)
        if source.random() < 0.3:  # the same again, or another part in the same moment
            faults.append(fault._replace(at=round(at + source.uniform(0, for_s), 3), target=source.random()))
    return sorted(faults)
