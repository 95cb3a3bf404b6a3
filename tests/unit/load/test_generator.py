"""The load generator against a stub of an entry."""

import asyncio
import collections
import json
from collections import abc
from typing import Any

import pytest

from cactusgauge import load

MIX = load.Mix.model_validate(
    {
        "name": "m",
        "workspace": "cheese",
        "sessions": 1,
        "fleet": {"speeds": [1]},
        "jobs": [{"weight": 1, "min": 1, "max": 1}],
        "kinds": [{"name": "k", "weight": 1, "median_ms": 100}],
    }
)
COMPLETE = {"state": "complete", "tasks": [{"state": "completed"}]}


class EntryStub:
    """Replies to the requests for each job number as configured; None drops the connection."""

    def __init__(self, replies: dict[str, tuple[int, dict[str, Any]] | None]) -> None:
        self._replies = replies
        self.requests: collections.Counter[tuple[str, str]] = collections.Counter()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            while request := await reader.readline():
                method, target, _ = request.decode().split()
                length = 0
                while (header := await reader.readline()) != b"\r\n":
                    name, _, value = header.decode().partition(":")
                    length = int(value) if name.lower() == "content-length" else length
                await reader.readexactly(length)
                number = target.partition("?")[0].rpartition("/")[2]
                self.requests[method, number] += 1
                reply = (201, {"session": "s"}) if method == "POST" else self._replies[number]
                if reply is None:
                    return
                body = json.dumps(reply[1]).encode()
                head = f"HTTP/1.1 {reply[0]} X\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
        finally:
            writer.close()


async def _run(stub: EntryStub, at_s: abc.Sequence[float]) -> list[load.JobRecord]:
    server = await asyncio.start_server(stub.handle, "127.0.0.1", 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        plan = [load.PlannedJob(each, [load.PlannedTask("k", 100, None)], None) for each in at_s]
        return await load.LoadGenerator(MIX, plan, [f"http://127.0.0.1:{port}"]).run()


async def test_lost_reply_is_unknown_and_not_submitted_again() -> None:
    """Guards against a retry of the PUT by the HTTP client when the connection drops."""
    stub = EntryStub({"0": (200, COMPLETE), "1": None})

    records = await _run(stub, [0, 0.05])

    assert [record.result for record in records] == [load.JobResult.COMPLETE, load.JobResult.UNKNOWN]
    assert stub.requests["PUT", "1"] == 1


async def test_refusal_counts_as_refused_only_if_nothing_ran() -> None:
    """Guards against counting a reply with an unknown outcome as a refusal."""
    stub = EntryStub(
        {"0": (503, {"code": "overloaded", "ran": "nothing"}), "1": (504, {"code": "owner_slow", "ran": "unknown"})}
    )

    records = await _run(stub, [0, 0])

    assert [record.result for record in records] == [load.JobResult.REFUSED, load.JobResult.UNKNOWN]


def test_report_counts_every_job_and_leaves_out_the_warm_up() -> None:
    """Guards against warm-up jobs in the ratios and against jobs missing from the totals."""
    records = [
        load.JobRecord(1, 1, 0.1, 10.0, load.JobResult.COMPLETE),
        load.JobRecord(6, 1, 0.1, 0.2, load.JobResult.COMPLETE),
        load.JobRecord(7, 1, 0.1, 0.4, load.JobResult.COMPLETE),
        load.JobRecord(8, 1, 0.1, 0.1, load.JobResult.REFUSED, "overloaded"),
    ]
    counts = collections.Counter(
        {
            ("messages_sent", "cheese", "Assign"): 4,
            ("messages_received", "cheese", "Results"): 4,
            ("messages_received", "cheese", "PeerBeat"): 9,
            ("messages_wasted", "cheese", "no_slot"): 1,
            ("messages_wasted", "cheese", "late_result"): 1,
            ("tasks_sent", "cheese", ""): 4,
        }
    )

    report = load.WorkspaceReport.build(MIX, records, load.MessageCounts(counts))

    assert (report.measured_jobs, report.ratio_max) == (2, 4.0)
    assert report.ratio_mean == pytest.approx(3.0, rel=0.01)
    assert report.jobs == {"complete": 3, "failed": 0, "cancelled": 0, "refused": 1, "unknown": 0}
    assert (report.messages_per_task, report.wasted_messages) == (2.0, 3)


def test_plots_hold_every_job() -> None:
    """Guards against a plot that omits jobs without an answer."""
    records = [load.JobRecord(number, 1, 0.1, 0.3, result) for number, result in enumerate(load.JobResult)]

    assert load.plot_svg("a < b", records).count("<circle") == len(records)
    assert len(load.plot_csv(records).splitlines()) == len(records) + 1
