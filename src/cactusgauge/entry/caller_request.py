"""A caller's request and the reply to it, independent of HTTP libraries."""

import enum
import json
from typing import Any, NamedTuple

from cactusgauge import exceptions, ids


class Method(enum.Enum):
    """Operation on a job, with its HTTP method."""

    SUBMIT = "PUT"
    GET = "GET"
    CANCEL = "DELETE"


class Hop(enum.Enum):
    """How a request reached this entry, which limits further forwarding and so prevents routing loops.

    `CALLER`: straight from the caller. The others come from another entry: `RELAY` asks this entry to forward the
    request to the owner, `OWNER` takes this entry for the owner or its successor, and `RECOVER` asks it to recover the
    answer from the records of its agents if it cannot reach the owner either.
    """

    CALLER = ""
    RELAY = "relay"
    OWNER = "owner"
    RECOVER = "recover"


class CallerRequest(NamedTuple):
    """A request about one job; `wait_s` is how many seconds the caller waits for the answer."""

    method: Method
    workspace: ids.WorkspaceName
    job_id: ids.JobId
    body: bytes
    wait_s: float
    hop: Hop


class Reply(NamedTuple):
    """An HTTP status with a JSON body."""

    status: int
    body: bytes
    retry_after_s: float | None = None


def json_reply(status: int, document: dict[str, Any]) -> Reply:
    """Return a reply with a JSON document."""
    return Reply(status, json.dumps(document, separators=(",", ":")).encode())


def error_reply(error: exceptions.CactusgaugeError) -> Reply:
    """Return the reply for an error."""
    document = {"code": error.code, "message": str(error), "ran": error.ran.value}
    return json_reply(error.http_status, document)._replace(retry_after_s=error.retry_after_s)
