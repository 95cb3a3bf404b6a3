"""Orders to a worker, behind one narrow abstract class."""

import abc
import enum
from typing import NamedTuple

from cactusgauge import exceptions, ids, scheduling


class StartStatus(enum.Enum):
    """A worker's reply to a start."""

    STARTED = "started"
    OLD_RUN = "old_run"  # a run of that task with this or a higher number was here before
    FENCED = "fenced"  # the worker has seen a higher fencing token
    EXPIRED = "expired"  # the order's lease had ended before it arrived
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"  # the worker says that it did nothing
    REJECTED = "rejected"


class StartRequest(NamedTuple):
    """A start: `lease_until_s` is on the worker's clock."""

    key: ids.RunKey
    payload: str
    lease_until_s: float
    fencing_token: int


class WorkerRunEnd(NamedTuple):
    """A run's end as the worker numbers it; the worker lists it until its number is acknowledged."""

    number: int
    key: ids.RunKey | None  # None for a task that is not named as ours are
    kind: scheduling.EndKind


class WorkerListing(NamedTuple):
    """What runs at a worker and what has ended there; `clock_s` is the worker's clock."""

    clock_s: float
    incarnation: int
    running: list[ids.RunKey]
    ends: list[WorkerRunEnd]


class StartReply(NamedTuple):
    """The verdict of a start and the worker's clock, if the reply had it."""

    status: StartStatus
    clock_s: float | None


class WorkerCallError(exceptions.CactusgaugeError):
    """A worker did not reply; the order may or may not have been carried out, now or later."""

    code = "worker_call_failed"


class WorkerDownError(WorkerCallError):
    """Nothing listens at the worker's address, so the order was not received."""

    code = "worker_down"


class WrongWorkerError(exceptions.CactusgaugeError):
    """Another worker, or a later life of the same one, answered at the address and did nothing."""

    code = "wrong_worker"


class FencedError(exceptions.CactusgaugeError):
    """The worker has seen a higher fencing token; `clock_s` is the worker's clock."""

    code = "fenced"

    def __init__(self, clock_s: float | None) -> None:
        super().__init__("a higher fencing token was used at this worker")
        self.clock_s = clock_s


class WorkerClient(abc.ABC):
    """Calls to one life of one worker; each raises `WorkerCallError` without a reply."""

    @abc.abstractmethod
    async def start(self, request: StartRequest) -> StartReply:
        """Start a run; starting a run that is already there changes nothing."""

    @abc.abstractmethod
    async def stop(self, key: ids.RunKey, fencing_token: int) -> None:
        """Stop a run; one that has not arrived yet will be rejected."""

    @abc.abstractmethod
    async def poll(
        self, fencing_token: int, acknowledged: int, lease_until_s: float | None, wait_s: float
    ) -> WorkerListing:
        """Extend the lease of everything that runs, acknowledge ends and list; wait up to `wait_s` for an end."""
