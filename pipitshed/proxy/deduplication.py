"""What has been asked and run under a key, for fronts whose clients ask again by themselves.

One key has one running exchange: who asks for the same again joins it. Where the class forbids another
run within its window, what has ended is answered again as it ended.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from pipitshed.proxy.forwarder import Forwarder
from pipitshed.proxy.request import Request, RequestContext, Requester, TranslationFailure
from pipitshed.scheduling.events import ProgressKind
from pipitshed.scheduling.settings import Idempotency

Key = tuple[int, str]
CACHED_RESULT_BYTES = 16 * 1024 * 1024  # of results; of the oldest beyond it only that they ran is kept


@dataclass(slots=True, eq=False)
class DeduplicationEntry:
    """One key's exchange and who waits for it; to the core it is the exchange's client."""

    table: DeduplicationTable
    key: Key | None
    requesters: list[Requester] = field(default_factory=list)
    context: RequestContext | None = None
    result: bytes | None = None
    ended: bool = False
    last_progress: dict[ProgressKind, float] = field(default_factory=dict)

    def succeeded(self, result: bytes) -> None:
        self.result = result
        for client in self._end():
            client.succeeded(result)

    def rejected(self, retry_after: float) -> None:
        for client in self._end():
            client.rejected(retry_after)

    def failed(self) -> None:
        for client in self._end():
            client.failed()

    def untranslatable(self, why: TranslationFailure, ran: bool) -> None:
        for client in self._end():
            client.untranslatable(why, ran)

    def progressed(self, kind: ProgressKind, share: float) -> None:
        self.last_progress[kind] = share
        for client in self.requesters:
            client.progressed(kind, share)

    def _end(self) -> list[Requester]:
        self.ended = True
        self.table.finished(self)
        clients, self.requesters = self.requesters, []
        return clients


class DeduplicationTable:
    """The entries of all keys that run, or have run within their class's window."""

    def __init__(self, core: Forwarder, loop: asyncio.AbstractEventLoop) -> None:
        self._core = core
        self._loop = loop
        self._entries: dict[Key, DeduplicationEntry] = {}
        self._cached: deque[DeduplicationEntry] = deque()
        self._cached_bytes = 0

    def find(self, job_class: int, key: str) -> DeduplicationEntry | None:
        """The key's entry, running or not."""
        return self._entries.get((job_class, key))

    def submit(self, request: Request, client: Requester) -> DeduplicationEntry:
        """Run it, join what runs already, or answer again what has run; the answer may come at once."""
        key = (request.job_class, request.idempotency_key) if request.idempotency_key else None
        entry = self._entries.get(key) if key is not None else None
        if entry is not None and not entry.ended:
            entry.requesters.append(client)
            if entry.context is not None:
                entry.context.detached = False
            for kind, share in entry.last_progress.items():
                client.progressed(kind, share)
        elif entry is not None:
            if entry.result is not None:
                client.succeeded(entry.result)
            else:
                client.failed()  # it may have run, and must not run anew
        else:
            entry = DeduplicationEntry(self, key, [client])
            if key is not None:
                self._entries[key] = entry
            entry.context = self._core.submit(request, entry)
        return entry

    def withdraw(self, entry: DeduplicationEntry, client: Requester) -> None:
        """One client has gone. What may have run and must not run anew goes on without any, so that a
        client that comes back finds its result; all else ends with its last client.
        """
        if client in entry.requesters:
            entry.requesters.remove(client)
            if not entry.requesters and entry.context is not None and self._once(entry):
                self._core.detach(entry.context)
            elif not entry.requesters and entry.context is not None:
                self._core.withdraw(entry.context)
                entry.ended = True
                self.finished(entry)

    def _once(self, entry: DeduplicationEntry) -> bool:
        """Whether it must not run anew: it may have run, in a class that forbids a repeat."""
        exchange = entry.context
        if exchange is None or entry.key is None or not exchange.may_have_run:
            return False
        return (
            self._core.settings.classes[exchange.request.job_class].idempotency is not Idempotency.IDEMPOTENT
        )

    def finished(self, entry: DeduplicationEntry) -> None:
        """Keep what must not run anew as long as its class says, and forget the rest."""
        if entry.key is None or entry.context is None:
            return
        if not self._once(entry):
            self._entries.pop(entry.key, None)
            return
        cls = self._core.settings.classes[entry.context.request.job_class]
        first = min(attempt.started_at for attempt in entry.context.attempts if attempt.may_have_run)
        until = (
            first
            + (
                cls.idempotency_window_ms
                if cls.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
                else cls.deadline_ms
            )
            / 1000
        )
        self._loop.call_at(max(until, self._loop.time()), self._forget, entry)
        if entry.result is not None:
            self._cached.append(entry)
            self._cached_bytes += len(entry.result)
        # Guards the memory limit: results of up to 64 KiB are kept for a whole window.
        while self._cached_bytes > CACHED_RESULT_BYTES:
            self._drop(self._cached.popleft())

    def _forget(self, entry: DeduplicationEntry) -> None:
        if entry.key is not None and self._entries.get(entry.key) is entry:
            del self._entries[entry.key]
        if entry in self._cached:
            self._cached.remove(entry)
            self._drop(entry)

    def _drop(self, entry: DeduplicationEntry) -> None:
        self._cached_bytes -= len(entry.result or b"")
        entry.result = None
