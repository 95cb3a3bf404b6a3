"""HTTP resource with which the backend server registers at its agent."""

import asyncio
from typing import TYPE_CHECKING

import pydantic

from cactusgauge import ids

if TYPE_CHECKING:
    import falcon.asgi

    from cactusgauge.agent import backend_server_lease, start_controller

BACKEND_SERVER_PATH = "/v1/backend-server"
MILLISECONDS_PER_SECOND = 1000


class Announcement(pydantic.BaseModel):
    """Body of an announcement; `lease` and `granted_s` are copied from the agent's last reply.

    `granted_s` is the time of that reply in seconds of the agent's event loop clock; `ttl_ms` is the requested time to
    live of the lease.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    name: str = pydantic.Field(min_length=1, max_length=100)
    url: str = pydantic.Field(pattern=r"^http://[0-9.:\[\]a-fA-F]+(/.*)?$")
    ttl_ms: int = pydantic.Field(default=3000, ge=1)
    lease: ids.LeaseId | None = None
    granted_s: float | None = None


class BackendServerResource:
    """Grants, renews and ends the lease of the backend server."""

    def __init__(
        self,
        lease: "backend_server_lease.BackendServerLease",
        controller: "start_controller.StartController",
    ) -> None:
        self._lease = lease
        self._controller = controller

    def add_to(self, app: "falcon.asgi.App[falcon.asgi.Request, falcon.asgi.Response]") -> None:
        """Add the route to an application."""
        app.add_route(BACKEND_SERVER_PATH, self)

    async def on_put(self, request: "falcon.asgi.Request", response: "falcon.asgi.Response") -> None:
        """Grant or renew the lease."""
        try:
            announcement = Announcement.model_validate_json(await request.stream.read())
        except pydantic.ValidationError as error:
            response.status = 400
            response.media = {"code": "bad_request", "message": str(error).replace("\n", "; "), "ran": "nothing"}
            return
        granted = self._lease.grant_or_renew(
            announcement.name,
            announcement.url,
            announcement.lease,
            announcement.granted_s,
            announcement.ttl_ms / MILLISECONDS_PER_SECOND,
        )
        if granted is None:
            message = f"lease {announcement.lease} was ended; announce the server without a lease"
            response.status = 409
            response.media = {"code": "lease_ended", "message": message, "ran": "nothing"}
            return
        self._controller.refresh()
        response.media = {"lease": granted.id, "granted_s": asyncio.get_running_loop().time()}

    async def on_delete(self, request: "falcon.asgi.Request", response: "falcon.asgi.Response") -> None:
        """End the lease given by `?lease=ID`; the server gets no new tasks after that."""
        released = self._lease.release(ids.LeaseId(request.get_param("lease", default="")))
        self._controller.refresh()
        response.status = 200 if released else 404
        response.media = {"left": released}
