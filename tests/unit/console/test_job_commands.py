import pathlib

import pytest
from click import testing

from cactusgauge.console import application, exit_codes
from emulator import cluster


def run(*arguments: str) -> testing.Result:
    return testing.CliRunner().invoke(application.main, arguments, env={"CACTUSGAUGE_WORKSPACE": "cheese"})


@pytest.mark.parametrize(
    ("content", "options", "expected"),
    [
        ('{"tasks": []}', [], "tasks"),
        ('{"tasks": [{"payload": 1}]}', [], "tasks.0.payload"),
        ("{}", ["--entry", "localhost:1"], "http://IP:PORT"),
        ('{"tasks": [{"payload": ""}]}', ["--session", "s"], "--number"),
    ],
)
def test_usage_error_names_the_cause(tmp_path: pathlib.Path, content: str, options: list[str], expected: str) -> None:
    """Guards against sending a request for invalid input."""
    path = tmp_path / "job.json"
    path.write_text(content)
    result = run("job", "submit", str(path), "--entry", "http://127.0.0.1:1", *options)
    assert result.exit_code == exit_codes.USAGE
    assert expected in result.stderr


def test_unreachable_entry_is_a_refusal_with_nothing_run(tmp_path: pathlib.Path) -> None:
    """Guards against a traceback or an unknown outcome when nothing was sent."""
    path = tmp_path / "job.json"
    path.write_text('{"tasks": [{"payload": ""}]}')
    url = f"http://127.0.0.1:{cluster.free_port()}"
    result = run("job", "submit", str(path), "--entry", url, "--timeout", "0")
    assert result.exit_code == exit_codes.REFUSED
    assert f"cannot connect to {url}" in result.stderr
    assert len(result.stderr.splitlines()) == 1
