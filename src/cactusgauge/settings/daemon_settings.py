"""Settings models of the two daemon roles, entry and agent."""

import ipaddress
from typing import Annotated, Literal

import pydantic

from cactusgauge import ids

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
MAX_PORT = 65535


def _check_ip_address(text: str) -> str:
    ipaddress.ip_address(text)
    return text


def _check_http_url(url: str) -> str:
    if not url.startswith("http://"):
        raise ValueError("a URL of the form http://IP:PORT is expected")
    return url


def _check_link_url(url: str) -> str:
    if not url.startswith("ws://"):
        raise ValueError("a URL of the form ws://IP:PORT is expected")
    return url


IpAddress = Annotated[str, pydantic.AfterValidator(_check_ip_address)]
HttpUrl = Annotated[str, pydantic.AfterValidator(_check_http_url)]
LinkUrl = Annotated[str, pydantic.AfterValidator(_check_link_url)]
Port = Annotated[int, pydantic.Field(ge=1, le=MAX_PORT)]


class DaemonSettings(pydantic.BaseModel):
    """Settings common to both roles; unknown keys are errors.

    `host` is the IP address to listen on. `seeds` are link URLs of some entries, from which the others are learned.
    `drain_notice_s` is the time between reporting not ready and the end of the drain, for the load balancer; agents
    ignore it. `accounting_interval_s` is the time between accounting records.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    name: str = pydantic.Field(pattern=NAME_PATTERN)
    data_centre: ids.DataCentreName
    host: IpAddress
    http_port: Port
    seeds: list[LinkUrl] = []
    drain_notice_s: float = pydantic.Field(default=1.0, ge=0)
    accounting_interval_s: float = pydantic.Field(default=10.0, ge=0.1)

    @property
    def http_url(self) -> str:
        """URL at which other processes reach the HTTP interface of this process."""
        return f"http://{self.host}:{self.http_port}"


class EntrySettings(DaemonSettings):
    """Settings of an entry; `size` is its weight in the rendezvous hashing that ranks the entries for a workspace.

    The advertised URLs are needed only if other processes reach the entry at an address other than the one that it
    binds to.
    """

    role: Literal["entry"]
    link_port: Port
    workspaces: list[ids.WorkspaceName] = pydantic.Field(min_length=1)
    size: float = pydantic.Field(default=1.0, gt=0)
    log_url: HttpUrl
    advertised_http_url: HttpUrl | None = None
    advertised_link_url: LinkUrl | None = None

    @property
    def http_url(self) -> str:
        """URL at which other processes reach the HTTP interface of this process."""
        return self.advertised_http_url or super().http_url

    @property
    def link_url(self) -> str:
        """URL at which agents and other entries open links to this entry."""
        return self.advertised_link_url or f"ws://{self.host}:{self.link_port}"


class AgentSettings(DaemonSettings):
    """Settings of an agent; `slots` and `connections` are hard limits on the use of its backend server.

    They count the tasks that run there at once and the open connections to it. The agent links to the
    `links_per_agent` entries that rank first for its workspace, once it knows any entry. Without `log_url` it writes no
    accounting records, and the audit reports them as missing.
    """

    role: Literal["agent"]
    workspace: ids.WorkspaceName
    slots: int = pydantic.Field(default=8, ge=1)
    connections: int = pydantic.Field(default=64, ge=1)
    links_per_agent: int = pydantic.Field(default=3, ge=1)
    log_url: HttpUrl | None = None
