"""Estimates speeds and demand from the structured log: one JSON line for each attempt that served its job.

    {"event":"attempt","planner":"p1","class":"quote","tenant":"andes-retail","at":1.5,"ran":0.31,"outcome":"OK"}

`at` and `ran` are in s. The model is multiplicative: ran = work of the class / speed of the planner.
Logarithms make it linear, and means over planners and classes in turn (alternating least squares) solve it.
The uncertainty is the standard error of the mean of each planner's logarithms, given as a factor.
"""

from __future__ import annotations

import math
import statistics
from collections import defaultdict
from collections.abc import Iterable

import msgspec

MAX_ROUNDS = 50
CONVERGED_LOG_DIFFERENCE = 1e-9


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
    """One figure with its 95 % confidence interval: from value / factor to value * factor."""

    value: float
    factor: float
    seen: int  # number of samples


class LearntEstimates(msgspec.Struct):
    """Speeds are relative: their geometric mean over planners is 1."""

    speed: dict[str, Estimate]
    work: dict[str, Estimate]  # s at speed 1, by class
    rate: dict[str, Estimate]  # jobs per second, by class and tenant
    skipped: int  # number of lines that don't report a successful attempt


_decode = msgspec.json.Decoder(_Line).decode


def learn(lines: Iterable[bytes]) -> LearntEstimates:
    """Estimate speeds, work and rates from the lines; other lines are counted and skipped."""
    runs: list[tuple[str, str, float]] = []
    job_counts: dict[str, int] = defaultdict(int)
    first, last, skipped = math.inf, -math.inf, 0
    for line in lines:
        try:
            parsed = _decode(line)
        except msgspec.MsgspecError:
            skipped += 1
            continue
        if (
            parsed.event != "attempt"
            or parsed.outcome != "OK"
            or not parsed.planner
            or not 0 < parsed.ran < math.inf
        ):
            skipped += 1
            continue
        runs.append((parsed.planner, parsed.job_class, math.log(parsed.ran)))
        job_counts[f"{parsed.job_class} {parsed.tenant}"] += 1
        first, last = min(first, parsed.at), max(last, parsed.at)
    by_planner: dict[str, list[tuple[str, float]]] = defaultdict(list)
    by_class: dict[str, list[tuple[str, float]]] = defaultdict(list)
    for planner, job_class, log_duration in runs:
        by_planner[planner].append((job_class, log_duration))
        by_class[job_class].append((planner, log_duration))
    log_slowness = dict.fromkeys(by_planner, 0.0)  # minus the logarithm of the speed
    log_work = dict.fromkeys(by_class, 0.0)
    for _ in range(MAX_ROUNDS):
        before = dict(log_slowness)
        log_work = {
            name: statistics.fmean(log_duration - log_slowness[planner] for planner, log_duration in samples)
            for name, samples in by_class.items()
        }
        log_slowness = {
            name: statistics.fmean(log_duration - log_work[job_class] for job_class, log_duration in samples)
            for name, samples in by_planner.items()
        }
        mean = statistics.fmean(log_slowness.values()) if log_slowness else 0.0
        log_slowness = {name: value - mean for name, value in log_slowness.items()}
        if all(abs(log_slowness[name] - value) < CONVERGED_LOG_DIFFERENCE for name, value in before.items()):
            break
    log_work = {
        name: statistics.fmean(log_duration - log_slowness[planner] for planner, log_duration in samples)
        for name, samples in by_class.items()
    }
    duration_s = last - first
    return LearntEstimates(
        {
            name: _estimate(
                math.exp(-log_slowness[name]),
                [log_duration - log_work[job_class] for job_class, log_duration in samples],
            )
            for name, samples in sorted(by_planner.items())
        },
        {
            name: _estimate(
                math.exp(log_work[name]),
                [log_duration - log_slowness[planner] for planner, log_duration in samples],
            )
            for name, samples in sorted(by_class.items())
        },
        {
            name: Estimate(
                count / duration_s if duration_s > 0 else 0.0, math.exp(1.96 / math.sqrt(count)), count
            )
            for name, count in sorted(job_counts.items())
        },
        skipped,
    )


def _estimate(value: float, logarithms: list[float]) -> Estimate:
    standard_error = (
        statistics.stdev(logarithms) / math.sqrt(len(logarithms)) if len(logarithms) > 1 else math.inf
    )
    return Estimate(value, math.exp(min(700.0, 1.96 * standard_error)), len(logarithms))
