"""Reads the settings file that the platform writes for each process."""

import json
import pathlib

import pydantic

from cactusgauge import exceptions, ids

SETTINGS_VARIABLE = "CACTUSGAUGE_NODE_FILE"


class _Bounds(pydantic.BaseModel):
    max_hold_ms: float = 1000.0
    stop_ms: float = 50.0
    retry_ms: float = 1300.0
    grace_s: float = 6.0
    far_x: float = 1.5


class _Platform(pydantic.BaseModel):
    address: str


class _SettingsFile(pydantic.BaseModel):
    node: str
    ip: str
    zone: str
    listen: dict[str, str]
    port_range: tuple[int, int]
    seeds: list[str] = []
    heartbeat_ms: float = 1500.0
    bounds: _Bounds = _Bounds()
    platform: _Platform


class Address:
    """An IP address and a port."""

    def __init__(self, text: str) -> None:
        self.host, _, port = text.rpartition(":")
        self.port = int(port)


class NodeSettings:
    """Settings of one process, with the platform's names and units converted to ours."""

    def __init__(self, file: _SettingsFile) -> None:
        self._file = file
        self.name = file.node
        self.host = file.ip
        self.data_centre = ids.DataCentreName(file.zone)
        self.heartbeat_s = file.heartbeat_ms / 1000
        self.store_url = f"http://{file.platform.address}"
        # `max_hold_ms` is the maximum lease of the runs of a worker.
        self.max_lease_s = file.bounds.max_hold_ms / 1000
        # Time that a worker takes to stop a run.
        self.stop_s = file.bounds.stop_ms / 1000
        # Time after which a caller that lost its entry sends its job again.
        self.resend_after_s = file.bounds.retry_ms / 1000
        # Time between SIGTERM and SIGKILL.
        self.stop_grace_s = file.bounds.grace_s
        # A task takes this many times as long on a worker outside the rack that holds its data.
        self.distant_data_factor = file.bounds.far_x

    @property
    def link_port(self) -> int:
        """Port for the links between entries and agents, the same on all machines."""
        return self._file.port_range[0]

    @property
    def link_url(self) -> str:
        """URL at which agents reach this process if it is an entry."""
        return f"ws://{self.host}:{self.link_port}"

    @property
    def seed_link_urls(self) -> list[str]:
        """Link URLs of some entries; the ports in the file are for workers, so they are replaced by the link port."""
        return [f"ws://{Address(seed).host}:{self.link_port}" for seed in self._file.seeds]

    def listen_address(self, purpose: str) -> Address | None:
        """Return the listen address for `front`, `ready` or `control`, or None if the file has none."""
        text = self._file.listen.get(purpose)
        return Address(text) if text else None


def load(path: pathlib.Path) -> NodeSettings:
    """Return the settings of a file; raise a `SettingsError` that lists all errors in it."""
    try:
        return NodeSettings(_SettingsFile.model_validate(json.loads(path.read_bytes())))
    except OSError as error:
        raise exceptions.SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except pydantic.ValidationError as error:
        lines = [
            f"{path}: {'.'.join(str(part) for part in each['loc'])}: {each['msg']}"
            for each in error.errors(include_url=False)
        ]
        raise exceptions.SettingsError("\n".join(lines)) from error
    except ValueError as error:
        raise exceptions.SettingsError(f"{path}: is not JSON: {error}") from error
