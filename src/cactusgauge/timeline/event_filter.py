"""Filters the events of a timeline."""

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from cactusgauge.timeline import timeline_event


MAX_SESSIONS = 100_000  # limits the memory of a live view that runs for days; the oldest session is forgotten


class Criteria(NamedTuple):
    """Filter criteria; the defaults match everything.

    `job` is `SESSION/NUMBER`, or a session for all its jobs. `worker` is the name of the worker's agent; it is
    also compared with the name of the process that recorded the event. The times are Unix times after clock
    correction.
    """

    job: str = ""
    worker: str = ""
    workspace: str = ""
    since_s: float = -math.inf
    until_s: float = math.inf


class EventFilter:
    """Selects matching events; must see every event in order, as it learns the workspaces of sessions from them.

    `agent_workspaces` holds the workspaces of agents by name; the caller may add agents later.
    """

    def __init__(self, criteria: Criteria, agent_workspaces: dict[str, str]) -> None:
        self._criteria = criteria
        self._agent_workspaces = agent_workspaces
        self._session_workspaces: dict[str, str] = {}

    def matches(self, ordered: "timeline_event.OrderedEvent") -> bool:
        """Return whether an event matches; also records the workspace of its session."""
        event, criteria = ordered.event, self._criteria
        session_id = self._session_id_of(event)
        if session_id and "workspace" in event.fields:
            self._session_workspaces[session_id] = event.fields["workspace"]
            if len(self._session_workspaces) > MAX_SESSIONS:
                del self._session_workspaces[next(iter(self._session_workspaces))]
        if not criteria.since_s <= ordered.time_s <= criteria.until_s:
            return False
        if criteria.job and criteria.job not in (event.fields.get("job"), session_id):
            return False
        if criteria.worker and criteria.worker not in (
            event.process,
            event.fields.get("worker"),
            event.fields.get("agent"),
        ):
            return False
        return not criteria.workspace or self._workspace_of(event, session_id) == criteria.workspace

    def _workspace_of(self, event: "timeline_event.TimelineEvent", session_id: str) -> str:
        workspace = event.fields.get("workspace") or self._session_workspaces.get(session_id)
        if workspace:
            return str(workspace)
        for name in (event.process, event.fields.get("worker"), event.fields.get("agent")):
            if name in self._agent_workspaces:
                return self._agent_workspaces[name]
        return ""

    @staticmethod
    def _session_id_of(event: "timeline_event.TimelineEvent") -> str:
        job = str(event.fields.get("job", ""))
        return job.partition("/")[0] or str(event.fields.get("session", ""))
