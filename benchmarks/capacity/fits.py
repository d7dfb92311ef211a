"""Least squares through the rows of a slope."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

MIN_SIZES = 4
FORMS: dict[str, Callable[[float], float]] = {
    "constant": lambda size: 0.0,
    "linear": lambda size: size,
    "sqrt": math.sqrt,
    "n log n": lambda size: size * math.log(size),
}
TEXTS = {
    "constant": "{a}",
    "linear": "{a} + {b} n",
    "sqrt": "{a} + {b} sqrt(n)",
    "n log n": "{a} + {b} n ln(n)",
}


class FitError(ValueError):
    """Too few sizes for a fit, or a form that nobody knows."""


@dataclass(frozen=True)
class Estimate:
    """A fit's figure at a size; `extrapolated` beyond the largest size that ran."""

    value: float
    extrapolated: bool


@dataclass(frozen=True)
class Fit:
    """`a + b f(n)`; `rms` in the figure's own unit, `worst` the largest error in parts of a figure."""

    form: str
    a: float
    b: float
    rms: float
    worst: float
    largest: int  # size that ran

    def at(self, size: float) -> Estimate:
        """The figure at a size."""
        return Estimate(self.a + self.b * FORMS[self.form](size), size > self.largest)

    def formula(self) -> str:
        """The line in words."""
        return TEXTS[self.form].format(a=f"{self.a:.4g}", b=f"{self.b:.4g}").replace("+ -", "- ")


def fit(points: Sequence[tuple[float, float]], form: str, relative: bool = False) -> Fit:
    """The line of this form with the least squares; FitError below four sizes. `relative`: each error counts
    in parts of what was measured, so that the largest size does not outweigh the others; even where a figure
    is 0."""
    if form not in FORMS:
        raise FitError(f"no form {form!r}: {', '.join(FORMS)}")
    sizes = {size for size, _ in points}
    if len(sizes) < MIN_SIZES:
        raise FitError(f"{len(sizes)} sizes, {MIN_SIZES} are needed")
    shape = FORMS[form]
    xs, ys = [shape(size) for size, _ in points], [value for _, value in points]
    weights = [1 / y**2 for y in ys] if relative and all(ys) else [1.0] * len(ys)
    weighted, total_weight = list(zip(weights, xs, ys, strict=True)), sum(weights)
    x_mean, y_mean = (
        sum(w * x for w, x, _ in weighted) / total_weight,
        sum(w * y for w, _, y in weighted) / total_weight,
    )
    spread = sum(w * (x - x_mean) ** 2 for w, x, _ in weighted)
    b = sum(w * (x - x_mean) * (y - y_mean) for w, x, y in weighted) / spread if spread else 0.0
    a = y_mean - b * x_mean
    errors = [a + b * x - y for x, y in zip(xs, ys, strict=True)]
    return Fit(
        form,
        a,
        b,
        math.sqrt(sum(error * error for error in errors) / len(ys)),
        max((abs(error / y) for error, y in zip(errors, ys, strict=True) if y), default=0.0),
        int(max(sizes)),
    )
