"""The measuring modules, each of which measures one slope."""

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
    """The interface of a measuring module."""

    SLOPE: str
    SIZES: tuple[int, ...]

    def measure(self, sizes: Sequence[int], limit_s: float) -> list[Row]:
        """The rows of these sizes; rows beyond the time limit (s) are left out or not valid."""
        ...


def module(slope: str) -> MeasuringModule:
    """Import the module that measures a slope; KeyError if there is none."""
    if slope not in MODULES:
        raise KeyError(slope)
    return cast(MeasuringModule, importlib.import_module(f"benchmarks.capacity.{slope}"))
