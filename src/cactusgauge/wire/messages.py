"""Typed messages between entries and agents and among entries.

Messages are named tuples, so that a frame is a compact CBOR array `[kind, *fields]`. The order of the fields is
part of the protocol; a change of it needs a new PROTOCOL_VERSION.
"""

from typing import Annotated, NamedTuple

import pydantic

from cactusgauge import ids

PROTOCOL_VERSION = 2

# The final states of `jobs.TaskState`, as only ended tasks are reported.
FinalState = Annotated[str, pydantic.Field(pattern="^(completed|failed|not_run|unknown)$")]


class EntryInfo(NamedTuple):
    """What processes tell each other about an entry."""

    name: ids.EntryName
    incarnation: ids.EntryIncarnation
    link_url: str
    http_url: str
    data_centre: ids.DataCentreName
    workspaces: list[ids.WorkspaceName]
    weight: float
    serving: bool


class Start(NamedTuple):
    """One task to start; `task` is its index and `remaining_ms` is the time left until the job's deadline."""

    session: ids.SessionId
    number: int
    task: int
    task_count: int
    digest: bytes
    kind: str
    payload: str
    idempotent: bool
    remaining_ms: int


class Outcome(NamedTuple):
    """The end of one task at an agent; `state` is the value of a final `jobs.TaskState`."""

    session: ids.SessionId
    number: int
    task: int
    state: FinalState
    reason: str
    result: bytes
    run_ms: float


class AgentHello(NamedTuple):
    """First message of an agent on a new link; `http_url` is where operators reach it."""

    protocol: int
    name: ids.AgentName
    incarnation: ids.AgentIncarnation
    workspace: ids.WorkspaceName
    data_centre: ids.DataCentreName
    slots: int
    http_url: str


class Welcome(NamedTuple):
    """Answer to `AgentHello`; results up to `last_result_number` were received."""

    protocol: int
    name: ids.EntryName
    incarnation: ids.EntryIncarnation
    last_result_number: int
    entries: list[EntryInfo]


class Resume(NamedTuple):
    """Ends the handshake; assigns above `last_assign_number` were not and will not be handled.

    `link_number` counts the agent's links to the entry incarnation. A message of a link may arrive after those of a
    later one, so without it an old `Resume` would pass for proof that newer assigns were not handled.
    """

    last_assign_number: int
    credit: int
    serving: bool
    link_number: int


class Assign(NamedTuple):
    """Starts for one agent; `demand` is the number of tasks left in the entry's queue."""

    number: int
    result_ack: int
    demand: int
    starts: list[Start]


class Results(NamedTuple):
    """Outcomes; `credit` is how many starts of this entry may run at the agent at once."""

    number: int
    assign_ack: int
    credit: int
    outcomes: list[Outcome]


class AgentState(NamedTuple):
    """A change of the agent's state or of the entry's credit without any outcome."""

    assign_ack: int
    credit: int
    serving: bool


class Heartbeat(NamedTuple):
    """Sent on an idle link; acknowledges what was received, and shows the entry's demand."""

    ack: int
    demand: int


class Entries(NamedTuple):
    """The entries that the sender sees alive."""

    entries: list[EntryInfo]


class AgentConfig(NamedTuple):
    """The part of the configuration that an agent needs; a version not above the agent's is ignored."""

    version: int
    slots: int


class Seal(NamedTuple):
    """Asks an agent to start nothing more of a session and to list what it holds of one job."""

    request: int
    session: ids.SessionId
    number: int


class Sealed(NamedTuple):
    """Answer to `Seal`: the job as the agent saw it; `task_count` is 0 if it saw nothing of it."""

    request: int
    task_count: int
    digest: bytes
    running: list[int]
    outcomes: list[Outcome]


class PeerHello(NamedTuple):
    """First message between entries, sent by both sides."""

    protocol: int
    info: EntryInfo
    config_version: int
    known: list[EntryInfo]


class PeerBeat(NamedTuple):
    """Heartbeat between entries; what else is known of the sender was in its `PeerHello`."""

    serving: bool
    config_version: int


class HandOverJob(NamedTuple):
    """A finished job: its digest and its answer as JSON."""

    number: int
    digest: bytes
    answer: bytes


class HandOverSession(NamedTuple):
    """A session of a stopped owner with the answers that it still held."""

    session: ids.SessionId
    watermark: int
    jobs: list[HandOverJob]


class HandOver(NamedTuple):
    """Sessions handed to the successor of an entry that stops; the last part has `last` set."""

    incarnation: ids.EntryIncarnation
    sessions: list[HandOverSession]
    last: bool


class HandOverDone(NamedTuple):
    """Says that the sessions of `incarnation` are closed and answered by the entry `successor`."""

    incarnation: ids.EntryIncarnation
    successor: ids.EntryIncarnation


Message = (
    AgentHello
    | Welcome
    | Resume
    | Assign
    | Results
    | AgentState
    | Heartbeat
    | Entries
    | Seal
    | Sealed
    | PeerHello
    | PeerBeat
    | HandOver
    | HandOverDone
    | AgentConfig
)

MESSAGE_TYPES: tuple[type[Message], ...] = (
    AgentHello,
    Welcome,
    Resume,
    Assign,
    Results,
    AgentState,
    Heartbeat,
    Entries,
    Seal,
    Sealed,
    PeerHello,
    PeerBeat,
    HandOver,
    HandOverDone,
    AgentConfig,
)
