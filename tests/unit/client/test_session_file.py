import pathlib

import pytest

from cactusgauge import client, exceptions, ids


def test_number_is_on_disk_before_it_is_used(tmp_path: pathlib.Path) -> None:
    """Guards against a number naming two jobs after a command was killed."""
    path = tmp_path / "session.json"
    assert client.SessionFile(path, "cheese").take_number() is None
    client.SessionFile(path, "cheese").replace(ids.SessionId("s1"))
    numbers = [client.SessionFile(path, "cheese").take_number() for _ in range(2)]
    assert [each.last_number for each in numbers if each] == [2, 3]
    record = client.SessionFile(path, "cheese").read()
    assert record is not None
    assert record.last_number == 3


def test_lost_session_gives_out_no_more_numbers(tmp_path: pathlib.Path) -> None:
    """Guards against every later job of the file being sent to a session that can only be recovered."""
    store = client.SessionFile(tmp_path / "session.json", "cheese")
    store.replace(ids.SessionId("s1"))
    store.mark_lost(ids.SessionId("s0"))
    assert store.take_number() is not None
    store.mark_lost(ids.SessionId("s1"))
    assert store.take_number() is None
    record = store.read()
    assert record is not None
    assert (record.session, record.last_number) == ("s1", 2)
    store.replace(ids.SessionId("s2"))
    assert store.take_number() is not None


@pytest.mark.parametrize("content", ["{", '{"workspace": "crier", "session": "s", "last_number": 1}'])
def test_foreign_file_is_refused_and_kept(tmp_path: pathlib.Path, content: str) -> None:
    """Guards against overwriting a file of something else, or using another workspace's session."""
    path = tmp_path / "session.json"
    path.write_text(content)
    with pytest.raises(exceptions.SettingsError):
        client.SessionFile(path, "cheese").take_number()
    assert path.read_text() == content
