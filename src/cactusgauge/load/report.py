"""Report of a load run for each workspace."""

import collections
from typing import TYPE_CHECKING, Any, NamedTuple

from hdrh import histogram

from cactusgauge.load import job_record
from cactusgauge.load import message_counts as message_counts_module

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge.load import mix as mix_module

RATIO_SCALE = 1000  # histograms hold integers; ratios are stored with three decimals
MAX_RATIO = 10_000_000  # scaled by RATIO_SCALE
SIGNIFICANT_DIGITS = 3


class WorkspaceReport(NamedTuple):
    """Results of one workspace; ratios of response to ideal time cover complete jobs that arrived after the warm-up.

    `jobs` holds the number of jobs by result, `details` by error or reason, and `messages` those by message type.
    """

    mix: str
    workspace: str
    load: float
    seed: int
    jobs: dict[str, int]
    details: dict[str, int]
    measured_jobs: int
    ratio_mean: float
    ratio_p50: float
    ratio_p99: float
    ratio_max: float
    tasks_sent: float
    messages: dict[str, float]
    messages_per_task: float
    wasted_messages: float
    wasted_share: float
    wasted_by_reason: dict[str, float]

    @classmethod
    def build(
        cls,
        mix: "mix_module.Mix",
        records: "abc.Sequence[job_record.JobRecord]",
        counts: "message_counts_module.MessageCounts",
    ) -> "WorkspaceReport":
        """Return the report of a finished run."""
        measured = [
            record
            for record in records
            if record.result is job_record.JobResult.COMPLETE and record.at_s >= mix.warm_up_s
        ]
        ratios = histogram.HdrHistogram(1, MAX_RATIO, SIGNIFICANT_DIGITS)
        for record in measured:
            ratios.record_value(max(1, round(record.ratio * RATIO_SCALE)))
        messages = counts.by_type(mix.workspace)
        total = sum(messages.values())
        wasted = counts.wasted(mix.workspace)
        tasks_sent = counts.total(message_counts_module.TASKS_SENT, mix.workspace)
        counts_by_result = collections.Counter(record.result.value for record in records)
        return cls(
            mix.name,
            mix.workspace,
            mix.load,
            mix.seed,
            {result.value: counts_by_result[result.value] for result in job_record.JobResult},
            dict(collections.Counter(record.detail for record in records if record.detail)),
            len(measured),
            round(ratios.get_mean_value() / RATIO_SCALE, 3),
            ratios.get_value_at_percentile(50) / RATIO_SCALE,
            ratios.get_value_at_percentile(99) / RATIO_SCALE,
            round(max((record.ratio for record in measured), default=0.0), 3),
            tasks_sent,
            messages,
            round(total / tasks_sent, 3) if tasks_sent else 0.0,
            wasted,
            round(wasted / total, 5) if total else 0.0,
            counts.by_label(message_counts_module.WASTED, mix.workspace),
        )

    def as_dict(self) -> dict[str, Any]:
        """Return the report as a dict that can be encoded as JSON."""
        return self._asdict()

    def as_text(self) -> str:
        """Return the report as lines of text."""
        jobs_text = ", ".join(f"{count} {result}" for result, count in self.jobs.items() if count)
        messages_text = ", ".join(f"{name} {count:.0f}" for name, count in self.messages.items())
        lines = [
            f"{self.workspace}: mix {self.mix}, load {self.load:g}, seed {self.seed}",
            f"  jobs: {jobs_text}",
            f"  response/ideal of {self.measured_jobs} jobs: mean {self.ratio_mean:.2f}, p50 {self.ratio_p50:.2f}, "
            f"p99 {self.ratio_p99:.2f}, max {self.ratio_max:.2f}",
            f"  messages: {self.messages_per_task:.2f} a task over {self.tasks_sent:.0f} tasks ({messages_text})",
            f"  wasted: {self.wasted_messages:.0f} messages ({self.wasted_share:.2%})",
        ]
        lines.extend(f"  {count} x {detail}" for detail, count in sorted(self.details.items()))
        return "\n".join(lines)
