"""Usage reports of workers, which the platform appends to its log."""

import pydantic

from cactusgauge import exceptions

REPORT_STREAM = "usage-reports"


class UsageReport(pydantic.BaseModel):
    """Cumulative usage of one incarnation of a worker's backend server up to `to_s`, Unix time on its clock.

    `worker` is the name of the agent of that server. The first report is made before the incarnation runs any task. The
    reports of a worker are appended in order of time, with a lag; a report may be appended again unchanged. `starts`
    counts the tasks started, `slot_seconds` the run time of those that ended. `final` marks the report after which no
    more tasks run; an incarnation without a final report ended before the next one began.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    worker: str
    workspace: str
    incarnation: str
    sequence: int = pydantic.Field(ge=1)
    to_s: float
    slots: int = pydantic.Field(ge=1)
    starts: int = pydantic.Field(ge=0)
    slot_seconds: float = pydantic.Field(ge=0)
    final: bool

    def encode(self) -> bytes:
        """Encode the report as a JSON document for the log."""
        return self.model_dump_json().encode()

    @classmethod
    def decode(cls, data: bytes) -> "UsageReport":
        """Decode a report; raise `AccountingError` if it is malformed."""
        try:
            return cls.model_validate_json(data)
        except ValueError as error:
            raise exceptions.AccountingError("not a usage report") from error
