"""An attempt that can't be ended yet is outstanding, and its job gets no other one meanwhile."""

from __future__ import annotations

import pytest
from helpers import Bench, entries, sends_of, settings

from pipitshed.scheduling.actions import CancelAttempt, FailRequest, RejectRequest, StartAttempt
from pipitshed.scheduling.events import (
    AttemptEndDeferred,
    AttemptProgressed,
    JobSubmitted,
    Outcome,
    ProgressKind,
)
from pipitshed.scheduling.settings import Limits

DEADLINE_MS = 5000.0
STALL_MS = 1750.0


def bench_with_a_running_job(parallel: bool = False) -> tuple[Bench, StartAttempt]:
    limits = Limits(may_cancel=True, max_attempts=4, parallel_attempts=parallel)
    bench = Bench(
        settings(
            zone_count=1,
            workers_report_start=True,
            progress_interval_ms=1000.0,
            limits=limits,
        ),
        entries(9),
    )
    [first] = sends_of(bench.feed(JobSubmitted(1, DEADLINE_MS)))
    bench.feed(AttemptProgressed(1, 0, first.worker, ProgressKind.STARTED))
    return bench, first


# Guards against a second copy of a job that was cancelled but runs on.
def test_a_cancelled_attempt_that_is_outstanding_keeps_its_job_from_another() -> None:
    bench, first = bench_with_a_running_job()
    assert CancelAttempt(1, 0) in bench.run(bench.now + STALL_MS + 50)
    bench.feed(AttemptEndDeferred(1, 0, first.worker, Outcome.CANCELLED))
    assert not sends_of(bench.run(bench.now + 500))
    bench.finish(first, 0, Outcome.CANCELLED)
    [second] = sends_of(bench.run(bench.now + 100))
    assert second.worker != first.worker


def test_where_attempts_may_run_in_parallel_an_outstanding_one_is_not_waited_for() -> None:
    """Guards against a job that waits where a second copy is permitted."""
    bench, first = bench_with_a_running_job(parallel=True)
    bench.run(bench.now + STALL_MS + 50)
    bench.feed(AttemptEndDeferred(1, 0, first.worker, Outcome.CANCELLED))
    [second] = sends_of(bench.run(bench.now + 100))
    assert second.worker != first.worker


def test_an_attempt_that_goes_on_is_watched_again() -> None:
    """Guards against a job that is never given up again, as its attempt was cancelled once."""
    bench, first = bench_with_a_running_job()
    bench.run(bench.now + STALL_MS + 50)
    bench.feed(AttemptEndDeferred(1, 0, first.worker, Outcome.CANCELLED))
    bench.feed(AttemptProgressed(1, 0, first.worker, ProgressKind.PROGRESS, 0.5))
    assert CancelAttempt(1, 0) not in bench.run(bench.now + STALL_MS - 50)
    assert CancelAttempt(1, 0) in bench.run(bench.now + 100)


@pytest.mark.parametrize(("allowed", "is_failed"), [(1, True), (2, False)])
def test_a_timed_out_attempt_that_is_outstanding(allowed: int, is_failed: bool) -> None:
    """The job is answered at once if it gets no further attempt, and has no second copy if it does.

    Guards against a client that waits for the worker's other jobs, and against a second copy.
    """
    bench, first = bench_with_a_running_job()
    bench.dispatcher.jobs[1].min_allowed_attempts = allowed
    answers = bench.feed(AttemptEndDeferred(1, 0, first.worker, Outcome.TIMEOUT))
    assert any(isinstance(action, FailRequest | RejectRequest) for action in answers) is is_failed
    assert not sends_of(bench.run(bench.now + 500))
    if not is_failed:
        bench.finish(first, 0, Outcome.TIMEOUT)
        assert len(sends_of(bench.run(bench.now + 100))) == 1
