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
# An entry may report a task as `unknown` for one of these reasons only, so a lost result shows up.
UNKNOWN_REASONS = {jobs.Reason.AGENT_LOST.value, jobs.Reason.AGENT_RESTARTED.value, jobs.Reason.NO_RECORD.value, ""}


class LinkMachine(stateful.RuleBasedStateMachine):
    """Two agents and two entries over links that lose, cut, delay and reconnect at any message.

    The reference is the list of all starts that reached the backend server. Each step draws weighted actions from a
    seed: with one rule for each action, Hypothesis leaves out so many of them that hardly any start is made.
    """

    starts: ClassVar[list[int]] = []

    def __init__(self) -> None:
        super().__init__()
        self.world = conftest.World(agents=2)
        self.world.relink()
        self.ended: dict[tuple[ids.JobId, int], jobs.TaskState] = {}
        self.weights: dict[abc.Callable[[random.Random], None], float] = {
            self._submit: 4,
            self._cancel: 0.5,
            self._dial: 4,
            self._deliver: 10,
            self._deliver_all: 5,
            self._cut: 2,
            self._end_run: 6,
            self._beat: 2,
            self._advance: 3,
            self._advance_past_a_bound: 0.7,
            self._announce: 4,
            self._restart_agent: 0.5,
            self._restart_entry: 0.3,
        }

    @stateful.rule(seed=strategies.integers(0, 2**64 - 1))
    def act(self, seed: int) -> None:
        """Take some actions and check after each."""
        chance = random.Random(seed)
        for action in chance.choices(list(self.weights), list(self.weights.values()), k=ACTIONS_PER_STEP):
            hypothesis.note(action.__name__)
            action(chance)
            self.check()

    def _submit(self, chance: random.Random) -> None:
        self.world.call(lambda: chance.choice(self.world.entries).submit(chance.randint(1, 3)))

    def _cancel(self, chance: random.Random) -> None:
        entry = chance.choice(self.world.entries)
        if entry.jobs:
            self.world.call(lambda: entry.service.dispatcher(unit_conftest.WORKSPACE).cancel(entry.jobs[-1]))

    def _dial(self, chance: random.Random) -> None:
        if len(self.world.connections) < 8:
            self.world.dial(chance.choice(self.world.agents), chance.choice(self.world.entries))

    def _deliver(self, chance: random.Random) -> None:
        end = self._end(chance)
        for _ in range(chance.randint(1, 4) if end else 0):
            self.world.call(end.deliver)  # type: ignore[union-attr]

    def _deliver_all(self, chance: random.Random) -> None:
        self.world.deliver_all()

    def _cut(self, chance: random.Random) -> None:
        """Close one end; what it sent is lost or still arrives, and the other end notices later."""
        end = self._end(chance)
        if end is None:
            return
        if chance.random() < 0.5:
            end.in_transit.clear()
        self.world.call(end.close_end)

    def _end_run(self, chance: random.Random) -> None:
        if self.world.running:
            run, state = chance.choice(self.world.running), chance.choice(ENDS)
            self.world.call(lambda: run.end(state))

    def _beat(self, chance: random.Random) -> None:
        self.world.beat()

    def _advance(self, chance: random.Random) -> None:
        self.world.advance(chance.choice([0.3, 1.1, 4.0]))

    def _advance_past_a_bound(self, chance: random.Random) -> None:
        """Let the time pass after which an agent is lost, or results are dropped."""
        self.world.advance(chance.choice([11.0, 130.0]))

    def _announce(self, chance: random.Random) -> None:
        self.world.call(chance.choice(self.world.agents).announce)

    def _restart_agent(self, chance: random.Random) -> None:
        self.world.restart_agent(chance.randrange(len(self.world.agents)))

    def _restart_entry(self, chance: random.Random) -> None:
        self.world.restart_entry(chance.randrange(len(self.world.entries)))

    def check(self) -> None:
        """Compare the starts at the backend server with what the entries report."""
        assert not self.world.errors
        live = [run.task_id for run in self.world.runs if run.state is not jobs.TaskState.NOT_RUN]
        assert len(live) == len(set(live)), "a task was started twice"
        assert all(agent.allocator.running <= conftest.SLOTS for agent in self.world.agents)
        self._check_reports(set(live))

    def _check_reports(self, live: set[ids.TaskId]) -> None:
        states = {run.task_id: run.state for run in self.world.runs}
        for entry in self.world.entries:
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
        """Show that nothing is stuck: over reliable links all jobs end, and new jobs complete."""
        self.starts.append(len(self.world.runs))
        try:
            self._finish()
        finally:
            self.world.close()

    def _finish(self) -> None:
        self.world.relink()
        self.world.finish_everything()
        new = []
        for entry in self.world.entries:
            self.world.call(lambda entry=entry: new.append(entry.submit(2)))  # type: ignore[misc]
        self.world.finish_everything()
        states = [job.state for entry in self.world.entries for job in entry.jobs]
        self.check()
        assert jobs.JobState.RUNNING not in states, "a task is stuck"
        assert [job.state for job in new] == [jobs.JobState.COMPLETE] * len(new), "new work is stuck"

    def _end(self, chance: random.Random) -> conftest.PipeEnd | None:
        ends = [end for each in self.world.connections for end in (each.agent_end, each.entry_end)]
        return chance.choice(ends) if ends else None


def _workers(entry: conftest.Entry) -> list[dispatch.RemoteWorker]:
    return [worker for each in entry.service.dispatchers for worker in each.workers]


class _ResendingWorker(dispatch.RemoteWorker):
    """Sends everything again after a reconnect."""

    def attach(self, link: wire.Link, resume: wire.Resume) -> list[ids.TaskId]:
        super().attach(link, resume)
        in_flight, self._in_flight = list(self._in_flight), {}
        return in_flight


class _ReassigningDispatcher(dispatch.Dispatcher):
    """Takes an agent that is out of reach for a while as proof that its tasks did not run."""

    def _abandon(self, worker: dispatch.RemoteWorker, reason: jobs.Reason) -> None:
        for task_id in worker.abandon():
            self._return_to_queue(task_id)


def _run() -> None:
    stateful.run_state_machine_as_test(LinkMachine, settings=STEPS)


def test_starts_are_handled_once_and_numbering_never_sticks() -> None:
    """Guards against repeated starts, lost or repeated results, and agents that get no more work."""
    LinkMachine.starts.clear()
    _run()
    assert sum(LinkMachine.starts) >= 4 * STEPS.max_examples, "the examples start too little to show anything"


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
    """Shows that the machine above can fail."""
    monkeypatch.setattr(module, name, naive)
    with pytest.raises(AssertionError, match="started twice"):
        _run()


def test_welcome_that_is_older_than_the_last_link_loses_no_result() -> None:
    """Guards against result numbers that restart below what the entry has received."""
    world = conftest.World(entries=1)
    agent, entry = world.agents[0], world.entries[0]
    world.dial(agent, entry)
    world.deliver_all()
    world.dial(agent, entry)
    first, second = world.connections
    world.call(second.agent_end.deliver)
    world.call(lambda: entry.submit(1))
    world.call(first.entry_end.deliver)
    world.call(lambda: world.running[0].end(jobs.TaskState.COMPLETED))
    world.call(first.agent_end.deliver)
    world.beat()
    for _ in range(2):
        world.call(first.entry_end.deliver)
    world.call(first.agent_end.abort)
    world.deliver_all()
    if not world.connections:
        world.dial(agent, entry)
    world.call(lambda: entry.submit(1))
    world.finish_everything()
    states = [job.state for job in entry.jobs]
    world.close()
    assert states == [jobs.JobState.COMPLETE] * 2


def test_resume_of_an_older_link_proves_nothing() -> None:
    """Guards against a task that is given to another agent because a delayed Resume does not know of its start."""
    world = conftest.World(agents=2, entries=1)
    agent, entry = world.agents[0], world.entries[0]
    world.call(lambda: agent.lease.release(agent.lease.valid_lease.id))  # type: ignore[union-attr]
    world.dial(agent, entry)
    old = world.connections[0]
    world.call(old.agent_end.deliver)
    world.call(old.entry_end.deliver)  # the agent sends Resume, which is delayed
    world.call(old.agent_end.close_end)
    world.call(agent.announce)
    world.dial(agent, entry)
    new = world.connections[1]
    for end in (new.agent_end, new.entry_end, new.agent_end):
        world.call(end.deliver)
    world.call(lambda: entry.submit(1))
    world.call(new.entry_end.deliver)
    world.dial(world.agents[1], entry)
    other = world.connections[2]
    for end in (other.agent_end, other.entry_end, other.agent_end):
        world.call(end.deliver)
    world.call(old.agent_end.deliver)
    world.finish_everything()
    starts, states = len(world.runs), [job.state for job in entry.jobs]
    world.close()
    assert starts == 1
    assert states == [jobs.JobState.COMPLETE]


def test_entry_that_was_paused_for_long_uses_the_slots_again() -> None:
    """Guards against tasks that stay in flight for ever as the agent dropped their results."""
    world = conftest.World(entries=1)
    agent, entry = world.agents[0], world.entries[0]
    world.relink()
    world.call(lambda: entry.submit(conftest.SLOTS))
    world.deliver_all()
    world.call(world.connections[0].agent_end.close_end)
    for run in world.running:
        world.call(lambda run=run: run.end(jobs.TaskState.COMPLETED))  # type: ignore[misc]
    world.loop.now += 130.0
    world.call(agent.controller.refresh)
    world.deliver_all()
    world.relink()
    world.call(lambda: entry.submit(1))
    world.finish_everything()
    states = [job.state for job in entry.jobs]
    world.close()
    assert states == [jobs.JobState.FAILED, jobs.JobState.COMPLETE]


def test_state_from_a_replaced_link_is_not_taken_in() -> None:
    """Guards against an old message that takes a worker out of use for good."""
    world = conftest.World(entries=1)
    agent, entry = world.agents[0], world.entries[0]
    world.dial(agent, entry)
    world.deliver_all()
    old = world.connections[0]
    world.loop.now += 5.0
    world.call(agent.controller.refresh)
    world.call(old.agent_end.close_end)
    world.call(agent.announce)
    world.dial(agent, entry)
    new = world.connections[1]
    for _ in range(2):
        world.call(new.agent_end.deliver)
        world.call(new.entry_end.deliver)
    world.deliver_all()
    world.call(lambda: entry.submit(1))
    world.finish_everything()
    states = [job.state for job in entry.jobs]
    world.close()
    assert states == [jobs.JobState.COMPLETE]


def test_entry_that_links_between_two_leases_is_told_of_the_second() -> None:
    """Guards against an entry that never uses a worker because the agent itself noticed no change."""
    world = conftest.World(entries=1)
    agent, entry = world.agents[0], world.entries[0]
    world.call(lambda: agent.lease.release(agent.lease.valid_lease.id))  # type: ignore[union-attr]
    world.dial(agent, entry)
    world.deliver_all()
    world.call(agent.announce)
    world.call(lambda: entry.submit(1))
    world.finish_everything()
    states = [job.state for job in entry.jobs]
    world.close()
    assert states == [jobs.JobState.COMPLETE]
