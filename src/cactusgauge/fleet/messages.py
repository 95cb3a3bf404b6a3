"""Messages between entries and the agents that execute runs for them.

A stamp is a time of the agent's clock. An entry returns the newest stamp that it has received, so that a grant starts
at a time that the agent knows, however long the messages take. The order of the fields is part of the protocol; a
change of it needs a new PROTOCOL_VERSION.
"""

import urllib.parse
from typing import Annotated, NamedTuple

import pydantic

from cactusgauge import ids, scheduling

PROTOCOL_VERSION = 6
MAX_LISTED_ENTRIES = 1_000  # many times the number of entries at the target size
MAX_STARTED_JOBS = 2_000  # in one message
MAX_CANCELED_JOBS = 500  # in one message, of about 20 KB


def is_link_url(url: str) -> bool:
    """Return whether a URL can be dialled."""
    try:
        parts = urllib.parse.urlsplit(url)
        return parts.scheme in ("ws", "wss") and bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False


def _check_link_url(url: str) -> str:
    if not is_link_url(url):
        raise ValueError("not a WebSocket URL")
    return url


LinkUrl = Annotated[str, pydantic.AfterValidator(_check_link_url)]
# Not validated one by one: an odd URL that an entry has learned from another must not end its own links. `KnownEntries`
# leaves it out.
LinkUrls = Annotated[list[str], pydantic.Field(max_length=MAX_LISTED_ENTRIES)]


class EntryHello(NamedTuple):
    """First message of an entry on a new link; `entries` are the link URLs of the entries that it knows."""

    protocol: int
    entry: str
    incarnation: ids.EntryIncarnation
    config_version: int
    entries: LinkUrls


class EndedRun(NamedTuple):
    """The end of a run after `ran_ms` milliseconds; `number` increases separately for each entry incarnation."""

    number: int
    key: ids.RunKey
    kind: scheduling.EndKind
    ran_ms: int
    reason: str


class AgentHello(NamedTuple):
    """Answer to `EntryHello`: the runs and ends that the agent has for the entry.

    `handled_start` is the number of the last start that arrived on any link; later ones will never arrive. `held` are
    the entry's runs at the agent, `ends` the ends that the entry has not acknowledged.
    """

    protocol: int
    agent: ids.AgentName
    incarnation: ids.AgentIncarnation
    data_centre: ids.DataCentreName
    stamp: float
    config_version: int
    handled_start: int
    held: list[ids.RunKey]
    ends: list[EndedRun]


class AgentBeat(NamedTuple):
    """Heartbeat of an agent; `entries` are the link URLs of the entries that it is linked to."""

    stamp: float
    config_version: int
    entries: LinkUrls


class Report(NamedTuple):
    """The worker's state, which includes the receiver's starts up to `handled_start`."""

    stamp: float
    handled_start: int
    worker: scheduling.WorkerReport


class Ends(NamedTuple):
    """Ends of runs that belong to the receiving entry."""

    ends: list[EndedRun]


class Grant(NamedTuple):
    """Sent regularly by an entry: its runs may continue until `RunTiming.grant_s` after the stamp.

    The entry has received the ends up to `acknowledged_end`. `entries` are the link URLs of the entries that it knows;
    the list is usually left empty if it has not changed.
    """

    stamp: float
    acknowledged_end: int
    config_version: int
    entries: LinkUrls


class StartRun(NamedTuple):
    """One run to start; `number` increases separately for each agent incarnation.

    `generation` is that of the report by which the worker was chosen; the agent refuses the run for any other one.
    """

    number: int
    generation: int
    key: ids.RunKey
    demand: scheduling.Resources
    expected_ms: float
    payload: str


class Starts(NamedTuple):
    """Runs to start; the agent refuses them if the stamp is older than `RunTiming.grant_s`.

    Otherwise they extend the grant like a `Grant` with this stamp.
    """

    stamp: float
    starts: list[StartRun]


class Stops(NamedTuple):
    """Runs to stop."""

    keys: list[ids.RunKey]
    reason: str


class CanceledJobs(NamedTuple):
    """Jobs whose cancellation was requested; any entry may have them, or be sent them later.

    Each process passes a job on once. At link-up, both ends tell each other of the newest ones.
    """

    jobs: Annotated[list[ids.QueuedJob], pydantic.Field(max_length=MAX_CANCELED_JOBS)]


class StartedJobs(NamedTuple):
    """Jobs that an entry has started and ended without an outcome, or may have started before it was lost.

    Their callers may send them to any entry, which must not say that they did not run. Each process passes a job on
    once.
    """

    jobs: Annotated[list[ids.JobKey], pydantic.Field(max_length=MAX_STARTED_JOBS)]


class DocumentRequest(NamedTuple):
    """Requests the configuration of a peer that has a newer one than `version`."""

    version: int


class ConfigDocument(NamedTuple):
    """The configuration in the form in which it is stored."""

    version: int
    body: bytes


class EntryAnnouncement(NamedTuple):
    """First message of an entry that dials another one to make itself known."""

    link_url: LinkUrl


Message = (
    EntryHello
    | AgentHello
    | AgentBeat
    | Report
    | Ends
    | Grant
    | Starts
    | Stops
    | CanceledJobs
    | StartedJobs
    | DocumentRequest
    | ConfigDocument
    | EntryAnnouncement
    | scheduling.WorkerCrash
)

MESSAGE_TYPES: tuple[type[Message], ...] = (
    EntryHello,
    AgentHello,
    AgentBeat,
    Report,
    Ends,
    Grant,
    Starts,
    Stops,
    CanceledJobs,
    StartedJobs,
    DocumentRequest,
    ConfigDocument,
    EntryAnnouncement,
    scheduling.WorkerCrash,
)
