"""Passes the events of each event loop iteration to the dispatcher in one batch, and executes its actions."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from time import monotonic

from pipitshed.proxy.decision_log import DecisionLog
from pipitshed.proxy.endpoint_table import DiscoveryEvent, merge_consecutive
from pipitshed.scheduling.actions import Action
from pipitshed.scheduling.dispatcher import Dispatcher
from pipitshed.scheduling.events import Event, TimerFired

TIMER_RETRY_S = 0.001  # added to the due time of a timer that fired early

log = logging.getLogger("pipitshed")


class DispatchLoop:
    """The dispatcher's clock, its queue of events and its timers.

    The clock is Unix time, because workers report their start times in it, but it advances with the
    monotonic clock, so that a step of the system clock moves no deadline. The event loop's time is
    unsuitable: uvloop updates it once per iteration and in whole ms.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        execute: Callable[[Action], None],
        loop: asyncio.AbstractEventLoop,
        decision_log: DecisionLog | None = None,
    ) -> None:
        self.epoch_s = time.time() - monotonic()
        self._dispatcher = dispatcher
        self._execute = execute
        self._loop = loop
        self._decision_log = decision_log
        self._events: list[Event] = []
        self._turn_scheduled = False
        self._discovery_events: list[DiscoveryEvent] = []

    def now_ms(self) -> float:
        """The time of the dispatcher's clock: Unix time in ms."""
        return (self.epoch_s + monotonic()) * 1000

    def post(self, event: Event) -> None:
        """Queue an event; the dispatcher gets it with all others of this event loop iteration."""
        self._events.append(event)
        if not self._turn_scheduled:
            self._schedule_turn()

    def post_endpoint_update(self, update: DiscoveryEvent) -> None:
        """Post an event of the endpoint list; the dispatcher gets it first in its iteration.

        The endpoint table has applied it already. If the dispatcher chose a worker by its previous entry, the
        attempt would go to the worker's new address.
        """
        self._discovery_events.append(update)
        if not self._turn_scheduled:
            self._schedule_turn()

    def _schedule_turn(self) -> None:
        self._turn_scheduled = True
        self._loop.call_soon(self._run_turn)

    def _take_events(self) -> list[Event]:
        """The events of this iteration: first those from discovery, with consecutive updates merged.

        A failed zone may arrive as hundreds of updates in one iteration.
        """
        events, self._events = self._events, []
        if self._discovery_events:
            events = [*merge_consecutive(self._discovery_events), *events]
            self._discovery_events = []
        return events

    def _run_turn(self) -> None:
        """Pass the events to the dispatcher, and execute its actions.

        An exception in one event or action must not stop the others of this iteration: each timer sets the
        next one, so after a lost timer the next step of a job would never be taken.
        """
        self._turn_scheduled = False
        events = self._take_events()
        now_ms = (self.epoch_s + monotonic()) * 1000
        try:
            actions = self._dispatcher.handle(now_ms, events)
        except Exception:
            log.exception("the dispatcher failed on %d events", len(events))
            actions = self._dispatcher.actions
        if self._decision_log is not None:
            self._decision_log.record(now_ms, events, actions)
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                log.exception("failed to execute %r", action)

    def set_timer(self, token: int, delay_ms: float) -> None:
        """Post a `TimerFired` with this token after the delay."""
        due_at = monotonic() + delay_ms / 1000
        self._loop.call_at(due_at, self._timer_due, TimerFired(token), due_at)

    def _timer_due(self, event: TimerFired, due_at: float) -> None:
        # uvloop rounds timers to whole ms and counts from the start of its iteration, so a timer may fire
        # early. The dispatcher would ignore an early timer as outdated, and the next poll, or the next step
        # of a job, would never be taken.
        if monotonic() < due_at:
            self._loop.call_at(due_at + TIMER_RETRY_S, self._timer_due, event, due_at)
        else:
            self.post(event)

    def close(self) -> None:
        """Flush the decision log, if there is one."""
        if self._decision_log is not None:
            self._decision_log.close()
