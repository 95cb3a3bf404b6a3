import json

import pytest

from cactusgauge import ids
from cactusgauge.platform import job_body


def _body(**changes: object) -> bytes:
    step = {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 900, "affinity": "r1-3", "anti_affinity": 2}
    return json.dumps({"spec": "x", "steps": [step], "best_effort": True, **changes}).encode()


def test_step_fields_are_translated() -> None:
    """Guards against fields that are decoded with the wrong unit or meaning."""
    decoded = job_body.decode(_body())
    step = decoded.steps[0]
    assert (step.task_count, step.demand.cpu_millicores, step.demand.memory_mb) == (4, 500, 256)
    assert (step.estimate_s, step.rack, step.max_per_worker) == (0.9, "r1-3", 2)


@pytest.mark.parametrize(
    "changes",
    [
        {"best_effort": False},
        {"times": 3},
        {"steps": [{"count": 2, "gang": True}]},
        {"steps": [{"count": 2, "long_running": True}]},
        {"steps": [{"count": 2, "fills": True}]},
    ],
)
def test_unsupported_features_are_refused(changes: dict[str, object]) -> None:
    """Guards against running a job without a feature that it asks for."""
    with pytest.raises(job_body.UnsupportedJobError):
        job_body.decode(_body(**changes))


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"steps":[]}', b'{"steps":[{"count":0}]}'])
def test_unreadable_job_is_an_error(body: bytes) -> None:
    """Guards against an invalid body that is decoded as an empty job."""
    with pytest.raises(job_body.BadJobError):
        job_body.decode(body)


def test_step_that_depends_on_a_later_one_is_an_error() -> None:
    """Guards against a job whose steps can never start."""
    with pytest.raises(job_body.BadJobError):
        job_body.decode(_body(steps=[{"count": 1, "depends_on": [1]}, {"count": 1}]))


def test_task_names_round_trip() -> None:
    """Guards against assigning the end of a task to another task."""
    key = ids.RunKey(ids.JobKey("5c0e7a21d94b36f8"), 1, 17, 2)
    assert job_body.format_task_name(key) == "5c0e7a21d94b36f8.0.1.17"
    assert job_body.parse_run_key("5c0e7a21d94b36f8.0.1.17", 2) == key
    assert job_body.parse_run_key("other", 2) is None


def test_deeply_nested_body_is_an_error() -> None:
    """Guards against an unexpected error in the entry because of a body that nests thousands of lists."""
    with pytest.raises(job_body.BadJobError):
        job_body.decode(b"[" * 100_000)


HUGE = 10**400


@pytest.mark.parametrize(
    "step",
    [
        {"estimate_ms": float("inf")},
        {"estimate_ms": float("nan")},
        {"estimate_ms": 1e300},
        {"estimate_ms": HUGE},
        {"cpu": HUGE},
        {"mem_mb": HUGE},
        {"gpu": HUGE},
        {"anti_affinity": -1},
        {"anti_affinity": HUGE},
        {"count": HUGE},
        {"count": job_body.MAX_TASKS + 1},
        {"required_label": "x" * (job_body.MAX_LABEL_LENGTH + 1)},
        {"affinity": "x" * (job_body.MAX_LABEL_LENGTH + 1)},
        {"depends_on": [0] * (job_body.MAX_DEPENDENCIES + 1)},
    ],
    ids=lambda step: "-".join(step),
)
def test_step_with_a_value_out_of_range_is_an_error(step: dict[str, object]) -> None:
    """Guards against values with which the scheduler computes infinite or undefined durations, or builds millions."""
    with pytest.raises(job_body.BadJobError):
        job_body.decode(_body(steps=[{"count": 1}, step]))


@pytest.mark.parametrize(
    "changes",
    [
        {"spec": "x" * (job_body.MAX_SPEC_BYTES + 1)},
        {"spec": "\u00e9" * (job_body.MAX_SPEC_BYTES // 2 + 1)},
        {"spec": "\ud800"},
        {"steps": [{"count": job_body.MAX_TASKS}, {"count": 1}]},
        {"steps": [{}] * (job_body.MAX_STEPS + 1)},
        {"steps": [{}, *[{"depends_on": [0] * (job_body.MAX_DEPENDENCIES // 2)}] * 3]},
    ],
    ids=["spec", "spec in bytes", "half of a surrogate pair", "tasks", "steps", "dependencies"],
)
def test_job_above_a_limit_is_an_error(changes: dict[str, object]) -> None:
    """Guards against a job that stalls the entry, or that no message to an agent can contain."""
    with pytest.raises(job_body.BadJobError):
        job_body.decode(_body(**changes))


def test_job_at_the_limits_is_decoded() -> None:
    """Guards against limits that refuse the largest jobs that are allowed."""
    step = {"count": job_body.MAX_TASKS - 1, "cpu": job_body.MAX_AMOUNT, "estimate_ms": job_body.MAX_ESTIMATE_MS}
    decoded = job_body.decode(_body(spec="x" * job_body.MAX_SPEC_BYTES, steps=[step, {"depends_on": [0, 0]}]))
    assert sum(each.task_count for each in decoded.steps) == job_body.MAX_TASKS
    assert decoded.steps[1].depends_on == (0,)


@pytest.mark.parametrize(
    ("name", "run"),
    [
        ("a.0.0." + "1" * 5000, 1),
        ("a.0." + "1" * 5000 + ".0", 1),
        ("a.0.0." + "9" * 40, 1),
        ("a.0.00.1", 1),
        ("a.1.0.1", 1),
        ("a.0.\u0661.0", 1),
        ("a.0.0.0", True),
        ("a.0.0.0", 10**400),
        ("a.0.0.0", -1),
        ("a.0.0.0", 1.0),
        ("a.0.0.0", float("inf")),
    ],
)
def test_odd_task_name_or_run_names_no_run(name: str, run: object) -> None:
    """Guards against an error, or the run of another task, because of a name that this program did not make."""
    assert job_body.parse_run_key(name, run) is None
