"""The newest configuration that a process knows."""

from typing import TYPE_CHECKING, NamedTuple

from cactusgauge import exceptions

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge.fleet import route_table


class Document(NamedTuple):
    """A configuration in the form in which it is stored."""

    version: int
    body: bytes


class ConfigCache:
    """Keeps the newest document from the store or from peers; an older version never replaces a newer one.

    `decode` returns the version and the routes of a document, and raises `ConfigError` for one that can't be read.
    """

    def __init__(
        self,
        decode: "abc.Callable[[bytes], tuple[int, route_table.RouteTable]]",
        log_event: "abc.Callable[..., None]",
    ) -> None:
        self._decode = decode
        self._log_event = log_event
        self._document: Document | None = None
        self._routes: route_table.RouteTable | None = None
        self._listeners: list[abc.Callable[[], None]] = []

    @property
    def version(self) -> int:
        """Version in force, 0 if there is none."""
        return self._document.version if self._document is not None else 0

    @property
    def document(self) -> Document | None:
        """The document in force."""
        return self._document

    @property
    def routes(self) -> "route_table.RouteTable | None":
        """The routes in force."""
        return self._routes

    def add_listener(self, listener: "abc.Callable[[], None]") -> None:
        """Register a function that is called after each change."""
        self._listeners.append(listener)

    def apply_if_newer(self, body: bytes, source: str) -> None:
        """Apply a document if it is newer than the one in force; `source`, its origin, is logged."""
        try:
            version, routes = self._decode(body)
        except exceptions.ConfigError as error:
            self._log_event("config_unreadable", source=source, error=str(error), in_force=self.version)
            return
        if version <= self.version:
            return
        previous = self.version
        self._document = Document(version, body)
        self._routes = routes
        self._log_event("config_in_force", version=version, previous=previous, source=source, routes=len(routes))
        for listener in self._listeners:
            listener()
