"""The tables of docs/CAPACITY.md, rendered from the stored runs and `requirements`."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from benchmarks.capacity import requirements
from benchmarks.capacity.figures import BASES, NOT_MEASURED, FigureValue, Line, Runs, number, table, text
from benchmarks.capacity.fits import MIN_SIZES
from benchmarks.capacity.records import Row

LISTED = (
    "taken",
    "list_bytes",
    "first_job_ms",
    "memory_mb",
    "job_us",
    "change_us",
    "zone_one_read_ms",
    "zone_single_ms",
)
COLUMNS = {  # table: (run, unit of its sizes, figures)
    "rows-planners": ("planners", "planners", LISTED),
    "rows-before": ("planners-before", "planners", LISTED),
    "rows-decisions": (
        "parts",
        "planners, or replaced in a day",
        (
            "change_and_job_us",
            "zone_at_once_us",
            "zone_one_by_one_us",
            "first_cpu_ms",
            "first_turn_ms",
            "peak_bytes",
            "decisions",
            "route_table",
        ),
    ),
    "rows-teams": (
        "teams",
        "teams",
        (
            "over_p50_share",
            "over_p99_share",
            "over_worst_share",
            "under_p50_share",
            "under_p99_share",
            "under_worst_share",
        ),
    ),
    "rows-schedulers": (
        "schedulers",
        "schedulers",
        (
            "out_bytes_per_s",
            "heaviest_out_bytes_per_s",
            "worst_second_out_bytes",
            "messages_per_s",
            "cpu_share",
            "memory_mb",
            "settled_ms",
            "in_force_p50_ms",
            "in_force_worst_ms",
            "current_ms",
        ),
    ),
    "rows-schedulers-before": (
        "schedulers-before",
        "schedulers",
        ("out_bytes_per_s", "worst_second_out_bytes", "messages_per_s", "cpu_share", "settled_ms"),
    ),
    "rows-regions": (
        "regions",
        "schedulers",
        (
            "out_bytes_per_s",
            "worst_second_out_bytes",
            "cpu_share",
            "settled_ms",
            "differed_bytes",
            "out_bytes",
            "rows_older",
        ),
    ),
    "rows-hollow": (
        "hollow",
        "schedulers",
        ("out_bytes_per_s", "heaviest_out_bytes_per_s", "cpu_share", "memory_mb", "settled_ms", "last_ms"),
    ),
    "rows-held": ("held", "held", ("memory_added_mb", "cpu_share", "descriptors", "timers_each")),
    "rows-starts": (
        "starts",
        "starts a second",
        ("cpu_share", "start_us", "waited_share", "p50_ms", "p99_ms", "worst_ms", "not_served"),
    ),
    "rows-urgent": (
        "urgent",
        "planners",
        ("urgent", "busy_share", "p50_ms", "p99_ms", "worst_ms", "late_share", "refusals_each"),
    ),
    "rows-gangs": (
        "gangs",
        "members",
        ("started_share", "whole_share", "known_ms", "held_slot_s", "lost_slot_s"),
    ),
    "rows-reload": ("reload", "teams", ("cpu_ms", "worst_cpu_ms", "in_force_ms", "file_bytes")),
}


def runs_table(runs: Runs) -> str:
    """The command, commit, date and machine of each run."""
    return table(
        ("slope", "command", "commit", "date (UTC)", "machine", "rows", "not valid"),
        [
            (
                f"`{name}`",
                f"`{run.command}`",
                run.commit,
                run.date,
                run.machine,
                str(len(run.rows)),
                str(sum(not row.valid for row in run.rows)),
            )
            for name, run in sorted(runs.items())
        ],
    )


def _run(runs: Runs, source: str) -> str:
    """The runs behind a figure, by slope, commit and date."""
    sources = [
        f"`{slope}` {runs[slope].commit}, {runs[slope].date}" if slope in runs else f"`{slope}`: none"
        for slope in source.split(", ")
        if slope
    ]
    return "; ".join(sources) or "the letter"


def slopes_table(runs: Runs) -> str:
    """Each fitted line, its errors, and the largest size that ran."""
    lines = []
    for line in requirements.SLOPES:
        points, fit = line.points(runs), line.fit(runs)
        name = (f"`{line.slope}`", line.case, f"`{line.figure}`")
        if fit is None:
            why = f"{len({size for size, _ in points})} sizes of {MIN_SIZES}" if points else NOT_MEASURED
            lines.append((*name, why, "", "", ""))
            continue
        lines.append((*name, f"{fit.formula()}", number(fit.rms), f"{fit.worst:.0%}", f"{fit.largest:,}"))
    return table(
        (
            "slope",
            "case",
            "figure",
            "line (n: the size)",
            "RMS of the residual",
            "worst error",
            "largest size that ran",
        ),
        lines,
    )


def _validity(row: Row) -> str:
    tries = row.figures.get("tries", 1.0)
    return ("yes" if row.valid else f"no: {row.why_not}") + (f" (try {tries:.0f})" if tries > 1 else "")


def rows_table(slope: str, size: str, columns: Sequence[str]) -> Callable[[Runs], str]:
    """A function that renders the measured rows of a run."""

    def render(runs: Runs) -> str:
        if slope not in runs:
            return NOT_MEASURED
        return table(
            (size, "case", *(f"`{column}`" for column in columns), "counts"),
            [
                (
                    f"{row.size:,}",
                    row.case,
                    *(number(row.figures[column]) if column in row.figures else "" for column in columns),
                    _validity(row),
                )
                for row in runs[slope].rows
            ],
        )

    return render


def _ratio(target: requirements.Target, known: FigureValue | None) -> str:
    if known is None or target.budget is None:
        return ""
    met = known.value >= target.budget if target.at_least else known.value <= target.budget
    if met and known.basis not in BASES:
        return ""  # a smaller size can show that the budget is missed, but not that it is met
    share = number(known.value / target.budget) if target.budget else ""
    return share if met else f"{share} **missed**".strip()


def targets_table(runs: Runs) -> str:
    """Each target: figure, budget, ratio, mechanism and run."""
    lines = []
    for target in requirements.TARGETS:
        known = target.figure(runs)
        budget = (
            "none given"
            if target.budget is None
            else (
                f"at {'least' if target.at_least else 'most'} {text(FigureValue(target.budget), target.unit)}"
            )
        )
        lines.append(
            (
                target.need,
                target.what,
                text(known, target.unit),
                budget,
                _ratio(target, known),
                target.mechanism,
                _run(runs, target.source) if target.source else "",
            )
        )
    return table(("need", "figure of", "figure", "budget", "ratio", "carried by", "run"), lines)


def role_table(lines: Sequence[requirements.RoleLine]) -> Callable[[Runs], str]:
    """A function that renders the load and cost of a role."""
    return lambda runs: table(
        ("what", "formula", "usual", "worst", "budget", "run"),
        [
            (
                line.what,
                line.formula,
                text(line.usual(runs), line.unit),
                text(line.worst(runs), line.unit),
                line.budget,
                _run(runs, line.source),
            )
            for line in lines
        ],
    )


def failures_table(runs: Runs) -> str:
    """Each failure: its cost, the time until it is settled, and the tests that cover it."""
    return table(
        ("failure", "how often", "what it costs", "figure", "until all is settled", "test"),
        [
            (
                failure.what,
                failure.frequency,
                failure.cost,
                text(failure.figure(runs), failure.unit),
                text(failure.settled(runs), "ms"),
                ", ".join(f"`{test}`" for test in failure.tests) or "`missing`",
            )
            for failure in requirements.FAILURES
        ],
    )


def assumed_table(runs: Runs) -> str:
    """The figures that depend on the assumed number of schedulers."""

    def line(what: str, unit: str, figure: Callable[[int], str]) -> tuple[str, ...]:
        return (
            f"{what}{', ' + unit if unit else ''}",
            *(figure(count) for count in requirements.ASSUMED_SCHEDULERS),
        )

    def at_size(slope: Line, size: Callable[[int], float]) -> Callable[[int], str]:
        return lambda count: text(slope.at(size(count))(runs))

    heaviest = requirements.HEAVIEST_FACTOR
    return table(
        ("what", *(f"{count} schedulers" for count in requirements.ASSUMED_SCHEDULERS)),
        [
            line(
                "starts a second, mean and heaviest",
                "",
                lambda count: (
                    f"{number(requirements.STARTS_PER_S / count)}, "
                    f"{number(heaviest * requirements.STARTS_PER_S / count)}"
                ),
            ),
            line(
                "tasks held, mean and heaviest",
                "",
                lambda count: (
                    f"{number(requirements.RUNNING_TASKS / count)}, "
                    f"{number(heaviest * requirements.RUNNING_TASKS / count)}"
                ),
            ),
            line(
                "descriptors of the heaviest",
                "",
                at_size(requirements.HELD_DESCRIPTORS, lambda n: heaviest * requirements.RUNNING_TASKS / n),
            ),
            line(
                "memory that the heaviest's tasks add",
                "MB",
                at_size(requirements.HELD_MEMORY, lambda n: heaviest * requirements.RUNNING_TASKS / n),
            ),
            line(
                "CPU of the heaviest's starts",
                "of a core",
                at_size(requirements.STARTS_CPU, lambda n: heaviest * requirements.STARTS_PER_S / n),
            ),
            line("view and settings at rest", "bytes/s a scheduler", at_size(requirements.VIEW_BYTES, float)),
            line("CPU of them at rest", "of a core", at_size(requirements.VIEW_CPU, float)),
            line("a join storm's worst second", "bytes", at_size(requirements.JOIN_SECOND, float)),
            line(
                "whole lists told when all restart",
                "MB",
                lambda count: text(
                    (
                        lambda known: (
                            None if known is None else FigureValue(known.value * count / 1e6, known.basis)
                        )
                    )(requirements.LIST_COMPACT.at(requirements.PLANNERS)(runs))
                ),
            ),
        ],
    )


TABLES: dict[str, Callable[[Runs], str]] = {
    "runs": runs_table,
    "slopes": slopes_table,
    "targets": targets_table,
    "assumed": assumed_table,
    "failures": failures_table,
    "scheduler": role_table(requirements.DATA_PATH),
    "control": role_table(requirements.CONTROL),
    "discovery": role_table(requirements.DISCOVERY),
    **{name: rows_table(*what) for name, what in COLUMNS.items()},
}
