"""Plain text tables."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import abc

COLUMN_GAP = "  "


def format_table(headers: "abc.Sequence[str]", rows: "abc.Sequence[abc.Sequence[object]]") -> str:
    """Return a table with aligned columns, one line per row."""
    lines = [[str(cell) for cell in row] for row in (headers, *rows)]
    widths = [max(len(cell) for cell in column) for column in zip(*lines, strict=True)]
    padded = [COLUMN_GAP.join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)) for line in lines]
    return "\n".join(line.rstrip() for line in padded)
