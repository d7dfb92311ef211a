"""Starts and stops attempts at endpoints, and records their progress and outcomes."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from time import monotonic

from pipitshed.proxy.attempt import Attempt
from pipitshed.proxy.dispatch_loop import DispatchLoop
from pipitshed.proxy.endpoint_table import EndpointTable
from pipitshed.proxy.executed_requests import ExecutedRequests
from pipitshed.proxy.published_names import member_name
from pipitshed.proxy.request import RequestContext
from pipitshed.proxy.request_lifecycle import RequestLifecycle
from pipitshed.scheduling.actions import StartAttempt
from pipitshed.scheduling.events import (
    NOT_EXECUTED_OUTCOMES,
    AttemptEndDeferred,
    AttemptFinished,
    AttemptProgressed,
    Outcome,
    ProgressKind,
)


class AttemptRunner:
    """Records one outcome for each attempt, and notifies the dispatcher and the request."""

    def __init__(
        self,
        dispatch_loop: DispatchLoop,
        endpoints: EndpointTable,
        requests: RequestLifecycle,
        counters: Counter[str],
        max_attempts: int,
        loop: asyncio.AbstractEventLoop,
        executed: ExecutedRequests,
    ) -> None:
        self._executed = executed
        self.max_attempts = max_attempts
        self.sent_counts: Counter[int] = Counter()  # attempts whose last byte was written, by class
        self._dispatch_loop = dispatch_loop
        self._endpoints = endpoints
        self._requests = requests
        self._counters = counters
        self._loop = loop

    def start(self, action: StartAttempt) -> None:
        """Start an attempt, unless its request has ended, its worker is unknown or its limits are reached."""
        context = self._requests.find(action.job_id)
        if context is not None and context.detached:
            self._requests.fail(action.job_id)
        endpoint = self._endpoints.endpoint(action.worker)
        now = monotonic()
        if (
            context is None
            or context.answered
            or endpoint is None
            or now >= context.deadline_at
            or len(context.attempts) >= self.max_attempts
        ):
            self._supersede(action, context)
            return
        attempt = Attempt(context, len(context.attempts), endpoint, now, context.deadline_at)
        if action.timeout_ms > 0:
            attempt.deadline_at = min(context.deadline_at, now + action.timeout_ms / 1000)
        context.attempts.append(attempt)
        translated = context.translated
        if translated is None:
            attempt.body = context.request.body
        elif endpoint.interface in translated.bodies:
            attempt.body = translated.bodies[endpoint.interface]
        else:
            # The worker's interface changed in the same loop iteration in which the dispatcher chose it.
            self.finished(attempt, Outcome.CONNECT_FAILED)
            return
        if action.write_within_ms > 0:
            attempt.write_deadline_at = now + action.write_within_ms / 1000
        attempt.timeout_timer = self._loop.call_at(attempt.deadline_at, self._deadline_passed, attempt)
        endpoint.client.start(attempt)

    def _supersede(self, action: StartAttempt, context: RequestContext | None) -> None:
        """Report an attempt that was not started as SUPERSEDED."""
        self._counters[f"attempt {member_name(Outcome.SUPERSEDED)}"] += 1
        self._dispatch_loop.post(
            AttemptFinished(
                action.job_id,
                len(context.attempts) if context is not None else 0,
                action.worker,
                Outcome.SUPERSEDED,
                0.0,
                context is None or context.answered,
            )
        )

    def may_begin(self, attempt: Attempt) -> bool:
        """Whether an attempt that waited for its connection may be written now.

        False if, during the wait, the request ended, the worker started draining or was removed, or the
        time within which a retry is permitted expired.
        """
        context = attempt.context
        return not (
            attempt.finished
            or context.answered
            or context.detached
            or self._endpoints.is_leaving(attempt.endpoint.id)
            or monotonic() >= attempt.write_deadline_at
        )

    def sent(self, attempt: Attempt) -> None:
        """Record that the attempt's last byte is written: from now on the job may have run."""
        attempt.fully_sent = True
        self.sent_counts[attempt.context.request.job_class] += 1

    def _deadline_passed(self, attempt: Attempt) -> None:
        """Stop the attempt at its deadline, unless it has ended."""
        if not attempt.finished:
            self.stop(attempt, Outcome.TIMEOUT)

    def timed_out(self, attempt: Attempt) -> None:
        """Stop an attempt whose worker has a shorter time limit for the job, unless it has ended."""
        if not attempt.finished:
            self._stop_or_defer(attempt, Outcome.TIMEOUT)

    def cancel(self, job_id: int, attempt_index: int) -> None:
        """Stop an attempt that the dispatcher has cancelled."""
        context = self._requests.find(job_id)
        if context is not None and not context.attempts[attempt_index].finished:
            self._stop_or_defer(context.attempts[attempt_index], Outcome.CANCELLED)

    def _stop_or_defer(self, attempt: Attempt, outcome: Outcome) -> None:
        """Stop an attempt, or let it be outstanding until it can be stopped without ending others.

        A request that is answered gets no further attempt, so its attempt can be forgotten at once.
        """
        context = attempt.context
        if context.answered or not attempt.endpoint.client.defer_abort(attempt, outcome):
            self.stop(attempt, outcome)
            return
        self._counters["attempt end deferred"] += 1
        self._dispatch_loop.post(
            AttemptEndDeferred(context.job_id, attempt.index, attempt.endpoint.id, outcome)
        )

    def stop(self, attempt: Attempt, outcome: Outcome) -> None:
        """Stop an attempt that has not ended.

        An attempt that is stopped before its last byte was written, or before a worker was assigned its job,
        has not run. Its outcome is then CONNECT_FAILED, so that a job that must not run twice may go to any
        other worker.
        """
        may_have_run = attempt.endpoint.client.abort(attempt)
        self.finished(attempt, outcome if may_have_run else Outcome.CONNECT_FAILED)

    def progressed(self, attempt: Attempt, kind: ProgressKind, done_fraction: float) -> None:
        """Pass the start or progress that a worker reported to the dispatcher and the requester."""
        if not attempt.finished:
            context = attempt.context
            self._dispatch_loop.post(
                AttemptProgressed(context.job_id, attempt.index, attempt.endpoint.id, kind, done_fraction)
            )
            if not context.answered:
                context.requester.progressed(kind, done_fraction)

    def finished(
        self,
        attempt: Attempt,
        outcome: Outcome,
        result: bytes = b"",
        load_report: Sequence[float] = (),
        pushback_ms: float | None = None,
    ) -> None:
        """Record the one outcome of an attempt; any later report is ignored.

        Args:
            attempt: The attempt that has ended.
            outcome: How it ended.
            result: The worker's result, or its error message for ERROR.
            load_report: The load that the worker reported with the outcome.
            pushback_ms: The delay that the worker asks for before the next attempt; negative for no retry.
        """
        if attempt.finished:
            return
        attempt.outcome = outcome
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        self._counters[f"attempt {member_name(outcome)}"] += 1
        context, endpoint = attempt.context, attempt.endpoint
        if outcome in NOT_EXECUTED_OUTCOMES and not context.may_have_run:
            self._executed.never_ran(context.request)
        if outcome is Outcome.ERROR:
            context.last_error = result
        if outcome is Outcome.OK and not context.answered:
            self._requests.succeed(context, endpoint.interface, result)
        self._dispatch_loop.post(
            AttemptFinished(
                context.job_id,
                attempt.index,
                endpoint.id,
                outcome,
                (monotonic() - attempt.started_at) * 1000,
                context.answered,
                tuple(load_report),
                pushback_ms,
            )
        )
        self._requests.forget_finished(context)
