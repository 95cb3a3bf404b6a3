import json
import pathlib

import pytest

from cactusgauge import accounting, exceptions, log_service
from cactusgauge.accounting import account_record, file_account_log

RECORD = account_record.AccountRecord(
    process="e",
    role="entry",
    incarnation="i",
    sequence=1,
    previous="",
    at_s=1.0,
    interval_s=1.0,
    final=False,
    rows=[],
    pairs=[],
)


def _document(**changes: object) -> bytes:
    return json.dumps({"hash": "", "record": {**RECORD.model_dump(mode="json"), **changes}}).encode()


@pytest.mark.parametrize(
    "data",
    [
        b"[" * 100_000,
        b"1" * 5000,
        _document(at_s=10**400),
        _document(at_s=float("inf")),
        _document(interval_s=float("nan")),
        _document(sequence=float("inf")),
        _document(rows=[["n", "", "", float("inf")]]),
        _document(rows=[["n", "", "", 10**400]]),
    ],
)
def test_record_of_another_writer_is_malformed(data: bytes) -> None:
    """Guards against an audit that ends with an unexpected error at one odd record."""
    with pytest.raises(exceptions.AccountingError):
        account_record.AccountRecord.decode(data)


async def test_line_break_in_a_record_does_not_break_the_export(tmp_path: pathlib.Path) -> None:
    """Guards against an export that can't be read because of one record of another writer."""
    path = tmp_path / "records"
    records = [
        log_service.LogRecord(0, b"odd\nrecord\n"),
        log_service.LogRecord(1, RECORD.encode().replace(b": ", b":\n")),
    ]
    lines = [file_account_log.FileAccountLog.format_line(accounting.STREAM, record) for record in records]
    path.write_bytes(b"".join(lines))
    page = await file_account_log.FileAccountLog(path).read(accounting.STREAM, 0, 10)
    assert [record.offset for record in page.records] == [0, 1]
    assert account_record.AccountRecord.decode(page.records[1].data) == (RECORD, RECORD.hash)
