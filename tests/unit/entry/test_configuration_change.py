"""Tests of accepted jobs after a change of the configuration."""

import json

import pytest

from cactusgauge import configuration, exceptions, ids, jobs, observability
from cactusgauge.entry import job_service

pytestmark = pytest.mark.looptime

CHEESE = ids.WorkspaceName("cheese")


class ReplaceableConfigSource(configuration.StaticConfigSource):
    """A source whose configuration a test can replace."""

    def replace(self, current: configuration.Configuration) -> None:
        """Apply another configuration."""
        self._current = current


def workspace(**limits: int) -> dict[ids.WorkspaceName, configuration.WorkspaceConfig]:
    return {CHEESE: configuration.WorkspaceConfig(name=CHEESE, **limits)}  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "later", [workspace(max_tasks_per_job=1, max_body_bytes=1), {}], ids=["lower limits", "removed"]
)
async def test_resubmission_attaches_after_a_change(
    later: dict[ids.WorkspaceName, configuration.WorkspaceConfig],
) -> None:
    """Guards against the error `nothing ran` for a job that was accepted under an earlier configuration."""
    source = ReplaceableConfigSource(configuration.Configuration(0, workspace()))
    events = observability.EventRing("test")
    service = job_service.JobService(ids.new_entry_incarnation(), source, observability.Counters(), events)
    session = service.open_session(CHEESE)
    job_id = ids.JobId(session, 1)
    body = json.dumps({"tasks": [{"payload": "a"}, {"payload": "b"}]}).encode()
    job = service.submit(CHEESE, job_id, service.parse(CHEESE, body))
    source.replace(configuration.Configuration(1, later))
    service.apply_configuration()
    assert service.attach(CHEESE, job_id, body) is job
    assert service.dispatcher(CHEESE).open_jobs == [job]
    assert service.attach(CHEESE, ids.JobId(session, 2), body) is None
    with pytest.raises(exceptions.RequestError):
        service.parse(CHEESE, body)
    assert job.state is jobs.JobState.RUNNING
