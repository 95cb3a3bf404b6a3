"""CBOR codec for the messages between entries and agents."""

from typing import Any

from cactusgauge import exceptions, wire
from cactusgauge.fleet import messages

MAX_NUMBER = 2**53  # magnitude; far more than any count, amount or time in a message


class FleetCodec(wire.TupleCodec):
    """Codec for the messages in `fleet.messages`; all numbers in decoded messages are finite and bounded."""

    def __init__(self) -> None:
        super().__init__(messages.MESSAGE_TYPES)

    def decode_all(self, frame: bytes | str) -> list[Any]:
        """Return the messages of a frame; raise `ProtocolError` if one is malformed or has a number out of range."""
        decoded = super().decode_all(frame)
        for message in decoded:
            self._check_numbers(message)
        return decoded

    @staticmethod
    def _check_numbers(message: messages.Message) -> None:
        # Checked after the validation, which also converts text such as "inf" to numbers.
        pending: list[Any] = [message]
        while pending:
            for value in pending.pop():
                if isinstance(value, int | float):
                    if not -MAX_NUMBER <= value <= MAX_NUMBER:
                        raise exceptions.ProtocolError(f"number out of range in {type(message).__name__}")
                elif isinstance(value, tuple | list):
                    pending.append(value)
