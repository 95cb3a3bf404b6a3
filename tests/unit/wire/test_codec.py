from collections import abc

import cbor2
import hypothesis
import pytest
from hypothesis import strategies

from cactusgauge import exceptions, wire
from cactusgauge.wire import messages

# `Outcome.state` accepts only the four final states.
strategies.register_type_strategy(
    wire.Outcome,
    strategies.builds(
        wire.Outcome,
        state=strategies.sampled_from(["completed", "failed", "not_run", "unknown"]),
    ),
)
MESSAGES = strategies.one_of(*[strategies.from_type(kind) for kind in messages.MESSAGE_TYPES])
SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(max_size=5),
    strategies.binary(max_size=5),
    strategies.builds(lambda exponent: 1 << exponent, strategies.sampled_from([31, 64, 20_000])),
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=7),
        strategies.dictionaries(strategies.text(max_size=3), inner, max_size=3),
        strategies.builds(cbor2.CBORTag, strategies.integers(0, 300), inner),
    ),
    max_leaves=12,
)


class _NaiveCodec(wire.FrameCodec):
    """Does not validate what it decodes."""

    def decode(self, frame: bytes | str) -> wire.Message:
        kind, *fields = cbor2.loads(frame)  # type: ignore[arg-type]
        message: wire.Message = messages.MESSAGE_TYPES[kind](*fields)
        return message


def _mutate(frame: bytes, edits: list[tuple[int, int]], cut: int) -> bytes:
    mutated = bytearray(frame)
    for position, value in edits:
        mutated[position % len(mutated)] = value
    return bytes(mutated[: len(mutated) - cut % len(mutated)])


def _decode(codec: wire.FrameCodec, frame: bytes) -> None:
    try:
        decoded = codec.decode(frame)
    except exceptions.ProtocolError as error:
        str(error)
        return
    assert isinstance(decoded, messages.MESSAGE_TYPES)


def _check_arbitrary_bytes(codec: wire.FrameCodec) -> None:
    @hypothesis.settings(max_examples=500)
    @hypothesis.given(strategies.one_of(strategies.binary(), VALUES.map(cbor2.dumps)))
    def run(frame: bytes) -> None:
        _decode(codec, frame)

    run()


def _check_wrong_fields(codec: wire.FrameCodec) -> None:
    @hypothesis.settings(max_examples=300)
    @hypothesis.given(strategies.integers(0, len(messages.MESSAGE_TYPES)), strategies.lists(VALUES, max_size=9))
    def run(kind: int, fields: list[object]) -> None:
        _decode(codec, cbor2.dumps([kind, *fields]))

    run()


def _check_mutated_frames(codec: wire.FrameCodec) -> None:
    edits = strategies.lists(strategies.tuples(strategies.integers(0, 500), strategies.integers(0, 255)), max_size=4)

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(MESSAGES, edits, strategies.integers(0, 20))
    def run(message: wire.Message, edits: list[tuple[int, int]], cut: int) -> None:
        _decode(codec, _mutate(wire.FrameCodec().encode(message), edits, cut))

    run()


FUZZ = pytest.mark.parametrize("check", [_check_arbitrary_bytes, _check_wrong_fields, _check_mutated_frames])


@FUZZ
def test_bad_frames_raise_only_protocol_errors(check: abc.Callable[[wire.FrameCodec], None]) -> None:
    """Guards against a bad frame that raises an error which does more than close its connection."""
    check(wire.FrameCodec())


@FUZZ
def test_naive_codec_lets_other_errors_out(check: abc.Callable[[wire.FrameCodec], None]) -> None:
    """Shows that the fuzzing above detects a faulty codec."""
    with pytest.raises((cbor2.CBORDecodeError, ValueError, TypeError, IndexError, AssertionError, KeyError)):
        check(_NaiveCodec())


@pytest.mark.parametrize("kind", messages.MESSAGE_TYPES)
def test_every_message_survives_the_round_trip(kind: type[wire.Message]) -> None:
    """Guards against fields that change in the encoding, and kinds that are confused."""
    codec = wire.FrameCodec()

    @hypothesis.settings(max_examples=30)
    @hypothesis.given(strategies.from_type(kind))
    def run(message: wire.Message) -> None:
        decoded = codec.decode(codec.encode(message))
        assert type(decoded) is kind
        assert codec.encode(decoded) == codec.encode(message)

    run()


@pytest.mark.parametrize(
    "frame",
    [
        "text",
        b"",
        b"\x80",
        b"\x81" * 5000 + b"\x00",
        cbor2.dumps([1 << 20_000]),
        cbor2.dumps([True, 0, 0]),
        cbor2.dumps([4, 1, 0, 1, [["s", 1, 0, "queued", "", b"", 0.0]]]),
        cbor2.dumps([5, cbor2.CBORTag(4, [400, 1]), 0, True]),
        b"\xd8\x1c\x82\x05\xd8\x1d\x00",
    ],
    ids=["text", "empty", "empty array", "nested", "huge kind", "bool kind", "open task state", "decimal", "cycle"],
)
def test_invalid_frame_raises_protocol_error(frame: bytes | str) -> None:
    """Guards against frames that raised other errors before, and outcomes with a state that is not final."""
    with pytest.raises(exceptions.ProtocolError):
        wire.FrameCodec().decode(frame)
