"""Plain HTTP requests with JSON responses, for the demo and the measurement scripts."""

import json
import urllib.request
from typing import Any

TIMEOUT_S = 65.0


def call(method: str, url: str, body: bytes | None = None) -> dict[str, Any]:
    """Send one request and return the JSON object of the response; raise `HTTPError` for an error status."""
    request = urllib.request.Request(url, method=method, data=body)
    with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
        document: dict[str, Any] = json.load(response)
        return document
