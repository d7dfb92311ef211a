"""The proxy's core: called by frontends, worker clients and discovery; executes the dispatcher's actions."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Sequence

from pipitshed.proxy.attempt import Attempt
from pipitshed.proxy.attempt_runner import AttemptRunner
from pipitshed.proxy.decision_log import DecisionLog
from pipitshed.proxy.dispatch_loop import DispatchLoop
from pipitshed.proxy.endpoint_table import EndpointTable
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
    """Joins the requests, their attempts, the endpoints and the dispatcher that decides on them."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        loop: asyncio.AbstractEventLoop,
        decision_log: DecisionLog | None = None,
    ) -> None:
        self.settings = settings
        self.counters: Counter[str] = Counter()
        self._dispatcher = Dispatcher(settings, seed)
        self._dispatch_loop = DispatchLoop(self._dispatcher, self._execute, loop, decision_log)
        self.endpoints = EndpointTable(
            self._dispatch_loop.post_endpoint_update,
            workers_in_use=self._workers_in_use,
            on_interfaces_changed=self._interfaces_changed,
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
        )
        self._fetch_endpoints: Callable[[bool], None] | None = None

    def attach_discovery(self, fetch_endpoints: Callable[[bool], None]) -> None:
        """Set what fetches the endpoint list: with True by a watch, else the whole list.

        Discovery is made with the endpoint table of this object, and can't be an argument of it.
        """
        self._fetch_endpoints = fetch_endpoints

    def attach_translator(self, translator: Translator) -> None:
        """Have requests with a form version translated; the translator's parts need this object first."""
        self._requests.translator = translator

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings; they hold every class that was ever applied, so that requests keep theirs."""
        self.settings = settings
        self.endpoints.publishes_unchanged = settings.weight_kind is WeightKind.LIVE
        self._attempts.max_attempts = settings.limits.max_attempts
        self._dispatcher.apply_settings(settings)

    def set_answer_deadline(self, deadline_at: float) -> None:
        """Have all that is submitted from now on answered by this loop time."""
        self._requests.answer_deadline_at = deadline_at

    def close(self) -> None:
        """Write out the decision log."""
        self._dispatch_loop.close()

    # ---- metrics

    @property
    def active_count(self) -> int:
        """How many requests wait for their answer."""
        return self._requests.active_count

    @property
    def answered_counts(self) -> Counter[tuple[str, int]]:
        """Requests by how they ended (a `RequestEnd`), and class."""
        return self._requests.answered_counts

    @property
    def sent_counts(self) -> Counter[int]:
        """Attempts whose last byte was written, by class."""
        return self._attempts.sent_counts

    def ejected_count(self) -> int:
        """How many ready workers the dispatcher passes over at present.

        They had no capacity or no connection a moment ago, or jobs went slowly there.
        """
        return self._dispatcher.ejected_worker_count(self._dispatch_loop.now_ms())

    # ---- from the dispatcher

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

    # ---- late binding between the parts

    def _workers_in_use(self) -> set[WorkerId]:
        return self._requests.workers_in_use()

    def _interfaces_changed(self) -> None:
        self._requests.interfaces_changed()

    def _stop_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        self._attempts.stop(attempt, outcome)

    # ---- from frontends

    def submit(self, request: Request, requester: Requester) -> RequestContext:
        """Accept a request that has been read completely; from now on `requester` gets one final answer."""
        return self._requests.submit(request, requester)

    def withdraw(self, context: RequestContext) -> None:
        """End a request whose client has left: it gets no answer."""
        self._requests.withdraw(context)

    def detach(self, context: RequestContext) -> None:
        """The clients have left, but the job must not run twice: what runs goes on, no attempt begins."""
        self._requests.detach(context)

    # ---- from worker clients

    def post(self, event: Event) -> None:
        """Have the dispatcher notified, together with all else that is ready by then."""
        self._dispatch_loop.post(event)

    def may_begin(self, attempt: Attempt) -> bool:
        """Whether an attempt that waited for its connection may be written now."""
        return self._attempts.may_begin(attempt)

    def attempt_sent(self, attempt: Attempt) -> None:
        """The attempt's last byte is written: from now on it may have run."""
        self._attempts.sent(attempt)

    def attempt_timed_out(self, attempt: Attempt) -> None:
        """The attempt's time is over."""
        self._attempts.timed_out(attempt)

    def attempt_progressed(self, attempt: Attempt, kind: ProgressKind, done_fraction: float = 0.0) -> None:
        """The worker has reported a job's start or progress."""
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
        """An idle connection, left open by an attempt that has ended, has closed."""
        self._dispatch_loop.post(ConnectionLost(endpoint.id))

    def probe_finished(
        self, endpoint: Endpoint, outcome: Outcome, elapsed_ms: float, load_report: Sequence[float] = ()
    ) -> None:
        """Report what a probe found."""
        self._dispatch_loop.post(ProbeFinished(endpoint.id, elapsed_ms, outcome, tuple(load_report)))
