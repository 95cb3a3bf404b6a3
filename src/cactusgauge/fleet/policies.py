"""Builds the scheduler of an entry with the policies in use."""

import asyncio
import random
from typing import TYPE_CHECKING

from cactusgauge import scheduling
from cactusgauge.fleet import entry_link_server

if TYPE_CHECKING:
    from cactusgauge import health as health_module

# Share of its slack (the time left until its objective minus its run time) that a job may wait in the queue; the rest
# is kept for more urgent jobs that arrive later.
QUEUE_SLACK_SHARE = 0.5


def scheduler_builder(distant_data_factor: float) -> "entry_link_server.SchedulerBuilder":
    """Return a function that builds a scheduler from an output, a fleet and the health of its workers.

    The expected duration of a task is multiplied by `distant_data_factor` on workers outside the rack of its data.
    """

    def build(
        output: scheduling.SchedulerOutput, fleet: scheduling.FleetState, health: "health_module.WorkerHealth"
    ) -> scheduling.RunScheduler:
        return scheduling.RunScheduler(
            fleet,
            scheduling.UrgencyOrder(),
            scheduling.ObjectivePlacement(fleet, distant_data_factor, random.Random()),
            scheduling.ObjectiveAdmission(QUEUE_SLACK_SHARE),
            scheduling.KeepLateJobsDuringRecovery(),
            health,
            output,
            entry_link_server.wall_clock_run_number,
            asyncio.get_running_loop().time(),
        )

    return build
