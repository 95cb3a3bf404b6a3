"""Limits the tasks that run at the backend server at once."""

import collections

from cactusgauge import ids


class SlotGate:
    """Counts running tasks per entry and divides the slots between the entries that show demand."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._running: collections.Counter[ids.EntryIncarnation] = collections.Counter()
        self._demand: dict[ids.EntryIncarnation, int] = {}

    @property
    def slots(self) -> int:
        """The limit in force."""
        return self._slots

    @slots.setter
    def slots(self, slots: int) -> None:
        self._slots = slots

    @property
    def running(self) -> int:
        """Number of tasks that hold a slot."""
        return self._running.total()

    def is_used_by(self, entry: ids.EntryIncarnation) -> bool:
        """Whether an entry has tasks running or queued for this worker."""
        return self._running[entry] > 0 or entry in self._demand

    def demand(self, entry: ids.EntryIncarnation) -> int:
        """Return the number of queued tasks that an entry last showed."""
        return self._demand.get(entry, 0)

    def set_demand(self, entry: ids.EntryIncarnation, demand: int) -> None:
        """Note the number of tasks that an entry has queued."""
        if demand > 0:
            self._demand[entry] = demand
        else:
            self._demand.pop(entry, None)

    def credit(self, entry: ids.EntryIncarnation) -> int:
        """Return how many tasks an entry may have running now."""
        others = sorted(self._demand.keys() - {entry})
        sharers = sorted([*others, entry])
        share, rest = divmod(self._slots, len(sharers))
        if sharers.index(entry) < rest:
            share += 1
        used_by_others = self.running - self._running[entry]
        return max(0, min(share, self._slots - used_by_others))

    def acquire(self, entry: ids.EntryIncarnation) -> bool:
        """Take a slot for an entry; return False if all slots are taken."""
        if self.running >= self._slots:
            return False
        self._running[entry] += 1
        return True

    def release(self, entry: ids.EntryIncarnation) -> None:
        """Give a slot back."""
        self._running[entry] -= 1
        if not self._running[entry]:
            del self._running[entry]
