"""Deduplication of requests by idempotency key, for frontends whose clients resubmit requests.

A key has at most one running request: a client that submits the same key again joins it. If the class forbids
a second run within its window, a request that has ended is answered again with the same answer.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from pipitshed.flow_control import NO_CHARGE, MemoryBudget, MemoryCharge
from pipitshed.proxy.forwarder import Forwarder
from pipitshed.proxy.request import Request, RequestContext, Requester, TranslationFailure
from pipitshed.scheduling.events import ProgressKind
from pipitshed.scheduling.settings import Idempotency

CACHED_RESULTS_FRACTION = 0.1  # of the memory budget; the oldest results beyond it are dropped
ENTRY_BYTES = 2 * 1024  # taken by an ended request that is remembered, beside its key and result


@dataclass(slots=True, eq=False)
class DeduplicationEntry:
    """One key's request and its waiting requesters; to the forwarder the entry is the requester."""

    table: DeduplicationTable
    key: str
    requesters: list[Requester] = field(default_factory=list)
    context: RequestContext | None = None
    result: bytes | None = None
    ended: bool = False
    last_progress: dict[ProgressKind, float] = field(default_factory=dict)
    memory_charge: MemoryCharge = NO_CHARGE  # of an ended request

    def succeeded(self, result: bytes) -> None:
        """Keep the result, and pass it to all waiting requesters."""
        self.result = result
        for requester in self._end():
            requester.succeeded(result)

    def rejected(self, retry_after_ms: float) -> None:
        """Reject all waiting requesters."""
        for requester in self._end():
            requester.rejected(retry_after_ms)

    def failed(self) -> None:
        """Fail all waiting requesters."""
        for requester in self._end():
            requester.failed()

    def untranslatable(self, failure: TranslationFailure, has_run: bool) -> None:
        """Pass the translation failure to all waiting requesters."""
        for requester in self._end():
            requester.untranslatable(failure, has_run)

    def progressed(self, kind: ProgressKind, done_fraction: float) -> None:
        """Notify all waiting requesters, and keep the progress for those that join later."""
        self.last_progress[kind] = done_fraction
        for requester in self.requesters:
            requester.progressed(kind, done_fraction)

    def _end(self) -> list[Requester]:
        self.ended = True
        self.table.finished(self)
        requesters, self.requesters = self.requesters, []
        return requesters


class DeduplicationTable:
    """The entries of all keys whose request runs, or has run within the window of its class.

    Args:
        forwarder: Runs the requests.
        loop: The event loop.
        memory: Bounds what is remembered of ended requests.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        loop: asyncio.AbstractEventLoop,
        memory: MemoryBudget,
    ) -> None:
        self._memory = memory
        self._forwarder = forwarder
        self._loop = loop
        self._entries: dict[str, DeduplicationEntry] = {}  # by idempotency key
        self._cached: deque[DeduplicationEntry] = deque()  # entries with a result, the oldest first
        self._cached_bytes = 0

    def submit(self, request: Request, requester: Requester) -> DeduplicationEntry:
        """Run the request, join the running one with its key, or answer as the ended one was answered."""
        key = request.idempotency_key
        entry = self._entries.get(key) if key else None
        if entry is None:
            entry = DeduplicationEntry(self, key, [requester])
            if key:
                self._entries[key] = entry
            entry.context = self._forwarder.submit(request, entry)
            return entry
        request.memory_charge.release()  # the request of the entry runs, or has run
        if not entry.ended:
            self._join(entry, requester)
        elif entry.result is not None:
            requester.succeeded(entry.result)
        else:
            requester.failed()  # the job may have run, and must not run again
        return entry

    def _join(self, entry: DeduplicationEntry, requester: Requester) -> None:
        entry.requesters.append(requester)
        if entry.context is not None:
            entry.context.detached = False
        for kind, done_fraction in entry.last_progress.items():
            requester.progressed(kind, done_fraction)

    def withdraw(self, entry: DeduplicationEntry, requester: Requester) -> None:
        """Remove a requester whose client has disconnected.

        A job that may have run and must not run twice continues without a requester, so that a client that
        reconnects gets its result. Any other job ends with its last requester.
        """
        if requester not in entry.requesters:
            return
        entry.requesters.remove(requester)
        if entry.requesters or entry.context is None:
            return
        if self._must_not_run_again(entry):
            self._forwarder.detach(entry.context)
        else:
            self._forwarder.withdraw(entry.context)
            entry.ended = True
            self.finished(entry)

    def _must_not_run_again(self, entry: DeduplicationEntry) -> bool:
        """Whether the job may have run, in a class that forbids a second run."""
        context = entry.context
        if context is None or not entry.key or not context.may_have_run:
            return False
        job_class = self._forwarder.settings.classes[context.request.job_class]
        return job_class.idempotency is not Idempotency.IDEMPOTENT

    def finished(self, entry: DeduplicationEntry) -> None:
        """Keep an entry whose job must not run again until its window ends; remove any other."""
        if not entry.key or entry.context is None:
            return
        if not self._must_not_run_again(entry):
            self._entries.pop(entry.key, None)
            entry.result = None  # the entry and its request refer to each other, so it would be kept for long
            return
        self._loop.call_at(max(self._window_end(entry.context), self._loop.time()), self._window_ended, entry)
        entry.memory_charge = self._memory.charge(ENTRY_BYTES + len(entry.key) + len(entry.result or b""))
        if entry.result is not None:
            self._cached.append(entry)
            self._cached_bytes += len(entry.result)
        # Results of up to 64 KiB each, kept for a whole window, would exceed the memory limit.
        while self._cached_bytes > CACHED_RESULTS_FRACTION * self._memory.limit_bytes:
            self._drop_result(self._cached.popleft())

    def _window_end(self, context: RequestContext) -> float:
        """The loop time until which the job must not run again."""
        job_class = self._forwarder.settings.classes[context.request.job_class]
        first_run_at = min(attempt.started_at for attempt in context.attempts if attempt.may_have_run)
        keyed = job_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        window_ms = job_class.idempotency_window_ms if keyed else job_class.deadline_ms
        return first_run_at + window_ms / 1000

    def _window_ended(self, entry: DeduplicationEntry) -> None:
        if self._entries.get(entry.key) is entry:
            del self._entries[entry.key]
        if entry in self._cached:
            self._cached.remove(entry)
            self._drop_result(entry)
        entry.memory_charge.release()

    def _drop_result(self, entry: DeduplicationEntry) -> None:
        byte_count = len(entry.result or b"")
        self._cached_bytes -= byte_count
        entry.memory_charge.add(-byte_count)
        entry.result = None
