"""What has been asked and run under a key, for fronts whose clients ask again by themselves.

One key has one running exchange: who asks for the same again joins it. Where the class forbids another
run within its window, what has ended is answered again as it ended.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from pipitshed.proxy.forwarder import Core
from pipitshed.proxy.request import Client, Exchange, Refusal, Request
from pipitshed.scheduling.events import ProgressKind
from pipitshed.scheduling.settings import Idempotency

Key = tuple[int, str]
KEPT_BYTES = 16 * 1024 * 1024  # of results; of the oldest beyond it only that they ran is kept


@dataclass(slots=True, eq=False)
class Entry:
    """One key's exchange and who waits for it; to the core it is the exchange's client."""

    ledger: Ledger
    key: Key | None
    clients: list[Client] = field(default_factory=list)
    exchange: Exchange | None = None
    result: bytes | None = None
    ended: bool = False
    notes: dict[ProgressKind, float] = field(default_factory=dict)

    def served(self, result: bytes) -> None:
        self.result = result
        for client in self._end():
            client.served(result)

    def refused(self, retry_after: float) -> None:
        for client in self._end():
            client.refused(retry_after)

    def failed(self) -> None:
        for client in self._end():
            client.failed()

    def unfit(self, why: Refusal, ran: bool) -> None:
        for client in self._end():
            client.unfit(why, ran)

    def noted(self, kind: ProgressKind, share: float) -> None:
        self.notes[kind] = share
        for client in self.clients:
            client.noted(kind, share)

    def _end(self) -> list[Client]:
        self.ended = True
        self.ledger.ended(self)
        clients, self.clients = self.clients, []
        return clients


class Ledger:
    """The entries of all keys that run, or have run within their class's window."""

    def __init__(self, core: Core, loop: asyncio.AbstractEventLoop) -> None:
        self._core = core
        self._loop = loop
        self._entries: dict[Key, Entry] = {}
        self._kept: deque[Entry] = deque()
        self._kept_bytes = 0

    def find(self, job_class: int, key: str) -> Entry | None:
        """The key's entry, running or not."""
        return self._entries.get((job_class, key))

    def submit(self, request: Request, client: Client) -> Entry:
        """Run it, join what runs already, or answer again what has run; the answer may come at once."""
        key = (request.job_class, request.key) if request.key else None
        entry = self._entries.get(key) if key is not None else None
        if entry is not None and not entry.ended:
            entry.clients.append(client)
            if entry.exchange is not None:
                entry.exchange.orphan = False
            for kind, share in entry.notes.items():
                client.noted(kind, share)
        elif entry is not None:
            if entry.result is not None:
                client.served(entry.result)
            else:
                client.failed()  # it may have run, and must not run anew
        else:
            entry = Entry(self, key, [client])
            if key is not None:
                self._entries[key] = entry
            entry.exchange = self._core.take(request, entry)
        return entry

    def withdraw(self, entry: Entry, client: Client) -> None:
        """One client has gone. What may have run and must not run anew goes on without any, so that a
        client that comes back finds its result; all else ends with its last client.
        """
        if client in entry.clients:
            entry.clients.remove(client)
            if not entry.clients and entry.exchange is not None and self._once(entry):
                self._core.orphan(entry.exchange)
            elif not entry.clients and entry.exchange is not None:
                self._core.withdraw(entry.exchange)
                entry.ended = True
                self.ended(entry)

    def _once(self, entry: Entry) -> bool:
        """Whether it must not run anew: it may have run, in a class that forbids a repeat."""
        exchange = entry.exchange
        if exchange is None or entry.key is None or not exchange.may_have_run:
            return False
        return (
            self._core.settings.classes[exchange.request.job_class].idempotency is not Idempotency.IDEMPOTENT
        )

    def ended(self, entry: Entry) -> None:
        """Keep what must not run anew as long as its class says, and forget the rest."""
        if entry.key is None or entry.exchange is None:
            return
        if not self._once(entry):
            self._entries.pop(entry.key, None)
            return
        cls = self._core.settings.classes[entry.exchange.request.job_class]
        first = min(attempt.sent_at for attempt in entry.exchange.attempts if attempt.may_have_run)
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
            self._kept.append(entry)
            self._kept_bytes += len(entry.result)
        # Guards the memory limit: results of up to 64 KiB are kept for a whole window.
        while self._kept_bytes > KEPT_BYTES:
            self._drop(self._kept.popleft())

    def _forget(self, entry: Entry) -> None:
        if entry.key is not None and self._entries.get(entry.key) is entry:
            del self._entries[entry.key]
        if entry in self._kept:
            self._kept.remove(entry)
            self._drop(entry)

    def _drop(self, entry: Entry) -> None:
        self._kept_bytes -= len(entry.result or b"")
        entry.result = None
