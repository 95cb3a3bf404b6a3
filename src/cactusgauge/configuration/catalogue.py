"""The catalogue of templates and workspaces, and how it resolves to the settings of each workspace."""

import json
from typing import TYPE_CHECKING, Any, NamedTuple

import pydantic

from cactusgauge.configuration import template as template_module
from cactusgauge.configuration import workspace_config

if TYPE_CHECKING:
    from cactusgauge import ids

MAX_VALUE_CHARS = 60


class Problem(NamedTuple):
    """A validation error of a catalogue at a dotted path such as `workspaces.cheese.parameters.slots`.

    `value` is what was found there; `expected` says in words what is expected instead or what is wrong.
    """

    path: str
    value: object
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: {self.expected} (found {repr(self.value)[:MAX_VALUE_CHARS]})"


class Catalogue(pydantic.BaseModel):
    """All templates and workspaces by name; valid if all references and all workspaces resolve without problems."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    templates: dict[template_module.Name, template_module.Template] = {}
    workspaces: dict[template_module.WorkspaceKey, template_module.WorkspaceEntry] = {}

    def resolve(self) -> "tuple[dict[ids.WorkspaceName, workspace_config.WorkspaceConfig], list[Problem]]":
        """Return the settings of each workspace that resolves, and all problems found."""
        configs: dict[ids.WorkspaceName, workspace_config.WorkspaceConfig] = {}
        problems: list[Problem] = []
        for name, template in self.templates.items():
            problems += self._check_references(name, template)
        for workspace in self.workspaces:
            config, found = self._resolve_workspace(workspace)
            problems += found
            if config is not None:
                configs[workspace] = config
        # An invalid setting of a template is found once for each of its workspaces; report it once.
        return configs, list({(problem.path, problem.expected): problem for problem in problems}.values())

    @staticmethod
    def _check_references(name: str, template: template_module.Template) -> list[Problem]:
        problems = []
        for key, value in template.settings.items():
            path = f"templates.{name}.settings.{key}"
            if key not in workspace_config.WorkspaceConfig.model_fields or key == "name":
                problems.append(Problem(path, value, "is not a known setting"))
            parameter = _referenced_parameter(value)
            if parameter is not None and parameter not in template.parameters:
                problems.append(Problem(path, value, "a parameter of this template is expected"))
        return problems

    def _resolve_workspace(
        self, workspace: "ids.WorkspaceName"
    ) -> tuple[workspace_config.WorkspaceConfig | None, list[Problem]]:
        entry = self.workspaces[workspace]
        path_prefix = f"workspaces.{workspace}"
        template = self.templates.get(entry.template)
        if template is None:
            return None, [Problem(f"{path_prefix}.template", entry.template, "the name of a template is expected")]
        problems = [
            Problem(f"{path_prefix}.parameters.{name}", value, f"is not a parameter of template {entry.template}")
            for name, value in entry.parameters.items()
            if name not in template.parameters
        ]
        values = {name: spec.default for name, spec in template.parameters.items()} | entry.parameters
        problems += [
            Problem(
                f"{path_prefix}.parameters.{name}",
                "nothing",
                f"a value is expected, as template {entry.template} has none",
            )
            for name in template.parameters
            if values[name] is None
        ]
        if problems:
            return None, problems
        settings = {}
        for key, value in template.settings.items():
            parameter = _referenced_parameter(value)
            if parameter is None:
                settings[key] = value
            elif parameter in values:
                settings[key] = values[parameter]
        return self._validate(workspace, settings)

    def _validate(
        self, workspace: "ids.WorkspaceName", settings: dict[str, Any]
    ) -> tuple[workspace_config.WorkspaceConfig | None, list[Problem]]:
        document = json.dumps({**settings, "name": workspace})
        try:
            # Strict, because a string that looks like a number is usually a mistake.
            return workspace_config.WorkspaceConfig.model_validate_json(document, strict=True), []
        except pydantic.ValidationError as error:
            return None, [
                Problem(self._problem_path(workspace, details["loc"]), details["input"], details["msg"])
                for details in error.errors(include_url=False)
                # An unknown setting is already reported as a problem of the template.
                if details["type"] != "extra_forbidden"
            ]

    def _problem_path(self, workspace: "ids.WorkspaceName", location: tuple[int | str, ...]) -> str:
        """Return the path at which an operator gave the invalid value of a resolved setting."""
        entry = self.workspaces[workspace]
        if not location or str(location[0]) not in self.templates[entry.template].settings:
            return f"workspaces.{workspace}"
        key, *rest = (str(part) for part in location)
        parameter = _referenced_parameter(self.templates[entry.template].settings[key])
        if parameter is None:
            return ".".join(["templates", entry.template, "settings", key, *rest])
        if parameter in entry.parameters:
            return ".".join(["workspaces", workspace, "parameters", parameter, *rest])
        return ".".join(["templates", entry.template, "parameters", parameter, "default", *rest])


def _referenced_parameter(value: object) -> str | None:
    if isinstance(value, str) and value.startswith(template_module.PARAMETER_PREFIX):
        return value[len(template_module.PARAMETER_PREFIX) :]
    return None
