import pydantic
import pytest

from cactusgauge.platform import json_document


class _Document(pydantic.BaseModel):
    integer: json_document.Integer = 0
    count: json_document.Count = 0
    born: json_document.UnixMs = 0
    clock_ms: json_document.ClockMs = 0.0
    interval_ms: json_document.IntervalMs = 1.0
    factor: json_document.Factor = 1.0
    name: json_document.Name = "n"


@pytest.mark.parametrize("content", [b"", b"\xff", b"{", b"[" * 100_000, b'{"a":' * 100_000, b"1" * 5000])
def test_text_that_is_not_json_is_unreadable(content: bytes) -> None:
    """Guards against an error of the decoder that its callers do not expect."""
    with pytest.raises(json_document.UnreadableError):
        json_document.parse(content)


@pytest.mark.parametrize("field", ["integer", "count", "born", "clock_ms", "interval_ms", "factor"])
@pytest.mark.parametrize(
    "number", ["1e999", "-1e999", "NaN", "1" + "0" * 400, "-1" + "0" * 400, "true", '"4"', "null", "[]", "1e300"]
)
def test_odd_number_is_unreadable(field: str, number: str) -> None:
    """Guards against an infinite, huge or converted number that later raises an error elsewhere."""
    with pytest.raises(json_document.UnreadableError) as error:
        json_document.read(_Document, f'{{"{field}":{number}}}')
    assert str(error.value).startswith(field)
    assert len(str(error.value)) <= json_document.MAX_ERROR_LENGTH


def test_numbers_of_any_spelling_are_read() -> None:
    """Guards against refusing a whole number that is written with a fraction, or a fractional time."""
    document = json_document.read(_Document, b'{"count":4.0,"born":1.7e12,"clock_ms":0.5,"integer":-3,"other":1e999}')
    assert (document.count, document.born, document.clock_ms, document.integer) == (4, 1_700_000_000_000, 0.5, -3)


@pytest.mark.parametrize("text", ["", "a" * 256, "\\ud800", "a\\nb", "\\u0000"])
def test_odd_name_is_unreadable(text: str) -> None:
    """Guards against a name that can't be encoded in a message or floods the logs."""
    with pytest.raises(json_document.UnreadableError):
        json_document.read(_Document, f'{{"name":"{text}"}}')


def test_all_faults_are_found() -> None:
    """Guards against an operator who has to correct a file once for each fault in it."""
    with pytest.raises(json_document.UnreadableError) as error:
        json_document.read(_Document, b'{"count":-1,"factor":"x"}')
    assert [finding.split(":")[0] for finding in error.value.findings] == ["count", "factor"]
