"""The fleet's view in virtual time: who lives is held alike by all, whatever failed before."""

from __future__ import annotations

import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pipitshed.membership.members import Address, MemberRecord, MemberState, precedence
from pipitshed.membership.timing import ProtocolTimings, suspicion_timeout_s
from pipitshed.membership.view import MembershipView
from pipitshed.testbed.virtual_view import Network

WITHIN = 5.0  # s in which 20 schedulers settle after the last fault


def side(address: Address) -> int:
    return address[1] % 2


def joined(seed: int, size: int = 20, loss: float = 0.0, within: float = WITHIN) -> Network:
    network = Network(seed, loss=loss)
    network.fleet(size)
    assert network.settle(within) is not None
    return network


def words() -> st.SearchStrategy[MemberRecord]:
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


@given(st.lists(words(), max_size=8), st.randoms(use_true_random=False))
def test_views_join_the_same_in_any_order(told: list[MemberRecord], rng: random.Random) -> None:
    ends = []
    for _ in range(3):
        view = MembershipView(60.0)
        rng.shuffle(told)
        for word in told + told[:2]:
            view.apply(0.0, word)
        ends.append(sorted((word.name, precedence(word)) for word in view))
    assert ends[0] == ends[1] == ends[2]


@pytest.mark.parametrize("seed", range(5))
def test_a_death_is_found_and_held_by_all(seed: int) -> None:
    network = joined(seed)
    for node in list(network.nodes.values())[3:6]:
        network.kill(node)
    assert network.settle(WITHIN) is not None
    # Each was suspected first, so that it could have refuted.
    told = {news.record.name for _, _, news in network.news if news.record.state is MemberState.SUSPECT}
    assert {"n3", "n4", "n5"} <= told


def test_half_the_fleet_killed_at_once() -> None:
    network = joined(3)
    for node in list(network.nodes.values())[::2]:  # both seeds' first among them
        network.kill(node)
    assert network.settle(2 * WITHIN) is not None


def test_one_that_leaves_is_no_death() -> None:
    network = joined(4)
    network.leave(list(network.nodes.values())[7])
    assert network.settle(2.0) is not None and network.false_deaths() == 0


def test_two_halves_apart_for_a_minute_with_joins_and_deaths_settle_once_whole() -> None:
    network = joined(5)
    network.cut = lambda source, target: side(source) != side(target)
    network.run(20.0)
    network.kill(list(network.nodes.values())[4])
    network.kill(list(network.nodes.values())[5])
    network.start(40, [0, 2])
    network.start(41, [1, 3])
    network.run(40.0)
    network.cut = lambda source, target: False
    assert network.settle(30.0) is not None


@pytest.mark.parametrize("seed", range(4))
def test_a_one_way_cut_between_two_kills_nobody(seed: int) -> None:
    """The two can't probe each other, but others can: the indirect probes say so."""
    network = joined(seed)
    one, two = list(network.nodes)[2:4]
    network.cut = lambda source, target: (source, target) == (one, two)
    network.run(60.0)
    assert network.false_deaths() == 0
    # Nobody is even suspected: what a direct probe does not reach, an indirect one does.
    assert [news for _, _, news in network.news if news.record.state is MemberState.SUSPECT] == []
    network.cut = lambda source, target: False
    assert network.settle(WITHIN) is not None


def test_one_whose_loop_stood_still_doubts_itself_and_comes_back() -> None:
    network = joined(6)
    node = list(network.nodes.values())[5]
    network.stop(node, 5.0)
    network.run(5.0)
    assert network.settle(WITHIN) is not None
    by_it = [
        news for _, name, news in network.news if name == node.name and news.record.state is MemberState.DEAD
    ]
    assert by_it == []


@pytest.mark.parametrize("seed", range(3))
def test_one_that_wakes_judges_nobody_before_it_has_read_what_waits(seed: int) -> None:
    """uvloop runs the timers that are due before it reads: all probes look unanswered then."""
    network = joined(40 + seed)
    network.timers_first = True
    node = list(network.nodes.values())[5]
    for _ in range(4):
        network.stop(node, 5.0)
        network.run(9.0)
    said = [
        news
        for _, name, news in network.news
        if name == node.name
        and news.record.state >= MemberState.SUSPECT
        and news.record.reported_by == node.name
    ]
    assert said == []
    assert network.settle(WITHIN) is not None


def test_a_member_that_flaps_is_alive_in_the_end_and_drags_nobody_along() -> None:
    network = joined(15)
    name = list(network.nodes.values())[8].name
    for _ in range(12):
        network.kill(network.nodes["127.0.0.1", 10_008])
        network.run(0.7)
        network.start(8, [0, 1])
        network.run(0.6)
    assert network.settle(WITHIN) is not None
    assert {news.record.name for _, _, news in network.news if news.record.state is MemberState.DEAD} <= {
        name
    }


def test_a_name_that_comes_back_without_its_disk_and_on_another_address_is_alive() -> None:
    network = joined(7)
    node = list(network.nodes.values())[9]
    network.kill(node)
    network.run(10.0)
    network.start(60, [0, 1], name=node.name)
    assert network.settle(WITHIN) is not None


def test_a_name_that_comes_back_with_its_clock_stood_back_refutes_its_death() -> None:
    network = joined(8)
    node = list(network.nodes.values())[9]
    network.kill(node)
    network.run(10.0)
    network.start(9, [0, 1], clock=-3600.0)
    assert network.settle(2 * WITHIN) is not None


@pytest.mark.parametrize("after", [0.05, 0.7])
def test_a_name_that_comes_back_at_once_with_its_clock_stood_back_is_no_other_process(after: float) -> None:
    """The failure met: it heard of its life before as of one that lives, held itself for displaced by that,
    and was out of the view for good."""
    network = joined(8)
    network.kill(list(network.nodes.values())[9])
    network.run(after)
    network.start(9, [0, 1], clock=-3600.0)
    assert network.settle(2 * WITHIN) is not None and network.displaced == []


@pytest.mark.parametrize("seed", [8, 9, 10])
@pytest.mark.parametrize("after", [0.05, 0.7, 2.0])
def test_a_name_on_another_address_with_its_clock_stood_back_is_in_the_view_again(
    after: float, seed: int
) -> None:
    """Guards against a member that stays out of the view until its next start: it took its life before, at
    its old address, for another process that holds the name, also once that was known to be dead."""
    network = joined(seed)
    node = list(network.nodes.values())[9]
    network.kill(node)
    network.run(after)
    again = network.start(60, [0, 1], clock=-3600.0, name=node.name)
    assert network.settle(4 * WITHIN) is not None
    assert not again.membership.superseded and network.reinstated in ([], [node.name])


def test_a_name_that_two_hold_goes_to_the_one_that_is_left() -> None:
    """The earlier of two processes with one name is out of the view for as long as the later one lives."""
    network = joined(9)
    earlier = next(node for node in network.nodes.values() if node.name == "n5")
    later = network.start(61, [0, 1], name="n5")
    network.run(10.0)
    assert earlier.membership.superseded and network.displaced == ["n5"]
    network.kill(later)
    assert network.settle(4 * WITHIN) is not None
    assert not earlier.membership.superseded and network.reinstated == ["n5"]


def test_a_name_that_two_hold_goes_to_the_later_and_the_other_hears_so() -> None:
    network = joined(9)
    network.start(61, [0, 1], name="n5")
    network.run(10.0)
    assert network.displaced == ["n5"]
    others = [node.membership for node in network.nodes.values() if not node.membership.superseded]
    held = {word.address for one in others for word in one.view.live_members() if word.name == "n5"}
    assert len(others) == 20 and held == {("127.0.0.1", 10_061)}


def test_an_old_rumour_of_death_changes_nothing_after_a_rejoin() -> None:
    network = joined(10)
    old = list(network.nodes.values())[6]
    network.kill(old)
    network.run(10.0)
    rumour = next(word for word in list(network.nodes.values())[0].membership.view if word.name == old.name)
    assert rumour.state is MemberState.DEAD
    network.start(6, [0, 1])
    assert network.settle(WITHIN) is not None
    for node in network.nodes.values():
        node.membership.records.apply(network.now, rumour)
    assert network.agreed()


def test_seeds_all_dead_the_others_stay_together() -> None:
    network = joined(11)
    for number in (0, 1):
        network.kill(network.nodes["127.0.0.1", 10_000 + number])
    assert network.settle(WITHIN) is not None
    network.start(0, [1])  # a seed that starts anew is found again by those that know it as one
    network.run(30.0)
    assert network.agreed()


def test_one_per_cent_loss_for_half_an_hour_declares_nobody_dead() -> None:
    network = joined(12, size=12, loss=0.01)
    network.run(1800.0)
    assert network.false_deaths() == 0


def test_the_same_seed_is_the_same_to_the_last_event() -> None:
    hashes = []
    for _ in range(2):
        network = joined(13, loss=0.05)
        network.kill(list(network.nodes.values())[3])
        network.run(20.0)
        hashes.append(network.log_hash)
    assert hashes[0] == hashes[1]


def test_what_each_sends_does_not_grow_with_the_fleet() -> None:
    rates = []
    for size in (5, 40, 120):
        network = joined(14, size, within=4 * WITHIN)
        network.sent.clear()
        network.run(20.0)
        rates.append(sum(network.sent.values()) / size / 20.0)
    assert max(rates) < 1.3 * min(rates)


def test_tombstones_end_and_the_view_is_bounded() -> None:
    view = MembershipView(10.0, max_members=5)
    for number in range(9):
        view.apply(float(number), MemberRecord(f"n{number}", "h", 1, "z", 1, 1, MemberState.DEAD))
    assert len(view) == 5 and view.rejected_count == 4
    view.forget_departed(11.5)
    assert len(view) == 3


@given(st.integers(1, 300), st.integers(0, 8))
@settings(max_examples=60)
def test_a_suspicion_shortens_with_each_confirmation_and_never_below_its_least(fleet: int, told: int) -> None:
    scales = ProtocolTimings()
    lasts = [suspicion_timeout_s(scales, fleet, confirmations) for confirmations in range(told + 1)]
    assert all(later <= earlier for earlier, later in itertools.pairwise(lasts))
    assert lasts[-1] >= scales.suspect_for * scales.period
