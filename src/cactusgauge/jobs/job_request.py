"""Parsing and validation of job submissions."""

from typing import NamedTuple

import pydantic
import xxhash

from cactusgauge import exceptions

KIND_PATTERN = r"^[A-Za-z0-9._-]{1,64}$"  # sent as an HTTP header value
MAX_REPORTED_FINDINGS = 10


class TaskRequest(pydantic.BaseModel):
    """One task as described by the caller.

    `kind` is a name that the caller chooses; run times are learned for each kind. `duration_ms` is the declared run
    time and may be inaccurate.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    payload: str
    kind: str = pydantic.Field(default="default", pattern=KIND_PATTERN)
    duration_ms: float | None = pydantic.Field(default=None, gt=0, allow_inf_nan=False)
    idempotent: bool = False


class JobBody(pydantic.BaseModel):
    """Schema of the request body."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    tasks: list[TaskRequest] = pydantic.Field(min_length=1)
    deadline_ms: int | None = pydantic.Field(default=None, gt=0)


class JobRequest(NamedTuple):
    """A validated submission; `digest` is computed from the exact bytes of the body.

    `deadline_ms` is counted from the acceptance of the job; None stands for the default of the workspace.
    """

    tasks: list[TaskRequest]
    deadline_ms: int | None
    digest: bytes


class JobRequestParser:
    """Parses job submissions and enforces the limits of a workspace."""

    def __init__(self, max_tasks: int, max_body_bytes: int) -> None:
        self._max_tasks = max_tasks
        self._max_body_bytes = max_body_bytes

    def parse(self, body: bytes) -> JobRequest:
        """Return the parsed request; raise a `RequestError` that lists the validation errors."""
        if len(body) > self._max_body_bytes:
            raise exceptions.BodyTooLargeError(f"body of {len(body)} bytes; the limit is {self._max_body_bytes}")
        try:
            parsed = JobBody.model_validate_json(body)
        except pydantic.ValidationError as error:
            raise exceptions.RequestError(self._describe(error)) from error
        if len(parsed.tasks) > self._max_tasks:
            raise exceptions.TooManyTasksError(f"{len(parsed.tasks)} tasks; the limit is {self._max_tasks}")
        return JobRequest(parsed.tasks, parsed.deadline_ms, self.digest(body))

    @staticmethod
    def digest(body: bytes) -> bytes:
        """Return the digest that identifies a resubmission, even if the limits have changed since."""
        return xxhash.xxh3_128_digest(body)

    @staticmethod
    def _describe(error: pydantic.ValidationError) -> str:
        findings = [
            f"{'.'.join(str(part) for part in finding['loc']) or 'body'}: {finding['msg']}"
            for finding in error.errors(include_url=False, include_input=False)[:MAX_REPORTED_FINDINGS]
        ]
        return "; ".join(findings)
