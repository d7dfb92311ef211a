"""Failure detection: probe rounds, acks, indirect pings and nacks."""

from __future__ import annotations

from dataclasses import dataclass

from pipitshed.membership.dissemination import Disseminator
from pipitshed.membership.local_state import VIEW_INDEX, LocalState, Outbox
from pipitshed.membership.members import Address, MemberRecord, MemberState
from pipitshed.membership.messages import Ack, IndirectPing, Nack, Ping
from pipitshed.membership.suspicion import MemberRecords
from pipitshed.membership.timers import Timer

RECENT_DIFFERENCE_S = 1.0  # a member that sent a differing view digest this recently is alive, so not probed
NACK_FRACTION = 0.8  # of the ack timeout; a helper without an ack then sends a nack


@dataclass(slots=True)
class Probe:
    """A probe in flight, from this member's own round or on behalf of another member."""

    target: MemberRecord
    requester: MemberRecord | None = None  # the member that asked for an indirect ping
    requester_number: int = 0  # number of the requester's probe
    helper_count: int = 0  # members asked for an indirect ping; each sends an ack or a nack
    nack_count: int = 0


class Prober:
    """Probes the members in turn, and probes members on behalf of others."""

    def __init__(
        self, local: LocalState, outbox: Outbox, records: MemberRecords, disseminator: Disseminator
    ) -> None:
        self._local = local
        self._outbox = outbox
        self._records = records
        self._disseminator = disseminator
        self._probes: dict[int, Probe] = {}
        self._round: list[str] = []  # names still to be probed in this round

    # ---- probes of this member

    def probe_next(self, now: float) -> None:
        """Probe the next member of the round; called once each protocol period."""
        local = self._local
        for name in local.view.forget_departed(now):
            local.replicator.peer_digests.pop(name, None)
        if local.leaving:
            self.announce_departure(now)  # repeated while the process runs, as messages may be lost
            return
        target = self._next_target()
        # A member that has just started knows few others. It must not probe these in every period, as all
        # members of a cluster that starts may know the same few.
        if target is None or self._has_recently_differed(now, target):
            return
        number = next(local.probe_numbers)
        self._probes[number] = Probe(target)
        multiplier = local.health.timeout_multiplier
        local.timers.set(now + local.timings.ack_within * multiplier, Timer.INDIRECT_PING, number)
        local.timers.set(now + local.timings.period * multiplier, Timer.PROBE_TIMEOUT, number)
        self._ping(now, target, number)

    def _has_recently_differed(self, now: float, target: MemberRecord) -> bool:
        differed_at = self._local.replicator.last_differed_at(VIEW_INDEX, target.address)
        return now - differed_at < RECENT_DIFFERENCE_S

    def _next_target(self) -> MemberRecord | None:
        """Return the next member of the round; a round has each member once in random order (SWIM, 4.3)."""
        local = self._local
        for _ in range(2):
            if not self._round:
                own_name = local.self_record.name
                self._round = [record.name for record in local.view.live_members() if record.name != own_name]
                local.rng.shuffle(self._round)
            while self._round:
                record = local.view.get(self._round.pop())
                if record is not None and not record.is_departed:
                    return record
        return None

    def announce_departure(self, now: float) -> None:
        """Ping a few members; the pings carry the record that this member has left, and they pass it on."""
        local = self._local
        own_name = local.self_record.name
        peers = [record for record in local.view.live_members() if record.name != own_name]
        for record in local.rng.sample(peers, min(len(peers), 1 + local.timings.helpers)):
            self._ping(now, record, next(local.probe_numbers))

    def _ping(self, now: float, target: MemberRecord, number: int) -> None:
        local = self._local
        gossip, rows, charged_bytes = self._disseminator.gossip_for(now, target)
        digests = local.replicator.digests()
        ping = Ping(number, local.self_record, target.name, gossip, digests, rows)
        self._outbox.send(now, target.address, ping, charged_bytes)

    def request_indirect_pings(self, now: float, number: int) -> None:
        """Ask other members for indirect pings, as no ack has come in time."""
        probe = self._probes.get(number)
        if probe is None:
            return
        local = self._local
        excluded = (local.self_record.name, probe.target.name)
        helpers = [
            record
            for record in local.view.live_members()
            if record.name not in excluded and record.state is MemberState.ALIVE
        ]
        for record in local.rng.sample(helpers, min(len(helpers), local.timings.helpers)):
            probe.helper_count += 1
            gossip, _, charged_bytes = self._disseminator.gossip_for(now, record)
            request = IndirectPing(number, local.self_record, probe.target, gossip)
            self._outbox.send(now, record.address, request, charged_bytes)

    def handle_probe_timeout(self, now: float, number: int) -> None:
        """Suspect the target of a probe that has had no ack, direct or indirect."""
        probe = self._probes.pop(number, None)
        if probe is None or probe.requester is not None:
            return
        # A missing nack indicates a fault of this member's link or event loop rather than of the target.
        missing_nacks = probe.helper_count - probe.nack_count
        self._local.health.record_failure(missing_nacks if probe.helper_count else 1)
        self._records.suspect(now, probe.target)

    # ---- messages of peers

    def answer_ping(self, now: float, source: Address, ping: Ping) -> None:
        """Answer a ping with an ack that carries gossip and digests."""
        gossip, rows, charged_bytes = self._disseminator.gossip_for(
            now, ping.sender, (ping.gossip, *ping.rows)
        )
        digests = self._local.replicator.digests()
        ack = Ack(ping.number, self._local.self_record, gossip, digests, rows)
        self._outbox.send(now, source, ack, charged_bytes)

    def handle_indirect_ping(self, now: float, message: IndirectPing) -> None:
        """Probe the target on behalf of the member that asked for an indirect ping."""
        local = self._local
        if local.leaving or not message.target.is_valid():
            return
        number = next(local.probe_numbers)
        self._probes[number] = Probe(message.target, message.sender, message.number)
        local.timers.set(now + local.timings.ack_within * NACK_FRACTION, Timer.NACK, number)
        local.timers.set(now + local.timings.period, Timer.PROBE_TIMEOUT, number)
        self._ping(now, message.target, number)

    def send_nack(self, now: float, number: int) -> None:
        """Tell the member that asked for an indirect ping that no ack has come so far."""
        probe = self._probes.get(number)
        if probe is not None and probe.requester is not None:
            gossip, _, charged_bytes = self._disseminator.gossip_for(now, probe.requester)
            nack = Nack(probe.requester_number, self._local.self_record, gossip)
            self._outbox.send(now, probe.requester.address, nack, charged_bytes)

    def pop_acked_probe(self, message: Ack) -> Probe | None:
        """Remove and return the probe that an ack answers; None for an unknown or late ack."""
        probe = self._probes.get(message.number)
        if probe is None or message.sender.name != probe.target.name:
            return None
        return self._probes.pop(message.number)

    def complete_probe(self, now: float, probe: Probe, message: Ack) -> None:
        """Record the success of an own probe, or forward the ack to the member that requested the probe."""
        if probe.requester is None:
            self._local.health.record_success()
            return
        forwarded = Ack(probe.requester_number, message.sender, (), message.digests)
        self._outbox.send(now, probe.requester.address, forwarded)

    def handle_nack(self, message: Nack) -> None:
        """Count a nack of a helper for a probe in flight."""
        probe = self._probes.get(message.number)
        if probe is not None:
            probe.nack_count += 1
