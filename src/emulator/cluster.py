"""Starts a small cluster of real processes on loopback for the demo, tests and measurements."""

import collections
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from typing import Any, NamedTuple, Self

import yaml

from cactusgauge import configuration, ids
from emulator import network

HOST = "127.0.0.1"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
LOG_NAME = "platform-log"
TEMPLATE = "standard"


# Below the kernel's range of ephemeral ports: an outgoing connection of another process could otherwise take a port
# after `free_port` has checked it and before the new process listens on it.
PORT_RANGE = range(10_000, 32_000)
_port_candidates = itertools.cycle(PORT_RANGE)
_port_offset = os.getpid() * 97 % len(PORT_RANGE)  # parallel test runs start at different ports


def free_port() -> int:
    """Return a TCP port that is currently free and was not returned recently."""
    for candidate in _port_candidates:
        port = PORT_RANGE[(candidate - PORT_RANGE.start + _port_offset) % len(PORT_RANGE)]
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port
    raise RuntimeError("no free port")


class ProcessHandle(NamedTuple):
    """A started process, its HTTP URL and the command that started it."""

    name: str
    process: "subprocess.Popen[bytes]"
    http_url: str
    command: list[str]


class Cluster:
    """The processes of one test, demo or measurement; all of them are killed on exit, by their process ids.

    With `proxied`, the other processes connect to entries through the proxies of `network`.
    """

    def __init__(self, directory: pathlib.Path, workspace: str = "cheese", proxied: bool = False) -> None:
        self._directory = directory
        self._workspace = workspace
        self._proxied = proxied
        self._network = network.Network(self._names_by_pid)
        self._handles: dict[str, ProcessHandle] = {}
        self._link_urls: dict[str, str] = {}

    @property
    def workspace(self) -> str:
        """The workspace of the agents."""
        return self._workspace

    @property
    def network(self) -> network.Network:
        """The proxies between the processes."""
        return self._network

    def __enter__(self) -> Self:
        self._network.__enter__()
        return self

    def __exit__(self, *exception: object) -> None:
        for handle in self._handles.values():
            with contextlib.suppress(ProcessLookupError):
                handle.process.send_signal(signal.SIGCONT)
                handle.process.kill()
        for handle in self._handles.values():
            handle.process.wait()
        self._network.__exit__()

    def __getitem__(self, name: str) -> ProcessHandle:
        return self._handles[name]

    def start_log(self, publish: bool = True) -> ProcessHandle:
        """Start the emulated log of the platform and, with `publish`, append an initial configuration."""
        port = free_port()
        command = [sys.executable, "-m", "emulator.platform_log", "--port", str(port)]
        handle = self._start(LOG_NAME, command, f"http://{HOST}:{port}")
        self.wait_until(lambda: self.get_status(LOG_NAME, "/faults") == 200, "the log responds")
        if publish:
            self.append_change(self._first_change())
        return handle

    def set_log_faults(self, **faults: Any) -> None:
        """Set the faults of the log; a fault that is not given is disabled."""
        self._request("PUT", f"{self._handles[LOG_NAME].http_url}/faults", json.dumps(faults).encode())

    def trim_log(self, first_offset: int) -> None:
        """Remove the configuration records below an offset."""
        url = f"{self._handles[LOG_NAME].http_url}/v1/streams/{configuration.STREAM}/trim?first={first_offset}"
        self._request("POST", url, b"")

    def append_change(self, change: configuration.ChangeRecord) -> None:
        """Append a configuration change to the log."""
        url = f"{self._handles[LOG_NAME].http_url}/v1/streams/{configuration.STREAM}/records"
        self._request("POST", url, change.model_dump_json().encode())

    def start_entry(self, name: str, **overrides: Any) -> ProcessHandle:
        """Start an entry that has all entries started before it as seeds; start the log first if it is not running."""
        if LOG_NAME not in self._handles:
            self.start_log()
        http_port, link_port = free_port(), free_port()
        document = {
            "role": "entry",
            "name": name,
            "data_centre": "serra",
            "host": HOST,
            "http_port": http_port,
            "link_port": link_port,
            "seeds": list(self._link_urls.values()),
            "workspaces": [self._workspace],
            "log_url": self._handles[LOG_NAME].http_url,
            "drain_notice_s": 0.3,
        }
        self._link_urls[name] = f"ws://{HOST}:{self._advertised_port(name, link_port)}"
        if self._proxied:
            document["advertised_link_url"] = self._link_urls[name]
            document["advertised_http_url"] = f"http://{HOST}:{self._advertised_port(name, http_port)}"
        document.update(overrides)
        return self._start_daemon(name, document)

    def start_agent(self, name: str, **overrides: Any) -> ProcessHandle:
        """Start an agent that has all entries started before it as seeds."""
        document = {
            "role": "agent",
            "name": name,
            "data_centre": "serra",
            "host": HOST,
            "http_port": free_port(),
            "seeds": list(self._link_urls.values()),
            "workspace": self._workspace,
            **({"log_url": self._handles[LOG_NAME].http_url} if LOG_NAME in self._handles else {}),
            **overrides,
        }
        return self._start_daemon(name, document)

    def start_backend_server(self, name: str, agent: str, *options: str, proxied: bool = False) -> ProcessHandle:
        """Start an emulated backend server for an agent; with `proxied`, the agent connects through `network`.

        The server appends usage reports if `options` contain the URL of the log.
        """
        port = free_port()
        arguments = ["--name", name, "--port", str(port), "--agent-url", self._handles[agent].http_url]
        arguments += ["--journal", str(self._journal_path(name)), "--worker", agent, "--workspace", self._workspace]
        if proxied:
            arguments += ["--announced-port", str(self._network.listen(name, port))]
        command = [sys.executable, "-m", "emulator.backend_server", *arguments, *options]
        return self._start(name, command, f"http://{HOST}:{port}")

    def start_worker(self, number: int, *options: str, **overrides: Any) -> None:
        """Start an agent `agent-N` with its backend server `server-N`."""
        self.start_agent(f"agent-{number}", **overrides)
        self.start_backend_server(f"server-{number}", f"agent-{number}", *options)

    def restart(self, name: str) -> ProcessHandle:
        """Start an ended process again with the same command."""
        ended = self._handles[name]
        return self._start(name, ended.command, ended.http_url)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._handles[name].process.send_signal(number)

    def kill_and_remove(self, name: str) -> None:
        """Kill a process and remove it from the cluster."""
        handle = self._handles.pop(name)
        handle.process.kill()
        handle.process.wait()
        self._link_urls.pop(name, None)

    def wait_exit(self, name: str) -> int:
        """Wait until a process exits and return its status."""
        return self._handles[name].process.wait(STOP_TIMEOUT_S)

    def wait_ready(self, *names: str) -> None:
        """Wait until all the given processes report that they are ready."""
        for name in names:
            self.wait_until(lambda name=name: self.get_status(name, "/readyz") == 200, f"{name} is ready")

    def wait_linked(self, entry: str, agents: int) -> None:
        """Wait until at least `agents` workers are available at an entry."""
        self.wait_until(lambda: self.available_workers(entry) >= agents, f"{agents} workers at {entry}")

    def wait_peers(self, entry: str, peers: int) -> None:
        """Wait until an entry regards at least `peers` other entries as alive."""
        self.wait_until(lambda: self.alive_peers(entry) >= peers, f"{peers} peers at {entry}")

    def alive_peers(self, entry: str) -> int:
        """Return the number of other entries that an entry regards as alive."""
        return sum(peer["alive"] for peer in self.get_json(entry, "/v1/status")["peers"])

    def available_workers(self, entry: str) -> int:
        """Return the number of workers that are available at an entry."""
        status = self.get_json(entry, "/v1/status")
        return sum(worker["available"] for each in status["workspaces"] for worker in each["workers"])

    def wait_until(self, condition: "Any", description: str, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until a condition holds; raise `TimeoutError` with its description if it does not in time."""
        end = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end:
                exit_codes = {name: each.process.poll() for name, each in self._handles.items()}
                ended = {name: code for name, code in exit_codes.items() if code is not None}
                lines = {path.stem: len(self.journal(path.stem)) for path in self._directory.glob("*.journal")}
                raise TimeoutError(
                    f"timed out after {timeout_s} s waiting until {description}; logs are in {self._directory}; "
                    f"ended processes: {ended}; lines of journals: {lines}"
                )
            time.sleep(POLL_INTERVAL_S)

    def get_status(self, name: str, path: str) -> int:
        """Return the HTTP status of a GET request, or 0 if there is no response."""
        try:
            with urllib.request.urlopen(f"{self._handles[name].http_url}{path}", timeout=2) as response:
                status: int = response.status
                return status
        except urllib.error.HTTPError as error:
            return error.code
        except OSError:
            return 0

    def get_json(self, name: str, path: str) -> Any:
        """Return the JSON document that a GET request responds with."""
        with urllib.request.urlopen(f"{self._handles[name].http_url}{path}", timeout=5) as response:
            return json.load(response)

    def server_reports(self) -> list[dict[str, Any]]:
        """Return the reports of all running backend servers."""
        names = [name for name, handle in self._handles.items() if name.startswith("server-")]
        running = [name for name in names if self._handles[name].process.poll() is None]
        return [self.get_json(name, "/report") for name in running]

    def configure_server(self, server: str, announcing: str = "renew", **faults: float) -> None:
        """Set the announcement mode of a backend server and the faults that it injects."""
        body = json.dumps({"announcing": announcing, "faults": faults}).encode()
        url = f"{self._handles[server].http_url}/report"
        with urllib.request.urlopen(urllib.request.Request(url, method="PUT", data=body), timeout=5):
            pass

    def counter(self, name: str, counter: str) -> float:
        """Return the value of a counter of a process, summed over workspaces and labels."""
        rows = self.get_json(name, "/v1/status")["counters"]
        return float(sum(row[-1] for row in rows if row[0] == counter))

    def journal(self, server: str) -> list[dict[str, Any]]:
        """Return the journal of a backend server, which remains after the process was killed.

        A line that is still being written is left out.
        """
        path = self._journal_path(server)
        lines = path.read_text().rpartition("\n")[0].splitlines() if path.exists() else []
        return [json.loads(line) for line in lines]

    def starts(self, prefix: str = "") -> dict[str, int]:
        """Return the number of starts on all backend servers of each task whose id begins with `prefix`."""
        events = [event for path in self._directory.glob("*.journal") for event in self.journal(path.stem)]
        started = [event["task"] for event in events if event["event"] == "start"]
        return collections.Counter(task for task in started if task.startswith(prefix))

    def _names_by_pid(self) -> dict[int, str]:
        return {handle.process.pid: name for name, handle in self._handles.items()}

    def _journal_path(self, server: str) -> pathlib.Path:
        return self._directory / f"{server}.journal"

    def _advertised_port(self, name: str, port: int) -> int:
        return self._network.listen(name, port) if self._proxied else port

    def _first_change(self) -> configuration.ChangeRecord:
        # With the maximum here, only the agents' own settings limit the slots.
        template = configuration.Template(settings={"slots": configuration.MAX_SLOTS})
        entry = configuration.WorkspaceEntry(template=TEMPLATE)
        return configuration.ChangeRecord(
            id="first",
            author="emulator",
            through=-1,
            base={f"templates.{TEMPLATE}": -1, f"workspaces.{self._workspace}": -1},
            templates={TEMPLATE: template},
            workspaces={ids.WorkspaceName(self._workspace): entry},
        )

    @staticmethod
    def _request(method: str, url: str, body: bytes) -> None:
        request = urllib.request.Request(url, method=method, data=body)
        with urllib.request.urlopen(request, timeout=5) as response:
            response.read()

    def _start_daemon(self, name: str, document: dict[str, Any]) -> ProcessHandle:
        path = self._directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(document))
        command = [sys.executable, "-m", "cactusgauge.console.daemon", "--settings", str(path)]
        return self._start(name, command, f"http://{HOST}:{document['http_port']}")

    def _start(self, name: str, command: list[str], http_url: str) -> ProcessHandle:
        log = (self._directory / f"{name}.log").open("ab")
        with log:
            process = subprocess.Popen(command, stdout=log, stderr=log, env={**os.environ, "PYTHONHASHSEED": "0"})
        handle = ProcessHandle(name, process, http_url, command)
        self._handles[name] = handle
        return handle
