"""The story of one job, from the structured log lines of several processes."""

import json
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections import abc

CONTEXT_MARGIN_S = 3.0  # lines about processes that had a part, so long before and after the job's own lines

# Changes of belief that can explain what happened to a job.
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
    """One line: the wall clock of its process in seconds, the process, the event and its fields."""

    wall_s: float
    process: str
    event: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        details = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.wall_s:.3f} {self.process} {self.event} {details}"


def parse_line(line: str) -> LogLine | None:
    """Return a structured line, whatever precedes it, or None for any other line."""
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
    """Return the lines of a job and those that explain them, in the order of the processes' wall clocks."""
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
