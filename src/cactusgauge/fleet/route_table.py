"""Finds the queue of a request."""

from typing import TYPE_CHECKING, NamedTuple

from cactusgauge import scheduling

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge import ids


class Route(NamedTuple):
    """Maps a host and a path prefix to a queue."""

    host: str
    path_prefix: str
    policy: scheduling.QueuePolicy


class HttpLimits(NamedTuple):
    """Limits for callers' requests."""

    max_body_bytes: int = 262_144


class RouteTable:
    """Routes by host; the longest matching prefix wins. `services` are the services that the configuration names."""

    def __init__(
        self, routes: "abc.Iterable[Route]", limits: HttpLimits, services: "abc.Iterable[ids.ServiceName]" = ()
    ) -> None:
        self.limits = limits
        self.services = frozenset(services)
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host, {})[route.path_prefix] = route
        self._prefix_lengths = {
            host: sorted({len(prefix) for prefix in prefixes}, reverse=True) for host, prefixes in self._hosts.items()
        }

    def __len__(self) -> int:
        return sum(len(prefixes) for prefixes in self._hosts.values())

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, if there is one."""
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        for length in self._prefix_lengths[host]:
            route = prefixes.get(path[:length])
            if route is not None:
                return route
        return None
