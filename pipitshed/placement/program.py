"""A linear or mixed-integer program for HiGHS, with named constraints and lexicographic goals."""

from __future__ import annotations

import os
import sys
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import highspy
import numpy as np

GOAL_TOLERANCE = 1e-7  # by which a later goal may worsen an earlier one, times its value or 1
INFINITY = highspy.kHighsInf


@dataclass(slots=True)
class Row:
    """lower <= sum of terms <= upper; part of the constraint `name`, or a definition if the name is empty."""

    terms: Mapping[int, float]  # column: coefficient
    lower: float
    upper: float
    name: str = ""
    scale: float = 1.0  # by which terms, lower and upper were divided


@dataclass
class Program:
    """The columns and rows; the goals are passed to `Solver.solve`."""

    lower: list[float] = field(default_factory=list)
    upper: list[float] = field(default_factory=list)
    integer: list[bool] = field(default_factory=list)
    rows: list[Row] = field(default_factory=list)

    def add_column(self, lower: float = 0.0, upper: float = INFINITY, integer: bool = False) -> int:
        """Add a column, and return its number."""
        self.lower.append(lower)
        self.upper.append(upper)
        self.integer.append(integer)
        return len(self.lower) - 1

    def add_row(self, terms: Mapping[int, float], lower: float, upper: float, name: str = "") -> None:
        """Add a row, scaled by its largest coefficient: fleets hold numbers from 1e-9 to 1e9."""
        largest = max((abs(value) for value in terms.values()), default=0.0)
        scale = 1.0
        if largest > 0 and not 1e-3 < largest < 1e3:
            terms, scale = {column: value / largest for column, value in terms.items()}, largest
            lower, upper = lower / largest, upper / largest
        self.rows.append(Row(terms, lower, upper, name, scale))

    def names(self) -> list[str]:
        """The names of all constraints, in the order of their first rows."""
        return list(dict.fromkeys(row.name for row in self.rows if row.name))


@dataclass(slots=True)
class Solution:
    """The optimum that the solver found."""

    values: np.ndarray[Any, np.dtype[np.float64]]  # by column
    goals: list[float]  # the value of each goal
    duals: np.ndarray[Any, np.dtype[np.float64]]  # by row, for the last goal; empty if mixed-integer
    basis: Any  # None if mixed-integer


def _new_silent_highs() -> Any:
    """Create HiGHS with stdout redirected: its constructor prints a banner before options can be set."""
    sys.stdout.flush()
    saved_stdout, null_device = os.dup(1), os.open(os.devnull, os.O_WRONLY)
    try:
        os.dup2(null_device, 1)
        return highspy.Highs()  # type: ignore[no-untyped-call]
    finally:
        os.dup2(saved_stdout, 1)
        os.close(saved_stdout)
        os.close(null_device)


class Solver:
    """One program loaded into HiGHS; each solve starts from the solution of the one before.

    Constraints named in `without` are left out.
    """

    def __init__(self, program: Program, without: Iterable[str] = ()) -> None:
        left_out = set(without)
        self.program = program
        self.rows = [row for row in program.rows if not row.name or row.name not in left_out]
        self.mixed = any(program.integer)
        self._highs: Any = _new_silent_highs()
        for name, value in (
            ("log_to_console", False),
            ("output_flag", False),
            ("threads", 1),
            ("random_seed", 1),
            ("primal_feasibility_tolerance", 1e-9),
            ("dual_feasibility_tolerance", 1e-9),
            ("mip_feasibility_tolerance", 1e-9),
            ("mip_rel_gap", 0.0),
            ("mip_abs_gap", 1e-9),
        ):
            self._highs.setOptionValue(name, value)
        self._highs.passModel(self._model())

    def _model(self) -> Any:
        program = self.program
        model = highspy.HighsLp()
        model.num_col_, model.num_row_ = len(program.lower), len(self.rows)
        model.col_cost_ = np.zeros(len(program.lower))
        model.col_lower_, model.col_upper_ = np.array(program.lower), np.array(program.upper)
        model.row_lower_ = np.array([row.lower for row in self.rows])
        model.row_upper_ = np.array([row.upper for row in self.rows])
        model.a_matrix_.format_ = highspy.MatrixFormat.kRowwise
        model.a_matrix_.start_ = np.cumsum([0, *(len(row.terms) for row in self.rows)]).astype(np.int32)
        model.a_matrix_.index_ = np.array([column for row in self.rows for column in row.terms], np.int32)
        model.a_matrix_.value_ = np.array([value for row in self.rows for value in row.terms.values()], float)
        if self.mixed:
            model.integrality_ = [
                highspy.HighsVarType.kInteger if integer else highspy.HighsVarType.kContinuous
                for integer in program.integer
            ]
        return model

    def set_start_basis(self, basis: Any) -> None:
        """Start from the basis of an earlier solution, if it has as many columns and rows as this program."""
        if (
            basis is not None
            and len(basis.col_status) == len(self.program.lower)
            and (len(basis.row_status) == len(self.rows))
        ):
            self._highs.setBasis(basis)

    def feasible(self) -> bool:
        """Whether all rows can be satisfied together."""
        self._highs.run()
        return bool(self._highs.getModelStatus() == highspy.HighsModelStatus.kOptimal)

    def solve(self, goals: Sequence[Mapping[int, float]]) -> Solution | None:
        """Minimize the goals in order, each among the optima of those before; None if infeasible."""
        goal_values: list[float] = []
        columns = np.arange(len(self.program.lower), dtype=np.int32)
        solution = basis = None
        for position, goal in enumerate(goals):
            largest = max((abs(value) for value in goal.values()), default=0.0)
            scale = 1.0 if not largest or 1e-4 < largest < 1e4 else largest
            costs = np.zeros(len(columns))
            for column, value in goal.items():
                costs[column] = value / scale
            self._highs.changeColsCost(len(columns), columns, costs)
            self._highs.run()
            if self._highs.getModelStatus() != highspy.HighsModelStatus.kOptimal:
                if position == 0 or solution is None:
                    return None
                goal_values.append(goal_values[-1])
                continue
            solution = self._highs.getSolution()
            basis = None if self.mixed else self._highs.getBasis()
            best = float(self._highs.getInfo().objective_function_value)
            goal_values.append(best * scale)
            if position + 1 < len(goals) and goal:
                index = np.array(list(goal), np.int32)
                self._highs.addRow(
                    -INFINITY,
                    best + GOAL_TOLERANCE * max(1.0, abs(best)),
                    len(index),
                    index,
                    np.array([goal[column] / scale for column in goal]),
                )
        if solution is None:
            return None
        duals = np.array(solution.row_dual) if not self.mixed else np.zeros(0)
        return Solution(np.array(solution.col_value), goal_values, duals, basis)


def smallest_conflict(program: Program) -> list[str]:
    """A minimal set of constraints that can't be met together: without any one of them the others can.

    A deletion filter: it removes chunks of constraints while the remaining ones are still in conflict, down
    to chunks of one.
    """
    names = program.names()
    kept, chunk_size = list(names), max(1, len(names) // 2)
    while True:
        start = 0
        while start < len(kept):
            remaining = kept[:start] + kept[start + chunk_size :]
            if not Solver(program, set(names) - set(remaining)).feasible():
                kept = remaining
            else:
                start += chunk_size
        if chunk_size == 1:
            return kept
        chunk_size = max(1, chunk_size // 2)
