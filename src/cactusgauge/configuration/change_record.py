"""The log record of a configuration change."""

import secrets
from typing import Annotated, Final, Literal, Self

import pydantic

from cactusgauge.configuration import catalogue
from cactusgauge.configuration import template as template_module

FORMAT: Final = 1  # of all records and documents of the configuration
ID_BYTES = 16
MAX_ID_CHARS = 64  # also the limit for author names
NO_VERSION = -1  # version of a name that has never existed; also the offset before the first record
MAX_OFFSET = 2**53 - 1  # the largest integer that every JSON parser represents exactly

Offset = Annotated[int, pydantic.Field(ge=NO_VERSION, le=MAX_OFFSET)]


class ChangeRecord(pydantic.BaseModel):
    """New values of templates and workspaces; None removes one.

    `through` is the last offset that the author had read when making the change. `base` holds the version that each
    changed name (`templates.NAME` or `workspaces.NAME`) had at that offset.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    format: Literal[1] = FORMAT
    kind: Literal["change"] = "change"
    id: str = pydantic.Field(min_length=1, max_length=MAX_ID_CHARS)
    author: str = pydantic.Field(min_length=1, max_length=MAX_ID_CHARS)
    through: Offset
    base: dict[str, Offset]
    templates: dict[template_module.Name, template_module.Template | None] = {}
    workspaces: dict[template_module.WorkspaceKey, template_module.WorkspaceEntry | None] = {}

    @pydantic.model_validator(mode="after")
    def _check_base(self) -> Self:
        if not self.names or set(self.base) != set(self.names):
            raise ValueError("base must hold the version of each changed name and no others")
        return self

    @property
    def names(self) -> list[str]:
        """The changed names, in the form used in `base`."""
        return [f"templates.{name}" for name in self.templates] + [f"workspaces.{name}" for name in self.workspaces]

    def apply_to(self, current: catalogue.Catalogue) -> catalogue.Catalogue:
        """Return the catalogue that results from applying this change."""
        templates = current.templates | self.templates
        workspaces = current.workspaces | self.workspaces
        return catalogue.Catalogue.model_construct(
            templates={name: value for name, value in templates.items() if value is not None},
            workspaces={name: value for name, value in workspaces.items() if value is not None},
        )


def new_change_id() -> str:
    """Return a random change id."""
    return secrets.token_hex(ID_BYTES)
