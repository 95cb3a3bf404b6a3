"""Loads and validates mix files."""

import pathlib

import pydantic
import yaml

from cactusgauge import exceptions
from cactusgauge.load import mix as mix_module


class MixLoader:
    """Loads one YAML file and reports all errors together."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path

    def load(self) -> mix_module.Mix:
        """Return the mix; raise `SettingsError` with one line for each error."""
        try:
            document = yaml.safe_load(self._path.read_text())
        except OSError as error:
            raise exceptions.SettingsError(f"{self._path}: cannot be read: {error.strerror}") from error
        except (yaml.YAMLError, UnicodeDecodeError) as error:
            raise exceptions.SettingsError(f"{self._path}: is not YAML: {' '.join(str(error).split())}") from error
        try:
            return mix_module.Mix.model_validate(document)
        except pydantic.ValidationError as error:
            findings = [
                f"{self._path}: {'.'.join(str(part) for part in finding['loc']) or 'file'}: {finding['msg']}"
                for finding in error.errors(include_url=False, include_input=False)
            ]
            raise exceptions.SettingsError("\n".join(findings)) from error
