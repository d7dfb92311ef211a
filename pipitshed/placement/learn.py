"""Speeds and demand from the program's own structured log: a JSON line for each attempt that served its job.

    {"event":"attempt","planner":"p1","class":"quote","tenant":"andes-retail","at":1.5,"ran":0.31,"outcome":"OK"}

`at` and `ran` in s. The model is multiplicative: ran = work of the class / speed of the planner. Logarithms
make it linear, and means over planners and classes in turn (alternating least squares) solve it. The
uncertainty is the standard error of the mean of each planner's logarithms, told as a factor.
"""

from __future__ import annotations

import math
import statistics
from collections import defaultdict
from collections.abc import Iterable

import msgspec

ROUNDS = 50
SETTLED = 1e-9


class _Line(msgspec.Struct):
    event: str = ""
    planner: str = ""
    job_class: str = msgspec.field(default="", name="class")
    tenant: str = ""
    zone: str = ""
    at: float = 0.0
    ran: float = 0.0
    outcome: str = ""


class Estimate(msgspec.Struct):
    """One figure, and the factor within which it lies with 95 of 100."""

    value: float
    factor: float
    seen: int


class Learnt(msgspec.Struct):
    """Speeds are relative: their geometric mean over planners is 1."""

    speed: dict[str, Estimate]
    work: dict[str, Estimate]  # s at speed 1, by class
    rate: dict[str, Estimate]  # jobs a second, by class and tenant
    skipped: int  # lines that say nothing of it


_decode = msgspec.json.Decoder(_Line).decode


def learn(lines: Iterable[bytes]) -> Learnt:
    """The estimates; lines that are none of these are counted and passed over."""
    runs: list[tuple[str, str, float]] = []
    asked: dict[str, int] = defaultdict(int)
    first, last, skipped = math.inf, -math.inf, 0
    for line in lines:
        try:
            told = _decode(line)
        except msgspec.MsgspecError:
            skipped += 1
            continue
        if told.event != "attempt" or told.outcome != "OK" or not told.planner or not 0 < told.ran < math.inf:
            skipped += 1
            continue
        runs.append((told.planner, told.job_class, math.log(told.ran)))
        asked[f"{told.job_class} {told.tenant}"] += 1
        first, last = min(first, told.at), max(last, told.at)
    by_planner: dict[str, list[tuple[str, float]]] = defaultdict(list)
    by_class: dict[str, list[tuple[str, float]]] = defaultdict(list)
    for planner, job_class, took in runs:
        by_planner[planner].append((job_class, took))
        by_class[job_class].append((planner, took))
    slow = dict.fromkeys(by_planner, 0.0)  # minus the logarithm of the speed
    work = dict.fromkeys(by_class, 0.0)
    for _ in range(ROUNDS):
        before = dict(slow)
        work = {
            name: statistics.fmean(took - slow[planner] for planner, took in held)
            for name, held in by_class.items()
        }
        slow = {
            name: statistics.fmean(took - work[job_class] for job_class, took in held)
            for name, held in by_planner.items()
        }
        middle = statistics.fmean(slow.values()) if slow else 0.0
        slow = {name: value - middle for name, value in slow.items()}
        if all(abs(slow[name] - value) < SETTLED for name, value in before.items()):
            break
    work = {
        name: statistics.fmean(took - slow[planner] for planner, took in held)
        for name, held in by_class.items()
    }
    length = last - first
    return Learnt(
        {
            name: _estimate(math.exp(-slow[name]), [took - work[job_class] for job_class, took in held])
            for name, held in sorted(by_planner.items())
        },
        {
            name: _estimate(math.exp(work[name]), [took - slow[planner] for planner, took in held])
            for name, held in sorted(by_class.items())
        },
        {
            name: Estimate(count / length if length > 0 else 0.0, math.exp(1.96 / math.sqrt(count)), count)
            for name, count in sorted(asked.items())
        },
        skipped,
    )


def _estimate(value: float, logarithms: list[float]) -> Estimate:
    error = statistics.stdev(logarithms) / math.sqrt(len(logarithms)) if len(logarithms) > 1 else math.inf
    return Estimate(value, math.exp(min(700.0, 1.96 * error)), len(logarithms))
