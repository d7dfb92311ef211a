"""Replication: a row written at one member reaches all within seconds, also after failures."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pipitshed.cluster.codec import DATAGRAM_LIMIT_BYTES, Codec
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
from pipitshed.testbed import virtual_network
from pipitshed.testbed.virtual_network import ENVELOPE_BYTES, Network, Node

PEER_ADDRESS = ("127.0.0.1", 1)
ROWS_DECODER = msgspec.msgpack.Decoder(tuple[Row, ...])
SETTLE_LIMIT_S = 5.0  # time within which a change reaches every member
MAX_BYTES_PER_S = 9000  # that a scheduler may send to its peers


def joined_network(seed: int, size: int = 12, loss: float = 0.0) -> Network:
    network = Network(seed, loss=loss, tables=("settings",))
    network.fleet(size)
    assert network.settle(SETTLE_LIMIT_S) is not None
    wait_until_caught_up(network)
    return network


def wait_until_caught_up(network: Network, limit_s: float = 15.0) -> None:
    run_until(network, lambda: all(node.tables[0].caught_up for node in network.nodes.values()), limit_s)


def run_until(network: Network, condition: object, limit_s: float) -> float:
    started_at = network.now
    while not condition():  # type: ignore[operator]
        assert network.now - started_at < limit_s
        network.run(0.1)
    return network.now - started_at


def nodes(network: Network) -> list[Node]:
    return list(network.nodes.values())


def tables_agree(network: Network) -> bool:
    return len({node.tables[0].digest() for node in network.nodes.values()}) == 1


def caught_up_table(**bounds: int) -> RowTable:
    table = RowTable("settings", **bounds)
    table.caught_up = True
    return table


def max_bytes_in_one_second(network: Network, since: int = 0) -> int:
    return max(size for (_, second), size in network.bytes_out.items() if second >= since)


# ---- rows


def row_strategy() -> st.SearchStrategy[Row]:
    return st.builds(
        Row,
        st.sampled_from(["a", "b"]),
        st.integers(1, 2),
        st.integers(1, 3),
        st.sampled_from(["v", "w"]),
        st.sampled_from([b"", b"1", b"2"]),
        st.booleans(),
    )


@given(st.lists(row_strategy(), max_size=10), st.randoms(use_true_random=False))
def test_merged_tables_do_not_depend_on_the_order_of_rows(rows: list[Row], rng: random.Random) -> None:
    results = []
    for _ in range(3):
        table = caught_up_table()
        rng.shuffle(rows)
        for row in rows + rows[:2]:
            table.apply(row)
        results.append((table.digest(), sorted((row.key, precedence(row)) for row in table)))
    assert results[0] == results[1] == results[2]


def test_a_deleted_row_never_returns_from_a_peer_that_was_away() -> None:
    """The peer is away for longer than the tombstone of a member is kept."""
    network = joined_network(1)
    away = nodes(network)[5]
    network.put(nodes(network)[2], ("quota/red", b"1"))
    run_until(network, lambda: tables_agree(network) and away.tables[0].get("quota/red"), SETTLE_LIMIT_S)
    network.cut = lambda source, target: (source == away.address) != (target == away.address)
    network.run(30.0)
    writer = nodes(network)[2]
    row = writer.tables[0].delete("quota/red", writer.name)
    network._execute(writer, writer.membership.disseminate(network.now, "settings", [row]))
    network.run(400.0)
    assert not away.tables[0].get("quota/red").deleted  # type: ignore[union-attr]
    network.cut = lambda source, target: False
    run_until(network, lambda: tables_agree(network), 40.0)
    assert all(node.tables[0].get("quota/red") == row for node in nodes(network))


def test_a_writer_that_restarts_with_its_clock_set_back_writes_the_next_number() -> None:
    network = joined_network(2)
    writer = nodes(network)[4]
    for body in (b"1", b"2", b"3"):
        network.put(writer, ("quota/red", body))
    run_until(network, lambda: tables_agree(network), SETTLE_LIMIT_S)
    network.kill(writer)
    network.run(2.0)
    writer = network.start(4, [0, 1], clock=-3600.0)
    with pytest.raises(RowError, match="not compared"):
        network.put(writer, ("quota/red", b"4"))
    run_until(network, lambda: writer.tables[0].caught_up, SETTLE_LIMIT_S)
    network.put(writer, ("quota/red", b"4"))
    run_until(network, lambda: tables_agree(network), SETTLE_LIMIT_S)
    rows = [node.tables[0].get("quota/red") for node in nodes(network)]
    assert {(row.number, row.body) for row in rows if row is not None} == {(4, b"4")}


def test_two_members_that_have_not_caught_up_do_not_catch_up_from_each_other() -> None:
    """Two members that start at once and hear each other first agree on empty tables."""
    network = joined_network(3, size=6)
    network.put(nodes(network)[2], ("quota/red", b"1"))
    run_until(network, lambda: tables_agree(network), SETTLE_LIMIT_S)
    for number in (4, 5):
        network.kill(network.nodes["127.0.0.1", 10_000 + number])
    network.cut = lambda source, target: (source[1] > 10_003) != (target[1] > 10_003)
    new = [network.start(4, [5, 0]), network.start(5, [4, 0])]
    run_until(network, lambda: all(node.membership.view.live_count == 2 for node in new), 20.0)
    network.run(5.0)
    assert not any(node.tables[0].caught_up for node in new)
    network.cut = lambda source, target: False
    run_until(network, lambda: tables_agree(network) and all(node.tables[0].caught_up for node in new), 40.0)


def test_only_an_exchange_that_fetched_all_is_complete() -> None:
    """Neither a comparison of one range nor an exchange whose answers were cut short is complete."""
    local, peer = RowTable("settings"), caught_up_table()
    for number in range(600):
        peer.put(f"quota/t{number}", random.Random(number).randbytes(40), "w")
    engines = [
        AntiEntropy([table], BandwidthBudget(1, 0.0, rate=1e9, burst=1e9), random.Random(1), 40)
        for table in (local, peer)
    ]

    def run_exchange(messages: list[OutgoingMessage], cut_short: bool = False) -> bool:
        while messages:
            message = messages.pop().message
            messages += [
                answer
                for out in answers(engines[1], message, peer)
                for answer in answers(
                    engines[0],
                    msgspec.structs.replace(out, packed=pack(()), complete=False)
                    if cut_short and isinstance(out, Rows) and out.ranges
                    else out,
                    local,
                    is_leader=True,
                )
            ]
        return engines[0].completed.pop().complete

    def answers(
        engine: AntiEntropy, message: object, table: RowTable, is_leader: bool = False
    ) -> list[object]:
        if isinstance(message, Rows):
            new = [row for row in unpack(message.packed, ROWS_DECODER) if table.apply(row) is ApplyResult.NEW]
            out = engine.receive_rows(0.0, PEER_ADDRESS, message, len(new), [])
        else:
            is_comparison = isinstance(message, Compare)
            handle = engine.receive_comparison if is_comparison else engine.responder.answer_fetch_request
            out = handle(0.0, PEER_ADDRESS, message)  # type: ignore[operator]
        return list(out) if is_leader else [item.message for item in out]

    for number in range(300):
        local.apply(peer.get(f"quota/t{number}"))  # type: ignore[arg-type]
    assert not run_exchange(engines[0].compare_random_range(0.0, 0, PEER_ADDRESS))
    assert not run_exchange(engines[0].start(0.0, 0, PEER_ADDRESS), cut_short=True)
    assert run_exchange(engines[0].start(0.0, 0, PEER_ADDRESS)) and local.digest() == peer.digest()


def test_of_two_contents_under_one_version_every_member_keeps_the_same() -> None:
    network = joined_network(4)
    network.put(nodes(network)[0], ("quota/red", b"0"))
    run_until(network, lambda: tables_agree(network), SETTLE_LIMIT_S)
    network.cut = lambda source, target: source[1] % 2 != target[1] % 2
    for number in (2, 3):
        node = nodes(network)[number]
        row = node.tables[0].put("quota/red", b"%d" % number, node.name, take_over=True)
        network._execute(node, node.membership.disseminate(network.now, "settings", [row]))
    network.run(10.0)
    assert not tables_agree(network)
    network.cut = lambda source, target: False
    run_until(network, lambda: tables_agree(network), 40.0)
    assert sum(node.tables[0].counts["conflicts"] for node in nodes(network)) > 0


def test_rows_beyond_the_bounds_are_rejected_and_counted() -> None:
    table = caught_up_table(max_rows=3, max_bytes=400, max_row_bytes=100)
    for key in "abc":
        table.put(key, b"1", "w")
    for body, key, reason in (
        (b"x" * 200, "a", "bytes, 100 at most"),
        (b"1", "d", "no room"),
        (b"1", "", "key has 1"),
        (b"1", "k" * 129, "key has 1"),
    ):
        with pytest.raises(RowError, match=reason):
            table.put(key, body, "w")
    assert table.counts == {"new": 3, "too-long": 1, "too-many": 1, "unsound": 2}
    table.delete("a", "w")  # its tombstone still counts as a row, so that the deleted row can't return
    assert table.apply(Row("d", 1, 1, "w", b"")) is ApplyResult.TOO_MANY
    assert table.apply(Row("a", 1, 1, "w", b"1")) is ApplyResult.OLD
    for key in "bc":
        table.put(key, b"x" * 60, "w")
    table = caught_up_table(max_bytes=100)
    table.put("a", b"x" * 60, "w")
    assert table.apply(Row("b", 1, 1, "w", b"x" * 60)) is ApplyResult.TOO_MANY


def test_a_row_of_a_newer_program_is_passed_on_unread() -> None:
    network = joined_network(5)
    newer = Row("quota/red", 1, 7, "n9", b"\xff\x00 who knows", format_version=FORMAT_VERSION + 1)
    node = nodes(network)[3]
    assert node.tables[0].apply(newer) is ApplyResult.NEW
    network._execute(node, node.membership.disseminate(network.now, "settings", [newer]))
    run_until(
        network,
        lambda: all(node.tables[0].get("quota/red") == newer for node in nodes(network)),
        SETTLE_LIMIT_S,
    )
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
def test_an_updated_tree_equals_a_rebuilt_one(puts: list[tuple[str, int]], drops: set[str]) -> None:
    updated, contents = MerkleTree(), {}
    for key, content in puts:
        updated.put(key, content)
        contents[key] = content
    for key in drops & set(contents):
        updated.drop(key)
        del contents[key]
    rebuilt = MerkleTree()
    for key, content in contents.items():
        rebuilt.put(key, content)
    assert updated._nodes == rebuilt._nodes and updated._sorted_keys == rebuilt._sorted_keys
    assert sorted(key for part in range(FANOUT) for key in updated.keys(FANOUT + part)) == sorted(contents)
    assert node_depth(ROOT) == 0 and node_depth(ROOT * FANOUT**MAX_DEPTH) == MAX_DEPTH


def test_a_difference_behind_digests_that_collide_is_found_item_by_item() -> None:
    network = joined_network(6, size=6)
    for number in range(12):
        network.put(nodes(network)[0], (f"quota/t{number}", b"1"))
    run_until(network, lambda: tables_agree(network), SETTLE_LIMIT_S)
    faulty = nodes(network)[3].tables[0]
    network.put(nodes(network)[0], ("quota/t1", b"2"), ("quota/t2", b"2"))
    run_until(network, lambda: tables_agree(network), SETTLE_LIMIT_S)
    network.run(10.0)  # until no differing digest is remembered
    for key in ("quota/t1", "quota/t2"):  # simulates a fault that restores the old rows
        faulty._rows[key] = Row(key, 1, 1, "n0", b"1")
    contents = {key: faulty.tree._items[key][1] for key in ("quota/t1", "quota/t2")}
    faulty.tree.put("quota/t1", contents["quota/t1"] + 5 * 2**60)
    faulty.tree.put("quota/t2", contents["quota/t2"] - 5 * 2**60)
    assert tables_agree(network)
    run_until(
        network,
        lambda: faulty.get("quota/t1").number == faulty.get("quota/t2").number == 2,  # type: ignore
        400.0,
    )


# ---- misbehaving peers


class MisbehavingPeer:
    """Sends messages in the name of a node that the others know, and records when it is sent requests."""

    def __init__(self, network: Network, node: Node) -> None:
        self.network, self.node = network, node
        self.request_times: list[float] = []
        network.kill(node)
        send = network._send

        def record_send(source: Node, to: Address, message: object) -> None:
            if to == node.address and isinstance(message, RepairMessage) and message.part.table == 1:
                self.request_times.append(network.now)
            send(source, to, message)  # type: ignore[arg-type]

        network._send = record_send  # type: ignore[method-assign]

    def deliver(self, target: Node, message: object) -> None:
        membership = target.membership
        self.network._execute(target, membership.handle_message(self.network.now, message, self.node.address))  # type: ignore[arg-type]
        self.network._wake(target)


def test_the_backoff_from_a_peer_whose_digests_never_match_grows() -> None:
    network = joined_network(7, size=4)
    network.put(nodes(network)[0], ("quota/red", b"1"))
    run_until(network, lambda: tables_agree(network), SETTLE_LIMIT_S)
    victim, peer = nodes(network)[1], MisbehavingPeer(network, nodes(network)[3])
    peer_record = peer.node.membership.self_record
    for step in range(600):
        digests = (victim.membership.replicator.digests()[0], step.to_bytes(8, "big"))
        peer.deliver(victim, Ping(step, peer_record, victim.name, (), digests))
        if step % 10 == 5:  # unrequested answers, and answers that are never complete
            peer.deliver(victim, RepairMessage(Compare(1, ((ROOT, step, 9),), False)))
            peer.deliver(victim, RepairMessage(Rows(1, bytes(5), (ROOT,), step, b"abc", False)))
        network.run(0.1)
    assert 1 <= len(peer.request_times) < 40
    assert victim.tables[0].get("quota/red").body == b"1"  # type: ignore[union-attr]


def test_a_peer_that_floods_rows_can_exceed_neither_the_row_limit_nor_the_send_budget() -> None:
    network = joined_network(8, size=6)
    for node in nodes(network):
        node.tables[0].max_rows = 200
    victim, peer = nodes(network)[1], MisbehavingPeer(network, nodes(network)[5])
    start_second = int(network.now) + 1
    for step in range(200):
        rows = tuple(Row(f"k{step}-{n}", 1, 1, "w", b"x" * 40) for n in range(10))
        peer.deliver(victim, RepairMessage(Rows(1, pack(rows), (ROOT,), 1, bytes(100), False)))
        peer.deliver(victim, RepairMessage(FetchRequest(1, (ROOT,) * 20, step, b"")))
        peer.deliver(victim, RepairMessage(Compare(1, ((ROOT, step, 5000),), True)))
        network.run(0.05)
    assert all(len(node.tables[0]) <= 200 for node in nodes(network))
    assert victim.tables[0].counts["too-many"] > 1000
    assert max_bytes_in_one_second(network, start_second) < MAX_BYTES_PER_S
    assert network.agreed() or network.settle(20.0) is not None


# ---- network failures


def test_rows_reach_every_member_despite_one_way_cuts() -> None:
    network = joined_network(9)
    for number in (2, 3, 4):
        node = nodes(network)[number]
        network.cut = lambda source, target, cut_source=node.address: (  # type: ignore[misc]
            source == cut_source and target[1] % 3 != 0
        )
        network.put(node, (f"quota/t{number}", b"1"))
        run_until(network, lambda: tables_agree(network), SETTLE_LIMIT_S)
    first, second = nodes(network)[5].address, nodes(network)[6].address
    network.cut = lambda source, target: (source, target) == (first, second)
    network.put(nodes(network)[5], ("quota/x", b"1"))
    run_until(network, lambda: tables_agree(network), SETTLE_LIMIT_S)
    assert network.false_deaths() == 0


@pytest.mark.parametrize("seed", range(3))
def test_rows_lost_during_a_burst_are_repaired(seed: int) -> None:
    """One member loses 90 % of its messages until gossip of the rows has ended."""
    network = joined_network(20 + seed)
    lossy = nodes(network)[7]
    network.cut = lambda source, target: target == lossy.address and network.rng.random() < 0.9
    for number in range(20):
        network.put(nodes(network)[number % 6], (f"quota/t{number}", b"1"))
        network.run(0.05)
    network.run(4.0)
    network.cut = lambda source, target: False
    run_until(network, lambda: tables_agree(network), SETTLE_LIMIT_S)


def test_a_scheduler_that_was_stopped_catches_up_and_backs_off_from_no_peer() -> None:
    network = joined_network(10)
    network.timers_first = True
    stopped = nodes(network)[6]
    request = stopped.membership.replicator.start_exchange(network.now, 1, nodes(network)[3].address)
    stopped.membership.outbox.send_admitted(request)
    network.stall(stopped, 20.0)
    for number in range(20):
        network.put(nodes(network)[number % 5], (f"quota/t{number}", b"1"))
        network.run(1.0)
    run_until(network, lambda: tables_agree(network), SETTLE_LIMIT_S)
    assert stopped.membership.replicator.anti_entropy.backoff._failures == {}


def test_sides_that_were_apart_hold_the_same_rows_soon_after_they_meet() -> None:
    network = joined_network(11, size=20)
    network.cut = lambda source, target: source[1] % 2 != target[1] % 2
    network.run(5.0)
    for number in range(120):
        network.put(nodes(network)[number % 6], (f"quota/t{number}-{number % 2}", b"x" * 20))
        network.run(0.2)
    network.run(150.0)  # the records of the other side's members have expired
    network.cut = lambda source, target: False
    start_second = int(network.now)
    run_until(network, lambda: tables_agree(network) and network.agreed(), 20.0)
    assert max_bytes_in_one_second(network, start_second) < MAX_BYTES_PER_S


# ---- budget, sizes, joining


def test_the_budget_holds_in_each_second_and_is_shared_between_tables() -> None:
    budget, sent = BandwidthBudget(2, 0.0), [0, 0, 0]
    totals = []
    for step in range(2000):
        now = step / 100
        budget.charge(now, 20)
        sent[2] += 20
        for table in (0, 1):  # table 0, which spends all it can, always comes first
            if available := budget.available_bytes(now, table, 300):
                size = available if table == 0 else min(available, 400)
                budget.spend(now, table, size)
                sent[table] += size
        totals.append(sum(sent))
    assert max(totals[start + 100] - totals[start] for start in range(1900)) < MAX_BYTES_PER_S
    assert sum(sent) > 0.8 * 20 * RATE_BYTES_PER_S  # most of the rate is used
    assert 0.7 < sent[0] / sent[1] < 1.4
    budget = BandwidthBudget(2, 0.0)
    assert budget.available_bytes(0.0, 0) == int(BURST_BYTES)  # all of the burst while no other table waits


def test_gossip_takes_the_least_sent_items_first_then_the_newest_up_to_the_limit() -> None:
    queue: GossipQueue[Row] = GossipQueue()
    for number in range(4):
        queue.add(Row(f"k{number}", 1, 1, "w", b""))
    size = Row("k0", 1, 1, "w", b"").size
    assert [row.key for row in queue.take(2 * size, 5)] == ["k3", "k2"]
    queue.add(Row("k4", 1, 1, "w", b""))
    assert [row.key for row in queue.take(3 * size, 5)] == ["k4", "k1", "k0"]
    assert queue.take(size, 5, exclude=[Row("k2", 1, 1, "w", b"")])[0].key != "k2"
    sent_count = sum(len(queue.take(10 * size, 5)) for _ in range(20))
    assert sent_count == 5 * transmission_limit(5) - 6 and len(queue) == 0


def test_a_member_that_lost_its_rows_catches_up_within_five_seconds(monkeypatch: pytest.MonkeyPatch) -> None:
    """In a cluster of 30 with 800 rows; no message exceeds a datagram, and no member its bytes per second."""
    network = joined_network(12, size=30)
    source = caught_up_table()
    bodies = random.Random(12)  # random bytes, which do not compress
    rows = [source.put(f"quota/team-{number}", bodies.randbytes(40), "ops") for number in range(800)]
    for node in nodes(network):
        for row in rows:
            node.tables[0].apply(row)
    network.run(3.0)
    longest, codec = [0], Codec("pipitshed")
    size = virtual_network.message_size

    def record_size(message: object) -> int:
        longest[0] = max(longest[0], len(codec.encode(message)))  # type: ignore[arg-type]
        return size(message)  # type: ignore[arg-type]

    monkeypatch.setattr(virtual_network, "message_size", record_size)
    network.kill(nodes(network)[9])
    network.run(1.0)
    start_second = int(network.now)
    restarted = network.start(9, [0, 1])
    run_until(
        network,
        lambda: tables_agree(network) and restarted.tables[0].caught_up and network.agreed(),
        SETTLE_LIMIT_S,
    )
    assert (
        max_bytes_in_one_second(network, start_second) < MAX_BYTES_PER_S
        and 500 < longest[0] <= DATAGRAM_LIMIT_BYTES
    )


def test_bytes_sent_at_rest_grow_neither_with_the_cluster_nor_with_the_rows() -> None:
    rates = []
    for size, count in ((10, 0), (10, 200), (60, 200)):
        network = joined_network(13, size)
        for number in range(count):
            network.put(nodes(network)[0], (f"quota/t{number}", b"1"))
            if number % 20 == 19:
                network.run(1.0)
        network.run(10.0)
        network.bytes_out.clear()
        network.run(20.0)
        rates.append(sum(network.bytes_out.values()) / size / 20.0)
    assert max(rates) < 1.1 * min(rates) and max(rates) < 2000


def test_gossip_stops_once_all_members_know_the_items() -> None:
    """The bound on transmissions alone would let gossip go on for many seconds, mostly to members that
    already know the items."""
    network = joined_network(15, size=60)
    started_at = network.now
    assert (
        run_until(
            network,
            lambda: (
                not any(len(queue) for node in nodes(network) for queue in node.membership.replicator.queues)
            ),
            10.0,
        )
        < 4.0
    ), started_at


def test_a_fresh_row_spreads_fast_with_few_messages_to_another_region() -> None:
    network = Network(16, tables=("settings",), zones=("eu/1", "us/1"))
    network.fleet(40)
    assert network.settle(SETTLE_LIMIT_S) is not None
    wait_until_caught_up(network)
    network.run(5.0)
    crossings = [0]
    send = network._send

    def count_crossings(node: Node, to: Address, message: object) -> None:
        part = message.part if isinstance(message, RepairMessage) else None
        carries_fresh_rows = isinstance(part, Rows) and part.fresh or bool(getattr(message, "rows", ()))
        crossings[0] += carries_fresh_rows and node.address[1] % 2 != to[1] % 2
        send(node, to, message)  # type: ignore[arg-type]

    network._send = count_crossings  # type: ignore[method-assign, assignment]
    network.put(nodes(network)[3], ("quota/red", b"1"))
    run_until(network, lambda: tables_agree(network), 1.5)
    network.run(3.0)
    arrival_times = sorted(when for when, _, row in network.row_changes if row.key == "quota/red")
    assert len(arrival_times) == 40 and arrival_times[20] - arrival_times[0] < 0.3
    assert 0 < crossings[0] < 20


def test_the_bytes_of_a_repair_follow_the_difference() -> None:
    """One scheduler lacks 1 or 40 of 600 rows: a few datagrams repair it, not the whole table."""
    repair_bytes = []
    for missing_count in (1, 40):
        network = joined_network(14, size=4)
        source = caught_up_table()
        for number in range(600):
            row = source.put(f"quota/team-{number}", b'{"share":0.125,"burst":12}', "ops")
            for index, node in enumerate(nodes(network)):
                if index != 2 or number >= missing_count:
                    node.tables[0].apply(row)
        sizes = []
        send = network._send

        def record_size(
            node: Node, to: Address, message: object, sizes: list[int] = sizes, send: object = send
        ) -> None:
            if isinstance(message, RepairMessage) and message.part.table == 1:
                sizes.append(message_size(message) + ENVELOPE_BYTES)
            send(node, to, message)  # type: ignore[operator]

        network._send = record_size  # type: ignore[method-assign, assignment]
        run_until(network, lambda net=network: tables_agree(net), SETTLE_LIMIT_S)  # type: ignore[misc]
        repair_bytes.append(sum(sizes))
    assert repair_bytes[0] < 3000 and repair_bytes[1] < 12_000 < source._bytes / 2


@given(st.lists(row_strategy()).map(tuple), st.binary(max_size=40), st.integers(0, 200))
def test_packed_rows_round_trip_and_damaged_or_oversized_ones_unpack_to_nothing(
    rows: tuple[Row, ...], junk: bytes, kept_bytes: int
) -> None:
    assert unpack(pack(rows), ROWS_DECODER) == rows
    assert unpack(pack(rows)[:kept_bytes], ROWS_DECODER) in ((), rows)
    assert isinstance(unpack(junk, ROWS_DECODER), tuple)
    assert unpack(pack([Row("k", 1, 1, "w", bytes(2 * UNPACKED_LIMIT_BYTES))]), ROWS_DECODER) == ()


class Zeros(random.Random):
    """A random source whose `randrange` always returns 0."""

    def randrange(self, *_: object) -> int:  # type: ignore[override]
        return 0


def test_a_sample_ends_an_exchange_whose_request_has_salt_zero() -> None:
    """Guards against a KeyError that ends the handling of the message: a sample has the salt 0, and so has
    one in 2**32 of the requests that are pending when a sample arrives."""
    table = caught_up_table()
    table.put("k", b"1", "w")
    anti_entropy = AntiEntropy([table], BandwidthBudget(1, 0.0), Zeros(), 0)
    [request] = anti_entropy.compare_random_range(1.0, 0, PEER_ADDRESS)
    assert isinstance(request.message, FetchRequest) and request.message.salt == 0
    sample = Rows(0, pack([Row("k2", 1, 1, "w", b"2")]), complete=False)
    assert sample.is_sample and sample.salt == 0
    assert anti_entropy.receive_rows(1.1, PEER_ADDRESS, sample, 1, ()) == []
    assert anti_entropy.is_idle(0, PEER_ADDRESS) and anti_entropy.handle_timeouts(60.0) == []
