import socket
import subprocess
import sys

from emulator import cluster

EXIT_TIMEOUT_S = 30.0


def test_server_without_its_port_ends() -> None:
    """Guards against a server that announces a port of another process: it gets no tasks and nothing tells why."""
    with socket.socket() as taken:
        taken.bind((cluster.HOST, 0))
        taken.listen()
        port = taken.getsockname()[1]
        command = [sys.executable, "-m", "emulator.backend_server", "--name", "server-0"]
        options = ["--port", str(port), "--agent-url", f"http://{cluster.HOST}:{port}"]
        ended = subprocess.run([*command, *options], capture_output=True, timeout=EXIT_TIMEOUT_S, check=False)
    assert ended.returncode == 1
    assert f"cannot listen on {cluster.HOST}:{port}" in ended.stderr.decode()
