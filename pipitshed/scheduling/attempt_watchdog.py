"""The attempt watchdog: detects attempts that do not start in time and attempts that have stalled."""

from __future__ import annotations

import enum

from pipitshed.scheduling.job_state import Attempt, Job
from pipitshed.scheduling.recent_counts import AttemptWindow
from pipitshed.scheduling.retry_policy import allowed_attempts
from pipitshed.scheduling.settings import Idempotency, Limits, Settings

START_TIMEOUT_OBJECTIVE_FRACTION = 0.1  # start timeout as a fraction of the latency objective
START_TIMEOUT_HANDSHAKE_FACTOR = 3.0  # per unit of handshake cost: a cancel closes a connection
START_TIMEOUT_REJECTION_FACTOR = 6.0  # per rejected fraction: workers that reject jobs have short queues
MIN_START_TIMEOUT_TICKS = 3
STALLED_PROGRESS_INTERVALS = 1.75  # without a report, after which an attempt has stalled; reports may be late


class StartOverdueAction(enum.Enum):
    """What to do with a job none of whose attempts has started in time."""

    ADD_ATTEMPT = enum.auto()
    REPLACE_ATTEMPTS = enum.auto()
    KEEP_WAITING = enum.auto()


def start_timeout_ms(job: Job, settings: Settings, window: AttemptWindow, now_ms: float) -> float:
    """How long an attempt may take to start; the timeout doubles with each attempt, as the pauses do.

    The timeout is longer where workers reject jobs: an accepted job has a short queue before it, and further
    attempts of it would fill busy workers with duplicate work. It is at least the connect timeout times the
    probability of capacity: handshakes that count as lack of capacity make idle workers look full.
    """
    objective_fraction = (
        START_TIMEOUT_OBJECTIVE_FRACTION
        + START_TIMEOUT_HANDSHAKE_FACTOR * settings.costs.handshake_cost
        + START_TIMEOUT_REJECTION_FACTOR * window.rejected_fraction()
    )
    capacity_probability = 1 - (window.no_capacity_probability(now_ms) or 0.0)
    first_ms = max(
        MIN_START_TIMEOUT_TICKS * settings.tick_ms,
        objective_fraction * job.job_class.latency_objective_ms,
        capacity_probability * settings.limits.connect_timeout_ms,
    )
    return first_ms * 2.0 ** (len(job.attempts) - 1)


def start_overdue_action(
    job: Job, limits: Limits, window: AttemptWindow, now_ms: float
) -> StartOverdueAction:
    """What to do when the start timeout of all attempts in flight has passed."""
    if limits.parallel_attempts:
        return StartOverdueAction.ADD_ATTEMPT  # earlier attempts keep their places in the workers' queues
    allowed = allowed_attempts(job, limits.max_attempts, window, now_ms) + job.departed_worker_count
    if job.job_class.idempotency is not Idempotency.NON_IDEMPOTENT and len(job.attempts) < allowed:
        return StartOverdueAction.REPLACE_ATTEMPTS
    return StartOverdueAction.KEEP_WAITING


def stall_due_ms(started: list[Attempt], settings: Settings) -> float:
    """The time at which these attempts count as stalled, unless one of them reports progress before."""
    last_progress_at_ms = max(attempt.last_progress_at_ms for attempt in started)
    return last_progress_at_ms + STALLED_PROGRESS_INTERVALS * settings.progress_interval_ms


def may_replace_stalled(job: Job, settings: Settings, due_ms: float) -> bool:
    """Whether the job's class permits cancelling its stalled attempts and retrying it.

    A machine that lost its network closes no connection; without a retry its jobs wait for their deadline.
    """
    limits, job_class = settings.limits, job.job_class
    if not settings.progress_interval_ms or not limits.may_cancel:
        return False
    if len(job.attempts) >= limits.max_attempts or job_class.idempotency is Idempotency.NON_IDEMPOTENT:
        return False
    window_end_ms = job.attempts[0].dispatched_at_ms + job_class.idempotency_window_ms
    return job_class.idempotency is Idempotency.IDEMPOTENT or due_ms <= window_end_ms
