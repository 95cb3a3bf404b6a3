import math

import pytest

from cactusgauge import timeline
from cactusgauge.timeline import event_filter

EVENTS = [
    ("entry-1", "job_accepted", {"job": "s1/1", "workspace": "cheese"}),
    ("entry-1", "job_accepted", {"job": "s2/1", "workspace": "crier"}),
    ("entry-1", "task_sent", {"job": "s1/1", "worker": "agent-1"}),
    ("agent-1", "task_started", {"job": "s1/1"}),
    ("agent-2", "serving_changed", {}),
    ("entry-1", "agent_linked", {"agent": "agent-2"}),
    ("entry-1", "entry_started", {}),
]


@pytest.mark.parametrize(
    ("criteria", "expected"),
    [
        (event_filter.Criteria(), [0, 1, 2, 3, 4, 5, 6]),
        (event_filter.Criteria(job="s1/1"), [0, 2, 3]),
        (event_filter.Criteria(job="s2"), [1]),
        (event_filter.Criteria(worker="agent-1"), [2, 3]),
        (event_filter.Criteria(worker="agent-2"), [4, 5]),
        (event_filter.Criteria(workspace="cheese"), [0, 2, 3]),
        (event_filter.Criteria(workspace="crier"), [1, 4, 5]),
        (event_filter.Criteria(since_s=2, until_s=4), [2, 3, 4]),
        (event_filter.Criteria(job="s1/1", since_s=-math.inf, until_s=2), [0, 2]),
    ],
)
def test_filter_selects_matching_events(criteria: event_filter.Criteria, expected: list[int]) -> None:
    """Guards against showing events of another workspace or job, and against omitting matching events."""
    selector = timeline.EventFilter(criteria, {"agent-1": "cheese", "agent-2": "crier"})
    ordered = [
        timeline.OrderedEvent(
            timeline.TimelineEvent(timeline.EventKey("r", number), number, process, "entry", kind, fields), number
        )
        for number, (process, kind, fields) in enumerate(EVENTS)
    ]
    assert [each.event.key.number for each in ordered if selector.matches(each)] == expected
