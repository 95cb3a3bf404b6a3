from cactusgauge import configuration, dispatch, ids, jobs, observability, wire

WORKSPACE = ids.WorkspaceName("cheese")


async def test_a_message_is_wasted_only_if_nothing_of_it_is_of_use() -> None:
    """Guards against a batch with one refusal being charged as waste, or once for every outcome in it."""
    counters = observability.Counters()
    config = configuration.WorkspaceConfig(name=WORKSPACE)
    dispatcher = dispatch.Dispatcher(config, counters, observability.EventRing("entry"), lambda job: None)
    hello = wire.AgentHello(
        wire.PROTOCOL_VERSION,
        ids.AgentName("agent"),
        ids.new_agent_incarnation(),
        WORKSPACE,
        ids.DataCentreName("serra"),
        8,
        "",
    )
    worker = dispatcher.find_worker(hello)

    class Link:
        is_silent = False

        def set_active(self, active: bool) -> None:
            """Ignore the activity."""

        def post(self, message: wire.Message) -> None:
            """Drop the message."""

    dispatcher.attach(worker, Link(), wire.Resume(0, 8, True))  # type: ignore[arg-type]
    request = jobs.JobRequestParser(340, 10_000).parse(
        b'{"tasks": [{"payload": ""}, {"payload": ""}, {"payload": ""}]}'
    )
    job = jobs.Job(ids.JobId(ids.SessionId("s"), 1), request, 0, 10_000)
    dispatcher.admit(job)
    worker.assign([(job, job.send(index), 0.1) for index in range(3)], 0, 0)

    def results(number: int, *tasks: tuple[int, jobs.TaskState]) -> None:
        reason = jobs.Reason.AGENT_DRAINING.value
        outcomes = [
            wire.Outcome(
                job.id.session, 1, task, state.value, reason if state is jobs.TaskState.NOT_RUN else "", b"", 1
            )
            for task, state in tasks
        ]
        dispatcher.take_results(worker, wire.Results(number, 1, 8, outcomes))

    results(1, (0, jobs.TaskState.COMPLETED), (1, jobs.TaskState.NOT_RUN))
    assert counters.get("messages_wasted") == 0
    results(2, (2, jobs.TaskState.NOT_RUN))
    assert counters.get("messages_wasted", label="agent_draining") == 1
    results(3, (0, jobs.TaskState.COMPLETED), (0, jobs.TaskState.COMPLETED))
    results(3, (0, jobs.TaskState.COMPLETED))
    assert counters.get("messages_wasted", label="late_result") == 1
    assert counters.get("outcomes_late") == 2
    assert counters.get("messages_wasted", label="repeated_results") == 1
