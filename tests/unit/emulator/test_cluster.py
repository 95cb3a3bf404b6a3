import pathlib

from emulator import cluster


def test_journal_is_read_while_its_last_line_is_written(tmp_path: pathlib.Path) -> None:
    """Guards against a check that ends with an error, as it reads the part of a line that is already there."""
    (tmp_path / "server.journal").write_text('{"event":"start","task":"t"}\n{')
    assert cluster.Cluster(tmp_path).journal("server") == [{"event": "start", "task": "t"}]
