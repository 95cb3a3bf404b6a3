import asyncio
from typing import Any

import pytest

from cactusgauge import client, ids

FIRST, SECOND, NEW = "http://first", "http://second", "new-1"
ANSWER = {"state": "complete", "tasks": [{"index": 0, "state": "completed"}]}
RUNNING = {"state": "running", "open_tasks": 1}


def refusal(code: str, ran: str = "nothing") -> dict[str, Any]:
    return {"code": code, "message": "m", "ran": ran}


class ScriptedClient(client.EntryClient):
    """Returns prepared replies, which name the requested job unless they say otherwise, and records the requests."""

    def __init__(self, *replies: tuple[int, dict[str, Any]] | None) -> None:
        self._replies = list(replies)
        self.requests: list[tuple[str, str]] = []

    async def request(
        self, method: str, url: str, body: bytes = b"", wait_s: float | None = None
    ) -> client.EntryReply | None:
        """Return the next prepared reply."""
        self.requests.append((method, url))
        await asyncio.sleep(0)
        reply = self._replies.pop(0)
        if reply is None:
            return None
        status, document = reply
        if status in (200, 202):
            session, _, number = url.partition("/sessions/")[2].partition("/jobs/")
            document = {"session": session, "job": int(number), **document}
        return client.EntryReply(url, status, document)


async def submit(
    scripted: ScriptedClient, never_sent: bool = True, timeout_s: float = 2
) -> tuple[client.JobResult, int]:
    new_sessions = 0

    async def open_new_session() -> client.JobRef:
        nonlocal new_sessions
        new_sessions += 1
        return client.JobRef(ids.SessionId(NEW), 1, never_sent=True)

    jobs = client.JobClient(scripted, [FIRST, SECOND], "cheese")
    job = client.JobRef(ids.SessionId("old"), 7, never_sent)
    return await jobs.submit(job, b"{}", timeout_s, open_new_session), new_sessions


async def test_lost_reply_is_repeated_at_another_entry_for_the_same_session_and_number() -> None:
    """Guards against a lost reply causing a second run of the job under another number."""
    scripted = ScriptedClient(None, (200, ANSWER))
    result, new_sessions = await submit(scripted)
    assert (result.outcome, new_sessions) == (client.Outcome.COMPLETE, 0)
    path = "/v1/workspaces/cheese/sessions/old/jobs/7"
    assert scripted.requests == [("PUT", FIRST + path), ("PUT", SECOND + path)]


@pytest.mark.parametrize(
    ("before", "code", "never_sent", "expects_new_session"),
    [
        ([], "draining", True, True),
        ([None], "draining", True, True),  # if the lost request had been accepted, the owner would return that job
        ([None], "session_closed", False, True),
        ([], "session_expired", True, True),
        ([None], "session_expired", True, False),
        ([], "session_expired", False, False),
        ([], "job_expired", True, False),
        ([(202, RUNNING)], "session_closed", True, False),
        ([(202, RUNNING), None], "draining", True, False),
    ],
)
async def test_new_session_only_for_a_job_that_provably_did_not_run(
    before: list[Any], code: str, never_sent: bool, expects_new_session: bool
) -> None:
    """Guards against a second run, in a new session, of a job that may already have run."""
    status = 503 if code == "draining" else 410
    ran = "unknown" if code.endswith("expired") else "nothing"
    scripted = ScriptedClient(*before, (status, refusal(code, ran)), (200, ANSWER))
    result, new_sessions = await submit(scripted, never_sent)
    if expects_new_session:
        assert (result.outcome, result.job.session, new_sessions) == (client.Outcome.COMPLETE, NEW, 1)
    else:
        assert (result.outcome, new_sessions) == (client.Outcome.UNKNOWN, 0)


@pytest.mark.parametrize(
    ("replies", "never_sent", "outcome"),
    [
        ([(503, refusal("overloaded"))], True, client.Outcome.REFUSED),
        ([None], True, client.Outcome.UNKNOWN),
        ([(504, refusal("owner_slow", "unknown"))], True, client.Outcome.UNKNOWN),
        ([(0, refusal("no_connection"))], True, client.Outcome.REFUSED),
        ([(0, refusal("no_connection"))], False, client.Outcome.UNKNOWN),
        ([(409, refusal("job_conflict"))], False, client.Outcome.REFUSED),
        ([(413, refusal("too_many_tasks"))], True, client.Outcome.REFUSED),
        ([(413, refusal("too_many_tasks"))], False, client.Outcome.UNKNOWN),
        ([(200, {**ANSWER, "state": "failed"})], True, client.Outcome.FAILED),
        ([(200, {"state": "failed", "tasks": [{"state": "unknown"}]})], True, client.Outcome.UNKNOWN),
        ([(202, RUNNING)], True, client.Outcome.RUNNING),
    ],
)
async def test_outcome_claims_no_more_than_is_proven(
    replies: list[Any], never_sent: bool, outcome: client.Outcome
) -> None:
    """Guards against reporting that nothing ran after a request whose outcome is unknown."""
    result, new_sessions = await submit(ScriptedClient(*replies), never_sent, timeout_s=0)
    assert (result.outcome, new_sessions) == (outcome, 0)


async def test_wait_sends_the_body_again_after_a_lost_reply() -> None:
    """Guards against a recovery that misses tasks of the job because it did not receive the body."""
    scripted = ScriptedClient((202, RUNNING), None, (200, ANSWER))
    result, _ = await submit(scripted)
    assert [method for method, _ in scripted.requests] == ["PUT", "GET", "PUT"]
    assert result.outcome is client.Outcome.COMPLETE


async def test_session_is_opened_at_the_next_entry_while_one_drains() -> None:
    """Guards against a draining entry that prevents callers from reaching the other entries."""
    scripted = ScriptedClient((503, refusal("draining")), (201, {"session": NEW}))
    assert await client.JobClient(scripted, [FIRST, SECOND], "cheese").open_session(2) == NEW


@pytest.mark.parametrize(
    "odd",
    [
        (200, {**ANSWER, "session": "other"}),
        (200, {**ANSWER, "job": 8}),
        (200, {"state": "complete"}),
        (200, {"state": "complete", "tasks": [{}]}),
        (200, {"state": "complete", "tasks": [None]}),
        (202, {**RUNNING, "job": 8}),
    ],
    ids=["other session", "other job", "no tasks", "task without a state", "odd task", "progress of another job"],
)
async def test_answer_that_is_not_whole_or_of_another_job_counts_as_lost(odd: tuple[int, dict[str, Any]]) -> None:
    """Guards against showing a caller the answer of another job, and against an error for one that is not whole."""
    scripted = ScriptedClient(odd, (200, ANSWER))
    result, _ = await submit(scripted)
    assert result.outcome is client.Outcome.COMPLETE
    assert result.answer == {"session": "old", "job": 7, **ANSWER}
    assert [method for method, _ in scripted.requests] == ["PUT", "PUT"]
