"""Configuration with real processes: entries, an agent, the emulated platform log and the `config` command."""

import json
import os
import pathlib
import subprocess
import sys
import urllib.request
from typing import Any

import pytest
import yaml

from emulator import cluster
from tests.system import caller

ENTRIES = ("entry-1", "entry-2")


class Operator:
    """Runs the `config` command as an operator would."""

    def __init__(self, processes: cluster.Cluster, directory: pathlib.Path) -> None:
        self._processes = processes
        self._file = directory / "published.yaml"

    def write(self, slots: int, name: str = "published.yaml") -> pathlib.Path:
        """Write a configuration file that gives the workspace a number of slots."""
        document = {
            "templates": {"small": {"parameters": {"slots": {}}, "settings": {"slots": "$slots"}}},
            "workspaces": {self._processes.workspace: {"template": "small", "parameters": {"slots": slots}}},
        }
        path = self._file.with_name(name)
        path.write_text(yaml.safe_dump(document))
        return path

    def start(self, *arguments: str) -> "subprocess.Popen[str]":
        """Start the command."""
        environment = {
            **os.environ,
            "CACTUSGAUGE_LOG_URL": self._processes[cluster.LOG_NAME].http_url,
            "CACTUSGAUGE_ENTRY": self._processes[ENTRIES[0]].http_url,
        }
        command = [sys.executable, "-m", "cactusgauge.console.application", "config", *arguments, "--json"]
        return subprocess.Popen(command, env=environment, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)

    def run(self, *arguments: str, status: int = 0) -> Any:
        """Run the command, check its exit code and return its JSON output, or its error output if there is none."""
        process = self.start(*arguments)
        output, errors = process.communicate(timeout=60)
        assert process.returncode == status, errors
        return json.loads(output) if output else errors


@pytest.fixture
def operator(processes: cluster.Cluster, tmp_path: pathlib.Path) -> Operator:
    """Start two entries and one worker, and return an operator."""
    for name in ENTRIES:
        processes.start_entry(name)
    processes.start_worker(0)
    processes.wait_ready(*ENTRIES)
    for name in ENTRIES:
        processes.wait_linked(name, 1)
        processes.wait_peers(name, 1)
    return Operator(processes, tmp_path)


def version(processes: cluster.Cluster, name: str) -> Any:
    """Return the configuration version in force at a process."""
    return processes.get_json(name, "/v1/status")["config_version"]


def test_restart_in_an_outage_serves_only_the_peers_version(processes: cluster.Cluster, operator: Operator) -> None:
    """Guards against an entry that restarts during a log outage and serves defaults or an old version."""
    published = operator.run("publish", str(operator.write(3)))
    assert published["in_force_everywhere"]
    assert {entry["name"] for entry in published["entries"]} == set(ENTRIES)
    processes.wait_until(lambda: processes.get_json("agent-0", "/v1/status")["slots"] == 3, "the agent has 3 slots")

    processes.set_log_faults(unavailable=True)
    processes["entry-2"].process.kill()
    processes.wait_exit("entry-2")
    processes.start_entry("entry-2")
    # This entry starts last and without seeds, so that no peer knows it: it has no version to serve.
    processes.start_entry("entry-3", seeds=[])
    processes.wait_ready("entry-2")

    assert version(processes, "entry-2") == published["version"]
    origins = [
        event["fields"]["origin"] for event in events(processes, "entry-2") if event["kind"] == "config_in_force"
    ]
    assert origins == [processes["entry-1"].http_url]
    assert processes.get_status("entry-3", "/readyz") == 503
    assert version(processes, "entry-3") is None
    refused = caller.Caller(processes["entry-3"].http_url).request("POST", "")
    assert (refused.status, refused.body["code"]) == (503, "not_ready")
    processes.wait_linked("entry-2", 1)
    client = caller.Caller(processes["entry-2"].http_url)
    answer = client.submit(client.open_session(), 1, caller.job_body(12, run_ms=20))
    assert answer.body["state"] == "complete"
    assert max(report["max_running"] for report in processes.server_reports()) <= 3
    assert "nothing was published" in operator.run("publish", str(operator.write(5)), status=1)

    processes.set_log_faults()
    processes.wait_ready("entry-3")
    after = operator.run("publish", str(operator.write(5)))
    assert after["in_force_everywhere"]
    processes.wait_until(lambda: version(processes, "entry-3") == after["version"], "entry-3 has the new version")
    processes.wait_until(lambda: processes.get_json("agent-0", "/v1/status")["slots"] == 5, "the agent has 5 slots")


def test_operators_that_race_and_replies_that_are_lost(processes: cluster.Cluster, operator: Operator) -> None:
    """Guards against two winners of a race, a change published twice, and entries that disagree about the result."""
    processes.set_log_faults(delay_s=0.3)  # so that both operators read before either appends
    racers = [
        operator.start("publish", str(operator.write(slots, f"{slots}.yaml")), "--base", "0", "--author", f"op-{slots}")
        for slots in (3, 4)
    ]
    outputs = [json.loads(racer.communicate(timeout=60)[0]) for racer in racers]
    assert sorted(racer.returncode for racer in racers) == [0, 3]
    winner, loser = sorted(outputs, key=lambda output: str(output["outcome"]))
    assert loser["outcome"] == "stale"
    assert [lost["id"] for lost in loser["lost_to"]] == [winner["change_id"]]

    processes.set_log_faults(lose_replies=1)
    published = operator.run("publish", str(operator.write(6)))
    assert published["in_force_everywhere"]
    changes = operator.run("history")["changes"]
    assert [change["outcome"] for change in changes] == ["accepted", "stale", "accepted", "accepted"]
    assert changes[0]["id"] == published["change_id"]

    processes.trim_log(published["version"] + 1)
    processes.start_entry("entry-3")
    processes.wait_ready("entry-3")
    for name in (*ENTRIES, "entry-3"):
        processes.wait_peers(name, 2)
    shown = operator.run("show", "--everywhere")
    versions = {process["name"]: process["version"] for process in shown["processes"]}
    assert versions == dict.fromkeys([*ENTRIES, "entry-3", "agent-0"], published["version"])
    assert shown["settings"][processes.workspace]["slots"] == 6


def events(processes: cluster.Cluster, name: str) -> list[dict[str, Any]]:
    """Return the events of a process."""
    with urllib.request.urlopen(f"{processes[name].http_url}/v1/events", timeout=5) as response:
        return [json.loads(line) for line in response.read().splitlines()]
