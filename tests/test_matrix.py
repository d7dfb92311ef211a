"""Deployments drawn from all that may be told: a scheduler starts, answers, stops, and breaks no rule."""

from __future__ import annotations

import asyncio
import contextlib
import random
import zlib
from heapq import heappop, heappush
from itertools import count
from typing import Any

from deployments import deployments
from helpers import Bench, worker_id
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from loopback import TEST_TIMEOUT_S, Catalog, HttpClient, Planner, Run, program

from pipitshed.config.settings_parser import settings_from
from pipitshed.scheduling.actions import Action, CancelAttempt, StartAttempt
from pipitshed.scheduling.events import (
    AttemptFinished,
    AttemptProgressed,
    EndpointEntry,
    EndpointState,
    EndpointsUpdated,
    Event,
    JobSubmitted,
    Outcome,
    ProgressKind,
    UpdateKind,
)
from pipitshed.scheduling.settings import Settings

REPRODUCIBLE = settings(
    derandomize=True,
    database=None,
    deadline=None,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)


SHORTEST_GRACE = 100.0  # ms


class Fleet:
    """Workers that end each attempt in their own time, and tell what the settings say they tell."""

    def __init__(self, config: Settings, zones: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.config = config
        self.entries = tuple(
            EndpointEntry(worker_id(n), zone=n % zones, cell=n // 3, weight=1.0 + n % 2) for n in range(1, 9)
        )
        self.bench = Bench(config, self.entries, seed)
        self.due: list[tuple[float, int, Event]] = []
        self.numbers = count()
        self.attempts: dict[int, list[StartAttempt]] = {}
        self.over: set[tuple[int, int]] = set()
        self.settled: set[int] = set()

    def at(self, after: float, event: Event) -> None:
        heappush(self.due, (self.bench.now + after, next(self.numbers), event))

    def carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, StartAttempt):
                sends = self.attempts.setdefault(action.job_id, [])
                sends.append(action)
                assert len(sends) <= self.config.limits.max_attempts
                self._attempt(action, len(sends) - 1)
            elif isinstance(action, CancelAttempt):
                assert self.config.limits.may_cancel
                send = self.attempts[action.job_id][action.attempt_index]
                self.at(0.5, self._finished(send, action.attempt_index, Outcome.CANCELLED, 1.0))

    def _attempt(self, send: StartAttempt, attempt: int) -> None:
        """Most are served; a few are turned away, fail, break, or are never heard of again."""
        held = self.bench.checker.jobs[send.job_id]
        took = self.rng.expovariate(1 / 150.0)
        if self.config.workers_report_start and self.rng.random() < 0.9:
            self.at(took * 0.3, AttemptProgressed(send.job_id, attempt, send.worker, ProgressKind.STARTED))
            self.at(
                took * 0.6, AttemptProgressed(send.job_id, attempt, send.worker, ProgressKind.PROGRESS, 0.5)
            )
        outcome = self.rng.choices(
            (
                Outcome.OK,
                Outcome.REJECTED,
                Outcome.ERROR,
                Outcome.RESET,
                Outcome.CONNECT_FAILED,
                Outcome.TIMEOUT,
            ),
            (70, 12, 5, 5, 4, 4),
        )[0]
        left = max(0.0, held.deadline - self.bench.now)
        if outcome is Outcome.TIMEOUT or took >= left:
            outcome, took = Outcome.TIMEOUT, left
        self.at(took, self._finished(send, attempt, outcome, took))

    def _finished(self, send: StartAttempt, attempt: int, outcome: Outcome, took: float) -> AttemptFinished:
        report = tuple(self.rng.uniform(0, 6) for _ in self.config.report_fields)
        return AttemptFinished(
            send.job_id,
            attempt,
            send.worker,
            outcome,
            took,
            outcome is Outcome.OK,
            report if outcome in (Outcome.OK, Outcome.REJECTED) else (),
        )

    def _still(self, event: Event) -> Event | None:
        """What becomes of an event by now: an attempt ends once, and one answer settles a job."""
        if isinstance(event, AttemptProgressed):
            return None if (event.job_id, event.attempt_index) in self.over else event
        if isinstance(event, AttemptFinished):
            if (event.job_id, event.attempt_index) in self.over:
                return None
            self.over.add((event.job_id, event.attempt_index))
            if self.bench.checker.jobs[event.job_id].answered and event.outcome is Outcome.OK:
                return AttemptFinished(
                    event.job_id, event.attempt_index, event.worker, Outcome.OK, event.elapsed_ms, True
                )
        return event

    def play(self, until: float) -> None:
        bench = self.bench
        while bench.now < until:
            self.carry_out(bench.run(bench.now + self.config.tick_ms))
            while self.due and self.due[0][0] <= bench.now:
                event = self._still(heappop(self.due)[2])
                if event is not None:
                    self.carry_out(bench.feed(event))


@REPRODUCIBLE
@given(deployments(longest=3000.0), st.integers(0, 2**32))
def test_no_deployment_breaks_a_rule_of_the_decisions(told: dict[str, Any], seed: int) -> None:
    config = settings_from(told)
    fleet = Fleet(config, len(told["areas"]), seed)
    rng = random.Random(seed)
    for job in range(1, 61):
        number = rng.randrange(len(config.classes))
        fleet.carry_out(
            fleet.bench.feed(
                JobSubmitted(
                    job,
                    config.classes[number].deadline_ms,
                    number,
                    rng.randrange(max(1, len(config.tenants))),
                    slots=rng.choice((1.0, 1.0, 2.0)),
                    work=rng.choice((None, 120.0)),
                    affinity_key=rng.randrange(2**63),
                )
            )
        )
        fleet.play(fleet.bench.now + rng.expovariate(1 / 40.0))
        if job in (25, 40):
            entry = fleet.entries[job // 20]
            left = EndpointEntry(
                entry.worker,
                entry.zone,
                entry.cell,
                state=EndpointState.DRAINING if job == 25 else EndpointState.REMOVED,
            )
            fleet.carry_out(fleet.bench.feed(EndpointsUpdated(UpdateKind.DELTA, job, (left,))))
    fleet.play(fleet.bench.now + 3000.0 + config.guarantees.answer_slack_ms + 2 * config.tick_ms)
    fleet.bench.checker.close(fleet.bench.now)
    assert fleet.bench.checker.faults == []
    assert all(held.answered for held in fleet.bench.checker.jobs.values())
    assert not fleet.bench.dispatcher.waiting


def _serve(told: dict[str, Any]) -> Any:
    """A planner that tells of starts, progress and its load where the settings say so."""

    def act(run: Run) -> None:
        load = {}
        if told["stats"]["source"] == "inline" and told["stats"]["fields"]:
            load = {"load": {name: 2.0 for name in told["stats"]["fields"]}}
        if told["familyInfo"]["tellsStart"]:
            run.send_event("started")
        if told["familyInfo"]["progress"]:
            run.send_event("running", share=0.5)
        run.send_event("done", result=f"plan of {run.body.decode()}", **load)

    return act


async def _calm(told: dict[str, Any]) -> None:
    kinds, areas = told["shapes"], told["areas"] * 2
    planners = [
        Planner(f"s-{place:08x}", zone, _serve(told), kinds[place % len(kinds)])
        for place, zone in enumerate(areas)
    ]
    async with contextlib.AsyncExitStack() as stack:
        for planner in planners:
            await stack.enter_async_context(planner)
        catalog = await stack.enter_async_context(Catalog(*planners))
        running = await stack.enter_async_context(program(*planners, catalog=catalog, settings=told))
        client = await HttpClient.to(running.port)

        async def ask(number: str) -> None:
            one = told["services"][zlib.crc32(number.encode()) % len(told["services"])]
            tenant = {"X_Tenant": told["tenants"][0]["name"]} if told["tenants"] else {}
            client.ask(
                number,
                one["name"],
                f"body {number}".encode(),
                Idempotency_Key=f"k{number}",
                X_Deadline=f"{one['deadline'] / 1000:.3f}",
                X_Cost_Hint="120000",
                X_Extras="slots=1",
                **tenant,
            )
            status, _, body = await client.answer()
            assert (status, body) == (200, f"plan of body {number}".encode())

        for number in range(12):
            await ask(f"before-{number}")
        writer = await catalog.watches.get()  # the program asks for the list, pushed or not
        drained = planners[0]
        catalog.tell(writer, False, [drained.line("draining")])
        # However long the grace is told to be, the news counts at once: no test has to wait for it.
        await asyncio.sleep(min(told["rules"]["drainGrace"], SHORTEST_GRACE) / 1000)
        had = len(drained.runs)
        for number in range(12):
            await ask(f"after-{number}")
        assert len(drained.runs) == had or len(planners) == 1
        assert sum(len(planner.runs) for planner in planners) == 24  # one attempt each in a calm story


@settings(parent=REPRODUCIBLE, max_examples=6)
@given(deployments())
def test_a_scheduler_starts_answers_and_stops_in_each_deployment(told: dict[str, Any]) -> None:
    asyncio.run(asyncio.wait_for(_calm(told), TEST_TIMEOUT_S))
