"""Decodes job bodies and converts between run keys and the platform's task names."""

import json
from typing import Annotated, Any

import pydantic

from cactusgauge import exceptions, ids, scheduling
from cactusgauge.platform import json_document

JOB_ID_LENGTH = 16
MAX_SPEC_BYTES = 4_000
MAX_TASKS = 10_000  # of a job
MAX_STEPS = 1_000  # of a job
MAX_DEPENDENCIES = 10_000  # of all steps of a job; each end of a task checks them
MAX_LABEL_LENGTH = 1_000  # characters
MAX_ESTIMATE_MS = 1e9  # more than 11 days
MAX_AMOUNT = 2**53  # largest integer that every JSON parser represents exactly
MAX_TASK_NAME_LENGTH = 64  # characters; a job id, the numbers of an occurrence, step and task, and separators
OCCURRENCE_NUMBER = 0  # part of a task's name; always 0 because repeating jobs are not supported


class BadJobError(exceptions.CactusgaugeError):
    """The body of a job is invalid."""

    code = "bad_job"
    http_status = 400


class UnsupportedJobError(exceptions.CactusgaugeError):
    """A job uses a feature that is not supported; none of its tasks are run."""

    code = "unsupported_job"
    http_status = 503


_Amount = Annotated[int, pydantic.Field(ge=0, le=MAX_AMOUNT)]
_Label = Annotated[str, pydantic.Field(max_length=MAX_LABEL_LENGTH)]


class _Step(pydantic.BaseModel):
    count: int = pydantic.Field(default=1, ge=1, le=MAX_TASKS)
    cpu: _Amount = 0  # thousandths of a core
    mem_mb: _Amount = 0
    gpu: _Amount = 0
    estimate_ms: float = pydantic.Field(default=0, ge=0, le=MAX_ESTIMATE_MS)
    depends_on: list[int] = pydantic.Field(default=[], max_length=MAX_DEPENDENCIES)
    required_label: _Label = ""
    affinity: _Label = ""
    anti_affinity: _Amount = 0
    gang: bool = False
    same_rack: bool = False
    long_running: bool = False
    fills: bool = False
    target_ms: float = 0


class _Job(pydantic.BaseModel):
    spec: str = ""
    steps: list[_Step] = pydantic.Field(min_length=1, max_length=MAX_STEPS)
    best_effort: bool = False
    long_running: bool = False
    gang: bool = False
    times: int = 0


class JobBody:
    """Payload and steps of a job."""

    def __init__(self, payload: str, steps: list[scheduling.Step]) -> None:
        self.payload = payload
        self.steps = steps


def decode(body: bytes) -> JobBody:
    """Return the decoded job; raise `BadJobError` or `UnsupportedJobError`."""
    try:
        job = _Job.model_validate(json.loads(body))
    except (ValueError, RecursionError) as error:
        raise BadJobError(" ".join(str(error).split())[:200]) from error
    _check_size(job)
    _check_supported(job)
    return JobBody(job.spec, [_decode_step(number, step) for number, step in enumerate(job.steps)])


def _check_size(job: _Job) -> None:
    try:
        spec_bytes = len(job.spec.encode())
    except UnicodeEncodeError as error:
        # JSON can escape half of a surrogate pair, which no message to an agent can contain.
        raise BadJobError("spec is not valid Unicode") from error
    if spec_bytes > MAX_SPEC_BYTES:
        raise BadJobError(f"spec has {spec_bytes} bytes, at most {MAX_SPEC_BYTES} are allowed")
    tasks = sum(step.count for step in job.steps)
    if tasks > MAX_TASKS:
        raise BadJobError(f"job has {tasks} tasks, at most {MAX_TASKS} are allowed")
    dependencies = sum(len(step.depends_on) for step in job.steps)
    if dependencies > MAX_DEPENDENCIES:
        raise BadJobError(f"steps have {dependencies} dependencies, at most {MAX_DEPENDENCIES} are allowed")


def _check_supported(job: _Job) -> None:
    if not job.best_effort:
        raise UnsupportedJobError("stored jobs are not supported")
    if job.times or job.long_running or job.gang:
        raise UnsupportedJobError("timed, long-running and gang jobs are not supported")
    if any(step.gang or step.same_rack or step.long_running or step.fills or step.target_ms for step in job.steps):
        raise UnsupportedJobError("gangs, long-running and shared-capacity steps are not supported")


def _decode_step(number: int, step: _Step) -> scheduling.Step:
    if any(not 0 <= earlier < number for earlier in step.depends_on):
        raise BadJobError(f"step {number} depends on a step that is not an earlier one")
    return scheduling.Step(
        task_count=step.count,
        demand=scheduling.Resources(step.cpu, step.mem_mb, step.gpu),
        estimate_s=step.estimate_ms / 1000,
        depends_on=tuple(sorted(set(step.depends_on))),
        required_label=step.required_label,
        rack=step.affinity,  # the rack that holds the data
        max_per_worker=step.anti_affinity,  # a maximum number of tasks per worker, not an exclusion
    )


def is_job_id(text: str) -> bool:
    """Return whether a text is a job id, which has 16 hexadecimal digits."""
    return len(text) == JOB_ID_LENGTH and all(character in "0123456789abcdefABCDEF" for character in text)


def format_task_name(key: ids.RunKey) -> str:
    """Return the platform's name of a task."""
    return f"{key.job}.{OCCURRENCE_NUMBER}.{key.step}.{key.position}"


def parse_run_key(name: Any, run: Any) -> ids.RunKey | None:
    """Return the key of a run that a worker lists, or None if the task name was not made by `format_task_name`."""
    if not isinstance(name, str) or len(name) > MAX_TASK_NAME_LENGTH or not json_document.is_count(run):
        return None
    parts = name.split(".")
    if len(parts) != 4 or not (parts[2].isdecimal() and parts[3].isdecimal()):
        return None
    key = ids.RunKey(ids.JobKey(parts[0]), int(parts[2]), int(parts[3]), run)
    is_bounded = json_document.is_count(key.step) and json_document.is_count(key.position)
    return key if is_bounded and format_task_name(key) == name else None
