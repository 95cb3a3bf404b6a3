"""Ends of runs that an entry has not acknowledged yet."""

import collections

from cactusgauge import accounting, ids, scheduling
from cactusgauge.fleet import messages, recent_jobs

MAX_RECENT_JOBS = 200  # more than an entry starts at one agent until their callers have given up
MAX_UNACKNOWLEDGED_ENDS = 2_000  # an unreachable entry's grant and runs end long before there are as many


class EntryOutbox:
    """The ends, the account and the recent jobs that an agent keeps for one entry incarnation.

    Ends are numbered and kept until they are acknowledged. `handled_start` is the number of the last start that
    arrived, `recent_jobs` holds the jobs of the last ones. `is_reported_lost` tells whether other entries were told of
    these jobs because nothing is received from the entry any more. The account counts a start when it arrives and an
    end when it is acknowledged; the entry counts a start when it is acknowledged and an end when it arrives.
    """

    def __init__(self) -> None:
        self._ends: collections.deque[messages.EndedRun] = collections.deque(maxlen=MAX_UNACKNOWLEDGED_ENDS)
        self._last_number = 0
        self._sent_number = 0
        self.last_linked_at = 0.0
        self.handled_start = 0
        self.recent_jobs = recent_jobs.RecentJobs[ids.JobKey](MAX_RECENT_JOBS)
        self.is_reported_lost = False
        self.account = accounting.PairAccount()

    @property
    def unacknowledged(self) -> list[messages.EndedRun]:
        """All ends that are kept."""
        return list(self._ends)

    def record_start(self, number: int, job: "ids.JobKey") -> None:
        """Record that a start of a job's task has arrived."""
        self.handled_start = number
        self.recent_jobs.add([job])
        self.account.count_assign(number, 1)

    def add(self, end: scheduling.RunEnd) -> None:
        """Add the end of a run."""
        self._last_number += 1
        self._ends.append(messages.EndedRun(self._last_number, end.key, end.kind, round(end.ran_s * 1000), end.reason))

    def pop_unsent(self) -> list[messages.EndedRun]:
        """Return the ends not yet sent on the current link and mark them as sent."""
        unsent = [end for end in self._ends if end.number > self._sent_number]
        self._sent_number = self._last_number
        return unsent

    def mark_sent(self) -> None:
        """Mark all ends as sent, as the hello message of a new link contains them."""
        self._sent_number = self._last_number

    def drop_ends(self) -> None:
        """Drop all ends without an acknowledgement."""
        self._ends.clear()

    def acknowledge(self, number: int) -> None:
        """Remove the ends up to a number."""
        while self._ends and self._ends[0].number <= number:
            end = self._ends.popleft()
            self.account.count_outcome(end.number, end.kind is not scheduling.EndKind.NOT_STARTED, end.ran_ms)
