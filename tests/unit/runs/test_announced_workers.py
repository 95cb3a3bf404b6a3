"""Heartbeats that announce another worker than the one in use; some come from other writers, or late."""

import asyncio
from typing import NoReturn

import pytest

from cactusgauge import ids, runs, scheduling
from cactusgauge.runs import announced_workers
from emulator import leased_worker
from tests.unit.runs import conftest

pytestmark = pytest.mark.looptime

DONE = scheduling.EndKind.DONE
LOST = scheduling.EndKind.LOST
READY = scheduling.WorkerPhase.READY
ABSENT = scheduling.WorkerPhase.ABSENT
ADDRESS = "10.0.0.1:80"
OTHER_ADDRESS = "10.0.0.1:9"
REPLY_S = 0.001  # time that a call of the emulated worker takes


class _Listener(runs.WorkerClient):
    """Answers each call in the same way, at an address where the worker is not."""

    def __init__(self, error: Exception, delay_s: float = REPLY_S) -> None:
        self._error = error
        self._delay_s = delay_s
        self.calls = 0

    async def start(self, request: runs.StartRequest) -> runs.StartReply:
        """Fail."""
        await self._fail()

    async def stop(self, key: ids.RunKey, fencing_token: int) -> None:
        """Fail."""
        await self._fail()

    async def poll(
        self, fencing_token: int, acknowledged: int, lease_until_s: float | None, wait_s: float
    ) -> runs.WorkerListing:
        """Fail."""
        await self._fail()

    async def _fail(self) -> NoReturn:
        self.calls += 1
        await asyncio.sleep(self._delay_s)
        raise self._error


def _listener(kind: str) -> _Listener:
    if kind == "nothing":
        return _Listener(runs.WorkerDownError("nothing listens"))
    if kind == "silence":
        return _Listener(runs.WorkerCallError("no response"), delay_s=0.1)
    return _Listener(runs.WrongWorkerError("another worker answers"))


async def _serve(harness: conftest.ControllerHarness, seconds: float) -> None:
    """Let the worker send heartbeats as usual, and its entry renew the grant."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while loop.time() < until:
        harness.send_heartbeat(harness.worker.incarnation)
        await harness.renew_grant(min(conftest.HEARTBEAT_S, until - loop.time()))


async def _assert_still_used(harness: conftest.ControllerHarness, key: ids.RunKey) -> None:
    """Check that the worker gets further runs, also after a time without any."""
    await _serve(harness, 6.0)
    harness.start(key)
    await harness.renew_grant(0.5)
    assert key in [started for started, _ in harness.worker.starts]
    assert harness.end_kinds()[-1] is DONE


@pytest.mark.parametrize("kind", ["nothing", "silence", "another worker"])
@pytest.mark.parametrize("incarnation", [0, 1, 1000])
@pytest.mark.parametrize("worker", ["w", "x"])
async def test_unconfirmed_announcement_gives_up_no_run(worker: str, incarnation: int, kind: str) -> None:
    """Guards against runs that are reported as lost, and started again elsewhere, while the worker runs them."""
    harness = conftest.ControllerHarness(duration_s=3.0)
    harness.listeners[OTHER_ADDRESS] = _listener(kind)
    async with harness.serving():
        harness.start(conftest.run_key(0))
        await harness.renew_grant(0.5)
        harness.send_heartbeat(incarnation, 1_000_000, worker=worker, address=OTHER_ADDRESS, clock_s=4e9)
        assert harness.controller.phase is READY
        await _serve(harness, 3.0)
        assert harness.end_kinds() == [DONE]
        harness.duration_s = 0.2
        await _assert_still_used(harness, conftest.run_key(1))
    assert harness.crashes == []
    assert harness.end_kinds() == [DONE, DONE]


@pytest.mark.parametrize("incarnation", [0, 2, 1000])
async def test_announcement_that_the_worker_in_use_denies_gives_up_no_run(incarnation: int) -> None:
    """Guards against runs that are given up for a restart that the worker itself knows nothing of."""
    harness = conftest.ControllerHarness(duration_s=3.0)
    async with harness.serving():
        harness.start(conftest.run_key(0))
        await harness.renew_grant(0.5)
        harness.send_heartbeat(incarnation, 1_000_000, clock_s=4e9)
        await asyncio.sleep(2 * REPLY_S)
        assert harness.controller.phase is READY
        harness.start(conftest.run_key(1))
        await _serve(harness, 4.0)
        assert harness.end_kinds() == [DONE, DONE]
        harness.duration_s = 0.2
        await _assert_still_used(harness, conftest.run_key(2))
    assert harness.crashes == []


async def test_announcement_before_the_first_heartbeat_does_not_shut_the_worker_out() -> None:
    """Guards against an agent that serves nothing as long as it runs, because its first heartbeat was an odd one."""
    harness = conftest.ControllerHarness()
    harness.listeners[OTHER_ADDRESS] = _listener("silence")
    async with harness.controller:
        harness.send_heartbeat(1000, 1_000_000, worker="x", address=OTHER_ADDRESS, clock_s=4e9)
        await asyncio.sleep(0.05)
        assert harness.controller.phase is ABSENT
        harness.send_heartbeat()
        await asyncio.sleep(2 * REPLY_S)
        assert harness.controller.phase is READY
        harness.start(conftest.run_key())
        await harness.renew_grant(0.5)
    assert harness.end_kinds() == [DONE]


@pytest.mark.parametrize("worker", ["w", "w2"])
async def test_restarted_worker_is_used_after_its_first_reply(worker: str) -> None:
    """Guards against a restarted worker that stays without work while it is checked."""
    harness = conftest.ControllerHarness(duration_s=10.0)
    async with harness.serving():
        harness.start(conftest.run_key(0))
        await harness.renew_grant(0.2)
        harness.worker.restart()
        harness.send_heartbeat(2, 1, worker=worker)
        await asyncio.sleep(REPLY_S * 1.5)
        report = harness.controller.report()
        assert (report.worker, report.phase, report.generation) == (worker, READY, 2)
        await harness.renew_grant(0.1)
        assert harness.end_kinds() == [LOST]


@pytest.mark.parametrize("kind", ["nothing", "another worker"])
async def test_worker_that_restarted_at_another_address_is_used_at_once(kind: str) -> None:
    """Guards against a restarted worker that waits until the lease of its predecessor is over."""
    harness = conftest.ControllerHarness(duration_s=10.0)
    async with harness.serving():
        harness.start(conftest.run_key(0))
        await harness.renew_grant(0.2)
        earlier = harness.worker
        earlier.crash()
        harness.worker = leased_worker.LeasedWorker(lambda key: 0.2, incarnation=2)
        harness.listeners[ADDRESS] = _listener(kind)
        harness.send_heartbeat(2, 1, worker="w2", address="10.0.0.1:81")
        await asyncio.sleep(2 * REPLY_S * 1.5)
        assert harness.controller.phase is READY
        assert harness.end_kinds() == [LOST]


async def test_worker_whose_clock_was_set_back_before_it_restarted_is_used() -> None:
    """Guards against a restarted worker without work, as it seems to have started before its predecessor."""
    harness = conftest.ControllerHarness()
    harness.worker = leased_worker.LeasedWorker(lambda key: 0.2, incarnation=1000)
    async with harness.controller:
        harness.send_heartbeat(1000)
        await asyncio.sleep(0.1)
        for incarnation, worker in ((500, "w"), (400, "w2")):
            harness.worker = leased_worker.LeasedWorker(lambda key: 0.2, incarnation=incarnation)
            harness.send_heartbeat(incarnation, 1, worker=worker)
            await asyncio.sleep(0.1)
            harness.start(conftest.run_key(incarnation))
            await harness.renew_grant(0.4)
            assert harness.worker.starts
    assert harness.end_kinds() == [DONE, DONE]


async def test_worker_that_listens_only_after_its_first_heartbeat_is_used() -> None:
    """Guards against a worker that is refused for good, as it does not answer at once."""
    harness = conftest.ControllerHarness()
    harness.worker.crash()
    async with harness.controller:
        harness.send_heartbeat(2)
        await asyncio.sleep(0.3)
        harness.worker.restart()
        await asyncio.sleep(announced_workers.MAX_PAUSE_S + 2 * REPLY_S)
        assert harness.controller.phase is READY


async def test_worker_in_use_that_answers_is_not_replaced() -> None:
    """Guards against another program beside the worker that answers calls as a worker does."""
    harness = conftest.ControllerHarness(duration_s=3.0)
    harness.listeners[OTHER_ADDRESS] = leased_worker.LeasedWorker(lambda key: 0.2, incarnation=1000)
    async with harness.serving():
        harness.start(conftest.run_key(0))
        await harness.renew_grant(0.5)
        harness.send_heartbeat(1000, 1, worker="x", address=OTHER_ADDRESS)
        await _serve(harness, 3.0)
        assert harness.end_kinds() == [DONE]
        harness.duration_s = 0.2
        await _assert_still_used(harness, conftest.run_key(1))


async def test_worker_of_a_service_without_a_name_makes_room_for_the_true_one() -> None:
    """Guards against a program beside the worker that was taken for it while the configuration was unknown."""
    harness = conftest.ControllerHarness()
    harness.listeners[OTHER_ADDRESS] = leased_worker.LeasedWorker(lambda key: 0.2, incarnation=1000)
    harness.known_services.add("telemetry")
    async with harness.controller:
        harness.send_heartbeat(1000, 1, worker="x", address=OTHER_ADDRESS, service="telemetry")
        await asyncio.sleep(0.1)
        assert harness.controller.report().worker == "x"
        harness.known_services.remove("telemetry")
        harness.send_heartbeat()
        await asyncio.sleep(2 * REPLY_S)
        assert harness.controller.report().worker == "w"
        assert harness.controller.phase is READY


async def test_service_without_a_name_announces_no_worker() -> None:
    """Guards against requests to the address in a heartbeat that names no worker to use."""
    harness = conftest.ControllerHarness()
    listener = harness.listeners[OTHER_ADDRESS] = _listener("nothing")
    async with harness.serving():
        result = harness.send_heartbeat(1000, 1, worker="x", address=OTHER_ADDRESS, service="telemetry")
        assert result is runs.HeartbeatResult.REFUSED
        await asyncio.sleep(0.5)
        assert listener.calls == 0
        await _assert_still_used(harness, conftest.run_key())
    assert "heartbeat_refused" in [event for event, _ in harness.events]


async def test_heartbeat_of_the_worker_in_use_with_another_service_changes_nothing() -> None:
    """Guards against a worker that gets no tasks of its service after one heartbeat of another writer."""
    harness = conftest.ControllerHarness()
    harness.known_services.add("other")
    async with harness.serving():
        for service in ("telemetry", "other"):
            assert harness.send_heartbeat(1, 1_000_000, service=service) is runs.HeartbeatResult.REFUSED
            assert harness.controller.report().service == "s"
        await _assert_still_used(harness, conftest.run_key())


async def test_service_of_the_worker_in_use_is_corrected_once_the_configuration_is_known() -> None:
    """Guards against a worker under the service of another writer, whose heartbeat came first and seemed newer."""
    harness = conftest.ControllerHarness()
    harness.known_services.add("telemetry")
    async with harness.controller:
        harness.send_heartbeat(1, 1_000_000, service="telemetry")
        await asyncio.sleep(0.1)
        assert harness.send_heartbeat() is runs.HeartbeatResult.REFUSED
        harness.known_services.remove("telemetry")
        assert harness.send_heartbeat() is runs.HeartbeatResult.APPLIED
        assert harness.controller.report().service == "s"
        await _assert_still_used(harness, conftest.run_key())


async def test_sequence_number_that_is_far_too_high_does_not_silence_the_worker_for_good() -> None:
    """Guards against a worker whose heartbeats are all taken for late ones after a single other one."""
    harness = conftest.ControllerHarness()
    async with harness.serving():
        harness.send_heartbeat(sequence=2**53 - 1)
        await _serve(harness, 7.0)
        await _assert_still_used(harness, conftest.run_key())


async def test_late_heartbeat_from_before_the_drain_is_old() -> None:
    """Guards against new runs on a draining worker that has been silent for a while."""
    harness = conftest.ControllerHarness()
    async with harness.serving():
        harness.send_heartbeat(sequence=1000, is_draining=True)
        await asyncio.sleep(6.0)
        assert harness.send_heartbeat(sequence=999) is runs.HeartbeatResult.OLD
        assert harness.controller.phase is ABSENT


async def test_leave_notice_of_another_writer_holds_until_the_next_heartbeat() -> None:
    """Guards against a worker that gets no more runs after a leave notice that it has not sent."""
    harness = conftest.ControllerHarness()
    async with harness.serving():
        harness.controller.handle_leave(ids.WorkerId("w"))
        harness.controller.handle_leave(ids.WorkerId("x"))
        assert harness.controller.phase is scheduling.WorkerPhase.DRAINING
        await _assert_still_used(harness, conftest.run_key())


async def test_listing_with_a_wrong_incarnation_does_not_shut_the_worker_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a worker whose heartbeats are all taken for those of an earlier life after a single reply."""
    harness = conftest.ControllerHarness()
    async with harness.serving():
        poll = harness.worker.poll

        async def poll_with_wrong_incarnation(*arguments: object) -> runs.WorkerListing:
            monkeypatch.undo()
            return runs.WorkerListing(harness.worker.clock_s, 1000, [], [])

        monkeypatch.setattr(harness.worker, "poll", poll_with_wrong_incarnation)
        harness.start(conftest.run_key(0))
        await harness.renew_grant(0.5)
        assert harness.worker.poll == poll
        assert harness.controller.phase is ABSENT
        await _assert_still_used(harness, conftest.run_key(1))


async def test_no_request_is_repeated_without_a_pause_while_a_listing_names_an_earlier_incarnation() -> None:
    """Guards against an agent that uses up its processor because of one reply with a wrong incarnation."""
    harness = conftest.ControllerHarness(duration_s=10.0)
    async with harness.serving():
        harness.start(conftest.run_key(0))
        await harness.renew_grant(0.1)
        calls: list[int] = []
        poll = harness.worker.poll

        async def counted_poll(
            fencing_token: int, acknowledged: int, lease_until_s: float | None, wait_s: float
        ) -> runs.WorkerListing:
            calls.append(acknowledged)
            if len(calls) == 1:
                return runs.WorkerListing(harness.worker.clock_s, 1000, [], [])
            return await poll(fencing_token, acknowledged, lease_until_s, 0.0)

        harness.worker.poll = counted_poll  # type: ignore[method-assign]
        await asyncio.sleep(1.0)
        assert 2 < len(calls) < 60


async def test_no_start_reaches_an_incarnation_that_has_not_answered_yet(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a start on a worker that is back under its id as another kind, while its replies are lost."""
    harness = conftest.ControllerHarness()
    async with harness.serving():
        poll = harness.worker.poll

        async def lost_poll(*arguments: object) -> runs.WorkerListing:
            await asyncio.sleep(0.1)
            raise runs.WorkerCallError("no response")

        harness.worker.restart()
        monkeypatch.setattr(harness.worker, "poll", lost_poll)
        harness.send_heartbeat(2, 1)
        harness.start(conftest.run_key(0))
        await harness.renew_grant(1.0)
        assert harness.end_reasons() == ["worker_absent"]
        assert harness.worker.starts == []
        monkeypatch.setattr(harness.worker, "poll", poll)
        await harness.renew_grant(0.3)
        harness.start(conftest.run_key(1))
        await harness.renew_grant(0.3)
        assert harness.end_kinds()[-1] is DONE


async def test_true_worker_is_found_among_many_announcements() -> None:
    """Guards against requests without a limit, and against a true worker that many others displace."""
    harness = conftest.ControllerHarness()
    async with harness.controller:
        for number in range(100):
            address = f"10.0.0.1:{1000 + number}"
            harness.listeners[address] = _listener("silence")
            harness.send_heartbeat(1000 + number, 1, worker=f"x{number}", address=address)
        harness.send_heartbeat()
        await asyncio.sleep(2 * REPLY_S)
        assert harness.controller.report().worker == "w"
        assert harness.controller.phase is READY
        asked = [each for each in harness.listeners.values() if isinstance(each, _Listener) and each.calls]
        assert len(asked) <= announced_workers.MAX_ANNOUNCEMENTS


async def test_late_reply_of_an_earlier_worker_does_not_replace_the_one_accepted_since() -> None:
    """Guards against runs that are given up for a worker which answered before it ended."""
    harness = conftest.ControllerHarness(duration_s=1.0)

    class _LateWorker(leased_worker.LeasedWorker):
        async def poll(
            self, fencing_token: int, acknowledged: int, lease_until_s: float | None, wait_s: float
        ) -> runs.WorkerListing:
            if self.is_down:
                raise runs.WrongWorkerError("another worker answers")
            listing = await super().poll(fencing_token, acknowledged, lease_until_s, wait_s)
            self.crash()
            await asyncio.sleep(0.2)
            return listing

    harness.worker = _LateWorker(lambda key: 1.0, incarnation=5)
    async with harness.controller:
        harness.send_heartbeat(5, worker="earlier")
        await asyncio.sleep(0.05)
        harness.worker = leased_worker.LeasedWorker(lambda key: 1.0, incarnation=6)
        harness.send_heartbeat(6)
        await asyncio.sleep(0.05)
        harness.start(conftest.run_key())
        await harness.renew_grant(1.5)
    assert harness.end_kinds() == [DONE]
