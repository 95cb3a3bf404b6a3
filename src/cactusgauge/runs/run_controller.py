"""Starts, holds and stops runs at the worker beside an agent."""

import abc
import asyncio
import contextlib
from typing import TYPE_CHECKING, Self

from cactusgauge import ids, scheduling
from cactusgauge.runs import announcement as announcement_module
from cactusgauge.runs import run_ledger, timing, worker_client, worker_lease

if TYPE_CHECKING:
    from collections import abc as collections_abc

START_ATTEMPTS = 3  # the order is idempotent, and a reply that is late by several times the usual delay seldom comes
RETRY_PAUSE_S = 0.02
MISSED_HEARTBEATS = 3
MAX_TOKEN = 2**53  # the largest whole numbers that all JSON readers keep exact
UNREPLIED = "no_reply"


class RunObserver(abc.ABC):
    """Learns what happens to runs."""

    @abc.abstractmethod
    def end_run(self, owner: ids.EntryIncarnation, end: scheduling.RunEnd) -> None:
        """Take in the end of an entry's run."""

    @abc.abstractmethod
    def report_changed(self) -> None:
        """Learn that the worker's report has changed."""

    @abc.abstractmethod
    def note(self, event: str, **fields: str | float) -> None:
        """Log a decision."""


class RunController:
    """The only path to one worker.

    A run is in the ledger from the order to start it until it is surely gone. The lease is renewed only while the agent
    holds grants, and the runs of an entry whose grant has ended are stopped.
    """

    def __init__(
        self,
        timing_: timing.RunTiming,
        heartbeat_s: float,
        connect: "collections_abc.Callable[[announcement_module.Announcement], worker_client.WorkerClient]",
        observer: RunObserver,
    ) -> None:
        self._timing = timing_
        self._heartbeat_s = heartbeat_s
        self._connect = connect
        self._observer = observer
        now = asyncio.get_running_loop().time()
        self._ledger = run_ledger.RunLedger(now)
        self._grants: dict[ids.EntryIncarnation, float] = {}
        self._announced: announcement_module.Announcement | None = None
        self._announced_at = now
        self._client: worker_client.WorkerClient | None = None
        self._lease: worker_lease.WorkerLease | None = None
        self._life = 0  # of the worker that orders go to, known from its heartbeats or its listings
        self._token = 0
        self._generation = 0
        self._is_recovered = False
        self._is_down = True
        self._is_stopping = False
        self._processed_end = 0
        self._acknowledged_end = 0
        self._listing_number = 0
        self._wake = asyncio.Event()
        self._grant_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def ledger(self) -> run_ledger.RunLedger:
        """The runs at the worker."""
        return self._ledger

    @property
    def phase(self) -> scheduling.WorkerPhase:
        """Whether the worker takes new runs."""
        if self._announced is None or not self._is_recovered or self._is_down:
            return scheduling.WorkerPhase.ABSENT
        if self._announced.life != self._life:
            return scheduling.WorkerPhase.ABSENT  # its new life has not said yet what it offers
        age_s = asyncio.get_running_loop().time() - self._announced_at
        if age_s > MISSED_HEARTBEATS * self._heartbeat_s:
            return scheduling.WorkerPhase.ABSENT
        if self._announced.is_draining or self._is_stopping:
            return scheduling.WorkerPhase.DRAINING
        return scheduling.WorkerPhase.READY

    async def __aenter__(self) -> Self:
        self._spawn(self._hold_forever())
        return self

    async def __aexit__(self, *exception: object) -> None:
        if self._grant_timer is not None:
            self._grant_timer.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def report(self) -> scheduling.WorkerReport:
        """Return the state that entries need for placement."""
        announced = self._announced
        now = asyncio.get_running_loop().time()
        if announced is None:
            return scheduling.WorkerReport(
                ids.ServiceName(""),
                ids.WorkerId(""),
                self._generation,
                scheduling.WorkerPhase.ABSENT,
                scheduling.Resources(),
                scheduling.Resources(),
                (),
                1.0,
            )
        return scheduling.WorkerReport(
            announced.service,
            announced.worker,
            self._generation,
            self.phase,
            self._ledger.capacity,
            self._ledger.free,
            announced.labels,
            round(self._ledger.slowness(now), 3),
        )

    def announce(self, announced: announcement_module.Announcement) -> bool:
        """Take in a heartbeat of the worker; return whether it is newer than what is known."""
        known = self._announced
        if known is not None and announced.life < self._life:
            return False
        is_same_worker = known is not None and known.worker == announced.worker
        if known is None or not is_same_worker or announced.life > self._life:
            self._begin_life(announced.worker, announced.life, announced.clock_s, is_same_worker)
        elif announced.life == known.life and announced.sequence <= known.sequence:
            return False
        was = self.phase
        if known is None or not is_same_worker or known.address != announced.address or self._client is None:
            self._client = self._connect(announced)
        self._announced = announced
        self._announced_at = asyncio.get_running_loop().time()
        self._ledger.capacity = announced.capacity
        self._is_down = False
        if self.phase is not was:
            self._note_phase("heartbeat")
            self._observer.report_changed()
        return True

    def leave(self, worker: ids.WorkerId) -> None:
        """Note that the worker says that it ends."""
        if self._announced is not None and self._announced.worker == worker and not self._announced.is_draining:
            self._announced = self._announced._replace(is_draining=True)
            self._note_phase("leave")
            self._observer.report_changed()

    def drain(self) -> None:
        """Take no new runs, as the agent stops."""
        self._is_stopping = True
        self._note_phase("stop")
        self._observer.report_changed()

    def extend_grant(self, owner: ids.EntryIncarnation, until: float) -> None:
        """Let the runs of an entry go on until a time of the loop's clock."""
        if not self._ledger.runs:
            return  # a start brings a grant of its own
        self._grants[owner] = max(self._grants.get(owner, until), until)
        if self._grant_timer is None or until < self._grant_timer.when():
            self._plan_grant_check()

    def start(self, new: run_ledger.NewRun, stamped_at: float) -> None:
        """Start a run of an entry whose knowledge of this agent dates from `stamped_at`."""
        now = asyncio.get_running_loop().time()
        refusal = self._refusal(stamped_at, now) or self._ledger.admit(new, now)
        if refusal:
            self._observer.end_run(new.owner, scheduling.RunEnd(new.key, scheduling.EndKind.NOT_STARTED, 0.0, refusal))
            return
        self._observer.note(
            "run_admitted",
            run=str(new.key),
            entry=new.owner,
            order_age_ms=round((now - stamped_at) * 1000),
            free_millicores=self._ledger.free.cpu_millicores,
        )
        run = self._ledger.get(new.key)
        assert run is not None
        self.extend_grant(new.owner, stamped_at + self._timing.grant_s)
        self._spawn(self._start(run, new))

    def stop(self, keys: "collections_abc.Iterable[ids.RunKey]", reason: str) -> None:
        """Stop runs; those that are not here are ignored."""
        for key in keys:
            run = self._ledger.get(key)
            if run is not None and run.phase is not run_ledger.RunPhase.STOPPING:
                self._begin_stop(run, reason)

    def stop_job(self, job: ids.JobKey) -> None:
        """Stop all runs of a job, whoever owns them."""
        self.stop([run.key for run in self._ledger.runs if run.key.job == job], "canceled")

    def _refusal(self, stamped_at: float, now: float) -> str:
        phase = self.phase
        if phase is not scheduling.WorkerPhase.READY:
            return f"worker_{phase.value}"
        if now - stamped_at > self._timing.grant_s:
            return "stale_order"
        return ""

    def _spawn(self, work: "collections_abc.Coroutine[None, None, None]") -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _begin_life(self, worker: ids.WorkerId, life: int, clock_s: float, is_same_worker: bool) -> None:
        """Order from a new life of the worker.

        Orders name the worker's id. So runs of another id are gone, while orders under the same id may have reached the
        new life: their runs stay until a listing shows that they are gone.
        """
        if not is_same_worker:
            self._lose_all("worker_restarted")
        self._generation += 1
        self._life = life
        over_after_s = self._timing.max_lease_s if is_same_worker else 0.0
        self._lease = worker_lease.WorkerLease(clock_s, self._timing.lease_s, over_after_s)
        # The new life may have seen the token of such orders.
        self._token = max(self._token + 1 if is_same_worker else 1, int(clock_s * 1000))
        self._is_recovered = False
        self._processed_end = self._acknowledged_end = 0
        self._ledger.reset_speed(asyncio.get_running_loop().time())
        self._observer.note("worker_announced", worker=worker, life=life, token=self._token, same_id=is_same_worker)
        self._wake.set()

    async def _start(self, run: run_ledger.Run, new: run_ledger.NewRun) -> None:
        client, lease = self._client, self._lease
        assert client is not None and lease is not None
        self._wake.set()
        reason = UNREPLIED
        for attempt in range(START_ATTEMPTS):
            if self._ledger.get(run.key) is not run or run.phase is not run_ledger.RunPhase.STARTING:
                return
            order = worker_client.StartOrder(run.key, new.payload, lease.extend(), self._token)
            try:
                reply = await client.start(order)
            except worker_client.WorkerDownError:
                self._note_down()
                if attempt == 0:
                    self._end(run, scheduling.EndKind.NOT_STARTED, "worker_down")
                    return
                continue
            except worker_client.WorkerCallError:
                continue
            except worker_client.WrongWorkerError:
                self._end_life(client)
                return
            if reply.clock_s is not None:
                lease.note_clock(reply.clock_s)
            if self._ledger.get(run.key) is not run:
                return
            verdict = reply.verdict
            if verdict is worker_client.StartVerdict.STARTED or (
                verdict is worker_client.StartVerdict.OLD_RUN and attempt > 0
            ):
                # After a lost reply, a run refused as old may have run; a listing tells.
                self._note_present(run)
                return
            if verdict is worker_client.StartVerdict.FENCED:
                self._raise_token(reply.clock_s)
            elif verdict is not worker_client.StartVerdict.EXPIRED:
                reason = verdict.value
                if attempt == 0:
                    self._end(run, scheduling.EndKind.NOT_STARTED, reason)
                    return
                break
        if self._ledger.get(run.key) is run and run.phase is run_ledger.RunPhase.STARTING:
            self._begin_stop(run, reason)

    def _note_present(self, run: run_ledger.Run) -> None:
        if run.phase is run_ledger.RunPhase.STARTING:
            run.phase = run_ledger.RunPhase.RUNNING
            run.started_at = asyncio.get_running_loop().time()
            run.gone_after_listing = self._listing_number + 1

    def _begin_stop(self, run: run_ledger.Run, reason: str) -> None:
        run.phase = run_ledger.RunPhase.STOPPING
        run.stop_reason = reason
        run.gone_after_listing = None
        self._spawn(self._stop(run))

    async def _stop(self, run: run_ledger.Run) -> None:
        client = self._client
        assert client is not None
        while self._ledger.get(run.key) is run:
            with contextlib.suppress(worker_client.WorkerCallError):
                try:
                    await client.stop(run.key, self._token)
                    run.gone_after_listing = self._listing_number + 1
                    self._wake.set()
                    return
                except worker_client.FencedError as error:
                    self._raise_token(error.clock_s)
                except worker_client.WrongWorkerError:
                    self._end_life(client)
                    return
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _hold_forever(self) -> None:
        while True:
            await self._wake.wait()
            if self._client is None or not self._needs_hold():
                self._wake.clear()
                continue
            await self._hold_once(self._client)

    def _needs_hold(self) -> bool:
        return bool(self._ledger.runs) or not self._is_recovered or self._processed_end > self._acknowledged_end

    async def _hold_once(self, client: worker_client.WorkerClient) -> None:
        lease = self._lease
        assert lease is not None
        self._listing_number += 1
        number = self._listing_number
        acknowledged = self._processed_end
        has_runs = bool(self._ledger.runs)
        try:
            listing = await client.hold(
                self._token,
                acknowledged,
                lease.extend() if has_runs and lease.may_extend else None,
                timing.BEAT_S if has_runs and self._is_recovered else 0.0,
            )
        except worker_client.FencedError as error:
            self._raise_token(error.clock_s)
            return
        except worker_client.WrongWorkerError:
            self._end_life(client)
            return
        except worker_client.WorkerCallError as error:
            if isinstance(error, worker_client.WorkerDownError):
                self._note_down()
            if lease.is_over and self._client is client:
                self._lose_all("lease_over")
            await asyncio.sleep(RETRY_PAUSE_S)
            return
        if self._client is not client:
            return
        if listing.life and self._life and listing.life != self._life:
            self._notice_life(listing)
            return
        lease.note_clock(listing.clock_s)
        self._acknowledged_end = max(self._acknowledged_end, acknowledged)
        self._take_listing(listing, number)

    def _notice_life(self, listing: worker_client.WorkerListing) -> None:
        """Take in a listing of another life under the same id; its heartbeat says later what it offers."""
        if listing.life < self._life or self._announced is None:
            return  # a late reply of the former life
        self._begin_life(self._announced.worker, listing.life, listing.clock_s, is_same_worker=True)
        self._note_phase("listing_of_new_life")
        self._observer.report_changed()

    def _take_listing(self, listing: worker_client.WorkerListing, number: int) -> None:
        for end in listing.ends:
            if end.number <= self._processed_end:
                continue
            self._processed_end = end.number
            run = self._ledger.get(end.key) if end.key is not None else None
            if run is not None:
                self._end(run, end.kind, run.stop_reason)
        running = set(listing.running)
        for run in list(self._ledger.runs):
            if run.key in running:
                if run.phase is run_ledger.RunPhase.STARTING:
                    self._note_present(run)
            elif run.gone_after_listing is not None and number >= run.gone_after_listing:
                self._end(run, scheduling.EndKind.LOST, run.stop_reason or "not_listed")
        orphans = [key for key in running if self._ledger.get(key) is None]
        if not self._is_recovered and not orphans:
            self._is_recovered = True
            self._note_phase("recovered")
            self._observer.report_changed()
        for key in orphans:
            self._spawn(self._stop_orphan(key))

    async def _stop_orphan(self, key: ids.RunKey) -> None:
        """Stop a run that this process did not start, as its entry can't be known."""
        if self._client is None:
            return
        self._observer.note("orphan_stopped", run=str(key))
        with contextlib.suppress(
            worker_client.WorkerCallError, worker_client.FencedError, worker_client.WrongWorkerError
        ):
            await self._client.stop(key, self._token)  # the next listing shows whether it has to be repeated

    def _plan_grant_check(self) -> None:
        if self._grant_timer is not None:
            self._grant_timer.cancel()
        self._grant_timer = None
        if self._grants:
            self._grant_timer = asyncio.get_running_loop().call_at(min(self._grants.values()), self._check_grants)

    def _check_grants(self) -> None:
        """Stop the runs of entries whose grants have ended."""
        now = asyncio.get_running_loop().time()
        for owner, until in list(self._grants.items()):
            if now < until:
                continue
            del self._grants[owner]
            owned = self._ledger.owned_by(owner)
            if owned:
                self._observer.note("grant_ended", entry=owner, runs=len(owned), late_ms=round((now - until) * 1000))
                self.stop([run.key for run in owned], "grant_ended")
        self._grant_timer = None
        self._plan_grant_check()

    def _end(self, run: run_ledger.Run, kind: scheduling.EndKind, reason: str) -> None:
        now = asyncio.get_running_loop().time()
        self._ledger.remove(run.key)
        ran_s = 0.0
        if kind is scheduling.EndKind.DONE:
            ran_s = self._ledger.record_done(run, now)
        elif kind is scheduling.EndKind.FAILED:
            ran_s = now - run.started_at
        self._observer.end_run(run.owner, scheduling.RunEnd(run.key, kind, ran_s, reason))

    def _end_life(self, client: worker_client.WorkerClient) -> None:
        """Note that the worker of a client is gone; its successor announces itself, or has done so."""
        if self._client is not client:
            return
        self._client = None
        self._is_down = True
        self._is_recovered = False
        self._lose_all("worker_gone")
        self._note_phase("worker_gone")
        self._observer.report_changed()

    def _lose_all(self, reason: str) -> None:
        runs = list(self._ledger.runs)
        if runs:
            self._observer.note("runs_lost", runs=len(runs), reason=reason)
        for run in runs:
            self._end(run, scheduling.EndKind.LOST, reason)

    def _note_down(self) -> None:
        if not self._is_down:
            self._is_down = True
            self._note_phase("connection_refused")
            self._observer.report_changed()

    def _note_phase(self, cause: str) -> None:
        self._observer.note("worker_phase", phase=self.phase.value, cause=cause)

    def _raise_token(self, clock_s: float | None) -> None:
        # The reply does not tell the highest token, which may be that of an earlier life's clock.
        self._token = min(max(self._token * 2, int((clock_s or 0.0) * 1000)), MAX_TOKEN)
        self._observer.note("fencing_token_raised", token=self._token)
