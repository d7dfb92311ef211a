"""Replication of several tables: gossip with messages, pushes of fresh rows, and exchanges with peers."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from pipitshed.replication.anti_entropy import ANSWER_RESERVE_BYTES, AntiEntropy
from pipitshed.replication.bandwidth_budget import BandwidthBudget
from pipitshed.replication.gossip_queue import GossipQueue, transmission_limit
from pipitshed.replication.message_pacing import (
    MAX_REQUESTED_ITEMS,
    Address,
    ComparableTable,
    OutgoingMessage,
)
from pipitshed.replication.messages import MESSAGE_LIMIT_BYTES, Compare, FetchRequest, Rows

HEADER_BYTES = 50  # around a message: the headers of IP and UDP, and the transport's frame
OVERHEAD_BYTES = HEADER_BYTES + 20  # and the structure that holds the items
MAX_QUEUED_FOR_FETCHED = 8  # queued items from which on fetched ones are not passed on
MAX_FETCHED_IN_ANSWER = 3  # items in one answer, up to which they are passed on
FETCHED_TRANSMISSIONS = 4  # how often a fetched item is passed on
LONG_QUEUE_ITEMS = 24  # queued items from which on a message has less space for them
MIN_LONG_QUEUE_BYTES = 60
AGREEING_PEERS_TO_CLEAR_QUEUE = 8  # in a row with the digest of this member: they know what is queued
DIFFERENCE_LIFETIME_S = 2.0  # how long another digest that a peer sent counts
SETTLE_S = 1.0  # without a change here, after which another digest is not just news in transit
EXCHANGE_INTERVAL_S = 0.5  # between the starts of exchanges
CATCH_UP_EXCHANGE_INTERVAL_S = 0.1  # the same while this member is far behind
FAR_BEHIND_ITEMS = 8  # items missing, or gained from one answer, from which on this member is far behind
BASE_CATCH_UP_EXCHANGES = 2  # at a time while far behind
MAX_EXTRA_EXCHANGES = 6  # beyond these, by the number of missing items
MAX_DIFFERING_PEERS = 64
BOOTSTRAP_S = 3.0  # after which a table counts as caught up where no seed has caught up either

PeerSampler = Callable[[], list[Address]]  # returns a few live peers, drawn at random


class ReplicatedTable(ComparableTable, Protocol):
    """A table that is replicated."""

    change_count: int
    caught_up: bool  # whether it was compared with a peer that had caught up, or there is none


class Replicator:
    """The tables of one member. Times are seconds of any monotonic clock."""

    def __init__(
        self, tables: Sequence[ReplicatedTable], rng: random.Random, now: float, seeds: Sequence[Address]
    ) -> None:
        """Create a replicator; a member without `seeds` is the first, so its tables have caught up."""
        self.tables = tables
        self.budget = BandwidthBudget(len(tables), now)
        self.anti_entropy = AntiEntropy(tables, self.budget, rng, OVERHEAD_BYTES)
        self.queues: list[GossipQueue[Any]] = [GossipQueue() for _ in tables]
        self.peer_digests: dict[str, tuple[bytes, ...]] = {}  # the last digests of each peer, by name
        self._rng = rng
        self._started_at = now
        self._seeds = frozenset(seeds)
        self._seeds_not_caught_up: list[set[Address]] = [
            set() for _ in tables
        ]  # that have not caught up either
        self._differed_at: list[dict[Address, float]] = [{} for _ in tables]  # peers with another digest
        self._last_change = [(-1, now)] * len(tables)  # change count, and when it was first seen
        self._next_exchange_at = [now] * len(tables)
        self._far_behind_until = [float("-inf")] * len(tables)
        self._fresh_keys: list[list[str]] = [[] for _ in tables]  # to be pushed
        self._agreeing_peers = [0] * len(tables)  # in a row with the digest of this member
        if not seeds:
            for table in tables:
                table.caught_up = True

    # ---- digests

    def digests(self) -> tuple[bytes, ...]:
        """Return the digests of the tables; empty for one that has not caught up, as it is incomplete."""
        return tuple(table.tree.digest() if table.caught_up else b"" for table in self.tables)

    def receive_digests(
        self, now: float, name: str, address: Address, digests: tuple[bytes, ...]
    ) -> list[OutgoingMessage]:
        """Handle the digests of a peer."""
        self.peer_digests[name] = digests
        outgoing: list[OutgoingMessage] = []
        for index, (table, digest) in enumerate(zip(self.tables, digests, strict=False)):
            if digest == table.tree.digest():
                table.caught_up = True
                self._agreeing_peers[index] += 1
                self._differed_at[index].pop(address, None)
                self.anti_entropy.backoff.reset(index, address)
                continue
            self._agreeing_peers[index] = 0
            if address in self._seeds:
                (
                    self._seeds_not_caught_up[index].discard
                    if digest
                    else self._seeds_not_caught_up[index].add
                )(address)
            differed_at = self._differed_at[index]
            if digest and (address in differed_at or len(differed_at) < MAX_DIFFERING_PEERS):
                differed_at[address] = now
                outgoing += self.start_exchange_if_due(now, index)
        return outgoing

    def last_differed_at(self, index: int, address: Address) -> float:
        """Return when a peer last sent another digest; minus infinity where it has agreed since."""
        return self._differed_at[index].get(address, float("-inf"))

    def agrees_with(self, name: str) -> bool | None:
        """Whether a peer sent the digest that the first table has here; None where it sent none."""
        digests = self.peer_digests.get(name)
        return None if not digests else digests[0] == self.tables[0].tree.digest()

    # ---- gossip

    def queue_item(self, index: int, item: Any) -> None:
        """Pass an item on from now on."""
        self.queues[index].add(item)
        self._agreeing_peers[index] = 0

    def queue_fetched(
        self, now: float, index: int, item: Any, cluster_size: int, answer_item_count: int
    ) -> None:
        """Pass on an item that anti-entropy brought, a few times and while few are queued.

        Where many are missing here, other members know them, or fetch them as well.

        Args:
            now: The time.
            index: The table.
            item: The item.
            cluster_size: Number of members.
            answer_item_count: How many items came with it.
        """
        if (
            answer_item_count <= MAX_FETCHED_IN_ANSWER
            and len(self.queues[index]) < MAX_QUEUED_FOR_FETCHED
            and not self._is_far_behind(now, index)
        ):
            send_count = max(0, transmission_limit(cluster_size) - FETCHED_TRANSMISSIONS)
            self.queues[index].add(item, send_count)

    def select_gossip(
        self,
        now: float,
        max_bytes: int,
        receiver: str,
        cluster_size: int,
        table_count: int,
        always_index: int = -1,
        exclude: Sequence[Sequence[Any]] = (),
    ) -> tuple[list[Any], int]:
        """Choose the items that go with a message.

        Args:
            now: The time.
            max_bytes: Space in the message.
            receiver: Name of the receiver. A table whose digest it has sent last is left out.
            cluster_size: Number of members.
            table_count: Only the first tables, so many, are considered.
            always_index: A table that is never left out; -1 for none.
            exclude: Items that the receiver has just sent, by table.

        Returns:
            The items by table, and their size in bytes.
        """
        chosen: list[Any] = [()] * len(self.tables)
        table_indexes = self._tables_to_send(receiver, table_count, always_index)
        spent_bytes = 0
        # The shortest queue comes first and leaves space to the others: equal parts where all are long.
        for position, index in enumerate(sorted(table_indexes, key=lambda index: len(self.queues[index]))):
            queue = self.queues[index]
            share = (max_bytes - spent_bytes) // (len(table_indexes) - position)
            share = min(share, self.budget.available_bytes(now, index, OVERHEAD_BYTES))
            # Of a very long queue most items would reach members that know them: left to anti-entropy.
            share = min(share, max(MIN_LONG_QUEUE_BYTES, max_bytes * LONG_QUEUE_ITEMS // len(queue)))
            chosen[index] = queue.take(share, cluster_size, exclude[index] if index < len(exclude) else ())
            used_bytes = sum(item.size for item in chosen[index])
            self.budget.spend(now, index, used_bytes)
            spent_bytes += used_bytes
        return chosen, spent_bytes

    def _tables_to_send(self, receiver: str, table_count: int, always_index: int) -> list[int]:
        """Return the tables of which items are queued that the receiver may lack."""
        for index, queue in enumerate(self.queues):
            if (
                len(queue)
                and self._agreeing_peers[index] >= AGREEING_PEERS_TO_CLEAR_QUEUE
                and index != always_index
            ):
                queue.clear()
        receiver_digests = self.peer_digests.get(receiver, ())
        return [
            index
            for index, queue in enumerate(self.queues[:table_count])
            if len(queue)
            and (
                index == always_index
                or index >= len(receiver_digests)
                or receiver_digests[index] != self.tables[index].tree.digest()
            )
        ]

    def queue_fresh(self, now: float, index: int, items: Sequence[Any]) -> None:
        """Pass on items that are new in the cluster, by push at once and with probes."""
        for item in items:
            self.queue_item(index, item)
        if not self._is_far_behind(now, index):
            self._fresh_keys[index] += [item.key for item in items]

    @property
    def has_pushes(self) -> bool:
        """Whether there is something to push."""
        return any(self._fresh_keys)

    def push_fresh(self, now: float, peers: Sequence[Address]) -> list[OutgoingMessage]:
        """Push fresh items to these peers as far as the budget allows; the rest goes with probes."""
        outgoing: list[OutgoingMessage] = []
        pacer = self.anti_entropy.pacer
        for index, keys in enumerate(self._fresh_keys):
            if keys:
                _, packed = pacer.pack_rows(self.tables[index], keys, MESSAGE_LIMIT_BYTES)
                message = Rows(index, packed, fresh=True)
                outgoing += [
                    OutgoingMessage(peer, message)
                    for peer in peers
                    if pacer.admit(now, index, message, ANSWER_RESERVE_BYTES)
                ]
                keys.clear()
        return outgoing

    # ---- anti-entropy

    def start_exchange_if_due(
        self, now: float, index: int, force: bool = False, sample_peers: PeerSampler | None = None
    ) -> list[OutgoingMessage]:
        """Start an exchange with a peer that has recently sent another digest.

        Unless `force` is set, a recent change here is waited out: the difference may be news in transit.
        While this member is far behind, several exchanges run at a time, with sampled peers where no other
        peer is known to differ.
        """
        table = self.tables[index]
        if self._last_change[index][0] != table.change_count:
            self._last_change[index] = table.change_count, now
        far_behind = self._is_far_behind(now, index)
        max_exchanges = self._catch_up_exchanges(index) if far_behind else 1
        if now < self._next_exchange_at[index] or self.anti_entropy.exchange_count(index) >= max_exchanges:
            return []
        if not (force or far_behind or now - self._last_change[index][1] >= SETTLE_S):
            return []
        peers = self._differing_peers(now, index)
        if not peers and far_behind and sample_peers is not None:
            peers = [peer for peer in sample_peers() if self.anti_entropy.may_start(now, index, peer)]
        if not peers:
            return []
        interval_s = CATCH_UP_EXCHANGE_INTERVAL_S if far_behind else EXCHANGE_INTERVAL_S
        self._next_exchange_at[index] = now + interval_s
        return self.anti_entropy.start(now, index, self._rng.choice(peers))

    def _catch_up_exchanges(self, index: int) -> int:
        """Return how many exchanges have something to request; more would request a little each."""
        extra = self.anti_entropy.missing_count(index) // MAX_REQUESTED_ITEMS
        return BASE_CATCH_UP_EXCHANGES + min(MAX_EXTRA_EXCHANGES, extra)

    def _differing_peers(self, now: float, index: int) -> list[Address]:
        """Return peers with another digest with which an exchange may start."""
        differed_at = self._differed_at[index]
        for peer in [peer for peer, when in differed_at.items() if now - when > DIFFERENCE_LIFETIME_S]:
            del differed_at[peer]
        return [peer for peer in differed_at if self.anti_entropy.may_start(now, index, peer)]

    def _is_far_behind(self, now: float, index: int) -> bool:
        if self.anti_entropy.missing_count(index) >= FAR_BEHIND_ITEMS:
            self._far_behind_until[index] = now + SETTLE_S
        return now < self._far_behind_until[index] or not self.tables[index].caught_up

    def start_exchange(self, now: float, index: int, address: Address) -> list[OutgoingMessage]:
        """Start an exchange with this peer even if earlier ones have failed."""
        if not self.anti_entropy.is_idle(index, address):
            return []
        return self.anti_entropy.start(now, index, address)

    def compare_random_range(self, now: float, address: Address) -> list[OutgoingMessage]:
        """Compare a random range of a random table with a peer, whatever the digests are."""
        index = self._rng.randrange(len(self.tables))
        if not self.anti_entropy.may_start(now, index, address):
            return []
        return self.anti_entropy.compare_random_range(now, index, address)

    def answer_peer(
        self, now: float, address: Address, message: Compare | FetchRequest, sample_peers: PeerSampler
    ) -> list[OutgoingMessage]:
        """Handle a peer's request, or its answer to a comparison.

        A table that has not caught up answers nobody: its missing rows would be taken for rows that do not
        exist.
        """
        if not 0 <= message.table < len(self.tables):
            return []
        is_request = isinstance(message, FetchRequest) or message.wants_answer
        if is_request and not self.tables[message.table].caught_up:
            return []
        if isinstance(message, FetchRequest):
            return self.anti_entropy.responder.answer_fetch_request(now, address, message)
        outgoing = self.anti_entropy.receive_comparison(now, address, message)
        if is_request:
            return outgoing
        return outgoing + self.start_exchange_if_due(now, message.table, sample_peers=sample_peers)

    def receive_rows(
        self,
        now: float,
        address: Address,
        message: Rows,
        gained_count: int,
        newer_keys: Sequence[str],
        sample_peers: PeerSampler,
    ) -> list[OutgoingMessage]:
        """Handle a peer's rows that were applied.

        Args:
            now: The time.
            address: The sender.
            message: Its message.
            gained_count: How many of the rows were new here.
            newer_keys: Keys of which this member has a newer row.
            sample_peers: Returns a few live peers.
        """
        far_behind = gained_count >= FAR_BEHIND_ITEMS or (gained_count > 0 and message.is_sample)
        if far_behind:
            self._far_behind_until[message.table] = now + SETTLE_S
        outgoing = self.anti_entropy.receive_rows(now, address, message, gained_count, newer_keys)
        if far_behind:
            outgoing += self.start_exchange_if_due(now, message.table, sample_peers=sample_peers)
        return outgoing

    def handle_timeouts(self, now: float) -> list[OutgoingMessage]:
        """Return what has come due of the exchanges."""
        return self.anti_entropy.handle_timeouts(now)

    def apply_completed_exchanges(self, now: float) -> None:
        """Mark tables as caught up for which an exchange was complete, or no seed has caught up."""
        completed, self.anti_entropy.completed = self.anti_entropy.completed, []
        for result in completed:
            if result.complete:
                self.tables[result.table].caught_up = True
        if now - self._started_at < BOOTSTRAP_S:
            return
        for index, table in enumerate(self.tables):
            # No seed has caught up, and no peer: the whole cluster has just started. With a silent seed it
            # may be this part of it alone, while the rows in force are on the other side of a partition.
            if (
                not table.caught_up
                and self._seeds_not_caught_up[index] == self._seeds
                and not any(len(digests) > index and digests[index] for digests in self.peer_digests.values())
            ):
                table.caught_up = True
