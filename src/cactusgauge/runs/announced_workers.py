"""Asks announced workers who they are before one of them takes the place of the worker in use."""

import asyncio
import enum
import functools
from typing import TYPE_CHECKING

from cactusgauge import background
from cactusgauge.runs import fencing_token, worker_client

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import ids
    from cactusgauge.runs import worker_heartbeat

FIRST_PAUSE_S = 0.02  # after a request without a reply; doubled with each further one
MAX_PAUSE_S = 0.1
MAX_ANNOUNCEMENTS = 8  # a machine has one worker, so all but one or two come from other writers


class Verdict(enum.Enum):
    """What follows from the reply of an announced worker."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNDECIDED = "undecided"  # it is asked again


class Announcement:
    """A worker that heartbeats describe, of which `heartbeat` is the newest one, and that is asked who it is."""

    def __init__(
        self,
        heartbeat: "worker_heartbeat.WorkerHeartbeat",
        client: worker_client.WorkerClient,
        token: fencing_token.FencingToken,
    ) -> None:
        self.heartbeat = heartbeat
        self.heard_at = asyncio.get_running_loop().time()
        self.client = client
        self.token = token
        self.has_answered = False
        self.refusal = "it does not answer"  # reason in the log if it is not accepted


class AnnouncedWorkers:
    """Asks each announced worker for its listing, until it answers or is not announced any more.

    A heartbeat proves nothing, as it may come from another writer, or late from a worker that has ended. A reply does:
    the request names the worker's id, which all other workers refuse, and the listing contains the incarnation.
    `connect` returns a client for the worker that a heartbeat describes. `decide` is called with a worker that has
    confirmed its announcement and with its listing, `on_refused` with one that is not asked any more. A worker is asked
    for `forget_after_s` after its last heartbeat.
    """

    def __init__(
        self,
        connect: "abc.Callable[[worker_heartbeat.WorkerHeartbeat], worker_client.WorkerClient]",
        decide: "abc.Callable[[Announcement, worker_client.WorkerListing], abc.Awaitable[Verdict]]",
        on_refused: "abc.Callable[[Announcement], None]",
        forget_after_s: float,
        log_event: "abc.Callable[..., None]",
    ) -> None:
        self._connect = connect
        self._decide = decide
        self._on_refused = on_refused
        self._forget_after_s = forget_after_s
        self._log_event = log_event
        self._announcements: dict[tuple[ids.WorkerId, int, str], Announcement] = {}
        self._tasks: dict[Announcement, asyncio.Task[None]] = {}
        self._accepted_count = 0

    async def close(self) -> None:
        """Ask no worker any more."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def has_pending(self, worker: "ids.WorkerId", address: str) -> bool:
        """Return whether a worker with this id and address is announced and has not answered yet."""
        return any(
            (each.heartbeat.worker, each.heartbeat.address) == (worker, address) and not each.has_answered
            for each in self._announcements.values()
        )

    def add(self, heartbeat: "worker_heartbeat.WorkerHeartbeat", token: fencing_token.FencingToken) -> None:
        """Ask the worker that a heartbeat describes, unless it is being asked already; `token` is for the requests."""
        key = (heartbeat.worker, heartbeat.incarnation, heartbeat.address)
        known = self._announcements.get(key)
        if known is not None:
            known.heard_at = asyncio.get_running_loop().time()
            if heartbeat.sequence > known.heartbeat.sequence:
                known.heartbeat = heartbeat
            return
        if len(self._announcements) >= MAX_ANNOUNCEMENTS:
            self._drop(min(self._announcements.values(), key=lambda each: each.heard_at))
        announcement = self._announcements[key] = Announcement(heartbeat, self._connect(heartbeat), token)
        ask = functools.partial(self._ask, announcement)
        task = asyncio.create_task(background.keep_running("announcement", ask, self._log_event))
        self._tasks[announcement] = task
        task.add_done_callback(lambda _: self._forget(announcement))

    def _drop(self, announcement: Announcement) -> None:
        self._tasks[announcement].cancel()
        announcement.refusal = "too many others have been announced since"
        self._refuse(announcement)

    def _forget(self, announcement: Announcement) -> None:
        self._tasks.pop(announcement, None)
        self._announcements = {key: each for key, each in self._announcements.items() if each is not announcement}

    async def _ask(self, announcement: Announcement) -> None:
        loop = asyncio.get_running_loop()
        pause_s = FIRST_PAUSE_S
        while loop.time() - announcement.heard_at <= self._forget_after_s:
            verdict = await self._ask_once(announcement)
            if verdict is Verdict.ACCEPTED:
                self._accepted_count += 1
                return
            if verdict is Verdict.REFUSED:
                break
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)
        self._refuse(announcement)

    async def _ask_once(self, announcement: Announcement) -> Verdict:
        accepted_count = self._accepted_count
        try:
            listing = await self._request_listing(announcement)
        except worker_client.WrongWorkerError:
            announcement.refusal = "another worker answers"
            return Verdict.REFUSED
        except worker_client.WorkerCallError as error:
            announcement.refusal = str(error)
            return Verdict.UNDECIDED
        if listing.incarnation not in (0, announcement.heartbeat.incarnation):
            announcement.refusal = f"it answers as incarnation {listing.incarnation}"
            return Verdict.REFUSED
        if self._accepted_count != accepted_count:
            return Verdict.UNDECIDED  # the reply may be older than that of the worker which was accepted meanwhile
        announcement.has_answered = True
        verdict = await self._decide(announcement, listing)
        announcement.has_answered = verdict is not Verdict.UNDECIDED
        return verdict

    async def _request_listing(self, announcement: Announcement) -> worker_client.WorkerListing:
        while True:
            token = announcement.token.value
            try:
                return await announcement.client.poll(token, 0, None, 0.0)
            except worker_client.FencedError as error:
                if token >= fencing_token.MAX_TOKEN:
                    raise worker_client.WorkerCallError("the worker refuses each fencing token") from error
                announcement.token.exceed(token, error.clock_s)

    def _refuse(self, announcement: Announcement) -> None:
        self._forget(announcement)
        heartbeat = announcement.heartbeat
        self._log_event(
            "announcement_refused",
            worker=heartbeat.worker,
            life=heartbeat.incarnation,
            address=heartbeat.address,
            service=heartbeat.service,
            reason=announcement.refusal,
        )
        self._on_refused(announcement)
