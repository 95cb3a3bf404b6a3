import json
import pathlib

from click import testing

from cactusgauge.console import application
from cactusgauge.timeline import job_log

JOB = "5c0e7a21d94b36f8"


def _line(wall_s: float, process: str, event: str, **fields: object) -> str:
    return json.dumps({"t": 0.0, "wall": wall_s, "process": process, "event": event, **fields})


LINES = [
    _line(
        12.0, "entry-1", "job_ended", job=JOB, result="failed", reason="deadline", history=["7 start 0/0 at agent-1"]
    ),
    _line(11.0, "entry-1", "run_requeued", run=f"{JOB}/0/0#7", agent="agent-1", kind="lost", reason="agent_lost"),
    _line(10.9, "entry-1", "agent_lost", agent="agent-1", silent_ms=1260),
    _line(10.9, "entry-1", "agent_lost", agent="agent-9", silent_ms=1260),
    _line(11.5, "agent-1", "agent_started"),
    _line(11.5, "agent-9", "agent_started"),
    _line(2.0, "entry-1", "agent_lost", agent="agent-1", silent_ms=1260),
    _line(11.2, "entry-1", "job_ended", job="ffffffffffffffff", result="failed"),
]


def test_explanation_holds_the_lines_of_the_job_and_related_events() -> None:
    """Guards against hiding the cause of a failure that only another process logged."""
    lines = [parsed for line in LINES if (parsed := job_log.parse_line(f"  10.1 entry-1 {line}")) is not None]
    explanation = job_log.explain_job(JOB, lines)
    shown = [(line.process, line.event, line.fields.get("agent", "")) for line in explanation]
    assert shown == [
        ("entry-1", "agent_lost", "agent-1"),
        ("entry-1", "run_requeued", "agent-1"),
        ("agent-1", "agent_started", ""),
        ("entry-1", "job_ended", ""),
    ]


def test_unstructured_lines_are_skipped() -> None:
    """Guards against an explanation that stops at a line logged by a library."""
    for line in ("", "plain text", "{", "[1]", '{"wall":1}', "{not json}"):
        assert job_log.parse_line(line) is None


def test_explain_command(tmp_path: pathlib.Path) -> None:
    """Guards against exit code 0 and no output for a job that no log names."""
    log = tmp_path / "entry.log"
    log.write_text("\n".join(LINES))
    runner = testing.CliRunner()
    found = runner.invoke(application.main, ["explain", JOB, str(log)])
    assert found.exit_code == 0 and "agent_lost" in found.output
    missing = runner.invoke(application.main, ["explain", "0" * 16, str(log)])
    assert missing.exit_code == 1
