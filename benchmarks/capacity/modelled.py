"""A fleet in virtual time: the program's own dispatchers, and modelled planners with slots and no queue."""

from __future__ import annotations

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
from pipitshed.testbed.virtual_time import VirtualTime

START_MS = 1_000_000.0  # of the virtual clock
TRIP_MS = 1.0  # one way between scheduler and planner
ZONES = 7
SLOTS_PER_PLANNER = 6  # 29,000 tasks on 4,600 planners are 6.3 each
MEAN_TASK_MS = 29_000 / 280 * 1000  # 29,000 run while 280 start a second
URGENT_MS = 2700.0
ORDINARY, URGENT = 0, 1


def settings(schedulers: int) -> Settings:
    """Two classes: ordinary tasks, and urgent ones with a shorter latency objective and a higher priority."""
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
        scheduler_count=schedulers,
        workers_report_start=True,
        zone_count=ZONES,
    )


@dataclass
class ModelRequest:
    """One request of a client, from its submission to its start."""

    job_class: int
    submitted_at: float
    on_outcome: Callable[[ModelRequest], None]
    scheduler: int = 0
    duration_ms: float = 0.0
    started: float | None = None
    ended: float | None = None  # when it was refused
    retry_wait_ms: float = 0.0  # that the rejection asked for
    refusals: int = 0
    sends: int = 0


@dataclass
class Planner:
    """The jobs that hold slots, as (scheduler, job id), and the slots of background tasks."""

    jobs: set[tuple[int, int]] = field(default_factory=set)
    background_tasks: int = 0  # started by no scheduler of the model

    @property
    def taken(self) -> int:
        return len(self.jobs) + self.background_tasks


class Fleet:
    """Schedulers and planners with one simulated clock in ms."""

    def __init__(self, planners: int, schedulers: int, seed: int) -> None:
        self.time = VirtualTime(START_MS)
        self.rng = random.Random(seed)
        self.planners = [Planner() for _ in range(planners)]
        self.schedulers = [
            Dispatcher(settings(schedulers), seed * 1000 + number) for number in range(schedulers)
        ]
        self.requests: dict[tuple[int, int], ModelRequest] = {}
        self.sends: dict[tuple[int, int], int] = {}
        self._last_job_id = 0
        entries = tuple(EndpointEntry(b"%d" % number, zone=number % ZONES) for number in range(planners))
        for number in range(schedulers):
            self._handle(number, EndpointsUpdated(UpdateKind.SNAPSHOT, 1, entries))

    def fill(self, share: float, refill: bool) -> None:
        """Fill this share of all slots, drawn at random, with background tasks of exponential duration. With
        `refill`, each task that ends is replaced by one on a planner with a free slot."""
        slots = [planner for planner in self.planners for _ in range(SLOTS_PER_PLANNER)]
        for planner in self.rng.sample(slots, round(share * len(slots))):
            self._start_background_task(planner, refill)

    def _start_background_task(self, planner: Planner, refill: bool) -> None:
        planner.background_tasks += 1

        def ended() -> None:
            planner.background_tasks -= 1
            if refill:
                self._start_background_task(self._planner_with_free_slot(), True)

        self.time.call_later(self.rng.expovariate(1 / MEAN_TASK_MS), ended)

    def _planner_with_free_slot(self) -> Planner:
        while True:
            planner = self.rng.choice(self.planners)
            if (
                planner.taken < SLOTS_PER_PLANNER
                and self.rng.random() * SLOTS_PER_PLANNER < SLOTS_PER_PLANNER - planner.taken
            ):
                return planner

    def submit(self, request: ModelRequest) -> None:
        """Submit a request; `request.on_outcome` is called when it is refused or started."""
        self._last_job_id += 1
        self.requests[request.scheduler, self._last_job_id] = request
        deadline = 600_000.0
        self._handle(request.scheduler, JobSubmitted(self._last_job_id, deadline, request.job_class))

    def busy_share(self) -> float:
        """The share of all slots that are in use."""
        taken = sum(planner.taken for planner in self.planners)
        return taken / (SLOTS_PER_PLANNER * len(self.planners))

    def _handle(self, scheduler: int, event: Event) -> None:
        for action in self.schedulers[scheduler].handle(self.time.now_ms, [event]):
            if isinstance(action, SetTimer):
                self.time.call_later(
                    action.delay_ms, partial(self._handle, scheduler, TimerFired(action.token))
                )
            elif isinstance(action, StartAttempt):
                key = scheduler, action.job_id
                attempt_number = self.sends[key] = self.sends.get(key, -1) + 1
                self.requests[key].sends += 1
                self.time.call_later(TRIP_MS, partial(self._arrive, scheduler, action, attempt_number))
            elif isinstance(action, RejectRequest | FailRequest):
                self._refuse(scheduler, action)
            elif isinstance(action, CancelAttempt):
                raise RuntimeError(
                    "a modelled planner accepts or rejects at once, so no attempt should be cancelled"
                )

    def _refuse(self, scheduler: int, action: RejectRequest | FailRequest) -> None:
        request = self.requests.pop((scheduler, action.job_id))
        request.refusals += 1
        request.ended = self.time.now_ms
        request.retry_wait_ms = action.retry_after_ms if isinstance(action, RejectRequest) else 0.0
        request.on_outcome(request)

    def _arrive(self, scheduler: int, attempt: StartAttempt, attempt_number: int) -> None:
        planner, key, arrived_at = (
            self.planners[int(attempt.worker)],
            (scheduler, attempt.job_id),
            self.time.now_ms,
        )
        if planner.taken >= SLOTS_PER_PLANNER:
            self.time.call_later(
                TRIP_MS,
                partial(
                    self._handle,
                    scheduler,
                    AttemptFinished(
                        attempt.job_id, attempt_number, attempt.worker, Outcome.REJECTED, 2 * TRIP_MS, False
                    ),
                ),
            )
            return
        request = self.requests[key]
        planner.jobs.add(key)
        request.started = self.time.now_ms
        request.on_outcome(request)
        self.time.call_later(
            TRIP_MS,
            partial(
                self._handle,
                scheduler,
                AttemptProgressed(attempt.job_id, attempt_number, attempt.worker, ProgressKind.STARTED),
            ),
        )

        def end() -> None:
            planner.jobs.discard(key)
            self.requests.pop(key)
            self._handle(
                scheduler,
                AttemptFinished(
                    attempt.job_id,
                    attempt_number,
                    attempt.worker,
                    Outcome.OK,
                    self.time.now_ms - arrived_at,
                    True,
                ),
            )

        self.time.call_later(max(2 * TRIP_MS, request.duration_ms), end)
