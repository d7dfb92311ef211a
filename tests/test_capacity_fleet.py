"""Cost of a fleet at each of its schedulers, in virtual time and therefore deterministic."""

from __future__ import annotations

import random
from collections.abc import Iterable

import pytest

from pipitshed.membership import suspicion
from pipitshed.membership.members import MemberRecord, MemberState
from pipitshed.membership.messages import RepairMessage
from pipitshed.membership.protocol import Membership
from pipitshed.membership.timing import ProtocolTimings, suspicion_timeout_s
from pipitshed.replication.messages import Rows, pack
from pipitshed.testbed.virtual_fleet import VirtualFleet, peak_bytes_per_second, region
from pipitshed.testbed.virtual_network import Node


def record_of(number: int, state: MemberState = MemberState.ALIVE) -> MemberRecord:
    return MemberRecord(f"n{number}", "127.0.0.1", 10_000 + number, "z", 1, 1, state, "n0")


def settled_fleet(size: int, rows: int = 0) -> VirtualFleet:
    """A fleet in 3 regions with this many rows of settings; all agree, and no news is left to send."""
    fleet = VirtualFleet(seed=7)
    first, *_ = fleet.fleet(size)
    assert fleet.run_until(fleet.quiescent, 30.0, 0.5) is not None
    put(fleet, first, range(rows))
    assert fleet.run_until(fleet.quiescent, 60.0, 0.5) is not None
    fleet.reset_counts()
    return fleet


def put(fleet: VirtualFleet, writer: Node, rows: Iterable[int]) -> None:
    fleet.put(writer, *((f"team-{row:03}", b'{"share":%.6f}' % fleet.rng.random()) for row in rows))


def test_what_a_scheduler_sends_at_rest_does_not_grow_with_the_fleet() -> None:
    sent = {}
    for size in (20, 80):
        fleet = settled_fleet(size, rows=40)
        fleet.run(20.0)
        sent[size] = sum(one.bytes for one in fleet.out.values()) / size / 20.0
    assert sent[80] == pytest.approx(sent[20], rel=0.1) and sent[80] <= 2000.0


def test_a_scheduler_that_lost_everything_is_current_within_five_seconds() -> None:
    fleet = settled_fleet(20, rows=100)
    lost = list(fleet.nodes.values())[-1]
    fleet.kill(lost)
    fleet.run(1.0)
    fleet.start(19, fleet.seeds)
    assert fleet.run_until(fleet.converged, 5.0, 0.1) is not None


@pytest.mark.parametrize("loss", [0.0, 0.01])
def test_twenty_changes_in_a_second_are_in_force_everywhere_within_five_seconds_and_the_budget(
    loss: float,
) -> None:
    fleet = settled_fleet(20, rows=100)
    fleet.loss = loss
    writer = next(iter(fleet.nodes.values()))
    for change in range(20):
        put(fleet, writer, [change])
        fleet.run(0.05)
    assert fleet.run_until(fleet.tables_agree, 4.0, 0.1) is not None
    assert peak_bytes_per_second(fleet.out.values()) < 9000


def test_regions_that_changed_while_partitioned_agree_ten_seconds_after_healing() -> None:
    fleet = settled_fleet(20, rows=100)
    fleet.isolate_region("centro")
    inside = next(node for node in fleet.nodes.values() if region(fleet.zone(node.address)) == "centro")
    outside = next(iter(fleet.nodes.values()))
    put(fleet, inside, range(1000, 1050))
    put(fleet, outside, range(50))
    fleet.run(130.0)  # longer than a tombstone
    fleet.heal()
    fleet.reset_counts()
    assert fleet.run_until(fleet.converged, 10.0, 0.1) is not None
    assert peak_bytes_per_second(fleet.out.values()) < 9000


def test_successive_suspicions_cost_one_judgement_each(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against repeated work when a zone is lost and its schedulers are suspected within seconds."""
    calls = 0

    def counted(scales: ProtocolTimings, fleet: int, confirmations: int) -> float:
        nonlocal calls
        calls += 1
        return suspicion_timeout_s(scales, fleet, confirmations)

    suspects = 12
    own_probes_far = ProtocolTimings(period=1000.0, ack_within=500.0, suspect_for=0.001)
    membership = Membership(record_of(0), own_probes_far, [], random.Random(1), 0.0)
    membership.handle_message(
        0.0,
        RepairMessage(Rows(0, pack([record_of(number) for number in range(2, 40)])), record_of(1)),
        record_of(1).address,
    )
    monkeypatch.setattr(suspicion, "suspicion_timeout_s", counted)
    for number in range(2, 2 + suspects):
        rows = Rows(0, pack([record_of(number, MemberState.SUSPECT)]))
        membership.handle_message(number * 0.3, RepairMessage(rows, record_of(1)), record_of(1).address)
    while membership.next_due_at() < 30.0 and any(
        member.state is MemberState.SUSPECT for member in membership.view
    ):
        membership.handle_timeouts(membership.next_due_at())
    gone = [member for member in membership.view if member.state is MemberState.DEAD]
    # A judgement computes the timeout of each remaining suspect twice: to judge it, and for the next timer.
    assert len(gone) == suspects and calls <= suspects * (suspects + 2)
