"""Links between entries and agents, callers' jobs and the configuration, for runs under leases and grants."""

from cactusgauge.fleet.agent_link_client import AgentLinkClient
from cactusgauge.fleet.cancellation_follower import CancellationFollower
from cactusgauge.fleet.config_cache import ConfigCache, Document
from cactusgauge.fleet.config_follower import ConfigFollower
from cactusgauge.fleet.entry_link_server import (
    CANCELED_ELSEWHERE,
    ENTRY_ISOLATED,
    EntryLinkServer,
    wall_clock_run_number,
)
from cactusgauge.fleet.parallel_job_service import ENTRY_STOPPING, JobAnswer, NewJob, ParallelJobService
from cactusgauge.fleet.policies import QUEUE_SLACK_SHARE, scheduler_builder
from cactusgauge.fleet.report_schedule import report_interval_s
from cactusgauge.fleet.route_table import HttpLimits, Route, RouteTable
from cactusgauge.fleet.stores import (
    CancellationBatch,
    CancellationLog,
    ConfigBatch,
    ConfigStore,
    CursorLostError,
    EntryDirectory,
    EntryRecord,
    StoreUnavailableError,
)

__all__ = [
    "CANCELED_ELSEWHERE",
    "ENTRY_ISOLATED",
    "ENTRY_STOPPING",
    "QUEUE_SLACK_SHARE",
    "AgentLinkClient",
    "CancellationBatch",
    "CancellationFollower",
    "CancellationLog",
    "ConfigBatch",
    "ConfigCache",
    "ConfigFollower",
    "ConfigStore",
    "CursorLostError",
    "Document",
    "EntryDirectory",
    "EntryLinkServer",
    "EntryRecord",
    "HttpLimits",
    "JobAnswer",
    "NewJob",
    "ParallelJobService",
    "Route",
    "RouteTable",
    "StoreUnavailableError",
    "report_interval_s",
    "scheduler_builder",
    "wall_clock_run_number",
]
