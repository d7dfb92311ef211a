"""The four rules under random event sequences, watched by a checker that is shown to catch violations."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import Bench, Checker, entries, settings, worker_id
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from pipitshed.scheduling.actions import Cancel, Fail, Refuse, Send
from pipitshed.scheduling.events import (
    Finished,
    ListKind,
    ListNews,
    Note,
    NoteKind,
    Outcome,
    State,
    Submitted,
    Withdrawn,
)
from pipitshed.scheduling.settings import Effect, Group, Limits

CONFIGS = [
    settings(
        effect,
        group,
        limits=Limits(cancel=cancel, parallel=parallel, max_attempts=4),
        tells_start=tells,
        list_on_request=ask,
        progress=1000.0,
    )
    for effect, group in [
        (Effect.SAFE, Group.ALL),
        (Effect.UNSAFE, Group.ALL),
        (Effect.KEYED, Group.ALL),
        (Effect.KEYED, Group.ZONE),
        (Effect.KEYED, Group.CELL),
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
    out: dict[tuple[int, int], Send] = {}
    left: dict[int, float] = {}
    listed = list(entries(9))
    seen = 0

    def end(key: tuple[int, int], outcome: Outcome) -> None:
        send = out.pop(key)
        was = bench.checker.jobs[key[0]].answered
        bench.feed(Finished(key[0], key[1], send.worker, outcome, 1.0, was or outcome is Outcome.OK))
        collect()

    def collect() -> None:
        nonlocal seen
        for action in bench.log[seen:]:
            if isinstance(action, Send):
                number = len([1 for a in bench.log[:seen] if isinstance(a, Send) and a.job == action.job])
                out[action.job, number] = action
            elif isinstance(action, Cancel):
                cancelled.append((action.job, action.attempt))
            seen += 1

    def pass_time(span: float) -> None:
        stop = bench.now + span
        while bench.now < stop:
            for key in [key for key in out if left[key[0]] <= bench.now]:
                end(key, Outcome.TIMEOUT)
            bench.run(bench.now + bench.config.tick)
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
            bench.feed(Submitted(job, left[job] - bench.now))
        elif kind == "end" and out:
            end(list(out)[pick % len(out)], list(Outcome)[pick // 16 % 8])
        elif kind == "note" and out:
            key = list(out)[pick % len(out)]
            bench.feed(Note(*key, out[key].worker, NoteKind.STARTED if pick % 2 else NoteKind.PROGRESS, 0.5))
        elif kind == "list":
            place = pick % 9
            state = State(pick // 16 % 3)
            listed[place] = replace(listed[place], state=state)
            whole = tuple(entry for entry in listed if entry.state is not State.GONE)
            news = [
                ListNews(ListKind.DELTA, pick, (listed[place],)),
                ListNews(ListKind.FULL, pick, whole),
                ListNews(ListKind.FAILED),
            ]
            bench.feed(news[pick // 64 % 3])
        elif kind == "withdraw" and job:
            target = 1 + pick % job
            bench.checker.jobs[target].answered = True
            bench.feed(Withdrawn(target))
        elif kind == "stray":
            bench.feed(Withdrawn(10_000 + pick), Note(20_000, 0, worker_id(1), 1))
            bench.dispatcher.handle(bench.now, [Finished(30_000, 3, worker_id(1), Outcome.OK, 1.0, True)])
        collect()
        pass_time(bench.config.tick * (1 + pick % 40))
    pass_time(6000.0)
    bench.checker.close(bench.now)


@pytest.mark.parametrize("config", CONFIGS)
@hypothesis_settings(max_examples=25, deadline=None, derandomize=True, database=None)
@given(steps=STEPS, seed=st.integers(0, 9))
def test_no_rule_is_broken(config: object, steps: list[tuple[str, int]], seed: int) -> None:
    bench = Bench(config, entries(9), seed)  # type: ignore[arg-type]
    play(bench, steps)
    assert bench.checker.faults == []


def checker_with(effect: Effect, group: Group = Group.ALL, parallel: bool = True) -> Checker:
    checker = Checker(settings(effect, group, limits=Limits(parallel=parallel, max_attempts=4)))
    checker.event(0.0, ListNews(ListKind.FULL, 1, entries(9)))
    checker.event(0.0, Submitted(1, 1000.0))
    checker.action(0.0, Send(1, worker_id(1)))
    return checker


def test_the_checker_catches_planted_violations() -> None:
    checker = checker_with(Effect.UNSAFE)
    checker.action(1.0, Send(1, worker_id(2)))
    checker.action(1.0, Refuse(1))
    checker.action(1.0, Fail(1))
    checker.action(2.0, Send(1, worker_id(2)))
    assert {
        "unsafe job repeated",
        "refused though it may have run",
        "answered twice",
        "sent after the end",
    } <= set(checker.faults)

    checker = checker_with(Effect.KEYED, Group.ZONE)
    checker.action(1.0, Send(1, worker_id(3)))
    assert checker.faults == []
    checker.action(1.0, Send(1, worker_id(2)))
    assert set(checker.faults) == {"keyed job repeated outside its group or window"}
    checker = checker_with(Effect.KEYED, Group.CELL)
    checker.action(3500.0, Send(1, worker_id(2)))
    assert set(checker.faults) == {"keyed job repeated outside its group or window"}

    checker = checker_with(Effect.SAFE, parallel=False)
    checker.action(1.0, Send(1, worker_id(2)))
    assert checker.faults == ["two attempts at once"]

    checker = checker_with(Effect.SAFE)
    checker.event(10.0, ListNews(ListKind.DELTA, 2, (replace(entries(9)[1], state=State.DRAINING),)))
    checker.action(100.0, Send(1, worker_id(2)))
    assert checker.faults == []
    checker.action(111.0, Send(1, worker_id(2)))
    checker.action(112.0, Send(1, worker_id(77)))
    checker.close(1021.0)
    checker.action(1030.0, Fail(1))
    assert checker.faults == [
        "sent to a drained worker",
        "sent to a worker never listed",
        "never answered",
        "answered late",
    ]
