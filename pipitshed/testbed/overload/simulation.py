"""Schedulers with the real decisions, their clients and workers, under the load of a scenario."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from pipitshed.scheduling.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
)
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
from pipitshed.scheduling.settings import Costs, Guarantees, Idempotency, JobClass, Limits, Settings
from pipitshed.testbed.overload.figures import Count, CountsOverTime, OverloadFigures, summarize
from pipitshed.testbed.overload.scenario import MS_PER_S, OverloadScenario
from pipitshed.testbed.overload.worker import Worker, WorkerJob
from pipitshed.testbed.virtual_time import VirtualTime

TICK_MS = 4.0
SEED_BITS = 48
EPOCH_MS = 1_000_000.0  # the dispatchers' time at the start; 0 would be the start of their workers too


def dispatcher_settings(scenario: OverloadScenario) -> Settings:
    """The settings of each scheduler."""
    clients, rules = scenario.clients, scenario.rules
    job_class = JobClass(
        latency_objective_ms=clients.objective_ms,
        deadline_ms=clients.deadline_ms,
        latency_objective_per_work=clients.objective_per_work,
        idempotency=Idempotency(rules.repeat),
        idempotency_window_ms=clients.deadline_ms,
    )
    return Settings(
        classes=(job_class,),
        costs=Costs(handshake_cost=rules.handshake_cost, wasted_work_cost=rules.wasted_work_cost),
        limits=Limits(
            may_cancel=True,
            parallel_attempts=rules.parallel_attempts,
            max_attempts=rules.max_attempts,
            connect_timeout_ms=rules.connect_timeout_ms,
            idle_timeout_ms=rules.idle_timeout_ms,
        ),
        guarantees=Guarantees(answer_slack_ms=TICK_MS),
        scheduler_count=clients.schedulers,
        tick_ms=TICK_MS,
        workers_report_start=True,
    )


@dataclass(eq=False, slots=True)
class ClientJob:
    """A job as its client sees it."""

    number: int
    work_ms: float
    deadline_ms: float  # in virtual time
    resubmissions_left: int
    attempt_count: int = 0


@dataclass(eq=False, slots=True)
class OpenAttempt:
    """An attempt that has no outcome yet.

    Attributes:
        is_connected: Whether it has a connection of its own.
        worker_job: What its worker has, once it is written.
    """

    job: ClientJob
    index: int
    worker: Worker
    dispatched_at_ms: float
    is_connected: bool = False
    worker_job: WorkerJob | None = None


class Scheduler:
    """One scheduler: its dispatcher, its connections to workers, and its attempts."""

    def __init__(self, simulation: Simulation, seed: int) -> None:
        self._simulation = simulation
        self._time = simulation.time
        self._dispatcher = Dispatcher(simulation.settings, seed)
        self._jobs: dict[int, ClientJob] = {}
        self._attempts: dict[tuple[int, int], OpenAttempt] = {}
        self._idle: dict[Worker, deque[float]] = {}  # since when each idle connection rests, in ms
        self._handlers: dict[type, Callable[..., None]] = {
            CancelAttempt: self._cancel,
            FailRequest: self._fail,
            RejectRequest: self._reject,
            SetTimer: self._set_timer,
            StartAttempt: self._start,
        }

    def handle(self, event: Event) -> None:
        """Let the dispatcher decide on an event, and carry its decisions out."""
        for action in self._dispatcher.handle(EPOCH_MS + self._time.now_ms, [event]):
            self._execute(action)

    def submit(self, job: ClientJob) -> None:
        """Take a job from a client."""
        self._jobs[job.number] = job
        self.handle(JobSubmitted(job.number, job.deadline_ms - self._time.now_ms))

    def _execute(self, action: Action) -> None:
        handler = self._handlers.get(type(action))
        if handler is not None:
            handler(action)

    def _set_timer(self, action: SetTimer) -> None:
        self._time.call_later(action.delay_ms, lambda: self.handle(TimerFired(action.token)))

    # ---- answers

    def _reject(self, action: RejectRequest) -> None:
        self._simulation.count(Count.REFUSED)
        self._simulation.resubmit(self._jobs.pop(action.job_id))

    def _fail(self, action: FailRequest) -> None:
        self._simulation.count(Count.REFUSED)
        self._jobs.pop(action.job_id, None)

    # ---- attempts

    def _start(self, action: StartAttempt) -> None:
        job = self._jobs[action.job_id]
        worker = self._simulation.workers[action.worker]
        attempt = OpenAttempt(job, job.attempt_count, worker, self._time.now_ms)
        job.attempt_count += 1
        self._attempts[job.number, attempt.index] = attempt
        self._simulation.count(Count.SENT)
        if action.timeout_ms:
            self._time.call_later(action.timeout_ms, lambda: self._abort(attempt, Outcome.TIMEOUT))
        if self._take_idle(worker):
            self._write(attempt)
        else:
            self._connect(attempt)

    def _connect(self, attempt: OpenAttempt) -> None:
        rules = self._simulation.scenario.rules
        round_trip_ms = 2 * rules.network_delay_ms
        self._simulation.count(Count.CONNECTIONS)
        handshake_ms = attempt.worker.connect()
        if handshake_ms is None:
            self._time.call_later(round_trip_ms, lambda: self._finish(attempt, Outcome.CONNECT_FAILED))
        elif handshake_ms + round_trip_ms > rules.connect_timeout_ms:
            attempt.worker.disconnect()
            timeout_ms = rules.connect_timeout_ms
            self._time.call_later(timeout_ms, lambda: self._finish(attempt, Outcome.CONNECT_FAILED))
        else:
            self._time.call_later(handshake_ms + round_trip_ms, lambda: self._connected(attempt))

    def _connected(self, attempt: OpenAttempt) -> None:
        if self._is_open(attempt):
            self._write(attempt)
        else:
            self._put_idle(attempt.worker)  # cancelled meanwhile: nothing was written

    def _write(self, attempt: OpenAttempt) -> None:
        attempt.is_connected = True
        worker_job = attempt.worker_job = WorkerJob(
            attempt.job.work_ms,
            lambda: self._later(lambda: self._started(attempt)),
            lambda outcome: self._later(lambda: self._finish(attempt, outcome)),
        )
        self._later(lambda: attempt.worker.submit(worker_job))

    def _later(self, call: Callable[[], None]) -> None:
        """Make a call once a message has crossed the network."""
        self._time.call_later(self._simulation.scenario.rules.network_delay_ms, call)

    def _started(self, attempt: OpenAttempt) -> None:
        if self._is_open(attempt):
            self.handle(
                AttemptProgressed(attempt.job.number, attempt.index, attempt.worker.id, ProgressKind.STARTED)
            )

    def _cancel(self, action: CancelAttempt) -> None:
        attempt = self._attempts.get((action.job_id, action.attempt_index))
        if attempt is not None:
            self._time.call_later(0.0, lambda: self._abort(attempt, Outcome.CANCELLED))

    def _abort(self, attempt: OpenAttempt, outcome: Outcome) -> None:
        """End an attempt, and its connection with it: that is how its worker is told."""
        if not self._is_open(attempt):
            return
        worker_job = attempt.worker_job
        if worker_job is None or not worker_job.has_started:
            self._simulation.count(Count.CANCELLED_BEFORE_START)
        if worker_job is not None:
            self._later(lambda: attempt.worker.cancel(worker_job))
        if attempt.is_connected:
            attempt.worker.disconnect()
        self._report(attempt, outcome)

    def _finish(self, attempt: OpenAttempt, outcome: Outcome) -> None:
        """Report an outcome that the worker or the network has given."""
        if not self._is_open(attempt):
            return
        if attempt.is_connected:
            self._put_idle(attempt.worker)
        self._report(attempt, outcome)

    def _report(self, attempt: OpenAttempt, outcome: Outcome) -> None:
        del self._attempts[attempt.job.number, attempt.index]
        is_served = outcome is Outcome.OK
        if is_served:
            self._jobs.pop(attempt.job.number, None)
            if self._time.now_ms <= attempt.job.deadline_ms:
                self._simulation.count(Count.OK)
        elapsed_ms = self._time.now_ms - attempt.dispatched_at_ms
        self.handle(
            AttemptFinished(
                attempt.job.number, attempt.index, attempt.worker.id, outcome, elapsed_ms, is_served
            )
        )

    def _is_open(self, attempt: OpenAttempt) -> bool:
        return self._attempts.get((attempt.job.number, attempt.index)) is attempt

    # ---- connections

    def _take_idle(self, worker: Worker) -> bool:
        """Use the idle connection that has rested shortest; those that rested too long are closed."""
        idle = self._idle.get(worker)
        if not idle:
            return False
        oldest_ms = self._time.now_ms - self._simulation.scenario.rules.idle_timeout_ms
        while idle and idle[0] < oldest_ms:
            idle.popleft()
            worker.disconnect()
        if not idle:
            return False
        idle.pop()
        return True

    def _put_idle(self, worker: Worker) -> None:
        self._idle.setdefault(worker, deque()).append(self._time.now_ms)


class Simulation:
    """A run of a scenario; the same scenario and seed give the same figures."""

    def __init__(self, scenario: OverloadScenario, seed: int) -> None:
        self.scenario = scenario
        self.time = VirtualTime()
        self.settings = dispatcher_settings(scenario)
        self._rng = random.Random(seed)
        self._counts = CountsOverTime()
        self._last_job_number = 0
        workers = [
            Worker(b"w%03d" % number, scenario.workers, self.time, lambda: self.count(Count.WASTED))
            for number in range(scenario.workers.count)
        ]
        self.workers = {worker.id: worker for worker in workers}
        self._schedulers = [
            Scheduler(self, self._rng.getrandbits(SEED_BITS)) for _ in range(scenario.clients.schedulers)
        ]

    def run(self) -> OverloadFigures:
        """Simulate the whole scenario."""
        listed = EndpointsUpdated(
            UpdateKind.CACHED, 1, tuple(EndpointEntry(worker) for worker in self.workers)
        )
        for scheduler in self._schedulers:
            scheduler.handle(listed)
        self._schedule_arrival()
        self.time.call_later(self.scenario.load.first_rest_s * MS_PER_S, self._hang_workers)
        self.time.run(self.scenario.duration_s * MS_PER_S)
        return summarize(self.scenario, self._counts)

    def count(self, count: Count) -> None:
        """Count an event that happens now."""
        self._counts.add(self.time.now_ms, count)

    def resubmit(self, job: ClientJob) -> None:
        """Let the client of a rejected job submit it again, if it does and time is left."""
        pause_ms = self.scenario.clients.resubmission_pause_ms
        if not job.resubmissions_left or self.time.now_ms + pause_ms >= job.deadline_ms:
            return
        self.time.call_later(
            pause_ms, lambda: self._submit(job.work_ms, job.deadline_ms, job.resubmissions_left - 1)
        )

    def _hang_workers(self) -> None:
        for worker in list(self.workers.values())[: self.scenario.workers.hung]:
            worker.is_hung = True

    def _schedule_arrival(self) -> None:
        factor = self.scenario.load_factor(self.time.now_ms / MS_PER_S)
        jobs_per_ms = factor * self.scenario.jobs_per_s / MS_PER_S
        self.time.call_later(self._rng.expovariate(jobs_per_ms), self._arrive)

    def _arrive(self) -> None:
        self._schedule_arrival()
        clients = self.scenario.clients
        self._submit(self._draw_work_ms(), self.time.now_ms + clients.deadline_ms, clients.resubmissions)

    def _submit(self, work_ms: float, deadline_ms: float, resubmissions_left: int) -> None:
        self._last_job_number += 1
        self.count(Count.SUBMITTED)
        job = ClientJob(self._last_job_number, work_ms, deadline_ms, resubmissions_left)
        self._rng.choice(self._schedulers).submit(job)

    def _draw_work_ms(self) -> float:
        """A running time of the log-normal distribution."""
        workers = self.scenario.workers
        variance = math.log1p(workers.work_deviation**2)
        mean = math.log(workers.work_ms) - variance / 2
        return self._rng.lognormvariate(mean, math.sqrt(variance))
