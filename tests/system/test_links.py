"""Links between agents and a real entry, with the agents' side scripted by the test."""

import contextlib
import signal
import time
from collections import abc
from typing import TYPE_CHECKING, cast

import pytest
from websockets import exceptions
from websockets.sync import client

from cactusgauge import ids, wire
from emulator import cluster
from tests.system import caller

if TYPE_CHECKING:
    import concurrent.futures

TIMEOUT_S = 20.0


class ScriptedAgent:
    """The agent's end of a link; opening it sends the hello and waits for the welcome."""

    def __init__(self, connection: client.ClientConnection, name: str, incarnation: str) -> None:
        self._connection = connection
        self._codec = wire.FrameCodec()
        hello = wire.AgentHello(
            wire.PROTOCOL_VERSION,
            ids.AgentName(name),
            ids.AgentIncarnation(incarnation),
            ids.WorkspaceName("cheese"),
            ids.DataCentreName("serra"),
            8,
            "http://127.0.0.1:1",
        )
        self.send(hello)
        self.welcome = cast("wire.Welcome", self.receive(wire.Welcome))

    def send(self, message: wire.Message) -> None:
        """Send a message."""
        self._connection.send(self._codec.encode(message))

    def receive(self, kind: type[wire.Message], others: "abc.Sequence[ScriptedAgent]" = ()) -> wire.Message:
        """Return the next message of a kind; meanwhile, keep other links alive with heartbeats."""
        end = time.monotonic() + TIMEOUT_S
        while time.monotonic() < end:
            for other in others:
                other.send(wire.Heartbeat(0, 0))
            with contextlib.suppress(TimeoutError):
                message = self._codec.decode(self._connection.recv(timeout=0.5))
                if isinstance(message, kind):
                    return message
        raise TimeoutError(f"no {kind.__name__} within {TIMEOUT_S} s")


@contextlib.contextmanager
def open_link(processes: cluster.Cluster, name: str, incarnation: str) -> abc.Iterator[ScriptedAgent]:
    """Open a link to `entry-0` and complete the handshake up to the Welcome message."""
    url = processes.get_json("entry-0", "/v1/status")["entry"]["link_url"]
    with client.connect(url, compression=None) as connection:
        yield ScriptedAgent(connection, name, incarnation)


@pytest.fixture
def entry(processes: cluster.Cluster) -> cluster.Cluster:
    """Start one entry."""
    processes.start_entry("entry-0")
    processes.wait_ready("entry-0")
    return processes


def test_agent_learns_of_an_entry_that_appears_during_its_handshake(entry: cluster.Cluster) -> None:
    """Guards against an agent that never opens a link to the new entry, which then has no workers."""
    entry.start_entry("entry-1")
    entry.wait_ready("entry-1")

    def peers() -> int:
        return sum(peer["alive"] for peer in entry.get_json("entry-0", "/v1/status")["peers"])

    entry.wait_until(lambda: peers() == 1, "the entries are linked")
    entry.signal("entry-1", signal.SIGSTOP)
    entry.wait_until(lambda: peers() == 0, "the pause is noticed")
    with open_link(entry, "agent-0", "1") as agent:
        entry.signal("entry-1", signal.SIGCONT)
        entry.wait_until(lambda: peers() == 1, "the entries are linked again")
        agent.send(wire.Resume(0, 8, True, 1))

        update = cast("wire.Entries", agent.receive(wire.Entries))

    assert [info.name for info in agent.welcome.entries] == ["entry-0"]
    assert [info.name for info in update.entries] == ["entry-0", "entry-1"]


def test_old_link_of_a_restarted_agent_changes_nothing(
    entry: cluster.Cluster, background: "concurrent.futures.ThreadPoolExecutor"
) -> None:
    """Guards against giving up the tasks of a restarted agent when its old link closes late."""
    http_client = caller.Caller(entry["entry-0"].http_url)
    session = http_client.open_session()
    with open_link(entry, "agent-0", "1") as old, open_link(entry, "agent-0", "2") as new:
        old.send(wire.Resume(0, 0, False, 1))
        new.send(wire.Resume(0, 8, True, 1))
        job = background.submit(http_client.submit, session, 1, caller.job_body(1))
        assign = cast("wire.Assign", new.receive(wire.Assign))
        with pytest.raises(exceptions.ConnectionClosed):
            old.receive(wire.Assign)
        start = assign.starts[0]
        outcome = wire.Outcome(start.session, start.number, start.task, "completed", "", b"done", 1.0)
        new.send(wire.Results(1, assign.number, 8, [outcome]))
        answer = job.result()

    assert answer.body["state"] == "complete", answer
    assert caller.results(answer) == ["done"]
