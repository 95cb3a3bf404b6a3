"""Collects the structured log lines that explain what happened to a job, from the logs of several processes."""

import json
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections import abc

CONTEXT_MARGIN_S = 3.0  # how long before and after the job's own lines related events are included

# Events of processes and workers that can explain what happened to a job.
CONTEXT_EVENTS = frozenset(
    {
        "agent_link_lost",
        "agent_linked",
        "agent_lost",
        "agent_started",
        "agent_stopped",
        "agent_suspected",
        "config_in_force",
        "entry_draining",
        "entry_link_lost",
        "entry_linked",
        "entry_started",
        "entry_stopped",
        "grant_ended",
        "lines_left_out",
        "runs_lost",
        "stragglers_moved",
        "suspension_noticed",
        "worker_announced",
        "worker_phase",
        "worker_quarantined",
        "worker_returning",
    }
)


class LogLine(NamedTuple):
    """A structured log line; `wall_s` is Unix time on the clock of the process, in seconds."""

    wall_s: float
    process: str
    event: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        details = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.wall_s:.3f} {self.process} {self.event} {details}"


def parse_line(line: str) -> LogLine | None:
    """Parse a structured line, ignoring text before its JSON object; return None for any other line."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        document = json.loads(line[start:])
    except ValueError:
        return None
    if not isinstance(document, dict) or not {"wall", "process", "event"} <= document.keys():
        return None
    fields = {key: value for key, value in document.items() if key not in ("t", "wall", "process", "event")}
    return LogLine(float(document["wall"]), str(document["process"]), str(document["event"]), fields)


def explain_job(job: str, lines: "abc.Iterable[LogLine]") -> list[LogLine]:
    """Return the lines of a job and related events of the processes that it names, ordered by wall clock."""
    ordered_lines = sorted(lines, key=lambda line: line.wall_s)
    job_lines = [line for line in ordered_lines if _is_about(line, job)]
    if not job_lines:
        return []
    job_text = " ".join(str(line) for line in job_lines)
    first, last = job_lines[0].wall_s - CONTEXT_MARGIN_S, job_lines[-1].wall_s + CONTEXT_MARGIN_S
    return [
        line
        for line in ordered_lines
        if _is_about(line, job)
        or (
            line.event in CONTEXT_EVENTS
            and first <= line.wall_s <= last
            and str(line.fields.get("agent", line.process)) in job_text
        )
    ]


def _is_about(line: LogLine, job: str) -> bool:
    return line.fields.get("job") == job or str(line.fields.get("run", "")).startswith(f"{job}/")
