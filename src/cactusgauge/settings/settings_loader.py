"""Reads and validates settings files."""

import pathlib

import pydantic

from cactusgauge import exceptions
from cactusgauge.settings import daemon_settings, finding, yaml_document

MODELS_BY_ROLE: dict[str, type[daemon_settings.DaemonSettings]] = {
    "entry": daemon_settings.EntrySettings,
    "agent": daemon_settings.AgentSettings,
}


class SettingsLoader:
    """Loads one YAML file and reports all findings in one error."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path

    def load(self) -> daemon_settings.EntrySettings | daemon_settings.AgentSettings:
        """Return the settings; raise a `SettingsError` with one line for each finding."""
        document = yaml_document.YamlDocument(self._path)
        findings = document.duplicate_keys
        model = MODELS_BY_ROLE.get(str(document.value.get("role")))
        if model is None:
            found = document.value.get("role", "nothing")
            findings.append(document.make_finding("role", found, "one of entry, agent is expected"))
        try:
            loaded = (model or daemon_settings.DaemonSettings).model_validate(document.value)
        except pydantic.ValidationError as error:
            # Without a valid role it is not known which settings are allowed, so unknown ones are not reported.
            findings += document.validation_findings(error, ignored_type=None if model else "extra_forbidden")
            raise self._settings_error(findings) from error
        if findings:
            raise self._settings_error(findings)
        assert isinstance(loaded, daemon_settings.EntrySettings | daemon_settings.AgentSettings)
        return loaded

    @staticmethod
    def _settings_error(findings: list[finding.Finding]) -> exceptions.SettingsError:
        return exceptions.SettingsError("\n".join(str(each) for each in findings))
