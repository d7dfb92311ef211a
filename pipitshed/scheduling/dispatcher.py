"""The dispatcher: passes each event to the scheduling rules and returns their decisions as actions.

It has no clock and does no I/O. The rules are in the other modules of this package: a worker is drawn in
proportion to capacity (worker_selection), the estimated probability that a draw finds no capacity determines
how many attempts a job gets (retry_policy), and new jobs are shed near saturation (admission).
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from typing import Any

from pipitshed.scheduling import attempt_watchdog, outlier_ejection, retry_policy
from pipitshed.scheduling.actions import (
    Action,
    AnswerReason,
    CancelAttempt,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from pipitshed.scheduling.admission import AdmissionControl
from pipitshed.scheduling.attempt_recorder import AttemptRecorder
from pipitshed.scheduling.attempt_watchdog import StartOverdueAction
from pipitshed.scheduling.capacity_estimate import (
    LoadEstimate,
    ServiceStatistics,
    new_attempt_window,
)
from pipitshed.scheduling.deadline_queue import DeadlineQueue
from pipitshed.scheduling.endpoint_list import EndpointList, PoolKey
from pipitshed.scheduling.events import (
    AttemptEndDeferred,
    AttemptFinished,
    AttemptProgressed,
    ConnectionLost,
    DiscoveryMoved,
    EndpointsUpdated,
    Event,
    JobSubmitted,
    JobWithdrawn,
    Outcome,
    ProgressKind,
    ResponseStarted,
    TimerFired,
)
from pipitshed.scheduling.job_state import Attempt, Job, Scope
from pipitshed.scheduling.move_budget import MoveBudget
from pipitshed.scheduling.poll_schedule import PollSchedule
from pipitshed.scheduling.settings import Settings
from pipitshed.scheduling.slow_start_budget import SlowStartBudget, SlowStartWait
from pipitshed.scheduling.worker_selection import WorkerSelector
from pipitshed.scheduling.worker_state import Worker
from pipitshed.scheduling.worker_throughput import WorkerThroughput


class Dispatcher:
    """Makes the scheduling decisions of one scheduler: handles events and returns actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.actions: list[Action] = []
        self.jobs: dict[int, Job] = {}
        self.waiting: dict[int, Job] = {}  # jobs with no attempt in flight
        self.window = new_attempt_window()
        self.move_budget = MoveBudget(self.window)
        self.load = LoadEstimate(settings)
        self.statistics = ServiceStatistics(len(settings.classes))
        self.endpoints = EndpointList(settings)
        self.workers = self.endpoints.workers
        self.poll_schedule = PollSchedule()
        self.admission = AdmissionControl(settings, self.window, self.load, self.statistics, self.rng)
        throughput = WorkerThroughput()
        self.budget = SlowStartBudget(settings, throughput, self.statistics, seed)
        self.selector = WorkerSelector(
            settings,
            self.endpoints,
            self.window,
            self.load,
            self.statistics,
            self.budget,
            throughput,
            self.rng,
        )
        self.recorder = AttemptRecorder(
            settings, self.endpoints, self.window, self.load, self.statistics, throughput, self.rng
        )
        self._slow_start_queues: dict[tuple[Scope, PoolKey], DeadlineQueue] = {}
        self._timers: dict[int, int | None] = {}  # job id by token; None for the poll schedule
        self._last_token = 0
        self._handlers: dict[type, Callable[[Any], None]] = {
            AttemptFinished: self._on_attempt_finished,
            JobSubmitted: self._on_job_submitted,
            TimerFired: self._on_timer_fired,
            AttemptProgressed: self._on_attempt_progressed,
            AttemptEndDeferred: self._on_attempt_end_deferred,
            EndpointsUpdated: self._on_endpoints_updated,
            ConnectionLost: self._on_connection_lost,
            DiscoveryMoved: self._on_discovery_moved,
            JobWithdrawn: self._on_job_withdrawn,
            ResponseStarted: self._on_response_started,
        }

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings.

        Settings only add classes, so a job in progress keeps its class. The state of workers and the capacity
        estimates are kept.
        """
        self.settings = settings
        self.endpoints.apply_settings(settings)
        self.load.apply_settings(settings)
        self.statistics.add_classes(len(settings.classes))
        self.admission.apply_settings(settings)
        self.selector.settings = settings
        self.budget.settings = settings
        self.recorder.settings = settings

    def handle(self, now_ms: float, events: Iterable[Event]) -> list[Action]:
        """Handle the events received by `now_ms`; the returned actions are to be carried out at that time."""
        self.now_ms = now_ms
        self.actions = []
        for event in events:
            handler = self._handlers.get(type(event))
            if handler is not None:
                handler(event)
        return self.actions

    def ejected_worker_count(self, now_ms: float) -> int:
        """The number of ready workers that are ejected or slow at this time."""
        mean_ms = self.statistics.ms_per_work_unit
        return sum(
            worker.ready
            and (
                outlier_ejection.is_ejected(worker, now_ms)
                or outlier_ejection.is_slow(worker, mean_ms, now_ms)
            )
            for worker in self.workers.values()
        )

    # ---- the endpoint list

    def _on_endpoints_updated(self, event: EndpointsUpdated) -> None:
        self.endpoints.apply_update(event, self.now_ms)
        self._wake_slow_start_queues()
        delay_ms = self.poll_schedule.delay_after_update(event.kind, self.settings, self.now_ms, self.rng)
        if delay_ms is not None:
            self._poll_after(delay_ms)

    def _on_discovery_moved(self, _: DiscoveryMoved) -> None:
        delay_ms = self.poll_schedule.delay_after_move(self.settings, self.rng)
        if delay_ms is not None:
            self._poll_after(delay_ms)

    def _poll_after(self, delay_ms: float) -> None:
        at_ms = self.now_ms + delay_ms
        self.poll_schedule.schedule(at_ms)
        self._set_timer(None, at_ms)

    def _on_connection_lost(self, event: ConnectionLost) -> None:
        worker = self.workers.get(event.worker)
        if worker is not None:
            worker.idle_connection_count = max(0, worker.idle_connection_count - 1)

    # ---- jobs

    def _on_job_submitted(self, event: JobSubmitted) -> None:
        job = Job(event, self.settings.classes[event.job_class], self.now_ms)
        self.jobs[event.job_id] = job
        reason = self.admission.rejection_reason(job, event.tenant, self.now_ms)
        if reason is not None:
            self._give_up(job, reason)
            return
        self.waiting[job.id] = job
        self._set_timer(job.id, retry_policy.final_answer_due_ms(job, self.settings.tick_ms))
        self._advance(job)

    def _on_job_withdrawn(self, event: JobWithdrawn) -> None:
        job = self.jobs.get(event.job_id)
        if job is not None and not job.finished:
            self._finish(job)

    def _advance(self, job: Job) -> None:
        """Do what is due for a job: check its attempts, start one, give the job up, or set a timer."""
        if job.finished or job.streaming:
            return
        in_flight = self._attempts_to_wait_for(job)
        if in_flight:
            self._check_attempts(job, in_flight)
        elif self.now_ms >= retry_policy.last_attempt_ms(job, self.settings.tick_ms):
            self._give_up(job, AnswerReason.DEADLINE)
        elif self.now_ms >= job.resume_at_ms:
            self._try_attempt(job)
        else:
            self._wake_at(job, job.resume_at_ms)

    def _try_attempt(self, job: Job) -> None:
        """Start a further attempt if the job is allowed one; otherwise give the job up."""
        limits = self.settings.limits
        options = retry_policy.retry_options(job, limits, self.settings.tick_ms, self.now_ms)
        reason = retry_policy.reason_for_no_attempt(job, options, limits, self.window, self.now_ms)
        if reason is not None:
            if not self._attempts_to_wait_for(job):
                self._give_up(job, reason)
            return
        if job.latest_slow_start_ms is not None and self._is_behind_another(job, options.scope):
            self._pause_in_slow_start(job)
            return
        selection = self.selector.select(job, options.scope, self.now_ms)
        if selection is None:
            self._back_off(job)
        elif isinstance(selection, SlowStartWait):
            self._wait_for_slow_start(job, options.scope, selection)
        else:
            self._dispatch(job, selection)
            if self._slow_start_queues:
                self._wake_slow_start_queues()

    def _dispatch(self, job: Job, worker: Worker) -> None:
        now_ms = self.now_ms
        attempt = Attempt(worker, now_ms)
        job.attempts.append(attempt)
        self.waiting.pop(job.id, None)
        self.recorder.dispatched(job, attempt, now_ms)
        if worker.slow_start_bucket is not None:
            self.budget.record_sent(worker, job, now_ms)
        write_within_ms = retry_policy.write_within_ms(job, self.settings.tick_ms, now_ms)
        self.actions.append(StartAttempt(job.id, worker.id, write_within_ms=write_within_ms))
        if self.settings.workers_report_start:
            self._wake_at(job, now_ms + self._start_timeout_ms(job))

    def _back_off(self, job: Job) -> None:
        job.resume_at_ms = self.now_ms + retry_policy.backoff_ms(job, self.rng)
        self._wake_at(job, job.resume_at_ms)

    def _wait_for_slow_start(self, job: Job, scope: Scope, wait: SlowStartWait) -> None:
        """Let the job wait for a worker in slow start; the one with the earliest deadline is next."""
        key = scope, (job.class_index, job.compatible_interfaces)
        job.latest_slow_start_ms = wait.latest_start_ms
        self._slow_start_queues.setdefault(key, DeadlineQueue()).add(job)
        self._pause_in_slow_start(job)
        until_ms = wait.until_ms
        if math.isinf(until_ms):
            until_ms = self.now_ms + retry_policy.backoff_ms(job, self.rng)
        self._wake_first_in_slow_start(key, until_ms)

    def _pause_in_slow_start(self, job: Job) -> None:
        """Look again after a long pause, unless the job is woken before as the first of its queue."""
        job.resume_at_ms = self.now_ms + retry_policy.longest_backoff_ms(job, self.rng)
        self._wake_at(job, job.resume_at_ms)

    def _is_behind_another(self, job: Job, scope: Scope) -> bool:
        """Whether another job is next in the queue in which this one still is in time."""
        queue = self._slow_start_queues.get((scope, (job.class_index, job.compatible_interfaces)))
        if queue is None or self.now_ms > (job.latest_slow_start_ms or job.deadline_ms):
            return False
        return queue.first(self.waiting, self.now_ms) not in (None, job)

    def _wake_slow_start_queues(self) -> None:
        """Let the first job of each queue look for a worker, as one may have capacity now."""
        for key in list(self._slow_start_queues):
            self._wake_first_in_slow_start(key, self.now_ms)

    def _wake_first_in_slow_start(self, key: tuple[Scope, PoolKey], at_ms: float) -> None:
        """Let the first of the jobs that wait for these workers look for one at this time, if not before."""
        job = self._slow_start_queues[key].first(self.waiting, self.now_ms)
        if job is None:
            del self._slow_start_queues[key]
            return
        job.resume_at_ms = min(job.resume_at_ms, max(at_ms, self.now_ms + self.settings.tick_ms))
        self._wake_at(job, job.resume_at_ms)

    def _give_up(self, job: Job, reason: AnswerReason) -> None:
        self.actions.append(retry_policy.final_answer(job, reason, self.settings, self.now_ms, self.rng))
        self._finish(job)

    def _finish(self, job: Job) -> None:
        """Close a job that has its final answer, or whose client left, and cancel its attempts in flight."""
        job.finished = True
        self.statistics.record_finished(job)
        self.waiting.pop(job.id, None)
        in_flight = job.attempts_in_flight()
        for attempt in in_flight:
            self._cancel(job, attempt)
        if not in_flight:
            self.jobs.pop(job.id, None)

    # ---- attempts in flight

    def _find_attempt(self, job_id: int, attempt_index: int) -> tuple[Job, Attempt] | None:
        job = self.jobs.get(job_id)
        if job is None or attempt_index >= len(job.attempts):
            return None
        return job, job.attempts[attempt_index]

    def _attempts_to_wait_for(self, job: Job) -> list[Attempt]:
        """The attempts whose end the job awaits before it gets another.

        One whose end is deferred is still outstanding, so only where attempts may run in parallel is it not
        awaited.
        """
        if self.settings.limits.parallel_attempts:
            return [attempt for attempt in job.attempts_in_flight() if not attempt.end_deferred]
        return job.attempts_in_flight()

    def _start_timeout_ms(self, job: Job) -> float:
        return attempt_watchdog.start_timeout_ms(job, self.settings, self.window, self.now_ms)

    def _check_attempts(self, job: Job, in_flight: list[Attempt]) -> None:
        """Check attempts in flight for a missed start or a stall; cancel the others once one has started."""
        if not self.settings.workers_report_start:
            return
        started = [attempt for attempt in in_flight if attempt.started]
        if started:
            for attempt in in_flight:
                if not attempt.started:
                    self._cancel(job, attempt)
            self._check_progress(job, started)
            return
        due_ms = max(attempt.dispatched_at_ms for attempt in in_flight) + self._start_timeout_ms(job)
        if self.now_ms < due_ms:
            self._wake_at(job, due_ms)
        else:
            self._handle_start_overdue(job, in_flight)

    def _handle_start_overdue(self, job: Job, in_flight: list[Attempt]) -> None:
        for attempt in in_flight:
            self.recorder.start_overdue(job, attempt, self.now_ms)
        action = attempt_watchdog.start_overdue_action(job, self.settings.limits, self.window, self.now_ms)
        if action is StartOverdueAction.KEEP_WAITING:
            return
        if not self.move_budget.try_take(self.now_ms):
            self._stay(job, action)
        elif action is StartOverdueAction.ADD_ATTEMPT:
            self._try_attempt(job)
        else:
            job.min_allowed_attempts = len(job.attempts) + 1
            for attempt in in_flight:
                self._cancel(job, attempt)

    def _stay(self, job: Job, action: StartOverdueAction) -> None:
        """Leave the job where it is, as no move is left; give it up where a move would have come too late."""
        limits = self.settings.limits
        options = retry_policy.retry_options(job, limits, self.settings.tick_ms, self.now_ms, once_idle=True)
        may_replace = action is StartOverdueAction.REPLACE_ATTEMPTS and limits.may_cancel
        if may_replace and retry_policy.may_give_up_late(job, options, self.window, self.now_ms):
            self._give_up(job, AnswerReason.OBJECTIVE_MISSED)
            return
        late_at_ms = job.submitted_at_ms + job.job_class.latency_objective_ms + self.settings.tick_ms
        self._wake_at(job, max(late_at_ms, self.now_ms + self._start_timeout_ms(job)))

    def _check_progress(self, job: Job, started: list[Attempt]) -> None:
        due_ms = attempt_watchdog.stall_due_ms(started, self.settings)
        if not attempt_watchdog.may_replace_stalled(job, self.settings, due_ms):
            return
        if self.now_ms < due_ms:
            self._wake_at(job, due_ms)
            return
        job.min_allowed_attempts = len(job.attempts) + 1
        for attempt in started:
            if not attempt.cancelled:
                self.recorder.stalled(attempt, self.now_ms)
                self._cancel(job, attempt)

    def _cancel(self, job: Job, attempt: Attempt) -> None:
        if self.settings.limits.may_cancel and not attempt.cancelled:
            attempt.cancelled = True
            self.actions.append(CancelAttempt(job.id, job.attempts.index(attempt)))

    def _on_attempt_progressed(self, event: AttemptProgressed) -> None:
        job_and_attempt = self._find_attempt(event.job_id, event.attempt_index)
        if job_and_attempt is None:
            return
        job, attempt = job_and_attempt
        if event.kind == ProgressKind.STARTED and not attempt.started:
            self.recorder.started(job, attempt, self.now_ms)
            self.move_budget.record_start()
            self._advance(job)
        elif event.kind == ProgressKind.PROGRESS:
            self.recorder.progressed(job, attempt, event.done_fraction, self.now_ms)
            if attempt.end_deferred:
                attempt.end_deferred = attempt.cancelled = False  # it runs after all
                self._advance(job)

    def _on_attempt_end_deferred(self, event: AttemptEndDeferred) -> None:
        """Start no other attempt while this one is outstanding; give the job up if it gets none afterwards.

        An attempt that stalled may still go on, so its job is not given up.
        """
        job_and_attempt = self._find_attempt(event.job_id, event.attempt_index)
        if job_and_attempt is None or not job_and_attempt[1].in_flight or job_and_attempt[0].finished:
            return
        job, attempt = job_and_attempt
        attempt.end_deferred = True
        limits = self.settings.limits
        if limits.parallel_attempts:
            self._back_off(job)
        elif event.outcome is Outcome.TIMEOUT:
            options = retry_policy.retry_options(
                job, limits, self.settings.tick_ms, self.now_ms, once_idle=True
            )
            reason = retry_policy.reason_for_no_attempt(job, options, limits, self.window, self.now_ms)
            if reason is not None:
                self._give_up(job, reason)

    def _on_response_started(self, event: ResponseStarted) -> None:
        job = self.jobs.get(event.job_id)
        if job is None or event.attempt_index >= len(job.attempts):
            return
        job.streaming = True
        for index, attempt in enumerate(job.attempts):
            if attempt.in_flight and index != event.attempt_index:
                self._cancel(job, attempt)

    # ---- finished attempts

    def _on_attempt_finished(self, event: AttemptFinished) -> None:
        job_and_attempt = self._find_attempt(event.job_id, event.attempt_index)
        if job_and_attempt is None or not job_and_attempt[1].in_flight:
            return
        job, attempt = job_and_attempt
        self.recorder.finished(job, attempt, event, self.now_ms)
        if self._slow_start_queues:
            self._wake_slow_start_queues()
        if event.answered and not job.finished:
            self._finish(job)
        elif job.finished:
            if not job.attempts_in_flight():
                self.jobs.pop(job.id, None)
        elif not self._attempts_to_wait_for(job):
            self.waiting[job.id] = job
            job.latest_slow_start_ms = None  # a retry is no part of the backlog
            self._back_off(job)
            if event.pushback_ms is not None:
                self._apply_pushback(job, attempt.worker, event.pushback_ms)
            self._advance(job)

    def _apply_pushback(self, job: Job, worker: Worker, pushback_ms: float) -> None:
        """Delay the next attempt as the worker requests; give the job up if that leaves it no attempt."""
        job.resume_at_ms = max(job.resume_at_ms, self.now_ms + pushback_ms)
        outlier_ejection.eject_until(worker, job.resume_at_ms)
        if pushback_ms < 0 or job.resume_at_ms >= job.deadline_ms:
            self._give_up(job, AnswerReason.WORKER_PUSHBACK)

    # ---- timers

    def _set_timer(self, job_id: int | None, at_ms: float) -> None:
        self._last_token += 1
        self._timers[self._last_token] = job_id
        self.actions.append(SetTimer(self._last_token, max(0.0, at_ms - self.now_ms)))

    def _wake_at(self, job: Job, at_ms: float) -> None:
        """Set a timer for the job at this time, unless an earlier one is set."""
        if at_ms < job.wake_at_ms:
            job.wake_at_ms = at_ms
            self._set_timer(job.id, at_ms)

    def _on_timer_fired(self, event: TimerFired) -> None:
        if event.token not in self._timers:
            return
        job_id = self._timers.pop(event.token)
        if job_id is None:
            if self.poll_schedule.start_due_call(self.now_ms):
                self.actions.append(WatchEndpoints(True))
        elif (job := self.jobs.get(job_id)) is not None:
            if self.now_ms >= job.wake_at_ms:
                job.wake_at_ms = math.inf
            self._advance(job)
