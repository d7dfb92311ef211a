"""A fleet in virtual time: the program's own decisions, before planners that have slots and no queue."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from pipitshed.scheduling.actions import CancelAttempt, FailRequest, RejectRequest, SetTimer, StartAttempt
from pipitshed.scheduling.dispatcher import Dispatcher
from pipitshed.scheduling.events import (
    AttemptFinished,
    AttemptProgressed,
    EndpointEntry,
    EndpointsUpdated,
    Event,
    JobSubmitted,
    Outcome,
    ProgressKind,
    TimerFired,
    UpdateKind,
)
from pipitshed.scheduling.settings import Guarantees, Idempotency, JobClass, Limits, Settings

TRIP = 1.0  # ms from a scheduler to a planner, and back
ZONES = 7
SLOTS = 6  # of a planner: 29,000 tasks on 4,600 planners are 6.3
TASK_MS = 29_000 / 280 * 1000  # of a slot's time that a task takes on average, as 280 start a second
URGENT_MS = 2700.0
ORDINARY, URGENT = 0, 1


def settings(siblings: int) -> Settings:
    """Two classes: ordinary tasks, and urgent ones, whose aim and worth are all that says so."""
    limits = Limits(may_cancel=True, clients_honour_retry_after=True, max_attempts=5)
    return Settings(
        classes=(
            JobClass(
                latency_objective_ms=27_000.0,
                deadline_ms=600_000.0,
                priority_weight=5.0,
                idempotency=Idempotency.IDEMPOTENT,
            ),
            JobClass(
                latency_objective_ms=URGENT_MS,
                deadline_ms=600_000.0,
                priority_weight=50.0,
                idempotency=Idempotency.IDEMPOTENT,
                priority=9,
            ),
        ),
        limits=limits,
        guarantees=Guarantees(),
        tick_ms=2.0,
        scheduler_count=siblings,
        workers_report_start=True,
        zone_count=ZONES,
    )


@dataclass
class ModelRequest:
    """One request, from its client's first word to its start."""

    job_class: int
    at: float
    done: Callable[[ModelRequest], None]
    scheduler: int = 0
    duration_ms: float = 0.0
    started: float | None = None
    ended: float | None = None
    wait: float = 0.0  # ms that the refusal asked for
    refusals: int = 0
    sends: int = 0


@dataclass
class Planner:
    """Slots, and who holds them: (scheduler, job)."""

    held: set[tuple[int, int]] = field(default_factory=set)
    other: int = 0  # slots of tasks that no scheduler here holds

    @property
    def taken(self) -> int:
        return len(self.held) + self.other


class Fleet:
    """Schedulers and planners, with one clock."""

    def __init__(self, planners: int, schedulers: int, seed: int) -> None:
        self.now = 1_000_000.0
        self.rng = random.Random(seed)
        self.planners = [Planner() for _ in range(planners)]
        self.schedulers = [
            Dispatcher(settings(schedulers), seed * 1000 + number) for number in range(schedulers)
        ]
        self.asked: dict[tuple[int, int], ModelRequest] = {}
        self.sends: dict[tuple[int, int], int] = {}
        self._numbers = self._order = 0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        rows = tuple(EndpointEntry(b"%d" % number, zone=number % ZONES) for number in range(planners))
        for number in range(schedulers):
            self._tell(number, EndpointsUpdated(UpdateKind.SNAPSHOT, 1, rows))

    def fill(self, share: float, stays: bool) -> None:
        """Take this share of all slots, evenly drawn, with tasks that end one after the other; where the
        share `stays`, another begins for each, anywhere that has room."""
        places = [planner for planner in self.planners for _ in range(SLOTS)]
        for planner in self.rng.sample(places, round(share * len(places))):
            self._other(planner, stays)

    def _other(self, planner: Planner, stays: bool) -> None:
        planner.other += 1

        def ended() -> None:
            planner.other -= 1
            if stays:
                self._other(self._with_room(), True)

        self.call_later(self.rng.expovariate(1 / TASK_MS), ended)

    def _with_room(self) -> Planner:
        while True:
            planner = self.rng.choice(self.planners)
            if planner.taken < SLOTS and self.rng.random() * SLOTS < SLOTS - planner.taken:
                return planner

    def call_later(self, wait: float, call: Callable[[], None]) -> None:
        """Do this after so many ms."""
        self._order += 1
        heapq.heappush(self._due, (self.now + wait, self._order, call))

    def run(self, until: float) -> None:
        """Play up to this time (ms)."""
        while self._due and self._due[0][0] <= until:
            self.now, _, call = heapq.heappop(self._due)
            call()
        self.now = until

    def submit(self, asked: ModelRequest) -> None:
        """A client asks a scheduler; `asked.done` hears of a refusal or of the start."""
        self._numbers += 1
        self.asked[asked.scheduler, self._numbers] = asked
        deadline = 600_000.0
        self._tell(asked.scheduler, JobSubmitted(self._numbers, deadline, asked.job_class))

    def busy(self) -> float:
        """The share of all slots that are taken."""
        taken = sum(planner.taken for planner in self.planners)
        return taken / (SLOTS * len(self.planners))

    def _tell(self, scheduler: int, event: Event) -> None:
        for action in self.schedulers[scheduler].handle(self.now, [event]):
            if isinstance(action, SetTimer):
                self.call_later(action.delay_ms, partial(self._tell, scheduler, TimerFired(action.token)))
            elif isinstance(action, StartAttempt):
                key = scheduler, action.job_id
                number = self.sends[key] = self.sends.get(key, -1) + 1
                self.asked[key].sends += 1
                self.call_later(TRIP, partial(self._comes, scheduler, action, number))
            elif isinstance(action, RejectRequest | FailRequest):
                self._refused(scheduler, action)
            elif isinstance(action, CancelAttempt):
                raise RuntimeError("a planner here tells at once whether it has room: nothing is called off")

    def _refused(self, scheduler: int, action: RejectRequest | FailRequest) -> None:
        asked = self.asked.pop((scheduler, action.job_id))
        asked.refusals += 1
        asked.ended = self.now
        asked.wait = action.retry_after_ms if isinstance(action, RejectRequest) else 0.0
        asked.done(asked)

    def _comes(self, scheduler: int, send: StartAttempt, number: int) -> None:
        planner, key, begun = self.planners[int(send.worker)], (scheduler, send.job_id), self.now
        if planner.taken >= SLOTS:
            self.call_later(
                TRIP,
                partial(
                    self._tell,
                    scheduler,
                    AttemptFinished(send.job_id, number, send.worker, Outcome.REJECTED, 2 * TRIP, False),
                ),
            )
            return
        asked = self.asked[key]
        planner.held.add(key)
        asked.started = self.now
        asked.done(asked)
        self.call_later(
            TRIP,
            partial(
                self._tell,
                scheduler,
                AttemptProgressed(send.job_id, number, send.worker, ProgressKind.STARTED),
            ),
        )

        def end() -> None:
            planner.held.discard(key)
            self.asked.pop(key)
            self._tell(
                scheduler,
                AttemptFinished(send.job_id, number, send.worker, Outcome.OK, self.now - begun, True),
            )

        self.call_later(max(2 * TRIP, asked.duration_ms), end)
