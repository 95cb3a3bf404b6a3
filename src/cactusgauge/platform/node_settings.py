"""Reads the settings file that the platform writes for each process."""

import pathlib
from typing import Annotated

import pydantic

from cactusgauge import exceptions, ids
from cactusgauge.platform import json_document, network_address

SETTINGS_VARIABLE = "CACTUSGAUGE_NODE_FILE"
MAX_GRACE_S = 86_400.0  # one day; no stop of a process takes longer


class _Bounds(pydantic.BaseModel):
    max_hold_ms: json_document.IntervalMs = 1000.0
    stop_ms: json_document.DurationMs = 50.0
    retry_ms: json_document.DurationMs = 1300.0
    grace_s: Annotated[json_document.Factor, pydantic.Field(le=MAX_GRACE_S)] = 6.0
    far_x: json_document.Factor = 1.5


class _Platform(pydantic.BaseModel):
    address: network_address.AddressText


# An empty address means that there is none.
_OptionalAddress = Annotated[network_address.AddressText | None, pydantic.BeforeValidator(lambda text: text or None)]


class _Listen(pydantic.BaseModel):
    front: _OptionalAddress = None
    ready: _OptionalAddress = None
    control: _OptionalAddress = None


class _SettingsFile(pydantic.BaseModel):
    node: json_document.Name
    ip: json_document.Name
    zone: json_document.Name
    listen: _Listen
    port_range: tuple[network_address.Port, network_address.Port]
    seeds: list[network_address.AddressText] = []
    heartbeat_ms: json_document.IntervalMs = 1500.0
    bounds: _Bounds = _Bounds()
    platform: _Platform


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
        return [f"ws://{network_address.Address(seed).host}:{self.link_port}" for seed in self._file.seeds]

    def listen_address(self, purpose: str) -> network_address.Address | None:
        """Return the listen address for `front`, `ready` or `control`, or None if the file has none."""
        text: str | None = getattr(self._file.listen, purpose)
        return network_address.Address(text) if text else None


def load(path: pathlib.Path) -> NodeSettings:
    """Return the settings of a file; raise a `SettingsError` that lists all errors in it."""
    try:
        content = path.read_bytes()
    except OSError as error:
        raise exceptions.SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    return decode(path, content)


def decode(path: pathlib.Path, content: bytes) -> NodeSettings:
    """Return the settings in the content of a file; raise a `SettingsError` that lists all errors in it."""
    try:
        return NodeSettings(json_document.read(_SettingsFile, content))
    except json_document.UnreadableError as error:
        raise exceptions.SettingsError("\n".join(f"{path}: {finding}" for finding in error.findings)) from error
