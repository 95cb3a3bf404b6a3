"""The workers in the output of the status command."""

import pytest
from click import testing

from cactusgauge import client
from cactusgauge.console import status_command


def _entry(name: str, **health: str) -> client.ProcessState:
    workers = [{"agent": agent, "available": True, "health": state} for agent, state in health.items()]
    workspace = {"name": "w", "preferred_entry": name, "open_jobs": 0, "queued": 0, "running": 0, "workers": workers}
    document = {
        "entry": {"data_centre": "d"},
        "peers": [],
        "draining": False,
        "ready": True,
        "config_version": 1,
        "sessions": 0,
        "workspaces": [workspace],
    }
    return client.ProcessState("entry", name, f"http://{name}", "", document)


def test_worker_that_one_entry_considers_unhealthy_is_not_shown_as_healthy(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a quarantine that only the events show, as each entry assesses the workers on its own."""
    agents = [client.ProcessState("agent", name, f"http://{name}", "w", None) for name in ("good", "bad", "lost")]
    found = [_entry("e1", good="healthy", bad="quarantined"), _entry("e2", good="healthy", bad="returning"), *agents]

    async def discover(entries: tuple[str, ...]) -> list[client.ProcessState]:
        return found

    monkeypatch.setattr(status_command, "_discover", discover)
    shown = testing.CliRunner().invoke(status_command.status, ["--entry", "http://e1"]).stdout

    rows = {line.split()[0]: line for line in shown.splitlines() if line.strip()}
    assert "quarantined at e1, returning at e2" in rows["bad"]
    assert "healthy" in rows["good"]
    assert "healthy" not in rows["lost"]
