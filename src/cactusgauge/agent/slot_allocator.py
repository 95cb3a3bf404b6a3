"""Limits the number of tasks that run at the backend server at the same time."""

import collections

from cactusgauge import ids

MAX_TRACKED_ENTRIES = 1_000  # whose last acquisition is remembered; an agent is linked to a few entries at a time


class SlotAllocator:
    """Counts running tasks per entry and divides the slots evenly among the entries that report demand.

    If there are more such entries than slots, free slots go to those whose last acquisition is the longest ago.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._running: collections.Counter[ids.EntryIncarnation] = collections.Counter()
        self._demand: dict[ids.EntryIncarnation, int] = {}
        self._last_acquired: dict[ids.EntryIncarnation, int] = {}
        self._acquire_count = 0

    @property
    def slots(self) -> int:
        """The current limit."""
        return self._slots

    @slots.setter
    def slots(self, slots: int) -> None:
        self._slots = slots

    @property
    def running(self) -> int:
        """Number of tasks that hold a slot."""
        return self._running.total()

    def has_work_from(self, entry: ids.EntryIncarnation) -> bool:
        """Return whether an entry has tasks running here or queued."""
        return self._running[entry] > 0 or entry in self._demand

    def demand(self, entry: ids.EntryIncarnation) -> int:
        """Return the number of queued tasks that an entry last reported."""
        return self._demand.get(entry, 0)

    def set_demand(self, entry: ids.EntryIncarnation, demand: int) -> None:
        """Set the number of tasks that an entry has queued."""
        if demand > 0:
            self._demand[entry] = demand
        else:
            self._demand.pop(entry, None)

    def credit(self, entry: ids.EntryIncarnation) -> int:
        """Return how many tasks an entry may run here at the same time."""
        active_entries = sorted({*self._demand, entry})
        share, remainder = divmod(self._slots, len(active_entries))
        if not share:
            return self._credit_when_scarce(entry, active_entries)
        if active_entries.index(entry) < remainder:
            share += 1
        used_by_others = self.running - self._running[entry]
        return max(0, min(share, self._slots - used_by_others))

    def _credit_when_scarce(self, entry: ids.EntryIncarnation, active_entries: list[ids.EntryIncarnation]) -> int:
        """Return the credit, 0 or 1, if there are more active entries than slots."""
        if self._running[entry]:
            return min(1, self._slots)
        waiting = [other for other in active_entries if not self._running[other]]
        waiting.sort(key=lambda other: self._last_acquired.get(other, 0))
        return int(waiting.index(entry) < self._slots - self.running)

    def acquire(self, entry: ids.EntryIncarnation) -> bool:
        """Take a slot for an entry; return False if none is free."""
        if self.running >= self._slots:
            return False
        self._running[entry] += 1
        self._acquire_count += 1
        self._last_acquired.pop(entry, None)
        self._last_acquired[entry] = self._acquire_count
        if len(self._last_acquired) > MAX_TRACKED_ENTRIES:
            del self._last_acquired[next(iter(self._last_acquired))]
        return True

    def release(self, entry: ids.EntryIncarnation) -> None:
        """Free a slot of an entry."""
        self._running[entry] -= 1
        if not self._running[entry]:
            del self._running[entry]
