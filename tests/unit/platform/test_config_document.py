import json

import pytest

from cactusgauge import exceptions, fleet
from cactusgauge.platform import config_document

ROUTE = {
    "name": "r",
    "host": "a.example",
    "path_prefix": "/p/",
    "service": "s",
    "priority": 1,
    "attempts": 3,
    "slack_factor": 1.6,
    "target_latency_ms": 60,
    "kind": "non_idempotent",
}


def _document(**changes: object) -> bytes:
    return json.dumps({"version": 4, "routes": [ROUTE], "services": [], "limits": {}, **changes}).encode()


def test_longest_prefix_of_the_host_is_found() -> None:
    """Guards against a job that is put in the queue of a shorter prefix or of another host."""
    longer = {**ROUTE, "name": "longer", "path_prefix": "/p/q/"}
    version, routes = config_document.decode(_document(routes=[ROUTE, longer]))
    assert version == 4
    found = [routes.find("a.example", path) for path in ("/p/1", "/p/q/1", "/x/1")]
    assert [route.policy.queue if route else None for route in found] == ["r", "longer", None]
    assert routes.find("b.example", "/p/1") is None


def test_policy_of_a_queue() -> None:
    """Guards against fields that are decoded with the wrong unit or meaning."""
    _, routes = config_document.decode(_document())
    route = routes.find("a.example", "/p/1")
    assert route is not None
    assert route.policy.max_failures == 3
    assert route.policy.target_latency_s == 0.06
    assert route.policy.objective_s(1.0) == pytest.approx(1.66)


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b"\xff", b'{"version":"x"}', b'{"version":1,"routes":[{}]}'])
def test_unreadable_document_is_an_error(body: bytes) -> None:
    """Guards against an invalid document that is decoded as an empty configuration."""
    with pytest.raises(exceptions.ConfigError):
        config_document.decode(body)


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 100_000,
        b'{"version":5,"services":' + b"[" * 100_000,
        b'{"version":' + b"1" * 5000 + b"}",
        b'{"version":1e999}',
        _document(version=10**400),
        _document(version=-1),
        _document(version=True),
        _document(version="5"),
        *(
            _document(routes=[ROUTE, {**ROUTE, **changes}])
            for changes in (
                {"priority": 10**400},
                {"attempts": 10**400},
                {"attempts": -1},
                {"slack_factor": float("inf")},
                {"slack_factor": float("nan")},
                {"slack_factor": -1},
                {"target_latency_ms": float("inf")},
                {"target_latency_ms": float("nan")},
                {"target_latency_ms": -1},
                {"name": "\ud800"},
                {"host": "\ud800"},
            )
        ),
        _document(limits={"max_body_bytes": -1}),
        _document(limits={"max_body_bytes": 10**400}),
    ],
)
def test_odd_document_does_not_hide_later_ones(body: bytes) -> None:
    """Guards against an odd document that ends the following, or whose version or numbers block later ones."""
    events: list[str] = []
    cache = fleet.ConfigCache(config_document.decode, lambda event, **fields: events.append(event))
    cache.apply_if_newer(_document(), "store")
    cache.apply_if_newer(body, "store")
    assert cache.version == 4
    cache.apply_if_newer(_document(version=6), "store")
    assert cache.version == 6
    assert events == ["config_in_force", "config_unreadable", "config_in_force"]


def test_odd_values_of_unused_fields_are_ignored() -> None:
    """Guards against refusing a configuration for a field that this program does not use."""
    version, routes = config_document.decode(_document(services=[float("inf"), 10**400], routes=[{**ROUTE, "x": -1}]))
    assert (version, len(routes)) == (4, 1)


def test_services_are_those_of_the_list_and_of_the_routes() -> None:
    """Guards against a worker that is refused although the configuration names its service."""
    services = [{"name": "idle", "standby": True}, {"name": 7}, {}, "text"]
    _, routes = config_document.decode(_document(services=services))
    assert routes.services == {ROUTE["service"], "idle"}
    assert config_document.decode(_document(services=None))[1].services == {ROUTE["service"]}
