"""Templates with parameters, and the workspaces that use them."""

from typing import Annotated, Any

import pydantic

from cactusgauge import ids
from cactusgauge.configuration import workspace_config

PARAMETER_PREFIX = "$"
MAX_INTEGER = 2**53 - 1  # the largest integer that every JSON parser represents exactly


def _check_value(value: object) -> object:
    items = value if isinstance(value, list) else [value]
    if not all(isinstance(item, int | str) for item in items):
        raise ValueError("expected an integer, a string, a boolean or a list of these")
    if any(isinstance(item, int) and abs(item) > MAX_INTEGER for item in items):
        raise ValueError(f"expected an integer with an absolute value of at most {MAX_INTEGER}")
    if any(isinstance(item, str) and not item.isprintable() for item in items):
        raise ValueError("expected printable text")
    return value


Value = Annotated[Any, pydantic.AfterValidator(_check_value)]
Name = Annotated[str, pydantic.Field(pattern=workspace_config.NAME_PATTERN)]
WorkspaceKey = Annotated[ids.WorkspaceName, pydantic.Field(pattern=workspace_config.NAME_PATTERN)]


class Parameter(pydantic.BaseModel):
    """A template parameter; without a default, each workspace must provide a value."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    default: Value = None
    description: str = ""

    @pydantic.field_validator("default", mode="wrap")
    @classmethod
    def _allow_no_default(cls, value: object, check: pydantic.ValidatorFunctionWrapHandler) -> object:
        return None if value is None else check(value)


class Template(pydantic.BaseModel):
    """Settings for workspaces; the value `$NAME` refers to the parameter of that name."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    parameters: dict[str, Parameter] = {}
    settings: dict[str, Value] = {}


class WorkspaceEntry(pydantic.BaseModel):
    """A workspace: its template and the values for the template's parameters."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    template: Name
    parameters: dict[str, Value] = {}
