import cbor2
import hypothesis
import pytest
from hypothesis import strategies

from cactusgauge import exceptions, ids, scheduling
from cactusgauge.fleet import fleet_codec, messages

KEY = ids.RunKey(ids.JobKey("j"), 0, 1, 2)
AMOUNTS = scheduling.Resources(1000, 10, 0)
REPORT = scheduling.WorkerReport(
    ids.ServiceName("s"), ids.WorkerId("w"), 1, scheduling.WorkerPhase.READY, AMOUNTS, AMOUNTS, ("l",), 1.0
)
END = messages.EndedRun(1, KEY, scheduling.EndKind.DONE, 20, "")
CRASH = scheduling.WorkerCrash(
    ids.AgentName("a"), ids.AgentIncarnation("i"), 1, scheduling.TasksAtCrash([KEY.task], [], [])
)
EXAMPLES: list[messages.Message] = [
    messages.EntryHello(messages.PROTOCOL_VERSION, "e", ids.EntryIncarnation("i"), 1, ["ws://10.0.0.1:80"]),
    messages.AgentHello(
        messages.PROTOCOL_VERSION, ids.AgentName("a"), ids.AgentIncarnation("i"), ids.DataCentreName("d"), 1.5, 1, 1,
        [KEY], [END],
    ),
    messages.AgentBeat(1.5, 1, ["ws://10.0.0.1:80"]),
    messages.Report(1.5, 1, REPORT),
    messages.Ends([END]),
    messages.Grant(1.5, 1, 1, []),
    messages.Starts(1.5, [messages.StartRun(1, 1, KEY, AMOUNTS, 100.0, "payload")]),
    messages.Stops([KEY], "canceled"),
    messages.CanceledJobs([ids.QueuedJob(ids.QueueName("q"), KEY.job)]),
    messages.StartedJobs([KEY.job]),
    messages.DocumentRequest(1),
    messages.ConfigDocument(1, b"{}"),
    messages.EntryAnnouncement("ws://10.0.0.1:80"),
    CRASH,
]  # fmt: skip
ODD_VALUES = [
    float("inf"), float("-inf"), float("nan"), "inf", "nan", "9" * 4000, 10**400, -(10**400), 2**53 + 1, 1e300,
    cbor2.CBORTag(4, [400, 1]), None, -1, True, "", [], [[[]]], {}, "ws://10.0.0.1:99999", "http://[", b"",
]  # fmt: skip


CODEC = fleet_codec.FleetCodec()


def _numbers(value: object) -> list[float]:
    if isinstance(value, list | tuple):
        return [number for each in value for number in _numbers(each)]
    return [value] if isinstance(value, int | float) else []


def _decode(frame: bytes) -> None:
    try:
        decoded = CODEC.decode_all(frame)
    except exceptions.ProtocolError as error:
        str(error)
        return
    assert all(abs(number) <= fleet_codec.MAX_NUMBER for message in decoded for number in _numbers(message))


def test_every_message_survives_the_round_trip() -> None:
    """Guards against checks that refuse valid messages."""
    assert {type(message) for message in EXAMPLES} == set(messages.MESSAGE_TYPES)
    assert [CODEC.decode(CODEC.encode(message)) for message in EXAMPLES] == EXAMPLES


@pytest.mark.parametrize("stamp", [float("inf"), float("nan"), "inf", "nan", 1e300, 10**400, -(10**400)], ids=repr)
def test_stamp_out_of_range_is_a_protocol_error(stamp: object) -> None:
    """Guards against a grant that never ends, and against a NaN that makes every comparison false."""
    with pytest.raises(exceptions.ProtocolError):
        CODEC.decode(cbor2.dumps([5, stamp, 0, 0, []]))


@pytest.mark.parametrize("number", [10**400, "9" * 4000, cbor2.CBORTag(4, [400, 1])], ids=["int", "text", "decimal"])
def test_huge_number_is_a_protocol_error(number: object) -> None:
    """Guards against a number that the accounting record of an agent cannot contain."""
    with pytest.raises(exceptions.ProtocolError):
        CODEC.decode(cbor2.dumps([5, 1.0, number, 0, []]))


@pytest.mark.parametrize("url", ["", "http://[", "ws://", "ws://10.0.0.1:99999", "ws://10.0.0.1:0", "http://10.0.0.1"])
def test_announced_address_must_be_one_that_can_be_dialled(url: str) -> None:
    """Guards against an entry with an odd address that all agents try to dial again and again."""
    with pytest.raises(exceptions.ProtocolError):
        CODEC.decode(cbor2.dumps([11, url]))


def test_list_of_too_many_entries_is_a_protocol_error() -> None:
    """Guards against a peer that makes an agent dial any number of addresses."""
    urls = [f"ws://10.0.0.1:{number}" for number in range(messages.MAX_LISTED_ENTRIES + 1)]
    with pytest.raises(exceptions.ProtocolError):
        CODEC.decode(cbor2.dumps([5, 1.0, 0, 0, urls]))
    assert CODEC.decode(cbor2.dumps([5, 1.0, 0, 0, urls[1:]]))


def _replace_value(value: object, position: list[int], odd: object) -> object:
    """Return a copy in which the value at a position, counted over all nested values, is replaced."""
    position[0] -= 1
    if position[0] == 0:
        return odd
    return [_replace_value(each, position, odd) for each in value] if isinstance(value, list) else value


def test_mutated_messages_raise_only_protocol_errors() -> None:
    """Guards against a frame whose error does more than close its link, or whose numbers are not bounded."""
    encoded = [CODEC.encode(message) for message in EXAMPLES]
    edits = strategies.lists(strategies.tuples(strategies.integers(0, 500), strategies.integers(0, 255)), max_size=3)

    @hypothesis.settings(max_examples=1500)
    @hypothesis.given(
        strategies.sampled_from(encoded), strategies.integers(2, 25), strategies.integers(0, len(ODD_VALUES) - 1), edits
    )
    def run(frame: bytes, position: int, odd: int, edits: list[tuple[int, int]]) -> None:
        mutated = bytearray(cbor2.dumps(_replace_value(cbor2.loads(frame), [position], ODD_VALUES[odd])))
        for index, byte in edits:
            mutated[index % len(mutated)] = byte
        _decode(bytes(mutated))

    run()
