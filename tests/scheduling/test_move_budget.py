"""Moves of jobs that have not started: a budget for each scheduler, and what becomes of a job without a move.

Guards against a fleet that collapses a little above its usual load: workers run a job that was cancelled as
it waited, so that each move added a job to queues whose length was the reason for the moves.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import Bench, entries, sends_of, settings

from pipitshed.scheduling.actions import (
    AnswerReason,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    StartAttempt,
)
from pipitshed.scheduling.capacity_estimate import WINDOW_ATTEMPT_COUNT, new_attempt_window
from pipitshed.scheduling.events import AttemptProgressed, JobSubmitted, Outcome, ProgressKind
from pipitshed.scheduling.move_budget import MAX_SAVED_MOVES, MOVES_PER_START, MoveBudget
from pipitshed.scheduling.settings import DeduplicationScope, Idempotency, Limits

DEADLINE_MS = 4000.0
START_TIMEOUT_MS = 30.0  # a tenth of the objective
OBJECTIVE_MS = 300.0
REPLACING = Limits(may_cancel=True, max_attempts=4, connect_timeout_ms=10.0)
ADDING = replace(REPLACING, parallel_attempts=True)


def bench_with(limits: Limits = REPLACING, **changes: object) -> Bench:
    return Bench(settings(zone_count=1, workers_report_start=True, limits=limits, **changes), entries(9))


def submit(bench: Bench, *jobs: int) -> list[StartAttempt]:
    """Submit jobs that no worker starts, unless `start` is called."""
    return [send for job in jobs for send in sends_of(bench.feed(JobSubmitted(job, DEADLINE_MS)))]


def start(bench: Bench, *sends: StartAttempt) -> None:
    """The first attempts of these jobs start."""
    for send in sends:
        bench.feed(AttemptProgressed(send.job_id, 0, send.worker, ProgressKind.STARTED))


def moves(bench: Bench) -> int:
    """The moves so far: attempts that were replaced, or that were added to others."""
    if bench.config.limits.parallel_attempts:
        return len(bench.sends) - len({send.job_id for _, send in bench.sends})
    return sum(isinstance(action, CancelAttempt) for action in bench.log)


def fill_window(bench: Bench, late_count: int = WINDOW_ATTEMPT_COUNT) -> None:
    """Fill the window of attempts, first with those that did not start in time."""
    for number in range(WINDOW_ATTEMPT_COUNT):
        bench.dispatcher.window.add(bench.now, number < late_count)


def empty_budget(bench: Bench) -> None:
    """Take all moves; the window must be filled with late starts."""
    while bench.dispatcher.move_budget.try_take(bench.now):
        pass


def test_a_budget_gives_one_move_for_ten_starts_and_saves_a_few() -> None:
    window = new_attempt_window()
    for _ in range(WINDOW_ATTEMPT_COUNT):
        window.add(0.0, no_capacity=True)
    budget = MoveBudget(window)
    assert [budget.try_take(0.0) for _ in range(int(MAX_SAVED_MOVES) + 1)] == [True, True, True, False]
    for _ in range(round(1 / MOVES_PER_START) + 1):
        assert not budget.try_take(0.0)
        budget.record_start()
    assert budget.try_take(0.0) and not budget.try_take(0.0)
    for _ in range(1000):
        budget.record_start()
    assert [budget.try_take(0.0) for _ in range(4)] == [True, True, True, False]


@pytest.mark.parametrize("limits", [REPLACING, ADDING], ids=["replace", "add"])
def test_jobs_that_do_not_start_are_moved_within_the_budget(limits: Limits) -> None:
    bench = bench_with(limits)
    fill_window(bench)
    submit(bench, *range(20))
    bench.run(bench.now + OBJECTIVE_MS / 2)
    assert moves(bench) == MAX_SAVED_MOVES
    assert bench.checker.faults == []


@pytest.mark.parametrize("limits", [REPLACING, ADDING], ids=["replace", "add"])
def test_a_worker_that_hangs_is_left_at_the_start_timeout_where_others_start_in_time(limits: Limits) -> None:
    """One job in ten hangs. Each is moved as early as without a budget."""
    bench = bench_with(limits)
    for first_job in range(0, 20, 10):
        start(bench, *submit(bench, *range(first_job, first_job + 9)))
        [hanging] = submit(bench, first_job + 9)
        before, sent_at = moves(bench), bench.now
        while moves(bench) == before:
            bench.run(bench.now + bench.config.tick_ms)
            assert bench.now <= sent_at + START_TIMEOUT_MS + bench.config.tick_ms
        if limits is REPLACING:
            bench.finish(hanging, 0, Outcome.CANCELLED)
        while bench.sends[-1][1].job_id != hanging.job_id or bench.sends[-1][1] is hanging:
            bench.run(bench.now + bench.config.tick_ms)
        moved = bench.sends[-1][1]
        bench.feed(AttemptProgressed(moved.job_id, 1, moved.worker, ProgressKind.STARTED))
    assert bench.checker.faults == []


@pytest.mark.parametrize("limits", [REPLACING, ADDING], ids=["replace", "add"])
def test_moves_need_no_budget_while_few_attempts_start_late(limits: Limits) -> None:
    """A worker that vanishes takes more jobs at once than the budget has moves."""
    bench = bench_with(limits)
    fill_window(bench, late_count=4)
    submit(bench, *range(5))
    bench.run(bench.now + 2 * START_TIMEOUT_MS)
    assert moves(bench) == 5


def test_a_job_without_a_move_stays_and_is_moved_once_others_have_started() -> None:
    bench = bench_with()
    fill_window(bench, late_count=12)
    sends = submit(bench, *range(15))
    bench.run(bench.now + 2 * START_TIMEOUT_MS)
    assert moves(bench) == MAX_SAVED_MOVES
    cancelled = {action.job_id for action in bench.log if isinstance(action, CancelAttempt)}
    waiting = [send for send in sends if send.job_id not in cancelled]
    start(bench, *waiting[: round(1 / MOVES_PER_START) + 1])
    bench.run(bench.now + OBJECTIVE_MS + 2 * START_TIMEOUT_MS)
    assert moves(bench) == MAX_SAVED_MOVES + 1
    assert not any(isinstance(action, RejectRequest) for action in bench.log)


def test_a_late_job_without_a_move_is_given_up_where_workers_are_busy() -> None:
    """Like a job that was moved: its next attempt would take capacity from jobs that are in time."""
    bench = bench_with()
    sends = submit(bench, *range(8))
    fill_window(bench)
    empty_budget(bench)
    began_at = bench.now
    bench.run(began_at + OBJECTIVE_MS)
    assert not any(isinstance(action, RejectRequest) for action in bench.log)
    bench.run(began_at + OBJECTIVE_MS + 2 * START_TIMEOUT_MS)
    rejected = [action for action in bench.log if isinstance(action, RejectRequest)]
    assert {action.job_id for action in rejected} == set(range(8))
    assert {action.reason for action in rejected} == {AnswerReason.OBJECTIVE_MISSED}
    for job, send in enumerate(sends):
        assert CancelAttempt(job, 0) in bench.log
        bench.finish(send, 0, Outcome.CANCELLED)
    assert bench.checker.faults == [] and not bench.dispatcher.jobs


@pytest.mark.parametrize(
    "limits", [ADDING, replace(REPLACING, may_cancel=False)], ids=["side by side", "not cancelled"]
)
def test_a_late_job_without_a_move_keeps_its_attempts_where_none_is_replaced(limits: Limits) -> None:
    """Attempts side by side keep their places in the queues, as do those that may not be cancelled."""
    bench = bench_with(limits)
    submit(bench, *range(8))
    fill_window(bench)
    empty_budget(bench)
    bench.run(bench.now + OBJECTIVE_MS + 4 * START_TIMEOUT_MS)
    assert not any(isinstance(action, CancelAttempt | RejectRequest) for action in bench.log)


def test_a_late_job_whose_client_must_not_send_it_again_waits_on() -> None:
    """Its first attempt was reset, so that only the scheduler may repeat it, within its cell."""
    keyed = {"effect": Idempotency.IDEMPOTENT_WITH_KEY, "group": DeduplicationScope.CELL}
    bench = bench_with(**keyed)
    [first] = submit(bench, 1)
    bench.finish(first, 0, Outcome.RESET)
    while len(bench.sends) < 2:
        bench.run(bench.now + bench.config.tick_ms)
    fill_window(bench)
    empty_budget(bench)
    bench.run(bench.now + OBJECTIVE_MS + 4 * START_TIMEOUT_MS)
    assert not any(isinstance(action, FailRequest | RejectRequest | CancelAttempt) for action in bench.log)
