"""The answer to a job, as callers see it."""

import base64
import json
from typing import Any, NamedTuple

from cactusgauge import ids


class TaskReport(NamedTuple):
    """The end of one task; `state` and `reason` are values of `TaskState` and `Reason`."""

    task: int
    state: str
    reason: str
    result: bytes
    run_ms: float

    def as_dict(self) -> dict[str, Any]:
        """Return the JSON object; a result that is not UTF-8 is given in base64."""
        report: dict[str, Any] = {"index": self.task, "state": self.state, "run_ms": round(self.run_ms, 3)}
        if self.reason:
            report["reason"] = self.reason
        try:
            report["result"] = self.result.decode()
        except UnicodeDecodeError:
            report["result_base64"] = base64.b64encode(self.result).decode()
        return report


class JobResponse(NamedTuple):
    """A whole answer: one report for every task of the job, in order."""

    job: ids.JobId
    state: str
    reports: list[TaskReport]
    recovered: bool = False

    def as_json(self) -> bytes:
        """Return the body sent to the caller."""
        document = {
            "session": self.job.session,
            "job": self.job.number,
            "state": self.state,
            "recovered": self.recovered,
            "tasks": [report.as_dict() for report in self.reports],
        }
        return json.dumps(document, separators=(",", ":")).encode()
