"""The dispatcher's rules one by one, and regression tests of past failures, in virtual time."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Any

import pytest
from helpers import Bench, entries, sends_of, settings, worker_id

from pipitshed.scheduling import attempt_watchdog, outlier_ejection, retry_policy
from pipitshed.scheduling.actions import (
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from pipitshed.scheduling.admission import SATURATION_THRESHOLD
from pipitshed.scheduling.capacity_estimate import WINDOW_ATTEMPT_COUNT
from pipitshed.scheduling.events import (
    AttemptFinished,
    AttemptProgressed,
    ConnectionLost,
    EndpointState,
    EndpointsUpdated,
    JobSubmitted,
    Outcome,
    ProbeFinished,
    ProgressKind,
    ResponseStarted,
    TimerFired,
    UpdateKind,
)
from pipitshed.scheduling.events import WorkerId as WorkerIdType
from pipitshed.scheduling.job_state import Job
from pipitshed.scheduling.settings import (
    Costs,
    DeduplicationScope,
    Guarantees,
    Idempotency,
    JobClass,
    Limits,
    Tenant,
    WeightKind,
)

FIELDS = ("free_slots", "queue")
SHORT_CONNECT_TIMEOUT = Limits(
    may_cancel=True, parallel_attempts=True, max_attempts=4, connect_timeout_ms=30.0
)  # a start timeout of 30 ms while there is capacity


def serve_jobs(bench: Bench, jobs: int, outcome: Outcome = Outcome.OK, first: int = 1) -> list[StartAttempt]:
    """Submit jobs one by one and end each first attempt with the same outcome."""
    sends = []
    for job in range(first, first + jobs):
        for send in sends_of(bench.feed(JobSubmitted(job, 4000.0))):
            sends.append(send)
            bench.finish(send, 0, outcome)
    return sends


def test_draws_follow_the_listed_weights() -> None:
    workers = tuple(
        replace(entry, weight=1.0 + (index % 2) * 3, zone=0) for index, entry in enumerate(entries(8))
    )
    bench = Bench(settings(weight_kind=WeightKind.ROUGH, zone_count=1), workers)
    counts = Counter(send.worker for send in serve_jobs(bench, 4000))
    heavy = sum(counts[worker_id(n)] for n in (2, 4, 6, 8))
    assert heavy / 4000 == pytest.approx(0.8, abs=0.03)


def test_without_weights_draws_are_even() -> None:
    bench = Bench(
        settings(zone_count=1),
        tuple(replace(entry, weight=float(index)) for index, entry in enumerate(entries(5))),
    )
    counts = Counter(send.worker for send in serve_jobs(bench, 2000))
    assert min(counts.values()) > 300


def test_only_workers_of_the_class_kind_are_drawn() -> None:
    cls = JobClass(300.0, 5000.0, idempotency=Idempotency.IDEMPOTENT, worker_kind=1)
    workers = tuple(replace(entry, worker_kind=index % 2) for index, entry in enumerate(entries(8)))
    bench = Bench(settings(classes=(cls,)), workers)
    assert {send.worker for send in serve_jobs(bench, 200)} <= {worker_id(n) for n in (2, 4, 6, 8)}


def test_a_class_that_no_worker_runs_is_answered_in_time() -> None:
    cls = JobClass(300.0, 5000.0, idempotency=Idempotency.NON_IDEMPOTENT, worker_kind=7)
    bench = Bench(settings(classes=(cls,)), entries(4))
    bench.feed(JobSubmitted(1, 1000.0))
    bench.run(2100.0)
    bench.checker.close(bench.now)
    assert RejectRequest in {type(action) for action in bench.log} and bench.checker.faults == []


def test_the_own_zone_is_preferred() -> None:
    bench = Bench(settings(own_zone=1), entries(9))
    assert {send.worker[3] % 2 for send in serve_jobs(bench, 200)} == {1}


def no_capacity_probability(bench: Bench) -> float | None:
    return bench.dispatcher.window.no_capacity_probability(bench.dispatcher.now_ms)


def allowed_attempts(bench: Bench, job: Job) -> int:
    dispatcher = bench.dispatcher
    max_attempts = dispatcher.settings.limits.max_attempts
    return retry_policy.allowed_attempts(job, max_attempts, dispatcher.window, dispatcher.now_ms)


def may_attempt(bench: Bench, job: Job) -> bool:
    settings, now_ms = bench.dispatcher.settings, bench.dispatcher.now_ms
    return retry_policy.retry_options(job, settings.limits, settings.tick_ms, now_ms).may_attempt


def start_timeout_ms(bench: Bench, job: Job) -> float:
    dispatcher = bench.dispatcher
    return attempt_watchdog.start_timeout_ms(job, dispatcher.settings, dispatcher.window, dispatcher.now_ms)


def test_an_empty_window_allows_one_attempt_and_one_more_for_each_rejection() -> None:
    bench = Bench(settings(zone_count=1), entries(9))
    [send] = sends_of(bench.feed(JobSubmitted(1, 4000.0)))
    bench.finish(send, 0, Outcome.REJECTED)
    again = sends_of(bench.run(bench.now + 200.0))
    assert len(again) == 1 and again[0].worker != send.worker


def test_allowed_attempts_grow_with_the_no_capacity_probability() -> None:
    bench = Bench(settings(zone_count=1), entries(9))
    serve_jobs(bench, WINDOW_ATTEMPT_COUNT)
    job = bench.dispatcher.jobs
    bench.feed(JobSubmitted(500, 4000.0))
    assert allowed_attempts(bench, job[500]) == 1
    for _ in range(WINDOW_ATTEMPT_COUNT // 2):
        bench.dispatcher.window.add(bench.now, True)
    assert allowed_attempts(bench, job[500]) == 4  # log(0.1) / log(0.5), rounded up


def test_old_attempts_leave_the_window() -> None:
    bench = Bench(settings(zone_count=1), entries(9))
    serve_jobs(bench, WINDOW_ATTEMPT_COUNT)
    assert no_capacity_probability(bench) == 0.0
    bench.now += 60_000.0
    bench.feed()
    assert no_capacity_probability(bench) is None


def test_pauses_grow_with_each_rejection() -> None:
    pauses_ms: list[list[float]] = [[], [], []]
    for seed in range(60):
        bench = Bench(settings(zone_count=1), entries(9), seed)
        bench.feed(JobSubmitted(1, 4000.0))
        for attempt in range(3):
            last, send = bench.sends[-1]
            bench.finish(send, attempt, Outcome.REJECTED)
            while len(bench.sends) < attempt + 2:
                bench.run(bench.now + 5.0)
            pauses_ms[attempt].append(bench.sends[-1][0] - last)
    means = [sum(row) / len(row) for row in pauses_ms]
    assert means[1] > 1.4 * means[0] and means[2] > 1.1 * means[1]
    assert len(set(pauses_ms[0])) > 2  # the pauses are random


def test_near_saturation_new_jobs_are_rejected_but_some_are_dispatched() -> None:
    bench = Bench(settings(zone_count=1), entries(9))
    fill_window(bench, WINDOW_ATTEMPT_COUNT, rejected_by_worker=True)
    assert no_capacity_probability(bench) == 1.0 > SATURATION_THRESHOLD
    dispatched = 0
    for job in range(1, 1001):
        for send in sends_of(bench.feed(JobSubmitted(job, 4000.0))):
            dispatched += 1
            bench.finish(send, 0, Outcome.REJECTED)  # as workers without capacity do
    assert 20 <= dispatched <= 90
    assert sum(isinstance(action, RejectRequest) for action in bench.log) == 1000 - dispatched


def test_a_job_that_does_not_start_gets_a_second_attempt_and_the_slower_is_cancelled() -> None:
    bench = Bench(settings(zone_count=1, workers_report_start=True, limits=SHORT_CONNECT_TIMEOUT), entries(9))
    [first] = sends_of(bench.feed(JobSubmitted(1, 4000.0)))
    [second] = sends_of(bench.run(bench.now + 60.0))
    assert second.worker != first.worker
    actions = bench.feed(AttemptProgressed(1, 1, second.worker, ProgressKind.STARTED))
    assert actions == [CancelAttempt(1, 0)]


def test_without_parallel_attempts_a_late_start_is_cancelled_before_the_next() -> None:
    limits = replace(SHORT_CONNECT_TIMEOUT, parallel_attempts=False)
    bench = Bench(settings(zone_count=1, workers_report_start=True, limits=limits), entries(9))
    [first] = sends_of(bench.feed(JobSubmitted(1, 4000.0)))
    actions = bench.run(bench.now + 60.0)
    assert CancelAttempt(1, 0) in actions and sends_of(actions) == []
    bench.finish(first, 0, Outcome.CANCELLED)
    assert len(sends_of(bench.run(bench.now + 200.0))) == 1
    assert bench.checker.faults == []


def test_a_handshake_across_zones_is_not_counted_as_lack_of_capacity() -> None:
    """Guards against rejections while workers have capacity. Starts were reported 78 ms after the dispatch,
    behind three round trips for a new connection, but the start timeout was 70 ms. Each cancel closed the
    connection, so the next attempt needed a new one, and six jobs in ten were rejected. Without capacity the
    timeout is shorter."""
    limits = Limits(may_cancel=True, max_attempts=4)
    bench = Bench(settings(zone_count=1, workers_report_start=True, limits=limits), entries(9))
    for job in range(1, WINDOW_ATTEMPT_COUNT + 1):
        [send] = sends_of(bench.feed(JobSubmitted(job, 4000.0)))
        bench.run(bench.now + limits.connect_timeout_ms - bench.config.tick_ms)
        assert not any(isinstance(action, CancelAttempt) for action in bench.log)
        bench.feed(AttemptProgressed(job, 0, send.worker, ProgressKind.STARTED))
        bench.finish(send, 0, Outcome.OK)
    assert no_capacity_probability(bench) == 0.0
    bench.feed(JobSubmitted(WINDOW_ATTEMPT_COUNT + 1, 4000.0))
    fill_window(bench, WINDOW_ATTEMPT_COUNT)
    assert start_timeout_ms(bench, bench.dispatcher.jobs[WINDOW_ATTEMPT_COUNT + 1]) == pytest.approx(30.0)


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.ERROR])
@pytest.mark.parametrize(
    "idempotency", [Idempotency.IDEMPOTENT, Idempotency.IDEMPOTENT_WITH_KEY, Idempotency.NON_IDEMPOTENT]
)
def test_a_job_is_retried_after_a_reset_or_an_error_where_its_class_allows(
    idempotency: Idempotency, outcome: Outcome
) -> None:
    """Guards against giving a job up while workers have capacity: 51 requests on stale connections, and the
    jobs of a worker that failed one in ten, got no further attempt."""
    bench = Bench(
        settings(idempotency, DeduplicationScope.ZONE, zone_count=2, workers_report_start=True), entries(9)
    )
    fill_window(bench, 0)
    first, *_ = sends_of(bench.feed(JobSubmitted(1, 5000.0)))
    bench.finish(first, 0, outcome)
    again = sends_of(bench.run(bench.now + 100.0))
    assert len(again) == (0 if idempotency is Idempotency.NON_IDEMPOTENT else 1)
    assert all(send.worker != first.worker for send in again)
    assert any(isinstance(action, FailRequest) for action in bench.log) == (
        idempotency is Idempotency.NON_IDEMPOTENT
    )


@pytest.mark.parametrize("outcome", [Outcome.CONNECT_FAILED, Outcome.REJECTED, Outcome.SUPERSEDED])
@pytest.mark.parametrize(
    "idempotency", [Idempotency.IDEMPOTENT, Idempotency.IDEMPOTENT_WITH_KEY, Idempotency.NON_IDEMPOTENT]
)
@pytest.mark.parametrize(
    "change",
    [{"state": EndpointState.REMOVED}, {"state": EndpointState.DRAINING}, {"job_classes": frozenset()}],
)
def test_a_job_whose_worker_left_before_it_ran_is_retried(
    change: dict[str, Any], idempotency: Idempotency, outcome: Outcome
) -> None:
    """Guards against a rejection while workers are free: at a no-capacity probability of 0 a job has one
    attempt, and an attempt at a departing worker, which never ran it, used that up."""
    bench = Bench(settings(idempotency, zone_count=1), entries(2))
    serve_jobs(bench, WINDOW_ATTEMPT_COUNT)
    [send] = sends_of(bench.feed(JobSubmitted(100, 4000.0)))
    [entry] = [entry for entry in entries(2) if entry.worker == send.worker]
    bench.feed(EndpointsUpdated(UpdateKind.DELTA, 2, (replace(entry, **change),)))
    bench.finish(send, 0, outcome)
    [again] = sends_of(bench.run(bench.now + 500.0))
    assert again.worker != send.worker
    bench.finish(again, 1, Outcome.CONNECT_FAILED)  # this worker is listed, so the attempt counts
    assert not sends_of(bench.run(bench.now + 500.0)) and not bench.checker.faults


def test_a_keyed_job_whose_connection_broke_is_not_given_up_for_lack_of_capacity() -> None:
    """Guards against a lost job: after a reset and one rejection it failed, because a no-capacity probability
    near 0 allowed two attempts, and its client must not resend it. A job that never ran is rejected."""
    limits = Limits(may_cancel=True, max_attempts=4)
    for first, attempts in [(Outcome.RESET, 4), (Outcome.REJECTED, 1)]:
        bench = Bench(
            settings(
                Idempotency.IDEMPOTENT_WITH_KEY,
                DeduplicationScope.ZONE,
                workers_report_start=True,
                limits=limits,
            ),
            entries(9),
        )
        fill_window(bench, 0)
        [send] = sends_of(bench.feed(JobSubmitted(1, 2500.0)))
        bench.finish(send, 0, first)
        for attempt in range(1, 4):
            for send in sends_of(bench.run(bench.now + 150.0)):
                bench.finish(send, attempt, Outcome.REJECTED)
        assert len(bench.sends) == attempts
        assert any(isinstance(action, RejectRequest) for action in bench.log) == (first is Outcome.REJECTED)


@pytest.mark.parametrize(
    "idempotency", [Idempotency.IDEMPOTENT, Idempotency.IDEMPOTENT_WITH_KEY, Idempotency.NON_IDEMPOTENT]
)
def test_a_started_job_whose_worker_stops_reporting_is_retried(idempotency: Idempotency) -> None:
    """Guards against jobs that wait until their deadline: a machine that is cut off closes no connection."""
    limits = Limits(may_cancel=True, max_attempts=4)
    bench = Bench(
        settings(
            idempotency, zone_count=1, workers_report_start=True, progress_interval_ms=1000.0, limits=limits
        ),
        entries(9),
    )
    [first] = sends_of(bench.feed(JobSubmitted(1, 5000.0)))
    bench.feed(AttemptProgressed(1, 0, first.worker, ProgressKind.STARTED))
    bench.run(bench.now + 1000.0)
    bench.feed(AttemptProgressed(1, 0, first.worker, ProgressKind.PROGRESS, 0.01))
    assert CancelAttempt(1, 0) not in bench.run(bench.now + 1700.0)
    again = CancelAttempt(1, 0) in bench.run(bench.now + 100.0)
    assert again == (idempotency is not Idempotency.NON_IDEMPOTENT)
    if again:
        bench.finish(first, 0, Outcome.CANCELLED)
        [second] = sends_of(bench.run(bench.now + 100.0))
        assert second.worker != first.worker


def test_no_second_attempt_while_one_is_in_flight_where_parallel_attempts_are_not_allowed() -> None:
    for parallel in (False, True):
        limits = Limits(may_cancel=True, max_attempts=4, parallel_attempts=parallel)
        bench = Bench(settings(zone_count=1, limits=limits), entries(9))
        bench.feed(JobSubmitted(1, 4000.0))
        assert may_attempt(bench, bench.dispatcher.jobs[1]) is parallel


@pytest.mark.parametrize("window_ms", [2000.0, 200.0])
def test_a_keyed_job_that_may_have_run_gets_no_attempt_after_its_window(window_ms: float) -> None:
    config = settings(Idempotency.IDEMPOTENT_WITH_KEY, zone_count=1)
    cls = replace(config.classes[0], idempotency_window_ms=window_ms)
    bench = Bench(replace(config, classes=(cls,)), entries(9))
    [send] = sends_of(bench.feed(JobSubmitted(1, 4000.0)))
    bench.now += 300.0
    bench.finish(send, 0, Outcome.RESET)
    bench.run(bench.now + 1000.0)
    assert len(sends_of(bench.log)) == (2 if window_ms > 300.0 else 1)
    assert any(isinstance(action, FailRequest) for action in bench.log) == (window_ms < 300.0)


def test_a_non_idempotent_job_that_may_have_run_is_failed_not_rejected() -> None:
    bench = Bench(settings(Idempotency.NON_IDEMPOTENT, zone_count=1), entries(9))
    [send] = sends_of(bench.feed(JobSubmitted(1, 4000.0)))
    actions = bench.finish(send, 0, Outcome.RESET)
    actions += bench.run(bench.now + 4100.0)
    assert FailRequest(1) in actions and sends_of(actions) == []
    assert not any(isinstance(action, RejectRequest) for action in actions)


def test_a_keyed_job_stays_in_its_cell() -> None:
    for seed in range(20):
        bench = Bench(
            settings(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL, zone_count=1), entries(9), seed
        )
        [send] = sends_of(bench.feed(JobSubmitted(1, 4000.0)))
        bench.finish(send, 0, Outcome.ERROR)
        bench.run(bench.now + 500.0)
        assert bench.checker.faults == []


def test_no_attempt_goes_to_a_draining_worker_or_one_missing_from_a_snapshot() -> None:
    bench = Bench(settings(zone_count=1), entries(3))
    bench.feed(EndpointsUpdated(UpdateKind.DELTA, 2, (replace(entries(3)[0], state=EndpointState.DRAINING),)))
    bench.feed(EndpointsUpdated(UpdateKind.SNAPSHOT, 3, entries(3)[:2]))
    assert {send.worker for send in serve_jobs(bench, 100)} <= {worker_id(1), worker_id(2)}


@pytest.mark.parametrize("scheduler_count", [1, 20])
def test_workers_in_slow_start_get_their_part_from_all_schedulers_together(scheduler_count: int) -> None:
    slow_start = Guarantees(
        slow_start_ms=10_000.0,
        initial_capacity_fraction=0.2,
        overload_multiple=3.0,
        overload_window_ms=1000.0,
    )
    workers = tuple(
        replace(entry, started_at_ms=990.0 if index == 0 else 0.0) for index, entry in enumerate(entries(10))
    )
    slow_start_count = total = 0
    for seed in range(scheduler_count):
        bench = Bench(settings(zone_count=1, guarantees=slow_start), workers, seed)
        for send in serve_jobs(bench, 2000 // scheduler_count):
            slow_start_count += send.worker == worker_id(1)
            total += 1
    assert total == 2000
    assert (
        0.01 * total < slow_start_count < 0.035 * total
    )  # a tenth of the workers, at a fifth of its capacity


def test_an_idle_connection_is_preferred_where_handshakes_cost() -> None:
    def distinct_workers(cost: float) -> int:
        bench = Bench(settings(zone_count=1, costs=Costs(handshake_cost=cost)), entries(60))
        return len({send.worker for send in serve_jobs(bench, 60)})

    assert distinct_workers(0.12) < distinct_workers(0.0) / 2


def test_a_worker_whose_connection_has_closed_is_no_longer_preferred() -> None:
    def distinct_workers(connections_close: bool) -> int:
        bench = Bench(settings(zone_count=1, costs=Costs(handshake_cost=0.12)), entries(4))
        workers = set()
        for job in range(1, 31):
            [send] = serve_jobs(bench, 1, first=job)
            workers.add(send.worker)
            if connections_close:
                bench.feed(ConnectionLost(send.worker))
        return len(workers)

    assert distinct_workers(connections_close=False) == 1 and distinct_workers(connections_close=True) == 4


def test_the_start_timeout_grows_where_workers_reject_jobs() -> None:
    bench = Bench(settings(zone_count=1, workers_report_start=True, limits=SHORT_CONNECT_TIMEOUT), entries(9))
    bench.feed(JobSubmitted(1, 4000.0))
    job = bench.dispatcher.jobs[1]
    short = start_timeout_ms(bench, job)
    for _ in range(15):
        bench.dispatcher.window.add(bench.now, True, True)
    assert start_timeout_ms(bench, job) > 4 * short


def test_no_retry_after_the_latency_objective_while_the_workers_are_busy() -> None:
    bench = Bench(settings(zone_count=1), entries(9))
    fill_window(bench, 18)
    [send] = sends_of(bench.feed(JobSubmitted(1, 4000.0)))
    bench.now += 400.0
    bench.finish(send, 0, Outcome.REJECTED)
    actions = bench.run(bench.now + 300.0)
    assert sends_of(actions) == [] and any(isinstance(action, RejectRequest) for action in actions)


def test_a_polled_endpoint_list_is_polled_again_with_backoff() -> None:
    bench = Bench(settings(endpoints_polled=True), entries(3))
    assert bench.run(bench.now + 1000.0) == [WatchEndpoints(True)]
    delays_ms = []
    for _ in range(4):
        polled_at_ms = bench.now
        bench.feed(EndpointsUpdated(UpdateKind.FETCH_FAILED))
        while not any(isinstance(action, WatchEndpoints) for action in bench.run(bench.now + 50.0)):
            assert bench.now < polled_at_ms + 40_000.0
        delays_ms.append(bench.now - polled_at_ms)
    assert max(delays_ms[2:]) > max(delays_ms[:1])


def test_stale_and_unknown_events_are_ignored() -> None:
    bench = Bench(settings(zone_count=1, workers_report_start=True), entries(9))
    [send] = sends_of(bench.feed(JobSubmitted(1, 4000.0)))
    bench.finish(send, 0, Outcome.OK)
    assert bench.dispatcher.jobs == {}
    late = bench.feed(
        TimerFired(999),
        AttemptProgressed(1, 0, send.worker, ProgressKind.STARTED),
        AttemptProgressed(1, 5, send.worker, 9),
        ProbeFinished(worker_id(99), 1.0, Outcome.OK),
    )
    assert late == []
    assert all(isinstance(action, SetTimer) for action in bench.run(bench.now + 6000.0))


def fill_window(bench: Bench, no_capacity_count: int, rejected_by_worker: bool = False) -> None:
    """Fill the attempt window; `no_capacity_count` of its attempts found no capacity."""
    for index in range(WINDOW_ATTEMPT_COUNT):
        bench.dispatcher.window.add(
            bench.now, index < no_capacity_count, rejected_by_worker and index < no_capacity_count
        )


def test_jobs_over_the_quota_of_a_tenant_are_rejected_first() -> None:
    tenants = (Tenant(0.5, 50.0), Tenant(0.5, 50.0))
    for seed in range(4):
        bench = Bench(settings(zone_count=1, tenants=tenants), entries(9), seed)
        fill_window(bench, 20)
        rejected = [0, 0]
        for job in range(1, 801):
            tenant = int(job % 10 == 0)  # nine in ten jobs are the first tenant's
            actions = bench.feed(JobSubmitted(job, 4000.0, tenant=tenant))
            rejected[tenant] += any(isinstance(action, RejectRequest) for action in actions)
            bench.now += 1.0
            fill_window(bench, 20)
        assert rejected[0] > 350 and rejected[1] == 0


def test_a_tenants_quota_counts_by_this_dispatchers_part_of_the_load() -> None:
    """Guards against two failures. With busy workers, two tenants exceeded their quotas evenly, neither was
    rejected, and all answers were late. A dispatcher with most of the traffic counted only a fourth of the
    quota as its own. The slots that other dispatchers' jobs use, by the load reports, give the right part."""
    rejected = []
    for other_slots in (0.0, 9.0):
        bench = Bench(
            settings(zone_count=1, tenants=(Tenant(1.0, 100.0),), scheduler_count=4, report_fields=FIELDS),
            entries(9),
        )
        for job in range(1, 101):
            [send] = sends_of(bench.feed(JobSubmitted(job, 4000.0)))
            bench.finish(send, 0, Outcome.OK, load_report=(9.0 - other_slots * (job > 9), 0.0))
        fill_window(bench, 20)
        before = len(bench.log)
        for job in range(1001, 1201):
            bench.feed(JobSubmitted(job, 4000.0))
            fill_window(bench, 20)
            bench.now += 8.0
        rejected.append(sum(isinstance(action, RejectRequest) for action in bench.log[before:]))
    assert rejected[0] < 40 < 120 < rejected[1]


def test_without_load_reports_a_busy_dispatcher_does_not_reject_all_tenants() -> None:
    """Guards against a dispatcher, one of 40 with more than a fortieth of the traffic, that counted all its
    tenants as over quota and rejected twice as many jobs while workers joined."""
    tenants = (Tenant(0.5, 10.0), Tenant(0.5, 10.0))
    bench = Bench(settings(zone_count=1, tenants=tenants, scheduler_count=40), entries(9))
    for job in range(1, 200):
        fill_window(bench, 20)
        actions = bench.feed(JobSubmitted(job, 4000.0, tenant=job % 2))
        assert job < 20 or not any(
            isinstance(action, RejectRequest) for action in actions
        )  # too few jobs to compare shares


def test_a_tenant_without_a_quota_is_never_over_it() -> None:
    bench = Bench(settings(zone_count=1, tenants=(Tenant(0.5), Tenant(0.5))), entries(9))
    for job in range(1, 200):  # all jobs are the first tenant's: twice its share
        fill_window(bench, 20)
        assert not any(isinstance(action, RejectRequest) for action in bench.feed(JobSubmitted(job, 4000.0)))


def reserve_slots_in_zone(bench: Bench, zone: int, jobs: float) -> None:
    """Reserve slots on each worker of a zone, as jobs in flight do."""
    for worker in bench.dispatcher.workers.values():
        worker.reserved_slots += jobs * (worker.zone == zone)


def test_first_attempts_leave_a_full_zone_the_less_the_higher_the_cross_zone_cost() -> None:
    def cross_zone_count(cost: float, slots_in_use: float, no_capacity_count: int) -> int:
        bench = Bench(settings(own_zone=1, costs=Costs(cross_zone_cost=cost)), entries(8))
        reserve_slots_in_zone(bench, 1, slots_in_use)
        sends = []
        for job in range(1, 201):
            fill_window(bench, no_capacity_count)
            sends += serve_jobs(bench, 1, first=job)
        return sum(send.worker[3] % 2 == 0 for send in sends)

    assert cross_zone_count(0.1, 0, 0) == 0
    assert 0 < cross_zone_count(0.1, 0.15, 0) < cross_zone_count(0.02, 0.15, 0) / 2
    assert (
        cross_zone_count(0.1, 0, 12) == 0 < cross_zone_count(0.02, 0, 12)
    )  # without capacity, other zones come first where the cost is low


def test_a_zone_with_more_traffic_than_capacity_sends_jobs_to_other_zones() -> None:
    """Guards against long queues beside idle workers: nine in ten jobs stayed in a zone with three fifths of
    the traffic, and 30 jobs waited at one worker there, as only a rejection counted as lack of capacity."""
    config = settings(own_zone=1, zone_count=3, costs=Costs(cross_zone_cost=0.01, handshake_cost=0.02))
    bench = Bench(config, tuple(replace(entry, zone=index % 3) for index, entry in enumerate(entries(12))))
    counts = Counter(
        send.worker for job in range(1, 37) for send in sends_of(bench.feed(JobSubmitted(job, 4000.0)))
    )
    assert max(counts.values()) <= 5 and len(counts) >= 11


def test_without_start_reports_draws_follow_the_slots_that_own_jobs_leave_free() -> None:
    bench = Bench(settings(zone_count=1), entries(6))
    bench.dispatcher.workers[worker_id(1)].reserved_slots = 2.0
    counts = Counter(send.worker for send in serve_jobs(bench, 600))
    assert counts[worker_id(1)] < 10 and min(counts[worker_id(n)] for n in range(2, 7)) > 70


def test_without_start_reports_own_slots_are_released_at_each_outcome() -> None:
    bench = Bench(settings(zone_count=1), entries(6))
    for job, outcome in enumerate((Outcome.OK, Outcome.REJECTED, Outcome.ERROR, Outcome.TIMEOUT), 1):
        [send] = sends_of(bench.feed(JobSubmitted(job, 300.0, slots=2.0)))
        assert bench.dispatcher.workers[send.worker].reserved_slots == 2.0
        bench.finish(send, 0, outcome, answered=True)
        assert bench.dispatcher.workers[send.worker].reserved_slots == 0.0


def test_long_queues_without_rejections_count_as_no_capacity() -> None:
    """Guards against a no-capacity probability of 0 while long queues make seven in ten answers late."""
    config = settings(zone_count=1, report_fields=FIELDS)
    for slots_in_use, probability in ((0, 0.0), (4, 1.0)):
        bench = Bench(config, entries(9))
        serve_with_reports(bench, 5)
        reserve_slots_in_zone(bench, 0, slots_in_use)
        reserve_slots_in_zone(bench, 1, slots_in_use)
        serve_with_reports(bench, WINDOW_ATTEMPT_COUNT, first=100)
        assert no_capacity_probability(bench) == pytest.approx(
            probability, abs=0.1
        )  # few are admitted from 0.9 on


def serve_with_reports(bench: Bench, jobs: int, first: int = 1) -> None:
    for job in range(first, first + jobs):
        for send in sends_of(bench.feed(JobSubmitted(job, 4000.0))):
            bench.finish(send, 0, Outcome.OK, load_report=(4.0, 0.0))


@pytest.mark.parametrize(("elapsed_ms", "probability"), [(200.0, 0.0), (700.0, 1.0)])
def test_without_starts_and_reports_late_answers_count_as_no_capacity(
    elapsed_ms: float, probability: float
) -> None:
    cls = JobClass(
        latency_objective_ms=300.0,
        deadline_ms=5000.0,
        idempotency=Idempotency.IDEMPOTENT,
        latency_objective_per_work=2.0,
    )
    bench = Bench(settings(zone_count=1, classes=(cls,)), entries(9))
    for job in range(1, WINDOW_ATTEMPT_COUNT + 1):
        for send in sends_of(bench.feed(JobSubmitted(job, 4000.0, work=100.0))):
            bench.now += elapsed_ms
            bench.feed(AttemptFinished(job, 0, send.worker, Outcome.OK, elapsed_ms, True))
    assert no_capacity_probability(bench) == probability


def test_without_start_reports_a_worker_that_rejected_a_job_is_passed_over() -> None:
    bench = Bench(settings(zone_count=1, report_fields=FIELDS), entries(6))
    serve_with_reports(bench, 5)
    [send] = sends_of(bench.feed(JobSubmitted(50, 4000.0)))
    bench.finish(send, 0, Outcome.REJECTED)
    assert bench.dispatcher.window.rejected_fraction() > 0
    assert send.worker not in {later.worker for later in serve_jobs(bench, 20, first=60)}


def test_a_zone_with_few_workers_gets_no_more_than_its_part() -> None:
    # Two zones, and the local one has one worker in five: with all local traffic it would have 2.5 shares.
    workers = tuple(replace(entry, zone=0 if index else 1) for index, entry in enumerate(entries(5)))
    bench = Bench(settings(own_zone=1, costs=Costs(cross_zone_cost=0.1)), workers)
    counts = Counter(send.worker for send in serve_jobs(bench, 1000))
    assert 350 < counts[worker_id(1)] < 600


def test_a_slow_worker_still_gets_a_few_jobs() -> None:
    bench = Bench(settings(zone_count=1, workers_report_start=True), entries(4))
    counts: Counter[bytes] = Counter()
    for job in range(1, 401):
        for send in sends_of(bench.feed(JobSubmitted(job, 4000.0, work=10.0))):
            counts[send.worker] += 1
            bench.feed(AttemptProgressed(job, 0, send.worker, ProgressKind.STARTED))
            bench.now += 100.0 if send.worker == worker_id(1) else 10.0
            bench.finish(send, 0, Outcome.OK)
    assert 0 < counts[worker_id(1)] < 50


def test_jobs_of_much_work_go_to_workers_in_slow_start_less_often() -> None:
    slow_start = Guarantees(slow_start_ms=1e9, initial_capacity_fraction=0.5)
    workers = tuple(
        replace(entry, started_at_ms=990.0 if index == 0 else 0.0) for index, entry in enumerate(entries(5))
    )

    def slow_start_count(slots: float) -> int:
        bench = Bench(settings(zone_count=1, guarantees=slow_start), workers)
        statistics = bench.dispatcher.statistics
        statistics.mean_service_time_ms, statistics.mean_slot_time_ms = [100.0], 100.0
        return sum(
            send.worker == worker_id(1)
            for job in range(1, 1001)
            for send in sends_of(bench.feed(JobSubmitted(job, 4000.0, slots=slots)))
        )

    assert slow_start_count(4.0) < slow_start_count(1.0) / 2


def test_jobs_of_low_value_for_their_work_are_rejected_first() -> None:
    classes = (
        JobClass(300.0, 5000.0, priority_weight=1.0, idempotency=Idempotency.IDEMPOTENT),
        JobClass(300.0, 5000.0, priority_weight=9.0, idempotency=Idempotency.IDEMPOTENT),
    )
    bench = Bench(settings(zone_count=1, classes=classes), entries(9))
    statistics = bench.dispatcher.statistics
    statistics.mean_service_time_ms, statistics.mean_slot_time_ms = [100.0, 100.0], 100.0
    statistics.mean_value = 0.05
    rejected = [0, 0]
    for job in range(1, 401):
        fill_window(bench, 25)
        actions = bench.feed(JobSubmitted(job, 4000.0, job_class=job % 2))
        rejected[job % 2] += any(isinstance(action, RejectRequest) for action in actions)
    assert 50 < rejected[0] < 190 and rejected[1] == 0


def test_where_weights_count_by_work_a_long_job_has_no_lower_value() -> None:
    classes = (
        JobClass(300.0, 5000.0, idempotency=Idempotency.IDEMPOTENT),
        JobClass(300.0, 5000.0, idempotency=Idempotency.IDEMPOTENT),
    )
    rejected = {}
    for by_work in (False, True):
        bench = Bench(settings(zone_count=1, classes=classes, weight_by_work=by_work), entries(9))
        statistics = bench.dispatcher.statistics
        statistics.mean_service_time_ms, statistics.mean_slot_time_ms = [100.0, 900.0], 100.0
        statistics.mean_value = 1.0 if by_work else 0.01
        rejected[by_work] = 0
        for job in range(1, 201):
            fill_window(bench, 25)
            actions = bench.feed(JobSubmitted(job, 4000.0, job_class=1))
            rejected[by_work] += any(isinstance(action, RejectRequest) for action in actions)
    assert rejected[False] > 50 and rejected[True] == 0


def test_without_progress_reports_a_started_attempt_is_not_replaced() -> None:
    limits = Limits(may_cancel=True, max_attempts=4)
    bench = Bench(
        settings(zone_count=1, workers_report_start=True, progress_interval_ms=0.0, limits=limits), entries(9)
    )
    [first] = sends_of(bench.feed(JobSubmitted(1, 5000.0)))
    bench.feed(AttemptProgressed(1, 0, first.worker, ProgressKind.STARTED))
    bench.run(bench.now + 4000.0)
    assert CancelAttempt(1, 0) not in bench.log


def test_with_start_reports_late_answers_do_not_count_as_no_capacity() -> None:
    bench = Bench(settings(zone_count=1, workers_report_start=True), entries(9))
    for job in range(1, WINDOW_ATTEMPT_COUNT + 1):  # each start report was lost
        [send] = sends_of(bench.feed(JobSubmitted(job, 4000.0)))
        bench.feed(AttemptFinished(job, 0, send.worker, Outcome.OK, 2000.0, True))
    assert (
        len(bench.dispatcher.window.entries) == WINDOW_ATTEMPT_COUNT and no_capacity_probability(bench) == 0.0
    )


def test_an_attempt_whose_response_has_started_is_not_replaced() -> None:
    bench = Bench(settings(zone_count=1, workers_report_start=True, limits=SHORT_CONNECT_TIMEOUT), entries(9))
    [first] = sends_of(bench.feed(JobSubmitted(1, 500.0)))
    [second] = sends_of(bench.run(bench.now + 60.0))
    assert bench.feed(ResponseStarted(1, 1, second.worker, 5.0)) == [CancelAttempt(1, 0)]
    assert [action for action in bench.run(bench.now + 1000.0) if not isinstance(action, SetTimer)] == []
    bench.finish(first, 0, Outcome.CANCELLED)
    bench.finish(second, 1, Outcome.RESET, answered=True)
    assert bench.dispatcher.jobs == {}


def test_a_worker_that_fails_jobs_fast_gets_less_than_its_share_and_its_jobs_are_retried() -> None:
    """Guards against a worker that starts every job and fails it immediately. Its connection was idle again
    at once, so draws that prefer idle connections sent it twice its share, and each of its jobs was lost."""
    workers = tuple(replace(entry, zone=0) for entry in entries(6))
    bench = Bench(
        settings(zone_count=1, workers_report_start=True, costs=Costs(handshake_cost=0.12)), workers
    )
    failing_worker = worker_id(2)
    sent: Counter[WorkerIdType] = Counter()
    tries: Counter[int] = Counter()
    running: list[tuple[float, StartAttempt, int]] = []

    def perform(actions: list[object]) -> None:
        for send in [action for action in actions if isinstance(action, StartAttempt)]:
            attempt, tries[send.job_id] = tries[send.job_id], tries[send.job_id] + 1
            sent[send.worker] += 1
            perform(bench.feed(AttemptProgressed(send.job_id, attempt, send.worker, ProgressKind.STARTED)))
            if send.worker == failing_worker:
                perform(bench.finish(send, attempt, Outcome.ERROR, answered=False))
            else:
                running.append((bench.now + 250.0, send, attempt))

    for job in range(1, 601):
        perform(bench.feed(JobSubmitted(job, 4000.0)))
        for _ in range(4):
            perform(bench.run(bench.now + 5.0))
            for item in [item for item in running if item[0] <= bench.now]:
                running.remove(item)
                perform(bench.finish(item[1], item[2], Outcome.OK))
    lost = sum(isinstance(action, RejectRequest | FailRequest) for action in bench.log)
    assert sent[failing_worker] < 0.5 * sum(sent.values()) / len(workers)
    assert lost < 6
    assert bench.checker.faults == []


def eject_for_error_at_only_worker(bench: Bench) -> tuple[StartAttempt, StartAttempt]:
    """Send two jobs to the only worker, which fails the first; returns both attempts."""
    first, second = [sends_of(bench.feed(JobSubmitted(job, 4000.0)))[0] for job in (3, 4)]
    bench.finish(first, 0, Outcome.ERROR, answered=True)
    return first, second


@pytest.mark.parametrize("idempotency", [Idempotency.IDEMPOTENT, Idempotency.NON_IDEMPOTENT])
def test_an_ejection_for_an_error_is_not_ended_by_a_start_or_a_rejection(idempotency: Idempotency) -> None:
    """Guards against jobs that go back too soon to a worker that fails them: the start of another job there
    ended the ejection, and the rejection of another job replaced it by a shorter one."""
    started = Bench(settings(idempotency, zone_count=1, workers_report_start=True), entries(1))
    rejected = Bench(settings(idempotency, zone_count=1, workers_report_start=True), entries(1))
    [worker], [other] = [list(bench.dispatcher.workers.values()) for bench in (started, rejected)]
    _, second = eject_for_error_at_only_worker(started)
    started.feed(AttemptProgressed(4, 0, second.worker, ProgressKind.STARTED))
    _, second = eject_for_error_at_only_worker(rejected)
    rejected.finish(second, 0, Outcome.REJECTED)
    longest_for_a_rejection_ms = 1.5 * outlier_ejection.EJECTION_MS
    for bench, ejected in ((started, worker), (rejected, other)):
        assert outlier_ejection.is_ejected(ejected, bench.now + longest_for_a_rejection_ms)
    started.feed(EndpointsUpdated(UpdateKind.DELTA, 2, (replace(entries(1)[0], started_at_ms=started.now),)))
    assert not outlier_ejection.is_ejected(worker, started.now)  # a new process has failed no job


def test_a_worker_that_fails_jobs_fast_is_drawn_last_where_all_others_have_jobs() -> None:
    """Guards against a preference for a failing worker: with all drawn workers passed over, the least loaded
    was chosen, which ended each job immediately with an error. It got 14 of 127 jobs among ten workers, and
    each was lost."""
    cls = JobClass(300.0, 5000.0, idempotency=Idempotency.NON_IDEMPOTENT)
    bench, failing_worker = Bench(settings(zone_count=1, classes=(cls,)), entries(9)), worker_id(4)
    for worker in bench.dispatcher.workers.values():
        worker.reserved_slots = 0.0 if worker.id == failing_worker else 3.0
    drawn = Counter[WorkerIdType]()
    for job in range(1, 101):
        for send in sends_of(bench.feed(JobSubmitted(job, 4000.0))):
            drawn[send.worker] += 1
            failed = send.worker == failing_worker and drawn[failing_worker] % 2
            bench.finish(send, 0, Outcome.ERROR if failed else Outcome.OK)
        bench.now += 10.0
    assert drawn[failing_worker] < 2 * 100 / 9  # it fails every other job


def test_an_error_allows_an_attempt_only_where_equation_2_allows_none() -> None:
    """Guards against overload: attempts beyond Equation 2 filled 40 workers while a zone was missing."""
    limits = Limits(may_cancel=True, max_attempts=5)
    for no_capacity_attempts, attempts in (
        (0, 1 + 1),
        (9, 2),
    ):  # with 9 of 30, log(0.1) / log(0.3) is 2 attempts
        bench = Bench(settings(zone_count=1, workers_report_start=True, limits=limits), entries(9))
        fill_window(bench, no_capacity_attempts)
        sends = sends_of(bench.feed(JobSubmitted(1, 5000.0)))
        for outcome in (
            (Outcome.REJECTED, Outcome.ERROR) if no_capacity_attempts else (Outcome.ERROR, Outcome.REJECTED)
        ):
            if sends:
                bench.finish(sends[0], len(bench.sends) - 1, outcome)
                sends = sends_of(bench.run(bench.now + 200.0))
        assert len(bench.sends) == attempts
