import collections

import hypothesis
import pytest
from hypothesis import strategies

from cactusgauge import ids
from cactusgauge.agent import slot_allocator

NAMES = strategies.integers(0, 11).map(lambda number: ids.EntryIncarnation(f"e{number:02}"))
ACTIONS = strategies.tuples(strategies.sampled_from(["acquire", "release", "demand"]), NAMES, strategies.integers(0, 3))


class _NameOrderAllocator(slot_allocator.SlotAllocator):
    """Gives slots that do not divide evenly to the first entries by name."""

    def credit(self, entry: ids.EntryIncarnation) -> int:
        active_entries = sorted({*self._demand, entry})
        share, remainder = divmod(self.slots, len(active_entries))
        used_by_others = self.running - self._running[entry]
        return max(0, min(share + (active_entries.index(entry) < remainder), self.slots - used_by_others))


class _CreditTrustingAllocator(slot_allocator.SlotAllocator):
    """Does not enforce the limit: trusts that entries stay within their credit."""

    def acquire(self, entry: ids.EntryIncarnation) -> bool:
        self._running[entry] += 1
        return True


def _check_limit(allocator_type: type[slot_allocator.SlotAllocator]) -> None:
    @hypothesis.given(strategies.integers(1, 8), strategies.lists(ACTIONS, max_size=60))
    def run(slots: int, actions: list[tuple[str, ids.EntryIncarnation, int]]) -> None:
        allocator = allocator_type(slots)
        running: collections.Counter[ids.EntryIncarnation] = collections.Counter()
        for action, entry, demand in actions:
            if action == "acquire":
                running[entry] += allocator.acquire(entry)
            elif action == "demand":
                allocator.set_demand(entry, demand)
            elif running[entry]:
                allocator.release(entry)
                running[entry] -= 1
            assert allocator.running == running.total()
            assert allocator.running <= slots, "more tasks than slots"
            assert 0 <= allocator.credit(entry) <= slots - (running.total() - running[entry])

    run()


def _count_starts(allocator: slot_allocator.SlotAllocator, entries: int, rounds: int) -> list[int]:
    """Return the starts of each entry; each always has work and uses the last credit that it received."""
    names = [ids.EntryIncarnation(f"e{number:02}") for number in range(entries)]
    last_credit = dict.fromkeys(names, 0)
    starts = dict.fromkeys(names, 0)
    running: collections.deque[ids.EntryIncarnation] = collections.deque()
    for name in names:
        allocator.set_demand(name, 5)
    for _ in range(rounds):
        for name in names:
            last_credit[name] = max(last_credit[name], allocator.credit(name))
            while running.count(name) < last_credit[name] and allocator.acquire(name):
                running.append(name)
                starts[name] += 1
        ended = running.popleft()
        allocator.release(ended)
        last_credit[ended] = allocator.credit(ended)
    return list(starts.values())


def test_never_more_tasks_than_slots() -> None:
    """Guards against sending a backend server more tasks than it has slots."""
    _check_limit(slot_allocator.SlotAllocator)


def test_allocator_that_trusts_credits_exceeds_the_limit() -> None:
    """Shows that the limit check detects a faulty allocator."""
    with pytest.raises(AssertionError, match="more tasks than slots"):
        _check_limit(_CreditTrustingAllocator)


@pytest.mark.parametrize("slots", [1, 2, 8])
@pytest.mark.parametrize("entries", [2, 3, 12])
def test_no_entry_with_demand_is_starved(slots: int, entries: int) -> None:
    """Guards against an entry that never gets a slot because the others always have work."""
    rounds = 20 * entries
    starts = _count_starts(slot_allocator.SlotAllocator(slots), entries, rounds)
    assert min(starts) >= rounds // (2 * entries)


def test_allocator_that_prefers_by_name_starves_entries() -> None:
    """Shows that the starvation check detects a faulty allocator."""
    assert min(_count_starts(_NameOrderAllocator(1), 2, 40)) == 0
