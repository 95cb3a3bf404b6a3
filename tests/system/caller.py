"""An HTTP client for entries that never retries a request by itself."""

import http.client
import json
import urllib.error
import urllib.request
from typing import Any, NamedTuple

TIMEOUT_S = 70.0


class Response(NamedTuple):
    """Status and JSON body of a response; status 0 means that none arrived."""

    status: int
    body: dict[str, Any]


class Caller:
    """A client of one workspace that uses one entry."""

    def __init__(self, entry_url: str, workspace: str = "cheese", headers: dict[str, str] | None = None) -> None:
        self._base = f"{entry_url}/v1/workspaces/{workspace}/sessions"
        self._headers = headers or {}

    def open_session(self) -> str:
        """Open a session and return its id."""
        response = self.request("POST", "")
        assert response.status == 201, response
        session: str = response.body["session"]
        return session

    def submit(self, session: str, number: int, body: bytes, wait_s: float = 30) -> Response:
        """Submit a job and wait for its answer."""
        return self.request("PUT", f"/{session}/jobs/{number}?wait={wait_s}", body)

    def get(self, session: str, number: int, wait_s: float = 30) -> Response:
        """Wait for the answer of a job."""
        return self.request("GET", f"/{session}/jobs/{number}?wait={wait_s}")

    def cancel(self, session: str, number: int, wait_s: float = 30) -> Response:
        """Cancel a job and wait for its answer."""
        return self.request("DELETE", f"/{session}/jobs/{number}?wait={wait_s}")

    def request(self, method: str, path: str, body: bytes | None = None) -> Response:
        """Send one request."""
        request = urllib.request.Request(f"{self._base}{path}", method=method, data=body, headers=self._headers)
        try:
            with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
                return Response(response.status, json.load(response))
        except urllib.error.HTTPError as error:
            return Response(error.code, json.load(error))
        except (OSError, http.client.HTTPException, ValueError) as error:
            return Response(0, {"code": "no_reply", "message": str(error)})


def job_body(count: int, run_ms: float = 50, tag: str = "r", **extra: Any) -> bytes:
    """Return the body of a job whose task `i` has the result `<tag><i>`."""
    tasks = [{"payload": json.dumps({"run_ms": run_ms, "result": f"{tag}{index}"})} for index in range(count)]
    return json.dumps({"tasks": tasks, **extra}).encode()


def fee_body(count: int, run_ms: float = 50, tag: str = "fee", **extra: Any) -> bytes:
    """Return the body of a job that charges fees: its tasks are not idempotent, so none may run twice."""
    body = json.loads(job_body(count, run_ms, tag, **extra))
    return json.dumps(
        {**body, "tasks": [{**task, "kind": "fee-charge", "idempotent": False} for task in body["tasks"]]}
    ).encode()


def results(response: Response) -> list[str]:
    """Return the results of all tasks in order."""
    return [task["result"] for task in response.body["tasks"]]
