"""Open-loop load generator: mixes, the plan drawn from a mix, the generator and its report."""

from cactusgauge.load.generator import LoadGenerator
from cactusgauge.load.job_record import JobRecord, JobResult
from cactusgauge.load.message_counts import MessageCounts
from cactusgauge.load.mix import Mix
from cactusgauge.load.mix_loader import MixLoader
from cactusgauge.load.plan import PlannedJob, PlannedTask, draw_plan
from cactusgauge.load.plot import plot_csv, plot_svg
from cactusgauge.load.report import WorkspaceReport

__all__ = [
    "JobRecord",
    "JobResult",
    "LoadGenerator",
    "MessageCounts",
    "Mix",
    "MixLoader",
    "PlannedJob",
    "PlannedTask",
    "WorkspaceReport",
    "draw_plan",
    "plot_csv",
    "plot_svg",
]
