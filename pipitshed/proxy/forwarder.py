"""The loop: gathers what is ready, hands it to the decisions in one go, and carries out the answer."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections import Counter, deque
from collections.abc import Callable, Sequence
from time import monotonic

from pipitshed.proxy.attempt import Attempt
from pipitshed.proxy.decision_log import DecisionLog
from pipitshed.proxy.endpoint_table import EndpointTable, merge_updates
from pipitshed.proxy.published_names import member_name
from pipitshed.proxy.request import Request, RequestContext, Requester, TranslationFailure, Translator
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.scheduling.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    LogLine,
    ProbeWorker,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from pipitshed.scheduling.dispatcher import PACE_AGE, SLOW, Dispatcher
from pipitshed.scheduling.events import (
    AttemptFinished,
    AttemptProgressed,
    ConnectionLost,
    DiscoveryMoved,
    EndpointsUpdated,
    Event,
    JobSubmitted,
    JobWithdrawn,
    Outcome,
    ProbeFinished,
    ProgressKind,
    TimerFired,
    UpdateKind,
    WorkerId,
)
from pipitshed.scheduling.settings import Settings, WeightKind

RESPONSE_MARGIN_MS = 30.0  # the final answer is out so long before the client gives up
DEADLINE_GUARD_MS = 10.0  # after the decisions' own deadline; still before the client's

log = logging.getLogger("pipitshed")


class Forwarder:
    """Owns the exchanges, their attempts and timers, and gives each exchange its one final answer."""

    def __init__(self, settings: Settings, seed: int, loop: asyncio.AbstractEventLoop) -> None:
        self.settings = settings
        self.endpoints = EndpointTable(self._list_told)
        self.endpoints.repeats_count = settings.weight_kind is WeightKind.LIVE
        self.endpoints.workers_in_use = self._with_attempts
        self.translator: Translator | None = None  # where messages are translated
        self._untranslated: deque[RequestContext] = deque()
        self.counters: Counter[str] = Counter()
        self.answered_counts: Counter[tuple[str, int]] = Counter()  # exchanges by how they ended, and class
        self.sent_counts: Counter[int] = Counter()  # attempts whose last byte was written, by class
        self.on_idle: Callable[[], None] | None = None
        self.fetch_endpoints: Callable[[bool], None] = lambda watch: (
            None
        )  # discovery: a watch, or the whole list
        self.answer_deadline_at = (
            math.inf
        )  # loop time by which what is taken from now on must have its answer
        self._loop = loop
        # The decisions' clock is Unix time, as the planners' starts are told in it; it advances with the
        # monotonic clock, so that a step of the system's moves no deadline. The loop's own time would not
        # do: uvloop's stands still during a turn and knows whole ms only.
        self._epoch = time.time() - monotonic()
        self._dispatcher = Dispatcher(settings, seed)
        self._contexts: dict[int, RequestContext] = {}
        self._numbers = 0
        self._events: list[Event] = []
        self._due = False
        self._changes: list[EndpointsUpdated] = []  # of the list, in this turn: one change to the decisions
        self._changes_at = 0  # the place of the first of them among the events
        self.decision_log: DecisionLog | None = None  # off but where LB_TRACE asks for it

    def apply_settings(self, settings: Settings) -> None:
        """Settings read anew, with every class that was ever in force, so that exchanges keep theirs."""
        self.settings = settings
        self.endpoints.repeats_count = settings.weight_kind is WeightKind.LIVE
        self._dispatcher.retune(settings)

    # ---- the loop

    def post(self, event: Event) -> None:
        """Have the decisions told; with all else that is ready by then."""
        self._events.append(event)
        if not self._due:
            self._due = True
            self._loop.call_soon(self._hand_over)

    def _list_told(self, news: EndpointsUpdated | DiscoveryMoved) -> None:
        """News of the list. A lost zone may come as hundreds of changes in one turn: the decisions get them
        as one, where the first of them stood.
        """
        if isinstance(news, DiscoveryMoved) or news.kind is not UpdateKind.DELTA:
            self._close_changes()
        else:
            self._changes.append(news)
            if len(self._changes) > 1:
                return
            self._changes_at = len(self._events)
        self.post(news)

    def _close_changes(self) -> None:
        """What comes from now on is another change."""
        if len(self._changes) > 1:
            self._events[self._changes_at] = merge_updates(self._changes)
        self._changes = []

    def _hand_over(self) -> None:
        self._due = False
        if self._changes:
            self._close_changes()
        events, self._events = self._events, []
        now = (self._epoch + monotonic()) * 1000
        # Guards what stands beside it in this turn against an exception: timers that were to be set would set
        # no others, and the next step of a job would never come.
        try:
            actions = self._dispatcher.handle(now, events)
        except Exception:
            log.exception("the decisions, on %d events", len(events))
            actions = self._dispatcher.actions
        if self.decision_log is not None:
            self.decision_log.record(now, events, actions)
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:
                log.exception("carrying out %r", action)

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            due = monotonic() + action.delay_ms / 1000
            self._loop.call_at(due, self._timer_due, TimerFired(action.token), due)
        elif isinstance(action, StartAttempt):
            self._send(action)
        elif isinstance(action, RejectRequest):
            if exchange := self._settle(action.job_id, "refused"):
                exchange.requester.rejected(action.retry_after_ms)
        elif isinstance(action, FailRequest):
            if exchange := self._settle(action.job_id, "failed"):
                exchange.requester.failed()
        elif isinstance(action, CancelAttempt):
            held = self._contexts.get(action.job_id)
            if held is not None and not held.attempts[action.attempt_index].finished:
                self._stop(held.attempts[action.attempt_index], Outcome.CANCELLED)
        elif isinstance(action, WatchEndpoints | FetchEndpoints):
            self.fetch_endpoints(isinstance(action, WatchEndpoints))
        elif isinstance(action, ProbeWorker | CloseIdleConnections):
            target = self.endpoints.endpoint(action.worker)
            if target is not None and isinstance(action, ProbeWorker):
                target.client.probe(target)
            elif target is not None:
                target.client.close_idle_connections(target)
        elif isinstance(action, LogLine):
            log.info("%s", action.text)

    def _timer_due(self, event: TimerFired, due: float) -> None:
        # Guards against timers that fire early: uvloop rounds to whole ms and counts from the start of its
        # turn. The decisions take an early timer for an old one, and the next look at the list, or at a job,
        # would never come.
        if monotonic() < due:
            self._loop.call_at(due + 0.001, self._timer_due, event, due)
        else:
            self.post(event)

    # ---- exchanges

    def submit(self, request: Request, client: Requester) -> RequestContext:
        """A client's request is wholly in; from now on it is owed one final answer."""
        self._numbers += 1
        now = monotonic()
        # Near the program's end there is less time than the client would give.
        left = max(
            0.0, min(request.client_timeout_ms - RESPONSE_MARGIN_MS, (self.answer_deadline_at - now) * 1000)
        )
        exchange = RequestContext(self._numbers, request, client, now + left / 1000)
        self._contexts[exchange.job_id] = exchange
        self.counters["taken"] += 1
        # Guards against a final answer that never comes: whatever the decisions do, the client gets one.
        exchange.deadline_timer = self._loop.call_at(
            exchange.deadline_at + DEADLINE_GUARD_MS / 1000, self._overdue, exchange
        )
        if self.translator is None or request.form_version is None:
            self._submit(exchange, left)
        else:
            self._untranslated.append(exchange)
            if len(self._untranslated) == 1:
                self._loop.call_soon(self._translate)
        return exchange

    def _submit(self, exchange: RequestContext, left: float, fits: frozenset[int] | None = None) -> None:
        request = exchange.request
        self.post(
            JobSubmitted(
                exchange.job_id,
                left,
                request.job_class,
                request.tenant,
                request.slots,
                request.memory,
                request.work_hint,
                request.affinity_key,
                request.is_retry,
                fits,
            )
        )

    def _translate(self) -> None:
        """Translate the request that has waited longest; one in each turn of the loop, so that a burst of
        long ones makes no timer late. Where no listed planner could be told it, it is refused at once.
        """
        exchange = self._untranslated.popleft()
        if self._untranslated:
            self._loop.call_soon(self._translate)
        if exchange.answered or self.translator is None:
            return  # its client has gone meanwhile
        prepared = exchange.translated = self.translator.prepare(exchange.request)
        if why := self._unfit(exchange):
            self._refuse_unfit(exchange, why)
        else:
            left = max(0.0, (exchange.deadline_at - monotonic()) * 1000)
            self._submit(exchange, left, frozenset(prepared.bodies) if prepared.failures else None)

    def _unfit(self, exchange: RequestContext) -> TranslationFailure | None:
        """Why no listed planner can be told the request; None where one can, or may yet be found to."""
        prepared = exchange.translated
        if prepared is None or not prepared.failures:
            return None
        listed = self.endpoints.interfaces()
        if prepared.bodies and (not listed or 0 in listed or not listed.isdisjoint(prepared.bodies)):
            return None
        by_listed = [interface for interface in sorted(prepared.failures) if interface in listed]
        why: TranslationFailure = prepared.failures[by_listed[0] if by_listed else min(prepared.failures)]
        return why

    def _refuse_unfit(self, exchange: RequestContext, why: TranslationFailure) -> None:
        if self._settle(exchange.job_id, "unfit"):
            exchange.last_error = f"{why.field}: {why.reason}".encode()
            exchange.requester.untranslatable(why, False)

    def interfaces_changed(self) -> None:
        """Planners of an interface have come or gone: what waits and can be told to none that is left is not
        held until its time is over.
        """
        for exchange in list(self._contexts.values()):
            if not exchange.answered and not exchange.attempts and (why := self._unfit(exchange)):
                self._refuse_unfit(exchange, why)
                self.post(JobWithdrawn(exchange.job_id))

    def withdraw(self, exchange: RequestContext) -> None:
        """The client has gone: nothing more is owed to it."""
        if self._settle(exchange.job_id, "withdrawn"):
            self.post(JobWithdrawn(exchange.job_id))

    def detach(self, exchange: RequestContext) -> None:
        """The clients have gone, but what runs must not run anew: it goes on, and no attempt begins."""
        exchange.detached = True
        self._drop_unrun(exchange)

    def _drop_unrun(self, exchange: RequestContext) -> None:
        """Drop what still waits for a connection, a stream or a worker, also where the decisions may not call
        off what runs.
        """
        for attempt in exchange.attempts:
            if not attempt.finished and not attempt.fully_sent:
                self._stop(attempt, Outcome.CANCELLED)

    def _overdue(self, exchange: RequestContext) -> None:
        if self._settle(exchange.job_id, "overdue"):
            log.warning("exchange %d had no answer at its deadline", exchange.job_id)
            exchange.requester.failed()
            self.post(JobWithdrawn(exchange.job_id))

    def _settle(self, number: int, how: str) -> RequestContext | None:
        """End an exchange; None where it has ended before, so that no second answer goes out."""
        exchange = self._contexts.get(number)
        if exchange is None or exchange.answered:
            return None
        exchange.answered = True
        self.counters[how] += 1
        self.answered_counts[how, exchange.request.job_class] += 1
        if exchange.deadline_timer is not None:
            exchange.deadline_timer.cancel()
        self._drop_unrun(exchange)  # no attempt begins after the end
        self._forget(exchange)
        return exchange

    def _forget(self, exchange: RequestContext) -> None:
        if exchange.answered and all(attempt.finished for attempt in exchange.attempts):
            self._contexts.pop(exchange.job_id, None)
            if not self._contexts and self.on_idle is not None:
                self._loop.call_soon(self.on_idle)

    def ejected_count(self) -> int:
        """How many ready planners the decisions pass over at present: they found no room or no connection
        there a moment ago, or its jobs went slowly.
        """
        now, dispatcher = (self._epoch + monotonic()) * 1000, self._dispatcher
        return sum(
            worker.ready
            and (
                worker.ejected_until > now
                or (worker.pace > SLOW * dispatcher.pace and now - worker.pace_at < PACE_AGE)
            )
            for worker in dispatcher.workers.values()
        )

    def _with_attempts(self) -> set[WorkerId]:
        """The planners that attempts are out at, or wait to begin at."""
        return {
            attempt.endpoint.id
            for exchange in self._contexts.values()
            for attempt in exchange.attempts
            if not attempt.finished
        }

    @property
    def active_count(self) -> int:
        """How many exchanges wait for their answer."""
        return sum(not exchange.answered for exchange in self._contexts.values())

    # ---- attempts

    def _send(self, action: StartAttempt) -> None:
        exchange = self._contexts.get(action.job_id)
        if exchange is not None and exchange.detached and self._settle(action.job_id, "failed"):
            exchange.requester.failed()
        target = self.endpoints.endpoint(action.worker)
        now = monotonic()
        if (
            exchange is None
            or exchange.answered
            or target is None
            or now >= exchange.deadline_at
            or (len(exchange.attempts) >= self.settings.limits.max_attempts)
        ):
            number = len(exchange.attempts) if exchange is not None else 0
            self.counters[f"attempt {member_name(Outcome.SUPERSEDED)}"] += 1
            self.post(
                AttemptFinished(
                    action.job_id,
                    number,
                    action.worker,
                    Outcome.SUPERSEDED,
                    0.0,
                    exchange is None or exchange.answered,
                )
            )
            return
        deadline = exchange.deadline_at
        if action.timeout_ms > 0:
            deadline = min(deadline, now + action.timeout_ms / 1000)
        prepared = exchange.translated
        if prepared is not None and target.interface not in prepared.bodies:
            # The planner came back with another interface in this very turn.
            exchange.attempts.append(Attempt(exchange, len(exchange.attempts), target, now, deadline))
            self.attempt_finished(exchange.attempts[-1], Outcome.CONNECT_FAILED)
            return
        body = exchange.request.body if prepared is None else prepared.bodies[target.interface]
        attempt = Attempt(exchange, len(exchange.attempts), target, now, deadline, body)
        if action.write_within_ms > 0:
            attempt.write_deadline_at = now + action.write_within_ms / 1000
        exchange.attempts.append(attempt)
        attempt.timeout_timer = self._loop.call_at(deadline, self.attempt_timed_out, attempt)
        target.client.start(attempt)

    def may_begin(self, attempt: Attempt) -> bool:
        """Whether an attempt that waited for its connection may be written now. Guards against what came
        while it waited: its client's end, the drain or end of its planner, the end of a repeat's window.
        """
        exchange, planner = attempt.context, attempt.endpoint.id
        return not (
            attempt.finished
            or exchange.answered
            or exchange.detached
            or self.endpoints.is_leaving(planner)
            or monotonic() >= attempt.write_deadline_at
        )

    def attempt_sent(self, attempt: Attempt) -> None:
        """The carrier has written the attempt's last byte: from now on it may have run."""
        attempt.fully_sent = True
        self.sent_counts[attempt.context.request.job_class] += 1

    def attempt_timed_out(self, attempt: Attempt) -> None:
        """The time for an attempt is over."""
        if not attempt.finished:
            self._stop(attempt, Outcome.TIMEOUT)

    def _stop(self, attempt: Attempt, outcome: Outcome) -> None:
        # Stopped before its last byte was written, or before a worker took it, it has never run: that is
        # how the protocol has it, and a keyed job keeps its choice of planners.
        ran = attempt.endpoint.client.abort(attempt)
        self.attempt_finished(attempt, outcome if ran else Outcome.CONNECT_FAILED)

    def attempt_progressed(self, attempt: Attempt, kind: ProgressKind, share: float = 0.0) -> None:
        """The planner tells of a job's start or progress."""
        if not attempt.finished:
            self.post(
                AttemptProgressed(attempt.context.job_id, attempt.index, attempt.endpoint.id, kind, share)
            )
            if not attempt.context.answered:
                attempt.context.requester.progressed(kind, share)

    def attempt_finished(
        self,
        attempt: Attempt,
        outcome: Outcome,
        result: bytes = b"",
        report: Sequence[float] = (),
        pushback: float | None = None,
    ) -> None:
        """The one outcome of an attempt; whatever comes after it is nothing to the core. `pushback`: ms that
        the planner wants the next attempt to wait, negative for none at all.
        """
        if attempt.finished:
            return
        attempt.outcome = outcome
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        self.counters[f"attempt {member_name(outcome)}"] += 1
        exchange = attempt.context
        if outcome is Outcome.ERROR:
            exchange.last_error = result
        if outcome is Outcome.OK and not exchange.answered:
            self._serve(exchange, attempt, result)
        self.post(
            AttemptFinished(
                exchange.job_id,
                attempt.index,
                attempt.endpoint.id,
                outcome,
                (monotonic() - attempt.started_at) * 1000,
                exchange.answered,
                tuple(report),
                pushback,
            )
        )
        self._forget(exchange)

    def _serve(self, exchange: RequestContext, attempt: Attempt, result: bytes) -> None:
        answer: bytes | TranslationFailure = result
        if exchange.translated is not None and self.translator is not None:
            answer = self.translator.answer(exchange.request, attempt.endpoint.interface, result)
        if isinstance(answer, bytes):
            self._settle(exchange.job_id, "served")
            exchange.requester.succeeded(answer)
        else:
            # The job ran: whatever its class, it is not run again for a result that can't be told.
            self._settle(exchange.job_id, "failed")
            exchange.last_error = f"{answer.field}: {answer.reason}".encode()
            exchange.requester.untranslatable(answer, True)

    def connection_lost(self, target: Endpoint) -> None:
        """A connection that an ended attempt had left free has closed."""
        self.post(ConnectionLost(target.id))

    def probe_finished(
        self, target: Endpoint, outcome: Outcome, elapsed: float, report: Sequence[float] = ()
    ) -> None:
        """What one probe found."""
        self.post(ProbeFinished(target.id, elapsed, outcome, tuple(report)))
