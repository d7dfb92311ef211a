"""The four rules under random event sequences, watched by a checker that is shown to catch violations."""

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

CONFIGS = [
    settings(
        effect,
        group,
        limits=Limits(may_cancel=cancel, parallel_attempts=parallel, max_attempts=4),
        workers_report_start=tells,
        endpoints_polled=ask,
        progress_interval_ms=1000.0,
    )
    for effect, group in [
        (Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
        (Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL),
        (Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ALL),
        (Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE),
        (Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL),
    ]
    for cancel, parallel, tells, ask in [
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
    """Random but legal traffic: every attempt ends once, time-outs come by the deadline."""
    out: dict[tuple[int, int], StartAttempt] = {}
    left: dict[int, float] = {}
    listed = list(entries(9))
    seen = 0

    def end(key: tuple[int, int], outcome: Outcome) -> None:
        send = out.pop(key)
        was = bench.checker.jobs[key[0]].answered
        bench.feed(AttemptFinished(key[0], key[1], send.worker, outcome, 1.0, was or outcome is Outcome.OK))
        collect()

    def collect() -> None:
        nonlocal seen
        for action in bench.log[seen:]:
            if isinstance(action, StartAttempt):
                number = len(
                    [1 for a in bench.log[:seen] if isinstance(a, StartAttempt) and a.job_id == action.job_id]
                )
                out[action.job_id, number] = action
            elif isinstance(action, CancelAttempt):
                cancelled.append((action.job_id, action.attempt_index))
            seen += 1

    def pass_time(span: float) -> None:
        stop = bench.now + span
        while bench.now < stop:
            for key in [key for key in out if left[key[0]] <= bench.now]:
                end(key, Outcome.TIMEOUT)
            bench.run(bench.now + bench.config.tick_ms)
            collect()
            while cancelled:
                key = cancelled.pop()
                if key in out:
                    end(key, Outcome.CANCELLED)

    cancelled: list[tuple[int, int]] = []
    job = 0
    for kind, pick in steps:
        if kind == "submit":
            job += 1
            left[job] = bench.now + 200.0 + pick % 4000
            bench.feed(JobSubmitted(job, left[job] - bench.now))
        elif kind == "end" and out:
            end(list(out)[pick % len(out)], list(Outcome)[pick // 16 % 8])
        elif kind == "note" and out:
            key = list(out)[pick % len(out)]
            bench.feed(
                AttemptProgressed(
                    *key, out[key].worker, ProgressKind.STARTED if pick % 2 else ProgressKind.PROGRESS, 0.5
                )
            )
        elif kind == "list":
            place = pick % 9
            state = EndpointState(pick // 16 % 3)
            listed[place] = replace(listed[place], state=state)
            whole = tuple(entry for entry in listed if entry.state is not EndpointState.REMOVED)
            news = [
                EndpointsUpdated(UpdateKind.DELTA, pick, (listed[place],)),
                EndpointsUpdated(UpdateKind.SNAPSHOT, pick, whole),
                EndpointsUpdated(UpdateKind.FETCH_FAILED),
            ]
            bench.feed(news[pick // 64 % 3])
        elif kind == "withdraw" and job:
            target = 1 + pick % job
            bench.checker.jobs[target].answered = True
            bench.feed(JobWithdrawn(target))
        elif kind == "stray":
            bench.feed(JobWithdrawn(10_000 + pick), AttemptProgressed(20_000, 0, worker_id(1), 1))
            bench.dispatcher.handle(
                bench.now, [AttemptFinished(30_000, 3, worker_id(1), Outcome.OK, 1.0, True)]
            )
        collect()
        pass_time(bench.config.tick_ms * (1 + pick % 40))
    pass_time(6000.0)
    bench.checker.close(bench.now)


@pytest.mark.parametrize("config", CONFIGS)
@hypothesis_settings(max_examples=25, deadline=None, derandomize=True, database=None)
@given(steps=STEPS, seed=st.integers(0, 9))
def test_no_rule_is_broken(config: object, steps: list[tuple[str, int]], seed: int) -> None:
    bench = Bench(config, entries(9), seed)  # type: ignore[arg-type]
    play(bench, steps)
    assert bench.checker.faults == []


def checker_with(
    effect: Idempotency, group: DeduplicationScope = DeduplicationScope.ALL, parallel: bool = True
) -> Checker:
    checker = Checker(settings(effect, group, limits=Limits(parallel_attempts=parallel, max_attempts=4)))
    checker.event(0.0, EndpointsUpdated(UpdateKind.SNAPSHOT, 1, entries(9)))
    checker.event(0.0, JobSubmitted(1, 1000.0))
    checker.action(0.0, StartAttempt(1, worker_id(1)))
    return checker


def test_the_checker_catches_planted_violations() -> None:
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
