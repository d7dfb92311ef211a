"""The catalog's client: starts calls when the scheduler asks for them, and fills the endpoint table."""

from __future__ import annotations

import asyncio
import logging
import math
import sys
from collections import Counter, deque
from dataclasses import dataclass

from pipitshed.discovery.catalog.endpoint_parser import EndpointParser
from pipitshed.discovery.catalog.size_limit import update_size_limit
from pipitshed.discovery.catalog.update_parser import CatalogUpdate
from pipitshed.discovery.catalog.watch import CatalogCall
from pipitshed.flow_control import FlowControl
from pipitshed.proxy.endpoint_table import EndpointRow, EndpointTable
from pipitshed.scheduling.events import UpdateKind

SOURCE = "discovery"
CONNECT_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = (
    3.2  # to the response's head: the server queues calls, and rejects those that wait too long
)
MIN_PUSH_TIMEOUT_S = 0.25  # for connecting and for the response's head, where lists are pushed
IDLE_CHECK_INTERVAL_S = 3.0  # longer than the scheduler ever waits between two calls
ENTRIES_PER_TURN = 512  # parsed in one turn of the event loop
_DEFAULT_MEMORY_MB = 192

log = logging.getLogger("pipitshed")


@dataclass(slots=True)
class _PendingUpdate:
    """An update that is not in the endpoint table yet."""

    call: CatalogCall
    update: CatalogUpdate
    advances_version: bool  # no update before it was skipped


class CatalogClient:
    """Fetches and watches the endpoint list.

    The scheduler decides when to call (`fetch`). Whatever ends a call is reported to it as a failed fetch.
    """

    def __init__(
        self,
        address: tuple[str, int],
        parser: EndpointParser,
        table: EndpointTable,
        loop: asyncio.AbstractEventLoop,
        size_limit: int = update_size_limit(_DEFAULT_MEMORY_MB),
        flow_control: FlowControl | None = None,
    ) -> None:
        self.flow_control = flow_control or FlowControl(loop)
        self.address = address
        self.parser = parser
        self.table = table
        self.loop = loop
        self.size_limit = size_limit  # bytes of one update
        self.version = 0  # of the known list
        self.received_any = False  # an update has arrived since the start
        self.unreachable = False  # the last call that ended could not connect
        self.use_default_timeouts()
        self.counters: Counter[str] = Counter()
        self.active_calls = 0
        self._idle_since = math.inf  # loop time since which no call is in progress
        self._idle_check: asyncio.TimerHandle | None = None
        self._watch: CatalogCall | None = None
        self._last_problem = ""
        self._pending: deque[_PendingUpdate] = deque()
        self._rows: list[EndpointRow] = []  # those already parsed of the first pending update
        self._tasks: set[asyncio.Task[None]] = set()

    def use_default_timeouts(self) -> None:
        """Use the timeouts for a list that the scheduler polls."""
        self.connect_timeout_s, self.response_timeout_s = CONNECT_TIMEOUT_S, RESPONSE_TIMEOUT_S

    def use_push_timeouts(self, grace_s: float) -> None:
        """Shorten the timeouts for a list that is pushed to an agent on this machine.

        The scheduler counts as informed of a pushed list once the agent has it. The agent does not queue
        calls, so a call that hangs is abandoned well within the grace period for drains (`grace_s`).
        """
        timeout_s = min(CONNECT_TIMEOUT_S, max(MIN_PUSH_TIMEOUT_S, grace_s / 3))
        self.connect_timeout_s = self.response_timeout_s = timeout_s

    def load_cached(self, update: CatalogUpdate) -> None:
        """Start with the cached list, the last one that this scheduler knew."""
        self.version = update.generation
        rows = map(self.parser.row, update.instances)
        self.table.update(SOURCE, UpdateKind.CACHED, update.generation, rows)

    def follow(self, address: tuple[str, int]) -> None:
        """Use another discovery address for further calls.

        The watch at the old address continues until the scheduler calls `fetch` again. The known list and its
        version stay.
        """
        if address != self.address:
            self.address = address
            self.table.discovery_moved()

    def fetch(self, watch: bool) -> None:
        """Watch from the known version, or fetch the whole list once."""
        if watch:
            self._stop_watch()
        call = CatalogCall(self, watch)
        self.active_calls += 1
        self.counters["list calls"] += 1
        self._idle_since = math.inf
        if self._idle_check is None:
            self._idle_check = self.loop.call_later(IDLE_CHECK_INTERVAL_S, self._check_idle)
        if watch:
            self._watch = call
        task = self.loop.create_task(call.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def call_ended(self) -> None:
        """Count the end of a call, for whatever reason it ended."""
        self.active_calls -= 1
        if not self.active_calls:
            self._idle_since = self.loop.time()

    def _check_idle(self) -> None:
        # After an exception between the end of one call and the start of the next, nothing else would start
        # another call, and the list would never change again.
        self._idle_check = self.loop.call_later(IDLE_CHECK_INTERVAL_S, self._check_idle)
        if self.loop.time() - self._idle_since >= IDLE_CHECK_INTERVAL_S:
            log.warning("discovery poll overdue: no call in progress, treating the last call as failed")
            self._idle_since = self.loop.time()
            self.table.fetch_failed()

    def _stop_watch(self) -> None:
        if self._watch is not None:
            self._watch.end()
            self._watch = None

    def stop(self) -> None:
        """Stop for good, without reporting a failure."""
        self._stop_watch()
        if self._idle_check is not None:
            self._idle_check.cancel()

    def log_problem(self, text: str) -> None:
        """Log a problem with updates, unless it was the last one logged: further calls may repeat it."""
        if text != self._last_problem:
            self._last_problem = text
            log.warning("discovery: %s", text)

    def accept(self, call: CatalogCall, update: CatalogUpdate, advances_version: bool) -> None:
        """Apply an update to the endpoint table, after those that are already pending.

        Parsing a long update in one step would delay the event loop's timers, so its entries are parsed in
        slices. The table still gets them as one change.

        Args:
            call: The call that received the update; it fails if the update can't be parsed.
            update: The update.
            advances_version: Whether the list has the update's version afterwards.
        """
        self._pending.append(_PendingUpdate(call, update, advances_version))
        if len(self._pending) == 1:
            if len(update.instances) > self._entries_per_turn:
                self.loop.call_soon(self._apply_pending)
            else:
                self._apply_pending()

    @property
    def _entries_per_turn(self) -> int:
        # Where interfaces are probed, a row built in an earlier turn of the event loop may be out of date.
        return ENTRIES_PER_TURN if self.parser.interface_resolver is None else sys.maxsize

    def _apply_pending(self) -> None:
        """Apply pending updates, as many as one turn of the event loop permits."""
        while self._pending:
            pending = self._pending[0]
            try:
                is_applied = self._apply_slice(pending.update)
            except Exception as error:
                self._reject(pending.call, error)
                continue
            if not is_applied:
                self.loop.call_soon(self._apply_pending)
                return
            self._pending.popleft()
            self._rows = []
            self._note_applied(pending)

    def _apply_slice(self, update: CatalogUpdate) -> bool:
        """Parse the next slice of an update; True if that was the last, and the update is in the table."""
        start = len(self._rows)
        entries = update.instances[start : start + self._entries_per_turn]
        self._rows += map(self.parser.row, entries)
        if len(self._rows) < len(update.instances):
            return False
        kind = UpdateKind.SNAPSHOT if update.reset else UpdateKind.DELTA
        self.table.update(SOURCE, kind, update.generation, self._rows)
        return True

    def _reject(self, call: CatalogCall, error: Exception) -> None:
        """Fail a call whose update can't be applied.

        The call's later updates are dropped as well: they are changes to an unknown list.
        """
        self._pending = deque(pending for pending in self._pending if pending.call is not call)
        self._rows = []
        if isinstance(error, ValueError):
            self.log_problem(f"invalid update: {error}")
        else:
            log.error("discovery update failed", exc_info=error)
        call.fail()

    def _note_applied(self, pending: _PendingUpdate) -> None:
        update = pending.update
        self.received_any = True
        if update.reset:
            self.counters["whole lists"] += 1
            log.info(
                "discovery: endpoint list snapshot, version %d, %d workers",
                update.generation,
                len(update.instances),
            )
        else:
            self.counters["list changes"] += len(update.instances)
        if pending.advances_version:
            self.version = update.generation
            self._last_problem = ""
