"""The membership protocol of one member: its input is messages and times, its output instructions.

The membership view is the first of the replicated tables.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from itertools import count

from pipitshed.membership.dissemination import Disseminator
from pipitshed.membership.instructions import Instruction
from pipitshed.membership.local_state import VIEW_INDEX, LocalState, Outbox
from pipitshed.membership.members import Address, MemberRecord, MemberState
from pipitshed.membership.messages import Ack, IndirectPing, Message, Ping, RepairMessage
from pipitshed.membership.probing import Prober
from pipitshed.membership.regions import RegionMap
from pipitshed.membership.suspicion import MemberRecords
from pipitshed.membership.sync import Synchronizer
from pipitshed.membership.timers import Timer, TimerQueue
from pipitshed.membership.timing import LocalHealth, ProtocolTimings
from pipitshed.membership.view import MembershipView
from pipitshed.replication.replicator import Replicator
from pipitshed.replication.row import Row
from pipitshed.replication.row_table import RowTable

MAX_FIRST_PROBE_NUMBER = 1 << 30
STALL_HEALTH_PENALTY = 2  # added to the health score of a member whose event loop stalled


class Membership:
    """One member of the protocol. Times are seconds of any monotonic clock."""

    def __init__(
        self,
        self_record: MemberRecord,
        timings: ProtocolTimings,
        seeds: list[Address],
        rng: random.Random,
        now: float,
        tables: Sequence[RowTable] = (),
    ) -> None:
        """Create a member that joins through `seeds`; `tables` are replicated beside the view."""
        self.timings = timings
        self.view = MembershipView(timings.tombstones)
        self.health = LocalHealth()
        self.tables = tuple(tables)
        seeds = [seed for seed in seeds if seed != self_record.address]
        self.replicator = Replicator((self.view, *tables), rng, now, seeds)
        numbers = count(rng.randrange(MAX_FIRST_PROBE_NUMBER))
        self._timers = TimerQueue(numbers)
        self._local = LocalState(
            self_record,
            timings,
            self.view,
            self.health,
            self.tables,
            self.replicator,
            rng,
            numbers,
            self._timers,
        )
        self.outbox = Outbox(self._local)
        self.records = MemberRecords(self._local, self.outbox)
        regions = RegionMap(self_record, self.view, rng)
        self._disseminator = Disseminator(self._local, self.outbox, self.records, regions)
        self._prober = Prober(self._local, self.outbox, self.records, self._disseminator)
        self._synchronizer = Synchronizer(self._local, self.outbox, self.records, self._disseminator, seeds)
        self.view.apply(now, self_record)
        self.replicator.queue_item(VIEW_INDEX, self_record)
        self._set_first_timers(now)

    def _set_first_timers(self, now: float) -> None:
        # The first probe is at a random time within one period, as many members may start together.
        self._timers.set(now + self._local.rng.random() * self.timings.period, Timer.PROBE)
        self._timers.set(now, Timer.SYNC)
        self._synchronizer.set_reconnect_timer(now)

    @property
    def self_record(self) -> MemberRecord:
        """This member's current record, with its incarnation and state."""
        return self._local.self_record

    @property
    def superseded(self) -> bool:
        """Whether another process with this name started later and is not known to have departed."""
        return self._local.superseded

    @property
    def leaving(self) -> bool:
        """Whether `leave` was called."""
        return self._local.leaving

    # ---- time

    def next_due_at(self) -> float:
        """Return the time at which the next timer expires."""
        return self._timers.next_due_at()

    def handle_timeouts(self, now: float) -> list[Instruction]:
        """Handle all timers that have expired, and return instructions."""
        self._check_for_stall(now)
        while (expired := self._timers.pop_expired(now)) is not None:
            self._handle_timer(now, *expired)
        return self._finish(now)

    def _handle_timer(self, now: float, timer: Timer, probe_number: int) -> None:
        match timer:
            case Timer.PROBE:
                self._timers.set(now + self.timings.period, Timer.PROBE)
                self._prober.probe_next(now)
            case Timer.INDIRECT_PING:
                self._prober.request_indirect_pings(now, probe_number)
            case Timer.PROBE_TIMEOUT:
                self._prober.handle_probe_timeout(now, probe_number)
            case Timer.NACK:
                self._prober.send_nack(now, probe_number)
            case Timer.SYNC:
                self._synchronizer.sync(now)
            case Timer.RECONNECT:
                self._synchronizer.reconnect(now)
            case Timer.PUSH:
                self._disseminator.push(now)
            case Timer.ANTI_ENTROPY:
                self._synchronizer.handle_exchange_timeouts(now)
            case Timer.SUSPICION:
                self.records.check_suspicions(now)

    def _check_for_stall(self, now: float) -> None:
        """Postpone the timeouts of probes and suspicions after a stall of this member's own event loop.

        A process that was stopped, or had no core, finds all its probes unanswered when it wakes, while acks
        and refutations of its suspicions are still unread in its sockets.
        """
        stalled_s = now - self._timers.next_due_at()
        if stalled_s <= self.timings.period:
            return
        self.health.record_failure(STALL_HEALTH_PENALTY)
        self.records.postpone_suspicions(stalled_s)
        self._timers.postpone_ack_timeouts(now + self.timings.ack_within * self.health.timeout_multiplier)

    # ---- messages

    def handle_message(self, now: float, message: Message, source: Address) -> list[Instruction]:
        """Handle a message that came from the address `source`, and return instructions."""
        if isinstance(message, RepairMessage):
            self._synchronizer.handle_message(now, message, source)
            return self._finish(now)
        for record in (message.sender, *message.gossip):
            if record.is_valid():
                self.records.apply(now, record)
        if isinstance(message, Ping):
            self._handle_ping(now, message, source)
        elif isinstance(message, IndirectPing):
            self._prober.handle_indirect_ping(now, message)
        elif isinstance(message, Ack):
            self._handle_ack(now, message)
        else:
            self._prober.handle_nack(message)
        return self._finish(now)

    def _handle_ping(self, now: float, message: Ping, source: Address) -> None:
        self._disseminator.apply_fresh(now, message.rows)
        self._synchronizer.receive_digests(now, message.sender, message.digests)
        if message.target == self.self_record.name and not self.leaving:
            self._prober.answer_ping(now, source, message)

    def _handle_ack(self, now: float, message: Ack) -> None:
        self._disseminator.apply_fresh(now, message.rows)
        probe = self._prober.pop_acked_probe(message)
        if probe is not None:
            self._synchronizer.receive_digests(now, message.sender, message.digests)
            self._prober.complete_probe(now, probe, message)

    # ---- calls of the application

    def disseminate(self, now: float, table: str, rows: Sequence[Row]) -> list[Instruction]:
        """Disseminate rows that this member wrote to a table; the returned RowsChanged reports them too."""
        self._disseminator.publish(now, self._table_index(table), rows)
        return self._finish(now)

    def reported_digests(self, table: str) -> dict[str, bytes]:
        """Return each peer's last digest of a table; empty if the peer has not caught up."""
        index = VIEW_INDEX + 1 + self._table_index(table)
        return {
            name: digests[index]
            for name, digests in self.replicator.peer_digests.items()
            if len(digests) > index
        }

    def _table_index(self, name: str) -> int:
        [index] = [index for index, table in enumerate(self.tables) if table.name == name]
        return index

    def leave(self, now: float) -> list[Instruction]:
        """Announce to a few members, which pass it on, that this member leaves."""
        self._local.leaving = True
        own = self.self_record
        self.records.announce_self(now, own.with_state(MemberState.LEFT, own.name))
        self._prober.announce_departure(now)
        return self._finish(now)

    def _finish(self, now: float) -> list[Instruction]:
        """Set the timers of exchanges and pushes, and return all instructions."""
        self.replicator.apply_completed_exchanges(now)
        self._synchronizer.set_exchange_timer()
        self._disseminator.finish_step(now)
        return self.outbox.drain()
