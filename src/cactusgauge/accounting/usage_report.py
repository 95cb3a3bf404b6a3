"""Usage reports of workers as the platform appends them to its log."""

import pydantic

from cactusgauge import exceptions

REPORT_STREAM = "usage-reports"


class UsageReport(pydantic.BaseModel):
    """Cumulative usage of one run ("incarnation") of a worker's backend server up to `to_s`, Unix time on its clock.

    `worker` is the name of the agent beside it. The first report is taken before the incarnation runs anything. The
    reports of a worker are appended in the order of time, with a lag, a repeated one unchanged. `starts` counts the
    tasks that it began to run, `slot_seconds` the run time of those that ended. `final` marks the report after which
    it runs nothing more; an incarnation without one ended before the next began.
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
        """Return the JSON document for the log."""
        return self.model_dump_json().encode()

    @classmethod
    def decode(cls, data: bytes) -> "UsageReport":
        """Return the report; raise `AccountingError` if it is none."""
        try:
            return cls.model_validate_json(data)
        except ValueError as error:
            raise exceptions.AccountingError("not a usage report") from error
