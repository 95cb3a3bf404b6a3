"""Interface for requests to a worker."""

import abc
import enum
from typing import NamedTuple

from cactusgauge import exceptions, ids, scheduling


class StartStatus(enum.Enum):
    """A worker's reply to a start request."""

    STARTED = "started"
    OLD_RUN = "old_run"  # the worker has had a run of this task with the same or a higher number
    FENCED = "fenced"  # the worker has seen a higher fencing token
    EXPIRED = "expired"  # the lease in the request had ended before it arrived
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"  # the worker refused as unhealthy (status 429 or 503) and started nothing
    REJECTED = "rejected"


class StartRequest(NamedTuple):
    """A request to start a run; `lease_until_s` is on the worker's clock."""

    key: ids.RunKey
    payload: str
    lease_until_s: float
    fencing_token: int


class WorkerRunEnd(NamedTuple):
    """The end of a run; the worker numbers ends and lists each one until its number is acknowledged."""

    number: int
    key: ids.RunKey | None  # None if the task name does not have the format that this program uses
    kind: scheduling.EndKind


class WorkerListing(NamedTuple):
    """The running and ended runs at a worker; `clock_s` is its clock, `incarnation` is 0 if the reply lacks it."""

    clock_s: float
    incarnation: int
    running: list[ids.RunKey]
    ends: list[WorkerRunEnd]


class StartReply(NamedTuple):
    """The status of a start request and the worker's clock, if the reply contains it."""

    status: StartStatus
    clock_s: float | None


class WorkerCallError(exceptions.CactusgaugeError):
    """A worker did not reply; it may or may not carry out the request, even later."""

    code = "worker_call_failed"


class WorkerDownError(WorkerCallError):
    """Nothing listens at the worker's address, so the request was not received."""

    code = "worker_down"


class WrongWorkerError(exceptions.CactusgaugeError):
    """Another worker, or a later incarnation of the same one, answered at the address and did nothing."""

    code = "wrong_worker"


class FencedError(exceptions.CactusgaugeError):
    """The worker has seen a higher fencing token; `clock_s` is its clock, or None if the reply does not contain it."""

    code = "fenced"

    def __init__(self, clock_s: float | None) -> None:
        super().__init__("a higher fencing token was used at this worker")
        self.clock_s = clock_s


class WorkerClient(abc.ABC):
    """Sends requests to one incarnation of one worker; each raises `WorkerCallError` if no reply arrives."""

    @abc.abstractmethod
    async def start(self, request: StartRequest) -> StartReply:
        """Start a run; starting a run that is already there changes nothing."""

    @abc.abstractmethod
    async def stop(self, key: ids.RunKey, fencing_token: int) -> None:
        """Stop a run; if its start arrives only later, the worker rejects it."""

    @abc.abstractmethod
    async def poll(
        self, fencing_token: int, acknowledged: int, lease_until_s: float | None, wait_s: float
    ) -> WorkerListing:
        """Extend the lease of all runs, acknowledge ends and list runs; wait up to `wait_s` for an end.

        `acknowledged` is the number of the last processed end. `lease_until_s` is on the worker's clock; None leaves
        the lease unchanged.
        """
