import json
import pathlib
from typing import Any

import pytest

from cactusgauge import exceptions, observability
from cactusgauge.platform import node_settings, settings_watcher

SETTINGS: dict[str, Any] = {
    "node": "agent-1",
    "ip": "10.0.0.1",
    "zone": "z",
    "listen": {"control": "10.0.0.1:80", "other": "anything"},
    "port_range": [7000, 7010],
    "seeds": ["10.0.0.2:80"],
    "platform": {"address": "10.0.0.3:80", "keep_s": 600},
}
ODD_FIELDS: dict[str, dict[str, Any]] = {
    "seed without port": {"seeds": ["10.0.0.2:80", "10.0.0.4"]},
    "seed with port out of range": {"seeds": ["10.0.0.2:99999"]},
    "seed that is no host": {"seeds": ["[:80"]},
    "listen port out of range": {"listen": {"control": "10.0.0.1:99999"}},
    "link port out of range": {"port_range": [99999, 99999]},
    "store without port": {"platform": {"address": "10.0.0.3"}},
    "infinite interval": {"heartbeat_ms": float("inf")},
    "interval that is no number": {"heartbeat_ms": float("nan")},
    "interval of zero": {"heartbeat_ms": 0},
    "huge lease": {"bounds": {"max_hold_ms": 10**400}},
    "negative time": {"bounds": {"stop_ms": -1}},
}
ODD: dict[str, bytes] = {
    "deeply nested": b"[" * 100_000,
    "deeply nested value": b'{"other":' + b"[" * 100_000,
    "not an object": b"[]",
    "number with too many digits": b'{"other":' + b"1" * 5000 + b"}",
    **{name: json.dumps({**SETTINGS, **changes}).encode() for name, changes in ODD_FIELDS.items()},
}


class _Journal(observability.Journal):
    """Records the events."""

    def __init__(self) -> None:
        super().__init__("agent-1", observability.Counters(), descriptor=-1)
        self.events: list[str] = []

    def record_state(self, event: str, **fields: observability.journal.FieldValue) -> None:
        """Record the event."""
        self.events.append(event)


@pytest.mark.parametrize("name", ODD)
def test_odd_file_keeps_the_settings_of_a_running_process(name: str, tmp_path: pathlib.Path) -> None:
    """Guards against a changed settings file that ends or stalls a running process, or fills its log."""
    path = tmp_path / "settings.json"
    path.write_bytes(json.dumps(SETTINGS).encode())
    journal = _Journal()
    watcher = settings_watcher.SettingsWatcher(path, journal)
    path.write_bytes(ODD[name])
    for _ in range(3):
        watcher.reload()
    assert watcher.current.seed_link_urls == ["ws://10.0.0.2:7000"]
    assert journal.events == ["settings_unusable"]
    path.write_bytes(json.dumps({**SETTINGS, "seeds": ["10.0.0.5:80"]}).encode())
    watcher.reload()
    assert watcher.current.seed_link_urls == ["ws://10.0.0.5:7000"]
    assert journal.events == ["settings_unusable", "settings_reloaded"]


def test_missing_file_is_logged_once(tmp_path: pathlib.Path) -> None:
    """Guards against a line in the log for each check of a file that is absent."""
    path = tmp_path / "settings.json"
    path.write_bytes(json.dumps(SETTINGS).encode())
    journal = _Journal()
    watcher = settings_watcher.SettingsWatcher(path, journal)
    path.unlink()
    for _ in range(3):
        watcher.reload()
    assert journal.events == ["settings_unusable"]
    path.write_bytes(json.dumps(SETTINGS).encode())
    watcher.reload()
    assert journal.events == ["settings_unusable"]
    path.unlink()
    watcher.reload()
    assert journal.events == ["settings_unusable"] * 2


@pytest.mark.parametrize("name", ODD)
def test_odd_file_is_an_error_at_start(name: str, tmp_path: pathlib.Path) -> None:
    """Guards against a traceback, or an error later, in place of a line that tells the operator what to correct."""
    path = tmp_path / "settings.json"
    path.write_bytes(ODD[name])
    with pytest.raises(exceptions.SettingsError) as error:
        node_settings.load(path)
    assert all(line.startswith(f"{path}: ") for line in str(error.value).split("\n"))
