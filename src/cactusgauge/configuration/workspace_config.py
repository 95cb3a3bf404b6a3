"""Resolved settings of one workspace."""

import enum
from typing import Self

import pydantic

from cactusgauge import ids

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
MAX_SLOTS = 1024


class OrderingName(enum.Enum):
    """Task orderings that a template can select."""

    ARRIVAL = "arrival"
    FEWEST_REMAINING = "fewest_remaining"


class PlacementName(enum.Enum):
    """Worker placements that a template can select."""

    ANY_FREE = "any_free"
    FASTEST_FREE = "fastest_free"
    WAIT_FOR_FASTER = "wait_for_faster"


class WorkspaceConfig(pydantic.BaseModel):
    """Limits and policies of one workspace; unknown keys are rejected.

    `max_queued_tasks` and `max_running_tasks` are quotas per entry. `slots` is the number of tasks that each backend
    server runs at once, capped by the agent's own setting. `data_centres` lists those whose workers accept new tasks;
    an empty list means all.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    name: ids.WorkspaceName = pydantic.Field(pattern=NAME_PATTERN)
    max_tasks_per_job: int = pydantic.Field(default=340, ge=1)
    max_body_bytes: int = pydantic.Field(default=1_048_576, ge=1)
    max_queued_tasks: int = pydantic.Field(default=20_000, ge=1)
    max_running_tasks: int = pydantic.Field(default=1_000, ge=1)
    default_deadline_ms: int = pydantic.Field(default=30_000, ge=1)
    max_deadline_ms: int = pydantic.Field(default=120_000, ge=1)
    slots: int = pydantic.Field(default=8, ge=0, le=MAX_SLOTS)
    data_centres: list[ids.DataCentreName] = []
    ordering: OrderingName = OrderingName.FEWEST_REMAINING
    placement: PlacementName = PlacementName.WAIT_FOR_FASTER

    @pydantic.model_validator(mode="after")
    def _check_deadlines(self) -> Self:
        if self.default_deadline_ms > self.max_deadline_ms:
            raise ValueError("default_deadline_ms may not exceed max_deadline_ms")
        return self

    def slots_in(self, data_centre: ids.DataCentreName) -> int:
        """Return the number of slots of each backend server in a data centre; 0 if it is not used."""
        return self.slots if not self.data_centres or data_centre in self.data_centres else 0
