"""Cost of planners in single parts of a scheduler, in this process and without sockets: the dispatcher, the
reading of a list, and the state that is left of replaced planners."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from time import monotonic

from benchmarks.capacity.decisions import change_cost, zone_cost
from benchmarks.capacity.lists import list_read, replacement_day
from benchmarks.capacity.records import Row

SLOPE = "parts"
SIZES = (200, 575, 1150, 2300, 4600, 9200)  # planners
REPLACED = (433, 866, 1732, 3464)  # planners a day, of 4,600: one to eight times the required number
PLANNERS = 4600


def _decisions(planners: int) -> dict[str, float]:
    return change_cost(planners) | {
        "zone_at_once_us": zone_cost(planners, True)["zone_us"],
        "zone_one_by_one_us": zone_cost(planners, False)["zone_us"],
    }


def measure(sizes: Sequence[int], limit_s: float) -> list[Row]:
    """One row for each size of the dispatcher and of each list format, and one for each number of replaced
    planners; those beyond the time limit are left out."""
    cases: list[tuple[int, str, Callable[[], dict[str, float]]]] = []
    for size in sizes:
        cases.append((size, "decisions", partial(_decisions, size)))
        cases += [
            (size, f"list {'indented' if indented else 'compact'}", partial(list_read, size, indented))
            for indented in (False, True)
        ]
    cases += [(count, "replaced", partial(replacement_day, PLANNERS, count)) for count in REPLACED]
    until, rows = monotonic() + limit_s, []
    for size, case, call in cases:
        if monotonic() < until:
            figures = {
                name: float(value)
                for name, value in call().items()
                if name not in ("planners", "replaced", "indented")
            }
            rows.append(Row(SLOPE, size, case, figures, virtual=True))
    return rows
