"""Plots the ratio of response time to ideal time over the arrival time."""

import csv
import io
import math
from typing import TYPE_CHECKING
from xml.sax import saxutils

from cactusgauge.load import job_record

if TYPE_CHECKING:
    from collections import abc

WIDTH, HEIGHT, MARGIN = 800, 400, 50  # pixels
RESULT_COLOURS = {
    job_record.JobResult.COMPLETE: "#2a6f97",
    job_record.JobResult.FAILED: "#c1121f",
    job_record.JobResult.CANCELLED: "#999999",
    job_record.JobResult.REFUSED: "#f4a261",
    job_record.JobResult.UNKNOWN: "#000000",
}


def plot_csv(records: "abc.Sequence[job_record.JobRecord]") -> str:
    """Return CSV text with a header and one row for each job; times are in seconds."""
    text = io.StringIO()
    writer = csv.writer(text, lineterminator="\n")
    writer.writerow(["at_s", "tasks", "ideal_s", "response_s", "ratio", "result", "detail"])
    for record in records:
        times = [f"{value:.4f}" for value in (record.ideal_s, record.response_s, record.ratio)]
        writer.writerow([f"{record.at_s:.3f}", record.task_count, *times, record.result.value, record.detail])
    return text.getvalue()


def plot_svg(title: str, records: "abc.Sequence[job_record.JobRecord]") -> str:
    """Return a self-contained SVG: arrival time on the x axis, ratio on a logarithmic y axis."""
    end_s = max((record.at_s for record in records), default=0.0) or 1.0
    decades = max(1, math.ceil(math.log10(max([record.ratio for record in records if record.ratio > 0] or [1.0]))))
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" font-family="sans-serif">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        f'<text x="{MARGIN}" y="20">{saxutils.escape(title)}: response / ideal by time of arrival (s)</text>',
    ]
    for decade in range(decades + 1):
        y = _y_position(10.0**decade, decades)
        parts.append(f'<line x1="{MARGIN}" x2="{WIDTH - MARGIN}" y1="{y:.1f}" y2="{y:.1f}" stroke="#ddd"/>')
        parts.append(f'<text x="5" y="{y:.1f}" font-size="12">{10**decade}</text>')
    for tick in range(0, 11, 2):
        x = MARGIN + (WIDTH - 2 * MARGIN) * tick / 10
        parts.append(f'<text x="{x:.0f}" y="{HEIGHT - 20}" font-size="12">{end_s * tick / 10:.0f}</text>')
    for record in records:
        x = MARGIN + (WIDTH - 2 * MARGIN) * record.at_s / end_s
        y = _y_position(record.ratio, decades)
        parts.append(f'<circle cx="{x:.1f}" cy="{y:.1f}" r="2" fill="{RESULT_COLOURS[record.result]}"/>')
    parts.append("</svg>")
    return "\n".join(parts)


def _y_position(ratio: float, decades: int) -> float:
    share = math.log10(max(ratio, 1.0)) / decades
    return HEIGHT - MARGIN - (HEIGHT - 2 * MARGIN) * share
