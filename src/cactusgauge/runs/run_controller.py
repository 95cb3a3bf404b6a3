"""Starts runs on the local worker of an agent, renews their lease and stops them."""

import asyncio
import contextlib
from typing import TYPE_CHECKING, Self

from cactusgauge import background, ids, scheduling
from cactusgauge.runs import (
    announced_workers,
    crash_attribution,
    fencing_token,
    run_observer,
    run_registry,
    timing,
    worker_client,
    worker_heartbeat,
    worker_lease,
)

if TYPE_CHECKING:
    from collections import abc as collections_abc

# A start is idempotent, so it is retried when the client times out: a reply that late seldom arrives at all.
START_ATTEMPTS = 3
RETRY_PAUSE_S = 0.02
MISSED_HEARTBEATS = 3
NO_REPLY = "no_reply"
WORKER_CHANGED = "worker_changed"  # the run was meant for an earlier incarnation, possibly of another kind


class RunController:
    """Controls the runs on one worker; all requests to the worker are sent from here.

    A run is in the registry from its start request until it is certainly gone. The lease is renewed only while the
    agent holds grants: the runs of an entry whose grant has ended are stopped, and without runs there is no renewal.
    A grant is the time-limited right of an entry's runs to continue here. `connect` returns a client for the worker
    that a heartbeat describes. `is_service_known` returns False for a service that the configuration does not name.
    """

    def __init__(
        self,
        timing_: timing.RunTiming,
        heartbeat_interval_s: float,
        connect: "collections_abc.Callable[[worker_heartbeat.WorkerHeartbeat], worker_client.WorkerClient]",
        is_service_known: "collections_abc.Callable[[ids.ServiceName], bool]",
        observer: run_observer.RunObserver,
    ) -> None:
        self._timing = timing_
        self._silent_after_s = MISSED_HEARTBEATS * heartbeat_interval_s
        self._is_service_known = is_service_known
        self._observer = observer
        self._announced = announced_workers.AnnouncedWorkers(
            connect, self._decide, self._handle_refused_worker, self._silent_after_s, observer.log_event
        )
        now = asyncio.get_running_loop().time()
        self._registry = run_registry.RunRegistry(now)
        self._grants: dict[ids.EntryIncarnation, float] = {}  # end of each grant on the loop's clock
        self._heartbeat: worker_heartbeat.WorkerHeartbeat | None = None
        self._heartbeat_at = now
        self._client: worker_client.WorkerClient | None = None
        self._lease: worker_lease.WorkerLease | None = None
        self._incarnation = 0  # of the worker that requests are sent to; taken from its listings
        self._token = fencing_token.FencingToken(0.0)
        self._generation = 0  # counts the incarnations seen
        self._is_recovered = False  # whether a listing has shown only runs that are in the registry
        self._is_down = True  # until a heartbeat arrives, also after a refused connection or the loss of the worker
        self._failing_since: float | None = None  # time of the first failed request since the last reply
        self._is_draining = False  # whether the agent is stopping
        self._processed_end = 0  # number of the last end in the worker's listings that was processed
        self._acknowledged_end = 0  # number of the last end that the worker knows to be processed
        self._listing_number = 0  # number of the last requested listing
        self._poll_needed = asyncio.Event()
        self._grant_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def registry(self) -> run_registry.RunRegistry:
        """The runs at the worker."""
        return self._registry

    @property
    def phase(self) -> scheduling.WorkerPhase:
        """Whether the worker accepts new runs."""
        if self._heartbeat is None or not self._is_recovered or self._is_down:
            return scheduling.WorkerPhase.ABSENT
        if self._heartbeat.incarnation != self._incarnation:
            return scheduling.WorkerPhase.ABSENT  # the new incarnation has not reported its capacity yet
        if self._is_silent or self._is_contested or self._is_stop_overdue():
            return scheduling.WorkerPhase.ABSENT
        if self._heartbeat.is_draining or self._is_draining:
            return scheduling.WorkerPhase.DRAINING
        return scheduling.WorkerPhase.READY

    @property
    def _is_silent(self) -> bool:
        return asyncio.get_running_loop().time() - self._heartbeat_at > self._silent_after_s

    @property
    def _is_contested(self) -> bool:
        """Whether requests may reach another incarnation under the same id, possibly of another kind."""
        return self._heartbeat is not None and self._announced.has_pending(
            self._heartbeat.worker, self._heartbeat.address
        )

    async def __aenter__(self) -> Self:
        self._spawn(background.keep_running("worker_poll", self._poll_forever, self._observer.log_event))
        return self

    async def __aexit__(self, *exception: object) -> None:
        if self._grant_timer is not None:
            self._grant_timer.cancel()
        await self._announced.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def report(self) -> scheduling.WorkerReport:
        """Return the state of the worker, which entries need for placement."""
        heartbeat = self._heartbeat
        now = asyncio.get_running_loop().time()
        if heartbeat is None:
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
            heartbeat.service,
            heartbeat.worker,
            self._generation,
            self.phase,
            self._registry.capacity,
            self._registry.free,
            heartbeat.labels,
            round(self._registry.slowness(now), 3),
        )

    def handle_heartbeat(self, heartbeat: worker_heartbeat.WorkerHeartbeat) -> worker_heartbeat.HeartbeatResult:
        """Process a heartbeat of the worker in use; any other worker is used only once it has answered for itself."""
        known = self._heartbeat
        if known is None or not self._is_in_use(heartbeat):
            return self._announce(heartbeat)
        if heartbeat.service != known.service and not self._may_change_service(known, heartbeat):
            return self._refuse(heartbeat, "a worker keeps its service")
        if heartbeat.service == known.service and self._is_old(known, heartbeat):
            return worker_heartbeat.HeartbeatResult.OLD
        self._apply(heartbeat, asyncio.get_running_loop().time())
        return worker_heartbeat.HeartbeatResult.APPLIED

    def handle_leave(self, worker: ids.WorkerId) -> None:
        """Process the worker's notice that it is about to stop."""
        if self._heartbeat is not None and self._heartbeat.worker == worker and not self._heartbeat.is_draining:
            self._heartbeat = self._heartbeat._replace(is_draining=True)
            self._log_phase("leave")
            self._observer.on_report_changed()

    def drain(self) -> None:
        """Accept no new runs, as the agent is stopping."""
        self._is_draining = True
        self._log_phase("stop")
        self._observer.on_report_changed()

    def extend_grant(self, owner: ids.EntryIncarnation, until: float) -> None:
        """Allow the runs of an entry to continue until a time of the loop's clock."""
        if not self._registry.runs:
            return  # the next start extends the grant itself, once its run is registered
        self._grants[owner] = max(self._grants.get(owner, until), until)
        if self._grant_timer is None or until < self._grant_timer.when():
            self._schedule_grant_check()

    def start(self, new: run_registry.NewRun, stamped_at: float) -> None:
        """Start a run for an entry; `stamped_at` is the newest time of this agent's clock that the entry had."""
        now = asyncio.get_running_loop().time()
        refusal = self._refusal_reason(new.generation, stamped_at, now) or self._registry.admit(new, now)
        if refusal:
            self._observer.on_run_ended(
                new.owner, scheduling.RunEnd(new.key, scheduling.EndKind.NOT_STARTED, 0.0, refusal)
            )
            return
        self._observer.log_event(
            "run_admitted",
            run=str(new.key),
            entry=new.owner,
            order_age_ms=round((now - stamped_at) * 1000),
            free_millicores=self._registry.free.cpu_millicores,
        )
        run = self._registry.get(new.key)
        assert run is not None
        self.extend_grant(new.owner, stamped_at + self._timing.grant_s)
        self._spawn(self._start(run, new))

    def stop(self, keys: "collections_abc.Iterable[ids.RunKey]", reason: str) -> None:
        """Stop runs, whose tasks may run elsewhere from now on; unknown ones are ignored."""
        now = asyncio.get_running_loop().time()
        for key in keys:
            run = self._registry.get(key)
            if run is None:
                continue
            run.unwanted_since = min(run.unwanted_since, now)
            if run.phase is not run_registry.RunPhase.STOPPING:
                self._begin_stop(run, reason)

    def stop_job(self, job: ids.JobKey, linked: "collections_abc.Container[ids.EntryIncarnation]") -> None:
        """Stop the runs of a job whose entries are not linked; a linked one stops those of its own jobs itself."""
        keys = [run.key for run in self._registry.runs if run.key.job == job and run.owner not in linked]
        self.stop(keys, "canceled")

    def _refusal_reason(self, generation: int, stamped_at: float, now: float) -> str:
        if generation != self._generation:
            return WORKER_CHANGED
        phase = self.phase
        if phase is not scheduling.WorkerPhase.READY:
            return f"worker_{phase.value}"
        if now - stamped_at > self._timing.grant_s:
            return "stale_order"
        return ""

    def _is_in_use(self, heartbeat: worker_heartbeat.WorkerHeartbeat) -> bool:
        """Return whether a heartbeat describes the worker that requests are sent to."""
        known = self._heartbeat
        return (
            self._client is not None
            and known is not None
            and heartbeat.incarnation == self._incarnation
            and (heartbeat.worker, heartbeat.address) == (known.worker, known.address)
        )

    def _is_old(self, known: worker_heartbeat.WorkerHeartbeat, heartbeat: worker_heartbeat.WorkerHeartbeat) -> bool:
        if heartbeat.incarnation != known.incarnation or heartbeat.sequence > known.sequence:
            return False
        # A number that was far too high must not silence the worker for good; late heartbeats arrive earlier than this.
        return known.is_draining or not self._is_silent

    def _may_change_service(
        self, known: worker_heartbeat.WorkerHeartbeat, heartbeat: worker_heartbeat.WorkerHeartbeat
    ) -> bool:
        """Return whether a heartbeat with another service may follow, as the one before was of another writer."""
        if not self._is_service_known(heartbeat.service):
            return False
        return heartbeat.incarnation != known.incarnation or not self._is_service_known(known.service)

    def _announce(self, heartbeat: worker_heartbeat.WorkerHeartbeat) -> worker_heartbeat.HeartbeatResult:
        """Ask the worker that a heartbeat describes whether it is there; the one in use stays in use meanwhile."""
        if not self._is_service_known(heartbeat.service):
            return self._refuse(heartbeat, "the configuration does not name its service")
        token = fencing_token.FencingToken(heartbeat.clock_s)
        if self._heartbeat is not None and heartbeat.worker == self._heartbeat.worker:
            # These requests may reach the worker in use, which must not fence the others then.
            self._token.advance()
            token = self._token
        previous_phase = self.phase
        self._announced.add(heartbeat, token)
        self._report_phase(previous_phase, "announcement")
        return worker_heartbeat.HeartbeatResult.ASKING

    def _refuse(self, heartbeat: worker_heartbeat.WorkerHeartbeat, reason: str) -> worker_heartbeat.HeartbeatResult:
        self._observer.log_event(
            "heartbeat_refused",
            worker=heartbeat.worker,
            life=heartbeat.incarnation,
            service=heartbeat.service,
            reason=reason,
        )
        return worker_heartbeat.HeartbeatResult.REFUSED

    def _handle_refused_worker(self, announcement: announced_workers.Announcement) -> None:
        """Accept runs again if the refused worker was announced under the id of the one in use."""
        if self._heartbeat is not None and announcement.heartbeat.worker == self._heartbeat.worker:
            self._log_phase("announcement_refused")
            self._observer.on_report_changed()

    async def _decide(
        self, announcement: announced_workers.Announcement, listing: worker_client.WorkerListing
    ) -> announced_workers.Verdict:
        """Use an announced worker that has answered, unless the worker in use answers as well."""
        if self._is_in_use(announcement.heartbeat):
            self.handle_heartbeat(announcement.heartbeat)  # a listing has shown it meanwhile
            return announced_workers.Verdict.ACCEPTED
        if not self._is_service_known(announcement.heartbeat.service):
            announcement.refusal = "the configuration does not name its service"
            return announced_workers.Verdict.REFUSED
        client = self._client
        verdict = await self._compare_with_worker_in_use(announcement)
        if self._client is not client:
            return announced_workers.Verdict.UNDECIDED
        if verdict is announced_workers.Verdict.ACCEPTED:
            self._replace_worker(announcement, listing)
        return verdict

    async def _compare_with_worker_in_use(
        self, announcement: announced_workers.Announcement
    ) -> announced_workers.Verdict:
        known, client, lease = self._heartbeat, self._client, self._lease
        if known is None or client is None or lease is None or self._is_down:
            return announced_workers.Verdict.ACCEPTED
        if announcement.heartbeat.address == known.address or not self._is_service_known(known.service):
            return announced_workers.Verdict.ACCEPTED
        try:
            listing = await client.poll(self._token.value, self._acknowledged_end, None, 0.0)
        except (worker_client.WorkerDownError, worker_client.WrongWorkerError):
            return announced_workers.Verdict.ACCEPTED
        except worker_client.FencedError:
            return announced_workers.Verdict.UNDECIDED
        except worker_client.WorkerCallError:
            return announced_workers.Verdict.ACCEPTED if lease.has_expired else announced_workers.Verdict.UNDECIDED
        if listing.incarnation not in (0, self._incarnation):
            return announced_workers.Verdict.ACCEPTED
        announcement.refusal = "the worker in use answers"
        return announced_workers.Verdict.REFUSED

    def _replace_worker(
        self, announcement: announced_workers.Announcement, listing: worker_client.WorkerListing
    ) -> None:
        """Send requests to an announced worker from now on; its first listing is known."""
        heartbeat = announcement.heartbeat
        is_same_worker = self._heartbeat is not None and self._heartbeat.worker == heartbeat.worker
        self._begin_incarnation(
            heartbeat.worker, heartbeat.incarnation, listing.clock_s, announcement.token, is_same_worker
        )
        self._client = announcement.client
        self._failing_since = None
        self._apply(heartbeat, announcement.heard_at)
        self._listing_number += 1
        self._process_listing(listing, self._listing_number)
        self._observer.on_report_changed()

    def _apply(self, heartbeat: worker_heartbeat.WorkerHeartbeat, heard_at: float) -> None:
        previous_phase = self.phase
        self._heartbeat = heartbeat
        self._heartbeat_at = heard_at
        self._registry.capacity = heartbeat.capacity
        self._is_down = False
        self._report_phase(previous_phase, "heartbeat")

    def _report_phase(self, previous: scheduling.WorkerPhase, cause: str) -> None:
        if self.phase is not previous:
            self._log_phase(cause)
            self._observer.on_report_changed()

    def _is_stop_overdue(self) -> bool:
        """Return whether the worker should have confirmed the stop of an unwanted run by now.

        The lease covers all runs. It must end then, so neither renewals nor starts may extend it.
        """
        return self._registry.has_unconfirmed_stop(asyncio.get_running_loop().time() - timing.DELAY_MARGIN_S)

    def _spawn(self, coroutine: "collections_abc.Coroutine[None, None, None]") -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _begin_incarnation(
        self,
        worker: ids.WorkerId,
        incarnation: int,
        clock_s: float,
        token: fencing_token.FencingToken,
        is_same_worker: bool,
    ) -> None:
        """Send requests to a new incarnation of the worker from now on.

        A worker accepts only requests that name its id. So the runs of a worker with another id are gone. Requests for
        the same id may have reached the new incarnation, or may still do so, although it may be of another kind. These
        runs are stopped there, and kept until a listing shows that they are gone.
        """
        if is_same_worker:
            self._report_crash()
        else:
            self._mark_all_lost("worker_restarted", has_crashed=True)
        self._generation += 1
        self._incarnation = incarnation
        earlier_leases_s = self._timing.max_lease_s if is_same_worker else 0.0
        self._lease = worker_lease.WorkerLease(clock_s, self._timing.lease_s, earlier_leases_s)
        # The new incarnation may have received the previous token with such a request and would fence a lower one.
        token.advance(clock_s)
        self._token = token
        self._is_recovered = False
        self._processed_end = self._acknowledged_end = 0
        self._registry.reset_speed(asyncio.get_running_loop().time())
        for run in list(self._registry.runs):
            self._begin_stop(run, run.stop_reason or WORKER_CHANGED)
        self._observer.log_event(
            "worker_announced", worker=worker, life=incarnation, token=token.value, same_id=is_same_worker
        )
        self._poll_needed.set()

    async def _start(self, run: run_registry.Run, new: run_registry.NewRun) -> None:
        client, lease = self._client, self._lease
        assert client is not None and lease is not None
        self._poll_needed.set()
        reason = NO_REPLY
        for attempt in range(START_ATTEMPTS):
            while self._is_contested:
                await asyncio.sleep(RETRY_PAUSE_S)
            self._stop_expired_grants()
            if self._registry.get(run.key) is not run or run.phase is not run_registry.RunPhase.STARTING:
                return
            if self._is_stop_overdue():
                break
            run.is_crash_reported = False  # the request may start it on a worker that has restarted
            token = self._token.value
            try:
                with lease.extension() as lease_until_s:
                    reply = await client.start(worker_client.StartRequest(run.key, new.payload, lease_until_s, token))
            except worker_client.WorkerDownError:
                self._record_failure()
                if self._client is client:
                    self._mark_down()
                if attempt == 0:
                    self._end_run(run, scheduling.EndKind.NOT_STARTED, "worker_down")
                    return
                continue
            except worker_client.WorkerCallError:
                self._record_failure()
                continue
            except worker_client.WrongWorkerError:
                if attempt == 0 and self._registry.get(run.key) is run:
                    self._end_run(run, scheduling.EndKind.NOT_STARTED, "worker_gone")
                self._handle_worker_gone(client)
                return
            self._failing_since = None
            if reply.clock_s is not None:
                lease.update_clock(reply.clock_s)
            if self._registry.get(run.key) is not run:
                return
            status = reply.status
            if status is worker_client.StartStatus.STARTED or (
                status is worker_client.StartStatus.OLD_RUN and attempt > 0
            ):
                # After a lost reply, OLD_RUN may mean that this run was started; a listing shows it.
                self._mark_running(run)
                return
            if status is worker_client.StartStatus.FENCED:
                self._raise_token(token, reply.clock_s)
            elif status is not worker_client.StartStatus.EXPIRED:
                reason = status.value
                if attempt == 0:
                    self._end_run(run, scheduling.EndKind.NOT_STARTED, reason)
                    return
                break
        if self._registry.get(run.key) is run and run.phase is run_registry.RunPhase.STARTING:
            self._begin_stop(run, reason)

    def _mark_running(self, run: run_registry.Run) -> None:
        if run.phase is run_registry.RunPhase.STARTING:
            run.phase = run_registry.RunPhase.RUNNING
            run.is_confirmed = True
            run.started_at = asyncio.get_running_loop().time()
            run.first_conclusive_listing = self._listing_number + 1

    def _begin_stop(self, run: run_registry.Run, reason: str) -> None:
        run.phase = run_registry.RunPhase.STOPPING
        run.stop_reason = reason
        run.first_conclusive_listing = None
        self._spawn(self._stop(run))

    async def _stop(self, run: run_registry.Run) -> None:
        while self._registry.get(run.key) is run:
            client, generation, token = self._client, self._generation, self._token.value
            assert client is not None
            with contextlib.suppress(worker_client.WorkerCallError):
                try:
                    await client.stop(run.key, token)
                    if generation != self._generation:
                        continue  # the reply says nothing of the present incarnation
                    run.first_conclusive_listing = self._listing_number + 1
                    self._poll_needed.set()
                    return
                except worker_client.FencedError as error:
                    self._raise_token(token, error.clock_s)
                except worker_client.WrongWorkerError:
                    self._handle_worker_gone(client)
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _poll_forever(self) -> None:
        while True:
            await self._poll_needed.wait()
            if self._client is None or not self._needs_poll():
                self._poll_needed.clear()
                continue
            await self._poll_once(self._client)

    def _needs_poll(self) -> bool:
        return bool(self._registry.runs) or not self._is_recovered or self._processed_end > self._acknowledged_end

    async def _poll_once(self, client: worker_client.WorkerClient) -> None:
        """Renew the lease, acknowledge processed ends and process the listing in the reply."""
        self._stop_expired_grants()
        lease = self._lease
        assert lease is not None
        self._listing_number += 1
        number = self._listing_number  # of this listing
        acknowledged = self._processed_end
        has_runs = bool(self._registry.runs)
        is_extended = has_runs and self._grants and lease.can_extend and not self._is_stop_overdue()
        wait_s = timing.HEARTBEAT_INTERVAL_S if has_runs and self._is_recovered else 0.0
        token = self._token.value
        try:
            with lease.extension() if is_extended else contextlib.nullcontext() as lease_until_s:
                listing = await client.poll(token, acknowledged, lease_until_s, wait_s)
        except worker_client.FencedError as error:
            self._raise_token(token, error.clock_s)
            return
        except worker_client.WrongWorkerError:
            self._handle_worker_gone(client)
            return
        except worker_client.WorkerCallError as error:
            if self._client is not client:
                return  # the worker was replaced meanwhile
            self._record_failure()
            if isinstance(error, worker_client.WorkerDownError):
                self._mark_down()
            if lease.has_expired:
                self._mark_all_lost("lease_over", has_crashed=self._is_down)
            await asyncio.sleep(RETRY_PAUSE_S)
            return
        self._failing_since = None
        if self._client is not client:
            return
        if listing.incarnation and self._incarnation and listing.incarnation != self._incarnation:
            if not self._handle_restarted_worker(listing):
                await asyncio.sleep(RETRY_PAUSE_S)
            return
        lease.update_clock(listing.clock_s)
        self._acknowledged_end = max(self._acknowledged_end, acknowledged)
        self._process_listing(listing, number)

    def _handle_restarted_worker(self, listing: worker_client.WorkerListing) -> bool:
        """Process a listing of another incarnation under the same id; a later heartbeat reports its capacity.

        Return False for a late reply of an earlier incarnation, which is left out.
        """
        if listing.incarnation < self._incarnation or self._heartbeat is None:
            return False
        self._begin_incarnation(
            self._heartbeat.worker, listing.incarnation, listing.clock_s, self._token, is_same_worker=True
        )
        self._log_phase("listing_of_new_life")
        self._observer.on_report_changed()
        return True

    def _process_listing(self, listing: worker_client.WorkerListing, number: int) -> None:
        for end in listing.ends:
            if end.number <= self._processed_end:
                continue
            self._processed_end = end.number
            run = self._registry.get(end.key) if end.key is not None else None
            if run is not None:
                self._end_run(run, end.kind, run.stop_reason)
        running = set(listing.running)
        for run in list(self._registry.runs):
            if run.key in running:
                if run.phase is run_registry.RunPhase.STARTING:
                    self._mark_running(run)
            elif run.first_conclusive_listing is not None and number >= run.first_conclusive_listing:
                self._end_run(run, scheduling.EndKind.LOST, run.stop_reason or "not_listed")
        orphans = [key for key in running if self._registry.get(key) is None]
        if not self._is_recovered and not orphans:
            self._is_recovered = True
            self._log_phase("recovered")
            self._observer.on_report_changed()
        for key in orphans:
            self._spawn(self._stop_orphan(key))

    async def _stop_orphan(self, key: ids.RunKey) -> None:
        """Stop a run that is not in the registry: its entry is unknown or was told already that the run ended."""
        if self._client is None:
            return
        self._observer.log_event("orphan_stopped", run=str(key))
        with contextlib.suppress(
            worker_client.WorkerCallError, worker_client.FencedError, worker_client.WrongWorkerError
        ):
            await self._client.stop(key, self._token.value)  # if this fails, the run is in the next listing again

    def _schedule_grant_check(self) -> None:
        if self._grant_timer is not None:
            self._grant_timer.cancel()
        self._grant_timer = None
        if self._grants:
            self._grant_timer = asyncio.get_running_loop().call_at(min(self._grants.values()), self._check_grants)

    def _stop_expired_grants(self) -> None:
        """Check the grants if their timer is overdue: after a pause, replies are processed before timers fire."""
        if self._grant_timer is not None and asyncio.get_running_loop().time() >= self._grant_timer.when():
            self._grant_timer.cancel()
            self._check_grants()

    def _check_grants(self) -> None:
        """Stop the runs of entries whose grants have ended."""
        now = asyncio.get_running_loop().time()
        for owner, until in list(self._grants.items()):
            if now < until:
                continue
            del self._grants[owner]
            owned = self._registry.owned_by(owner)
            if owned:
                self._observer.log_event(
                    "grant_ended", entry=owner, runs=len(owned), late_ms=round((now - until) * 1000)
                )
                self.stop([run.key for run in owned], "grant_ended")
        self._grant_timer = None
        self._schedule_grant_check()

    def _end_run(self, run: run_registry.Run, kind: scheduling.EndKind, reason: str) -> None:
        now = asyncio.get_running_loop().time()
        self._registry.remove(run.key)
        ran_s = 0.0
        if kind is scheduling.EndKind.DONE:
            ran_s = self._registry.record_completion(run, now)
        elif kind is scheduling.EndKind.FAILED:
            ran_s = now - run.started_at
        self._observer.on_run_ended(run.owner, scheduling.RunEnd(run.key, kind, ran_s, reason))

    def _handle_worker_gone(self, client: worker_client.WorkerClient) -> None:
        """Handle the loss of a client's worker; its successor sends heartbeats of its own, or has begun to."""
        if self._client is not client:
            return
        self._client = None
        self._is_down = True
        self._is_recovered = False
        self._mark_all_lost("worker_gone", has_crashed=True)
        self._log_phase("worker_gone")
        self._observer.on_report_changed()

    def _mark_all_lost(self, reason: str, has_crashed: bool) -> None:
        runs = list(self._registry.runs)
        if runs:
            self._observer.log_event("runs_lost", runs=len(runs), reason=reason)
        if has_crashed:
            self._report_crash()
        for run in runs:
            self._end_run(run, scheduling.EndKind.LOST, reason)

    def _record_failure(self) -> None:
        if self._failing_since is None:
            self._failing_since = asyncio.get_running_loop().time()

    def _report_crash(self) -> None:
        """Report the tasks on a worker that has crashed; one that was draining has stopped as planned."""
        # Runs of a worker that restarted under its id stay in the registry until a listing shows that they are gone.
        runs = [run for run in self._registry.runs if not run.is_crash_reported]
        if not runs or (self._heartbeat is not None and self._heartbeat.is_draining):
            return
        crashed_at = self._failing_since if self._failing_since is not None else asyncio.get_running_loop().time()
        tasks = crash_attribution.tasks_at_crash(runs, crashed_at)
        self._observer.log_event(
            "worker_crashed",
            life=self._incarnation,
            recent=" ".join(str(task) for task in tasks.recent),
            unconfirmed=" ".join(str(task) for task in tasks.unconfirmed),
            others=len(tasks.others),
        )
        for run in runs:
            run.is_crash_reported = True
        self._observer.on_worker_crashed(self._generation, tasks)

    def _mark_down(self) -> None:
        if not self._is_down:
            self._is_down = True
            self._log_phase("connection_refused")
            self._observer.on_report_changed()

    def _log_phase(self, cause: str) -> None:
        self._observer.log_event("worker_phase", phase=self.phase.value, cause=cause)

    def _raise_token(self, refused: int, clock_s: float | None) -> None:
        if self._token.exceed(refused, clock_s):
            self._observer.log_event("fencing_token_raised", token=self._token.value)
