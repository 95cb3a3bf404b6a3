"""HTTP resource for an entry's configuration state."""

from typing import TYPE_CHECKING

from cactusgauge import configuration, exceptions
from cactusgauge.entry import caller_request

if TYPE_CHECKING:
    import falcon.asgi


class ConfigurationResource:
    """Serves the configuration state to peers and operators."""

    def __init__(self, config_source: "configuration.ConfigSource") -> None:
        self._config_source = config_source

    def add_to(self, app: "falcon.asgi.App[falcon.asgi.Request, falcon.asgi.Response]") -> None:
        """Add the route to an application."""
        app.add_route(configuration.CONFIGURATION_PATH, self)

    async def on_get(self, request: "falcon.asgi.Request", response: "falcon.asgi.Response") -> None:
        """Answer with the state document, or 503 while there is none."""
        response.content_type = "application/json"
        document = self._config_source.document()
        if document is None:
            refusal = caller_request.error_reply(exceptions.NotReadyError("no configuration received from the log yet"))
            response.status, response.data = refusal.status, refusal.body
            return
        response.data = document.model_dump_json().encode()
