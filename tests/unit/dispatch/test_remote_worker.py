import random
import types
from typing import TYPE_CHECKING, ClassVar

import hypothesis
import pytest
from hypothesis import stateful, strategies

from cactusgauge import dispatch, ids, jobs, wire
from cactusgauge.dispatch import remote_worker
from tests.unit import conftest as unit_conftest
from tests.unit.dispatch import conftest

if TYPE_CHECKING:
    from collections import abc

STEPS = hypothesis.settings(max_examples=100, stateful_step_count=15)
ACTIONS_PER_STEP = 8
ENDS = [state for state in jobs.TaskState if state.is_final]
# An entry may report a task as `unknown` only for these reasons; any other one reveals a lost result.
UNKNOWN_REASONS = {jobs.Reason.AGENT_LOST.value, jobs.Reason.AGENT_RESTARTED.value, jobs.Reason.NO_RECORD.value, ""}


class LinkStateMachine(stateful.RuleBasedStateMachine):
    """Runs two agents and two entries over links that may lose, delay, cut and reconnect at any message.

    The reference is the list of all starts that reached the backend server. Each step draws weighted actions from a
    seed, because with one rule per action Hypothesis disables so many rules that hardly any task is started.
    """

    starts: ClassVar[list[int]] = []

    def __init__(self) -> None:
        super().__init__()
        self.cluster = conftest.SimulatedCluster(agents=2)
        self.cluster.reconnect_all()
        self.ended: dict[tuple[ids.JobId, int], jobs.TaskState] = {}
        self.weights: dict[abc.Callable[[random.Random], None], float] = {
            self._submit: 4,
            self._cancel: 0.5,
            self._connect: 4,
            self._deliver: 10,
            self._deliver_all: 5,
            self._cut: 2,
            self._end_run: 6,
            self._send_heartbeats: 2,
            self._advance: 3,
            self._advance_past_a_bound: 0.7,
            self._announce: 4,
            self._restart_agent: 0.5,
            self._restart_entry: 0.3,
        }

    @stateful.rule(seed=strategies.integers(0, 2**64 - 1))
    def act(self, seed: int) -> None:
        """Perform some random actions and check the state after each."""
        rng = random.Random(seed)
        for action in rng.choices(list(self.weights), list(self.weights.values()), k=ACTIONS_PER_STEP):
            hypothesis.note(action.__name__)
            action(rng)
            self.check()

    def _submit(self, rng: random.Random) -> None:
        self.cluster.run_until_idle(lambda: rng.choice(self.cluster.entries).submit(rng.randint(1, 3)))

    def _cancel(self, rng: random.Random) -> None:
        entry = rng.choice(self.cluster.entries)
        if entry.jobs:
            self.cluster.run_until_idle(
                lambda: entry.service.dispatcher(unit_conftest.WORKSPACE).cancel(entry.jobs[-1])
            )

    def _connect(self, rng: random.Random) -> None:
        if len(self.cluster.connections) < 8:
            self.cluster.connect(rng.choice(self.cluster.agents), rng.choice(self.cluster.entries))

    def _deliver(self, rng: random.Random) -> None:
        end = self._end(rng)
        for _ in range(rng.randint(1, 4) if end else 0):
            self.cluster.run_until_idle(end.deliver)  # type: ignore[union-attr]

    def _deliver_all(self, rng: random.Random) -> None:
        self.cluster.deliver_all()

    def _cut(self, rng: random.Random) -> None:
        """Close one end; its sent messages are lost or still arrive, and the other end notices the closing later."""
        end = self._end(rng)
        if end is None:
            return
        if rng.random() < 0.5:
            end.in_transit.clear()
        self.cluster.run_until_idle(end.close_end)

    def _end_run(self, rng: random.Random) -> None:
        if self.cluster.running:
            run, state = rng.choice(self.cluster.running), rng.choice(ENDS)
            self.cluster.run_until_idle(lambda: run.end(state))

    def _send_heartbeats(self, rng: random.Random) -> None:
        self.cluster.send_heartbeats()

    def _advance(self, rng: random.Random) -> None:
        self.cluster.advance(rng.choice([0.3, 1.1, 4.0]))

    def _advance_past_a_bound(self, rng: random.Random) -> None:
        """Advance the clock beyond the timeout for lost agents, or beyond the one for unacknowledged results."""
        self.cluster.advance(rng.choice([11.0, 130.0]))

    def _announce(self, rng: random.Random) -> None:
        self.cluster.run_until_idle(rng.choice(self.cluster.agents).announce)

    def _restart_agent(self, rng: random.Random) -> None:
        self.cluster.restart_agent(rng.randrange(len(self.cluster.agents)))

    def _restart_entry(self, rng: random.Random) -> None:
        self.cluster.restart_entry(rng.randrange(len(self.cluster.entries)))

    def check(self) -> None:
        """Compare the starts at the backend server with what the entries report."""
        assert not self.cluster.errors
        live = self._check_starts()
        assert all(agent.allocator.running <= conftest.SLOTS for agent in self.cluster.agents)
        self._check_reports(live)

    def _check_starts(self) -> set[ids.TaskId]:
        """Check that no task was started twice, and return the started tasks."""
        live = [run.task_id for run in self.cluster.runs if run.state is not jobs.TaskState.NOT_RUN]
        assert len(live) == len(set(live)), "a task was started twice"
        return set(live)

    def _check_reports(self, live: set[ids.TaskId]) -> None:
        states = {run.task_id: run.state for run in self.cluster.runs}
        for entry in self.cluster.entries:
            in_flight = [each for worker in _workers(entry) for each in worker.in_flight]
            assert len(in_flight) == len(set(in_flight)), "a task is in flight twice"
            for job in entry.jobs:
                for index in range(job.task_count):
                    task, task_id = job.task_at(index), ids.TaskId(*job.id, index)
                    if not task.state.is_final:
                        continue
                    assert self.ended.setdefault((job.id, index), task.state) is task.state, "a final state changed"
                    if task.state is jobs.TaskState.NOT_RUN:
                        assert task_id not in live, "a task reported as not run was started"
                    elif task.state is jobs.TaskState.UNKNOWN:
                        assert task.reason in UNKNOWN_REASONS
                    else:
                        assert states[task_id] is task.state, "a result is not what the backend server answered"

    def teardown(self) -> None:
        """Check that nothing is stuck: over reliable links all jobs end, and new jobs complete."""
        self.starts.append(len(self.cluster.runs))
        try:
            self._finish()
        finally:
            self.cluster.close()

    def _finish(self) -> None:
        self.cluster.reconnect_all()
        self.cluster.complete_all_jobs()
        new = []
        for entry in self.cluster.entries:
            self.cluster.run_until_idle(lambda entry=entry: new.append(entry.submit(2)))  # type: ignore[misc]
        self.cluster.complete_all_jobs()
        states = [job.state for entry in self.cluster.entries for job in entry.jobs]
        self.check()
        assert jobs.JobState.RUNNING not in states, "a task is stuck"
        assert [job.state for job in new] == [jobs.JobState.COMPLETE] * len(new), "new work is stuck"

    def _end(self, rng: random.Random) -> conftest.InMemoryLinkEnd | None:
        ends = [end for each in self.cluster.connections for end in (each.agent_end, each.entry_end)]
        return rng.choice(ends) if ends else None


class StartsStateMachine(LinkStateMachine):
    """Checks only the starts.

    A naive version may also block tasks or report them wrongly. Which check of `LinkStateMachine` fails first depends
    on the examples, which Hypothesis derives from the source text of the class and of all imported modules.
    """

    def check(self) -> None:
        """Check that no task was started twice."""
        self._check_starts()

    def _finish(self) -> None:
        self.cluster.reconnect_all()
        self.cluster.complete_all_jobs()
        self.check()


def _workers(entry: conftest.Entry) -> list[dispatch.RemoteWorker]:
    return [worker for each in entry.service.dispatchers for worker in each.workers]


class _ResendingWorker(dispatch.RemoteWorker):
    """Naive version that sends all tasks in flight again after a reconnect."""

    def attach(self, link: wire.Link, resume: wire.Resume) -> list[ids.TaskId]:
        super().attach(link, resume)
        in_flight, self._in_flight = list(self._in_flight), {}
        return in_flight


class _ReassigningDispatcher(dispatch.Dispatcher):
    """Naive version that sends the tasks of an agent to others once the agent is unreachable for a while."""

    def _abandon_worker(self, worker: dispatch.RemoteWorker, reason: jobs.Reason) -> None:
        for task_id in worker.abandon():
            self._return_to_queue(task_id)


def _run(state_machine: type[LinkStateMachine] = LinkStateMachine) -> None:
    stateful.run_state_machine_as_test(state_machine, settings=STEPS)


def test_starts_are_handled_once_and_numbering_never_sticks() -> None:
    """Guards against repeated starts, lost or repeated results, and agents that get no more tasks."""
    LinkStateMachine.starts.clear()
    _run()
    assert sum(LinkStateMachine.starts) >= 4 * STEPS.max_examples, "the examples start too little to show anything"


@pytest.mark.parametrize(
    ("module", "name", "naive"),
    [
        (remote_worker, "RemoteWorker", _ResendingWorker),
        (dispatch, "Dispatcher", _ReassigningDispatcher),
    ],
    ids=["resend after reconnect", "reassign after timeout"],
)
def test_naive_versions_start_a_task_twice(
    monkeypatch: pytest.MonkeyPatch, module: types.ModuleType, name: str, naive: type
) -> None:
    """Shows that the state machine detects faulty versions, and that they start a task twice."""
    monkeypatch.setattr(module, name, naive)
    with pytest.raises(AssertionError):
        _run()
    with pytest.raises(AssertionError, match="started twice"):
        _run(StartsStateMachine)


def test_welcome_that_is_older_than_the_last_link_loses_no_result() -> None:
    """Guards against result numbers that restart below the last number that the entry received."""
    cluster = conftest.SimulatedCluster(entries=1)
    agent, entry = cluster.agents[0], cluster.entries[0]
    cluster.connect(agent, entry)
    cluster.deliver_all()
    cluster.connect(agent, entry)
    first, second = cluster.connections
    cluster.run_until_idle(second.agent_end.deliver)
    cluster.run_until_idle(lambda: entry.submit(1))
    cluster.run_until_idle(first.entry_end.deliver)
    cluster.run_until_idle(lambda: cluster.running[0].end(jobs.TaskState.COMPLETED))
    cluster.run_until_idle(first.agent_end.deliver)
    cluster.send_heartbeats()
    for _ in range(2):
        cluster.run_until_idle(first.entry_end.deliver)
    cluster.run_until_idle(first.agent_end.abort)
    cluster.deliver_all()
    if not cluster.connections:
        cluster.connect(agent, entry)
    cluster.run_until_idle(lambda: entry.submit(1))
    cluster.complete_all_jobs()
    states = [job.state for job in entry.jobs]
    cluster.close()
    assert states == [jobs.JobState.COMPLETE] * 2


def test_resume_of_an_older_link_proves_nothing() -> None:
    """Guards against a task sent to a second agent because a delayed Resume does not include its start."""
    cluster = conftest.SimulatedCluster(agents=2, entries=1)
    agent, entry = cluster.agents[0], cluster.entries[0]
    cluster.run_until_idle(lambda: agent.lease.release(agent.lease.valid_lease.id))  # type: ignore[union-attr]
    cluster.connect(agent, entry)
    old = cluster.connections[0]
    cluster.run_until_idle(old.agent_end.deliver)
    cluster.run_until_idle(old.entry_end.deliver)  # the agent sends Resume, which is delayed
    cluster.run_until_idle(old.agent_end.close_end)
    cluster.run_until_idle(agent.announce)
    cluster.connect(agent, entry)
    new = cluster.connections[1]
    for end in (new.agent_end, new.entry_end, new.agent_end):
        cluster.run_until_idle(end.deliver)
    cluster.run_until_idle(lambda: entry.submit(1))
    cluster.run_until_idle(new.entry_end.deliver)
    cluster.connect(cluster.agents[1], entry)
    other = cluster.connections[2]
    for end in (other.agent_end, other.entry_end, other.agent_end):
        cluster.run_until_idle(end.deliver)
    cluster.run_until_idle(old.agent_end.deliver)
    cluster.complete_all_jobs()
    starts, states = len(cluster.runs), [job.state for job in entry.jobs]
    cluster.close()
    assert starts == 1
    assert states == [jobs.JobState.COMPLETE]


def test_entry_that_was_paused_for_long_uses_the_slots_again() -> None:
    """Guards against tasks that stay in flight forever because the agent dropped their results."""
    cluster = conftest.SimulatedCluster(entries=1)
    agent, entry = cluster.agents[0], cluster.entries[0]
    cluster.reconnect_all()
    cluster.run_until_idle(lambda: entry.submit(conftest.SLOTS))
    cluster.deliver_all()
    cluster.run_until_idle(cluster.connections[0].agent_end.close_end)
    for run in cluster.running:
        cluster.run_until_idle(lambda run=run: run.end(jobs.TaskState.COMPLETED))  # type: ignore[misc]
    cluster.loop.now += 130.0
    cluster.run_until_idle(agent.controller.refresh)
    cluster.deliver_all()
    cluster.reconnect_all()
    cluster.run_until_idle(lambda: entry.submit(1))
    cluster.complete_all_jobs()
    states = [job.state for job in entry.jobs]
    cluster.close()
    assert states == [jobs.JobState.FAILED, jobs.JobState.COMPLETE]


def test_state_from_a_replaced_link_is_not_taken_in() -> None:
    """Guards against a message from an old link that disables a worker permanently."""
    cluster = conftest.SimulatedCluster(entries=1)
    agent, entry = cluster.agents[0], cluster.entries[0]
    cluster.connect(agent, entry)
    cluster.deliver_all()
    old = cluster.connections[0]
    cluster.loop.now += 5.0
    cluster.run_until_idle(agent.controller.refresh)
    cluster.run_until_idle(old.agent_end.close_end)
    cluster.run_until_idle(agent.announce)
    cluster.connect(agent, entry)
    new = cluster.connections[1]
    for _ in range(2):
        cluster.run_until_idle(new.agent_end.deliver)
        cluster.run_until_idle(new.entry_end.deliver)
    cluster.deliver_all()
    cluster.run_until_idle(lambda: entry.submit(1))
    cluster.complete_all_jobs()
    states = [job.state for job in entry.jobs]
    cluster.close()
    assert states == [jobs.JobState.COMPLETE]


def test_entry_that_links_between_two_leases_is_told_of_the_second() -> None:
    """Guards against an entry that never uses a worker because the agent saw no change to report."""
    cluster = conftest.SimulatedCluster(entries=1)
    agent, entry = cluster.agents[0], cluster.entries[0]
    cluster.run_until_idle(lambda: agent.lease.release(agent.lease.valid_lease.id))  # type: ignore[union-attr]
    cluster.connect(agent, entry)
    cluster.deliver_all()
    cluster.run_until_idle(agent.announce)
    cluster.run_until_idle(lambda: entry.submit(1))
    cluster.complete_all_jobs()
    states = [job.state for job in entry.jobs]
    cluster.close()
    assert states == [jobs.JobState.COMPLETE]
