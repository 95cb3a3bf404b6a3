"""Settings and builders shared by the unit tests."""

import asyncio

import hypothesis

from cactusgauge import configuration, ids, jobs, wire
from cactusgauge.agent import backend_server_lease

# Derandomised, so that every run draws the same examples; no deadline, as results must not depend on timing.
# No shrinking: some tests expect faulty implementations to fail, and a minimal example of that is of no use.
hypothesis.settings.register_profile(
    "cactusgauge",
    derandomize=True,
    deadline=None,
    database=None,
    report_multiple_bugs=False,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("cactusgauge")

WORKSPACE = ids.WorkspaceName("cheese")
OWNER = ids.EntryIncarnation("owner")
SESSION = ids.SessionId("owner-1")


def grant_lease(lease: backend_server_lease.BackendServerLease, url: str, ttl_s: float = 3.0) -> None:
    """Make a lease valid; it takes effect when the server repeats the grant in its next announcement."""
    granted = lease.grant_or_renew("server", url, None, None)
    assert granted is not None
    lease.grant_or_renew("server", url, granted.id, asyncio.get_running_loop().time(), ttl_s)


class FakeLink(wire.Link):
    """A link without a connection that records the posted messages and whether it was aborted."""

    def __init__(self) -> None:
        self.posted: list[wire.Message] = []
        self.aborted = False
        self.workspace = ""

    @property
    def is_suspect(self) -> bool:
        """Always false: a fake link is never silent."""
        return False

    @property
    def is_drained(self) -> bool:
        """Always true, as nothing waits for a transport."""
        return True

    def set_active(self, active: bool) -> None:
        """Ignore the activity, which only affects the heartbeat interval."""

    def post(self, message: wire.Message) -> None:
        """Record a message."""
        self.posted.append(message)

    def abort(self) -> None:
        """Record the abort."""
        self.aborted = True

    def take(self) -> list[wire.Message]:
        """Return the posted messages and clear the record."""
        taken, self.posted = self.posted, []
        return taken


def job_request(count: int = 1, payload: str = "p", digest: bytes = b"d") -> jobs.JobRequest:
    """Return a submission of `count` equal tasks."""
    return jobs.JobRequest([jobs.TaskRequest(payload=payload)] * count, None, digest)


def new_job(number: int = 1, count: int = 1, digest: bytes = b"d", payload: str = "p") -> jobs.Job:
    """Return a job of SESSION that was accepted at time 0 and has a deadline of 10 s."""
    return jobs.Job(ids.JobId(SESSION, number), job_request(count, payload, digest), 0.0, 10_000)


def workspace_config(**changes: object) -> configuration.WorkspaceConfig:
    """Return the configuration of WORKSPACE with the simplest ordering and placement policies."""
    chosen = {"ordering": configuration.OrderingName.ARRIVAL, "placement": configuration.PlacementName.ANY_FREE}
    return configuration.WorkspaceConfig.model_validate({"name": WORKSPACE, **chosen, **changes})


def new_start(task: int = 0, number: int = 1, session: ids.SessionId = SESSION, count: int = 3) -> wire.Start:
    """Return a start of a task."""
    return wire.Start(session, number, task, count, b"d", "default", "p", False, 5_000)


def outcome_of(start: wire.Start, state: jobs.TaskState, reason: str = "", result: bytes = b"") -> wire.Outcome:
    """Return the outcome of a start."""
    return wire.Outcome(start.session, start.number, start.task, state.value, reason, result, 1.0)
