"""Text for terminals: tables of aligned columns, and durations."""

from __future__ import annotations

from collections.abc import Sequence

_UNITS = ((86400, "d"), (3600, "h"), (60, "min"))  # seconds of a unit, and its name
_COLUMN_GAP = "  "


def table_lines(rows: Sequence[Sequence[str]]) -> list[str]:
    """One line for each row, with the columns aligned; the first row is the heading."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return [
        _COLUMN_GAP.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]


def duration(seconds: float) -> str:
    """A duration in the largest unit of which it has two."""
    for unit_s, unit in _UNITS:
        if seconds >= 2 * unit_s:
            return f"{seconds / unit_s:.0f} {unit}"
    return f"{seconds:.1f} s"
