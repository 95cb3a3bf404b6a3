"""Decodes the operators' configuration."""

from typing import Any

import pydantic

from cactusgauge import exceptions, fleet, ids, scheduling
from cactusgauge.platform import json_document


class _Route(pydantic.BaseModel):
    name: json_document.Name
    host: json_document.Text
    path_prefix: json_document.Text
    service: json_document.Name
    priority: json_document.Integer = 0
    attempts: json_document.Count = 1
    slack_factor: json_document.Factor = 1.0
    target_latency_ms: json_document.DurationMs = 0.0
    advisor: Any = None


class _Limits(pydantic.BaseModel):
    max_body_bytes: json_document.Count = 262_144


class _Document(pydantic.BaseModel):
    version: json_document.Count
    routes: list[_Route] = []
    services: Any = None
    limits: _Limits = _Limits()


def decode(body: bytes) -> tuple[int, fleet.RouteTable]:
    """Return the version and routes of a document; raise `ConfigError` if it is invalid."""
    try:
        document = json_document.read(_Document, body)
    except json_document.UnreadableError as error:
        raise exceptions.ConfigError(str(error)) from error
    routes = [
        fleet.Route(
            route.host,
            route.path_prefix,
            scheduling.QueuePolicy(
                ids.QueueName(route.name),
                ids.ServiceName(route.service),
                route.priority,
                # `attempts` is the number of failed runs of a task after which its job fails.
                route.attempts,
                route.slack_factor,
                route.target_latency_ms / 1000,
                # An advisor restricts which workers may run a step. This is not supported, so jobs of such queues
                # are refused.
                route.advisor is not None,
            ),
        )
        for route in document.routes
    ]
    limits = fleet.HttpLimits(document.limits.max_body_bytes)
    services = [route.policy.service for route in routes] + _service_names(document.services)
    return document.version, fleet.RouteTable(routes, limits, services)


def _service_names(services: Any) -> list[ids.ServiceName]:
    """Return the names in the list of services; nothing else of it is used, so other values are ignored."""
    rows = services if isinstance(services, list) else []
    names = [row.get("name") for row in rows if isinstance(row, dict)]
    return [ids.ServiceName(name) for name in names if isinstance(name, str)]
