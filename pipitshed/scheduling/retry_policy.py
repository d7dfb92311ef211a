"""The retry policy: how many attempts a job gets, where, until when, and its final answer without one.

A job that may have run is retried or rejected only as its idempotency permits.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from pipitshed.scheduling.actions import AnswerReason, FailRequest, RejectRequest
from pipitshed.scheduling.capacity_estimate import BUSY_PROBABILITY
from pipitshed.scheduling.job_state import Attempt, Job, Scope, cell_scope
from pipitshed.scheduling.recent_counts import AttemptWindow
from pipitshed.scheduling.settings import DeduplicationScope, Idempotency, JobClass, Limits, Settings

ALLOWED_FAILURE_PROBABILITY = 0.1  # for the class of least priority weight; smaller for others
BACKOFF_OBJECTIVE_FRACTION = 0.02  # first mean pause as a fraction of the latency objective; it doubles
MAX_BACKOFF_OBJECTIVE_FRACTION = 0.25  # longest mean pause as a fraction of the latency objective
LAST_ATTEMPT_TICKS = 3  # before the deadline; a later attempt could not end in time
FINAL_ANSWER_TICKS = 2  # before the deadline; the final answer must be sent by then
CLOSE_BEFORE_WINDOW_END_TICKS = 2  # a retry is sent at least this long before the idempotency window ends


@dataclass(frozen=True, slots=True)
class RetryOptions:
    """What a job's idempotency permits at this time."""

    may_attempt: bool
    scope: Scope
    rejectable: bool  # whether the client may safely send the request again


_ATTEMPT_ANYWHERE = RetryOptions(True, None, True)
_NO_ATTEMPT = RetryOptions(False, None, True)
_MAY_HAVE_RUN = RetryOptions(False, None, False)


def retry_options(
    job: Job, limits: Limits, tick_ms: float, now_ms: float, once_idle: bool = False
) -> RetryOptions:
    """Whether the job may get an attempt now, which workers it may go to, and whether it may be rejected.

    With `once_idle`, the attempts in flight are taken to have ended.
    """
    job_class = job.job_class
    first = job.first_possible_execution()
    may_attempt = len(job.attempts) < limits.max_attempts and not job.finished and not job.streaming
    one_at_a_time = not limits.parallel_attempts and not once_idle
    if one_at_a_time and any(attempt.in_flight for attempt in job.attempts):
        may_attempt = False
    if first is None or job_class.idempotency is Idempotency.IDEMPOTENT:
        return _ATTEMPT_ANYWHERE if may_attempt else _NO_ATTEMPT
    if job_class.idempotency is Idempotency.NON_IDEMPOTENT:
        return _MAY_HAVE_RUN
    in_window = now_ms < _repeat_until_ms(first, job_class, tick_ms)
    covers_all = job_class.deduplication_scope is DeduplicationScope.ALL
    return RetryOptions(may_attempt and in_window, _scope(first, job_class), covers_all and in_window)


def _scope(first: Attempt, job_class: JobClass) -> Scope:
    """The workers that recognise a retry of this attempt as a duplicate."""
    if job_class.deduplication_scope is DeduplicationScope.ALL:
        return None
    if job_class.deduplication_scope is DeduplicationScope.ZONE:
        return "zone", first.zone
    return cell_scope(first.cell, first.worker.id)


def _repeat_until_ms(first: Attempt, job_class: JobClass, tick_ms: float) -> float:
    window_end_ms = first.dispatched_at_ms + job_class.idempotency_window_ms
    return window_end_ms - CLOSE_BEFORE_WINDOW_END_TICKS * tick_ms


def write_within_ms(job: Job, tick_ms: float, now_ms: float) -> float:
    """How long the attempt made now may wait for a connection before it is written, in ms; 0 for no limit.

    A retry of a job with an idempotency key must reach its worker within the idempotency window.
    """
    if job.job_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
        return 0.0
    first = job.first_possible_execution()
    if first is None or first.dispatched_at_ms == now_ms:
        return 0.0
    return max(tick_ms, _repeat_until_ms(first, job.job_class, tick_ms) - now_ms)


def last_attempt_ms(job: Job, tick_ms: float) -> float:
    """The time from which a job without an attempt in flight gets its final answer."""
    return job.deadline_ms - LAST_ATTEMPT_TICKS * tick_ms


def final_answer_due_ms(job: Job, tick_ms: float) -> float:
    """The time at which the job is checked for the last time before its deadline."""
    return job.deadline_ms - FINAL_ANSWER_TICKS * tick_ms


def allowed_failure_probability(priority_weight: float, min_priority_weight: float) -> float:
    """The allowed probability that all attempts of a job fail, p in the paper's Equation 2."""
    return ALLOWED_FAILURE_PROBABILITY * min(
        1.0, min_priority_weight / (priority_weight or min_priority_weight)
    )


def allowed_attempts(job: Job, max_attempts: int, window: AttemptWindow, now_ms: float) -> int:
    """The number of attempts that find capacity with sufficient probability, by the paper's Equation 2."""
    probability = window.no_capacity_probability(now_ms)
    if probability is None:
        # Too few samples: one attempt, and one more for each of the job's attempts that found no capacity.
        return min(max_attempts, 1 + job.no_capacity_count)
    if probability <= 0:
        return 1
    if probability >= 1:
        return max_attempts
    needed = math.ceil(math.log(job.allowed_failure_probability) / math.log(probability))
    return max(1, min(max_attempts, needed))


def reason_for_no_attempt(
    job: Job, options: RetryOptions, limits: Limits, window: AttemptWindow, now_ms: float
) -> AnswerReason | None:
    """The reason for which the job gets no further attempt now; None where it gets one."""
    must_repeat = only_scheduler_may_repeat(job, options) and not job.attempts_in_flight()
    if must_repeat:
        allowed = limits.max_attempts
    else:
        by_estimate = allowed_attempts(job, limits.max_attempts, window, now_ms)
        allowed = max(by_estimate, 1 + job.error_count) + job.reset_count + job.departed_worker_count
    if len(job.attempts) >= max(job.min_allowed_attempts, allowed):
        return AnswerReason.ATTEMPTS_EXHAUSTED
    if not options.may_attempt:
        exhausted = len(job.attempts) >= limits.max_attempts
        return AnswerReason.ATTEMPTS_EXHAUSTED if exhausted else AnswerReason.NOT_REPEATABLE
    if job.attempts and not must_repeat and is_late_among_busy(job, window, now_ms):
        return AnswerReason.OBJECTIVE_MISSED
    return None


def only_scheduler_may_repeat(job: Job, options: RetryOptions) -> bool:
    """Whether the client must not resend the job: its connection broke, and it can't be rejected.

    Such a job gets the maximum number of attempts.
    """
    return bool(job.reset_count) and not options.rejectable


def may_give_up_late(job: Job, options: RetryOptions, window: AttemptWindow, now_ms: float) -> bool:
    """Whether a job that has not started may be given up as late, though its attempt is not cancelled yet."""
    return not only_scheduler_may_repeat(job, options) and is_late_among_busy(job, window, now_ms)


def is_late_among_busy(job: Job, window: AttemptWindow, now_ms: float) -> bool:
    """Whether the job has missed its objective, and the workers are busy.

    Such a job takes no capacity from jobs that can still meet their objective.
    """
    is_late = now_ms > job.submitted_at_ms + job.job_class.latency_objective_ms
    return is_late and (window.no_capacity_probability(now_ms) or 0.0) > BUSY_PROBABILITY


def backoff_ms(job: Job, rng: random.Random) -> float:
    """A random pause in ms before the next attempt; its mean doubles with each one without capacity."""
    objective_ms = job.job_class.latency_objective_ms
    mean_ms = min(
        BACKOFF_OBJECTIVE_FRACTION * objective_ms * 2.0**job.no_capacity_count,
        MAX_BACKOFF_OBJECTIVE_FRACTION * objective_ms,
    )
    return mean_ms * rng.uniform(0.5, 1.5)


def longest_backoff_ms(job: Job, rng: random.Random) -> float:
    """A random pause in ms before the next look for a worker, as long as any pause gets in the mean."""
    return MAX_BACKOFF_OBJECTIVE_FRACTION * job.job_class.latency_objective_ms * rng.uniform(0.5, 1.5)


def final_answer(
    job: Job, reason: AnswerReason, settings: Settings, now_ms: float, rng: random.Random
) -> RejectRequest | FailRequest:
    """The final answer to a job without a result, as its idempotency permits.

    A rejected client may retry after the longest mean pause, because its latency objective keeps running.
    Where clients honour the retry time, it is randomised, so that they do not all return at the same time.
    """
    if not retry_options(job, settings.limits, settings.tick_ms, now_ms).rejectable:
        return FailRequest(job.id, reason)
    spread = rng.uniform(0.5, 1.5) if settings.limits.clients_honour_retry_after else 1.0
    retry_after_ms = MAX_BACKOFF_OBJECTIVE_FRACTION * job.job_class.latency_objective_ms * spread
    return RejectRequest(job.id, retry_after_ms, reason)
