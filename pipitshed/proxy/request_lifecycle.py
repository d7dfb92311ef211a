"""The lifecycle of requests: submission, translation, and one final answer."""

from __future__ import annotations

import asyncio
import logging
import math
from collections import Counter, deque
from collections.abc import Callable
from time import monotonic

from pipitshed.proxy.attempt import Attempt
from pipitshed.proxy.dispatch_loop import DispatchLoop
from pipitshed.proxy.endpoint_table import EndpointTable
from pipitshed.proxy.request import Request, RequestContext, Requester, TranslationFailure, Translator
from pipitshed.proxy.request_end import SUBMITTED_COUNTER, RequestEnd
from pipitshed.scheduling.events import JobSubmitted, JobWithdrawn, Outcome, WorkerId

RESPONSE_MARGIN_MS = 30.0  # between the final answer and the client's own timeout
DEADLINE_GUARD_MS = 10.0  # after the dispatcher's deadline; still before the client's timeout
OVERDUE_RETRY_AFTER_MS = 1000.0  # if no attempt ran and the dispatcher has not answered

log = logging.getLogger("pipitshed")


class RequestLifecycle:
    """All requests that wait for their answer or have attempts in flight."""

    def __init__(
        self,
        dispatch_loop: DispatchLoop,
        endpoints: EndpointTable,
        stop_attempt: Callable[[Attempt, Outcome], None],
        counters: Counter[str],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.translator: Translator | None = None  # None without translation
        self.answer_deadline_at = math.inf  # latest loop time of answers to new requests
        self.answered_counts: Counter[tuple[str, int]] = Counter()  # by RequestEnd and class number
        self._dispatch_loop = dispatch_loop
        self._endpoints = endpoints
        self._stop_attempt = stop_attempt
        self._counters = counters
        self._loop = loop
        self._contexts: dict[int, RequestContext] = {}
        self._last_job_id = 0
        self._untranslated: deque[RequestContext] = deque()

    def find(self, job_id: int) -> RequestContext | None:
        """The request of this job; None once it and all its attempts have ended."""
        return self._contexts.get(job_id)

    def submit(self, request: Request, requester: Requester) -> RequestContext:
        """Accept a complete request; from now on its requester gets exactly one final answer."""
        self._last_job_id += 1
        now = monotonic()
        client_waits_until = request.arrived_at + request.client_timeout_ms / 1000
        # During shutdown there may be less time than the client allows.
        answer_due_at = min(client_waits_until - RESPONSE_MARGIN_MS / 1000, self.answer_deadline_at)
        remaining_ms = max(0.0, (answer_due_at - now) * 1000)
        context = RequestContext(self._last_job_id, request, requester, now + remaining_ms / 1000)
        self._contexts[context.job_id] = context
        self._counters[SUBMITTED_COUNTER] += 1
        # The client gets an answer even if the dispatcher gives none.
        context.deadline_timer = self._loop.call_at(
            context.deadline_at + DEADLINE_GUARD_MS / 1000, self._deadline_passed, context
        )
        if self.translator is None or request.form_version is None:
            self._post_submitted(context, remaining_ms)
        else:
            self._untranslated.append(context)
            if len(self._untranslated) == 1:
                self._loop.call_soon(self._translate_next)
        return context

    def _post_submitted(
        self,
        context: RequestContext,
        remaining_ms: float,
        compatible_interfaces: frozenset[int] | None = None,
    ) -> None:
        request = context.request
        self._dispatch_loop.post(
            JobSubmitted(
                context.job_id,
                remaining_ms,
                request.job_class,
                request.tenant,
                request.slots,
                request.memory,
                request.work_hint,
                request.affinity_key,
                request.is_retry,
                compatible_interfaces,
            )
        )

    def _translate_next(self) -> None:
        """Translate the request that has waited longest; reject it if it fits no ready worker.

        Only one is translated in each event loop iteration, so that a burst of long requests delays no timer.
        """
        context = self._untranslated.popleft()
        if self._untranslated:
            self._loop.call_soon(self._translate_next)
        if context.answered or self.translator is None:
            return  # withdrawn while it waited
        translated = context.translated = self.translator.prepare(context.request)
        if failure := self._translation_failure(context):
            self._reject_untranslatable(context, failure)
        else:
            remaining_ms = max(0.0, (context.deadline_at - monotonic()) * 1000)
            compatible = frozenset(translated.bodies) if translated.failures else None
            self._post_submitted(context, remaining_ms, compatible)

    def _translation_failure(self, context: RequestContext) -> TranslationFailure | None:
        """Why the request fits no ready worker; None if it fits one, or may fit one not yet known."""
        translated = context.translated
        if translated is None or not translated.failures:
            return None
        listed = self._endpoints.interfaces()
        if translated.bodies and (not listed or 0 in listed or not listed.isdisjoint(translated.bodies)):
            return None
        failed = sorted(translated.failures)
        interface = next((interface for interface in failed if interface in listed), failed[0])
        failure: TranslationFailure = translated.failures[interface]
        return failure

    def _reject_untranslatable(self, context: RequestContext, failure: TranslationFailure) -> None:
        if self.finish(context.job_id, RequestEnd.UNTRANSLATABLE):
            context.last_error = f"{failure.field}: {failure.reason}".encode()
            context.requester.untranslatable(failure, False)

    def interfaces_changed(self) -> None:
        """Reject the requests that wait for their first attempt and fit no ready worker."""
        if self.translator is None:
            return
        for context in list(self._contexts.values()):
            if (
                not context.answered
                and not context.attempts
                and (failure := self._translation_failure(context))
            ):
                self._reject_untranslatable(context, failure)
                self._dispatch_loop.post(JobWithdrawn(context.job_id))

    def succeed(self, context: RequestContext, interface: int, result: bytes) -> None:
        """End a request with a worker's result, translated into the client's form."""
        answer: bytes | TranslationFailure = result
        if context.translated is not None and self.translator is not None:
            answer = self.translator.answer(context.request, interface, result)
        if isinstance(answer, bytes):
            self.finish(context.job_id, RequestEnd.SUCCEEDED)
            context.requester.succeeded(answer)
        else:
            # The job has run; a result that can't be translated is no reason to run it again.
            self.finish(context.job_id, RequestEnd.FAILED)
            context.last_error = f"{answer.field}: {answer.reason}".encode()
            context.requester.untranslatable(answer, True)

    def reject(self, job_id: int, retry_after_ms: float) -> None:
        """End a request that the client may retry after this delay."""
        if context := self.finish(job_id, RequestEnd.REJECTED):
            context.requester.rejected(retry_after_ms)

    def fail(self, job_id: int) -> None:
        """End a request that has failed or may have run."""
        if context := self.finish(job_id, RequestEnd.FAILED):
            context.requester.failed()

    def withdraw(self, context: RequestContext) -> None:
        """End a request whose client has disconnected; its requester gets no answer."""
        if self.finish(context.job_id, RequestEnd.WITHDRAWN):
            self._dispatch_loop.post(JobWithdrawn(context.job_id))

    def detach(self, context: RequestContext) -> None:
        """Keep running attempts, but start no more: the clients have left, and the job must not run twice."""
        context.detached = True
        self._stop_unsent(context)

    def _stop_unsent(self, context: RequestContext) -> None:
        """Stop attempts that wait for a connection, a stream or a worker.

        They have not run, so this is permitted even if running jobs must not be cancelled.
        """
        for attempt in context.attempts:
            if not attempt.finished and not attempt.fully_sent:
                self._stop_attempt(attempt, Outcome.CANCELLED)

    def _deadline_passed(self, context: RequestContext) -> None:
        """Answer the request in the next event loop iteration, unless the dispatcher does so first.

        If the loop was blocked past the deadline, the timers of the attempts and of the dispatcher fire in
        this iteration too: their events are queued, and the dispatcher handles them before the callback.
        """
        self._loop.call_soon(self._answer_overdue, context)

    def _answer_overdue(self, context: RequestContext) -> None:
        if context.answered:
            return
        log.warning("request %d had no answer at its deadline", context.job_id)
        if context.may_have_run:
            self.finish(context.job_id, RequestEnd.OVERDUE)
            context.requester.failed()
        else:
            self.reject(context.job_id, OVERDUE_RETRY_AFTER_MS)
        self._dispatch_loop.post(JobWithdrawn(context.job_id))

    def finish(self, job_id: int, end: RequestEnd) -> RequestContext | None:
        """Mark a request as ended; None if it had ended before, so that no second answer is sent."""
        context = self._contexts.get(job_id)
        if context is None or context.answered:
            return None
        context.answered = True
        self._counters[end] += 1
        self.answered_counts[end, context.request.job_class] += 1
        if context.deadline_timer is not None:
            context.deadline_timer.cancel()
        self._stop_unsent(context)  # no attempt may start after the end
        self.forget_finished(context)
        return context

    def forget_finished(self, context: RequestContext) -> None:
        """Remove a request that is answered and has no attempt in flight."""
        if context.answered and all(attempt.finished for attempt in context.attempts):
            self._contexts.pop(context.job_id, None)
            context.release_memory()

    def workers_in_use(self) -> set[WorkerId]:
        """The workers with attempts in flight, or waiting to start."""
        return {
            attempt.endpoint.id
            for context in self._contexts.values()
            for attempt in context.attempts
            if not attempt.finished
        }

    @property
    def active_count(self) -> int:
        """The number of requests that wait for their answer."""
        return sum(not context.answered for context in self._contexts.values())
