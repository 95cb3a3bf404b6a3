"""The state that an entry keeps for one agent."""

import asyncio
import collections
from typing import TYPE_CHECKING

from cactusgauge import accounting, runs
from cactusgauge.fleet import messages

if TYPE_CHECKING:
    from cactusgauge import ids, scheduling
    from cactusgauge.fleet import fleet_link

GRANTS_PER_ENTRY_LIST = 8  # in a large deployment, the list of entries is several times as large as the rest of a grant
# No grant is sent within this time after another one or after starts, which extend the grant as well.
MIN_GRANT_INTERVAL_S = runs.HEARTBEAT_INTERVAL_S / 2
IDLE_GRANT_INTERVAL_S = 3 * runs.HEARTBEAT_INTERVAL_S  # without runs a grant only keeps the link alive


class AgentPeer:
    """The link to an agent and the grant that the agent holds.

    `stamp` is the newest stamp of the agent, in seconds of its clock. `granted_at` is the time on the entry's clock at
    which the stamp of the last grant arrived. `acknowledged_end` is the number of the last end that was handled, and
    `generation` that of the last worker report, -1 before the first one. `has_reported` tells whether the current link
    has brought a report; an earlier one may describe a worker that was replaced meanwhile.
    """

    def __init__(self, name: "ids.AgentName", incarnation: "ids.AgentIncarnation") -> None:
        now = asyncio.get_running_loop().time()
        self.name = name
        self.incarnation = incarnation
        self.link: fleet_link.FleetLink | None = None
        self.stamp = 0.0
        self.granted_at = now
        self.acknowledged_end = 0
        self.generation = -1
        self.has_reported = False
        self.is_lost = False
        self.earlier_runs_end_at = now  # until then, runs of an earlier process of the agent may continue
        self._stamp_received_at = now
        self._stamp_sent_at = float("-inf")
        self._grant_count = 0
        self._sent_entries: list[str] = []
        self.account = accounting.PairAccount()
        self._next_start = 1
        self._unhandled_starts: collections.deque[int] = collections.deque()
        self._prepared_starts: list[messages.StartRun] = []
        self._sent_starts: dict[ids.RunKey, tuple[int, scheduling.Resources]] = {}

    def update_stamp(self, stamp: float) -> None:
        """Record the newest stamp of the agent."""
        self.stamp = max(self.stamp, stamp)
        self._stamp_received_at = asyncio.get_running_loop().time()

    def has_received_within(self, seconds: float) -> bool:
        """Return whether a message of the agent arrived within the last `seconds`."""
        if self.link is None:
            return False
        return asyncio.get_running_loop().time() - self.link.last_received_at <= seconds

    def send_grant_if_due(self, config_version: int, entries: list[str], has_runs: bool) -> None:
        """Send a grant if one is due; `has_runs` tells whether the entry has runs at the agent."""
        elapsed_s = asyncio.get_running_loop().time() - self._stamp_sent_at
        if elapsed_s >= (MIN_GRANT_INTERVAL_S if has_runs else IDLE_GRANT_INTERVAL_S):
            self.send_grant(config_version, entries)

    def send_grant(self, config_version: int, entries: list[str]) -> None:
        """Send a grant for the runs at the agent."""
        if self.link is None:
            return
        self._stamp_sent_at = asyncio.get_running_loop().time()
        self.granted_at = max(self.granted_at, self._stamp_received_at)
        # The list is repeated from time to time, as agents forget entries that nobody reports.
        self._grant_count += 1
        changed = entries != self._sent_entries or self._grant_count % GRANTS_PER_ENTRY_LIST == 0
        self._sent_entries = entries
        self.link.post(messages.Grant(self.stamp, self.acknowledged_end, config_version, entries if changed else []))

    def add_start(self, key: "ids.RunKey", demand: "scheduling.Resources", expected_s: float, payload: str) -> int:
        """Queue a start for the next call of `flush_starts` and return its number."""
        number = self._next_start
        self._next_start += 1
        self._unhandled_starts.append(number)
        self._sent_starts[key] = (number, demand)
        start = messages.StartRun(number, self.generation, key, demand, round(expected_s * 1000, 1), payload)
        self._prepared_starts.append(start)
        return number

    def flush_starts(self) -> None:
        """Send the queued starts in one message."""
        if not self._prepared_starts:
            return
        starts, self._prepared_starts = self._prepared_starts, []
        if self.link is not None:
            self._stamp_sent_at = asyncio.get_running_loop().time()
            self.granted_at = max(self.granted_at, self._stamp_received_at)
            self.link.post(messages.Starts(self.stamp, starts))

    def pop_start(self, key: "ids.RunKey") -> "tuple[int, scheduling.Resources] | None":
        """Remove a run's start; return its number and demand, or None if it was added before the current link."""
        return self._sent_starts.pop(key, None)

    def record_handled_starts(self, number: int) -> None:
        """Count the starts up to a number, which the agent has received, in the account."""
        while self._unhandled_starts and self._unhandled_starts[0] <= number:
            self.account.count_assign(self._unhandled_starts.popleft(), 1)

    def reset(self, incarnation: "ids.AgentIncarnation", earlier_runs_end_at: float, handled_start: int) -> None:
        """Reset the state for an agent that was restarted or had been forgotten.

        Its earlier runs may continue until `earlier_runs_end_at`. Starts are numbered from `handled_start` on, the last
        one that the agent has handled.
        """
        self.incarnation = incarnation
        self.earlier_runs_end_at = earlier_runs_end_at
        self.stamp = 0.0
        self.acknowledged_end = 0
        self.generation = -1
        self.account = accounting.PairAccount()
        self._unhandled_starts.clear()
        self._next_start = handled_start + 1

    def attach(self, link: "fleet_link.FleetLink", handled_start: int) -> None:
        """Use a new link; starts beyond `handled_start` never arrived."""
        self.record_handled_starts(handled_start)
        self._unhandled_starts.clear()
        self._prepared_starts.clear()
        self._sent_starts.clear()
        self._sent_entries = []
        self.has_reported = False
        self.link = link

    def detach(self) -> None:
        """Remove the closed link; starts not sent yet are dropped."""
        self.link = None
        self._prepared_starts.clear()
