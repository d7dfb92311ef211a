"""Figures as the tables ask for them: measured where that size ran, else from the slope's fit."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from benchmarks.capacity.fits import Fit, FitError, fit
from benchmarks.capacity.records import Run

NOT_MEASURED = "not measured"
Runs = Mapping[str, Run]


@dataclass(frozen=True)
class FigureValue:
    """A figure, and how it is known: `measured`, `fit`, `extrapolated`, or at a lesser size alone."""

    value: float
    basis: str = "measured"

    @property
    def uncertainty(self) -> int:
        """The less sure, the higher."""
        return BASES.index(self.basis) if self.basis in BASES else len(BASES)


Figure = Callable[[Runs], FigureValue | None]
BASES = ("measured", "fit", "extrapolated")


def number(value: float) -> str:
    """A figure for reading: three significant digits, thousands parted."""
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def text(known: FigureValue | None, unit: str = "") -> str:
    """A figure with its unit, and how it is known where it was not measured."""
    if known is None:
        return NOT_MEASURED
    return f"{number(known.value)}{' ' + unit if unit else ''}" + (
        "" if known.basis == "measured" else f" ({known.basis})"
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

        def evaluate(runs: Runs) -> FigureValue | None:
            ran = dict(self.points(runs))
            if size in ran:
                return FigureValue(ran[int(size)])
            line = self.fit(runs)
            if line is None:
                return FigureValue(ran[max(ran)], f"at {max(ran)}, no slope") if ran else None
            estimate = line.at(size)
            return FigureValue(max(0.0, estimate.value), "extrapolated" if estimate.extrapolated else "fit")

        return evaluate


def times(figure: Figure, factor: float) -> Figure:
    """The figure so many times."""

    def evaluate(runs: Runs) -> FigureValue | None:
        one = figure(runs)
        return None if one is None else FigureValue(one.value * factor, one.basis)

    return evaluate


def plus(*figures: Figure) -> Figure:
    """The sum; None where one of them is."""

    def evaluate(runs: Runs) -> FigureValue | None:
        values = [figure(runs) for figure in figures]
        known = [one for one in values if one is not None]
        if len(known) < len(values):
            return None
        return FigureValue(sum(one.value for one in known), max(known, key=lambda one: one.uncertainty).basis)

    return evaluate


def ratio(above: Figure, below: Figure) -> Figure:
    """One figure in parts of the other."""

    def evaluate(runs: Runs) -> FigureValue | None:
        one, other = above(runs), below(runs)
        if one is None or other is None or not other.value:
            return None
        return FigureValue(
            one.value / other.value, max((one, other), key=lambda known: known.uncertainty).basis
        )

    return evaluate


def constant(value: float) -> Figure:
    """A figure of the letter itself, or counted in the program's text."""
    return lambda runs: FigureValue(value)


def table(head: Sequence[str], lines: Sequence[Sequence[str]]) -> str:
    """A table in Markdown."""
    return "\n".join(f"| {' | '.join(line)} |" for line in (head, ["---"] * len(head), *lines))
