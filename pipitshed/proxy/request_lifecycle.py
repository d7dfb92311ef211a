"""The life of requests: submitted, translated, and ended with one final answer."""

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

RESPONSE_MARGIN_MS = 30.0  # the final answer is out so long before the client gives up
DEADLINE_GUARD_MS = 10.0  # after the dispatcher's own deadline; still before the client's
OVERDUE_RETRY_AFTER_MS = 1000.0  # where no attempt ran and the dispatcher has not answered

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
        self.translator: Translator | None = None  # where messages are translated
        self.answer_deadline_at = math.inf  # loop time by which requests submitted from now on are answered
        self.answered_counts: Counter[tuple[str, int]] = Counter()  # by how they ended, and class
        self._dispatch_loop = dispatch_loop
        self._endpoints = endpoints
        self._stop_attempt = stop_attempt
        self._counters = counters
        self._loop = loop
        self._contexts: dict[int, RequestContext] = {}
        self._last_job_id = 0
        self._untranslated: deque[RequestContext] = deque()

    def find(self, job_id: int) -> RequestContext | None:
        """The request of this job, unless it has ended and so have its attempts."""
        return self._contexts.get(job_id)

    def submit(self, request: Request, requester: Requester) -> RequestContext:
        """Accept a request that has been read completely; from now on its requester gets one final answer."""
        self._last_job_id += 1
        now = monotonic()
        # Near the program's end there is less time than the client would give.
        remaining_ms = max(
            0.0, min(request.client_timeout_ms - RESPONSE_MARGIN_MS, (self.answer_deadline_at - now) * 1000)
        )
        context = RequestContext(self._last_job_id, request, requester, now + remaining_ms / 1000)
        self._contexts[context.job_id] = context
        self._counters[SUBMITTED_COUNTER] += 1
        # Whatever the dispatcher does, the client gets an answer.
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
        """Translate the request that has waited longest; reject it where it fits no listed worker's form.

        One in each turn of the loop, so that a burst of long ones makes no timer late.
        """
        context = self._untranslated.popleft()
        if self._untranslated:
            self._loop.call_soon(self._translate_next)
        if context.answered or self.translator is None:
            return  # withdrawn meanwhile
        translated = context.translated = self.translator.prepare(context.request)
        if failure := self._translation_failure(context):
            self._reject_untranslatable(context, failure)
        else:
            remaining_ms = max(0.0, (context.deadline_at - monotonic()) * 1000)
            compatible = frozenset(translated.bodies) if translated.failures else None
            self._post_submitted(context, remaining_ms, compatible)

    def _translation_failure(self, context: RequestContext) -> TranslationFailure | None:
        """Why the request fits no listed worker; None where it fits one, or one may yet be found to fit."""
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
        """Reject at once what waits for an attempt and fits none of the interfaces that are listed now."""
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
        """Give the requester a worker's result, in the client's form."""
        answer: bytes | TranslationFailure = result
        if context.translated is not None and self.translator is not None:
            answer = self.translator.answer(context.request, interface, result)
        if isinstance(answer, bytes):
            self.finish(context.job_id, RequestEnd.SUCCEEDED)
            context.requester.succeeded(answer)
        else:
            # The job ran: whatever its class, it is not run again for a result that can't be translated.
            self.finish(context.job_id, RequestEnd.FAILED)
            context.last_error = f"{answer.field}: {answer.reason}".encode()
            context.requester.untranslatable(answer, True)

    def reject(self, job_id: int, retry_after_ms: float) -> None:
        """End a request that may be tried again."""
        if context := self.finish(job_id, RequestEnd.REJECTED):
            context.requester.rejected(retry_after_ms)

    def fail(self, job_id: int) -> None:
        """End a request without a result."""
        if context := self.finish(job_id, RequestEnd.FAILED):
            context.requester.failed()

    def withdraw(self, context: RequestContext) -> None:
        """End a request whose client has left: it gets no answer."""
        if self.finish(context.job_id, RequestEnd.WITHDRAWN):
            self._dispatch_loop.post(JobWithdrawn(context.job_id))

    def detach(self, context: RequestContext) -> None:
        """The clients have left, but the job must not run twice: what runs goes on, no attempt begins."""
        context.detached = True
        self._stop_unsent(context)

    def _stop_unsent(self, context: RequestContext) -> None:
        """Stop attempts that wait for a connection, a stream or a worker.

        They have not run, so that this is permitted also where running jobs must not be cancelled.
        """
        for attempt in context.attempts:
            if not attempt.finished and not attempt.fully_sent:
                self._stop_attempt(attempt, Outcome.CANCELLED)

    def _deadline_passed(self, context: RequestContext) -> None:
        """Answer the request a turn later, if the dispatcher does not.

        Where the loop was held up over the deadline, the timers of the attempts and of the dispatcher have
        fired just now: their events are posted, and the dispatcher takes them before the next callback.
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
        """End a request; None where it has ended before, so that no second answer goes out."""
        context = self._contexts.get(job_id)
        if context is None or context.answered:
            return None
        context.answered = True
        self._counters[end] += 1
        self.answered_counts[end, context.request.job_class] += 1
        if context.deadline_timer is not None:
            context.deadline_timer.cancel()
        self._stop_unsent(context)  # no attempt begins after the end
        self.forget_finished(context)
        return context

    def forget_finished(self, context: RequestContext) -> None:
        """Forget a request that has its answer and no attempt in flight."""
        if context.answered and all(attempt.finished for attempt in context.attempts):
            self._contexts.pop(context.job_id, None)

    def workers_in_use(self) -> set[WorkerId]:
        """The workers with attempts in flight, or waiting to begin."""
        return {
            attempt.endpoint.id
            for context in self._contexts.values()
            for attempt in context.attempts
            if not attempt.finished
        }

    @property
    def active_count(self) -> int:
        """How many requests wait for their answer."""
        return sum(not context.answered for context in self._contexts.values())
