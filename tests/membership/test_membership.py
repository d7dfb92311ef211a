"""Membership in virtual time: after any failure all members agree on which members are alive."""

from __future__ import annotations

import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pipitshed.membership.members import Address, MemberRecord, MemberState, precedence
from pipitshed.membership.timing import ProtocolTimings, suspicion_timeout_s
from pipitshed.membership.view import MembershipView
from pipitshed.testbed.virtual_network import Network

SETTLE_LIMIT_S = 5.0  # time within which 20 schedulers agree after the last fault


def port_parity(address: Address) -> int:
    return address[1] % 2


def joined_network(
    seed: int, size: int = 20, loss: float = 0.0, settle_limit_s: float = SETTLE_LIMIT_S
) -> Network:
    network = Network(seed, loss=loss)
    network.fleet(size)
    assert network.settle(settle_limit_s) is not None
    return network


def member_records() -> st.SearchStrategy[MemberRecord]:
    return st.builds(
        MemberRecord,
        st.sampled_from(["a", "b", "c"]),
        st.just("127.0.0.1"),
        st.just(1),
        st.just("z"),
        st.integers(0, 3),
        st.integers(0, 1),
        st.sampled_from(MemberState),
    )


@given(st.lists(member_records(), max_size=8), st.randoms(use_true_random=False))
def test_merged_views_do_not_depend_on_the_order_of_records(
    records: list[MemberRecord], rng: random.Random
) -> None:
    results = []
    for _ in range(3):
        view = MembershipView(60.0)
        rng.shuffle(records)
        for record in records + records[:2]:
            view.apply(0.0, record)
        results.append(sorted((record.name, precedence(record)) for record in view))
    assert results[0] == results[1] == results[2]


@pytest.mark.parametrize("seed", range(5))
def test_a_death_is_found_and_held_by_all(seed: int) -> None:
    network = joined_network(seed)
    for node in list(network.nodes.values())[3:6]:
        network.kill(node)
    assert network.settle(SETTLE_LIMIT_S) is not None
    # Each was suspected first, which would have let it refute.
    suspected = {
        news.record.name for _, _, news in network.state_changes if news.record.state is MemberState.SUSPECT
    }
    assert {"n3", "n4", "n5"} <= suspected


def test_half_the_fleet_killed_at_once() -> None:
    network = joined_network(3)
    for node in list(network.nodes.values())[::2]:  # among them one of the two seeds
        network.kill(node)
    assert network.settle(2 * SETTLE_LIMIT_S) is not None


def test_a_member_that_leaves_is_not_declared_dead() -> None:
    network = joined_network(4)
    network.leave(list(network.nodes.values())[7])
    assert network.settle(2.0) is not None and network.false_deaths() == 0


def test_two_halves_apart_for_a_minute_with_joins_and_deaths_settle_once_whole() -> None:
    network = joined_network(5)
    network.cut = lambda source, target: port_parity(source) != port_parity(target)
    network.run(20.0)
    network.kill(list(network.nodes.values())[4])
    network.kill(list(network.nodes.values())[5])
    network.start(40, [0, 2])
    network.start(41, [1, 3])
    network.run(40.0)
    network.cut = lambda source, target: False
    assert network.settle(30.0) is not None


@pytest.mark.parametrize("seed", range(4))
def test_a_one_way_cut_between_two_members_suspects_neither(seed: int) -> None:
    """One direction between two members is cut; the indirect probes of other members still succeed."""
    network = joined_network(seed)
    first, second = list(network.nodes)[2:4]
    network.cut = lambda source, target: (source, target) == (first, second)
    network.run(60.0)
    assert network.false_deaths() == 0
    # No member is even suspected, as an indirect probe reaches a member that a direct one does not.
    assert [news for _, _, news in network.state_changes if news.record.state is MemberState.SUSPECT] == []
    network.cut = lambda source, target: False
    assert network.settle(SETTLE_LIMIT_S) is not None


def test_a_stalled_member_declares_nobody_dead() -> None:
    network = joined_network(6)
    node = list(network.nodes.values())[5]
    network.stall(node, 5.0)
    network.run(5.0)
    assert network.settle(SETTLE_LIMIT_S) is not None
    declared_dead = [
        news
        for _, name, news in network.state_changes
        if name == node.name and news.record.state is MemberState.DEAD
    ]
    assert declared_dead == []


@pytest.mark.parametrize("seed", range(3))
def test_a_member_that_wakes_suspects_nobody_before_it_reads_its_messages(seed: int) -> None:
    """uvloop runs expired timers before it reads sockets, so after a stall every probe looks unanswered."""
    network = joined_network(40 + seed)
    network.timers_first = True
    node = list(network.nodes.values())[5]
    for _ in range(4):
        network.stall(node, 5.0)
        network.run(9.0)
    accusations = [
        news
        for _, name, news in network.state_changes
        if name == node.name
        and news.record.state >= MemberState.SUSPECT
        and news.record.reported_by == node.name
    ]
    assert accusations == []
    assert network.settle(SETTLE_LIMIT_S) is not None


def test_a_flapping_member_ends_alive_and_no_other_is_declared_dead() -> None:
    network = joined_network(15)
    name = list(network.nodes.values())[8].name
    for _ in range(12):
        network.kill(network.nodes["127.0.0.1", 10_008])
        network.run(0.7)
        network.start(8, [0, 1])
        network.run(0.6)
    assert network.settle(SETTLE_LIMIT_S) is not None
    assert {
        news.record.name for _, _, news in network.state_changes if news.record.state is MemberState.DEAD
    } <= {name}


def test_a_member_that_restarts_at_another_address_is_alive() -> None:
    network = joined_network(7)
    node = list(network.nodes.values())[9]
    network.kill(node)
    network.run(10.0)
    network.start(60, [0, 1], name=node.name)
    assert network.settle(SETTLE_LIMIT_S) is not None


def test_a_member_that_restarts_with_its_clock_set_back_refutes_its_death() -> None:
    network = joined_network(8)
    node = list(network.nodes.values())[9]
    network.kill(node)
    network.run(10.0)
    network.start(9, [0, 1], clock=-3600.0)
    assert network.settle(2 * SETTLE_LIMIT_S) is not None


@pytest.mark.parametrize("after", [0.05, 0.7])
def test_a_member_that_restarts_at_once_with_its_clock_set_back_is_not_superseded(after: float) -> None:
    """Guards against a restarted member that takes the still live record of its earlier instance for another
    process with its name, considers itself superseded, and never returns to the view."""
    network = joined_network(8)
    network.kill(list(network.nodes.values())[9])
    network.run(after)
    network.start(9, [0, 1], clock=-3600.0)
    assert network.settle(2 * SETTLE_LIMIT_S) is not None and network.displaced == []


@pytest.mark.parametrize("seed", [8, 9, 10])
@pytest.mark.parametrize("after", [0.05, 0.7, 2.0])
def test_a_member_that_moves_address_with_its_clock_set_back_rejoins(after: float, seed: int) -> None:
    """Guards against a member that stays out of the view until its next start: it took its earlier instance,
    at its old address, for another process with the name, even once that instance was known to be dead."""
    network = joined_network(seed)
    node = list(network.nodes.values())[9]
    network.kill(node)
    network.run(after)
    restarted = network.start(60, [0, 1], clock=-3600.0, name=node.name)
    assert network.settle(4 * SETTLE_LIMIT_S) is not None
    assert not restarted.membership.superseded and network.reinstated in ([], [node.name])


def test_a_shared_name_returns_to_the_earlier_process_once_the_later_one_dies() -> None:
    """The earlier of two processes with the same name is out of the view while the later one runs."""
    network = joined_network(9)
    earlier = next(node for node in network.nodes.values() if node.name == "n5")
    later = network.start(61, [0, 1], name="n5")
    network.run(10.0)
    assert earlier.membership.superseded and network.displaced == ["n5"]
    network.kill(later)
    assert network.settle(4 * SETTLE_LIMIT_S) is not None
    assert not earlier.membership.superseded and network.reinstated == ["n5"]


def test_a_shared_name_goes_to_the_later_process_and_the_earlier_one_is_notified() -> None:
    network = joined_network(9)
    network.start(61, [0, 1], name="n5")
    network.run(10.0)
    assert network.displaced == ["n5"]
    others = [node.membership for node in network.nodes.values() if not node.membership.superseded]
    addresses = {
        record.address for member in others for record in member.view.live_members() if record.name == "n5"
    }
    assert len(others) == 20 and addresses == {("127.0.0.1", 10_061)}


def test_an_outdated_death_record_changes_nothing_after_a_rejoin() -> None:
    network = joined_network(10)
    old = list(network.nodes.values())[6]
    network.kill(old)
    network.run(10.0)
    death_record = next(
        record for record in list(network.nodes.values())[0].membership.view if record.name == old.name
    )
    assert death_record.state is MemberState.DEAD
    network.start(6, [0, 1])
    assert network.settle(SETTLE_LIMIT_S) is not None
    for node in network.nodes.values():
        node.membership.records.apply(network.now, death_record)
    assert network.agreed()


def test_the_others_stay_in_agreement_while_all_seeds_are_dead() -> None:
    network = joined_network(11)
    for number in (0, 1):
        network.kill(network.nodes["127.0.0.1", 10_000 + number])
    assert network.settle(SETTLE_LIMIT_S) is not None
    network.start(0, [1])  # members that have this seed configured find it again
    network.run(30.0)
    assert network.agreed()


def test_one_per_cent_packet_loss_for_half_an_hour_declares_nobody_dead() -> None:
    network = joined_network(12, size=12, loss=0.01)
    network.run(1800.0)
    assert network.false_deaths() == 0


def test_a_seed_reproduces_every_event() -> None:
    hashes = []
    for _ in range(2):
        network = joined_network(13, loss=0.05)
        network.kill(list(network.nodes.values())[3])
        network.run(20.0)
        hashes.append(network.log_hash)
    assert hashes[0] == hashes[1]


def test_messages_sent_per_member_do_not_grow_with_the_cluster() -> None:
    rates = []
    for size in (5, 40, 120):
        network = joined_network(14, size, settle_limit_s=4 * SETTLE_LIMIT_S)
        network.sent.clear()
        network.run(20.0)
        rates.append(sum(network.sent.values()) / size / 20.0)
    assert max(rates) < 1.3 * min(rates)


def test_tombstones_expire_and_the_view_is_bounded() -> None:
    view = MembershipView(10.0, max_members=5)
    for number in range(9):
        view.apply(float(number), MemberRecord(f"n{number}", "h", 1, "z", 1, 1, MemberState.DEAD))
    assert len(view) == 5 and view.rejected_count == 4
    view.forget_departed(11.5)
    assert len(view) == 3


@given(st.integers(1, 300), st.integers(0, 8))
@settings(max_examples=60)
def test_a_suspicion_shortens_with_each_confirmation_down_to_its_minimum(
    live_count: int, max_confirmations: int
) -> None:
    timings = ProtocolTimings()
    timeouts = [
        suspicion_timeout_s(timings, live_count, confirmations)
        for confirmations in range(max_confirmations + 1)
    ]
    assert all(later <= earlier for earlier, later in itertools.pairwise(timeouts))
    assert timeouts[-1] >= timings.suspect_for * timings.period
