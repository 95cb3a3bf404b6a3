"""Plain HTTP requests with JSON replies, for scripts that measure or show real processes."""

import json
import urllib.request
from typing import Any

TIMEOUT_S = 65.0


def call(method: str, url: str, body: bytes | None = None) -> dict[str, Any]:
    """Send one request and return the JSON object of the reply; raise `HTTPError` for a refusal."""
    request = urllib.request.Request(url, method=method, data=body)
    with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
        document: dict[str, Any] = json.load(response)
        return document
