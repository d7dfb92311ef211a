"""A test harness that drives a dispatcher, and a checker of the rules that a dispatcher must keep."""

from __future__ import annotations

from dataclasses import dataclass, field

from pipitshed.scheduling.actions import Action, FailRequest, RejectRequest, SetTimer, StartAttempt
from pipitshed.scheduling.dispatcher import Dispatcher
from pipitshed.scheduling.events import (
    AttemptFinished,
    EndpointEntry,
    EndpointState,
    EndpointsUpdated,
    Event,
    JobSubmitted,
    Outcome,
    TimerFired,
    UpdateKind,
    WorkerId,
)
from pipitshed.scheduling.settings import (
    DeduplicationScope,
    Guarantees,
    Idempotency,
    JobClass,
    Limits,
    Settings,
)

NOT_EXECUTED = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.SUPERSEDED)


def worker_id(number: int) -> WorkerId:
    return bytes([10, 0, 0, number, 0, 1])


def entries(count: int, **changes: object) -> tuple[EndpointEntry, ...]:
    """Worker entries in two zones, in cells of three."""
    return tuple(
        EndpointEntry(worker_id(n), zone=n % 2, cell=n // 3, **changes)  # type: ignore[arg-type]
        for n in range(1, count + 1)
    )


def settings(
    effect: Idempotency = Idempotency.IDEMPOTENT,
    group: DeduplicationScope = DeduplicationScope.ALL,
    **changes: object,
) -> Settings:
    cls = JobClass(
        latency_objective_ms=300.0,
        deadline_ms=5000.0,
        idempotency=effect,
        deduplication_scope=group,
        idempotency_window_ms=3000.0,
    )
    base: dict[str, object] = {
        "classes": (cls,),
        "limits": Limits(may_cancel=True, parallel_attempts=True, max_attempts=4),
        "guarantees": Guarantees(answer_slack_ms=20.0, drain_grace_ms=100.0),
        "tick_ms": 5.0,
        "zone_count": 2,
    }
    return Settings(**(base | changes))  # type: ignore[arg-type]


@dataclass
class TrackedJob:
    """The checker's record of a job."""

    deadline: float
    cls: JobClass
    sends: list[tuple[float, EndpointEntry | None]] = field(default_factory=list)  # as listed at the send
    outcomes: dict[int, Outcome] = field(default_factory=dict)
    answered: bool = False


class Checker:
    """Checks one dispatcher's events and actions; `faults` names each broken rule."""

    def __init__(self, config: Settings) -> None:
        self.config = config
        self.jobs: dict[int, TrackedJob] = {}
        self.listed: dict[WorkerId, EndpointEntry] = {}
        self.stop_at: dict[WorkerId, float] = {}
        self.faults: list[str] = []

    def event(self, now: float, event: Event) -> None:
        if isinstance(event, JobSubmitted):
            self.jobs[event.job_id] = TrackedJob(
                now + event.remaining_ms, self.config.classes[event.job_class]
            )
        elif isinstance(event, AttemptFinished):
            tracked = self.jobs[event.job_id]
            tracked.outcomes[event.attempt_index] = event.outcome
            tracked.answered = tracked.answered or event.answered
        elif isinstance(event, EndpointsUpdated) and event.kind is not UpdateKind.FETCH_FAILED:
            listed = {entry.worker: entry for entry in event.entries}
            for worker in set(self.listed) - set(listed) if event.kind is not UpdateKind.DELTA else ():
                self.stop_at.setdefault(worker, now)
            for worker, entry in listed.items():
                self.listed[worker] = entry
                if entry.state is EndpointState.READY:
                    self.stop_at.pop(worker, None)
                else:
                    self.stop_at.setdefault(worker, now)

    def action(self, now: float, action: Action) -> None:
        if isinstance(action, StartAttempt):
            self._send(now, self.jobs[action.job_id], action.worker)
        elif isinstance(action, RejectRequest):
            tracked = self.jobs[action.job_id]
            self._answer(now, tracked)
            ran = self._may_have_run(tracked)
            if ran and (
                tracked.cls.idempotency is Idempotency.NON_IDEMPOTENT
                or (
                    tracked.cls.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
                    and tracked.cls.deduplication_scope is not DeduplicationScope.ALL
                )
            ):
                self.faults.append("refused though it may have run")
        elif isinstance(action, FailRequest):
            self._answer(now, self.jobs[action.job_id])

    def _may_have_run(self, tracked: TrackedJob) -> list[tuple[float, EndpointEntry | None]]:
        return [
            sent
            for index, sent in enumerate(tracked.sends)
            if tracked.outcomes.get(index) not in NOT_EXECUTED
        ]

    def _answer(self, now: float, tracked: TrackedJob) -> None:
        if tracked.answered:
            self.faults.append("answered twice")
        tracked.answered = True
        if now > tracked.deadline + self.config.guarantees.answer_slack_ms:
            self.faults.append("answered late")

    def _send(self, now: float, tracked: TrackedJob, worker: WorkerId) -> None:
        if tracked.answered:
            self.faults.append("sent after the end")
        if worker not in self.listed:
            self.faults.append("sent to a worker never listed")
        elif now > self.stop_at.get(worker, now) + self.config.guarantees.drain_grace_ms:
            self.faults.append("sent to a drained worker")
        if not self.config.limits.parallel_attempts and len(tracked.outcomes) < len(tracked.sends):
            self.faults.append("two attempts at once")
        new = self.listed.get(worker)
        for sent_at, old in self._may_have_run(tracked):
            if tracked.cls.idempotency is Idempotency.NON_IDEMPOTENT:
                self.faults.append("unsafe job repeated")
            elif tracked.cls.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
                assert old is not None and new is not None
                inside = {
                    DeduplicationScope.ALL: True,
                    DeduplicationScope.ZONE: old.zone == new.zone,
                    DeduplicationScope.CELL: old.cell == new.cell,
                }
                if (
                    not inside[tracked.cls.deduplication_scope]
                    or now > sent_at + tracked.cls.idempotency_window_ms
                ):
                    self.faults.append("keyed job repeated outside its group or window")
        tracked.sends.append((now, new))

    def close(self, now: float) -> None:
        for tracked in self.jobs.values():
            if not tracked.answered and now > tracked.deadline + self.config.guarantees.answer_slack_ms:
                self.faults.append("never answered")


class Bench:
    """Drives one dispatcher with a simulated clock (ms), its timers, and the checker."""

    def __init__(self, config: Settings, workers: tuple[EndpointEntry, ...] = (), seed: int = 1) -> None:
        self.config = config
        self.dispatcher = Dispatcher(config, seed)
        self.checker = Checker(config)
        self.now = 1000.0
        self.timers: list[tuple[float, int]] = []
        self.sends: list[tuple[float, StartAttempt]] = []
        self.log: list[Action] = []
        if workers:
            self.feed(EndpointsUpdated(UpdateKind.CACHED, 1, workers))

    def feed(self, *events: Event) -> list[Action]:
        for event in events:
            self.checker.event(self.now, event)
        actions = self.dispatcher.handle(self.now, events)
        for action in actions:
            self.checker.action(self.now, action)
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay_ms, action.token))
            elif isinstance(action, StartAttempt):
                self.sends.append((self.now, action))
        self.log += actions
        return actions

    def run(self, until: float) -> list[Action]:
        """Advance the clock tick by tick, and fire the timers that are due."""
        done: list[Action] = []
        while self.now < until:
            self.now += self.config.tick_ms
            due = [timer for timer in self.timers if timer[0] <= self.now]
            self.timers = [timer for timer in self.timers if timer[0] > self.now]
            if due:
                done += self.feed(*(TimerFired(token) for _, token in sorted(due)))
        return done

    def finish(self, send: StartAttempt, attempt: int, outcome: Outcome, **changes: object) -> list[Action]:
        answered = bool(changes.pop("answered", outcome is Outcome.OK))
        return self.feed(
            AttemptFinished(send.job_id, attempt, send.worker, outcome, 1.0, answered, **changes)  # type: ignore[arg-type]
        )


def sends_of(actions: list[Action]) -> list[StartAttempt]:
    return [action for action in actions if isinstance(action, StartAttempt)]
