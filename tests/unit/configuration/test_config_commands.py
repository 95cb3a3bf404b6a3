"""Tests of the operator commands that need no running process."""

import json
import pathlib

import pytest
from click import testing

from cactusgauge.console import config_commands

BAD_FILE = """\
templates:
  small:
    parameters: {slots: {}}
    settings:
      slots: $slots
      max_queued_tasks: $absent
      colour: 3
workspaces:
  cheese:
    template: small
    parameters: {slots: many}
  crier:
    template: large
"""


def run(*arguments: str) -> testing.Result:
    return testing.CliRunner().invoke(config_commands.config, arguments)


def test_all_findings_are_reported_together(tmp_path: pathlib.Path) -> None:
    """Guards against reporting one error at a time, or a wrong line number."""
    path = tmp_path / "bad.yaml"
    path.write_text(BAD_FILE)
    result = run("check", str(path), "--json")
    assert result.exit_code == 2
    findings = json.loads(result.output)["findings"]
    assert {(each["line"], each["path"], each["value"]) for each in findings} == {
        (6, "templates.small.settings.max_queued_tasks", "'$absent'"),
        (7, "templates.small.settings.colour", "3"),
        (11, "workspaces.cheese.parameters.slots", "'many'"),
        (13, "workspaces.crier.template", "'large'"),
    }


@pytest.mark.parametrize(
    ("arguments", "status"),
    [
        (("publish", "FILE"), 2),
        (("publish", "FILE", "--log-url", "http://127.0.0.1:1"), 1),
        (("publish", "FILE", "--log-url", "http://127.0.0.1:1", "--author", ""), 2),
        (("publish", "FILE", "--log-url", "http://127.0.0.1:1", "--base", "-7"), 2),
        (("show", "--log-url", "http://127.0.0.1:1", "--entry", "http://127.0.0.1:1"), 1),
        (("wait",), 2),
        (("check", "absent.yaml"), 2),
    ],
)
def test_errors_are_one_line_with_the_documented_code(
    tmp_path: pathlib.Path, arguments: tuple[str, ...], status: int
) -> None:
    """Guards against tracebacks, and against exit codes that do not distinguish a rejection from an outage."""
    path = tmp_path / "empty.yaml"
    path.write_text("templates: {}\n")
    result = run(*(str(path) if each == "FILE" else each for each in arguments))
    assert result.exit_code == status
    assert isinstance(result.exception, SystemExit)
    assert [line.startswith("Error: ") for line in result.output.splitlines()].count(True) == 1
