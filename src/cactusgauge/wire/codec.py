"""CBOR codec for messages."""

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
_SCALAR_TYPES = frozenset({bool, int, float, str, bytes})


def _encode_enum(encoder: cbor2.CBOREncoder, value: object) -> None:
    if not isinstance(value, enum.Enum):
        raise TypeError(f"type {type(value).__name__} can't be encoded")
    encoder.encode(value.value)


class TupleCodec:
    """Encodes named tuples as CBOR arrays `[kind, *fields]`; `kind` is the index of the type in `message_types`."""

    def __init__(self, message_types: "abc.Sequence[type[tuple[Any, ...]]]") -> None:
        self._message_types = message_types
        self._kinds_by_type = {message_type: kind for kind, message_type in enumerate(message_types)}
        self._adapters: list[pydantic.TypeAdapter[Any]] = [
            pydantic.TypeAdapter(message_type) for message_type in message_types
        ]

    def encode(self, message: tuple[Any, ...]) -> bytes:
        """Return the frame of a message."""
        return cbor2.dumps([self._kinds_by_type[type(message)], *message], default=_encode_enum)

    def decode(self, frame: bytes | str) -> Any:
        """Return the message of a frame; raise `ProtocolError` if it is malformed or of an unknown kind."""
        decoded = self.decode_all(frame)
        if len(decoded) != 1:
            raise exceptions.ProtocolError(f"expected one message in a frame, got {len(decoded)}")
        return decoded[0]

    def decode_all(self, frame: bytes | str) -> list[Any]:
        """Return the messages of a frame, which is a CBOR sequence."""
        if isinstance(frame, str):
            raise exceptions.ProtocolError("expected a binary frame, got a text frame")
        return [self._to_message(fields) for fields in self._decode_items(frame)]

    def _to_message(self, fields: Any) -> Any:
        if not isinstance(fields, list) or not fields:
            raise exceptions.ProtocolError("message is not a non-empty array")
        kind = fields[0]
        if type(kind) is not int or not 0 <= kind < len(self._adapters):
            # The text leaves out the kind, as formatting a huge integer raises an error.
            raise exceptions.ProtocolError("unknown message kind")
        self._check_types(fields)
        try:
            return self._adapters[kind].validate_python(fields[1:])
        except pydantic.ValidationError as error:
            name = self._message_types[kind].__name__
            raise exceptions.ProtocolError(f"malformed {name}: {error.error_count()} validation errors") from error

    @staticmethod
    def _check_types(fields: list[Any]) -> None:
        """Raise `ProtocolError` for a value that no message contains, such as a tagged one or a list inside itself.

        The validation would convert some of them to numbers: a decimal with a huge exponent takes it minutes.
        """
        seen = {id(fields)}
        pending = [fields]
        while pending:
            for value in pending.pop():
                kind = type(value)
                if kind is list and id(value) not in seen:
                    seen.add(id(value))
                    pending.append(value)
                elif kind not in _SCALAR_TYPES:
                    raise exceptions.ProtocolError(f"unexpected value of type {kind.__name__}")

    @staticmethod
    def _decode_items(frame: bytes) -> list[Any]:
        stream = io.BytesIO(frame)
        decoder = cbor2.CBORDecoder(stream)
        items = []
        try:
            while stream.tell() < len(frame):
                items.append(decoder.decode())
        except (cbor2.CBORDecodeError, ValueError, TypeError, OverflowError, RecursionError, MemoryError) as error:
            raise exceptions.ProtocolError(f"frame is not valid CBOR: {error}") from error
        return items


class FrameCodec(TupleCodec):
    """Codec for the messages in `messages.MESSAGE_TYPES`."""

    def __init__(self) -> None:
        super().__init__(messages.MESSAGE_TYPES)

    def decode(self, frame: bytes | str) -> messages.Message:
        """Return the message of a frame; raise `ProtocolError` if it is malformed or of an unknown kind."""
        message: messages.Message = super().decode(frame)
        return message
