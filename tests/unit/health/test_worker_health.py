"""Tests of quarantine, probes and slow start on simulated time."""

import asyncio

import pytest

from cactusgauge import health, ids, observability
from cactusgauge.health import worker_health

pytestmark = pytest.mark.looptime
FLEET = 4
BAD, GOOD, OTHER, LAST = (ids.AgentName(name) for name in ("bad", "good", "other", "last"))
HEALTHY, QUARANTINED, RETURNING = health.HealthState


class Fleet:
    """Records task outcomes, each of a new job unless a job number is given."""

    def __init__(self) -> None:
        self.events = observability.EventRing("test")
        self.health = health.WorkerHealth(ids.WorkspaceName("w"), observability.Counters(), self.events, lambda: FLEET)
        self._next_job = 1000

    def run(self, name: ids.AgentName, failed: bool, count: int = 1, job: int | None = None, kind: str = "k") -> None:
        """Record `count` equal outcomes of a worker."""
        for _ in range(count):
            self._next_job += 1
            job_id = ids.JobId(ids.SessionId("s"), self._next_job if job is None else job)
            self.health.record(name, job_id, kind, failed)

    def quarantine_bad(self) -> None:
        """Make one worker fail tasks that others complete."""
        self.run(GOOD, False, 8)
        self.run(BAD, True, 4)
        assert self.health.state(BAD) is QUARANTINED

    def max_in_flight(self, name: ids.AgentName) -> int | None:
        """Return the current limit of a worker."""
        return self.health.max_in_flight(name, asyncio.get_running_loop().time())


async def test_worker_that_fails_what_others_complete_is_quarantined_and_recorded() -> None:
    """Guards against a worker that fails every task, therefore appears idle, and attracts more work."""
    fleet = Fleet()

    fleet.quarantine_bad()

    assert fleet.max_in_flight(BAD) == 0
    assert fleet.max_in_flight(GOOD) is None
    events = [event for event in fleet.events.since(0) if event.kind == "worker_quarantined"]
    assert [event.fields["worker"] for event in events] == [BAD]


async def test_single_failures_do_not_quarantine() -> None:
    """Guards against quarantining a healthy worker because of a few failures."""
    fleet = Fleet()
    for _ in range(10):
        fleet.run(GOOD, False, 2)
        fleet.run(GOOD, True)
        fleet.run(OTHER, False, 3)

    assert fleet.health.state(GOOD) is HEALTHY


async def test_failures_of_the_whole_fleet_quarantine_nobody() -> None:
    """Guards against quarantining the whole fleet when the jobs themselves are faulty."""
    fleet = Fleet()
    for _ in range(20):
        for name in (BAD, GOOD, OTHER, LAST):
            fleet.run(name, True)

    assert [fleet.health.state(name) for name in (BAD, GOOD, OTHER, LAST)] == [HEALTHY] * 4


async def test_bad_job_on_one_worker_is_no_evidence() -> None:
    """Guards against attributing the failures of one large faulty job to the worker that runs it."""
    fleet = Fleet()
    fleet.run(GOOD, False, 8)

    fleet.run(BAD, True, 16, job=1)

    assert fleet.health.state(BAD) is HEALTHY


async def test_job_that_completes_elsewhere_is_evidence() -> None:
    """Guards against missing a faulty worker whose tasks all belong to one large job."""
    fleet = Fleet()
    fleet.run(GOOD, False, 2, job=1)

    fleet.run(BAD, True, 4, job=1)

    assert fleet.health.state(BAD) is QUARANTINED


async def test_at_most_half_of_the_fleet_is_quarantined() -> None:
    """Guards against losing most of the capacity because of wrong quarantine decisions."""
    fleet = Fleet()
    for number, name in enumerate((BAD, GOOD, OTHER, LAST)):
        fleet.run(name, True, 4, kind=str(number))

    assert fleet.health.quarantined == [BAD, GOOD]


async def test_probes_are_single_and_back_off_while_they_fail() -> None:
    """Guards against a faulty worker that fails one task every second."""
    fleet = Fleet()
    fleet.quarantine_bad()
    fleet.run(BAD, True, 4)  # sent before the quarantine
    interval_s = worker_health.FIRST_PROBE_INTERVAL_S
    while interval_s < worker_health.MAX_PROBE_INTERVAL_S:
        await asyncio.sleep(interval_s - 0.01)
        assert fleet.max_in_flight(BAD) == 0
        await asyncio.sleep(0.02)
        assert fleet.max_in_flight(BAD) == 1
        fleet.run(BAD, True)
        interval_s = min(interval_s * 2, worker_health.MAX_PROBE_INTERVAL_S)
    await asyncio.sleep(worker_health.MAX_PROBE_INTERVAL_S + 0.01)
    assert fleet.max_in_flight(BAD) == 1


async def test_return_is_a_slow_start_that_ends_at_a_failure() -> None:
    """Guards against giving a returning worker its full load before it has completed enough tasks."""
    fleet = Fleet()
    fleet.quarantine_bad()
    await asyncio.sleep(worker_health.FIRST_PROBE_INTERVAL_S)
    limits = []
    while fleet.health.state(BAD) is not HEALTHY:
        fleet.run(BAD, False)
        limits.append(fleet.max_in_flight(BAD))
    assert limits == [1, 2, 2, 4, 4, 4, 4, *[8] * 8, None][: len(limits)]
    assert [event.kind for event in fleet.events.since(0)][-2:] == ["worker_returning", "worker_healthy"]

    relapsed = Fleet()
    relapsed.quarantine_bad()
    await asyncio.sleep(worker_health.FIRST_PROBE_INTERVAL_S)
    relapsed.run(BAD, False)
    relapsed.run(BAD, True)
    assert relapsed.health.state(BAD) is QUARANTINED


async def test_worker_returns_when_the_fleet_shares_its_failures() -> None:
    """Guards against a quarantine that continues after the whole fleet shows the same failures."""
    fleet = Fleet()
    fleet.quarantine_bad()
    for name in (GOOD, OTHER, LAST):
        fleet.run(name, True, 16)
    await asyncio.sleep(worker_health.FIRST_PROBE_INTERVAL_S)

    fleet.run(BAD, True)

    assert fleet.health.state(BAD) is RETURNING
