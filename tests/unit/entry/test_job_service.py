"""Tests of the limit on the memory of unfinished jobs."""

import json
import tracemalloc

import pytest

from cactusgauge import configuration, exceptions, ids, jobs, observability
from cactusgauge.entry import job_service
from tests.unit import conftest

BOUND = 1_000_000
COMPLETED = jobs.TaskState.COMPLETED

pytestmark = pytest.mark.looptime


@pytest.fixture
def service(monkeypatch: pytest.MonkeyPatch) -> job_service.JobService:
    """Return a service without agents and with a low limit."""
    monkeypatch.setattr(job_service, "MAX_OPEN_BYTES", BOUND)
    config = configuration.Configuration(0, {conftest.WORKSPACE: conftest.workspace_config()})
    source = configuration.StaticConfigSource(config)
    return job_service.JobService(conftest.OWNER, source, observability.Counters(), observability.EventRing("entry"))


def _submit(service: job_service.JobService, session: ids.SessionId, number: int, payload: str, count: int) -> jobs.Job:
    # Every payload is a separate string, as in a parsed body.
    body = json.dumps({"tasks": [{"payload": f"{payload}{index}"} for index in range(count)]}).encode()
    request = service.parse(conftest.WORKSPACE, body)
    return service.submit(conftest.WORKSPACE, ids.JobId(session, number), request)


@pytest.mark.parametrize("payload", ["p" * 4000, "\N{CHEESE WEDGE}" * 1000, "p"])
async def test_unfinished_jobs_stay_within_the_bound(service: job_service.JobService, payload: str) -> None:
    """Guards against memory that grows with large payloads even though few tasks are queued."""
    session = service.open_session(conftest.WORKSPACE)
    accepted: list[jobs.Job] = []
    ran = None
    tracemalloc.start()
    try:
        # Keeping the exception would keep the refused body in memory as well.
        while ran is None and len(accepted) < 1000:
            try:
                accepted.append(_submit(service, session, len(accepted), payload, 20))
            except exceptions.OverloadedError as error:
                ran = error.ran
        used = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert ran is exceptions.ExecutionStatus.NOTHING_RAN
    assert used <= 1.25 * BOUND
    assert service.dispatcher(conftest.WORKSPACE).open_jobs == accepted
    assert len(service.sessions[0].jobs) == len(accepted)
    service.cancel(conftest.WORKSPACE, accepted[0].id)
    _submit(service, session, len(accepted), payload, 20)


async def test_results_of_unfinished_jobs_count(service: job_service.JobService) -> None:
    """Guards against jobs that are small when accepted but hold large results until their last task ends."""
    session = service.open_session(conftest.WORKSPACE)
    job = _submit(service, session, 1, "p", 2)
    job.finish_task(0, COMPLETED, 0.0, result=bytes(BOUND))
    with pytest.raises(exceptions.OverloadedError):
        _submit(service, session, 2, "p", 1)
    job.finish_task(1, COMPLETED, 0.0, result=b"r")
    _submit(service, session, 2, "p" * BOUND, 1).finish_task(0, COMPLETED, 0.0)
    assert [each.used_bytes for each in service._open_bytes.values()] == [0]
