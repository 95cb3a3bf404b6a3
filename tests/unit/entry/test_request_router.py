import json
from typing import TYPE_CHECKING

import pytest

from cactusgauge import configuration, exceptions, ids, jobs, observability, wire
from cactusgauge.entry import (
    agent_links,
    caller_request,
    forwarder,
    hand_over_store,
    job_recovery,
    job_service,
    membership,
    request_router,
)
from tests.unit import conftest

if TYPE_CHECKING:
    import aiohttp

WORKSPACE = conftest.WORKSPACE
BODY = json.dumps({"tasks": [{"payload": ""}, {"payload": ""}]}).encode()


class ReplaceableConfigSource(configuration.StaticConfigSource):
    """A source whose configuration a test can replace."""

    def set_max_tasks(self, max_tasks: int) -> None:
        """Apply a limit on the tasks of a job."""
        config = conftest.workspace_config(max_tasks_per_job=max_tasks)
        self._current = configuration.Configuration(0, {WORKSPACE: config})


class SingleEntryRouter(request_router.RequestRouter):
    """Router of an entry without agents and peers."""

    def __init__(self, session: "aiohttp.ClientSession") -> None:
        events, counters = observability.EventRing("entry"), observability.Counters()
        self.source = ReplaceableConfigSource(None)
        self.source.set_max_tasks(340)
        self.own = ids.new_entry_incarnation()
        info = wire.EntryInfo(
            ids.EntryName("entry"), self.own, "", "", ids.DataCentreName("serra"), [WORKSPACE], 1, True
        )
        members = membership.Membership(info)
        service = job_service.JobService(self.own, self.source, counters, events)
        recovery = job_recovery.JobRecovery(agent_links.AgentLinks(members, service, events), events)
        self.store = hand_over_store.HandOverStore()
        super().__init__(members, service, self.store, recovery, forwarder.Forwarder(session))

    async def ask(
        self, method: caller_request.Method, session: str, workspace: ids.WorkspaceName = WORKSPACE
    ) -> caller_request.Reply:
        """Send a request about job 1."""
        job = ids.JobId(ids.SessionId(session), 1)
        return await self.handle(
            caller_request.CallerRequest(method, workspace, job, BODY, 0, caller_request.Hop.CALLER)
        )


@pytest.fixture
def router() -> SingleEntryRouter:
    return SingleEntryRouter(None)  # type: ignore[arg-type]  # without peers nothing is forwarded


@pytest.mark.parametrize("method", list(caller_request.Method))
async def test_refusal_for_a_lost_owner_does_not_claim_that_nothing_ran(
    router: SingleEntryRouter, method: caller_request.Method
) -> None:
    """Guards against a caller running a job again because an entry without a record of it answered `nothing`."""
    with pytest.raises(exceptions.RequestError) as caught:
        await router.ask(method, "lost-1")
    assert caught.value.ran is exceptions.ExecutionStatus.UNKNOWN


async def test_resubmission_after_lowered_limits_attaches_to_the_accepted_job(router: SingleEntryRouter) -> None:
    """Guards against the error `too_many_tasks, nothing ran` for a job that is running or has run."""
    session = json.loads((await router.open_session(WORKSPACE, caller_request.Hop.CALLER)).body)["session"]
    first = await router.ask(caller_request.Method.SUBMIT, session)
    router.source.set_max_tasks(1)
    assert (await router.ask(caller_request.Method.SUBMIT, session)) == first
    new_session = json.loads((await router.open_session(WORKSPACE, caller_request.Hop.CALLER)).body)["session"]
    with pytest.raises(exceptions.TooManyTasksError) as caught:
        await router.ask(caller_request.Method.SUBMIT, new_session)
    assert caught.value.ran is exceptions.ExecutionStatus.NOTHING_RAN


async def test_expired_session_does_not_claim_that_nothing_ran(router: SingleEntryRouter) -> None:
    """Guards against a caller running a job again whose session was dropped after it ran."""
    with pytest.raises(exceptions.SessionExpiredError) as session_expired:
        await router.ask(caller_request.Method.SUBMIT, f"{router.own}-dropped")
    assert session_expired.value.ran is exceptions.ExecutionStatus.UNKNOWN


@pytest.mark.parametrize("method", list(caller_request.Method))
async def test_handed_over_session_is_unknown_to_other_workspaces(
    router: SingleEntryRouter, method: caller_request.Method
) -> None:
    """Guards against an answer that another workspace gets, after a planned stop of the session's owner."""
    digest = jobs.JobRequestParser.digest(BODY)
    session = ids.SessionId("stopped-1")
    router.store.add([wire.HandOverSession(session, WORKSPACE, 0, [wire.HandOverJob(1, digest, b"{}")])])
    assert (await router.ask(method, session)).status == 200
    with pytest.raises(exceptions.SessionExpiredError):
        await router.ask(method, session, ids.WorkspaceName("criers"))
