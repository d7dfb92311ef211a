"""Property tests over generated settings: a scheduler starts, answers and stops, and violates no rule."""

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

# Hypothesis derives the seed from the source of a test function: renaming the test, its parameters or names
# in its body draws other deployments.
REPRODUCIBLE = settings(
    derandomize=True,
    database=None,
    deadline=None,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)


MAX_DRAIN_WAIT_MS = 100.0


class Fleet:
    """Simulated workers that end attempts after random times, and send the reports that the settings
    enable."""

    def __init__(self, config: Settings, zones: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.config = config
        self.entries = tuple(
            EndpointEntry(worker_id(n), zone=n % zones, cell=n // 3, weight=1.0 + n % 2) for n in range(1, 9)
        )
        self.bench = Bench(config, self.entries, seed)
        self.scheduled: list[tuple[float, int, Event]] = []
        self.event_numbers = count()
        self.attempts: dict[int, list[StartAttempt]] = {}
        self.ended_attempts: set[tuple[int, int]] = set()
        self.settled: set[int] = set()

    def schedule(self, delay_ms: float, event: Event) -> None:
        heappush(self.scheduled, (self.bench.now + delay_ms, next(self.event_numbers), event))

    def carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, StartAttempt):
                starts = self.attempts.setdefault(action.job_id, [])
                starts.append(action)
                assert len(starts) <= self.config.limits.max_attempts
                self._attempt(action, len(starts) - 1)
            elif isinstance(action, CancelAttempt):
                assert self.config.limits.may_cancel
                start = self.attempts[action.job_id][action.attempt_index]
                self.schedule(0.5, self._finished(start, action.attempt_index, Outcome.CANCELLED, 1.0))

    def _attempt(self, start: StartAttempt, attempt: int) -> None:
        """Schedule the end of an attempt: most succeed; a few are rejected, fail, are reset or time out."""
        job_record = self.bench.checker.jobs[start.job_id]
        duration_ms = self.rng.expovariate(1 / 150.0)
        if self.config.workers_report_start and self.rng.random() < 0.9:
            self.schedule(
                duration_ms * 0.3,
                AttemptProgressed(start.job_id, attempt, start.worker, ProgressKind.STARTED),
            )
            self.schedule(
                duration_ms * 0.6,
                AttemptProgressed(start.job_id, attempt, start.worker, ProgressKind.PROGRESS, 0.5),
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
        remaining_ms = max(0.0, job_record.deadline - self.bench.now)
        if outcome is Outcome.TIMEOUT or duration_ms >= remaining_ms:
            outcome, duration_ms = Outcome.TIMEOUT, remaining_ms
        self.schedule(duration_ms, self._finished(start, attempt, outcome, duration_ms))

    def _finished(
        self, start: StartAttempt, attempt: int, outcome: Outcome, duration_ms: float
    ) -> AttemptFinished:
        report = tuple(self.rng.uniform(0, 6) for _ in self.config.report_fields)
        return AttemptFinished(
            start.job_id,
            attempt,
            start.worker,
            outcome,
            duration_ms,
            outcome is Outcome.OK,
            report if outcome in (Outcome.OK, Outcome.REJECTED) else (),
        )

    def _current(self, event: Event) -> Event | None:
        """Return the event as it is at this time: an attempt ends once, and a job has one answer."""
        if isinstance(event, AttemptProgressed):
            return None if (event.job_id, event.attempt_index) in self.ended_attempts else event
        if isinstance(event, AttemptFinished):
            if (event.job_id, event.attempt_index) in self.ended_attempts:
                return None
            self.ended_attempts.add((event.job_id, event.attempt_index))
            if self.bench.checker.jobs[event.job_id].answered and event.outcome is Outcome.OK:
                return AttemptFinished(
                    event.job_id, event.attempt_index, event.worker, Outcome.OK, event.elapsed_ms, True
                )
        return event

    def play(self, until_ms: float) -> None:
        bench = self.bench
        while bench.now < until_ms:
            self.carry_out(bench.run(bench.now + self.config.tick_ms))
            while self.scheduled and self.scheduled[0][0] <= bench.now:
                event = self._current(heappop(self.scheduled)[2])
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


def _planner_behaviour(raw_settings: dict[str, Any]) -> Any:
    """Make a planner that reports starts, progress and load where the settings enable them."""

    def act(run: Run) -> None:
        load = {}
        if raw_settings["stats"]["source"] == "inline" and raw_settings["stats"]["fields"]:
            load = {"load": {name: 2.0 for name in raw_settings["stats"]["fields"]}}
        if raw_settings["familyInfo"]["tellsStart"]:
            run.send_event("started")
        if raw_settings["familyInfo"]["progress"]:
            run.send_event("running", share=0.5)
        run.send_event("done", result=f"plan of {run.body.decode()}", **load)

    return act


async def _calm(raw_settings: dict[str, Any]) -> None:
    """Run a scheduler with planners that do not fail, and drain one planner half way."""
    kinds, areas = raw_settings["shapes"], raw_settings["areas"] * 2
    planners = [
        Planner(f"s-{index:08x}", zone, _planner_behaviour(raw_settings), kinds[index % len(kinds)])
        for index, zone in enumerate(areas)
    ]
    async with contextlib.AsyncExitStack() as stack:
        for planner in planners:
            await stack.enter_async_context(planner)
        catalog = await stack.enter_async_context(Catalog(*planners))
        running = await stack.enter_async_context(program(*planners, catalog=catalog, settings=raw_settings))
        client = await HttpClient.to(running.port)

        async def send_job(number: str) -> None:
            service = raw_settings["services"][zlib.crc32(number.encode()) % len(raw_settings["services"])]
            tenant = {"X_Tenant": raw_settings["tenants"][0]["name"]} if raw_settings["tenants"] else {}
            client.ask(
                number,
                service["name"],
                f"body {number}".encode(),
                Idempotency_Key=f"k{number}",
                X_Deadline=f"{service['deadline'] / 1000:.3f}",
                X_Cost_Hint="120000",
                X_Extras="slots=1",
                **tenant,
            )
            status, _, body = await client.answer()
            assert (status, body) == (200, f"plan of body {number}".encode())

        for number in range(12):
            await send_job(f"before-{number}")
        writer = await catalog.watches.get()  # the program watches the list, pushed or not
        drained = planners[0]
        catalog.tell(writer, False, [drained.line("draining")])
        # The scheduler applies the update at once, so a long drain grace period need not pass.
        await asyncio.sleep(min(raw_settings["rules"]["drainGrace"], MAX_DRAIN_WAIT_MS) / 1000)
        run_count = len(drained.runs)
        for number in range(12):
            await send_job(f"after-{number}")
        assert len(drained.runs) == run_count or len(planners) == 1
        assert sum(len(planner.runs) for planner in planners) == 24  # no job needed a second attempt


@settings(parent=REPRODUCIBLE, max_examples=6)
@given(deployments())
def test_a_scheduler_starts_answers_and_stops_in_each_deployment(told: dict[str, Any]) -> None:
    asyncio.run(asyncio.wait_for(_calm(told), TEST_TIMEOUT_S))
