"""Workers that a list moves follow it; those that left it are removed in time, unless still needed."""

from __future__ import annotations

import gc
from collections.abc import Iterable
from dataclasses import replace

import pytest
from helpers import Bench, entries, sends_of, settings, worker_id

from benchmarks.capacity.decisions import Scheduler
from pipitshed.scheduling.actions import StartAttempt
from pipitshed.scheduling.endpoint_list import DEPARTED_RETENTION_MS
from pipitshed.scheduling.events import (
    UNKNOWN_CELL,
    UNKNOWN_ZONE,
    EndpointEntry,
    EndpointState,
    EndpointsUpdated,
    JobSubmitted,
    Outcome,
    UpdateKind,
)
from pipitshed.scheduling.settings import DeduplicationScope, Guarantees, Idempotency, Limits
from pipitshed.scheduling.slow_start import is_warming_up
from pipitshed.scheduling.worker_state import Worker

FIRST_ID, SECOND_ID = worker_id(1), worker_id(2)
FIRST, SECOND, THIRD = entries(3, started_at_ms=500.0)
NINE_ATTEMPTS = Limits(may_cancel=True, parallel_attempts=True, max_attempts=9)


def bench_of(
    idempotency: Idempotency = Idempotency.IDEMPOTENT,
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL,
) -> Bench:
    config = settings(
        idempotency,
        deduplication_scope,
        limits=NINE_ATTEMPTS,
        zone_count=1,
        guarantees=Guarantees(answer_slack_ms=20.0, slow_start_ms=9000.0),
    )
    job_class = replace(config.classes[0], idempotency_window_ms=300_000.0, deadline_ms=300_000.0)
    bench = Bench(replace(config, classes=(job_class,)))
    bench.now = 100_000.0
    update_list(bench, FIRST)
    return bench


def update_list(bench: Bench, *listed: object) -> list[StartAttempt]:
    return sends_of(bench.feed(EndpointsUpdated(UpdateKind.DELTA, 1, listed)))  # type: ignore[arg-type]


def remove_first_worker(bench: Bench, wait_ms: float = DEPARTED_RETENTION_MS) -> None:
    """Remove the first worker from the list, and send another update `wait_ms` later."""
    update_list(bench, replace(FIRST, state=EndpointState.REMOVED))
    bench.now += wait_ms
    update_list(bench, replace(THIRD, state=EndpointState.DRAINING))


def submit_job(bench: Bench) -> StartAttempt:
    [send] = sends_of(bench.feed(JobSubmitted(1, 250_000.0)))
    return send


def retries(bench: Bench) -> Iterable[StartAttempt]:
    return sends_of(bench.run(bench.now + 1000.0))


def test_replaced_workers_are_removed_with_all_references_to_them() -> None:
    scheduler = Scheduler(200)
    endpoint_list = scheduler.dispatcher.endpoints
    before = sum(isinstance(candidate, Worker) for candidate in gc.get_objects())
    for _ in range(3):
        for _ in range(433):
            scheduler.replace()
        scheduler.now += DEPARTED_RETENTION_MS
        scheduler.replace()
    assert len(endpoint_list.workers) <= 202 and len(endpoint_list.departed_at_ms) <= 2
    assert all(len(tag_group.members) <= 200 + 433 + 3 for tag_group in endpoint_list.pools._groups.values())
    gc.collect()
    assert sum(isinstance(candidate, Worker) for candidate in gc.get_objects()) - before <= 2


def test_a_worker_that_a_list_lacked_for_a_short_time_keeps_its_state() -> None:
    bench = bench_of()
    bench.finish(submit_job(bench), 0, Outcome.REJECTED)
    worker = bench.dispatcher.workers[FIRST_ID]
    assert worker.consecutive_rejections == 1
    remove_first_worker(bench, DEPARTED_RETENTION_MS - 1)
    update_list(bench, FIRST)
    assert bench.dispatcher.workers[FIRST_ID] is worker
    remove_first_worker(bench, DEPARTED_RETENTION_MS - 1)  # the list update restarted the time
    assert FIRST_ID in bench.dispatcher.workers


@pytest.mark.parametrize("state", (EndpointState.DRAINING, EndpointState.READY))
def test_a_listed_worker_is_kept(state: EndpointState) -> None:
    bench = bench_of()
    remove_first_worker(bench, 0.0)
    update_list(bench, replace(FIRST, state=state))
    bench.now += 2 * DEPARTED_RETENTION_MS
    update_list(bench)
    assert FIRST_ID in bench.dispatcher.workers


def test_a_worker_with_an_attempt_in_flight_is_kept_until_the_attempt_ends() -> None:
    bench = bench_of()
    send = submit_job(bench)
    remove_first_worker(bench)
    assert (
        bench.dispatcher.workers[FIRST_ID].unstarted_count + bench.dispatcher.workers[FIRST_ID].reserved_slots
        == 1
    )
    bench.finish(send, 0, Outcome.OK)
    bench.now += DEPARTED_RETENTION_MS
    update_list(bench)
    assert FIRST_ID not in bench.dispatcher.workers


def test_a_requested_ejection_outlasts_the_retention_time() -> None:
    bench = bench_of()
    bench.finish(submit_job(bench), 0, Outcome.REJECTED, pushback_ms=2 * DEPARTED_RETENTION_MS)
    remove_first_worker(bench)
    assert bench.dispatcher.workers[FIRST_ID].ejected_until_ms > bench.now
    bench.now += 2 * DEPARTED_RETENTION_MS
    update_list(bench)
    assert FIRST_ID not in bench.dispatcher.workers


def test_a_job_is_not_retried_at_a_worker_that_was_removed_and_listed_again() -> None:
    for _ in range(8):
        bench = bench_of()
        bench.finish(submit_job(bench), 0, Outcome.REJECTED)
        remove_first_worker(bench)
        assert FIRST_ID not in bench.dispatcher.workers
        update_list(bench, replace(FIRST, started_at_ms=600.0), SECOND)
        assert [send.worker for send in retries(bench)][:1] == [SECOND_ID]


def test_a_retry_stays_in_the_zone_of_a_removed_worker() -> None:
    bench = bench_of(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE)
    bench.finish(submit_job(bench), 0, Outcome.RESET)
    remove_first_worker(bench)
    update_list(bench, SECOND)
    assert FIRST_ID not in bench.dispatcher.workers and not retries(bench)
    update_list(bench, replace(THIRD, state=EndpointState.READY))
    assert {send.worker for send in retries(bench)} == {THIRD.worker}


def test_a_removed_worker_that_is_listed_again_is_in_slow_start() -> None:
    bench = bench_of()
    remove_first_worker(bench)
    update_list(bench, replace(FIRST, started_at_ms=bench.now - 100.0))
    slow_start_ms = bench.config.guarantees.slow_start_ms
    assert is_warming_up(bench.dispatcher.workers[FIRST_ID], slow_start_ms, bench.dispatcher.now_ms)


# ---- workers that a list moves

LOCATION_FIELDS = {DeduplicationScope.ZONE: "zone", DeduplicationScope.CELL: "cell"}


def located(entry: EndpointEntry, scope: DeduplicationScope, location: int) -> EndpointEntry:
    """The entry in this zone or cell, whichever the scope counts by."""
    return replace(entry, **{LOCATION_FIELDS[scope]: location})  # type: ignore[arg-type]


@pytest.mark.parametrize("scope", LOCATION_FIELDS)
def test_a_keyed_retry_does_not_follow_a_worker_to_another_location(scope: DeduplicationScope) -> None:
    """Guards against a worker's zone and cell that stay those of its first entry: a booking was repeated in
    another data centre, which had not seen its key."""
    bench = bench_of(Idempotency.IDEMPOTENT_WITH_KEY, scope)
    update_list(bench, located(FIRST, scope, 5))
    job = submit_job(bench)
    update_list(bench, located(SECOND, scope, 5))
    update_list(bench, replace(located(SECOND, scope, 6), started_at_ms=600.0))
    bench.finish(job, 0, Outcome.RESET)
    update_list(bench, located(FIRST, scope, 6))
    assert not retries(bench)
    update_list(bench, located(THIRD, scope, 5))
    assert {send.worker for send in retries(bench)} == {THIRD.worker}
    assert not bench.checker.faults


@pytest.mark.parametrize("scope", LOCATION_FIELDS)
def test_a_keyed_retry_stays_where_its_worker_was_at_the_dispatch(scope: DeduplicationScope) -> None:
    """Guards against a retry in the zone or cell to which the first attempt's worker has moved since."""
    bench = bench_of(Idempotency.IDEMPOTENT_WITH_KEY, scope)
    update_list(bench, located(FIRST, scope, 5))
    job = submit_job(bench)
    update_list(bench, located(FIRST, scope, 6), located(SECOND, scope, 6))
    bench.finish(job, 0, Outcome.RESET)
    assert not retries(bench)
    update_list(bench, located(THIRD, scope, 5))
    assert {send.worker for send in retries(bench)} == {THIRD.worker}
    assert not bench.checker.faults


def test_a_worker_whose_kind_changes_gets_the_jobs_of_its_new_kind() -> None:
    """Guards against a worker's kind that stays that of its first entry."""
    bench = bench_of()
    [job_class] = bench.config.classes
    bench.dispatcher.apply_settings(replace(bench.config, classes=(replace(job_class, worker_kind=2),)))
    update_list(bench, FIRST, replace(SECOND, worker_kind=2))
    update_list(bench, replace(FIRST, worker_kind=2), SECOND)
    sends = [sends_of(bench.feed(JobSubmitted(number, 250_000.0)))[0] for number in range(1, 9)]
    assert {send.worker for send in sends} == {FIRST_ID}


def test_a_worker_that_moves_leaves_nothing_in_its_old_pools() -> None:
    """Guards against a move that leaves a member, or an empty group, behind."""
    bench = bench_of()
    endpoint_list = bench.dispatcher.endpoints
    for zone in range(9):
        update_list(bench, replace(FIRST, zone=zone, cell=zone))
    assert endpoint_list.pools._groups.keys() == {None, ("zone", 8), ("cell", 8)}
    assert all(len(group.members) == 1 for group in endpoint_list.pools._groups.values())


@pytest.mark.parametrize("zone_count", (1, 2))
def test_a_keyed_job_at_a_worker_of_unknown_zone_is_repeated_only_where_there_is_one_zone(
    zone_count: int,
) -> None:
    """Guards against a zone of all workers that name none, also of those listed before new settings had
    a second zone."""
    bench = bench_of(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE)
    update_list(bench, replace(FIRST, zone=UNKNOWN_ZONE))
    job = submit_job(bench)
    update_list(bench, replace(SECOND, zone=UNKNOWN_ZONE))
    bench.dispatcher.apply_settings(replace(bench.config, zone_count=zone_count))
    bench.finish(job, 0, Outcome.RESET)
    assert bool(retries(bench)) is (zone_count == 1)


def test_a_keyed_job_at_a_worker_of_unknown_cell_is_repeated_at_no_other_worker() -> None:
    """Guards against a cell of all workers whose cell is not known, and against one that takes in cell 0."""
    bench = bench_of(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL)
    update_list(bench, replace(FIRST, cell=UNKNOWN_CELL))
    job = submit_job(bench)
    update_list(bench, replace(SECOND, cell=UNKNOWN_CELL), replace(THIRD, cell=0))
    bench.finish(job, 0, Outcome.RESET)
    assert {send.worker for send in retries(bench)} == {FIRST_ID}


def test_a_keyed_job_is_not_repeated_at_a_worker_of_unknown_cell() -> None:
    """Guards against a worker of unknown cell that gets the jobs lost in a known one."""
    bench = bench_of(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL)
    update_list(bench, replace(FIRST, cell=0))
    job = submit_job(bench)
    update_list(bench, replace(FIRST, state=EndpointState.REMOVED), replace(SECOND, cell=UNKNOWN_CELL))
    bench.finish(job, 0, Outcome.RESET)
    assert not retries(bench)
    update_list(bench, replace(SECOND, cell=0))
    assert {send.worker for send in retries(bench)} == {SECOND_ID}


def test_a_cell_that_becomes_known_after_the_dispatch_is_not_that_of_the_dispatch() -> None:
    """Guards against a repeat in the cell that a worker names later, as it may have been in another one."""
    bench = bench_of(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL)
    update_list(bench, replace(FIRST, cell=UNKNOWN_CELL))
    job = submit_job(bench)
    update_list(bench, replace(FIRST, cell=2), replace(SECOND, cell=2))
    bench.finish(job, 0, Outcome.RESET)
    assert not retries(bench)
