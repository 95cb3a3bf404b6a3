"""A YAML file that reports validation errors with line numbers."""

import pathlib
from typing import TYPE_CHECKING, Any

import yaml

from cactusgauge import exceptions
from cactusgauge.settings import finding

if TYPE_CHECKING:
    import pydantic

MAX_VALUE_CHARS = 60


class YamlDocument:
    """Reads a mapping from a YAML file and keeps the line number of each path."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._line_numbers: dict[str, int] = {}
        self._duplicate_keys: list[finding.Finding] = []
        self._value = self._read()

    @property
    def value(self) -> dict[str, Any]:
        """The content of the file."""
        return self._value

    @property
    def duplicate_keys(self) -> list[finding.Finding]:
        """Findings for the keys that are set more than once."""
        return list(self._duplicate_keys)

    def validation_findings(
        self, error: "pydantic.ValidationError", ignored_type: str | None = None
    ) -> list[finding.Finding]:
        """Convert the errors of a validation of `value` to findings, except errors of the type `ignored_type`."""
        return [
            self.make_finding(
                ".".join(str(part) for part in details["loc"]),
                "nothing" if details["type"] == "missing" else details["input"],
                "is not a known setting" if details["type"] == "extra_forbidden" else details["msg"],
            )
            for details in error.errors(include_url=False)
            if details["type"] != ignored_type
        ]

    def make_finding(self, path: str, value: object, expected: str) -> finding.Finding:
        """Return a finding for a dotted path; a missing path gets the line of its nearest parent in the file."""
        return finding.Finding(str(self._path), self._line_number(path), path, repr(value)[:MAX_VALUE_CHARS], expected)

    def _line_number(self, path: str) -> int:
        while path and path not in self._line_numbers:
            path = path.rpartition(".")[0]
        return self._line_numbers.get(path, 1)

    def _read(self) -> dict[str, Any]:
        try:
            text = self._path.read_text()
            root = yaml.compose(text, Loader=yaml.SafeLoader)
            document = yaml.safe_load(text)
            self._index_lines(root, "")
        except OSError as error:
            raise exceptions.SettingsError(f"{self._path}: cannot be read: {error.strerror}") from error
        except (yaml.YAMLError, ValueError) as error:  # ValueError: not UTF-8, or a date that does not exist
            raise exceptions.SettingsError(f"{self._path}: is not YAML: {' '.join(str(error).split())}") from error
        except RecursionError as error:
            raise exceptions.SettingsError(f"{self._path}: is nested too deeply or contains itself") from error
        if not isinstance(document, dict):
            raise exceptions.SettingsError(f"{self._path}: a mapping of settings is expected")
        return document

    def _index_lines(self, node: yaml.Node | None, path: str) -> None:
        if node is None:
            return
        self._line_numbers.setdefault(path, node.start_mark.line + 1)
        if isinstance(node, yaml.MappingNode):
            for key, value in node.value:
                child = f"{path}.{key.value}" if path else str(key.value)
                is_duplicate = child in self._line_numbers
                self._line_numbers[child] = key.start_mark.line + 1
                if is_duplicate:
                    self._duplicate_keys.append(self.make_finding(child, key.value, "is set more than once"))
                self._index_lines(value, child)
        elif isinstance(node, yaml.SequenceNode):
            for index, value in enumerate(node.value):
                self._index_lines(value, f"{path}.{index}" if path else str(index))
