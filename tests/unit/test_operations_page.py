"""The operators' page covers every setting, code and event that operators and callers can see."""

import pathlib
import re
from collections import abc

import pytest

from cactusgauge import configuration, exceptions, fleet, jobs, runs, settings
from cactusgauge.platform import job_body
from cactusgauge.settings import daemon_settings

# The codes are found among the classes that are imported, so the result must not depend on other test modules.
MODULES_WITH_CODES = (exceptions, fleet, runs, job_body)
ROOT = pathlib.Path(__file__).parents[2]
PAGE = (ROOT / "docs/OPERATIONS.md").read_text()
INTERNAL = {"internal", "protocol_error", "link_closed", "bad_settings", "log_unavailable", "bad_account_record"}


def _subclasses(kind: type[exceptions.CactusgaugeError]) -> abc.Iterator[type[exceptions.CactusgaugeError]]:
    for each in kind.__subclasses__():
        yield each
        yield from _subclasses(each)


def test_page_names_every_setting_code_and_state_change() -> None:
    """Guards against a settings key, code or log line that is not documented."""
    models = (daemon_settings.EntrySettings, daemon_settings.AgentSettings)
    keys = {key for model in models for key in model.model_fields}
    codes = {each.code for each in _subclasses(exceptions.CactusgaugeError)} - INTERNAL
    sources = (path.read_text() for path in (ROOT / "src/cactusgauge").rglob("*.py"))
    events = {kind for text in sources for kind in re.findall(r'record_state\(\s*"(\w+)"', text)}
    missing = sorted(name for name in keys | codes | events if f"`{name}`" not in PAGE)
    assert len(events) > 10
    assert missing == []


def test_page_says_what_each_code_proves() -> None:
    """Guards against the page stating `nothing ran` where the API does not."""
    rows = {row[0]: row[1:] for row in re.findall(r"^\| `(\w+)`[^|]*\| \d+ \| (\w+) \| (.*) \|$", PAGE, re.MULTILINE)}
    shown: dict[str, set[str]] = {}
    for each in _subclasses(exceptions.CactusgaugeError):
        shown.setdefault(each.code, set()).add(each.ran.value)
    wrong = [code for code, (ran, _) in rows.items() if ran not in shown.get(code, {ran})]
    unexplained = [
        code for code, (_, meaning) in rows.items() if len(shown.get(code, ())) > 1 and "`unknown`" not in meaning
    ]
    assert (wrong, unexplained) == ([], [])
    assert len(rows.keys() & shown.keys()) > 8


@pytest.mark.parametrize("path", sorted((ROOT / "examples").glob("*-*.yaml")), ids=lambda path: path.name)
def test_example_settings_are_valid(path: pathlib.Path) -> None:
    """Guards against examples that were not updated after a change of the settings."""
    assert settings.SettingsLoader(path).load().name == path.stem


def test_example_job_is_valid() -> None:
    """Guards against an example job that every entry refuses."""
    assert jobs.JobRequestParser(340, 1_048_576).parse((ROOT / "examples/job.json").read_bytes()).tasks


def test_example_configuration_is_valid() -> None:
    """Guards against an example configuration that cannot be published."""
    file = configuration.ConfigFile(ROOT / "examples/configuration.yaml")
    assert file.findings(configuration.Catalogue()) == []
