"""Figures for the tables: as measured where that size ran, otherwise from the fit of the slope."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from benchmarks.capacity.fits import Fit, FitError, fit
from benchmarks.capacity.records import Run

NOT_MEASURED = "not measured"
Runs = Mapping[str, Run]


@dataclass(frozen=True)
class FigureValue:
    """A value and its basis: `measured`, `fit`, `extrapolated`, or the largest size if there is no fit."""

    value: float
    basis: str = "measured"

    @property
    def uncertainty(self) -> int:
        """Rank of the basis: 0 is measured, higher ranks are less certain."""
        return BASES.index(self.basis) if self.basis in BASES else len(BASES)


Figure = Callable[[Runs], FigureValue | None]
BASES = ("measured", "fit", "extrapolated")


def number(value: float) -> str:
    """Format a figure with three significant digits, or with thousands separators from 1,000 on."""
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def text(known: FigureValue | None, unit: str = "") -> str:
    """Format a figure with its unit, and with its basis unless it was measured."""
    if known is None:
        return NOT_MEASURED
    return f"{number(known.value)}{' ' + unit if unit else ''}" + (
        "" if known.basis == "measured" else f" ({known.basis})"
    )


@dataclass(frozen=True)
class Line:
    """One figure of one case of a slope, its unit, and the form of the fitted line."""

    slope: str
    case: str
    figure: str
    form: str
    unit: str = ""
    relative: bool = True  # fit relative instead of absolute errors

    def points(self, runs: Runs) -> list[tuple[int, float]]:
        return runs[self.slope].valid(self.case, self.figure) if self.slope in runs else []

    def fit(self, runs: Runs) -> Fit | None:
        """The fitted line; None if fewer sizes ran than a fit needs."""
        try:
            return fit(self.points(runs), self.form, self.relative)
        except FitError:
            return None

    def at(self, size: float) -> Figure:
        """The figure at a size: as measured if that size ran, otherwise by the fit; without a fit, that of
        the largest size."""

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
    """The figure multiplied by a factor."""

    def evaluate(runs: Runs) -> FigureValue | None:
        one = figure(runs)
        return None if one is None else FigureValue(one.value * factor, one.basis)

    return evaluate


def plus(*figures: Figure) -> Figure:
    """The sum of the figures; None if one of them is None. Its basis is the least certain one."""

    def evaluate(runs: Runs) -> FigureValue | None:
        values = [figure(runs) for figure in figures]
        known = [one for one in values if one is not None]
        if len(known) < len(values):
            return None
        return FigureValue(sum(one.value for one in known), max(known, key=lambda one: one.uncertainty).basis)

    return evaluate


def ratio(above: Figure, below: Figure) -> Figure:
    """One figure divided by another; None if either is None or the divisor is 0."""

    def evaluate(runs: Runs) -> FigureValue | None:
        one, other = above(runs), below(runs)
        if one is None or other is None or not other.value:
            return None
        return FigureValue(
            one.value / other.value, max((one, other), key=lambda known: known.uncertainty).basis
        )

    return evaluate


def constant(value: float) -> Figure:
    """A figure that is a requirement or a constant of the program, not measured."""
    return lambda runs: FigureValue(value)


def table(head: Sequence[str], lines: Sequence[Sequence[str]]) -> str:
    """A table in Markdown."""
    return "\n".join(f"| {' | '.join(line)} |" for line in (head, ["---"] * len(head), *lines))
