import asyncio
from typing import Any

import hypothesis
import pytest
from hypothesis import strategies

from cactusgauge import configuration, exceptions, ids, jobs, observability, wire
from cactusgauge.entry import caller_request, hand_over_store, job_service, membership, request_router
from tests.unit import conftest as unit_conftest
from tests.unit.dispatch import conftest

ENTRIES = 4
OWNER = 0
JOB = ids.JobId(ids.SessionId("e0-1"), 1)
PAIRS = strategies.lists(strategies.booleans(), min_size=ENTRIES * ENTRIES, max_size=ENTRIES * ENTRIES)
MAX_HOPS = 2  # to a relay and from there to the owner
MAX_REQUESTS = (
    1 + 2 * (ENTRIES - 1) + (ENTRIES - 1)
)  # to the owner, to the owner through each peer, and a recovery at each peer


def _info(index: int) -> wire.EntryInfo:
    return wire.EntryInfo(
        ids.EntryName(f"entry-{index}"),
        ids.EntryIncarnation(f"e{index}"),
        f"ws://{index}",
        f"http://{index}",
        ids.DataCentreName("serra"),
        [unit_conftest.WORKSPACE],
        1.0,
        True,
    )


class _Node:
    """One entry, which also replaces its own forwarder and recovery."""

    def __init__(self, net: "_Net", index: int, router_type: type[request_router.RequestRouter]) -> None:
        self.net = net
        self.index = index
        self.members = membership.Membership(_info(index))
        config = configuration.Configuration(1, {unit_conftest.WORKSPACE: unit_conftest.workspace_config()})
        source = configuration.StaticConfigSource(config)
        counters, events = observability.Counters(), observability.EventRing("e")
        self.service = job_service.JobService(self.members.own.incarnation, source, counters, events)
        stub: Any = self
        self.router = router_type(self.members, self.service, hand_over_store.HandOverStore(), stub, stub)

    def link_agent(self) -> None:
        """Link an agent to the entry, so that it recovers jobs itself."""
        hello = wire.AgentHello(
            wire.PROTOCOL_VERSION,
            ids.AgentName("agent"),
            ids.AgentIncarnation("a1"),
            unit_conftest.WORKSPACE,
            ids.DataCentreName("serra"),
            8,
            "",
        )
        dispatcher = self.service.dispatcher(unit_conftest.WORKSPACE)
        dispatcher.attach(dispatcher.find_or_create_worker(hello), unit_conftest.FakeLink(), wire.Resume(0, 8, True, 1))

    async def forward(
        self, entry: wire.EntryInfo, request: caller_request.CallerRequest, hop: caller_request.Hop, is_alive: Any
    ) -> caller_request.Reply | None:
        """Deliver a request to another entry, unless the network or a slow owner prevents it."""
        return await self.net.forward(self.index, entry, request._replace(hop=hop))

    async def recover(self, *arguments: Any) -> jobs.JobResponse:
        """Record a recovery, which would seal the session."""
        self.net.recovered_at.append(self.index)
        return jobs.JobResponse(JOB, "failed", [])


class _HopIgnoringRouter(request_router.RequestRouter):
    """Faulty: treats a forwarded request like a caller's."""

    async def handle(self, request: caller_request.CallerRequest) -> caller_request.Reply:
        return await super().handle(request._replace(hop=caller_request.Hop.CALLER))


class _Net:
    """Entries that receive each other's heartbeats and reach each other as given; one owns the session."""

    def __init__(self, hears: list[bool], reaches: list[bool], router_type: type[request_router.RequestRouter]) -> None:
        self.nodes = [_Node(self, index, router_type) for index in range(ENTRIES)]
        self.recovered_at: list[int] = []
        self.is_owner_slow = False
        self._reaches = reaches
        self._requests = 0
        self._depth = 0
        for node in self.nodes:
            for index in range(ENTRIES):
                if hears[node.index * ENTRIES + index]:
                    node.members.record_heartbeat(_info(index), 1)

    async def forward(
        self, source: int, entry: wire.EntryInfo, request: caller_request.CallerRequest
    ) -> caller_request.Reply | None:
        """Return the reply of an entry, or None if there is none."""
        target = next(node for node in self.nodes if node.members.own.incarnation == entry.incarnation)
        self._requests += 1
        assert self._requests <= MAX_REQUESTS, "a request is forwarded in a loop"
        if not self._reaches[source * ENTRIES + target.index]:
            return None
        if target.index == OWNER:
            return None if self.is_owner_slow else caller_request.Reply(200, b"owner")
        self._depth += 1
        assert self._depth <= MAX_HOPS, "a request is forwarded in a loop"
        try:
            return await target.router.handle(request)
        except exceptions.CactusgaugeError as error:
            return caller_request.error_reply(error)
        finally:
            self._depth -= 1


async def _ask(net: _Net, index: int) -> caller_request.Reply:
    request = caller_request.CallerRequest(
        caller_request.Method.GET, unit_conftest.WORKSPACE, JOB, b"", 1.0, caller_request.Hop.CALLER
    )
    try:
        return await net.nodes[index].router.handle(request)
    except exceptions.CactusgaugeError as error:
        return caller_request.error_reply(error)


def _check(router_type: type[request_router.RequestRouter]) -> None:
    @hypothesis.settings(max_examples=300)
    @hypothesis.given(PAIRS, PAIRS, strategies.booleans())
    def run(hears: list[bool], reaches: list[bool], is_owner_slow: bool) -> None:
        async def ask() -> None:
            net = _Net(hears, reaches, router_type)
            for node in net.nodes[::2]:
                node.link_agent()
            net.is_owner_slow = is_owner_slow
            asked = ENTRIES - 1
            reply = await _ask(net, asked)
            if hears[asked * ENTRIES + OWNER]:
                assert not net.recovered_at, "an owner that is alive was sealed"
                if not is_owner_slow and reaches[asked * ENTRIES + OWNER]:
                    assert reply.body == b"owner"

        loop = conftest.ManualClockLoop()
        loop.run_until_complete(ask())
        loop.close()

    run()


def test_requests_never_circle() -> None:
    """Guards against forwarding loops among entries, and the recovery of a session whose owner sends heartbeats."""
    _check(request_router.RequestRouter)


def test_router_that_forgets_the_hop_circles() -> None:
    """Shows that the check above detects a router that ignores the hop."""
    with pytest.raises(AssertionError, match="a request is forwarded in a loop"):
        _check(_HopIgnoringRouter)


async def test_slow_owner_that_only_a_peer_hears_is_not_sealed() -> None:
    """Guards against the recovery of a session whose owner is alive but partly cut off by the network."""
    hears = [True] * ENTRIES * ENTRIES
    hears[1 * ENTRIES + OWNER] = False
    net = _Net(hears, hears, request_router.RequestRouter)
    net.is_owner_slow = True
    net.nodes[1].link_agent()
    reply = await _ask(net, 1)
    assert not net.recovered_at
    assert reply.status == exceptions.OwnerSlowError.http_status


async def test_lost_owner_is_recovered_once() -> None:
    """Guards against a job that no entry answers after its owner was lost."""
    hears = [index % ENTRIES != OWNER for index in range(ENTRIES * ENTRIES)]
    net = _Net(hears, hears, request_router.RequestRouter)
    await _ask(net, 1)
    assert len(net.recovered_at) == 1


@pytest.mark.looptime
async def test_entry_is_alive_while_it_is_heard() -> None:
    """Guards against an entry that counts as alive without its own heartbeat, or after 3 s of silence."""
    members = membership.Membership(_info(0))
    members.add_known(_info(1))
    assert not members.alive_peers
    assert members.record_heartbeat(_info(1), 1)
    assert not members.record_heartbeat(_info(1), 1)
    await asyncio.sleep(wire.SILENCE_TIMEOUT_S)
    assert members.find_alive(ids.EntryIncarnation("e1")) is not None
    await asyncio.sleep(0.01)
    assert members.find_alive(ids.EntryIncarnation("e1")) is None
    assert members.record_heartbeat(_info(1), 1)
    members.mark_unreachable(ids.EntryName("entry-1"))
    assert members.alive == [members.own]
    assert not members.record_heartbeat(_info(0), 1)
