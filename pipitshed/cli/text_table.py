"""Formats text for terminals: tables with aligned columns, and durations."""

from __future__ import annotations

from collections.abc import Sequence

_UNITS = ((86400, "d"), (3600, "h"), (60, "min"))  # length of a unit in seconds, and its name
_COLUMN_GAP = "  "


def table_lines(rows: Sequence[Sequence[str]]) -> list[str]:
    """Return one line for each row, with aligned columns; the first row has the headings."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return [
        _COLUMN_GAP.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]


def duration(seconds: float) -> str:
    """Format a duration in the largest unit of which it has at least two, else in seconds."""
    for unit_s, unit in _UNITS:
        if seconds >= 2 * unit_s:
            return f"{seconds / unit_s:.0f} {unit}"
    return f"{seconds:.1f} s"
