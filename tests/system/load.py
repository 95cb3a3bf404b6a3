"""Closed-loop load: callers that submit one job after the other until they are stopped."""

import concurrent.futures
import threading
from typing import TYPE_CHECKING, NamedTuple, Self

from tests.system import caller, checks

if TYPE_CHECKING:
    from emulator import cluster

NEW_SESSION_CODES = ("draining", "session_closed", "session_expired")
PAUSE_S = 0.02


class Submission(NamedTuple):
    """A submitted job and the last response to it."""

    session: str
    number: int
    tag: str
    response: caller.Response


class Load:
    """Closed-loop callers that spread requests over the ready entries in turn, as a load balancer does.

    A caller that gets no response repeats the request at another entry until it has an answer or a refusal. When a job
    is refused because its session ended or its entry is being stopped, the caller opens a new session.
    """

    def __init__(
        self, processes: "cluster.Cluster", entries: list[str], callers: int = 8, tasks: int = 8, run_ms: float = 50
    ) -> None:
        self._processes = processes
        self.entries = entries
        self._tasks = tasks
        self._run_ms = run_ms
        self._stop = threading.Event()
        self._executor = concurrent.futures.ThreadPoolExecutor(callers)
        self._lock = threading.Lock()
        self.submissions: list[Submission] = []
        self.interrupted: list[tuple[str, caller.Response]] = []
        self._futures = [self._executor.submit(self._call_forever, index) for index in range(callers)]

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self._stop.set()
        self._executor.shutdown()

    def check_callers(self) -> None:
        """Raise the error of a caller that has ended early."""
        for future in self._futures:
            if future.done():
                future.result()

    def finish(self) -> dict[str, int]:
        """Stop the callers, check every answer and count the jobs by final state or error code."""
        self._stop.set()
        for future in self._futures:
            future.result()
        starts = self._processes.starts()
        totals: dict[str, int] = {}
        for session, number, tag, response in self.submissions:
            if response.status == 200:
                checks.check_answer(self._processes, response, session, number, self._tasks, tag, starts)
            elif response.body.get("ran") == "nothing":
                assert not [task for task in starts if task.startswith(f"{session}/{number}/")], response
            key = response.body["state"] if response.status == 200 else response.body["code"]
            totals[key] = totals.get(key, 0) + 1
        checks.check_started_once(self._processes)
        return totals

    def _call_forever(self, index: int) -> None:
        session: str | None = None
        number = 0
        while not self._stop.is_set():
            if session is None:
                session = self._open(index + number)
                continue
            number += 1
            tag = f"{index}.{number}."
            body = caller.fee_body(self._tasks, self._run_ms, tag)
            response = self._submit(index, session, number, body)
            with self._lock:
                self.submissions.append(Submission(session, number, tag, response))
            if response.body.get("code") in NEW_SESSION_CODES:
                session = None

    def _open(self, turn: int) -> str | None:
        response = self._caller(turn)[1].request("POST", "")
        self._stop.wait(0 if response.status == 201 else PAUSE_S)
        return response.body.get("session")

    def _submit(self, index: int, session: str, number: int, body: bytes) -> caller.Response:
        for turn in range(index + number, index + number + 1000):
            name, each = self._caller(turn)
            response = each.submit(session, number, body, wait_s=20)
            if response.status not in (0, 202, 504) and response.body.get("code") not in ("not_ready", "overloaded"):
                return response
            if response.status == 0:
                with self._lock:
                    self.interrupted.append((name, response))
            self._stop.wait(PAUSE_S)
        raise AssertionError(f"no reply to {session}/{number}: {response}")

    def _caller(self, turn: int) -> tuple[str, caller.Caller]:
        ready = [name for name in self.entries if self._processes.get_status(name, "/readyz") == 200]
        name = (ready or self.entries)[turn % len(ready or self.entries)]
        return name, caller.Caller(self._processes[name].http_url)
