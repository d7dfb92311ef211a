"""What has left the list is forgotten in time, and what is still owed is kept."""

from __future__ import annotations

import gc
from collections.abc import Iterable
from dataclasses import replace

import pytest
from helpers import Bench, entries, sends_of, settings, worker_id

from benchmarks.capacity.decisions import Scheduler
from pipitshed.scheduling.actions import StartAttempt
from pipitshed.scheduling.endpoint_list import FORGET_AFTER_MS
from pipitshed.scheduling.events import EndpointState, EndpointsUpdated, JobSubmitted, Outcome, UpdateKind
from pipitshed.scheduling.settings import DeduplicationScope, Guarantees, Idempotency, Limits
from pipitshed.scheduling.slow_start import is_warming_up
from pipitshed.scheduling.worker_state import Worker

ONE, TWO = worker_id(1), worker_id(2)
FIRST, SECOND, THIRD = entries(3, started_at_ms=500.0)
LONG = Limits(may_cancel=True, parallel_attempts=True, max_attempts=9)


def bench_of(
    effect: Idempotency = Idempotency.IDEMPOTENT, group: DeduplicationScope = DeduplicationScope.ALL
) -> Bench:
    config = settings(
        effect,
        group,
        limits=LONG,
        zone_count=1,
        guarantees=Guarantees(answer_slack_ms=20.0, slow_start_ms=9000.0),
    )
    cls = replace(config.classes[0], idempotency_window_ms=300_000.0, deadline_ms=300_000.0)
    bench = Bench(replace(config, classes=(cls,)))
    bench.now = 100_000.0
    tell(bench, FIRST)
    return bench


def tell(bench: Bench, *listed: object) -> list[StartAttempt]:
    return sends_of(bench.feed(EndpointsUpdated(UpdateKind.DELTA, 1, listed)))  # type: ignore[arg-type]


def gone(bench: Bench, wait: float = FORGET_AFTER_MS) -> None:
    """The first leaves the list, and so long after it there is other news."""
    tell(bench, replace(FIRST, state=EndpointState.REMOVED))
    bench.now += wait
    tell(bench, replace(THIRD, state=EndpointState.DRAINING))


def sent(bench: Bench) -> StartAttempt:
    [send] = sends_of(bench.feed(JobSubmitted(1, 250_000.0)))
    return send


def retried(bench: Bench) -> Iterable[StartAttempt]:
    return sends_of(bench.run(bench.now + 1000.0))


def test_replaced_planners_are_forgotten_with_all_that_held_them() -> None:
    scheduler = Scheduler(200)
    tables = scheduler.dispatcher.endpoints
    before = sum(isinstance(one, Worker) for one in gc.get_objects())
    for _ in range(3):
        for _ in range(433):
            scheduler.replace()
        scheduler.now += FORGET_AFTER_MS
        scheduler.replace()
    assert len(tables.workers) <= 202 and len(tables.departed_at_ms) <= 2
    assert all(len(tagged.members) <= 200 + 433 + 3 for tagged in tables.pools._groups.values())
    gc.collect()
    assert sum(isinstance(one, Worker) for one in gc.get_objects()) - before <= 2


def test_what_a_list_lacked_once_is_as_it_was() -> None:
    bench = bench_of()
    bench.finish(sent(bench), 0, Outcome.REJECTED)
    was = bench.dispatcher.workers[ONE]
    assert was.consecutive_rejections == 1
    gone(bench, FORGET_AFTER_MS - 1)
    tell(bench, FIRST)
    assert bench.dispatcher.workers[ONE] is was
    gone(bench, FORGET_AFTER_MS - 1)  # it was listed meanwhile: its time begins anew
    assert ONE in bench.dispatcher.workers


@pytest.mark.parametrize("state", (EndpointState.DRAINING, EndpointState.READY))
def test_what_is_listed_is_kept(state: EndpointState) -> None:
    bench = bench_of()
    gone(bench, 0.0)
    tell(bench, replace(FIRST, state=state))
    bench.now += 2 * FORGET_AFTER_MS
    tell(bench)
    assert ONE in bench.dispatcher.workers


def test_one_with_an_attempt_out_is_kept_until_that_ends() -> None:
    bench = bench_of()
    send = sent(bench)
    gone(bench)
    assert bench.dispatcher.workers[ONE].unstarted_count + bench.dispatcher.workers[ONE].reserved_slots == 1
    bench.finish(send, 0, Outcome.OK)
    bench.now += FORGET_AFTER_MS
    tell(bench)
    assert ONE not in bench.dispatcher.workers


def test_a_planners_own_word_of_when_to_come_back_holds_for_it() -> None:
    bench = bench_of()
    bench.finish(sent(bench), 0, Outcome.REJECTED, pushback_ms=2 * FORGET_AFTER_MS)
    gone(bench)
    assert bench.dispatcher.workers[ONE].ejected_until_ms > bench.now
    bench.now += 2 * FORGET_AFTER_MS
    tell(bench)
    assert ONE not in bench.dispatcher.workers


def test_a_job_goes_not_again_to_one_it_tried_that_was_forgotten_and_is_back() -> None:
    for _ in range(8):
        bench = bench_of()
        bench.finish(sent(bench), 0, Outcome.REJECTED)
        gone(bench)
        assert ONE not in bench.dispatcher.workers
        tell(bench, replace(FIRST, started_at_ms=600.0), SECOND)
        assert [send.worker for send in retried(bench)][:1] == [TWO]


def test_a_repeat_stays_in_the_zone_of_one_that_was_forgotten() -> None:
    bench = bench_of(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE)
    bench.finish(sent(bench), 0, Outcome.RESET)
    gone(bench)
    tell(bench, SECOND)
    assert ONE not in bench.dispatcher.workers and not retried(bench)
    tell(bench, replace(THIRD, state=EndpointState.READY))
    assert {send.worker for send in retried(bench)} == {THIRD.worker}


def test_one_that_was_forgotten_is_cold_from_its_new_start() -> None:
    bench = bench_of()
    gone(bench)
    tell(bench, replace(FIRST, started_at_ms=bench.now - 100.0))
    slow_start_ms = bench.config.guarantees.slow_start_ms
    assert is_warming_up(bench.dispatcher.workers[ONE], slow_start_ms, bench.dispatcher.now_ms)
