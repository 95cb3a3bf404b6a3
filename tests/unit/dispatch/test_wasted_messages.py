from cactusgauge import dispatch, ids, jobs, observability, wire
from tests.unit import conftest


async def test_message_counts_as_wasted_only_if_no_part_of_it_is_useful() -> None:
    """Guards against a batch that counts as wasted because of one refusal, or once for each of its outcomes."""
    counters, events = observability.Counters(), observability.EventRing("entry")
    dispatcher = dispatch.Dispatcher(conftest.workspace_config(), counters, events, lambda job: None)
    agent, centre = ids.AgentName("agent"), ids.DataCentreName("serra")
    hello = wire.AgentHello(
        wire.PROTOCOL_VERSION, agent, ids.new_agent_incarnation(), conftest.WORKSPACE, centre, 8, ""
    )
    worker = dispatcher.find_or_create_worker(hello)
    dispatcher.attach(worker, conftest.FakeLink(), wire.Resume(0, 8, True, 1))
    job = conftest.new_job(count=3)
    dispatcher.admit(job)
    worker.assign([(job, job.mark_sent(index), 0.1) for index in range(3)], 0, 0)
    refused = (jobs.TaskState.NOT_RUN, jobs.Reason.AGENT_DRAINING.value)
    done = (jobs.TaskState.COMPLETED, "")

    def waste(number: int, *outcomes: tuple[int, tuple[jobs.TaskState, str]]) -> tuple[float, float]:
        parts = [conftest.outcome_of(conftest.new_start(task), *end) for task, end in outcomes]
        dispatcher.handle_results(worker, wire.Results(number, 1, 8, parts))
        return counters.get("messages_wasted"), counters.get("outcomes_late")

    assert waste(1, (0, done), (1, refused)) == (0, 0)
    assert waste(2, (2, refused)) == (1, 0)
    assert waste(3, (0, done), (0, done)) == (2, 2)
    assert waste(3, (0, done)) == (3, 2)
