"""What an overload simulation has counted, by window of time, and the figures drawn from it."""

from __future__ import annotations

from collections import Counter
from dataclasses import asdict, dataclass
from enum import StrEnum

from pipitshed.testbed.overload.scenario import COUNT_INTERVAL_S, OverloadScenario

WINDOW_S = 2.0  # of a row of the table
RECOVERED_FRACTION = 0.95  # served of offered, from which on a fleet has recovered


class Count(StrEnum):
    """What is counted, named as the columns of the table are."""

    SUBMITTED = "submitted"
    SENT = "sent"
    CANCELLED_BEFORE_START = "cancelled"
    WASTED = "wasted"  # cancelled, and run to the end all the same
    OK = "ok"
    REFUSED = "refused"
    CONNECTIONS = "connections"


@dataclass(frozen=True, slots=True)
class StepFigures:
    """The figures of one step of the load.

    Attributes:
        factor: The load relative to that at rest.
        goodput: The jobs served in time during the step, relative to the capacity of the workers.
        attempts_per_job: Attempts sent during the step, for each job submitted then.
        recovery_s: The time from the end of the step until as much is served as is offered, and stays so
            for one window of the table; None if that does not happen before the next step.
    """

    factor: float
    goodput: float
    attempts_per_job: float
    recovery_s: float | None


@dataclass(frozen=True, slots=True)
class OverloadFigures:
    """The figures of a run: the table, and what is drawn from it.

    Attributes:
        offered: The load at rest relative to the capacity of the workers.
        rest_goodput: As `StepFigures.goodput`, in the second half of the first rest.
        rest_cancelled: Attempts cancelled before their start then, as a fraction of those sent.
        rows: Each window's start in s, and its counts.
    """

    offered: float
    rest_goodput: float
    rest_cancelled: float
    steps: tuple[StepFigures, ...]
    rows: tuple[tuple[float, dict[str, int]], ...]

    def to_json(self) -> dict[str, object]:
        """The figures as JSON types."""
        return asdict(self)

    def table(self) -> str:
        """The table and the figures as text."""
        lines = ["     s" + "".join(f"{count:>12}" for count in Count)]
        for start_s, row in self.rows:
            lines.append(f"{start_s:6.0f}" + "".join(f"{row[count]:12}" for count in Count))
        lines.append(
            f"at rest: {self.offered:.2f} of the capacity offered, {self.rest_goodput:.2f} served, "
            f"{100 * self.rest_cancelled:.1f}% of attempts cancelled before their start"
        )
        for step in self.steps:
            recovery = (
                "not recovered" if step.recovery_s is None else f"recovered after {step.recovery_s:.1f} s"
            )
            lines.append(
                f"load x {step.factor:.2f}: {step.goodput:.2f} of the capacity served, "
                f"{step.attempts_per_job:.2f} attempts per job, {recovery}"
            )
        return "\n".join(lines)


class CountsOverTime:
    """Counts by time, from which windows of any length can be summed."""

    def __init__(self) -> None:
        self._counts: dict[int, Counter[Count]] = {}

    def add(self, time_ms: float, count: Count) -> None:
        """Count one event."""
        self._counts.setdefault(_slot(time_ms / 1000), Counter())[count] += 1

    def between(self, start_s: float, end_s: float) -> Counter[Count]:
        """The counts from one time to another, both multiples of COUNT_INTERVAL_S."""
        total: Counter[Count] = Counter()
        for slot in range(_slot(start_s), _slot(end_s)):
            total += self._counts.get(slot, Counter())
        return total


def _slot(time_s: float) -> int:
    return int(time_s / COUNT_INTERVAL_S + 1e-9)


def summarize(scenario: OverloadScenario, counts: CountsOverTime) -> OverloadFigures:
    """The figures of a run with these counts."""
    rest = counts.between(scenario.load.first_rest_s / 2, scenario.load.first_rest_s)
    window_count = int(scenario.duration_s / WINDOW_S)
    rows = []
    for number in range(window_count):
        start_s = number * WINDOW_S
        window = counts.between(start_s, start_s + WINDOW_S)
        rows.append((start_s, {str(count): window[count] for count in Count}))
    return OverloadFigures(
        scenario.jobs_per_s / scenario.capacity_per_s,
        rest[Count.OK] / (scenario.capacity_per_s * scenario.load.first_rest_s / 2),
        rest[Count.CANCELLED_BEFORE_START] / max(1, rest[Count.SENT]),
        tuple(_step_figures(scenario, counts, step) for step in range(len(scenario.load.steps))),
        tuple(rows),
    )


def _step_figures(scenario: OverloadScenario, counts: CountsOverTime, step: int) -> StepFigures:
    start_s = scenario.step_start_s(step)
    end_s = start_s + scenario.load.step_s
    during = counts.between(start_s, end_s)
    return StepFigures(
        scenario.load.steps[step],
        during[Count.OK] / (scenario.capacity_per_s * scenario.load.step_s),
        during[Count.SENT] / max(1, during[Count.SUBMITTED]),
        _recovery_s(scenario, counts, end_s),
    )


def _recovery_s(scenario: OverloadScenario, counts: CountsOverTime, end_s: float) -> float | None:
    """The time after `end_s` from which a window of the table has as much served as offered."""
    start_s = end_s
    while start_s + WINDOW_S <= end_s + scenario.load.rest_s:
        window = counts.between(start_s, start_s + WINDOW_S)
        if window[Count.OK] >= RECOVERED_FRACTION * scenario.jobs_per_s * WINDOW_S:
            return start_s - end_s
        start_s += COUNT_INTERVAL_S
    return None
