"""A change of the configuration as it stands on the log."""

import secrets
from typing import Annotated, Final, Literal, Self

import pydantic

from cactusgauge.configuration import catalogue
from cactusgauge.configuration import template as template_module

FORMAT: Final = 1
ID_BYTES = 16
NO_VERSION = -1  # the base version of a name that never existed
MAX_OFFSET = 2**53 - 1  # the largest integer that every JSON reader keeps exactly

Offset = Annotated[int, pydantic.Field(ge=NO_VERSION, le=MAX_OFFSET)]


class ChangeRecord(pydantic.BaseModel):
    """New contents of templates and workspaces; None removes one.

    `through` is the offset through which its author had read the log, and `base` holds the version of each touched
    name there (`templates.NAME` or `workspaces.NAME`).
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    format: Literal[1] = FORMAT
    kind: Literal["change"] = "change"
    id: str = pydantic.Field(min_length=1, max_length=64)
    author: str = pydantic.Field(min_length=1, max_length=64)
    through: Offset
    base: dict[str, Offset]
    templates: dict[template_module.Name, template_module.Template | None] = {}
    workspaces: dict[template_module.WorkspaceKey, template_module.WorkspaceEntry | None] = {}

    @pydantic.model_validator(mode="after")
    def _check_base(self) -> Self:
        if not self.names or set(self.base) != set(self.names):
            raise ValueError("the base version of each touched name is expected")
        return self

    @property
    def names(self) -> list[str]:
        """The touched names, as in `base`."""
        return [f"templates.{name}" for name in self.templates] + [f"workspaces.{name}" for name in self.workspaces]

    def apply_to(self, current: catalogue.Catalogue) -> catalogue.Catalogue:
        """Return the catalogue that the change makes of another one."""
        templates = current.templates | self.templates
        workspaces = current.workspaces | self.workspaces
        return catalogue.Catalogue.model_construct(
            templates={name: value for name, value in templates.items() if value is not None},
            workspaces={name: value for name, value in workspaces.items() if value is not None},
        )


def new_change_id() -> str:
    """Return a random id for a change."""
    return secrets.token_hex(ID_BYTES)
