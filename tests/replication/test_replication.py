"""Replication: what is written in one place is everywhere within seconds, whatever failed."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pipitshed.cluster.codec import DATAGRAM_LIMIT, Codec
from pipitshed.membership.members import Address
from pipitshed.membership.messages import Ping, RepairMessage
from pipitshed.replication.anti_entropy import AntiEntropy
from pipitshed.replication.bandwidth_budget import BURST_BYTES, RATE_BYTES_PER_S, BandwidthBudget
from pipitshed.replication.gossip_queue import GossipQueue, transmission_limit
from pipitshed.replication.merkle_tree import FANOUT, MAX_DEPTH, ROOT, MerkleTree, node_depth
from pipitshed.replication.message_pacing import OutgoingMessage
from pipitshed.replication.messages import (
    UNPACKED_LIMIT_BYTES,
    Compare,
    FetchRequest,
    Rows,
    message_size,
    pack,
    unpack,
)
from pipitshed.replication.row import FORMAT_VERSION, Row, precedence
from pipitshed.replication.row_table import ApplyResult, RowError, RowTable
from pipitshed.testbed import virtual_view
from pipitshed.testbed.virtual_view import ENVELOPE, Network, Node

THERE = ("127.0.0.1", 1)
ROWS = msgspec.msgpack.Decoder(tuple[Row, ...])
WITHIN = 5.0  # s in which a change is in force everywhere
A_SECOND = 9000  # bytes that a scheduler may send in each


def joined(seed: int, size: int = 12, loss: float = 0.0) -> Network:
    network = Network(seed, loss=loss, tables=("settings",))
    network.fleet(size)
    assert network.settle(WITHIN) is not None
    caught_up(network)
    return network


def caught_up(network: Network, within: float = 15.0) -> None:
    until(network, lambda: all(node.tables[0].caught_up for node in network.nodes.values()), within)


def until(network: Network, what: object, within: float) -> float:
    begun = network.now
    while not what():  # type: ignore[operator]
        assert network.now - begun < within
        network.run(0.1)
    return network.now - begun


def nodes(network: Network) -> list[Node]:
    return list(network.nodes.values())


def same(network: Network) -> bool:
    return len({node.tables[0].digest() for node in network.nodes.values()}) == 1


def table(**bounds: int) -> RowTable:
    one = RowTable("settings", **bounds)
    one.caught_up = True
    return one


def busiest(network: Network, since: int = 0) -> int:
    return max(size for (_, second), size in network.bytes_out.items() if second >= since)


# ---- rows


def rows() -> st.SearchStrategy[Row]:
    return st.builds(
        Row,
        st.sampled_from(["a", "b"]),
        st.integers(1, 2),
        st.integers(1, 3),
        st.sampled_from(["v", "w"]),
        st.sampled_from([b"", b"1", b"2"]),
        st.booleans(),
    )


@given(st.lists(rows(), max_size=10), st.randoms(use_true_random=False))
def test_tables_join_the_same_in_any_order(told: list[Row], rng: random.Random) -> None:
    ends = []
    for _ in range(3):
        one = table()
        rng.shuffle(told)
        for row in told + told[:2]:
            one.apply(row)
        ends.append((one.digest(), sorted((row.key, precedence(row)) for row in one)))
    assert ends[0] == ends[1] == ends[2]


def test_a_row_older_than_its_deletion_never_comes_back() -> None:
    """Also from one who was away for days, longer than a member's tombstone stands."""
    network = joined(1)
    away = nodes(network)[5]
    network.put(nodes(network)[2], ("quota/red", b"1"))
    until(network, lambda: same(network) and away.tables[0].get("quota/red"), WITHIN)
    network.cut = lambda source, target: (source == away.address) != (target == away.address)
    network.run(30.0)
    writer = nodes(network)[2]
    row = writer.tables[0].delete("quota/red", writer.name)
    network._carry_out(writer, writer.membership.disseminate(network.now, "settings", [row]))
    network.run(400.0)
    assert not away.tables[0].get("quota/red").deleted  # type: ignore[union-attr]
    network.cut = lambda source, target: False
    until(network, lambda: same(network), 40.0)
    assert all(node.tables[0].get("quota/red") == row for node in nodes(network))


def test_a_writer_that_restarts_with_its_clock_set_back_writes_the_next_number() -> None:
    network = joined(2)
    writer = nodes(network)[4]
    for body in (b"1", b"2", b"3"):
        network.put(writer, ("quota/red", body))
    until(network, lambda: same(network), WITHIN)
    network.kill(writer)
    network.run(2.0)
    writer = network.start(4, [0, 1], clock=-3600.0)
    with pytest.raises(RowError, match="not compared"):
        network.put(writer, ("quota/red", b"4"))
    until(network, lambda: writer.tables[0].caught_up, WITHIN)
    network.put(writer, ("quota/red", b"4"))
    until(network, lambda: same(network), WITHIN)
    held = [node.tables[0].get("quota/red") for node in nodes(network)]
    assert {(row.number, row.body) for row in held if row is not None} == {(4, b"4")}


def test_one_that_has_not_caught_up_is_no_measure_for_another() -> None:
    """Two that begin at once, and hear each other first, hold the same: nothing."""
    network = joined(3, size=6)
    network.put(nodes(network)[2], ("quota/red", b"1"))
    until(network, lambda: same(network), WITHIN)
    for number in (4, 5):
        network.kill(network.nodes["127.0.0.1", 10_000 + number])
    network.cut = lambda source, target: (source[1] > 10_003) != (target[1] > 10_003)
    new = [network.start(4, [5, 0]), network.start(5, [4, 0])]
    until(network, lambda: all(node.membership.view.live_count == 2 for node in new), 20.0)
    network.run(5.0)
    assert not any(node.tables[0].caught_up for node in new)
    network.cut = lambda source, target: False
    until(network, lambda: same(network) and all(node.tables[0].caught_up for node in new), 40.0)


def test_only_an_exchange_that_fetched_all_catches_up() -> None:
    """Not a look at one range, nor answers that had no room for what they should have told."""
    me, peer = RowTable("settings"), table()
    for number in range(600):
        peer.put(f"quota/t{number}", random.Random(number).randbytes(40), "w")
    ends = [
        AntiEntropy([one], BandwidthBudget(1, 0.0, rate=1e9, burst=1e9), random.Random(1), 40)
        for one in (me, peer)
    ]

    def play(told: list[OutgoingMessage], cut_short: bool = False) -> bool:
        while told:
            message = told.pop().message
            told += [
                answer
                for out in answers(ends[1], message, peer)
                for answer in answers(
                    ends[0],
                    msgspec.structs.replace(out, packed=pack(()), complete=False)
                    if cut_short and isinstance(out, Rows) and out.ranges
                    else out,
                    me,
                    leads=True,
                )
            ]
        return ends[0].completed.pop().complete

    def answers(end: AntiEntropy, message: object, held: RowTable, leads: bool = False) -> list[object]:
        if isinstance(message, Rows):
            new = [row for row in unpack(message.packed, ROWS) if held.apply(row) is ApplyResult.NEW]
            out = end.receive_rows(0.0, THERE, message, len(new), [])
        else:
            is_comparison = isinstance(message, Compare)
            handle = end.receive_comparison if is_comparison else end.responder.answer_fetch_request
            out = handle(0.0, THERE, message)  # type: ignore[operator]
        return list(out) if leads else [one.message for one in out]

    for number in range(300):
        me.apply(peer.get(f"quota/t{number}"))  # type: ignore[arg-type]
    assert not play(ends[0].compare_random_range(0.0, 0, THERE))
    assert not play(ends[0].start(0.0, 0, THERE), cut_short=True)
    assert play(ends[0].start(0.0, 0, THERE)) and me.digest() == peer.digest()


def test_two_contents_under_one_number_have_one_winner_everywhere() -> None:
    network = joined(4)
    network.put(nodes(network)[0], ("quota/red", b"0"))
    until(network, lambda: same(network), WITHIN)
    network.cut = lambda source, target: source[1] % 2 != target[1] % 2
    for number in (2, 3):
        node = nodes(network)[number]
        row = node.tables[0].put("quota/red", b"%d" % number, node.name, take_over=True)
        network._carry_out(node, node.membership.disseminate(network.now, "settings", [row]))
    network.run(10.0)
    assert not same(network)
    network.cut = lambda source, target: False
    until(network, lambda: same(network), 40.0)
    assert sum(node.tables[0].counts["conflicts"] for node in nodes(network)) > 0


def test_what_is_beyond_the_bounds_is_refused_and_counted() -> None:
    one = table(max_rows=3, max_bytes=400, max_row_bytes=100)
    for key in "abc":
        one.put(key, b"1", "w")
    for body, key, why in (
        (b"x" * 200, "a", "bytes, 100 at most"),
        (b"1", "d", "no room"),
        (b"1", "", "key has 1"),
        (b"1", "k" * 129, "key has 1"),
    ):
        with pytest.raises(RowError, match=why):
            one.put(key, body, "w")
    assert one.counts == {"new": 3, "too-long": 1, "too-many": 1, "unsound": 2}
    one.delete("a", "w")  # its tombstone holds its place, so that it can't come back
    assert one.apply(Row("d", 1, 1, "w", b"")) is ApplyResult.TOO_MANY
    assert one.apply(Row("a", 1, 1, "w", b"1")) is ApplyResult.OLD
    for key in "bc":
        one.put(key, b"x" * 60, "w")
    one = table(max_bytes=100)
    one.put("a", b"x" * 60, "w")
    assert one.apply(Row("b", 1, 1, "w", b"x" * 60)) is ApplyResult.TOO_MANY


def test_a_row_of_a_newer_program_is_carried_unread() -> None:
    network = joined(5)
    newer = Row("quota/red", 1, 7, "n9", b"\xff\x00 who knows", format_version=FORMAT_VERSION + 1)
    node = nodes(network)[3]
    assert node.tables[0].apply(newer) is ApplyResult.NEW
    network._carry_out(node, node.membership.disseminate(network.now, "settings", [newer]))
    until(network, lambda: all(node.tables[0].get("quota/red") == newer for node in nodes(network)), WITHIN)
    assert not newer.readable
    with pytest.raises(RowError, match="newer program"):
        node.tables[0].put("quota/red", b"old", "n9")
    with pytest.raises(RowError, match="n9 writes it"):
        node.tables[0].put("quota/red", b"old", "n3")


# ---- digests


@given(
    st.lists(st.tuples(st.sampled_from([f"k{n}" for n in range(40)]), st.integers(0, 2**64 - 1))),
    st.sets(st.sampled_from([f"k{n}" for n in range(40)])),
)
def test_a_tree_that_changed_is_the_tree_made_anew(puts: list[tuple[str, int]], drops: set[str]) -> None:
    changed, held = MerkleTree(), {}
    for key, content in puts:
        changed.put(key, content)
        held[key] = content
    for key in drops & set(held):
        changed.drop(key)
        del held[key]
    anew = MerkleTree()
    for key, content in held.items():
        anew.put(key, content)
    assert changed._nodes == anew._nodes and changed._sorted_keys == anew._sorted_keys
    assert sorted(key for part in range(FANOUT) for key in changed.keys(FANOUT + part)) == sorted(held)
    assert node_depth(ROOT) == 0 and node_depth(ROOT * FANOUT**MAX_DEPTH) == MAX_DEPTH


def test_digests_that_collide_are_found_by_looking_at_the_items() -> None:
    network = joined(6, size=6)
    for number in range(12):
        network.put(nodes(network)[0], (f"quota/t{number}", b"1"))
    until(network, lambda: same(network), WITHIN)
    odd = nodes(network)[3].tables[0]
    network.put(nodes(network)[0], ("quota/t1", b"2"), ("quota/t2", b"2"))
    until(network, lambda: same(network), WITHIN)
    network.run(10.0)  # so that no digest that differed is remembered
    for key in ("quota/t1", "quota/t2"):  # a fault took it back to the old rows
        odd._rows[key] = Row(key, 1, 1, "n0", b"1")
    contents = {key: odd.tree._items[key][1] for key in ("quota/t1", "quota/t2")}
    odd.tree.put("quota/t1", contents["quota/t1"] + 5 * 2**60)
    odd.tree.put("quota/t2", contents["quota/t2"] - 5 * 2**60)
    assert same(network)
    until(
        network,
        lambda: odd.get("quota/t1").number == odd.get("quota/t2").number == 2,  # type: ignore
        400.0,
    )


# ---- peers that lie


class Liar:
    """Takes the place of a node that the others know."""

    def __init__(self, network: Network, node: Node) -> None:
        self.network, self.node = network, node
        self.asked: list[float] = []
        network.kill(node)
        send = network._send

        def seen(source: Node, to: Address, message: object) -> None:
            if to == node.address and isinstance(message, RepairMessage) and message.part.table == 1:
                self.asked.append(network.now)
            send(source, to, message)  # type: ignore[arg-type]

        network._send = seen  # type: ignore[method-assign]

    def tell(self, target: Node, message: object) -> None:
        membership = target.membership
        self.network._carry_out(
            target, membership.handle_message(self.network.now, message, self.node.address)
        )  # type: ignore[arg-type]
        self.network._wake(target)


def test_a_peer_whose_digests_never_match_is_left_alone_longer_and_longer() -> None:
    network = joined(7, size=4)
    network.put(nodes(network)[0], ("quota/red", b"1"))
    until(network, lambda: same(network), WITHIN)
    victim, liar = nodes(network)[1], Liar(network, nodes(network)[3])
    me = liar.node.membership.self_record
    for step in range(600):
        digests = (victim.membership.replicator.digests()[0], step.to_bytes(8, "big"))
        liar.tell(victim, Ping(step, me, victim.name, (), digests))
        if step % 10 == 5:  # and answers what it was not asked, or in no way that ends
            liar.tell(victim, RepairMessage(Compare(1, ((ROOT, step, 9),), False)))
            liar.tell(victim, RepairMessage(Rows(1, bytes(5), (ROOT,), step, b"abc", False)))
        network.run(0.1)
    assert 1 <= len(liar.asked) < 40
    assert victim.tables[0].get("quota/red").body == b"1"  # type: ignore[union-attr]


def test_a_peer_that_tells_rows_for_ever_is_bounded_in_rows_and_in_what_it_makes_others_send() -> None:
    network = joined(8, size=6)
    for node in nodes(network):
        node.tables[0].max_rows = 200
    victim, liar = nodes(network)[1], Liar(network, nodes(network)[5])
    begun = int(network.now) + 1
    for step in range(200):
        told = tuple(Row(f"k{step}-{n}", 1, 1, "w", b"x" * 40) for n in range(10))
        liar.tell(victim, RepairMessage(Rows(1, pack(told), (ROOT,), 1, bytes(100), False)))
        liar.tell(victim, RepairMessage(FetchRequest(1, (ROOT,) * 20, step, b"")))
        liar.tell(victim, RepairMessage(Compare(1, ((ROOT, step, 5000),), True)))
        network.run(0.05)
    assert all(len(node.tables[0]) <= 200 for node in nodes(network))
    assert victim.tables[0].counts["too-many"] > 1000
    assert busiest(network, begun) < A_SECOND
    assert network.agreed() or network.settle(20.0) is not None


# ---- networks that fail


def test_one_way_cuts_keep_no_change_from_anybody() -> None:
    network = joined(9)
    for place in (2, 3, 4):
        node = nodes(network)[place]
        network.cut = lambda source, target, at=node.address: (  # type: ignore[misc]
            source == at and target[1] % 3 != 0
        )
        network.put(node, (f"quota/t{place}", b"1"))
        until(network, lambda: same(network), WITHIN)
    one, two = nodes(network)[5].address, nodes(network)[6].address
    network.cut = lambda source, target: (source, target) == (one, two)
    network.put(nodes(network)[5], ("quota/x", b"1"))
    until(network, lambda: same(network), WITHIN)
    assert network.false_deaths() == 0


@pytest.mark.parametrize("seed", range(3))
def test_what_a_burst_loses_is_repaired(seed: int) -> None:
    """All but one of its messages go lost while it is told, and its rumours come to their end."""
    network = joined(20 + seed)
    deaf = nodes(network)[7]
    network.cut = lambda source, target: target == deaf.address and network.rng.random() < 0.9
    for number in range(20):
        network.put(nodes(network)[number % 6], (f"quota/t{number}", b"1"))
        network.run(0.05)
    network.run(4.0)
    network.cut = lambda source, target: False
    until(network, lambda: same(network), WITHIN)


def test_a_stopped_scheduler_that_wakes_is_current_and_blames_nobody_for_its_sleep() -> None:
    network = joined(10)
    network.timers_first = True
    sleeper = nodes(network)[6]
    asked = sleeper.membership.replicator.start_exchange(network.now, 1, nodes(network)[3].address)
    sleeper.membership.outbox.send_admitted(asked)
    network.stop(sleeper, 20.0)
    for number in range(20):
        network.put(nodes(network)[number % 5], (f"quota/t{number}", b"1"))
        network.run(1.0)
    until(network, lambda: same(network), WITHIN)
    assert sleeper.membership.replicator.anti_entropy.backoff._failures == {}


def test_sides_that_were_apart_hold_the_same_rows_soon_after_they_meet() -> None:
    network = joined(11, size=20)
    network.cut = lambda source, target: source[1] % 2 != target[1] % 2
    network.run(5.0)
    for number in range(120):
        network.put(nodes(network)[number % 6], (f"quota/t{number}-{number % 2}", b"x" * 20))
        network.run(0.2)
    network.run(150.0)  # the members of the other side are forgotten
    network.cut = lambda source, target: False
    begun = int(network.now)
    until(network, lambda: same(network) and network.agreed(), 20.0)
    assert busiest(network, begun) < A_SECOND


# ---- budget, sizes, joining


def test_a_budget_holds_in_each_second_and_is_shared() -> None:
    budget, sent = BandwidthBudget(2, 0.0), [0, 0, 0]
    windows = []
    for step in range(2000):
        now = step / 100
        budget.charge(now, 20)
        sent[2] += 20
        for place in (0, 1):  # the one that wants all always comes first
            if room := budget.available_bytes(now, place, 300):
                size = room if place == 0 else min(room, 400)
                budget.spend(now, place, size)
                sent[place] += size
        windows.append(sum(sent))
    assert max(windows[at + 100] - windows[at] for at in range(1900)) < A_SECOND
    assert sum(sent) > 0.8 * 20 * RATE_BYTES_PER_S  # and nothing is left unused
    assert 0.7 < sent[0] / sent[1] < 1.4
    budget = BandwidthBudget(2, 0.0)
    assert budget.available_bytes(0.0, 0) == int(BURST_BYTES)  # where nobody else waits, all of it


def test_rumours_come_the_least_told_first_then_the_newest_and_end() -> None:
    rumours: GossipQueue[Row] = GossipQueue()
    for number in range(4):
        rumours.add(Row(f"k{number}", 1, 1, "w", b""))
    size = Row("k0", 1, 1, "w", b"").size
    assert [row.key for row in rumours.take(2 * size, 5)] == ["k3", "k2"]
    rumours.add(Row("k4", 1, 1, "w", b""))
    assert [row.key for row in rumours.take(3 * size, 5)] == ["k4", "k1", "k0"]
    assert rumours.take(size, 5, exclude=[Row("k2", 1, 1, "w", b"")])[0].key != "k2"
    told = sum(len(rumours.take(10 * size, 5)) for _ in range(20))
    assert told == 5 * transmission_limit(5) - 6 and len(rumours) == 0


def test_one_that_lost_everything_is_current_within_five_seconds(monkeypatch: pytest.MonkeyPatch) -> None:
    """From a fleet with 800 rows; no message is longer than a datagram, and none sends more than it may."""
    network = joined(12, size=30)
    source = table()
    bodies = random.Random(12)  # that can't be made smaller
    made = [source.put(f"quota/team-{number}", bodies.randbytes(40), "ops") for number in range(800)]
    for node in nodes(network):
        for row in made:
            node.tables[0].apply(row)
    network.run(3.0)
    longest, codec = [0], Codec("pipitshed")
    size = virtual_view.message_size

    def seen(message: object) -> int:
        longest[0] = max(longest[0], len(codec.encode(message)))  # type: ignore[arg-type]
        return size(message)  # type: ignore[arg-type]

    monkeypatch.setattr(virtual_view, "message_size", seen)
    network.kill(nodes(network)[9])
    network.run(1.0)
    begun = int(network.now)
    new = network.start(9, [0, 1])
    until(network, lambda: same(network) and new.tables[0].caught_up and network.agreed(), WITHIN)
    assert busiest(network, begun) < A_SECOND and 500 < longest[0] <= DATAGRAM_LIMIT


def test_what_each_sends_at_rest_does_not_grow_with_the_fleet_or_its_rows() -> None:
    rates = []
    for size, count in ((10, 0), (10, 200), (60, 200)):
        network = joined(13, size)
        for number in range(count):
            network.put(nodes(network)[0], (f"quota/t{number}", b"1"))
            if number % 20 == 19:
                network.run(1.0)
        network.run(10.0)
        network.bytes_out.clear()
        network.run(20.0)
        rates.append(sum(network.bytes_out.values()) / size / 20.0)
    assert max(rates) < 1.1 * min(rates) and max(rates) < 2000


def test_what_all_know_is_told_no_more() -> None:
    """Tellings alone would go on for many seconds, as each goes to one in so many that don't know it."""
    network = joined(15, size=60)
    begun = network.now
    assert (
        until(
            network,
            lambda: (
                not any(len(queue) for node in nodes(network) for queue in node.membership.replicator.queues)
            ),
            10.0,
        )
        < 4.0
    ), begun


def test_a_fresh_row_is_everywhere_soon_and_few_messages_carry_it_to_another_region() -> None:
    network = Network(16, tables=("settings",), zones=("eu/1", "us/1"))
    network.fleet(40)
    assert network.settle(WITHIN) is not None
    caught_up(network)
    network.run(5.0)
    crossings = [0]
    send = network._send

    def seen(node: Node, to: Address, message: object) -> None:
        part = message.part if isinstance(message, RepairMessage) else None
        told = isinstance(part, Rows) and part.fresh or bool(getattr(message, "rows", ()))
        crossings[0] += told and node.address[1] % 2 != to[1] % 2
        send(node, to, message)  # type: ignore[arg-type]

    network._send = seen  # type: ignore[method-assign, assignment]
    network.put(nodes(network)[3], ("quota/red", b"1"))
    until(network, lambda: same(network), 1.5)
    network.run(3.0)
    took = sorted(at for at, _, row in network.row_news if row.key == "quota/red")
    assert len(took) == 40 and took[20] - took[0] < 0.3
    assert 0 < crossings[0] < 20


def test_repair_costs_what_differs() -> None:
    """One row of 600 that one scheduler lacks: a few datagrams, not the table."""
    told = []
    for lacking in (1, 40):
        network = joined(14, size=4)
        source = table()
        for number in range(600):
            row = source.put(f"quota/team-{number}", b'{"share":0.125,"burst":12}', "ops")
            for place, node in enumerate(nodes(network)):
                if place != 2 or number >= lacking:
                    node.tables[0].apply(row)
        sizes = []
        send = network._send

        def seen(
            node: Node, to: Address, message: object, sizes: list[int] = sizes, send: object = send
        ) -> None:
            if isinstance(message, RepairMessage) and message.part.table == 1:
                sizes.append(message_size(message) + ENVELOPE)
            send(node, to, message)  # type: ignore[operator]

        network._send = seen  # type: ignore[method-assign, assignment]
        until(network, lambda net=network: same(net), WITHIN)  # type: ignore[misc]
        told.append(sum(sizes))
    assert told[0] < 3000 and told[1] < 12_000 < source._bytes / 2


@given(st.lists(rows()).map(tuple), st.binary(max_size=40), st.integers(0, 200))
def test_what_is_packed_comes_back_and_what_is_damaged_or_swollen_is_nothing(
    told: tuple[Row, ...], junk: bytes, cut: int
) -> None:
    assert unpack(pack(told), ROWS) == told
    assert unpack(pack(told)[:cut], ROWS) in ((), told)
    assert isinstance(unpack(junk, ROWS), tuple)
    assert unpack(pack([Row("k", 1, 1, "w", bytes(2 * UNPACKED_LIMIT_BYTES))]), ROWS) == ()


class Zeros(random.Random):
    """Draws the lowest number each time."""

    def randrange(self, *_: object) -> int:  # type: ignore[override]
        return 0


def test_a_sample_ends_an_exchange_whose_request_has_the_salt_of_none() -> None:
    """Guards against a KeyError that ends the turn of the protocol: a sample has the salt 0, and so may, once
    in four thousand million, a request for rows that was out when it came."""
    held = table()
    held.put("k", b"1", "w")
    repair = AntiEntropy([held], BandwidthBudget(1, 0.0), Zeros(), 0)
    [asked] = repair.compare_random_range(1.0, 0, THERE)
    assert isinstance(asked.message, FetchRequest) and asked.message.salt == 0
    sample = Rows(0, pack([Row("k2", 1, 1, "w", b"2")]), complete=False)
    assert sample.is_sample and sample.salt == 0
    assert repair.receive_rows(1.1, THERE, sample, 1, ()) == []
    assert repair.is_idle(0, THERE) and repair.handle_timeouts(60.0) == []
