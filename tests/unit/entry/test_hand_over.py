"""Planned stop of an entry: the drain, the handover of its sessions and the answers of the other entries (G7)."""

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
# Each step is a submission (entry, session, number, body) or a number of running tasks to complete.
STEPS = strategies.one_of(SUBMISSIONS, SUBMISSIONS, strategies.integers(2, 6))
HISTORIES = strategies.tuples(
    strategies.lists(STEPS, min_size=4, max_size=12), strategies.just(["stop"]), strategies.lists(STEPS, max_size=6)
).map(lambda parts: [step for part in parts for step in part])


class _SmallSessionStore(jobs.SessionStore):
    """Opens sessions that keep few answers, so that answers are evicted before and after the stop."""

    def open(self, workspace: ids.WorkspaceName, now: float) -> jobs.Session:
        opened = super().open(workspace, now)
        opened._max_finished_jobs = MAX_FINISHED_JOBS
        return opened


class _AnswerDroppingStore(hand_over_store.HandOverStore):
    """Faulty: stores the closed sessions without their answers."""

    def add(self, sessions: list[wire.HandOverSession]) -> None:
        super().add([session._replace(jobs=[]) for session in sessions])


class _SingleHandOverStore(hand_over_store.HandOverStore):
    """Faulty: does not hand over sessions that it took over itself."""

    def sessions_by_owner(
        self, successor: ids.EntryIncarnation
    ) -> dict[ids.EntryIncarnation, list[wire.HandOverSession]]:
        return {}


class _RerunningRouter(request_router.RequestRouter):
    """Faulty: acts as new owner of a handed-over session and runs jobs without a stored answer."""

    def _serve_handed_over(self, request: caller_request.CallerRequest) -> caller_request.Reply:
        try:
            return super()._serve_handed_over(request)
        except (exceptions.JobExpiredError, exceptions.SessionClosedError):
            if request.method is not SUBMIT:
                raise
            session = jobs.Session(request.job_id.session, request.workspace, 0.0)
            self._service._sessions._sessions.setdefault(session.id, session)
            parsed = self._service.parse(request.workspace, request.body)
            return self._running_reply(request.job_id, self._service.submit(*request[1:3], parsed).open_count)


class _NonWaitingService(job_service.JobService):
    """Faulty: does not wait for open jobs before it hands over the sessions."""

    @property
    def open_job_count(self) -> int:
        return 0


class _InstantLink(conftest.FakeLink):
    """A link that delivers messages immediately."""

    @property
    def is_drained(self) -> bool:
        """Always true, as nothing waits."""
        return True


class _PipeLink(_InstantLink):
    """One end of a link between entries."""

    def __init__(self, peer: "_PipeLink | None" = None) -> None:
        super().__init__()
        self.peer = peer or _PipeLink(self)
        self._inbox: asyncio.Queue[wire.Message | None] = asyncio.Queue()

    def post(self, message: wire.Message) -> None:
        """Deliver a message to the peer."""
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
    """An entry without sockets; its agent starts every task on receipt, and the test completes the tasks."""

    def __init__(self, group: "_EntryGroup", index: int) -> None:
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
        stub: Any = self
        self.group = group
        self.draining: asyncio.Task[None] | None = None
        self.router = request_router.RequestRouter(self._members, self._service, self._hand_overs, stub, stub)
        self.dispatcher = self._service.dispatcher(conftest.WORKSPACE)
        agent = ids.AgentIncarnation(own.name)
        hello = wire.AgentHello(1, ids.AgentName(agent), agent, conftest.WORKSPACE, own.data_centre, SLOTS, "")
        self.worker = self.dispatcher.find_or_create_worker(hello)
        self.agent = _InstantLink()
        self.dispatcher.attach(self.worker, self.agent, wire.Resume(0, SLOTS, True, 1))

    @property
    def is_stopped(self) -> bool:
        """Whether the process has ended."""
        return self.draining is not None and self.draining.done()

    def hello(self) -> wire.PeerHello:
        """Return the entry's first message on a new link to a peer."""
        return wire.PeerHello(wire.PROTOCOL_VERSION, self._members.own, 1, [])

    def end_tasks(self, count: int) -> None:
        """Complete the oldest running tasks."""
        outcomes = [
            wire.Outcome(each.session, each.number, each.task, "completed", "", b"r", 1.0)
            for each in list(self.worker.in_flight)[:count]
        ]
        # The two tasks of a job are sent in order, so the job is finished when its second task ends.
        self.group.finished.extend(ids.JobId(each.session, each.number) for each in outcomes if each.task == 1)
        if outcomes:
            number = (self.worker.last_result_number or 0) + 1
            self.dispatcher.handle_results(self.worker, wire.Results(number, 0, SLOTS, outcomes))

    async def forward(self, entry: wire.EntryInfo, request: Any, hop: Any, is_alive: Any) -> Any:
        """Deliver a request to another entry, in place of the forwarder."""
        target = next(each for each in self.group.entries if each._members.own.incarnation == entry.incarnation)
        return None if target.is_stopped else await target.ask(request._replace(hop=hop))

    async def recover(self, *arguments: Any) -> jobs.JobResponse:
        """Act as a recovery that finds no records, as the agents have dropped them."""
        raise exceptions.UnknownJobError("no record")

    async def ask(self, request: caller_request.CallerRequest) -> caller_request.Reply:
        """Return the reply of this entry."""
        try:
            return await self.router.handle(request)
        except exceptions.CactusgaugeError as error:
            return caller_request.error_reply(error)


class _EntryGroup:
    """Three linked entries; stops the owner of two sessions, then its successor, and checks every reply."""

    def __init__(self) -> None:
        self.entries = [_Entry(self, index) for index in range(ENTRIES)]
        self.sessions = [self.entries[0]._service.open_session(conftest.WORKSPACE) for _ in range(2)]
        self.accepted: dict[ids.JobId, int] = {}
        self.finished: list[ids.JobId] = []
        self._serving: list[asyncio.Task[None]] = []
        self._pipes: dict[_PipeLink, tuple[_Entry, _Entry]] = {}
        for index, entry in enumerate(self.entries):
            for peer in self.entries[index + 1 :]:
                pipe = _PipeLink()
                self._pipes[pipe] = (entry, peer)
                for end, local, remote in ((pipe, entry, peer), (pipe.peer, peer, entry)):
                    self._serving.append(asyncio.create_task(self._exchange(local, end, remote.hello())))

    async def run(self, history: list[Any]) -> None:
        """Run a history, then stop the successor; after each stop, submit every number at the other entries."""
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
    async def _exchange(entry: _Entry, end: _PipeLink, hello: wire.PeerHello) -> None:
        with contextlib.suppress(exceptions.LinkClosedError):
            await entry._peer_links._run_link(end, hello)

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
    monkeypatch.setattr(jobs, "SessionStore", _SmallSessionStore)

    @hypothesis.settings(max_examples=60)
    @hypothesis.given(HISTORIES)
    def run(history: list[Any]) -> None:
        async def run_group() -> None:
            await _EntryGroup().run(history)

        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(run_group())

    run()


def test_planned_stop_loses_no_answer_and_no_number_runs_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a lost answer or a second run of an accepted job when its entry is stopped as planned."""
    _check(monkeypatch)


@pytest.mark.parametrize(
    ("module", "faulty", "violation"),
    [
        (hand_over_store, _AnswerDroppingStore, "an answer is lost"),
        (hand_over_store, _SingleHandOverStore, "is lost|is forgotten"),
        (job_service, _NonWaitingService, "an answer is lost"),
        (request_router, _RerunningRouter, "runs again"),
    ],
)
def test_check_detects_faulty_implementations(
    monkeypatch: pytest.MonkeyPatch, module: Any, faulty: type, violation: str
) -> None:
    """Shows that the check above detects faulty implementations."""
    monkeypatch.setattr(module, faulty.__base__.__name__, faulty)  # type: ignore[union-attr]
    with pytest.raises(AssertionError, match=violation):
        _check(monkeypatch)
