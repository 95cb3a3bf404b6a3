"""Message counters of entries during a run."""

import collections
from typing import TYPE_CHECKING, Any, Self

import aiohttp

if TYPE_CHECKING:
    from collections import abc

PEER_MESSAGES = frozenset({"PeerHello", "PeerBeat", "HandOver", "HandOverDone"})
SENT, RECEIVED, WASTED, TASKS_SENT = "messages_sent", "messages_received", "messages_wasted", "tasks_sent"
# Any other label is the reason for which an agent refused starts. That wastes two messages: the one with the starts and
# the one that returns them.
SINGLE_MESSAGE_LABELS = frozenset({"repeated_results", "late_result"})


class MessageCounts:
    """Counters of all entries by name, workspace and label, from `/v1/status`."""

    def __init__(self, counts: "collections.Counter[tuple[str, str, str]]") -> None:
        self._counts = counts

    @classmethod
    async def read(cls, entry_urls: "abc.Sequence[str]") -> Self:
        """Read the counters of all entries."""
        counts: collections.Counter[tuple[str, str, str]] = collections.Counter()
        async with aiohttp.ClientSession() as client:
            for url in entry_urls:
                async with client.get(f"{url}/v1/status") as response:
                    document: dict[str, Any] = await response.json()
                for name, workspace, label, value in document["counters"]:
                    counts[name, workspace, label] += value
        return cls(counts)

    def since(self, earlier: "MessageCounts") -> "MessageCounts":
        """Return the difference to an earlier reading."""
        return MessageCounts(self._counts - earlier._counts)

    def total(self, name: str, workspace: str) -> float:
        """Return the sum of a counter over all labels."""
        return sum(self.by_label(name, workspace).values())

    def by_label(self, name: str, workspace: str) -> dict[str, float]:
        """Return the values of a counter by label."""
        return {
            label: value
            for (counter_name, counter_workspace, label), value in sorted(self._counts.items())
            if counter_name == name and counter_workspace == workspace
        }

    def by_type(self, workspace: str) -> dict[str, float]:
        """Return the sent and received messages by type; those between entries are counted only at the sender."""
        types = collections.Counter(self.by_label(SENT, workspace))
        received = self.by_label(RECEIVED, workspace)
        types.update({name: count for name, count in received.items() if name not in PEER_MESSAGES})
        return dict(types)

    def wasted(self, workspace: str) -> float:
        """Return the number of messages that were useless to the receiver; a refused start counts as two."""
        rows = self.by_label(WASTED, workspace)
        return sum(count if label in SINGLE_MESSAGE_LABELS else 2 * count for label, count in rows.items())
