"""Jobs whose workers are all in slow start: they go by the workers' budgets, the earliest deadline first."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import Bench, entries, sends_of, settings, worker_id

from pipitshed.scheduling.actions import StartAttempt
from pipitshed.scheduling.deadline_queue import DeadlineQueue
from pipitshed.scheduling.events import (
    AttemptProgressed,
    EndpointEntry,
    EndpointsUpdated,
    JobSubmitted,
    Outcome,
    ProgressKind,
    UpdateKind,
)
from pipitshed.scheduling.job_state import Job
from pipitshed.scheduling.settings import Guarantees, Limits, Settings

GUARANTEES = Guarantees(
    slow_start_ms=8800.0, initial_capacity_fraction=0.3, overload_multiple=3.0, overload_window_ms=1500.0
)
WAITING_JOBS = 40
DEADLINE_MS = 10_000.0


def config(**changes: object) -> Settings:
    limits = Limits(may_cancel=True, max_attempts=4)
    base: dict[str, object] = {"zone_count": 1, "guarantees": GUARANTEES, "limits": limits}
    return settings(**(base | changes))


def bench_with_a_backlog(**changes: object) -> Bench:
    """Jobs that no worker can take as yet; each one has 10 ms less time than the one before."""
    bench = Bench(config(**changes), ())
    for job in range(1, WAITING_JOBS + 1):
        bench.feed(JobSubmitted(job, DEADLINE_MS - 10.0 * job))
    return bench


def list_workers(bench: Bench, *workers: EndpointEntry) -> list[StartAttempt]:
    return sends_of(bench.feed(EndpointsUpdated(UpdateKind.DELTA, 2, workers)))


def started_now(bench: Bench, number: int = 1) -> EndpointEntry:
    return replace(entries(number)[-1], started_at_ms=bench.now)


# Guards against the first worker back after a replacement that gets the whole backlog, and falls over.
@pytest.mark.parametrize("workers_report_start", [True, False])
def test_the_first_worker_back_does_not_get_the_whole_backlog(workers_report_start: bool) -> None:
    bench = bench_with_a_backlog(workers_report_start=workers_report_start)
    list_workers(bench, started_now(bench))
    bench.run(bench.now + GUARANTEES.overload_window_ms)
    assert 1 <= len(bench.sends) <= 4  # slots of a worker that has reported none


def test_a_backlog_is_served_as_its_worker_serves_the_earliest_deadline_first() -> None:
    """Guards against jobs that wait beyond their deadline while later ones are served."""
    bench = bench_with_a_backlog()
    list_workers(bench, started_now(bench))
    served = 0
    while bench.now < DEADLINE_MS / 2 and served < WAITING_JOBS:
        bench.run(bench.now + 100.0)
        for send in [send for _, send in bench.sends][served:]:
            bench.finish(send, 0, Outcome.OK)
            served += 1
    assert served == WAITING_JOBS
    jobs = [send.job_id for _, send in bench.sends]
    assert jobs[4:] == sorted(jobs[4:], reverse=True)  # the first ones go before the others have looked


def test_a_worker_that_starts_at_nothing_gets_jobs_as_it_warms_up() -> None:
    """Guards against a division by the capacity of a worker that has none as it starts."""
    bench = bench_with_a_backlog(guarantees=replace(GUARANTEES, initial_capacity_fraction=0.0))
    list_workers(bench, started_now(bench))
    bench.run(bench.now + 5000.0)
    assert bench.sends


def test_a_backlog_goes_to_a_warm_worker_as_soon_as_one_is_listed() -> None:
    """Guards against jobs that go on waiting for a worker in slow start."""
    bench = bench_with_a_backlog()
    list_workers(bench, started_now(bench))
    bench.run(bench.now + 500.0)
    list_workers(bench, entries(2)[1])
    sends = sends_of(bench.run(bench.now + 100.0))
    assert [send.worker for send in sends][:2] == [worker_id(2)] * 2


def test_the_end_of_slow_start_does_not_send_the_whole_backlog_to_one_worker() -> None:
    """Guards against a backlog that one worker gets at the moment from which it counts as warm."""
    guarantees = replace(GUARANTEES, slow_start_ms=1000.0)
    bench = bench_with_a_backlog(guarantees=guarantees)
    list_workers(bench, started_now(bench))
    bench.run(bench.now + 2000.0)
    assert len(bench.sends) <= 5


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.RESET, Outcome.CONNECT_FAILED])
def test_a_job_is_retried_where_all_workers_are_in_slow_start(outcome: Outcome) -> None:
    """Guards against a job that waits for its deadline beside workers in slow start with capacity."""
    bench = Bench(config(), ())
    list_workers(bench, *(replace(entry, started_at_ms=bench.now) for entry in entries(3)))
    bench.feed(JobSubmitted(1, 5000.0))
    bench.run(bench.now + 1000.0)
    [(_, first)] = bench.sends
    bench.finish(first, 0, outcome)
    bench.run(bench.now + 2500.0)
    assert len(bench.sends) == 2


def test_a_retry_is_not_woken_as_one_of_the_jobs_that_wait() -> None:
    """Guards against a retry that is sent before the pause that its worker asks for has passed."""
    job, retry = [
        Job(JobSubmitted(number, 1000.0 / number), config().classes[0], now_ms=0.0) for number in (1, 2)
    ]
    queue = DeadlineQueue()
    for waiting in (job, retry):
        waiting.latest_slow_start_ms = 400.0
        queue.add(waiting)
    assert queue.first({1, 2}, 0.0) is retry
    retry.latest_slow_start_ms = None
    assert queue.first({1, 2}, 0.0) is job
    assert queue.first({1, 2}, 401.0) is None


def test_a_job_that_can_not_end_in_time_takes_no_token() -> None:
    """Guards against tokens for jobs that end after their deadline, while others could end in time."""
    bench = Bench(config(workers_report_start=True), entries(1))
    for job in range(1, 41):  # the mean service time is 400 ms
        [send] = sends_of(bench.feed(JobSubmitted(job, 5000.0)))
        bench.feed(AttemptProgressed(job, 0, send.worker, ProgressKind.STARTED))
        bench.run(bench.now + 400.0)
        bench.finish(send, 0, Outcome.OK)
    bench.feed(EndpointsUpdated(UpdateKind.SNAPSHOT, 2, ()))
    for number in range(20):
        bench.feed(JobSubmitted(100 + number, 3000.0))
    bench.run(bench.now + 2000.0)  # 1000 ms are left; at 0.3 of its capacity the worker takes 1333 ms
    bench.feed(JobSubmitted(200, 5000.0))
    bench.sends.clear()
    list_workers(bench, started_now(bench))
    bench.run(bench.now + 500.0)
    assert [send.job_id for _, send in bench.sends][:1] == [200]
