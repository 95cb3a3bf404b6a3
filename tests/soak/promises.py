"""Checks the observations of callers and workers against the promises of cactusgauge."""

import collections
import dataclasses
import itertools
from typing import TYPE_CHECKING

from cactusgauge import scheduling
from tests.soak import callers as callers_module
from tests.soak import worker as worker_module

if TYPE_CHECKING:
    from collections import abc

    from emulator import leased_worker

CANCEL_GRACE_S = 3.0  # tasks may still start within this time after a cancellation was acknowledged
DRAIN_GRACE_S = 2.0  # tasks may still start within this time after a worker's drain was acknowledged
SHRINK_GRACE_S = 3.5  # tasks may still start beyond a shrunk capacity within this time after it was acknowledged
MAX_STARTS_OF_CRASHING_TASK = 5  # three crashes, and fewer than three starts after them
MIN_CRASHES_TO_GIVE_UP = 2  # a job may be given up after this many crashes under one of its tasks
ANSWER_STATES = ("succeeded", "failed")  # in the response to a submission
OVERLAP_TOLERANCE_S = 0.002  # for clock readings of two observations in one process


@dataclasses.dataclass(frozen=True)
class Finding:
    """A promise that was broken, with the details."""

    promise: str
    detail: str


def check_jobs(
    records: "dict[str, callers_module.JobRecord]", incarnations: "abc.Sequence[worker_module.Incarnation]"
) -> list[Finding]:
    """Return every broken promise about jobs, tasks and workers."""
    for incarnation in incarnations:
        incarnation.worker.end_due_runs()  # otherwise it does so with the next request
    runs = [run for incarnation in incarnations for run in incarnation.worker.history]
    by_job: dict[str, list[leased_worker.RunRecord]] = collections.defaultdict(list)
    for run in runs:
        by_job[run.key.job].append(run)
    findings = [*_check_capacity(incarnations, records), *_check_overlaps(runs), *_check_drains(incarnations)]
    for job, started in by_job.items():
        record = records.get(job)
        if record is None:
            findings.append(Finding("only what callers sent runs", f"job {job}"))
            continue
        findings += _check_job(record, started)
    for job, record in records.items():
        unreadable = [each.state for each in record.attempts if each.status == 200 and each.state not in ANSWER_STATES]
        if unreadable:
            findings.append(Finding("a caller can read its answer", f"job {job}: state {unreadable[0]!r}"))
        if record.state == "succeeded":
            done = {run.key.task for run in by_job[job] if run.kind is scheduling.EndKind.DONE}
            if len(done) != record.profile.tasks:
                detail = f"job {job}: {len(done)} of {record.profile.tasks} tasks are done"
                findings.append(Finding("an answer is complete", detail))
    return findings


def _check_job(
    record: "callers_module.JobRecord", started: "abc.Sequence[leased_worker.RunRecord]"
) -> "abc.Iterator[Finding]":
    if record.attempts and record.is_refused:
        yield Finding("what is refused has not run", f"job {record.job}: {len(started)} starts")
    if any(run.payload != record.payload for run in started):
        yield Finding("a task runs with its caller's payload", f"job {record.job}")
    if record.canceled_at is not None:
        late_s = max(run.started_at for run in started) - record.canceled_at
        if late_s > CANCEL_GRACE_S:
            yield Finding("nothing starts after a cancellation", f"job {record.job}: {late_s:.2f} s after it")
    crashes = collections.Counter(run.key.task for run in started if run.has_crashed)
    may_be_given_up = bool(crashes) and max(crashes.values()) >= MIN_CRASHES_TO_GIVE_UP
    if (
        record.state == "failed"
        and not record.is_cancel_sent
        and not may_be_given_up
        and not any(run.kind is scheduling.EndKind.FAILED for run in started)
    ):
        yield Finding("a job fails only by its tasks", f"job {record.job}")
    if record.crashes_workers:
        starts = collections.Counter(run.key.task for run in started)
        task, count = starts.most_common(1)[0]
        if count > MAX_STARTS_OF_CRASHING_TASK:
            yield Finding("a task that crashes its workers is given up", f"{task}: {count} starts")


def _check_overlaps(runs: "abc.Sequence[leased_worker.RunRecord]") -> "abc.Iterator[Finding]":
    by_task: dict[tuple[object, ...], list[leased_worker.RunRecord]] = collections.defaultdict(list)
    for run in runs:
        by_task[run.key.task].append(run)
    for task, all_runs in by_task.items():
        ordered = sorted(all_runs, key=lambda run: run.started_at)
        for earlier, later in itertools.pairwise(ordered):
            overlap_s = earlier.ended_at - later.started_at
            if overlap_s > OVERLAP_TOLERANCE_S:
                yield Finding("one run of a task at a time", f"{task}: {overlap_s:.3f} s, {earlier.key} {later.key}")


def _check_capacity(
    incarnations: "abc.Sequence[worker_module.Incarnation]", records: "dict[str, callers_module.JobRecord]"
) -> "abc.Iterator[Finding]":
    for incarnation in incarnations:
        changes: list[tuple[float, int]] = []
        for run in incarnation.worker.history:
            demand = records[run.key.job].profile.cpu_millicores if run.key.job in records else 0
            changes += [(run.started_at, demand), (run.ended_at, -demand)]
        used = 0
        for at, change in sorted(changes):
            used += change
            if change > 0 and used > _allowed_millicores(incarnation, at):
                yield Finding(
                    "no worker is above its capacity", f"{incarnation.instance} at {at:.3f}: {used} millicores"
                )
                break


def _allowed_millicores(incarnation: "worker_module.Incarnation", at: float) -> int:
    """Return the highest capacity that the worker's agent may go by at a time; a shrunk one counts after a while."""
    before = [millicores for since, millicores in incarnation.capacities if since <= at - SHRINK_GRACE_S]
    later = [millicores for since, millicores in incarnation.capacities if at - SHRINK_GRACE_S < since <= at]
    if not before:
        return worker_module.CPU_MILLICORES
    return max([before[-1], *later])


def _check_drains(incarnations: "abc.Sequence[worker_module.Incarnation]") -> "abc.Iterator[Finding]":
    for incarnation in incarnations:
        acknowledged_at = incarnation.drain_acknowledged_at
        if acknowledged_at is None or not incarnation.worker.history:
            continue
        late_s = max(run.started_at for run in incarnation.worker.history) - acknowledged_at
        if late_s > DRAIN_GRACE_S:
            yield Finding(
                "a draining worker gets nothing new", f"{incarnation.instance}: {late_s:.2f} s after its drain"
            )


@dataclasses.dataclass(frozen=True)
class VersionObservation:
    """The configuration version in force at an entry; `expected` is the lowest allowed version, 0 for any."""

    entry: str
    incarnation: int
    version: int
    expected: int


def check_versions(observations: "abc.Iterable[VersionObservation]") -> list[Finding]:
    """Return every broken promise about configurations; the observations must be ordered by time."""
    newest: dict[tuple[str, int], int] = {}
    findings = []
    for each in observations:
        known = newest.get((each.entry, each.incarnation), 0)
        if each.version < known:
            findings.append(Finding("the configuration never goes back", f"{each.entry}: {known} to {each.version}"))
        if each.version < each.expected:
            detail = f"{each.entry}: {each.version} instead of {each.expected}"
            findings.append(Finding("a configuration is in force within two seconds", detail))
        newest[each.entry, each.incarnation] = max(each.version, known)
    return findings


def check_recovery(records: "abc.Iterable[callers_module.JobRecord]", recovered_at: float) -> list[Finding]:
    """Return a finding for each unsuccessful job that was submitted after the recovery and whose caller wanted it."""
    return [
        Finding("everything works again after the recovery", f"job {record.job}: {record.attempts[-1]}")
        for record in records
        if record.attempts
        and record.attempts[0].sent_at > recovered_at
        and record.action in (callers_module.CallerAction.WAIT, callers_module.CallerAction.RECONNECT)
        and not record.crashes_workers
        and record.state != "succeeded"
    ]
