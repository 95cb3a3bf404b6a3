"""A job from submission to answer with real processes."""

from emulator import cluster
from tests.system import caller


def test_job_runs_end_to_end_through_the_other_entry(processes: cluster.Cluster) -> None:
    """Guards against a job that is lost or run twice when it is submitted to an entry that does not own its session."""
    processes.start_entry("entry-1")
    processes.start_entry("entry-2")
    for number in range(2):
        processes.start_worker(number)
    processes.wait_ready("entry-1", "entry-2")
    processes.wait_linked("entry-1", 2)
    processes.wait_linked("entry-2", 2)
    callers = [caller.Caller(processes[name].http_url) for name in ("entry-1", "entry-2")]
    session = callers[0].open_session()
    body = caller.job_body(40, run_ms=20)

    answers = [each.submit(session, 1, body) for each in callers]

    assert [answer.body["state"] for answer in answers] == ["complete", "complete"]
    assert caller.results(answers[0]) == caller.results(answers[1]) == [f"r{index}" for index in range(40)]
    starts = processes.starts()
    assert len(starts) == 40
    assert set(starts.values()) == {1}
    assert all(report["max_running"] <= report["slots"] for report in processes.server_reports())
