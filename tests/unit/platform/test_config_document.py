import json

import pytest

from cactusgauge import exceptions
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
