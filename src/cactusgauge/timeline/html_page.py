"""Renders a timeline as a self-contained HTML page."""

import html
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import abc

    from cactusgauge.timeline import timeline_event

# Sizes in pixels.
WIDTH = 1400
LABEL_WIDTH = 140
LANE_HEIGHT = 26
BAR_HEIGHT = 14
MIN_BAR_WIDTH = 1.0

STATE_COLOURS = {"completed": "#3a7d44", "failed": "#c0392b", "unknown": "#d68910", "not_run": "#7f8c8d"}
MARKER_COLOUR = "#2c3e50"
# There are several of these events for every task; the bars show them, so they get no markers.
TASK_KINDS = frozenset({"task_sent", "task_started", "task_ended"})
STYLE = """
body { font: 13px sans-serif; margin: 1em; } svg { border: 1px solid #ccc; }
table { border-collapse: collapse; margin-top: 1em; } td, th { padding: 1px 8px; text-align: left; }
tr:nth-child(even) { background: #f4f4f4; } td { font-family: monospace; white-space: nowrap; }
"""


class HtmlPage:
    """Page with a lane per process, a bar per task run and a marker per other event, and a table of all events."""

    def __init__(self, events: "abc.Sequence[timeline_event.OrderedEvent]") -> None:
        self._events = events
        self._lanes = {name: index for index, name in enumerate(sorted({each.event.process for each in events}))}
        self._start_s = min((each.time_s for each in events), default=0.0)
        end_s = max((each.time_s for each in events), default=0.0)
        self._pixels_per_s = (WIDTH - LABEL_WIDTH) / max(end_s - self._start_s, 1e-6)
        self._duration_s = end_s - self._start_s

    def render(self) -> str:
        """Return the page as HTML."""
        start = self._events[0].time_text if self._events else "no events"
        title = f"{len(self._events)} events of {len(self._lanes)} processes in {self._duration_s:.3f} s from {start}"
        rows = "\n".join(self._render_row(each) for each in self._events)
        return (
            f'<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8"><title>cactusgauge time line</title>'
            f"<style>{STYLE}</style></head><body><h1>Time line</h1><p>{html.escape(title)}</p>\n{self._render_svg()}\n"
            f"<table><tr><th>time (UTC)</th><th>process</th><th>number</th><th>event</th><th>fields</th></tr>\n"
            f"{rows}\n</table></body></html>\n"
        )

    def _render_svg(self) -> str:
        height = LANE_HEIGHT * max(1, len(self._lanes))
        shapes = [self._render_lane_label(name, lane_number) for name, lane_number in self._lanes.items()]
        started: dict[tuple[str, str, int], timeline_event.OrderedEvent] = {}
        for each in self._events:
            event = each.event
            task = (event.process, str(event.fields.get("job")), int(event.fields.get("task", -1)))
            if event.kind == "task_started":
                started[task] = each
            elif event.kind == "task_ended" and task in started:
                shapes.append(self._render_bar(started.pop(task), each))
            elif event.kind not in TASK_KINDS:
                shapes.append(self._render_marker(each))
        return f'<svg width="{WIDTH}" height="{height}">' + "\n".join(shapes) + "</svg>"

    def _render_lane_label(self, name: str, lane_number: int) -> str:
        y = lane_number * LANE_HEIGHT + LANE_HEIGHT / 2
        line = f'<line x1="{LABEL_WIDTH}" x2="{WIDTH}" y1="{y}" y2="{y}" stroke="#eee"/>'
        return f'{line}<text x="4" y="{y + 4}">{html.escape(name)}</text>'

    def _render_bar(self, start: "timeline_event.OrderedEvent", end: "timeline_event.OrderedEvent") -> str:
        x = self._x(start)
        y = self._lanes[start.event.process] * LANE_HEIGHT + (LANE_HEIGHT - BAR_HEIGHT) / 2
        width = max(MIN_BAR_WIDTH, self._x(end) - x)
        colour = STATE_COLOURS.get(str(end.event.fields.get("state")), MARKER_COLOUR)
        tooltip = f"{(end.time_s - start.time_s) * 1000:.1f} ms {end.fields_text}"
        return (
            f'<rect x="{x:.1f}" y="{y}" width="{width:.1f}" height="{BAR_HEIGHT}" fill="{colour}" fill-opacity="0.4">'
            f"<title>{html.escape(tooltip)}</title></rect>"
        )

    def _render_marker(self, each: "timeline_event.OrderedEvent") -> str:
        y = self._lanes[each.event.process] * LANE_HEIGHT
        return (
            f'<rect x="{self._x(each):.1f}" y="{y + 3}" width="2" height="{LANE_HEIGHT - 6}" fill="{MARKER_COLOUR}">'
            f"<title>{html.escape(each.as_text())}</title></rect>"
        )

    def _x(self, each: "timeline_event.OrderedEvent") -> float:
        return LABEL_WIDTH + (each.time_s - self._start_s) * self._pixels_per_s

    @staticmethod
    def _render_row(each: "timeline_event.OrderedEvent") -> str:
        event = each.event
        cells = (each.time_text, event.process, str(event.key.number), event.kind, each.fields_text)
        return "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in cells) + "</tr>"
