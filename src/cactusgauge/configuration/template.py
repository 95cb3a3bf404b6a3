"""Templates with parameters, and workspaces that refer to them."""

from typing import Annotated, Any

import pydantic

from cactusgauge import ids
from cactusgauge.configuration import workspace_config

PARAMETER_PREFIX = "$"
MAX_INTEGER = 2**53 - 1  # the largest integer that every JSON reader keeps exactly


def _check_value(value: object) -> object:
    items = value if isinstance(value, list) else [value]
    if not all(isinstance(item, int | str) for item in items):
        raise ValueError("an integer, a text, a truth value or a list of these is expected")
    if any(isinstance(item, int) and abs(item) > MAX_INTEGER for item in items):
        raise ValueError(f"an integer of at most {MAX_INTEGER} is expected")
    if any(isinstance(item, str) and not item.isprintable() for item in items):
        raise ValueError("printable text is expected")
    return value


Value = Annotated[Any, pydantic.AfterValidator(_check_value)]
Name = Annotated[str, pydantic.Field(pattern=workspace_config.NAME_PATTERN)]
WorkspaceKey = Annotated[ids.WorkspaceName, pydantic.Field(pattern=workspace_config.NAME_PATTERN)]


class Parameter(pydantic.BaseModel):
    """A parameter of a template; without a default, each workspace must give a value."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    default: Value = None
    description: str = ""

    @pydantic.field_validator("default", mode="wrap")
    @classmethod
    def _allow_no_default(cls, value: object, check: pydantic.ValidatorFunctionWrapHandler) -> object:
        return None if value is None else check(value)


class Template(pydantic.BaseModel):
    """Settings of workspaces; the text `$NAME` as a value stands for the parameter of that name."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    parameters: dict[str, Parameter] = {}
    settings: dict[str, Value] = {}


class WorkspaceEntry(pydantic.BaseModel):
    """A workspace: its template and the values of the template's parameters."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    template: Name
    parameters: dict[str, Value] = {}
