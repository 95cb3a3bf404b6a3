"""Reads and checks settings files."""

import pathlib
from typing import Any

import pydantic
import yaml

from cactusgauge import exceptions
from cactusgauge.settings import daemon_settings, finding

ROLES: dict[str, type[daemon_settings.DaemonSettings]] = {
    "entry": daemon_settings.EntrySettings,
    "agent": daemon_settings.AgentSettings,
}
MAX_VALUE_CHARS = 60


class SettingsLoader:
    """Reads one YAML file and reports all findings together."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._lines: dict[str, int] = {}
        self._repeated: list[finding.Finding] = []

    def load(self) -> daemon_settings.EntrySettings | daemon_settings.AgentSettings:
        """Return the settings; raise `SettingsError` that lists every finding on a line of its own."""
        document = self._read()
        findings = list(self._repeated)
        model = ROLES.get(str(document.get("role")))
        if model is None:
            found = document.get("role", "nothing")
            findings.append(self._finding("role", found, "one of entry, agent is expected"))
        try:
            loaded = (model or daemon_settings.DaemonSettings).model_validate(document)
        except pydantic.ValidationError as error:
            # Which further settings are known depends on the role.
            findings += self._findings(error, ignored=None if model else "extra_forbidden")
            raise self._error(findings) from error
        if findings:
            raise self._error(findings)
        assert isinstance(loaded, daemon_settings.EntrySettings | daemon_settings.AgentSettings)
        return loaded

    def _read(self) -> dict[str, Any]:
        try:
            text = self._path.read_text()
            root = yaml.compose(text, Loader=yaml.SafeLoader)
            document = yaml.safe_load(text)
            self._note_lines(root, "")
        except OSError as error:
            raise exceptions.SettingsError(f"{self._path}: cannot be read: {error.strerror}") from error
        except (yaml.YAMLError, ValueError) as error:  # ValueError: not UTF-8, or a date that does not exist
            raise exceptions.SettingsError(f"{self._path}: is not YAML: {' '.join(str(error).split())}") from error
        except RecursionError as error:
            raise exceptions.SettingsError(f"{self._path}: is nested too deeply or contains itself") from error
        if not isinstance(document, dict):
            raise exceptions.SettingsError(f"{self._path}: a mapping of settings is expected")
        return document

    def _note_lines(self, node: yaml.Node | None, path: str) -> None:
        if node is None:
            return
        self._lines.setdefault(path, node.start_mark.line + 1)
        if isinstance(node, yaml.MappingNode):
            for key, value in node.value:
                child = f"{path}.{key.value}" if path else str(key.value)
                repeated = child in self._lines
                self._lines[child] = key.start_mark.line + 1
                if repeated:
                    self._repeated.append(self._finding(child, key.value, "is set more than once"))
                self._note_lines(value, child)
        elif isinstance(node, yaml.SequenceNode):
            for index, value in enumerate(node.value):
                self._note_lines(value, f"{path}.{index}" if path else str(index))

    def _findings(self, error: pydantic.ValidationError, ignored: str | None) -> list[finding.Finding]:
        return [
            self._finding(
                ".".join(str(part) for part in details["loc"]),
                "nothing" if details["type"] == "missing" else details["input"],
                "is not a known setting" if details["type"] == "extra_forbidden" else details["msg"],
            )
            for details in error.errors(include_url=False)
            if details["type"] != ignored
        ]

    def _finding(self, path: str, value: object, expected: str) -> finding.Finding:
        line = self._lines.get(path, self._lines.get(path.rpartition(".")[0], 1))
        return finding.Finding(str(self._path), line, path, repr(value)[:MAX_VALUE_CHARS], expected)

    @staticmethod
    def _error(findings: list[finding.Finding]) -> exceptions.SettingsError:
        return exceptions.SettingsError("\n".join(str(each) for each in findings))
