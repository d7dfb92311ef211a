"""The central object of the proxy: frontends, worker clients and discovery call it."""

from __future__ import annotations

import asyncio
import logging
import math
from collections import Counter
from collections.abc import Callable, Sequence
from time import monotonic

from pipitshed.flow_control import MemoryBudget
from pipitshed.proxy.attempt import Attempt
from pipitshed.proxy.attempt_runner import AttemptRunner
from pipitshed.proxy.decision_log import DecisionLog
from pipitshed.proxy.dispatch_loop import DispatchLoop
from pipitshed.proxy.endpoint_table import EndpointTable
from pipitshed.proxy.executed_requests import ExecutedRequests
from pipitshed.proxy.request import Request, RequestContext, Requester, Translator
from pipitshed.proxy.request_lifecycle import RequestLifecycle
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
from pipitshed.scheduling.dispatcher import Dispatcher
from pipitshed.scheduling.events import (
    ConnectionLost,
    Event,
    Outcome,
    ProbeFinished,
    ProgressKind,
    WorkerId,
)
from pipitshed.scheduling.settings import Settings, WeightKind

log = logging.getLogger("pipitshed")


class Forwarder:
    """Connects requests, attempts and endpoints with the dispatcher, and executes its actions."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        loop: asyncio.AbstractEventLoop,
        decision_log: DecisionLog | None = None,
        executed: ExecutedRequests | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        memory = memory or MemoryBudget(math.inf, monotonic)
        self.executed = executed or ExecutedRequests(memory)
        self.settings = settings
        self.counters: Counter[str] = Counter()
        self._dispatcher = Dispatcher(settings, seed)
        self._dispatch_loop = DispatchLoop(self._dispatcher, self._execute, loop, decision_log)
        self.endpoints = EndpointTable(
            self._dispatch_loop.post_endpoint_update,
            workers_in_use=self._workers_in_use,
            on_interfaces_changed=self._interfaces_changed,
            memory=memory,
            unix_ms=self._dispatch_loop.now_ms,
        )
        self.endpoints.publishes_unchanged = settings.weight_kind is WeightKind.LIVE
        self._requests = RequestLifecycle(
            self._dispatch_loop, self.endpoints, self._stop_attempt, self.counters, loop
        )
        self._attempts = AttemptRunner(
            self._dispatch_loop,
            self.endpoints,
            self._requests,
            self.counters,
            settings.limits.max_attempts,
            loop,
            self.executed,
        )
        self._fetch_endpoints: Callable[[bool], None] | None = None

    def attach_discovery(self, fetch_endpoints: Callable[[bool], None]) -> None:
        """Set the function that fetches the endpoint list: by a watch for True, else as a whole.

        Discovery is constructed with this object's endpoint table, so it can't be a constructor argument.
        """
        self._fetch_endpoints = fetch_endpoints

    def attach_translator(self, translator: Translator) -> None:
        """Set the translator of requests with a form version; its construction needs this object."""
        self._requests.translator = translator

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings; they contain every class ever applied, so that class numbers stay valid."""
        self.settings = settings
        self.endpoints.publishes_unchanged = settings.weight_kind is WeightKind.LIVE
        self._attempts.max_attempts = settings.limits.max_attempts
        self._dispatcher.apply_settings(settings)

    def set_answer_deadline(self, deadline_at: float) -> None:
        """Limit the deadline of requests submitted from now on to this loop time."""
        self._requests.answer_deadline_at = deadline_at

    def close(self) -> None:
        """Flush the decision log."""
        self._dispatch_loop.close()

    # ---- metrics

    @property
    def active_count(self) -> int:
        """The number of requests that wait for their answer."""
        return self._requests.active_count

    @property
    def answered_counts(self) -> Counter[tuple[str, int]]:
        """The number of ended requests, by `RequestEnd` and class number."""
        return self._requests.answered_counts

    @property
    def sent_counts(self) -> Counter[int]:
        """The number of attempts whose last byte was written, by class number."""
        return self._attempts.sent_counts

    def ejected_count(self) -> int:
        """The number of ready workers that the dispatcher excludes at present.

        A worker is excluded for a while after it had no capacity, accepted no connection or ran jobs slowly.
        """
        return self._dispatcher.ejected_worker_count(self._dispatch_loop.now_ms())

    # ---- actions of the dispatcher

    def _execute(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self._dispatch_loop.set_timer(action.token, action.delay_ms)
        elif isinstance(action, StartAttempt):
            self._attempts.start(action)
        elif isinstance(action, RejectRequest):
            self._requests.reject(action.job_id, action.retry_after_ms)
        elif isinstance(action, FailRequest):
            self._requests.fail(action.job_id)
        elif isinstance(action, CancelAttempt):
            self._attempts.cancel(action.job_id, action.attempt_index)
        elif isinstance(action, LogLine):
            log.info("%s", action.text)
        else:
            self._execute_on_endpoints(action)

    def _execute_on_endpoints(self, action: Action) -> None:
        if isinstance(action, WatchEndpoints | FetchEndpoints):
            if self._fetch_endpoints is not None:
                self._fetch_endpoints(isinstance(action, WatchEndpoints))
        elif isinstance(action, ProbeWorker | CloseIdleConnections):
            endpoint = self.endpoints.endpoint(action.worker)
            if endpoint is not None and isinstance(action, ProbeWorker):
                endpoint.client.probe(endpoint)
            elif endpoint is not None:
                endpoint.client.close_idle_connections(endpoint)

    # ---- callbacks between parts that are constructed after each other

    def _workers_in_use(self) -> set[WorkerId]:
        return self._requests.workers_in_use()

    def _interfaces_changed(self) -> None:
        self._requests.interfaces_changed()

    def _stop_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        self._attempts.stop(attempt, outcome)

    # ---- called by frontends

    def submit(self, request: Request, requester: Requester) -> RequestContext:
        """Accept a complete request; from now on `requester` gets exactly one final answer."""
        return self._requests.submit(request, requester)

    def withdraw(self, context: RequestContext) -> None:
        """End a request whose client has disconnected; its requester gets no answer."""
        self._requests.withdraw(context)

    def detach(self, context: RequestContext) -> None:
        """Keep running attempts, but start no more: the clients have left, and the job must not run twice."""
        self._requests.detach(context)

    # ---- called by worker clients

    def post(self, event: Event) -> None:
        """Queue an event for the dispatcher."""
        self._dispatch_loop.post(event)

    def may_begin(self, attempt: Attempt) -> bool:
        """Whether an attempt that waited for its connection may be written now."""
        return self._attempts.may_begin(attempt)

    def attempt_sent(self, attempt: Attempt) -> None:
        """Record that the attempt's last byte is written: from now on the job may have run."""
        self._attempts.sent(attempt)
        self.executed.attempt_sent(attempt, self.settings.classes[attempt.context.request.job_class])

    def attempt_timed_out(self, attempt: Attempt) -> None:
        """Stop an attempt whose worker has a shorter time limit for the job, unless it has ended."""
        self._attempts.timed_out(attempt)

    def attempt_progressed(self, attempt: Attempt, kind: ProgressKind, done_fraction: float = 0.0) -> None:
        """Pass on a job's start or progress that the worker reported."""
        self._attempts.progressed(attempt, kind, done_fraction)

    def attempt_finished(
        self,
        attempt: Attempt,
        outcome: Outcome,
        result: bytes = b"",
        load_report: Sequence[float] = (),
        pushback_ms: float | None = None,
    ) -> None:
        """Record the one outcome of an attempt; `AttemptRunner.finished` describes the arguments."""
        self._attempts.finished(attempt, outcome, result, load_report, pushback_ms)

    def connection_lost(self, endpoint: Endpoint) -> None:
        """Report that an idle connection to the endpoint has closed."""
        self._dispatch_loop.post(ConnectionLost(endpoint.id))

    def probe_finished(
        self, endpoint: Endpoint, outcome: Outcome, elapsed_ms: float, load_report: Sequence[float] = ()
    ) -> None:
        """Report the outcome of a probe."""
        self._dispatch_loop.post(ProbeFinished(endpoint.id, elapsed_ms, outcome, tuple(load_report)))
