"""Reads the configuration state of the other entries over HTTP."""

from typing import TYPE_CHECKING

import aiohttp
import pydantic

from cactusgauge import configuration

if TYPE_CHECKING:
    from cactusgauge.entry import membership

FETCH_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 1.0


class PeerConfiguration(configuration.PeerStates):
    """Takes versions from the peers' heartbeats and fetches their states on request."""

    def __init__(self, members: "membership.Membership", session: aiohttp.ClientSession) -> None:
        self._members = members
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)

    def versions(self) -> dict[str, int]:
        """Return the version that each live peer last reported, by HTTP URL."""
        return {info.http_url: self._members.config_version(info.name) for info in self._members.alive_peers}

    async def fetch(self, url: str) -> configuration.StateDocument | None:
        """Return a peer's state, or None if the peer did not provide it."""
        try:
            async with self._session.get(
                f"{url}{configuration.CONFIGURATION_PATH}", timeout=self._timeout, allow_redirects=False
            ) as response:
                if response.status != 200:
                    return None
                return configuration.StateDocument.model_validate_json(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, pydantic.ValidationError):
            return None
