"""Joining and anti-entropy: exchanges with seeds, with peers whose digests differ, and with dead members."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from pipitshed.membership.dissemination import Disseminator
from pipitshed.membership.local_state import VIEW_INDEX, LocalState, Outbox
from pipitshed.membership.members import Address, MemberRecord, MemberState, precedence
from pipitshed.membership.messages import RepairMessage
from pipitshed.membership.suspicion import MemberRecords
from pipitshed.membership.timers import Timer
from pipitshed.replication.messages import Compare, FetchRequest, Rows, unpack
from pipitshed.replication.row import Row

RANDOM_COMPARISON_PROBABILITY = 0.1  # that a sync compares a random range even if no digest differs
JOIN_INTERVAL_FACTOR = 0.3  # of the sync interval, while this member knows no other member
MIN_JITTER_FACTOR = 0.5  # intervals are drawn between 0.5 and 1.5 times their length
_record_decoder = msgspec.msgpack.Decoder(tuple[MemberRecord, ...])
_row_decoder = msgspec.msgpack.Decoder(tuple[Row, ...])


class Synchronizer:
    """Starts exchanges of anti-entropy, and handles their messages."""

    def __init__(
        self,
        local: LocalState,
        outbox: Outbox,
        records: MemberRecords,
        disseminator: Disseminator,
        seeds: Sequence[Address],
    ) -> None:
        self._local = local
        self._outbox = outbox
        self._records = records
        self._disseminator = disseminator
        self._seeds = list(seeds)
        self._exchange_timer_at = math.inf

    # ---- time

    def sync(self, now: float) -> None:
        """Set the timer of the next sync, and start exchanges."""
        local = self._local
        factor = 1.0 if local.view.live_count > 1 else JOIN_INTERVAL_FACTOR
        interval_s = local.timings.sync * (MIN_JITTER_FACTOR + local.rng.random()) * factor
        local.timers.set(now + interval_s, Timer.SYNC)
        if not local.is_silent:
            self._start_exchanges(now)

    def _start_exchanges(self, now: float) -> None:
        """Start exchanges with peers that differ, or with a seed while it knows no other member."""
        local = self._local
        replicator = local.replicator
        if local.view.live_count > 1:
            for index in range(len(replicator.tables)):
                self._outbox.send_admitted(
                    replicator.start_exchange_if_due(now, index, True, local.sample_peers)
                )
            # Some syncs compare a range though all digests agree: a hash collision would hide a difference.
            if local.rng.random() < RANDOM_COMPARISON_PROBABILITY and (peers := local.sample_peers()):
                self._outbox.send_admitted(replicator.compare_random_range(now, peers[0]))
        elif self._seeds:
            seed = local.rng.choice(self._seeds)
            for index in range(len(replicator.tables)):
                self._outbox.send_admitted(replicator.start_exchange(now, index, seed))

    def reconnect(self, now: float) -> None:
        """Set the next timer, and start an exchange with a dead member, or a seed that is not live.

        Without this exchange the two sides of a healed partition would consider each other dead for good.
        """
        local = self._local
        self.set_reconnect_timer(now)
        live_addresses = {record.address for record in local.view.live_members()}
        dead_addresses = [record.address for record in local.view if record.state is MemberState.DEAD]
        unreachable = sorted({*dead_addresses, *self._seeds} - live_addresses)
        if unreachable and not local.leaving:
            address = local.rng.choice(unreachable)
            self._outbox.send_admitted(local.replicator.start_exchange(now, VIEW_INDEX, address))

    def set_reconnect_timer(self, now: float) -> None:
        """Set the timer of the next attempt to reach a dead member."""
        local = self._local
        interval_s = local.timings.sync_with_gone * (MIN_JITTER_FACTOR + local.rng.random())
        local.timers.set(now + interval_s, Timer.RECONNECT)

    def handle_exchange_timeouts(self, now: float) -> None:
        """Send the retries and postponed messages of exchanges that are due."""
        self._exchange_timer_at = math.inf
        self._outbox.send_admitted(self._local.replicator.handle_timeouts(now))

    def set_exchange_timer(self) -> None:
        """Set a timer for the next due time of the exchanges, unless an earlier one is set."""
        due_at = self._local.replicator.anti_entropy.next_due_at()
        if due_at is not None and due_at < self._exchange_timer_at:
            self._exchange_timer_at = due_at
            self._local.timers.set(due_at, Timer.ANTI_ENTROPY)

    # ---- messages of peers

    def receive_digests(self, now: float, sender: MemberRecord, digests: tuple[bytes, ...]) -> None:
        """Handle the digests that a peer sent with a ping or an ack."""
        local = self._local
        if sender.name in local.view and sender.name != local.self_record.name:
            outgoing = local.replicator.receive_digests(now, sender.name, sender.address, digests)
            if not local.is_silent:
                self._outbox.send_admitted(outgoing)

    def handle_message(self, now: float, message: RepairMessage, source: Address) -> None:
        """Handle a message of anti-entropy, and the sender's record if it has one."""
        if message.sender is not None and message.sender.is_valid():
            self._records.apply(now, message.sender)
        part = message.part
        local = self._local
        if isinstance(part, Compare | FetchRequest):
            outgoing = local.replicator.answer_peer(now, source, part, local.sample_peers)
        elif 0 <= part.table < len(local.replicator.tables):
            gained_count, newer_keys = self._apply(now, part)
            outgoing = local.replicator.receive_rows(
                now, source, part, gained_count, newer_keys, local.sample_peers
            )
        else:
            return
        self._outbox.send_admitted(outgoing)

    def _apply(self, now: float, message: Rows) -> tuple[int, list[str]]:
        """Apply a peer's items; return the number of new ones, and the keys for which newer items exist."""
        if message.table == VIEW_INDEX:
            return self._apply_records(now, unpack(message.packed, _record_decoder))
        rows = unpack(message.packed, _row_decoder)
        index = message.table - VIEW_INDEX - 1
        return self._disseminator.apply_rows(now, index, rows, fetched=not message.fresh)

    def _apply_records(self, now: float, records: Sequence[MemberRecord]) -> tuple[int, list[str]]:
        view = self._local.view
        gained_count, newer_names = 0, []
        for record in records:
            if not record.is_valid():
                continue
            change_count = view.change_count
            self._records.apply(now, record, len(records))
            gained_count += view.change_count != change_count
            current = view.get(record.name)
            if current is not None and precedence(current) > precedence(record):
                newer_names.append(record.name)
        return gained_count, newer_names
