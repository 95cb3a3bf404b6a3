"""Decodes JSON from outside this program, and the types of the numbers and names in it.

The decoders of this package go through these functions, which raise no other error than `UnreadableError`.
"""

import json
from typing import Annotated, Any, TypeVar

import pydantic

from cactusgauge import exceptions

MAX_INTEGER = 2**53 - 1  # largest integer that every JSON parser represents exactly
MAX_TIME_MS = 4_102_444_800_000  # the year 2100 in Unix milliseconds; a later time is not a reading of a clock
MAX_DURATION_MS = 86_400_000  # one day; no interval or lease of the platform is longer
MAX_RESOURCE_AMOUNT = 10**9  # a million cores or a petabyte of memory, more than a machine has
MAX_NAME_LENGTH = 255  # characters; the store limits keys to as many bytes
MAX_TEXT_LENGTH = 4096  # characters of a host or path; a longer one does not fit into a request
MAX_ERROR_LENGTH = 200  # characters; the error is logged in one line
ERROR_PREFIX = "Value error, "  # pydantic puts it before the messages of validators

Model = TypeVar("Model", bound=pydantic.BaseModel)


class UnreadableError(exceptions.CactusgaugeError):
    """A document is not JSON, or its content is not of the expected form; `findings` has a line for each fault."""

    code = "unreadable"

    def __init__(self, findings: list[str]) -> None:
        super().__init__("; ".join(findings)[:MAX_ERROR_LENGTH])
        self.findings = findings


def is_count(value: object) -> bool:
    """Return whether a decoded value is an integer from 0 to MAX_INTEGER; a boolean is none."""
    return type(value) is int and 0 <= value <= MAX_INTEGER


def is_time_ms(value: object) -> bool:
    """Return whether a decoded value is a finite time in milliseconds; a boolean is none."""
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value <= MAX_TIME_MS


def parse(content: bytes | str) -> Any:
    """Return the value of a JSON text; raise `UnreadableError` if there is none."""
    try:
        return json.loads(content)
    except ValueError as error:
        raise UnreadableError([_one_line(f"is not JSON: {error}")]) from error
    except RecursionError as error:
        raise UnreadableError(["is nested too deeply"]) from error


def read(model: type[Model], content: bytes | str) -> Model:
    """Return the object in a JSON text; raise `UnreadableError` if it is malformed."""
    return validate(model, parse(content))


def validate(model: type[Model], value: Any) -> Model:
    """Return the object in a decoded value; raise `UnreadableError` if it is malformed."""
    try:
        return model.model_validate(value)
    except pydantic.ValidationError as error:
        faults = error.errors(include_url=False, include_context=False, include_input=False)
        raise UnreadableError(
            [
                _one_line(f"{'.'.join(str(part) for part in each['loc'])}: {each['msg'].removeprefix(ERROR_PREFIX)}")
                for each in faults
            ]
        ) from error
    except RecursionError as error:
        raise UnreadableError(["is nested too deeply"]) from error


def _one_line(text: str) -> str:
    # Names may contain surrogates, which the output can't encode.
    return " ".join(text.encode(errors="replace").decode().split())[:MAX_ERROR_LENGTH]


def _require_number(value: object) -> object:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("a number is expected")
    if not abs(value) <= MAX_INTEGER:  # also true of NaN
        raise ValueError(f"a number from -{MAX_INTEGER} to {MAX_INTEGER} is expected")
    return value


def _require_printable(text: str) -> str:
    # Surrogates, which JSON can express, can't be encoded in messages; control characters end a header.
    if not text.isprintable():
        raise ValueError("printable characters are expected")
    return text


# Pydantic alone accepts numbers in strings, booleans, and integers and floats of any size.
_NUMBER = pydantic.BeforeValidator(_require_number)
_PRINTABLE = pydantic.AfterValidator(_require_printable)

Integer = Annotated[int, _NUMBER]
Count = Annotated[int, pydantic.Field(ge=0), _NUMBER]
ResourceAmount = Annotated[int, pydantic.Field(ge=0, le=MAX_RESOURCE_AMOUNT), _NUMBER]
UnixMs = Annotated[int, pydantic.Field(ge=0, le=MAX_TIME_MS), _NUMBER]
ClockMs = Annotated[float, pydantic.Field(ge=0, le=MAX_TIME_MS), _NUMBER]
DurationMs = Annotated[float, pydantic.Field(ge=0, le=MAX_DURATION_MS), _NUMBER]
IntervalMs = Annotated[float, pydantic.Field(gt=0, le=MAX_DURATION_MS), _NUMBER]
Factor = Annotated[float, pydantic.Field(ge=0), _NUMBER]
Name = Annotated[str, pydantic.Field(min_length=1, max_length=MAX_NAME_LENGTH), _PRINTABLE]
Text = Annotated[str, pydantic.Field(max_length=MAX_TEXT_LENGTH), _PRINTABLE]
