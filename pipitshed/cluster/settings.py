"""Replicated settings at one scheduler: the table of rows, its file, and the rows applied to the settings.

Rows are applied a batch at a time. A batch is stored in the file first, so that no later start applies older
rows; then it is applied in one step; then the members that wrote the rows are notified.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
import secrets
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

from pipitshed.cluster import counters, row_store
from pipitshed.cluster.messages import ClusterMessage, PutResponse, SettingsMessage
from pipitshed.cluster.row_store import StoredRows
from pipitshed.cluster.settings_commands import SettingsCommands
from pipitshed.cluster.settings_log import log_overlay
from pipitshed.config.row_overlay import Overlay, overlay
from pipitshed.membership.members import Address, MemberRecord
from pipitshed.replication.commit_tracking import AppliedQuery, AppliedReport, AppliedState, Confirmations
from pipitshed.replication.row import Row
from pipitshed.replication.row_table import RowTable

if TYPE_CHECKING:
    from pipitshed.cluster.config_file import ClusterConfig
    from pipitshed.cluster.event_log import EventLog
    from pipitshed.membership.protocol import Membership

TABLE_NAME = "settings"
MAX_ROWS = 4096
MAX_TABLE_BYTES = 512 << 10
MAX_ROW_BYTES = 300
NO_PEERS_DELAY_S = 10.0  # from the start until a scheduler without live peers accepts changes
RNG_SEED_BITS = 64

log = logging.getLogger("pipitshed.fleet")
Reply = Callable[[ClusterMessage], None]
_Applied = TypeVar("_Applied")


@dataclass(frozen=True)
class SettingsTarget:
    """The scheduler whose settings the rows change.

    Attributes:
        file: Returns the parsed content of the settings file in force.
        apply: Applies the settings of that file with the values of rows in them.
    """

    file: Callable[[], dict[str, Any]]
    apply: Callable[[dict[str, Any]], object]


class SettingsTransport(Protocol):
    """The methods of the cluster node that the settings use."""

    @property
    def membership(self) -> Membership:
        """The membership protocol and its view."""

    def send(self, address: Address, message: ClusterMessage) -> None:
        """Send a datagram."""

    def reply_function(self, source: Address) -> Reply | None:
        """Return a function that answers the message being handled; None for a datagram."""

    def disseminate(self, row: Row) -> None:
        """Send a row that was written here to the other members."""

    def count(self, counter: str) -> None:
        """Increment a counter of `fleet show` and `/-/metrics`."""


@dataclass(frozen=True, slots=True)
class _PendingReply:
    """The answer to a `Put` whose row is not applied yet."""

    row: Row
    reply: Reply


class ReplicatedSettings:
    """The replicated table of settings rows, and the rows that this scheduler applies."""

    def __init__(
        self,
        config: ClusterConfig,
        self_record: MemberRecord,
        target: SettingsTarget,
        transport: SettingsTransport,
        loop: asyncio.AbstractEventLoop,
        events: EventLog,
    ) -> None:
        self.name = self_record.name
        self.has_secret = bool(config.secret)
        self.target = target
        self.transport = transport
        self.loop = loop
        self.events = events
        self.table = RowTable(TABLE_NAME, MAX_ROWS, MAX_TABLE_BYTES, MAX_ROW_BYTES)
        self.confirmations = Confirmations(
            self.name, self_record.instance_id, self.table, random.Random(secrets.randbits(RNG_SEED_BITS))
        )
        self.commands = SettingsCommands(self)
        self.applied_since = loop.time()
        self.store_error = ""
        self._path = config.rows_file
        self._live_instances: dict[str, int] = {}
        self._live_instances_version = -1  # change count of the view that they were computed from
        self._batch_in_progress = False
        self._batch_pending = False
        self._closed = False
        self._pending_replies: list[_PendingReply] = []
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_at = math.inf  # in seconds of the loop's clock

    def apply_stored_rows(self) -> None:
        """Apply the rows that the rows file has; called once at the start."""
        stored = row_store.read(self._path) if self._path is not None else StoredRows()
        for row in stored.rows:
            self.table.apply(row)
        if stored.rows:
            previously_applied = {row.key: row for row in stored.previously_applied}
            self._apply(tuple(self.table), self.table.digest(), previously_applied)
        self.loop.call_later(NO_PEERS_DELAY_S, self.accept_changes_without_peers)

    def accept_changes_without_peers(self) -> None:
        """Accept changes if no other scheduler is live; otherwise one without reachable seeds never would."""
        if not self.table.caught_up and len(self.live_instances()) <= 1:
            log.warning(
                "no other scheduler answered within %.0f s; changes of settings are accepted without a peer",
                NO_PEERS_DELAY_S,
            )
            self.table.caught_up = True

    def live_instances(self) -> dict[str, int]:
        """Return the instance ids of the live members by name, cached until the view changes."""
        view = self.transport.membership.view
        if self._live_instances_version != view.change_count:
            self._live_instances = {member.name: member.instance_id for member in view.live_members()}
            self._live_instances_version = view.change_count
        return self._live_instances

    def handle_message(self, message: SettingsMessage, source: Address) -> None:
        """Handle a message from another member or from an operator."""
        if isinstance(message, AppliedReport):
            self.confirmations.receive_report(message, self.live_instances())
            return
        if isinstance(message, AppliedQuery):
            self._send(message.sender, self.confirmations.answer_query(message))
            return
        reply = self.transport.reply_function(source)
        if reply is None:
            self.transport.count(counters.DROPPED_SETTINGS_DATAGRAM)  # operators' requests come on streams
        else:
            self.commands.handle(message, source, reply)

    def rows_received(self, rows: Iterable[Row]) -> None:
        """Called after rows of other members were written to the table."""
        for row in rows:
            self._log_row_event("taken", row)
        self._schedule_batch()

    def row_written(self, row: Row, reply: Reply) -> None:
        """Called after a row was written here; the reply is sent once the row is stored and applied."""
        self._log_row_event("delete" if row.deleted else "put", row)
        self.confirmations.watch(self.loop.time(), row)
        self._pending_replies.append(_PendingReply(row, reply))
        self.transport.disseminate(row)
        self._schedule_batch()

    def reapply_over(self, raw: dict[str, Any], apply: Callable[[dict[str, Any]], _Applied]) -> _Applied:
        """Overlay a settings file that was read again with the rows, and pass the result to `apply`.

        The rows are confirmed to their writers once `apply` has returned; its exceptions are not caught.
        """
        state = self.confirmations.state
        if not state.rows:
            return apply(raw["settings"])
        rows = tuple(state.rows.values())
        overlaid = overlay(raw, rows, state.applied)
        result = apply(overlaid.raw["settings"])
        self._record_applied(raw, overlaid, rows, state.digest, file_is_new=True)
        return result

    def metrics(self) -> dict[str, int]:
        """Return the metrics of the rows for `/-/metrics`, by name."""
        counts = {f"rows_{name.replace('-', '_')}": count for name, count in self.table.counts.items()}
        return counts | {
            "rows": len(self.table),
            "rows_refused": len(self.confirmations.state.rejected),
            "rows_unsaved": int(bool(self.store_error)),
        }

    def schedule(self) -> None:
        """Set the timer for the next confirmation to send or query; a timer that is due earlier is kept."""
        due_at = self.confirmations.next_due_at()
        if self._closed or due_at == math.inf:
            return
        if self._timer is not None:
            if self._timer_due_at <= due_at:
                return
            self._timer.cancel()
        self._timer_due_at = due_at
        self._timer = self.loop.call_at(due_at, self._handle_timer)

    def close(self) -> None:
        """Stop: no more rows are applied, and no more confirmations are sent."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()

    def _log_row_event(self, action: str, row: Row) -> None:
        self.events.write("row", do=action, key=row.key, term=row.term, number=row.number, writer=row.writer)

    def _schedule_batch(self) -> None:
        """Apply the table in a later turn of the event loop; rows that arrive until then join the batch."""
        self._batch_pending = True
        if not self._batch_in_progress and not self._closed:
            self._batch_in_progress = True
            self.loop.call_soon(self._store_batch)

    def _store_batch(self) -> None:
        """Write the rows to the file in a thread, as the disk may be slow; they are applied afterwards."""
        self._batch_pending = False
        rows, digest = tuple(self.table), self.table.digest()
        if self._path is None:
            self._batch_stored(rows, digest, None)
            return
        newest = {row.key: row for row in rows}
        applied = self.confirmations.state.applied
        previously_applied = tuple(row for key, row in applied.items() if newest.get(key) != row)
        stored = StoredRows(rows, previously_applied)
        writing = self.loop.run_in_executor(None, row_store.write, self._path, stored)
        writing.add_done_callback(partial(self._batch_stored, rows, digest))

    def _batch_stored(
        self, rows: tuple[Row, ...], digest: bytes, writing: asyncio.Future[None] | None
    ) -> None:
        self._batch_in_progress = False
        if self._closed:
            return
        error = writing.exception() if writing is not None else None
        if error is not None and str(error) != self.store_error:
            log.error("settings rows are applied, but not stored for the next start: %s", error)
        self.store_error = str(error) if error is not None else ""
        self._apply(rows, digest, self.confirmations.state.applied)
        if self._batch_pending:
            self._schedule_batch()

    def _apply(self, rows: tuple[Row, ...], digest: bytes, previously_applied: Mapping[str, Row]) -> None:
        raw = self.target.file()
        overlaid = overlay(raw, rows, previously_applied)
        try:
            if overlaid.applied != self.confirmations.state.applied:
                self.target.apply(overlaid.raw["settings"])
        except Exception as error:
            # The rows are not confirmed: as far as is known, the previous rows are still applied.
            log.exception("settings rows could not be applied")
            self._answer_pending(f"written, but not applied here: {error}")
            return
        self._record_applied(raw, overlaid, rows, digest)
        self._answer_pending("")

    def _answer_pending(self, why: str) -> None:
        """Answer the changes that waited for this batch; `why` is empty if they are applied."""
        for pending in self._pending_replies:
            pending.reply(PutResponse(self.name, why, pending.row.term, pending.row.number))
        self._pending_replies.clear()

    def _record_applied(
        self,
        raw: dict[str, Any],
        overlaid: Overlay,
        rows: tuple[Row, ...],
        digest: bytes,
        file_is_new: bool = False,
    ) -> None:
        """Record the applied rows, notify the writers of changed ones, and write the logs."""
        before = self.confirmations.state
        changed = [
            row
            for row in rows
            if row != before.rows.get(row.key)
            or overlaid.rejected.get(row.key) != before.rejected.get(row.key)
        ]
        now = self.loop.time()
        if changed:
            self.applied_since = now
        state = AppliedState(digest, {row.key: row for row in rows}, overlaid.applied, overlaid.rejected)
        self.confirmations.record_applied(now, state, changed, len(self.live_instances()))
        self._log_applied_event(digest, overlaid, changed)
        log_overlay(raw, overlaid, rows if file_is_new else changed)
        self.schedule()

    def _log_applied_event(self, digest: bytes, overlaid: Overlay, changed: Iterable[Row]) -> None:
        applied, rejected = [], []
        for row in changed:
            if row.key in overlaid.applied:
                newest = overlaid.applied[row.key]
                applied.append([newest.key, newest.term, newest.number])
            if row.key in overlaid.rejected:
                rejected.append([row.key, overlaid.rejected[row.key]])
        self.events.write("acting", digest=digest.hex(), rows=applied, refused=rejected)

    def _send(self, name: str, message: AppliedReport | AppliedQuery) -> None:
        member = self.transport.membership.view.get(name)
        if member is not None and not member.is_departed:
            self.transport.send(member.address, message)

    def _handle_timer(self) -> None:
        self._timer = None
        for name, message in self.confirmations.handle_timeouts(self.loop.time(), self.live_instances()):
            self._send(name, message)
        self.schedule()
