import asyncio
import json
import os
import time

import pytest

from cactusgauge import observability
from cactusgauge.observability import journal as journal_module

pytestmark = pytest.mark.looptime


def _read(descriptor: int) -> list[dict[str, object]]:
    os.set_blocking(descriptor, False)
    content = b""
    try:
        while chunk := os.read(descriptor, 65536):
            content += chunk
    except BlockingIOError:
        pass
    return [json.loads(line) for line in content.splitlines()]


async def test_line_has_time_process_event_and_fields() -> None:
    """Guards against lines that cannot be ordered by time or attributed to a process."""
    reader, writer = os.pipe()
    journal = observability.Journal("entry-1", observability.Counters(), writer)
    journal.log_event("job_refused", job="j", wait_ms=7)
    journal.flush()
    (line,) = _read(reader)
    assert (line["process"], line["event"], line["job"], line["wait_ms"]) == ("entry-1", "job_refused", "j", 7)
    assert abs(float(str(line["wall"])) - time.time()) < 60


async def test_volume_of_a_burst_is_bounded_and_counted() -> None:
    """Guards against a burst of refusals that fills the log, and against suppressed lines that are not counted."""
    reader, writer = os.pipe()
    journal = observability.Journal("entry-1", observability.Counters(), writer)
    for number in range(1000):
        journal.log_event("job_refused", job=str(number))
    journal.record_state("config_in_force", version=3)
    journal.flush()
    lines = _read(reader)
    assert len(lines) == journal_module.MAX_LINES_PER_SECOND + 1
    await asyncio.sleep(1.1)
    journal.log_event("job_refused", job="later")
    journal.flush()
    left_out = [line for line in _read(reader) if line["event"] == "lines_left_out"]
    assert [(line["of"], line["count"]) for line in left_out] == [
        ("job_refused", 1000 - journal_module.MAX_LINES_PER_SECOND)
    ]


async def test_stalled_reader_does_not_block() -> None:
    """Guards against requests that wait for a full pipe, and against unbounded memory use meanwhile."""
    _, writer = os.pipe()
    counters = observability.Counters()
    journal = observability.Journal("entry-1", counters, writer)
    started_at = time.monotonic()
    for number in range(20_000):
        journal.log_event(f"kind_{number}", text="x" * 100)
        if number % 500 == 0:
            journal.flush()
    assert time.monotonic() - started_at < 5.0
    assert counters.get("journal_bytes_lost", label="full") > 0


async def test_closed_output_is_counted() -> None:
    """Guards against a process that fails because its output is closed."""
    counters = observability.Counters()
    reader, writer = os.pipe()
    os.close(reader)
    journal = observability.Journal("entry-1", counters, writer)
    journal.log_event("job_refused", job="j")
    journal.flush()
    assert counters.get("journal_bytes_lost", label="closed") > 0
