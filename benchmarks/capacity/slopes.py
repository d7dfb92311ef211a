"""The modules that measure. Each has `SLOPE`, `SIZES` and `measure(sizes, limit_s)`."""

from __future__ import annotations

import importlib
from collections.abc import Sequence
from typing import Protocol, cast

from benchmarks.capacity.records import Row

MODULES = (
    "planners",
    "parts",
    "held",
    "starts",
    "urgent",
    "gangs",
    "reload",
    "schedulers",
    "teams",
    "regions",
    "hollow",
)


class MeasuringModule(Protocol):
    """What a measuring module has."""

    SLOPE: str
    SIZES: tuple[int, ...]

    def measure(self, sizes: Sequence[int], limit_s: float) -> list[Row]:
        """The rows of these sizes; what the time (s) does not suffice for is left out or not valid."""
        ...


def module(slope: str) -> MeasuringModule:
    """The module that measures a slope; KeyError where none does."""
    if slope not in MODULES:
        raise KeyError(slope)
    return cast(MeasuringModule, importlib.import_module(f"benchmarks.capacity.{slope}"))
