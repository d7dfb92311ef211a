"""Outlier ejection: when a worker is ejected from selection, for how long, and what ends the ejection.

A worker is ejected when it has no capacity and when it fails jobs, for longer with each repetition. A slow
worker is not ejected: selection still chooses it for a few jobs (see worker_selection).
"""

from __future__ import annotations

import random

from pipitshed.scheduling.capacity_estimate import SPEED_MAX_AGE_MS
from pipitshed.scheduling.worker_state import Worker

EJECTION_MS = 300.0  # mean first ejection for lack of capacity; the first for an error is twice that
MAX_EJECTION_DOUBLINGS = 5  # limits ejections, so that the worker gets jobs again within seconds
SLOW_SPEED_RATIO = 2.0  # a worker is slow above this multiple of the mean time per unit of work
GOLDEN_RATIO_FRACTION = 0.6180339887  # job id times this, modulo 1: evenly distributed without a random draw


def is_ejected(worker: Worker, now_ms: float) -> bool:
    """Whether the worker is ejected at `now_ms`, for either reason."""
    return worker.ejected_until_ms > now_ms or worker.error_ejected_until_ms > now_ms


def is_slow(worker: Worker, mean_ms_per_work_unit: float, now_ms: float) -> bool:
    """Whether a recent sample shows that the worker takes much longer per unit of work than the mean."""
    return (
        worker.ms_per_work_unit > SLOW_SPEED_RATIO * mean_ms_per_work_unit
        and now_ms - worker.ms_per_work_unit_at_ms < SPEED_MAX_AGE_MS
    )


def eject_for_no_capacity(worker: Worker, now_ms: float, rng: random.Random) -> None:
    """Eject a worker that rejected a job, or did not start it in time.

    The newest such attempt sets the end of the ejection, also where that is earlier than before.
    """
    worker.ejected_until_ms = now_ms + EJECTION_MS * 2**worker.consecutive_rejections * rng.uniform(0.5, 1.5)
    worker.consecutive_rejections = min(worker.consecutive_rejections + 1, MAX_EJECTION_DOUBLINGS)


def eject_for_error(worker: Worker, job_id: int, now_ms: float) -> None:
    """Eject a worker that failed a job.

    A worker that fails jobs immediately always looks idle, so without an ejection it would be preferred.
    """
    worker.error_count = min(worker.error_count + 1, 2 * MAX_EJECTION_DOUBLINGS)
    doublings = min(worker.error_count, MAX_EJECTION_DOUBLINGS)
    ejection_ms = EJECTION_MS * 2**doublings * (0.5 + job_id * GOLDEN_RATIO_FRACTION % 1.0)
    worker.error_ejected_until_ms = max(worker.error_ejected_until_ms, now_ms + ejection_ms)


def eject_until(worker: Worker, until_ms: float) -> None:
    """Eject a worker at least until the time that it requested."""
    worker.ejected_until_ms = max(worker.ejected_until_ms, until_ms)


def end_capacity_ejection(worker: Worker) -> None:
    """End the ejection for lack of capacity; one for errors stays, as a failing worker starts jobs too."""
    worker.consecutive_rejections = 0
    worker.ejected_until_ms = 0.0


def end_all_ejections(worker: Worker) -> None:
    """End ejections of both kinds, as the worker's process has been restarted."""
    end_capacity_ejection(worker)
    worker.error_ejected_until_ms = 0.0


def decrement_error_count(worker: Worker) -> None:
    """Offset one error by a served job; the count does not fall while every second job fails."""
    worker.error_count = max(0, worker.error_count - 1)
