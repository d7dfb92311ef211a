"""The rules that a dispatcher must keep, under random event sequences, and the checker that watches them."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import Bench, Checker, entries, settings, worker_id
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from pipitshed.scheduling.actions import CancelAttempt, FailRequest, RejectRequest, StartAttempt
from pipitshed.scheduling.events import (
    AttemptFinished,
    AttemptProgressed,
    EndpointState,
    EndpointsUpdated,
    JobSubmitted,
    JobWithdrawn,
    Outcome,
    ProgressKind,
    UpdateKind,
)
from pipitshed.scheduling.settings import DeduplicationScope, Idempotency, Limits

SETTINGS = [
    settings(
        idempotency,
        deduplication_scope,
        limits=Limits(may_cancel=cancellable, parallel_attempts=parallel, max_attempts=4),
        workers_report_start=reports_start,
        endpoints_polled=polled,
        progress_interval_ms=1000.0,
    )
    for idempotency, deduplication_scope in [
        (Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL),
        (Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ALL),
        (Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE),
        (Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL),
    ]
    for cancellable, parallel, reports_start, polled in [
        (True, True, True, True),
        (False, False, False, False),
        (True, False, True, False),
        (False, True, True, True),
    ]
]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["submit", "end", "note", "list", "wait", "withdraw", "stray"]),
        st.integers(0, 1 << 16),
    ),
    min_size=5,
    max_size=60,
)


def play(bench: Bench, steps: list[tuple[str, int]]) -> None:
    """Feed a bench random but legal events: each attempt ends once, at the job's deadline at the latest."""
    in_flight: dict[tuple[int, int], StartAttempt] = {}
    deadlines_ms: dict[int, float] = {}
    listed_entries = list(entries(9))
    collected_count = 0

    def finish_attempt(key: tuple[int, int], outcome: Outcome) -> None:
        send = in_flight.pop(key)
        was_answered = bench.checker.jobs[key[0]].answered
        bench.feed(
            AttemptFinished(key[0], key[1], send.worker, outcome, 1.0, was_answered or outcome is Outcome.OK)
        )
        collect_actions()

    def collect_actions() -> None:
        nonlocal collected_count
        for action in bench.log[collected_count:]:
            if isinstance(action, StartAttempt):
                attempt_index = len(
                    [
                        1
                        for a in bench.log[:collected_count]
                        if isinstance(a, StartAttempt) and a.job_id == action.job_id
                    ]
                )
                in_flight[action.job_id, attempt_index] = action
            elif isinstance(action, CancelAttempt):
                cancelled.append((action.job_id, action.attempt_index))
            collected_count += 1

    def advance_time(span_ms: float) -> None:
        stop_at = bench.now + span_ms
        while bench.now < stop_at:
            for key in [key for key in in_flight if deadlines_ms[key[0]] <= bench.now]:
                finish_attempt(key, Outcome.TIMEOUT)
            bench.run(bench.now + bench.config.tick_ms)
            collect_actions()
            while cancelled:
                key = cancelled.pop()
                if key in in_flight:
                    finish_attempt(key, Outcome.CANCELLED)

    cancelled: list[tuple[int, int]] = []
    job = 0
    for step, number in steps:
        if step == "submit":
            job += 1
            deadlines_ms[job] = bench.now + 200.0 + number % 4000
            bench.feed(JobSubmitted(job, deadlines_ms[job] - bench.now))
        elif step == "end" and in_flight:
            finish_attempt(list(in_flight)[number % len(in_flight)], list(Outcome)[number // 16 % 8])
        elif step == "note" and in_flight:
            key = list(in_flight)[number % len(in_flight)]
            bench.feed(
                AttemptProgressed(
                    *key,
                    in_flight[key].worker,
                    ProgressKind.STARTED if number % 2 else ProgressKind.PROGRESS,
                    0.5,
                )
            )
        elif step == "list":
            index = number % 9
            state = EndpointState(number // 16 % 3)
            listed_entries[index] = replace(listed_entries[index], state=state)
            snapshot_entries = tuple(
                entry for entry in listed_entries if entry.state is not EndpointState.REMOVED
            )
            updates = [
                EndpointsUpdated(UpdateKind.DELTA, number, (listed_entries[index],)),
                EndpointsUpdated(UpdateKind.SNAPSHOT, number, snapshot_entries),
                EndpointsUpdated(UpdateKind.FETCH_FAILED),
            ]
            bench.feed(updates[number // 64 % 3])
        elif step == "withdraw" and job:
            target = 1 + number % job
            bench.checker.jobs[target].answered = True
            bench.feed(JobWithdrawn(target))
        elif step == "stray":
            bench.feed(JobWithdrawn(10_000 + number), AttemptProgressed(20_000, 0, worker_id(1), 1))
            bench.dispatcher.handle(
                bench.now, [AttemptFinished(30_000, 3, worker_id(1), Outcome.OK, 1.0, True)]
            )
        collect_actions()
        advance_time(bench.config.tick_ms * (1 + number % 40))
    advance_time(6000.0)
    bench.checker.close(bench.now)


@pytest.mark.parametrize("config", SETTINGS)
@hypothesis_settings(max_examples=25, deadline=None, derandomize=True, database=None)
@given(steps=STEPS, seed=st.integers(0, 9))
def test_no_rule_is_broken(config: object, steps: list[tuple[str, int]], seed: int) -> None:
    bench = Bench(config, entries(9), seed)  # type: ignore[arg-type]
    play(bench, steps)
    assert bench.checker.faults == []


def checker_with(
    idempotency: Idempotency,
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL,
    parallel: bool = True,
) -> Checker:
    checker = Checker(
        settings(idempotency, deduplication_scope, limits=Limits(parallel_attempts=parallel, max_attempts=4))
    )
    checker.event(0.0, EndpointsUpdated(UpdateKind.SNAPSHOT, 1, entries(9)))
    checker.event(0.0, JobSubmitted(1, 1000.0))
    checker.action(0.0, StartAttempt(1, worker_id(1)))
    return checker


def test_the_checker_catches_violations() -> None:
    checker = checker_with(Idempotency.NON_IDEMPOTENT)
    checker.action(1.0, StartAttempt(1, worker_id(2)))
    checker.action(1.0, RejectRequest(1))
    checker.action(1.0, FailRequest(1))
    checker.action(2.0, StartAttempt(1, worker_id(2)))
    assert {
        "unsafe job repeated",
        "refused though it may have run",
        "answered twice",
        "sent after the end",
    } <= set(checker.faults)

    checker = checker_with(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE)
    checker.action(1.0, StartAttempt(1, worker_id(3)))
    assert checker.faults == []
    checker.action(1.0, StartAttempt(1, worker_id(2)))
    assert set(checker.faults) == {"keyed job repeated outside its group or window"}
    checker = checker_with(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL)
    checker.action(3500.0, StartAttempt(1, worker_id(2)))
    assert set(checker.faults) == {"keyed job repeated outside its group or window"}

    checker = checker_with(Idempotency.IDEMPOTENT, parallel=False)
    checker.action(1.0, StartAttempt(1, worker_id(2)))
    assert checker.faults == ["two attempts at once"]

    checker = checker_with(Idempotency.IDEMPOTENT)
    checker.event(
        10.0, EndpointsUpdated(UpdateKind.DELTA, 2, (replace(entries(9)[1], state=EndpointState.DRAINING),))
    )
    checker.action(100.0, StartAttempt(1, worker_id(2)))
    assert checker.faults == []
    checker.action(111.0, StartAttempt(1, worker_id(2)))
    checker.action(112.0, StartAttempt(1, worker_id(77)))
    checker.close(1021.0)
    checker.action(1030.0, FailRequest(1))
    assert checker.faults == [
        "sent to a drained worker",
        "sent to a worker never listed",
        "never answered",
        "answered late",
    ]
