import asyncio

import pytest

from cactusgauge import ids, runs, scheduling
from emulator import leased_worker
from tests.unit.runs import conftest

pytestmark = pytest.mark.looptime

DONE = scheduling.EndKind.DONE
NOT_STARTED = scheduling.EndKind.NOT_STARTED
STOPPED = scheduling.EndKind.STOPPED
LOST = scheduling.EndKind.LOST


async def test_run_ends_as_done() -> None:
    """Guards against an end that is not reported to the owner."""
    harness = conftest.ControllerHarness()
    async with harness.serving():
        harness.start(conftest.run_key())
        await harness.renew_grant(0.5)
    assert harness.ends[0][0] == conftest.OWNER
    assert harness.end_kinds() == [DONE]
    assert harness.ends[0][1].ran_s == pytest.approx(0.2, abs=0.05)


async def test_long_run_outlives_many_leases() -> None:
    """Guards against a lease that expires although the owner renews its grant."""
    harness = conftest.ControllerHarness(duration_s=5.0)
    async with harness.serving():
        harness.start(conftest.run_key())
        await harness.renew_grant(6.0)
    assert harness.end_kinds() == [DONE]


async def test_capacity_is_never_exceeded() -> None:
    """Guards against a start that exceeds the worker's capacity."""
    harness = conftest.ControllerHarness()
    async with harness.serving():
        for number in range(6):
            harness.start(conftest.run_key(number))
        await harness.renew_grant(0.1)
        assert len(harness.worker.running) == 4
        assert harness.end_reasons() == ["no_room", "no_room"]


async def test_stopped_run_keeps_its_capacity_until_its_end_is_listed() -> None:
    """Guards against a start that uses the capacity of a run that is still being stopped."""
    harness = conftest.ControllerHarness(duration_s=3.0)
    async with harness.serving():
        harness.start(conftest.run_key(), cores=4)
        await harness.renew_grant(0.1)
        harness.controller.stop([conftest.run_key()], "canceled")
        harness.start(conftest.run_key(1), cores=4)
        await harness.renew_grant(0.2)
        harness.start(conftest.run_key(2), cores=4)
        await harness.renew_grant(0.1)
        assert harness.worker.running == [conftest.run_key(2)]
    assert harness.end_kinds() == [NOT_STARTED, STOPPED]


async def test_runs_of_a_silent_entry_are_gone_before_its_callers_return() -> None:
    """Guards against two runs of a task when callers of a lost entry send their jobs to another entry."""
    harness = conftest.ControllerHarness(duration_s=10.0)
    async with harness.serving():
        harness.start(conftest.run_key())
        await harness.renew_grant(0.3)
        await asyncio.sleep(0.8)
        assert harness.worker.running == []
    assert harness.end_reasons() == ["grant_ended"]


async def test_runs_of_an_entry_and_an_agent_lost_at_once_are_gone_before_callers_return() -> None:
    """Guards against a lease that outlives the time after which callers send their jobs again."""
    harness = conftest.ControllerHarness(duration_s=10.0)
    async with harness.serving():
        harness.start(conftest.run_key())
        await harness.renew_grant(0.3)
        await asyncio.sleep(conftest.TIMING.grant_s - 0.15)  # the agent is lost just before it stops the runs
    await asyncio.sleep(1.3 - conftest.TIMING.grant_s)
    assert harness.worker.running == []


async def test_start_with_an_old_stamp_is_refused() -> None:
    """Guards against a start from a suspended entry whose callers have already moved to another one."""
    harness = conftest.ControllerHarness()
    async with harness.serving():
        await asyncio.sleep(2.0)
        harness.start(conftest.run_key(), stamped_at=asyncio.get_running_loop().time() - 0.7)
    assert harness.end_reasons() == ["stale_order"]
    assert not harness.worker.starts


async def test_start_without_a_reply_is_stopped_before_its_capacity_is_reused() -> None:
    """Guards against a start that is executed seconds late, while another run already uses its capacity."""
    harness = conftest.ControllerHarness(duration_s=5.0)
    async with harness.serving():
        harness.worker.delays_requests = True
        harness.start(conftest.run_key(), cores=4)
        await harness.renew_grant(0.6)
        harness.start(conftest.run_key(1), cores=4)
        assert harness.end_reasons() == ["no_room"]
        harness.worker.delays_requests = False
        await harness.renew_grant(0.5)
        harness.start(conftest.run_key(2), cores=4)
        await harness.renew_grant(0.1)
        for deliver in harness.worker.delayed_requests:
            deliver()
        assert harness.worker.running == [conftest.run_key(2)]


async def test_start_whose_reply_is_lost_is_repeated() -> None:
    """Guards against a run that is discarded because the reply to its start was lost."""
    harness = conftest.ControllerHarness()
    async with harness.serving():
        harness.worker.drops_replies = True
        harness.start(conftest.run_key())
        await harness.renew_grant(0.1)
        harness.worker.drops_replies = False
        await harness.renew_grant(0.6)
    assert harness.end_kinds() == [DONE]
    assert len(harness.worker.starts) == 1


async def test_second_run_of_a_task_waits_for_the_first() -> None:
    """Guards against two runs of one task on one worker."""
    harness = conftest.ControllerHarness()
    async with harness.serving():
        harness.start(conftest.run_key(run=1))
        harness.start(conftest.run_key(run=2))
        await harness.renew_grant(0.1)
    assert harness.end_reasons()[0] == "task_is_running"
    assert [key.run for key, _ in harness.worker.starts] == [1]


async def test_new_agent_stops_the_runs_of_the_earlier_one_before_it_accepts_runs() -> None:
    """Guards against a worker loaded beyond its capacity after a restart of its agent."""
    harness = conftest.ControllerHarness(duration_s=10.0)
    async with harness.serving():
        harness.start(conftest.run_key(), cores=4)
        await harness.renew_grant(0.1)
    harness.controller = harness.new_controller()
    async with harness.controller:
        harness.send_heartbeat()
        assert harness.controller.report().phase is scheduling.WorkerPhase.ABSENT
        await asyncio.sleep(0.1)
        assert harness.controller.report().phase is scheduling.WorkerPhase.READY
        assert harness.worker.running == []


async def test_starts_of_an_earlier_agent_are_fenced() -> None:
    """Guards against a delayed start of an earlier agent process that is executed after the next process began."""
    harness = conftest.ControllerHarness(duration_s=10.0)
    async with harness.serving():
        harness.worker.delays_requests = True
        harness.start(conftest.run_key())
        await harness.renew_grant(0.05)
    harness.worker.delays_requests = False
    harness.controller = harness.new_controller()
    async with harness.controller:
        harness.send_heartbeat()
        await asyncio.sleep(0.1)
        for deliver in harness.worker.delayed_requests:
            deliver()
        assert harness.worker.running == []


async def test_restarted_worker_ends_all_runs() -> None:
    """Guards against waiting for runs whose worker has restarted under the same id."""
    harness = conftest.ControllerHarness(duration_s=10.0)
    async with harness.serving():
        harness.start(conftest.run_key())
        await harness.renew_grant(0.1)
        harness.worker.restart()
        harness.duration_s = 0.1
        harness.send_heartbeat(incarnation=2, sequence=1)
        await asyncio.sleep(0.2)  # a listing shows that the new incarnation does not have the run
        assert harness.end_kinds() == [LOST]
        generation = harness.controller.report().generation
        harness.send_heartbeat(incarnation=1, sequence=99)  # a late one of the earlier incarnation
        await asyncio.sleep(0.3)
        assert harness.controller.report().generation == generation
        assert harness.controller.phase is scheduling.WorkerPhase.READY
        harness.start(conftest.run_key(run=2))
        await harness.renew_grant(0.3)
    assert harness.end_kinds() == [LOST, DONE]


async def test_silent_worker_loses_its_runs_when_its_lease_is_over() -> None:
    """Guards against waiting forever for runs, or restarting them too early, while a worker is unreachable."""
    harness = conftest.ControllerHarness(duration_s=10.0)
    async with harness.serving():
        harness.start(conftest.run_key())
        await harness.renew_grant(0.2)
        harness.worker.delays_requests = True
        await harness.renew_grant(0.4)
        assert harness.end_kinds() == []
        await harness.renew_grant(1.0)
        assert harness.end_kinds() == [LOST]
        assert harness.worker.running == []


@pytest.mark.parametrize("how", ["heartbeat", "leave", "stop"])
async def test_draining_worker_accepts_no_runs(how: str) -> None:
    """Guards against new runs on a worker that is about to stop or whose agent is stopping."""
    harness = conftest.ControllerHarness()
    async with harness.serving():
        harness.start(conftest.run_key())
        await harness.renew_grant(0.05)
        if how == "heartbeat":
            harness.send_heartbeat(is_draining=True)
        elif how == "leave":
            harness.controller.handle_leave(ids.WorkerId("w"))
        else:
            harness.controller.drain()
        harness.start(conftest.run_key(1))
        await harness.renew_grant(0.4)
    assert harness.end_reasons()[0] == "worker_draining"
    assert harness.end_kinds() == [NOT_STARTED, DONE]


async def test_worker_that_hangs_is_reported_as_slow() -> None:
    """Guards against more runs on a worker whose tasks never end."""
    harness = conftest.ControllerHarness(duration_s=100.0)
    async with harness.serving():
        for number in range(3):
            harness.start(conftest.run_key(number))
        await harness.renew_grant(1.0)
        assert harness.controller.report().slowness > 3


def test_grant_and_lease_end_before_callers_return() -> None:
    """Guards against durations that add up to more than the time after which callers send their jobs again."""
    for resend_s in (0.8, 1.3, 3.0):
        timing = runs.run_timing(resend_s, 1.0, 0.05)
        assert timing.runs_gone_after_s < resend_s
        assert timing.lease_s <= 1.0


@pytest.mark.parametrize("noticed_by", ["listing", "heartbeat"])
async def test_run_that_reached_a_restarted_worker_is_gone_before_it_is_reported_as_lost(noticed_by: str) -> None:
    """Guards against two runs of a task after a worker has restarted under the same id (soak, seed 4)."""
    harness = conftest.ControllerHarness(duration_s=5.0)
    async with harness.serving():
        harness.start(conftest.run_key(position=1))
        await harness.renew_grant(0.1)
        harness.worker.restart()
        harness.start(conftest.run_key(position=2))
        await asyncio.sleep(0.01)
        assert harness.worker.running == [conftest.run_key(position=2)]
        if noticed_by == "heartbeat":
            harness.send_heartbeat(incarnation=2, sequence=1)
            assert conftest.run_key(position=2) not in [end.key for _, end in harness.ends]
        loop = asyncio.get_running_loop()
        until = loop.time() + 1.0
        while len(harness.ends) < 2 and loop.time() < until:
            await asyncio.sleep(0.001)
            reported = [end.key for _, end in harness.ends]
            assert not set(reported) & set(harness.worker.running)
        assert {end.key for _, end in harness.ends} == {conftest.run_key(position=1), conftest.run_key(position=2)}


async def test_start_is_not_repeated_at_a_worker_that_restarted_under_its_id() -> None:
    """Guards against a start on a worker of another kind, as the retry of a lost request to the earlier one."""
    harness = conftest.ControllerHarness(duration_s=5.0)
    async with harness.serving():
        harness.worker.delays_requests = True
        harness.start(conftest.run_key())
        await harness.renew_grant(0.05)
        harness.worker.delays_requests = False
        harness.worker.restart()
        harness.send_heartbeat(incarnation=2, sequence=1)
        await harness.renew_grant(0.5)
        assert not harness.worker.starts
    assert harness.end_kinds() == [LOST]


async def test_run_that_reached_a_worker_restarted_under_its_id_is_stopped() -> None:
    """Guards against a run that goes on at a worker of another kind, or beyond the capacity that was reported."""
    harness = conftest.ControllerHarness(duration_s=5.0)
    async with harness.serving():
        harness.worker.restart()
        harness.start(conftest.run_key())
        await asyncio.sleep(0.01)
        assert harness.worker.running == [conftest.run_key()]
        harness.send_heartbeat(incarnation=2, sequence=1)
        await harness.renew_grant(0.5)
        assert not harness.worker.running
    assert harness.end_reasons() == ["worker_changed"]


async def test_stop_follows_a_worker_that_restarted_at_another_address() -> None:
    """Guards against a run that is never stopped, and whose capacity is never free, as its stop goes to no worker."""
    harness = conftest.ControllerHarness(duration_s=5.0)
    async with harness.serving():
        harness.start(conftest.run_key(), cores=4)
        await harness.renew_grant(0.1)
        earlier = harness.worker
        earlier.crash()
        harness.controller.stop([conftest.run_key()], "canceled")
        await harness.renew_grant(0.1)
        harness.worker = leased_worker.LeasedWorker(lambda key: 5.0, incarnation=2)
        harness.send_heartbeat(incarnation=2, sequence=1, address="10.0.0.2:80")
        await harness.renew_grant(0.5)
        harness.start(conftest.run_key(1), cores=4)
        await harness.renew_grant(0.1)
        assert harness.worker.running == [conftest.run_key(1)]


async def test_worker_that_restarted_under_its_id_does_not_fence_its_agent() -> None:
    """Guards against a new token that is lower than the one that a restarted worker has received from its agent."""
    harness = conftest.ControllerHarness()
    async with harness.serving():
        await asyncio.sleep(0.5)  # the token follows the worker's clock
        harness.start(conftest.run_key(position=1))
        await harness.renew_grant(0.05)
        harness.worker.restart()
        harness.start(conftest.run_key(position=2))  # the new incarnation receives the token with this start
        await asyncio.sleep(0.01)
        harness.send_heartbeat(incarnation=2, sequence=1)
        await harness.renew_grant(0.2)
        assert harness.controller.phase is scheduling.WorkerPhase.READY
        harness.start(conftest.run_key(position=3))
        await harness.renew_grant(0.05)
        assert conftest.run_key(position=3) in harness.worker.running


async def test_higher_token_of_an_unknown_agent_is_exceeded_in_few_steps() -> None:
    """Guards against hundreds of refused requests when a worker has seen a far higher token."""
    harness = conftest.ControllerHarness()
    await harness.worker.poll(1_000_000, 0, None, 0.0)
    async with harness.serving():
        await asyncio.sleep(0.3)
        assert harness.controller.phase is scheduling.WorkerPhase.READY
    raised = [event for event, _ in harness.events if event == "fencing_token_raised"]
    assert len(raised) <= 30


class _ReplacedWorker(leased_worker.LeasedWorker):
    """Answers with a delay, as another worker at the same address would."""

    async def start(self, request: runs.StartRequest) -> runs.StartReply:
        await asyncio.sleep(0.4)
        raise runs.WrongWorkerError("another worker answers")


class _WorkerDeafToStops(leased_worker.LeasedWorker):
    """Neither carries out nor answers stops."""

    async def stop(self, key: ids.RunKey, fencing_token: int) -> None:
        await asyncio.sleep(0.15)
        raise runs.WorkerCallError("no response")


async def test_run_whose_stop_is_never_answered_is_gone_before_its_caller_returns() -> None:
    """Guards against two runs of a task, as the lease that other runs need keeps the first one at work."""
    harness = conftest.ControllerHarness()
    harness.worker = _WorkerDeafToStops(lambda key: 10.0)
    async with harness.serving():
        harness.start(conftest.run_key(0))
        harness.start(conftest.run_key(1))
        await harness.renew_grant(0.5)
        harness.controller.stop([conftest.run_key(0)], "canceled")
        for number in range(2, 8):  # a start extends the lease as well
            await harness.renew_grant((conftest.TIMING.runs_gone_after_s - conftest.TIMING.grant_s) / 6)
            harness.start(conftest.run_key(number))
        assert conftest.run_key(0) not in harness.worker.running


async def test_late_reply_to_an_earlier_worker_does_not_end_the_runs_of_its_successor() -> None:
    """Guards against runs that are reported as lost, and started elsewhere, while the new worker runs them."""
    harness = conftest.ControllerHarness(duration_s=2.0)
    harness.worker = _ReplacedWorker(lambda key: 2.0)
    async with harness.serving():
        harness.start(conftest.run_key(position=1))
        await asyncio.sleep(0.02)
        harness.worker = leased_worker.LeasedWorker(lambda key: 2.0, incarnation=2)
        harness.send_heartbeat(incarnation=2, worker="successor")
        await asyncio.sleep(0.25)  # until the pending request to the earlier worker has ended
        harness.start(conftest.run_key(position=2))
        await harness.renew_grant(0.3)
        assert harness.worker.running == [conftest.run_key(position=2)]
        assert [end.key.position for _, end in harness.ends] == [1]


class _PausableLoop:
    """Moves the loop's clock ahead without running callbacks, as a pause of the whole process does."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        loop = asyncio.get_running_loop()
        self._running_time = loop.time
        self._paused_s = 0.0
        monkeypatch.setattr(loop, "time", lambda: self._running_time() + self._paused_s)

    def pause(self, seconds: float) -> None:
        """Let the given time pass while no callback runs."""
        self._paused_s += seconds


@pytest.mark.parametrize("paused_s", [1.0, 3.0, 10.0])
async def test_start_is_not_repeated_after_a_pause_that_outlasted_the_grant(
    paused_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a start for an entry whose callers have moved on while this process was paused."""
    harness = conftest.ControllerHarness(duration_s=5.0)
    async with harness.serving():
        loop = _PausableLoop(monkeypatch)
        reply: asyncio.Future[runs.StartReply] = asyncio.get_running_loop().create_future()
        requests: list[runs.StartRequest] = []

        async def start(request: runs.StartRequest) -> runs.StartReply:
            requests.append(request)
            return await reply

        monkeypatch.setattr(harness.worker, "start", start)
        harness.start(conftest.run_key())
        await asyncio.sleep(0)
        assert len(requests) == 1
        loop.pause(paused_s)
        reply.set_exception(runs.WorkerCallError("no response"))
        await asyncio.sleep(1.0)
    assert len(requests) == 1
    assert harness.end_reasons()[0] == "grant_ended"


async def test_lease_is_not_renewed_after_a_pause_that_outlasted_the_grant(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against runs that outlive the grant because a paused agent renews their lease before it stops them."""
    harness = conftest.ControllerHarness(duration_s=20.0)
    async with harness.serving():
        loop = _PausableLoop(monkeypatch)
        harness.start(conftest.run_key())
        await harness.renew_grant(0.3)
        leases: list[float | None] = []
        reply: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        poll = harness.worker.poll

        async def recorded_poll(
            fencing_token: int, acknowledged: int, lease_until_s: float | None, wait_s: float
        ) -> runs.WorkerListing:
            leases.append(lease_until_s)
            if len(leases) == 1:
                await reply
            return await poll(fencing_token, acknowledged, lease_until_s, wait_s)

        monkeypatch.setattr(harness.worker, "poll", recorded_poll)
        await harness.renew_grant(0.3)
        assert len(leases) == 1
        loop.pause(conftest.TIMING.grant_s)
        reply.set_result(None)
        await asyncio.sleep(0.5)
    assert len(leases) >= 2
    assert leases[1:] == [None] * (len(leases) - 1)


async def test_unexpected_error_of_a_poll_does_not_end_the_polling(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one malformed reply after which the lease is never renewed and no end is noticed."""
    harness = conftest.ControllerHarness()
    async with harness.serving():
        poll = harness.worker.poll
        calls: list[int] = []

        async def failing_poll(
            fencing_token: int, acknowledged: int, lease_until_s: float | None, wait_s: float
        ) -> runs.WorkerListing:
            calls.append(acknowledged)
            if len(calls) == 1:
                raise IndexError("list index out of range")
            return await poll(fencing_token, acknowledged, lease_until_s, wait_s)

        monkeypatch.setattr(harness.worker, "poll", failing_poll)
        harness.start(conftest.run_key())
        await harness.renew_grant(1.0)
    assert harness.end_kinds() == [DONE]
    assert [event for event, _ in harness.events if event == "loop_failed"] == ["loop_failed"]


async def test_crash_is_noticed_within_one_lease() -> None:
    """Guards against a lease that refused requests extend although the worker never received them."""
    harness = conftest.ControllerHarness(duration_s=10.0)
    async with harness.serving():
        harness.start(conftest.run_key())
        await harness.renew_grant(0.3)
        harness.worker.crash()
        await harness.renew_grant(0.8)  # a lease is 0.563 s, on a clock that may be 2 % slow
        assert harness.end_kinds() == [LOST]


async def test_crash_names_the_tasks_that_had_just_started() -> None:
    """Guards against a crash that is put down to tasks which had been running for long."""
    harness = conftest.ControllerHarness(duration_s=10.0)
    async with harness.serving():
        harness.start(conftest.run_key(0))
        await harness.renew_grant(0.3)
        harness.start(conftest.run_key(1))
        await asyncio.sleep(0.02)
        harness.worker.crash()
        await harness.renew_grant(0.8)
    assert harness.crashes == [([conftest.run_key(1).task], [], [conftest.run_key(0).task])]


async def test_start_that_crashes_the_worker_is_named() -> None:
    """Guards against a crash whose cause is unknown because its start got no reply."""
    harness = conftest.ControllerHarness()
    harness.worker.crashing_jobs.add(ids.JobKey("j"))
    async with harness.serving():
        harness.start(conftest.run_key())
        await harness.renew_grant(0.8)
    assert harness.crashes == [([conftest.run_key().task], [], [])]
    assert harness.end_kinds() == [LOST]


async def test_starts_without_a_reply_before_a_crash_are_unconfirmed() -> None:
    """Guards against a crash that is put down to a task which the worker never started."""
    harness = conftest.ControllerHarness(duration_s=10.0)
    harness.worker.crashing_jobs.add(ids.JobKey("deadly"))
    async with harness.serving():
        harness.start(conftest.run_key(0))
        await asyncio.sleep(0.01)
        harness.start(conftest.run_key(job="deadly"))
        harness.start(conftest.run_key(1))
        await harness.renew_grant(0.9)
    (crash,) = harness.crashes
    assert crash.recent == [conftest.run_key(0).task]
    assert conftest.run_key(job="deadly").task in crash.unconfirmed


async def test_crash_of_a_worker_that_is_back_at_once_is_reported() -> None:
    """Guards against a task that crashes workers which restart before their lease is over."""
    harness = conftest.ControllerHarness(duration_s=10.0)
    async with harness.serving():
        harness.start(conftest.run_key())
        await asyncio.sleep(0.02)
        harness.worker.restart()
        harness.send_heartbeat(incarnation=2, sequence=1)
        await harness.renew_grant(0.2)
    assert harness.crashes == [([conftest.run_key().task], [], [])]


async def test_crash_of_a_worker_that_restarts_twice_is_reported_once() -> None:
    """Guards against a job that is given up for two crashes although its task was started once.

    A restart under the same id keeps the runs until a listing shows that they are gone.
    """
    harness = conftest.ControllerHarness(duration_s=10.0)
    async with harness.serving():
        harness.start(conftest.run_key())
        await asyncio.sleep(0.02)
        harness.worker.restart()
        harness.send_heartbeat(incarnation=2, sequence=1)
        await asyncio.sleep(0.0015)  # the next listing, which shows that the run is gone, takes another millisecond
        assert not harness.ends
        harness.worker.restart()
        harness.send_heartbeat(incarnation=3, sequence=1, worker="w2")
        await harness.renew_grant(0.2)
    assert harness.crashes == [([conftest.run_key().task], [], [])]
    assert harness.end_kinds() == [LOST]


async def test_start_that_another_worker_refused_has_crashed_none(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a job that is given up for a crash before its task was started.

    A worker that has restarted at the same address refuses requests for its predecessor.
    """
    harness = conftest.ControllerHarness(duration_s=10.0)
    async with harness.serving():
        harness.start(conftest.run_key(0))
        await asyncio.sleep(0.2)

        async def refuse(request: runs.StartRequest) -> runs.StartReply:
            raise runs.WrongWorkerError("another worker answers")

        monkeypatch.setattr(harness.worker, "start", refuse)
        harness.start(conftest.run_key(1))
        await asyncio.sleep(0.05)
    assert harness.crashes == [([], [], [conftest.run_key(0).task])]
    assert harness.end_kinds() == [scheduling.EndKind.NOT_STARTED, LOST]


async def test_worker_that_leaves_as_planned_has_not_crashed() -> None:
    """Guards against jobs that are given up because their workers were taken away."""
    harness = conftest.ControllerHarness(duration_s=10.0)
    async with harness.serving():
        harness.start(conftest.run_key())
        await harness.renew_grant(0.1)
        harness.send_heartbeat(is_draining=True)
        harness.worker.crash()
        await harness.renew_grant(0.8)
    assert harness.end_kinds() == [LOST]
    assert harness.crashes == []


async def test_silent_worker_has_not_crashed() -> None:
    """Guards against jobs that are given up because their workers were only cut off."""
    harness = conftest.ControllerHarness(duration_s=10.0)
    async with harness.serving():
        harness.start(conftest.run_key())
        await harness.renew_grant(0.1)
        harness.worker.delays_requests = True
        await harness.renew_grant(1.5)
    assert harness.end_kinds() == [LOST]
    assert harness.crashes == []


async def test_shrunk_capacity_takes_no_start_until_there_is_room() -> None:
    """Guards against a start that brings a worker over a capacity which has shrunk, while a run is being stopped."""
    harness = conftest.ControllerHarness(duration_s=3.0)
    async with harness.serving():
        for number in range(3):
            harness.start(conftest.run_key(number))
        await harness.renew_grant(0.1)
        harness.send_heartbeat(cores=2)
        assert harness.controller.report().free.cpu_millicores == -1000
        harness.controller.stop([conftest.run_key(0), conftest.run_key(1)], "canceled")
        harness.start(conftest.run_key(3))
        assert harness.end_reasons() == ["no_room"]
        await harness.renew_grant(0.2)
        harness.start(conftest.run_key(4))
        harness.start(conftest.run_key(5))
        await harness.renew_grant(0.1)
        assert harness.end_reasons() == ["no_room", "canceled", "canceled", "no_room"]
        harness.send_heartbeat(cores=4)
        harness.start(conftest.run_key(6))
        await harness.renew_grant(0.1)
        assert len(harness.worker.running) == 3
