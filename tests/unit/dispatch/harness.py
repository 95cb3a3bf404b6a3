"""Builders of jobs and workers, and a dispatcher harness, for the tests of dispatch."""

from collections import abc
from typing import Any

from cactusgauge import configuration, dispatch, ids, jobs, observability, wire

JobFactory = abc.Callable[..., jobs.Job]


class LinkStub:
    """Link that records the messages posted to an agent."""

    def __init__(self) -> None:
        self.posted: list[Any] = []
        self.is_suspect = False

    def set_active(self, active: bool) -> None:
        """Do nothing, as the activity only changes the heartbeat interval."""

    def post(self, message: Any) -> None:
        """Record a message."""
        self.posted.append(message)

    def starts(self) -> list[wire.Start]:
        """Return the starts of all tasks that were sent."""
        return [start for message in self.posted if isinstance(message, wire.Assign) for start in message.starts]


def make_job(
    number: int, run_ms: abc.Sequence[float | None], at: float = 0.0, deadline_ms: int = 30_000, kind: str = "k"
) -> jobs.Job:
    """Return a job with one task for each declared run time."""
    tasks = [jobs.TaskRequest(payload="", kind=kind, duration_ms=declared) for declared in run_ms]
    request = jobs.JobRequest(tasks, deadline_ms, b"digest")
    return jobs.Job(ids.JobId(ids.SessionId("s"), number), request, at, deadline_ms)


def make_worker(name: str, slots: int = 8) -> tuple[dispatch.RemoteWorker, LinkStub]:
    """Return a connected worker with free slots, and its link."""
    hello = wire.AgentHello(
        1, ids.AgentName(name), ids.AgentIncarnation(name), ids.WorkspaceName("w"), ids.DataCentreName("d"), slots, ""
    )
    worker = dispatch.RemoteWorker(hello, hello.data_centre)
    link = LinkStub()
    worker.attach(link, wire.Resume(0, slots, True, 1))  # type: ignore[arg-type]
    return worker, link


class DispatcherHarness:
    """A dispatcher with connected workers; the test plays the agents."""

    def __init__(self, workers: int, slots: int = 8, **settings: Any) -> None:
        config = configuration.WorkspaceConfig(name=ids.WorkspaceName("w"), **settings)
        self.finished: list[jobs.Job] = []
        self.counters = observability.Counters()
        self.events = observability.EventRing("test")
        self.dispatcher = dispatch.Dispatcher(config, self.counters, self.events, self.finished.append)
        self.links: list[LinkStub] = []
        self.workers: list[dispatch.RemoteWorker] = []
        for number in range(workers):
            made, link = make_worker(str(number), slots)
            hello = wire.AgentHello(1, made.name, made.incarnation, config.name, made.data_centre, slots, "")
            worker = self.dispatcher.find_or_create_worker(hello)
            self.dispatcher.attach(worker, link, wire.Resume(0, slots, True, 1))  # type: ignore[arg-type]
            self.workers.append(worker)
            self.links.append(link)

    def end_oldest_tasks(self, number: int, state: str, reason: str = "", count: int | None = None) -> int:
        """End the `count` oldest in-flight tasks of a worker, or all, with the same outcome; return how many ended."""
        worker = self.workers[number]
        ended = list(worker.in_flight)[:count]
        outcomes = [wire.Outcome(each.session, each.number, each.task, state, reason, b"", 100) for each in ended]
        if outcomes:
            results = wire.Results(worker.last_result_number + 1, 0, worker.credit, outcomes)
            self.dispatcher.handle_results(worker, results)
        return len(ended)
