from cactusgauge import jobs
from tests.unit.dispatch import conftest


def test_resume_of_an_older_link_proves_nothing() -> None:
    """Guards against a task that is given to another agent because a delayed Resume does not know of its start."""
    world = conftest.World(agents=2, entries=1)
    agent, entry = world.agents[0], world.entries[0]
    world.call(lambda: agent.lease.leave(agent.lease.valid.id))  # type: ignore[union-attr]
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


def test_entry_that_links_between_two_leases_is_told_of_the_second() -> None:
    """Guards against an entry that never uses a worker because the agent itself noticed no change."""
    world = conftest.World(entries=1)
    agent, entry = world.agents[0], world.entries[0]
    world.call(lambda: agent.lease.leave(agent.lease.valid.id))  # type: ignore[union-attr]
    world.dial(agent, entry)
    world.deliver_all()
    world.call(agent.announce)
    world.call(lambda: entry.submit(1))
    world.finish_everything()
    states = [job.state for job in entry.jobs]
    world.close()
    assert states == [jobs.JobState.COMPLETE]
