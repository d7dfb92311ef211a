"""The tables of docs/CAPACITY.md, each made of the runs alone."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from benchmarks.capacity.records import Run

NOT_MEASURED = "not measured"


def table(head: Sequence[str], lines: Sequence[Sequence[str]]) -> str:
    """A table in Markdown."""
    return "\n".join(f"| {' | '.join(line)} |" for line in (head, ["---"] * len(head), *lines))


def number(value: float) -> str:
    """A figure for reading: four significant digits, thousands parted."""
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.4g}"


def runs_table(runs: Mapping[str, Run]) -> str:
    """Which command gave which slope."""
    return table(("slope", "command", "commit", "date (UTC)", "machine", "rows", "not valid"), [
        (f"`{name}`", f"`{run.command}`", run.commit, run.date, run.machine, str(len(run.rows)),
         str(sum(not row.valid for row in run.rows))) for name, run in sorted(runs.items())])


TABLES: dict[str, Callable[[Mapping[str, Run]], str]] = {"runs": runs_table}
