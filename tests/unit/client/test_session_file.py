import pathlib

import pytest

from cactusgauge import client, exceptions, ids


def test_number_is_on_disk_before_it_is_used(tmp_path: pathlib.Path) -> None:
    """Guards against reusing a job number after a command was killed."""
    path = tmp_path / "session.json"
    assert client.SessionFile(path, "cheese").reserve_number() is None
    client.SessionFile(path, "cheese").replace(ids.SessionId("s1"))
    numbers = [client.SessionFile(path, "cheese").reserve_number() for _ in range(2)]
    assert [each.last_number for each in numbers if each] == [2, 3]
    record = client.SessionFile(path, "cheese").read()
    assert record is not None
    assert record.last_number == 3


def test_lost_session_gives_out_no_more_numbers(tmp_path: pathlib.Path) -> None:
    """Guards against sending later jobs to a session that accepts none because its owner was lost."""
    session_file = client.SessionFile(tmp_path / "session.json", "cheese")
    session_file.replace(ids.SessionId("s1"))
    session_file.mark_lost(ids.SessionId("s0"))
    assert session_file.reserve_number() is not None
    session_file.mark_lost(ids.SessionId("s1"))
    assert session_file.reserve_number() is None
    record = session_file.read()
    assert record is not None
    assert (record.session, record.last_number) == ("s1", 2)
    session_file.replace(ids.SessionId("s2"))
    assert session_file.reserve_number() is not None


@pytest.mark.parametrize("content", ["{", '{"workspace": "crier", "session": "s", "last_number": 1}'])
def test_foreign_file_is_refused_and_kept(tmp_path: pathlib.Path, content: str) -> None:
    """Guards against overwriting an unrelated file, or using the session of another workspace."""
    path = tmp_path / "session.json"
    path.write_text(content)
    with pytest.raises(exceptions.SettingsError):
        client.SessionFile(path, "cheese").reserve_number()
    assert path.read_text() == content
