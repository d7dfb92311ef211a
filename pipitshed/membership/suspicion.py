"""Member records: applies records that others report, times suspicions, and refutes wrong records."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from pipitshed.membership.instructions import MemberStateChanged, Reinstated, Superseded
from pipitshed.membership.local_state import VIEW_INDEX, LocalState, Outbox
from pipitshed.membership.members import MemberRecord, MemberState, precedence
from pipitshed.membership.timers import Timer
from pipitshed.membership.timing import suspicion_timeout_s


@dataclass(slots=True)
class Suspicion:
    """A suspected member, the start of the suspicion, and the names of the members that reported it."""

    record: MemberRecord
    since: float
    reporters: set[str] = field(default_factory=set)


class MemberRecords:
    """Applies member records to the view, and declares members dead when their suspicion times out."""

    def __init__(self, local: LocalState, outbox: Outbox) -> None:
        self._local = local
        self._outbox = outbox
        self._suspicions: dict[str, Suspicion] = {}
        self._next_check_at = math.inf

    @property
    def has_suspicions(self) -> bool:
        """Whether any member is suspected."""
        return bool(self._suspicions)

    def apply(self, now: float, record: MemberRecord, fetched_count: int = 0) -> None:
        """Apply a record: refute it if it is wrong about this member, and queue it for gossip if it is new.

        Args:
            now: The time.
            record: The record.
            fetched_count: Number of records in the answer if anti-entropy fetched the record, otherwise 0.
        """
        local = self._local
        if record.name == local.self_record.name:
            self._apply_to_self(now, record)
            return
        current = local.view.get(record.name)
        if (
            current is not None
            and record.state is MemberState.SUSPECT
            and precedence(record) == precedence(current)
        ):
            self._confirm_suspicion(record)
            return
        if not local.view.apply(now, record):
            return
        self._queue(now, record, fetched_count)
        if record.state is MemberState.SUSPECT:
            suspicion = self._suspicions[record.name] = Suspicion(record, now, {record.reported_by})
            self._schedule_check(self._ends_at(suspicion))
        else:
            self._suspicions.pop(record.name, None)
        if current is None or (current.state, current.instance_id) != (record.state, record.instance_id):
            previous_state = current.state if current is not None else None
            self._outbox.add(MemberStateChanged(record, previous_state))

    def _queue(self, now: float, record: MemberRecord, fetched_count: int) -> None:
        local = self._local
        if fetched_count:
            local.replicator.queue_fetched(now, VIEW_INDEX, record, len(local.view), fetched_count)
        else:
            local.replicator.queue_item(VIEW_INDEX, record)

    # ---- records of this member

    def _apply_to_self(self, now: float, record: MemberRecord) -> None:
        local = self._local
        if record.instance_id != local.self_record.instance_id:
            self._apply_other_instance(now, record)
            return
        if local.is_silent or record.state is MemberState.ALIVE:
            return
        if record.incarnation >= local.self_record.incarnation:
            local.health.record_failure()
            self._refute(now, record)

    def _apply_other_instance(self, now: float, record: MemberRecord) -> None:
        local = self._local
        if precedence(record) <= precedence(local.self_record):
            return
        if record.is_departed or record.address == local.self_record.address:
            # The record is of an earlier instance of this member, whose clock was ahead, or of another
            # process that has departed: no other process has this name now.
            if local.superseded:
                local.superseded = False
                self._outbox.add(Reinstated(record))
            self._refute(now, record)
        elif not local.superseded:
            local.superseded = True
            self._outbox.add(Superseded(record))

    def _refute(self, now: float, record: MemberRecord) -> None:
        """Announce that this member is alive, with a record that takes precedence over the wrong one."""
        own = self._local.self_record
        refutation = MemberRecord(
            own.name,
            own.host,
            own.port,
            own.zone,
            record.incarnation + 1,
            own.instance_id,
            reported_by=own.name,
            region=own.region,
        )
        self.announce_self(now, refutation)

    def announce_self(self, now: float, record: MemberRecord) -> None:
        """Replace this member's own record, and queue it for gossip."""
        self._local.self_record = record
        self._local.view.apply(now, record)
        self._local.replicator.queue_item(VIEW_INDEX, record)

    # ---- suspicions

    def suspect(self, now: float, target: MemberRecord) -> None:
        """Suspect a member that did not answer a probe, unless it has restarted since the probe."""
        current = self._local.view.get(target.name)
        if current is not None and not current.is_departed and current.instance_id == target.instance_id:
            own_name = self._local.self_record.name
            self.apply(now, current.with_state(MemberState.SUSPECT, own_name))

    def postpone_suspicions(self, delay_s: float) -> None:
        """Extend all suspicions by this time."""
        for suspicion in self._suspicions.values():
            suspicion.since += delay_s

    def _confirm_suspicion(self, record: MemberRecord) -> None:
        """Shorten a suspicion that one more member reports, and queue that member's record for gossip."""
        suspicion = self._suspicions.get(record.name)
        if suspicion is not None and record.reported_by not in suspicion.reporters:
            suspicion.reporters.add(record.reported_by)
            self._local.replicator.queue_item(VIEW_INDEX, record)
            self._schedule_check(self._ends_at(suspicion))

    def _ends_at(self, suspicion: Suspicion) -> float:
        confirmations = len(suspicion.reporters) - 1
        return suspicion.since + suspicion_timeout_s(
            self._local.timings, self._local.view.live_count, confirmations
        )

    def _schedule_check(self, when: float) -> None:
        """Set the timer for the check of suspicions, unless it expires earlier anyway.

        One timer serves all suspicions. With a timer for each one, set again at each check, the number of
        timers would double with every check.
        """
        if when < self._next_check_at:
            self._next_check_at = when
            self._local.timers.set(when, Timer.SUSPICION)

    def check_suspicions(self, now: float) -> None:
        """Declare the members dead whose suspicion has timed out."""
        if now < self._next_check_at:
            return  # this timer was replaced by an earlier one
        self._next_check_at = math.inf
        for name, suspicion in list(self._suspicions.items()):
            if now < self._ends_at(suspicion):
                continue
            del self._suspicions[name]
            current = self._local.view.get(name)
            if current is not None and current.state is MemberState.SUSPECT:
                self.apply(now, current.with_state(MemberState.DEAD, self._local.self_record.name))
        if self._suspicions:
            self._schedule_check(min(self._ends_at(suspicion) for suspicion in self._suspicions.values()))
