"""Bad input at the HTTP interface and at the link port of an entry (G2, G4)."""

import json
import socket
from collections import abc

import cbor2
import pytest
from websockets import exceptions
from websockets.sync import client

from cactusgauge import ids, wire
from emulator import cluster
from tests.system import caller, checks

HOST = "127.0.0.1"
TIMEOUT_S = 20.0


@pytest.fixture(scope="module")
def processes(tmp_path_factory: pytest.TempPathFactory) -> abc.Iterator[cluster.Cluster]:
    """Start two entries and one worker, which must all survive bad input."""
    with cluster.Cluster(tmp_path_factory.mktemp("bad_input")) as started:
        started.start_entry("entry-0")
        started.start_entry("entry-1")
        started.start_worker(0)
        started.wait_ready("entry-0", "entry-1")
        started.wait_linked("entry-0", 1)
        started.wait_linked("entry-1", 1)
        yield started


@pytest.fixture
def check_serving(processes: cluster.Cluster) -> abc.Iterator[None]:
    """After the test, check that no process exited and that a job still completes."""
    yield
    assert all(processes[name].process.poll() is None for name in ("entry-0", "entry-1", "agent-0", "server-0"))
    http_client = caller.Caller(processes["entry-0"].http_url)
    session = http_client.open_session()
    checks.check_answer(processes, http_client.submit(session, 1, caller.job_body(3, 1)), session, 1, 3)


BODY = caller.job_body(2, 1)
BAD_JOBS = {
    "not JSON": ("1", "", b"{", 400, "bad_request"),
    "not UTF-8": ("1", "", b'{"tasks": [{"payload": "\xff"}]}', 400, "bad_request"),
    "half a surrogate pair": ("1", "", b'{"tasks": [{"payload": "\\ud800"}]}', 400, "bad_request"),
    "deep nesting": ("1", "", b"[" * 100_000, 400, "bad_request"),
    "no tasks": ("1", "", b'{"tasks": []}', 400, "bad_request"),
    "unknown field": ("1", "", b'{"tasks": [{"payload": "", "priority": 1}]}', 400, "bad_request"),
    "kind with a line break": ("1", "", b'{"tasks": [{"payload": "", "kind": "a\\r\\nb: c"}]}', 400, "bad_request"),
    "negative deadline": ("1", "", b'{"tasks": [{"payload": ""}], "deadline_ms": -1}', 400, "bad_request"),
    "too many tasks": ("1", "", caller.job_body(341, 1), 413, "too_many_tasks"),
    "body over the workspace's limit": ("1", "", caller.job_body(1, 1, tag="x" * 1_048_576), 413, "body_too_large"),
    "body over the entry's limit": ("1", "", b" " * (17 * 1024 * 1024), 413, "body_too_large"),
    "number is a word": ("one", "", BODY, 400, "bad_request"),
    "negative number": ("-1", "", BODY, 400, "bad_request"),
    "number over 2^53 - 1": (str(2**53), "", BODY, 400, "bad_request"),
    "number of 5000 digits": ("9" * 5000, "", BODY, 400, "bad_request"),
    "number in other digits": ("%D9%A1", "", BODY, 400, "bad_request"),
    "wait is a word": ("1", "?wait=soon", BODY, 400, "bad_request"),
    "negative wait": ("1", "?wait=-1", BODY, 400, "bad_request"),
    "endless wait": ("1", "?wait=inf", BODY, 400, "bad_request"),
    "wait is not a number": ("1", "?wait=nan", BODY, 400, "bad_request"),
    "wait over the limit": ("1", "?wait=61", BODY, 400, "bad_request"),
}


@pytest.mark.usefixtures("check_serving")
@pytest.mark.parametrize("entry", ["entry-0", "entry-1"])
def test_bad_job_is_refused_precisely_and_nothing_runs(processes: cluster.Cluster, entry: str) -> None:
    """Guards against bad input that ends as an internal error, hides its cause, or starts tasks."""
    http_client = caller.Caller(processes[entry].http_url)
    session = http_client.open_session()
    wrong = {}
    for name, (number, query, body, status, code) in BAD_JOBS.items():
        response = http_client.request("PUT", f"/{session}/jobs/{number}{query}", body)
        if (response.status, response.body.get("code"), response.body.get("ran")) != (status, code, "nothing"):
            wrong[name] = (response.status, str(response.body)[:200])
    assert not wrong
    assert not processes.starts(session)


@pytest.mark.usefixtures("check_serving")
def test_unknown_names_are_refused(processes: cluster.Cluster) -> None:
    """Guards against jobs that run under a workspace or session that does not exist."""
    url = processes["entry-0"].http_url
    session = caller.Caller(url).open_session()
    unknown_workspace = caller.Caller(url, workspace="no-such")
    assert unknown_workspace.request("POST", "")[0] == 404
    # The workspace does not hold this session: it may have been removed after a job of the session ran.
    refused = unknown_workspace.submit(session, 1, BODY)
    assert (refused.status, refused.body["code"], refused.body["ran"]) == (410, "session_expired", "unknown")
    assert unknown_workspace.submit(f"{'0' * 16}-{'0' * 16}", 1, BODY).body["code"] == "unknown_workspace"
    http_client = caller.Caller(url)
    assert http_client.submit(f"{session}0", 1, BODY).body["code"] == "bad_request"
    assert http_client.submit("no-session", 1, BODY).body["code"] == "bad_request"
    assert http_client.get(f"{'G' * 16}-{'0' * 16}", 1).body["code"] == "bad_request"
    assert (
        http_client.submit(session[:-1] + ("0" if session[-1] != "0" else "1"), 1, BODY).body["code"]
        == "session_expired"
    )
    assert http_client.get(session, 7).body["code"] == "unknown_job"
    assert http_client.cancel(session, 7).body["code"] == "unknown_job"
    assert http_client.request("PATCH", f"/{session}/jobs/1", BODY).status == 405
    assert not processes.starts(session)


@pytest.mark.usefixtures("check_serving")
def test_session_of_an_unknown_owner_is_reported_unknown(processes: cluster.Cluster) -> None:
    """Guards against reporting a job as not run when the entry cannot know."""
    session = f"{'0' * 16}-{'0' * 16}"

    response = caller.Caller(processes["entry-0"].http_url).submit(session, 1, BODY)

    assert checks.check_answer(processes, response, session, 1, 2) == {"unknown": 2}


@pytest.mark.usefixtures("check_serving")
@pytest.mark.parametrize(
    "garbage",
    [
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
        b"\x00" * 10_000,
        b"GET / HTTP/1.1\r\nHost",
        b"PUT /v1/workspaces/cheese/sessions/a/jobs/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nshort",
        b"GET /" + b"a" * 200_000 + b" HTTP/1.1\r\n\r\n",
    ],
)
@pytest.mark.parametrize("port", ["http", "link"])
def test_garbage_at_a_port_ends_that_connection_only(processes: cluster.Cluster, garbage: bytes, port: str) -> None:
    """Guards against a process that exits or hangs when it receives bytes that do not follow the protocol."""
    url = processes["entry-0"].http_url if port == "http" else link_url(processes)
    with socket.create_connection((HOST, int(url.rpartition(":")[2])), TIMEOUT_S) as connection:
        try:
            connection.sendall(garbage)
            connection.shutdown(socket.SHUT_WR)
            while connection.recv(65536):
                pass
        except TimeoutError:
            raise
        except OSError:
            return  # the entry may close before everything was sent


def link_url(processes: cluster.Cluster) -> str:
    """Return the URL of the link port of `entry-0`."""
    url: str = processes.get_json("entry-0", "/v1/status")["entry"]["link_url"]
    return url


def agent_hello(name: str, incarnation: str, workspace: str = "cheese") -> wire.AgentHello:
    """Return the hello message of an agent."""
    return wire.AgentHello(
        wire.PROTOCOL_VERSION,
        ids.AgentName(name),
        ids.AgentIncarnation(incarnation),
        ids.WorkspaceName(workspace),
        ids.DataCentreName("serra"),
        8,
        "http://127.0.0.1:1",
    )


HELLO = wire.FrameCodec().encode(agent_hello("x", "1"))
BAD_FRAMES: dict[str, bytes | str] = {
    "text": "hello",
    "empty": b"",
    "not CBOR": b"\xff\xff",
    "truncated": HELLO[:-3],
    "not an array": cbor2.dumps({"kind": 0}),
    "empty array": cbor2.dumps([]),
    "unknown kind": cbor2.dumps([99, 1]),
    "negative kind": cbor2.dumps([-1, 1]),
    "boolean kind": cbor2.dumps([True, 1]),
    "missing fields": cbor2.dumps([0, 1]),
    "wrong types": cbor2.dumps([0, "one", 2, 3, 4, 5, "six"]),
    "deep nesting": b"\x81" * 100_000,
    "huge declared length": b"\x9b\xff\xff\xff\xff\xff\xff\xff\xff",
}


def send_and_wait_close(url: str, frames: abc.Sequence[bytes | str]) -> tuple[int, str]:
    """Send frames to a link port and return the code and reason with which the entry closes the connection."""
    with client.connect(url, compression=None, max_size=None, open_timeout=TIMEOUT_S) as connection:
        for frame in frames:
            connection.send(frame)
        try:
            while True:
                connection.recv(timeout=TIMEOUT_S)
        except exceptions.ConnectionClosed as closed:
            assert closed.rcvd is not None, closed
            return closed.rcvd.code, closed.rcvd.reason


@pytest.mark.usefixtures("check_serving")
@pytest.mark.parametrize("after_hello", [False, True])
@pytest.mark.parametrize("name", BAD_FRAMES)
def test_bad_frame_is_counted_and_closes_the_link(processes: cluster.Cluster, name: str, after_hello: bool) -> None:
    """Guards against a malformed frame that crashes the entry, is ignored, or is taken for a message."""
    before = processes.counter("entry-0", "bad_frames")
    agent = wire.FrameCodec().encode(agent_hello(f"x-{after_hello}", name))
    resume = wire.FrameCodec().encode(wire.Resume(0, 0, False, 1))

    opening: list[bytes | str] = [agent, resume] if after_hello else []
    code, reason = send_and_wait_close(link_url(processes), [*opening, BAD_FRAMES[name]])

    assert code == 1002
    assert reason
    assert processes.counter("entry-0", "bad_frames") == before + 1


@pytest.mark.usefixtures("check_serving")
def test_oversized_frame_is_counted_and_closes_the_link(processes: cluster.Cluster) -> None:
    """Guards against a frame that uses more memory than a node may use."""
    before = processes.counter("entry-0", "bad_frames")

    code, _ = send_and_wait_close(link_url(processes), [b"\x00" * (wire.MAX_FRAME_BYTES + 1)])

    assert code == 1009
    # The entry counts the frame after it has sent the close frame.
    processes.wait_until(lambda: processes.counter("entry-0", "bad_frames") == before + 1, "the frame is counted")


@pytest.mark.usefixtures("check_serving")
@pytest.mark.parametrize("kind", ["agent", "peer"])
def test_other_protocol_version_is_refused_with_a_reason(processes: cluster.Cluster, kind: str) -> None:
    """Guards against two versions that misread each other's messages."""
    version = wire.PROTOCOL_VERSION + 1
    info = processes.get_json("entry-1", "/v1/status")["entry"]
    hello: wire.Message = agent_hello("x", "1")._replace(protocol=version)
    if kind == "peer":
        hello = wire.PeerHello(version, wire.EntryInfo(**{**info, "name": "entry-9"}), 0, [])
    before = processes.counter("entry-0", "protocol_errors")

    code, reason = send_and_wait_close(link_url(processes), [wire.FrameCodec().encode(hello)])

    assert code == 1002
    assert f"protocol {version}" in reason
    assert processes.counter("entry-0", "protocol_errors") == before + 1


UNEXPECTED: dict[str, list[wire.Message]] = {
    "no hello": [wire.Resume(0, 8, True, 1)],
    "result number from the future": [wire.Results(1, 0, 8, []), wire.Results(5, 0, 8, [])],
    "state of no task": [wire.Results(1, 0, 8, [wire.Outcome(ids.SessionId("s"), 1, 0, "finished", "", b"", 1.0)])],
    "entry's message": [wire.Assign(1, 0, 0, [])],
    "workspace unknown": [agent_hello("y", "1", "no-such")],
}


@pytest.mark.usefixtures("check_serving")
@pytest.mark.parametrize("name", UNEXPECTED)
def test_message_against_the_protocol_closes_the_link(processes: cluster.Cluster, name: str) -> None:
    """Guards against accepting a well-formed message that violates the protocol."""
    frames = [wire.FrameCodec().encode(message) for message in UNEXPECTED[name]]
    agent = wire.FrameCodec().encode(agent_hello("z", name))
    resume = wire.FrameCodec().encode(wire.Resume(0, 0, False, 1))
    opening = [] if name in ("no hello", "workspace unknown") else [agent, resume]

    code, _ = send_and_wait_close(link_url(processes), [*opening, *frames])

    assert code in (1000, 1002)


def test_json_of_a_refusal_says_what_ran(processes: cluster.Cluster) -> None:
    """Guards against a refusal that a client program cannot parse."""
    http_client = caller.Caller(processes["entry-0"].http_url)
    response = http_client.submit(http_client.open_session(), 1, b"{}")
    assert response.body.keys() == {"code", "message", "ran"}
    assert "tasks" in json.dumps(response.body)
