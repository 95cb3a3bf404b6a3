"""The status command against real processes."""

import json
import signal

from click import testing

from cactusgauge.console import application
from emulator import cluster


def test_status_finds_all_processes_from_one_entry_and_names_the_lost(processes: cluster.Cluster) -> None:
    """Guards against an operator not seeing that a process is gone."""
    processes.start_entry("entry-1")
    processes.start_entry("entry-2")
    processes.start_worker(0)
    processes.start_worker(1)
    processes.wait_ready("entry-1", "entry-2")
    processes.wait_linked("entry-1", 2)
    processes.wait_linked("entry-2", 2)
    environment = {"CACTUSGAUGE_ENTRY": processes["entry-2"].http_url}
    runner = testing.CliRunner()

    all_up = runner.invoke(application.main, ["status", "--json"], env=environment)
    found = {each["name"]: each["document"]["ready"] for each in json.loads(all_up.stdout)}
    assert (all_up.exit_code, found) == (0, dict.fromkeys(["entry-1", "entry-2", "agent-0", "agent-1"], True))

    for name in ("entry-1", "agent-0"):
        processes.signal(name, signal.SIGKILL)
        processes.wait_exit(name)
    lost = runner.invoke(application.main, ["status"], env=environment)
    assert lost.exit_code == 1
    assert sorted(line.split()[1] for line in lost.stderr.splitlines()) == ["agent-0", "entry-1"]
