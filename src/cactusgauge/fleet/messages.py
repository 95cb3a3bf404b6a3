"""Messages between entries and the agents that hold runs for them.

A stamp is a time of the agent's clock. An entry repeats the newest stamp that it has received, so that a grant counts
from a moment that the agent knows, whatever the delay of the messages. The order of the fields is part of the
protocol; a change of it needs a new PROTOCOL_VERSION.
"""

from typing import NamedTuple

from cactusgauge import ids, scheduling

PROTOCOL_VERSION = 3


class EntryHello(NamedTuple):
    """First message of an entry on a new link; `entries` are the link URLs of the entries that it knows."""

    protocol: int
    entry: str
    incarnation: ids.EntryIncarnation
    config_version: int
    entries: list[str]


class EndedRun(NamedTuple):
    """The end of a run; `number` rises for each entry incarnation."""

    number: int
    key: ids.RunKey
    kind: scheduling.EndKind
    ran_ms: int
    reason: str


class AgentHello(NamedTuple):
    """Answer to `EntryHello`: what the agent holds for the entry.

    `handled_start` is the number of the last start that arrived, on whatever link; later ones never will. `ends` are
    those not yet acknowledged.
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
    """Sent by an agent at every beat; `entries` are the link URLs of the entries that it is linked to."""

    stamp: float
    config_version: int
    entries: list[str]


class Report(NamedTuple):
    """The worker's state, which includes the reader's starts up to `handled_start`."""

    stamp: float
    handled_start: int
    worker: scheduling.WorkerReport


class Ends(NamedTuple):
    """Ends of runs of the entry that reads the message."""

    ends: list[EndedRun]


class Grant(NamedTuple):
    """Sent by an entry at every beat: its runs may go on for the length of a grant after the stamp."""

    stamp: float
    acknowledged_end: int
    config_version: int
    entries: list[str]


class StartRun(NamedTuple):
    """One run to start."""

    number: int
    key: ids.RunKey
    demand: scheduling.Resources
    expected_ms: float
    payload: str


class Starts(NamedTuple):
    """Runs to start; the order is void when the stamp is older than a grant."""

    stamp: float
    starts: list[StartRun]


class Stops(NamedTuple):
    """Runs to stop."""

    keys: list[ids.RunKey]
    reason: str


class CancelJob(NamedTuple):
    """Cancels a job that the sender does not hold: sent by an entry and passed on by agents to the other entries."""

    job: ids.JobKey


class DocumentRequest(NamedTuple):
    """Asks for the configuration, as the peer has a newer one than `version`."""

    version: int


class ConfigDocument(NamedTuple):
    """The configuration as it stands in the store."""

    version: int
    body: bytes


class EntryAnnouncement(NamedTuple):
    """First message of an entry that dials another one, to become known there."""

    link_url: str


Message = (
    EntryHello
    | AgentHello
    | AgentBeat
    | Report
    | Ends
    | Grant
    | Starts
    | Stops
    | CancelJob
    | DocumentRequest
    | ConfigDocument
    | EntryAnnouncement
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
    CancelJob,
    DocumentRequest,
    ConfigDocument,
    EntryAnnouncement,
)
