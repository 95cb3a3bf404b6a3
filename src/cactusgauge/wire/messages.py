"""Typed messages between entries and agents, and between entries.

Messages are named tuples, which are encoded as compact CBOR arrays `[kind, *fields]`. The order of the fields is part
of the protocol; changing it requires a new PROTOCOL_VERSION.
"""

from typing import Annotated, NamedTuple

import pydantic

from cactusgauge import ids

PROTOCOL_VERSION = 3

# The final states of `jobs.TaskState`: only finished tasks are reported.
FinalState = Annotated[str, pydantic.Field(pattern="^(completed|failed|not_run|unknown)$")]


class EntryInfo(NamedTuple):
    """Describes an entry to other processes."""

    name: ids.EntryName
    incarnation: ids.EntryIncarnation
    link_url: str
    http_url: str
    data_centre: ids.DataCentreName
    workspaces: list[ids.WorkspaceName]
    weight: float
    serving: bool


class Start(NamedTuple):
    """One task to start; `task` is its index and `remaining_ms` is the time left until the job's deadline.

    `number` is the number of the job in its session, and `digest` identifies the body of the submitted job.
    """

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
    """The outcome of one task at an agent; `state` is the value of a final `jobs.TaskState`.

    `number` is the number of the job in its session, and `task` the index of the task.
    """

    session: ids.SessionId
    number: int
    task: int
    state: FinalState
    reason: str
    result: bytes
    run_ms: float


class AgentHello(NamedTuple):
    """First message of an agent on a new link; `http_url` is its address for operators."""

    protocol: int
    name: ids.AgentName
    incarnation: ids.AgentIncarnation
    workspace: ids.WorkspaceName
    data_centre: ids.DataCentreName
    slots: int
    http_url: str


class Welcome(NamedTuple):
    """Reply to `AgentHello`; the entry has received the results up to `last_result_number`."""

    protocol: int
    name: ids.EntryName
    incarnation: ids.EntryIncarnation
    last_result_number: int
    entries: list[EntryInfo]


class Resume(NamedTuple):
    """Ends the handshake; assigns above `last_assign_number` were not handled and will not be.

    `link_number` counts the agent's links to the entry incarnation. A message may arrive after those of a later link,
    so without this number a delayed `Resume` would wrongly prove that newer assigns were not handled.
    """

    last_assign_number: int
    credit: int
    serving: bool
    link_number: int


class Assign(NamedTuple):
    """Tasks to start at one agent; `demand` is the number of tasks left in the entry's queue.

    `result_ack` is the number of the last results message that the entry received.
    """

    number: int
    result_ack: int
    demand: int
    starts: list[Start]


class Results(NamedTuple):
    """Outcomes of tasks; `credit` is how many tasks of this entry may run at the agent at the same time.

    `assign_ack` is the number of the last assign message that the agent handled.
    """

    number: int
    assign_ack: int
    credit: int
    outcomes: list[Outcome]


class AgentState(NamedTuple):
    """Sent when the agent's state or the entry's credit changes and there is no outcome to report."""

    assign_ack: int
    credit: int
    serving: bool


class Heartbeat(NamedTuple):
    """Sent when there is no other message; `ack` is the number of the last message that the sender handled.

    That is an assign message if an agent sends the heartbeat, and a results message if an entry does. `demand` is the
    number of tasks in the entry's queue; agents send 0.
    """

    ack: int
    demand: int


class Entries(NamedTuple):
    """The entries that the sender considers alive."""

    entries: list[EntryInfo]


class AgentConfig(NamedTuple):
    """The configuration values for an agent, which ignores versions that are not newer than its own."""

    version: int
    slots: int


class Seal(NamedTuple):
    """Asks an agent to refuse later starts of a session and to report its records of one job.

    `number` is the number of the job in the session; the reply repeats `request`.
    """

    request: int
    session: ids.SessionId
    number: int


class Sealed(NamedTuple):
    """Reply to `Seal` with the agent's records of the job; `task_count` is 0 if there are none."""

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
    """Heartbeat between entries; the other details of the sender are in its `PeerHello`."""

    serving: bool
    config_version: int


class HandOverJob(NamedTuple):
    """A finished job: its digest and its answer as JSON."""

    number: int
    digest: bytes
    answer: bytes


class HandOverSession(NamedTuple):
    """A session of a stopped owner with the answers that the owner still stored.

    Jobs with numbers up to `watermark` that are not in `jobs` are refused.
    """

    session: ids.SessionId
    workspace: ids.WorkspaceName
    watermark: int
    jobs: list[HandOverJob]


class HandOver(NamedTuple):
    """Sessions handed over to the successor of a stopping entry, in parts; `last` marks the last part."""

    incarnation: ids.EntryIncarnation
    sessions: list[HandOverSession]
    last: bool


class HandOverDone(NamedTuple):
    """Reports that the sessions of `incarnation` are closed and that `successor` serves their answers."""

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
