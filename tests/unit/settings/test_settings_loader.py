import pathlib

import pytest

from cactusgauge import exceptions, settings

AGENT = """\
role: agent
name: agent-1
data_centre: serra
host: 127.0.0.1
http_port: 8001
workspace: cheese
"""
BAD_ENTRY = """\
role: entry
name: -bad
data_centre: serra
host: localhost
http_port: 70000
link_port: 8002
link_port: 8003
size: 0
seeds:
  - ws://127.0.0.1:1
  - http://127.0.0.1:2
slots: 8
7: x
"""
BAD_ROLE = """\
role: worker
host: localhost
http_port: many
slots: 8
"""


def _load(tmp_path: pathlib.Path, text: str) -> settings.EntrySettings | settings.AgentSettings:
    path = tmp_path / "daemon.yaml"
    path.write_bytes(text.encode())
    return settings.SettingsLoader(path).load()


def _findings(tmp_path: pathlib.Path, text: str) -> set[tuple[int, str]]:
    with pytest.raises(exceptions.SettingsError) as caught:
        _load(tmp_path, text)
    lines = [line.removeprefix(f"{tmp_path / 'daemon.yaml'}:") for line in str(caught.value).splitlines()]
    parts = [line.split(":", 2) for line in lines]
    return {(int(number), path.strip()) for number, path, _ in parts}


def test_valid_settings_are_loaded(tmp_path: pathlib.Path) -> None:
    """Guards against rejecting a valid file."""
    assert _load(tmp_path, AGENT).name == "agent-1"


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (
            BAD_ENTRY,
            {
                (2, "name"),
                (4, "host"),
                (5, "http_port"),
                (7, "link_port"),
                (8, "size"),
                (11, "seeds.1"),
                (12, "slots"),
                (13, "7"),
                (1, "workspaces"),
                (1, "log_url"),
            },
        ),
        (BAD_ROLE, {(1, "role"), (2, "host"), (3, "http_port"), (1, "name"), (1, "data_centre")}),
    ],
    ids=["entry", "unknown role"],
)
def test_every_finding_is_reported_with_its_line(
    tmp_path: pathlib.Path, text: str, expected: set[tuple[int, str]]
) -> None:
    """Guards against reporting only the first error, and against silently accepting a duplicate key."""
    assert _findings(tmp_path, text) == expected


@pytest.mark.parametrize(
    "text",
    ["a: [", "- a", "", "a: 2024-99-99", "a: &a [*a]", "a: &a {b: *a}", "[" * 3000, "? [a]\n: b", "a: \x00"],
    ids=["open list", "list", "empty", "no date", "cycle", "cyclic mapping", "nested", "list as key", "control"],
)
def test_any_file_gives_settings_errors_only(tmp_path: pathlib.Path, text: str) -> None:
    """Guards against a stack trace in place of an error message that names the problem."""
    if text:
        with pytest.raises(exceptions.SettingsError):
            _load(tmp_path, AGENT + text)
    with pytest.raises(exceptions.SettingsError):
        _load(tmp_path, text)
