"""The planned stop of an entry: its drain, the handover of its sessions and what the other entries answer (G7)."""

import asyncio
import collections
import contextlib
import json
from typing import Any

import hypothesis
import looptime
import pytest
from hypothesis import strategies

from cactusgauge import configuration, exceptions, ids, jobs, settings, wire
from cactusgauge.entry import caller_request, entry_daemon, hand_over_store, job_service, request_router
from tests.unit import conftest

ENTRIES = 3
MAX_FINISHED_JOBS = 1
SLOTS = 100
STEP_S = 0.06  # longer than the pauses of the drain, and all steps together shorter than SILENCE_TIMEOUT_S
SUBMIT = caller_request.Method.SUBMIT
BODIES = [json.dumps({"tasks": [{"payload": text}] * 2}).encode() for text in "ab"]
SUBMISSIONS = strategies.tuples(
    strategies.integers(0, ENTRIES - 1), strategies.integers(0, 1), strategies.integers(0, 3), strategies.integers(0, 1)
)
# Each step is a submission (entry, session, number, body) or the end of so many tasks.
STEPS = strategies.one_of(SUBMISSIONS, SUBMISSIONS, strategies.integers(2, 6))
HISTORIES = strategies.tuples(
    strategies.lists(STEPS, min_size=4, max_size=12), strategies.just(["stop"]), strategies.lists(STEPS, max_size=6)
).map(lambda parts: [step for part in parts for step in part])


class _SmallStore(jobs.SessionStore):
    """Opens sessions that keep few answers, so that numbers are evicted before and after the stop."""

    def open(self, workspace: ids.WorkspaceName, now: float) -> jobs.Session:
        opened = super().open(workspace, now)
        opened._max_finished_jobs = MAX_FINISHED_JOBS
        return opened


class _ForgetfulStore(hand_over_store.HandOverStore):
    """Knows which sessions were closed, but not their answers."""

    def add(self, sessions: list[wire.HandOverSession]) -> None:
        super().add([session._replace(jobs=[]) for session in sessions])


class _OnceStore(hand_over_store.HandOverStore):
    """Hands on nothing that it took over itself."""

    def held_by(self, successor: ids.EntryIncarnation) -> dict[ids.EntryIncarnation, list[wire.HandOverSession]]:
        return {}


class _AdoptingRouter(request_router.RequestRouter):
    """Runs what it holds no answer for, as the new owner of a session that was handed over."""

    def _serve_handed_over(self, request: caller_request.CallerRequest) -> caller_request.Reply:
        try:
            return super()._serve_handed_over(request)
        except (exceptions.JobExpiredError, exceptions.SessionClosedError):
            if request.method is not SUBMIT:
                raise
            session = jobs.Session(request.job_id.session, request.workspace, 0.0)
            self._service._sessions._sessions.setdefault(session.id, session)
            parsed = self._service.parse(request.workspace, request.body)
            return self._running(request.job_id, self._service.submit(*request[1:3], parsed).open_count)


class _HastyService(job_service.JobService):
    """Waits for no job before the sessions are handed over."""

    @property
    def open_job_count(self) -> int:
        return 0


class _Link(conftest.FakeLink):
    """A link on which messages arrive at once."""

    @property
    def is_drained(self) -> bool:
        """Always, as nothing waits."""
        return True


class _Pipe(_Link):
    """One end of a link between entries."""

    def __init__(self, peer: "_Pipe | None" = None) -> None:
        super().__init__()
        self.peer = peer or _Pipe(self)
        self._inbox: asyncio.Queue[wire.Message | None] = asyncio.Queue()

    def post(self, message: wire.Message) -> None:
        """Bring a message to the peer."""
        self.peer._inbox.put_nowait(message)

    def abort(self) -> None:
        """End the stream at both ends."""
        for end in (self, self.peer):
            end._inbox.put_nowait(None)

    async def receive(self) -> wire.Message:
        """Return the next message."""
        message = await self._inbox.get()
        if message is None:
            raise exceptions.LinkClosedError("closed")
        return message


class _Entry(entry_daemon.EntryDaemon):
    """An entry without sockets; its agent runs every task once it gets it and the test ends the tasks."""

    def __init__(self, world: "_World", index: int) -> None:
        own = settings.EntrySettings.model_validate(
            {
                "role": "entry",
                "name": f"entry-{index}",
                "data_centre": "serra",
                "host": "127.0.0.1",
                "http_port": 1 + index,
                "link_port": 11 + index,
                "workspaces": [conftest.WORKSPACE],
                "log_url": "http://127.0.0.1:21",
                "drain_notice_s": 0.0,
            }
        )
        config = configuration.Configuration(1, {conftest.WORKSPACE: conftest.workspace_config()})
        super().__init__(own, configuration.StaticConfigSource(config), None)  # type: ignore[arg-type]
        part: Any = self
        self.world = world
        self.draining: asyncio.Task[None] | None = None
        self.router = request_router.RequestRouter(self._members, self._service, self._hand_overs, part, part)
        self.dispatcher = self._service.dispatcher(conftest.WORKSPACE)
        agent = ids.AgentIncarnation(own.name)
        hello = wire.AgentHello(1, ids.AgentName(agent), agent, conftest.WORKSPACE, own.data_centre, SLOTS, "")
        self.worker = self.dispatcher.find_worker(hello)
        self.agent = _Link()
        self.dispatcher.attach(self.worker, self.agent, wire.Resume(0, SLOTS, True, 1))

    @property
    def is_stopped(self) -> bool:
        """Whether the process has ended."""
        return self.draining is not None and self.draining.done()

    def hello(self) -> wire.PeerHello:
        """Return what the entry says over a new link to a peer."""
        return wire.PeerHello(wire.PROTOCOL_VERSION, self._members.own, 1, [])

    def end_tasks(self, count: int) -> None:
        """Complete the oldest running tasks."""
        outcomes = [
            wire.Outcome(each.session, each.number, each.task, "completed", "", b"r", 1.0)
            for each in list(self.worker.in_flight)[:count]
        ]
        # The tasks of a job are sent in order, so its second one is the last to end.
        self.world.finished.extend(ids.JobId(each.session, each.number) for each in outcomes if each.task == 1)
        if outcomes:
            number = (self.worker.last_result_number or 0) + 1
            self.dispatcher.take_results(self.worker, wire.Results(number, 0, SLOTS, outcomes))

    async def forward(self, entry: wire.EntryInfo, request: Any, hop: Any, is_alive: Any) -> Any:
        """Bring a request to another entry; play the forwarder."""
        target = next(each for each in self.world.entries if each._members.own.incarnation == entry.incarnation)
        return None if target.is_stopped else await target.ask(request._replace(hop=hop))

    async def recover(self, *arguments: Any) -> jobs.JobResponse:
        """Play a recovery that comes too late for the records of the agents."""
        raise exceptions.UnknownJobError("no record")

    async def ask(self, request: caller_request.CallerRequest) -> caller_request.Reply:
        """Return the reply of this entry."""
        try:
            return await self.router.handle(request)
        except exceptions.CactusgaugeError as error:
            return caller_request.error_reply(error)


class _World:
    """Three linked entries; the owner of two sessions and its successor are stopped, and every reply is checked."""

    def __init__(self) -> None:
        self.entries = [_Entry(self, index) for index in range(ENTRIES)]
        self.sessions = [self.entries[0]._service.open_session(conftest.WORKSPACE) for _ in range(2)]
        self.accepted: dict[ids.JobId, int] = {}
        self.finished: list[ids.JobId] = []
        self._serving: list[asyncio.Task[None]] = []
        self._pipes: dict[_Pipe, tuple[_Entry, _Entry]] = {}
        for index, entry in enumerate(self.entries):
            for peer in self.entries[index + 1 :]:
                pipe = _Pipe()
                self._pipes[pipe] = (entry, peer)
                for end, near, far in ((pipe, entry, peer), (pipe.peer, peer, entry)):
                    self._serving.append(asyncio.create_task(self._exchange(near, end, far.hello())))

    async def run(self, history: list[Any]) -> None:
        """Play a history, then stop the successor; after each stop, ask the other entries for every number."""
        owner = self.entries[0]
        await asyncio.sleep(STEP_S)
        for step in history:
            match step:
                case "stop":
                    owner.draining = asyncio.create_task(owner._drain())
                case int():
                    owner.end_tasks(step)
                case entry, session, number, body if not self.entries[entry].is_stopped:
                    await self._submit(self.entries[entry], ids.JobId(self.sessions[session], number), body)
            await asyncio.sleep(STEP_S)
        await self._finish_stop(owner)
        successor = self.entries[1]
        successor.draining = asyncio.create_task(successor._drain())
        await self._finish_stop(successor)
        for task in self._serving:
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    async def _finish_stop(self, entry: _Entry) -> None:
        entry.end_tasks(SLOTS)
        assert entry.draining is not None
        await entry.draining
        for pipe, ends in self._pipes.items():
            if entry in ends:
                pipe.abort()
        await asyncio.sleep(STEP_S)
        for other in [each for each in self.entries if not each.is_stopped]:
            for job_id in [ids.JobId(session, number) for session in self.sessions for number in range(5)]:
                await self._submit(other, job_id, self.accepted.get(job_id, 0))
                await self._submit(other, job_id, 1 - self.accepted.get(job_id, 0))
        await asyncio.sleep(STEP_S)
        self._check_starts()

    @staticmethod
    async def _exchange(entry: _Entry, end: _Pipe, hello: wire.PeerHello) -> None:
        with contextlib.suppress(exceptions.LinkClosedError):
            await entry._peers._exchange(end, hello)

    async def _submit(self, entry: _Entry, job_id: ids.JobId, body: int) -> None:
        request = caller_request.CallerRequest(
            SUBMIT, conftest.WORKSPACE, job_id, BODIES[body], 0.0, caller_request.Hop.CALLER
        )
        reply = await entry.ask(request)
        document = json.loads(reply.body)
        code = document.get("code")
        if reply.status == 202:
            assert self.accepted.setdefault(job_id, body) == body, "a number was accepted twice"
        elif reply.status == 200:
            assert self.accepted[job_id] == body, "the answer belongs to another body"
            assert [task["state"] for task in document["tasks"]] == ["completed"] * 2
            assert not document["recovered"]
        elif job_id not in self.accepted:
            assert document["ran"] == "nothing" or code == "job_expired", "a closed session is forgotten"
        elif body != self.accepted[job_id] and code == "job_conflict":
            return
        else:
            kept = [each for each in self.finished if each.session == job_id.session][-MAX_FINISHED_JOBS:]
            assert code == "job_expired", f"an answer is lost: {code}"
            assert job_id in self.finished, "an open job expired"
            assert job_id not in kept, "an answer is lost before its time"

    def _check_starts(self) -> None:
        posted = [message for entry in self.entries for message in entry.agent.posted]
        starts = collections.Counter(
            ids.TaskId(start.session, start.number, start.task)
            for message in posted
            if isinstance(message, wire.Assign)
            for start in message.starts
        )
        assert set(starts.values()) <= {1}, "a number runs again"
        assert {task.job for task in starts} == self.accepted.keys(), "a refused number ran"


def _check(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(jobs, "SessionStore", _SmallStore)

    @hypothesis.settings(max_examples=60)
    @hypothesis.given(HISTORIES)
    def run(history: list[Any]) -> None:
        async def play() -> None:
            await _World().run(history)

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(play())

    run()


def test_planned_stop_loses_no_answer_and_no_number_runs_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an accepted job without its answer, and a second run, when its entry is stopped as planned."""
    _check(monkeypatch)


@pytest.mark.parametrize(
    ("module", "naive", "violation"),
    [
        (hand_over_store, _ForgetfulStore, "an answer is lost"),
        (hand_over_store, _OnceStore, "is lost|is forgotten"),
        (job_service, _HastyService, "an answer is lost"),
        (request_router, _AdoptingRouter, "runs again"),
    ],
)
def test_naive_planned_stop_violates_it(
    monkeypatch: pytest.MonkeyPatch, module: Any, naive: type, violation: str
) -> None:
    """Shows that the check above can fail."""
    monkeypatch.setattr(module, naive.__base__.__name__, naive)  # type: ignore[union-attr]
    with pytest.raises(AssertionError, match=violation):
        _check(monkeypatch)
