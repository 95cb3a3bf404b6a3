"""The YAML file of templates and workspaces that operators publish."""

from typing import TYPE_CHECKING

import pydantic

from cactusgauge import settings
from cactusgauge.configuration import catalogue as catalogue_module
from cactusgauge.configuration import change_record
from cactusgauge.configuration import template as template_module

if TYPE_CHECKING:
    import pathlib

    from cactusgauge.configuration import config_state


class ConfigContents(pydantic.BaseModel):
    """Contents of a file: values to set, or None to remove a name; names that are not listed stay unchanged."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    templates: dict[template_module.Name, template_module.Template | None] = {}
    workspaces: dict[template_module.WorkspaceKey, template_module.WorkspaceEntry | None] = {}


class ConfigFile:
    """Validates a file and creates change records from it; raises `SettingsError` if it is not a YAML mapping."""

    def __init__(self, path: "pathlib.Path") -> None:
        self._document = settings.YamlDocument(path)
        self._contents = ConfigContents()
        self._syntax_findings = self._document.duplicate_keys
        try:
            self._contents = ConfigContents.model_validate(self._document.value)
        except pydantic.ValidationError as error:
            self._syntax_findings += self._document.validation_findings(error)

    @property
    def contents(self) -> ConfigContents:
        """The parsed contents; empty if the file does not match the schema."""
        return self._contents

    def findings(self, published: catalogue_module.Catalogue) -> list[settings.Finding]:
        """Return the errors found when the file is applied to a published catalogue."""
        if self._syntax_findings:
            return self._syntax_findings
        if not self._contents.templates and not self._contents.workspaces:
            return [self._document.make_finding("", "nothing", "templates or workspaces are expected")]
        _, problems = self._merge(published).resolve()
        return [self._document.make_finding(*problem) for problem in problems]

    def make_change(
        self, state: "config_state.ConfigState", author: str, change_id: str, reviewed: int | None = None
    ) -> change_record.ChangeRecord | None:
        """Return the change that brings a state in line with the file, or None if nothing differs.

        `reviewed` is the configuration version that the author has seen. The base version of a name that changed later
        is capped at `reviewed`, so that the change is rejected as stale instead of overwriting the later one.
        """
        templates = {
            name: value
            for name, value in self._contents.templates.items()
            if value != state.catalogue.templates.get(name)
        }
        workspaces = {
            name: value
            for name, value in self._contents.workspaces.items()
            if value != state.catalogue.workspaces.get(name)
        }
        names = [f"templates.{name}" for name in templates] + [f"workspaces.{name}" for name in workspaces]
        if not names:
            return None
        versions = {name: state.version_of(name) for name in names}
        if reviewed is not None:
            versions = {name: min(version, reviewed) for name, version in versions.items()}
        return change_record.ChangeRecord(
            id=change_id,
            author=author,
            through=state.through,
            base=versions,
            templates=templates,
            workspaces=workspaces,
        )

    def _merge(self, published: catalogue_module.Catalogue) -> catalogue_module.Catalogue:
        templates = published.templates | self._contents.templates
        workspaces = published.workspaces | self._contents.workspaces
        return catalogue_module.Catalogue.model_construct(
            templates={name: value for name, value in templates.items() if value is not None},
            workspaces={name: value for name, value in workspaces.items() if value is not None},
        )
