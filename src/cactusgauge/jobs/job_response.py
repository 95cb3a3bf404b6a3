"""The response to a job, in the format that callers receive."""

import base64
import json
from typing import Any, NamedTuple

from cactusgauge import ids


class TaskReport(NamedTuple):
    """The final state of one task; `state` and `reason` are values of `TaskState` and `Reason`."""

    task: int
    state: str
    reason: str
    result: bytes
    run_ms: float

    def as_dict(self) -> dict[str, Any]:
        """Return the JSON object; a result that is not valid UTF-8 is encoded in base64."""
        report: dict[str, Any] = {"index": self.task, "state": self.state, "run_ms": round(self.run_ms, 3)}
        if self.reason:
            report["reason"] = self.reason
        try:
            report["result"] = self.result.decode()
        except UnicodeDecodeError:
            report["result_base64"] = base64.b64encode(self.result).decode()
        return report


class JobResponse(NamedTuple):
    """A complete response: one report per task of the job, in task order.

    `state` is a value of `JobState`. `recovered` tells whether the response was put together from the records of agents
    because the owner of the session could not be reached.
    """

    job: ids.JobId
    state: str
    reports: list[TaskReport]
    recovered: bool = False

    def as_json(self) -> bytes:
        """Return the response body in JSON."""
        document = {
            "session": self.job.session,
            "job": self.job.number,
            "state": self.state,
            "recovered": self.recovered,
            "tasks": [report.as_dict() for report in self.reports],
        }
        return json.dumps(document, separators=(",", ":")).encode()
