"""Least-squares fits through the rows of a slope."""

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
    """Too few sizes for a fit, or an unknown form."""


@dataclass(frozen=True)
class Estimate:
    """The value of a fit at a size; `extrapolated` if the size is larger than any that ran."""

    value: float
    extrapolated: bool


@dataclass(frozen=True)
class Fit:
    """`a + b f(n)`; `rms` is in the unit of the figure, `worst` is the largest relative error."""

    form: str
    a: float
    b: float
    rms: float
    worst: float
    largest: int  # largest size that ran

    def at(self, size: float) -> Estimate:
        """The value of the line at a size."""
        return Estimate(self.a + self.b * FORMS[self.form](size), size > self.largest)

    def formula(self) -> str:
        """The line as a formula."""
        return TEXTS[self.form].format(a=f"{self.a:.4g}", b=f"{self.b:.4g}").replace("+ -", "- ")


def fit(points: Sequence[tuple[float, float]], form: str, relative: bool = False) -> Fit:
    """Fit a line of this form by least squares; FitError below four sizes. `relative` fits relative
    errors, so that the largest size does not outweigh the others; if a measured value is 0, the errors are
    absolute."""
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
