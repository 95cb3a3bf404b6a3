"""CBOR codec of the messages."""

import enum
import io
from typing import TYPE_CHECKING, Any

import cbor2
import pydantic

from cactusgauge import exceptions
from cactusgauge.wire import messages

if TYPE_CHECKING:
    from collections import abc

MAX_FRAME_BYTES = 32 * 1024 * 1024


def _encode_enum(encoder: cbor2.CBOREncoder, value: object) -> None:
    if not isinstance(value, enum.Enum):
        raise TypeError(f"{type(value).__name__} has no encoding")
    encoder.encode(value.value)


class TupleCodec:
    """Encodes named tuples as CBOR arrays `[kind, *fields]`, where `kind` is the position in a list of types."""

    def __init__(self, message_types: "abc.Sequence[type[tuple[Any, ...]]]") -> None:
        self._message_types = message_types
        self._kind_numbers = {kind: number for number, kind in enumerate(message_types)}
        self._adapters: list[pydantic.TypeAdapter[Any]] = [pydantic.TypeAdapter(kind) for kind in message_types]

    def encode(self, message: tuple[Any, ...]) -> bytes:
        """Return the frame of a message."""
        return cbor2.dumps([self._kind_numbers[type(message)], *message], default=_encode_enum)

    def decode(self, frame: bytes | str) -> Any:
        """Return the message of a frame; raise `ProtocolError` if it is malformed or of an unknown kind."""
        decoded = self.decode_all(frame)
        if len(decoded) != 1:
            raise exceptions.ProtocolError(f"one message expected in a frame, found {len(decoded)}")
        return decoded[0]

    def decode_all(self, frame: bytes | str) -> list[Any]:
        """Return the messages of a frame, which follow each other as a CBOR sequence."""
        if isinstance(frame, str):
            raise exceptions.ProtocolError("text frame where a binary frame is expected")
        return [self._to_message(fields) for fields in self._decode_items(frame)]

    def _to_message(self, fields: Any) -> Any:
        if not isinstance(fields, list) or not fields:
            raise exceptions.ProtocolError("frame is not a non-empty array")
        kind = fields[0]
        if type(kind) is not int or not 0 <= kind < len(self._adapters):
            raise exceptions.ProtocolError("unknown message kind")  # a huge integer has no repr
        try:
            return self._adapters[kind].validate_python(fields[1:])
        except pydantic.ValidationError as error:
            name = self._message_types[kind].__name__
            raise exceptions.ProtocolError(f"malformed {name}: {error.error_count()} findings") from error

    @staticmethod
    def _decode_items(frame: bytes) -> list[Any]:
        stream = io.BytesIO(frame)
        decoder = cbor2.CBORDecoder(stream)
        items = []
        try:
            while stream.tell() < len(frame):
                items.append(decoder.decode())
        except (cbor2.CBORDecodeError, ValueError, TypeError, OverflowError, RecursionError, MemoryError) as error:
            raise exceptions.ProtocolError(f"frame is not CBOR: {error}") from error
        return items


class FrameCodec(TupleCodec):
    """The codec of the messages between entries and agents of sessions."""

    def __init__(self) -> None:
        super().__init__(messages.MESSAGE_TYPES)

    def decode(self, frame: bytes | str) -> messages.Message:
        """Return the message of a frame; raise `ProtocolError` if it is malformed or of an unknown kind."""
        message: messages.Message = super().decode(frame)
        return message
