"""Figures as the tables ask for them: measured where that size ran, else from the slope's fit."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from benchmarks.capacity.fits import Fit, FitError, fit
from benchmarks.capacity.records import Run

NOT_MEASURED = "not measured"
Runs = Mapping[str, Run]


@dataclass(frozen=True)
class Told:
    """A figure, and how it is known: `measured`, `fit`, `extrapolated`, or at a lesser size alone."""

    value: float
    how: str = "measured"

    @property
    def sure(self) -> int:
        """The less sure, the higher."""
        return HOW.index(self.how) if self.how in HOW else len(HOW)


Figure = Callable[[Runs], Told | None]
HOW = ("measured", "fit", "extrapolated")


def number(value: float) -> str:
    """A figure for reading: three significant digits, thousands parted."""
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def text(told: Told | None, unit: str = "") -> str:
    """A figure with its unit, and how it is known where it was not measured."""
    if told is None:
        return NOT_MEASURED
    return f"{number(told.value)}{' ' + unit if unit else ''}" + (
        "" if told.how == "measured" else f" ({told.how})"
    )


@dataclass(frozen=True)
class Line:
    """One figure of one case of a slope, and the form of the line through it. `unit`: of the figure."""

    slope: str
    case: str
    figure: str
    form: str
    unit: str = ""
    relative: bool = True  # errors count in parts of what was measured

    def points(self, runs: Runs) -> list[tuple[int, float]]:
        return runs[self.slope].valid(self.case, self.figure) if self.slope in runs else []

    def fit(self, runs: Runs) -> Fit | None:
        """None where fewer sizes ran than a fit needs."""
        try:
            return fit(self.points(runs), self.form, self.relative)
        except FitError:
            return None

    def at(self, size: float) -> Figure:
        """The figure at a size: as measured where that size ran, else by the fit; where too few ran for one,
        that of the largest."""

        def told(runs: Runs) -> Told | None:
            ran = dict(self.points(runs))
            if size in ran:
                return Told(ran[int(size)])
            line = self.fit(runs)
            if line is None:
                return Told(ran[max(ran)], f"at {max(ran)}, no slope") if ran else None
            estimate = line.at(size)
            return Told(max(0.0, estimate.value), "extrapolated" if estimate.extrapolated else "fit")

        return told


def times(figure: Figure, factor: float) -> Figure:
    """The figure so many times."""

    def told(runs: Runs) -> Told | None:
        one = figure(runs)
        return None if one is None else Told(one.value * factor, one.how)

    return told


def plus(*figures: Figure) -> Figure:
    """The sum; None where one of them is."""

    def told(runs: Runs) -> Told | None:
        all_told = [figure(runs) for figure in figures]
        known = [one for one in all_told if one is not None]
        if len(known) < len(all_told):
            return None
        return Told(sum(one.value for one in known), max(known, key=lambda one: one.sure).how)

    return told


def ratio(above: Figure, below: Figure) -> Figure:
    """One figure in parts of the other."""

    def told(runs: Runs) -> Told | None:
        one, other = above(runs), below(runs)
        if one is None or other is None or not other.value:
            return None
        return Told(one.value / other.value, max((one, other), key=lambda told: told.sure).how)

    return told


def given(value: float) -> Figure:
    """A figure of the letter itself, or counted in the program's text."""
    return lambda runs: Told(value)


def table(head: Sequence[str], lines: Sequence[Sequence[str]]) -> str:
    """A table in Markdown."""
    return "\n".join(f"| {' | '.join(line)} |" for line in (head, ["---"] * len(head), *lines))
