"""Settings in force for one workspace."""

import enum

import pydantic

from cactusgauge import ids


class OrderingName(enum.Enum):
    """Names of the task orderings that a template can choose."""

    ARRIVAL = "arrival"
    FEWEST_REMAINING = "fewest_remaining"


class PlacementName(enum.Enum):
    """Names of the worker placements that a template can choose."""

    ANY_FREE = "any_free"
    FASTEST_FREE = "fastest_free"
    WAIT_FOR_FASTER = "wait_for_faster"


class WorkspaceConfig(pydantic.BaseModel):
    """Limits and policies of one workspace; unknown keys are refused."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    name: ids.WorkspaceName = pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
    max_tasks_per_job: int = pydantic.Field(default=340, ge=1)
    max_body_bytes: int = pydantic.Field(default=1_048_576, ge=1)
    max_queued_tasks: int = pydantic.Field(default=20_000, ge=1)
    max_running_tasks: int = pydantic.Field(default=1_000, ge=1)
    default_deadline_ms: int = pydantic.Field(default=30_000, ge=1)
    max_deadline_ms: int = pydantic.Field(default=120_000, ge=1)
    ordering: OrderingName = OrderingName.FEWEST_REMAINING
    placement: PlacementName = PlacementName.WAIT_FOR_FASTER
