import random

import pytest

from cactusgauge import timeline

DELAY_S = 0.0005  # one-way message delay between the data centres of a pair


class Recorder:
    """Records events of processes; `clock_errors` is how many seconds each process's clock is ahead."""

    def __init__(self, clock_errors: dict[str, float]) -> None:
        self._clock_errors = clock_errors
        self.events: dict[str, list[timeline.TimelineEvent]] = {name: [] for name in clock_errors}

    def record(self, true_s: float, process: str, kind: str, **fields: object) -> None:
        """Record an event at a true time."""
        events = self.events[process]
        role = "entry" if process.startswith("entry") else "agent"
        key = timeline.EventKey(f"ring-{process}", len(events) + 1)
        local_s = true_s + self._clock_errors[process]
        events.append(timeline.TimelineEvent(key, local_s, process, role, kind, fields))

    def run_task(self, begin_s: float, entry: str, agent: str, task: int, run_s: float = 0.1) -> None:
        """Record the four events of one task."""
        fields = {"job": f"{entry}/1", "task": task, "assign": task + 1}
        self.record(begin_s, entry, "task_sent", **fields, worker=agent)
        self.record(begin_s + DELAY_S, agent, "task_started", **fields)
        self.record(begin_s + DELAY_S + run_s, agent, "task_ended", **fields, state="completed")
        self.record(begin_s + 2 * DELAY_S + run_s, entry, "task_ended", **fields, worker=agent, state="completed")


def merged(recorder: Recorder, seed: int = 1) -> list[timeline.OrderedEvent]:
    names = list(recorder.events)
    random.Random(seed).shuffle(names)
    event_timeline = timeline.Timeline()
    for name in names:
        event_timeline.add(recorder.events[name])
    return event_timeline.pop_ordered()


@pytest.mark.parametrize("seed", range(5))
def test_order_and_times_are_right_though_clocks_differ_by_hours(seed: int) -> None:
    """Guards against showing effects before their causes when the clock of a process is wrong."""
    recorder = Recorder({"entry-1": 0.0, "entry-2": 0.02, "agent-1": 7200.0, "agent-2": -3.5, "agent-3": 0.0})
    for task in range(30):
        entry, agent = f"entry-{1 + task % 2}", f"agent-{1 + task % 3}"
        recorder.run_task(1000 + task * 0.3, entry, agent, task)
    ordered = merged(recorder, seed)
    expected = [
        (task, kind) for task in range(30) for kind in ("task_sent", "task_started", "task_ended", "task_ended")
    ]
    assert [(each.event.fields["task"], each.event.kind) for each in ordered] == expected
    # The delays are symmetric, so the corrected clocks agree; the reference is the median clock, perhaps entry-2's.
    assert all(
        abs(each.time_s - (1000 + 0.3 * (index // 4) + (0, DELAY_S, 0.1 + DELAY_S, 0.1 + 2 * DELAY_S)[index % 4]))
        < 0.021
        for index, each in enumerate(ordered)
    )


def test_message_and_event_order_take_precedence_over_drifting_clocks() -> None:
    """Guards against a wrong order when no constant offset fits all messages."""
    recorder = Recorder({"entry-1": 0.0, "agent-1": 0.0})
    recorder.run_task(0.0, "entry-1", "agent-1", 0)
    recorder._clock_errors["agent-1"] = 5.0
    recorder.run_task(1.0, "entry-1", "agent-1", 1)
    ordered = merged(recorder)
    kinds = ["task_sent", "task_started", "task_ended", "task_ended"]
    for task in (0, 1):
        assert [each.event.kind for each in ordered if each.event.fields["task"] == task] == kinds
    assert [each.time_s for each in ordered] == sorted(each.time_s for each in ordered)


def test_refused_start_is_paired_by_its_assign_number() -> None:
    """Guards against confusing the second assignment of a task with the first."""
    recorder = Recorder({"entry-1": 0.0, "agent-1": 9.0})
    fields = {"job": "entry-1/1", "task": 0}
    recorder.record(1.0, "entry-1", "task_sent", **fields, worker="agent-1", assign=1)
    recorder.record(1.1, "agent-1", "start_refused", **fields, assign=1, reason="no_slot")
    recorder.record(1.2, "entry-1", "task_returned", **fields, worker="agent-1", assign=1, reason="no_slot")
    recorder.record(1.3, "entry-1", "task_sent", **fields, worker="agent-1", assign=2)
    recorder.record(1.4, "agent-1", "task_started", **fields, assign=2)
    kinds = [each.event.kind for each in merged(recorder)]
    assert kinds == ["task_sent", "start_refused", "task_returned", "task_sent", "task_started"]


def test_contradictory_records_are_still_shown() -> None:
    """Guards against an endless loop on cyclic predecessors, for example if two processes have the same name."""
    recorder = Recorder({"entry-1": 0.0, "agent-1": 0.0})
    fields = {"job": "entry-1/1", "task": 0, "assign": 1}
    recorder.record(1.0, "agent-1", "task_ended", **fields)
    recorder.record(1.1, "agent-1", "task_started", **fields)
    recorder.record(1.2, "entry-1", "task_ended", **fields, worker="agent-1")
    recorder.record(1.3, "entry-1", "task_sent", **fields, worker="agent-1")
    assert len(merged(recorder)) == 4


def test_live_view_holds_back_an_effect_until_its_cause_can_have_arrived() -> None:
    """Guards against a live view that shows a start before it has read the process that sent it."""
    recorder = Recorder({"entry-1": 0.0, "agent-1": 0.0})
    recorder.run_task(0.0, "entry-1", "agent-1", 0)
    event_timeline = timeline.Timeline()
    event_timeline.add(recorder.events["agent-1"], read_at=10.0)
    assert event_timeline.pop_ordered(read_until=9.0) == []
    event_timeline.add(recorder.events["entry-1"], read_at=10.5)
    assert event_timeline.pop_ordered(read_until=10.2) == []
    assert [each.event.process for each in event_timeline.pop_ordered(read_until=10.6)] == [
        "entry-1",
        "agent-1",
        "agent-1",
        "entry-1",
    ]


def test_page_escapes_names_and_fields() -> None:
    """Guards against HTML injection through names or fields."""
    recorder = Recorder({"entry-<b>": 0.0})
    recorder.record(1.0, "entry-<b>", "job_accepted", job="<script>alert(1)</script>")
    page = timeline.HtmlPage(merged(recorder)).render()
    assert "<script" not in page
    assert "entry-<b>" not in page
    assert "&lt;script&gt;" in page
    assert "http" not in page
