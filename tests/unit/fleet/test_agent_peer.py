import asyncio
from typing import cast

import pytest

from cactusgauge import ids, scheduling
from cactusgauge.fleet import agent_peer, fleet_link, messages


class _Link:
    def __init__(self) -> None:
        self.posted: list[messages.Message] = []

    def post(self, message: messages.Message) -> None:
        self.posted.append(message)


@pytest.fixture
async def link() -> _Link:
    """Return a link that records the posted messages."""
    return _Link()


def _peer(link: _Link) -> agent_peer.AgentPeer:
    peer = agent_peer.AgentPeer(ids.AgentName("a"), ids.AgentIncarnation("i"))
    peer.attach(cast("fleet_link.FleetLink", link), 0)
    return peer


async def test_idle_agent_gets_few_grants(link: _Link) -> None:
    """Guards against traffic that grows with the number of links of an entry instead of its runs."""
    peer = _peer(link)
    peer.send_grant_if_due(1, [], has_runs=False)
    await asyncio.sleep(agent_peer.MIN_GRANT_INTERVAL_S + 0.01)
    peer.send_grant_if_due(1, [], has_runs=False)
    assert len(link.posted) == 1
    peer.send_grant_if_due(1, [], has_runs=True)
    assert len(link.posted) == 2


async def test_starts_take_the_place_of_a_grant(link: _Link) -> None:
    """Guards against a redundant grant after starts that contained the same stamp."""
    peer = _peer(link)
    peer.add_start(ids.RunKey(ids.JobKey("j"), 0, 0, 1), scheduling.Resources(1000), 0.1, "p")
    peer.flush_starts()
    peer.send_grant_if_due(1, [], has_runs=True)
    assert [type(message) for message in link.posted] == [messages.Starts]
    await asyncio.sleep(agent_peer.MIN_GRANT_INTERVAL_S + 0.01)
    peer.send_grant_if_due(1, [], has_runs=True)
    assert [type(message) for message in link.posted] == [messages.Starts, messages.Grant]
