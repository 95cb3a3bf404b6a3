"""Startup of the daemons."""

import pathlib
import socket

import pytest

from emulator import cluster


@pytest.mark.parametrize("setting", ["http_port", "link_port"])
def test_port_in_use_is_one_actionable_line(processes: cluster.Cluster, tmp_path: pathlib.Path, setting: str) -> None:
    """Guards against a traceback for a configuration mistake, and against library messages in the log."""
    with socket.create_server((cluster.HOST, 0)) as taken:
        port = taken.getsockname()[1]
        processes.start_entry("entry-1", **{setting: port})
        assert processes.wait_exit("entry-1") == 2
    lines = (tmp_path / "entry-1.log").read_text().splitlines()
    assert lines[-1] == f"cannot listen on {cluster.HOST}:{port}; is the port in use?"
    assert len(lines) <= 3
