"""Dissemination: selects the records and rows that go with a message, and pushes fresh rows."""

from __future__ import annotations

from collections.abc import Sequence

from pipitshed.membership.instructions import RowsChanged
from pipitshed.membership.local_state import VIEW_INDEX, LocalState, Outbox
from pipitshed.membership.members import MemberRecord, MemberState
from pipitshed.membership.messages import GOSSIP_LIMIT_BYTES, FreshRows
from pipitshed.membership.regions import RegionMap
from pipitshed.membership.suspicion import MemberRecords
from pipitshed.membership.timers import Timer
from pipitshed.replication.row import Row
from pipitshed.replication.row_table import ApplyResult

PUSH_DELAY_S = 0.03  # delay of a push, so that rows written shortly after each other share one message
Gossip = tuple[tuple[MemberRecord, ...], FreshRows, int]  # records, rows, bytes charged to the budget


class Disseminator:
    """Disseminates records and rows with probes, and fresh rows by push as well."""

    def __init__(self, local: LocalState, outbox: Outbox, records: MemberRecords, regions: RegionMap) -> None:
        self._local = local
        self._outbox = outbox
        self._records = records
        self._regions = regions
        self._changed_rows: list[list[Row]] = [[] for _ in local.tables]  # by table, not reported yet
        self._pushes_local_rows = False  # whether any row to be pushed was written on this member
        self._push_timer_set = False

    def gossip_for(
        self, now: float, receiver: MemberRecord, exclude: Sequence[Sequence[MemberRecord | Row]] = ()
    ) -> Gossip:
        """Choose the records and rows for one message.

        A record that says the receiver is suspected or dead goes first, so that the receiver can refute it
        immediately (Lifeguard's buddy system). The digests do not cover suspicions, so while any member is
        suspected records also go to receivers whose view has the same digest.
        """
        local = self._local
        current = local.view.get(receiver.name)
        accusation = current if current is not None and current.state is not MemberState.ALIVE else None
        max_bytes = GOSSIP_LIMIT_BYTES - (accusation.size if accusation is not None else 0)
        sends_rows = self._regions.sends_rows_to(receiver)
        (records, *rows), charged_bytes = local.replicator.select_gossip(
            now,
            max_bytes,
            receiver.name,
            len(local.view),
            len(local.replicator.tables) if sends_rows else 1,
            VIEW_INDEX if self._records.has_suspicions else -1,
            exclude,
        )
        if accusation is not None and accusation not in records:
            records = (accusation, *records)
        return records, tuple(rows) if any(rows) else (), charged_bytes

    # ---- rows

    def publish(self, now: float, index: int, rows: Sequence[Row]) -> None:
        """Queue rows that this member wrote to a table, for gossip and push."""
        self._changed_rows[index] += rows
        self._pushes_local_rows = True
        self._local.replicator.queue_fresh(now, VIEW_INDEX + 1 + index, rows)

    def apply_fresh(self, now: float, fresh: FreshRows) -> None:
        """Apply the rows of a message, given by table."""
        for index, rows in enumerate(fresh[: len(self._local.tables)]):
            self.apply_rows(now, index, rows, fetched=False)

    def apply_rows(self, now: float, index: int, rows: Sequence[Row], fetched: bool) -> tuple[int, list[str]]:
        """Apply rows to a table.

        Args:
            now: The time.
            index: The table.
            rows: The rows.
            fetched: Whether anti-entropy fetched the rows, rather than gossip or a push.

        Returns:
            The number of new rows, and the keys for which the table has a newer row.
        """
        local = self._local
        gained_count, newer_keys = 0, []
        for row in rows:
            result = local.tables[index].apply(row)
            if result is ApplyResult.NEW:
                gained_count += 1
                self._changed_rows[index].append(row)
                replicated_index = VIEW_INDEX + 1 + index
                if fetched:
                    local.replicator.queue_fetched(now, replicated_index, row, len(local.view), len(rows))
                else:
                    local.replicator.queue_fresh(now, replicated_index, [row])
            elif result in (ApplyResult.OLD, ApplyResult.CONFLICT):
                newer_keys.append(row.key)
        return gained_count, newer_keys

    def push(self, now: float) -> None:
        """Push the fresh rows; called when the push timer expires."""
        self._push_timer_set = False
        targets = self._regions.push_targets(self._pushes_local_rows)
        self._outbox.send_admitted(self._local.replicator.push_fresh(now, targets))
        self._pushes_local_rows = False

    def finish_step(self, now: float) -> None:
        """Set the push timer if rows are waiting, and report the changed rows by RowsChanged."""
        if self._local.replicator.has_pushes and not self._push_timer_set:
            self._push_timer_set = True
            self._local.timers.set(now + PUSH_DELAY_S, Timer.PUSH)
        for table, rows in zip(self._local.tables, self._changed_rows, strict=True):
            if rows:
                self._outbox.add(RowsChanged(table.name, tuple(rows)))
                rows.clear()
