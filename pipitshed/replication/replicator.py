"""Replication of several tables: gossip with messages, pushes of fresh rows, exchanges with peers."""

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

HEADER_BYTES = 50  # per message: headers of IP and UDP, and the transport's frame
OVERHEAD_BYTES = HEADER_BYTES + 20  # with the message fields around the items
MAX_QUEUED_FOR_FETCHED = 8  # with this many items queued, fetched items are not gossiped
MAX_FETCHED_IN_ANSWER = 3  # fetched items are gossiped only if their answer has no more items
FETCHED_TRANSMISSIONS = 4  # number of times a fetched item is gossiped
LONG_QUEUE_ITEMS = 24  # with more items queued, a message gives them less space
MIN_LONG_QUEUE_BYTES = 60  # least space in a message for a long queue
AGREEING_PEERS_TO_CLEAR_QUEUE = 8  # peers in a row with this member's digest, so with its queued items
DIFFERENCE_LIFETIME_S = 2.0  # time for which a differing digest of a peer counts
SETTLE_S = 1.0  # without a local change, after which a differing digest is not just gossip in transit
EXCHANGE_INTERVAL_S = 0.5  # minimum between the starts of exchanges
CATCH_UP_EXCHANGE_INTERVAL_S = 0.1  # the same, while this member is far behind
FAR_BEHIND_ITEMS = 8  # a member that lacks, or gains from one answer, this many items is far behind
BASE_CATCH_UP_EXCHANGES = 2  # concurrent exchanges while far behind
MAX_EXTRA_EXCHANGES = 6  # added to these by the number of missing items
MAX_DIFFERING_PEERS = 64
BOOTSTRAP_S = 3.0  # after which a table counts as caught up if no seed has caught up either

PeerSampler = Callable[[], list[Address]]  # returns a few live peers, drawn at random


class ReplicatedTable(ComparableTable, Protocol):
    """The interface of a table that a Replicator replicates."""

    change_count: int
    caught_up: bool  # whether it was compared with a peer that had caught up, or no such peer exists


class Replicator:
    """Replicates the tables of one member. Times are seconds of any monotonic clock."""

    def __init__(
        self, tables: Sequence[ReplicatedTable], rng: random.Random, now: float, seeds: Sequence[Address]
    ) -> None:
        """Create a replicator; a member without `seeds` is the first one, so its tables are caught up."""
        self.tables = tables
        self.budget = BandwidthBudget(len(tables), now)
        self.anti_entropy = AntiEntropy(tables, self.budget, rng, OVERHEAD_BYTES)
        self.queues: list[GossipQueue[Any]] = [GossipQueue() for _ in tables]
        self.peer_digests: dict[str, tuple[bytes, ...]] = {}  # the last digests of each peer, by name
        self._rng = rng
        self._started_at = now
        self._seeds = frozenset(seeds)
        self._seeds_not_caught_up: list[set[Address]] = [set() for _ in tables]  # by table
        self._differed_at: list[dict[Address, float]] = [{} for _ in tables]  # peers with differing digests
        self._last_change = [(-1, now)] * len(tables)  # change count, and when it was first seen
        self._next_exchange_at = [now] * len(tables)
        self._far_behind_until = [float("-inf")] * len(tables)
        self._fresh_keys: list[list[str]] = [[] for _ in tables]  # keys of items to be pushed
        self._agreeing_peers = [0] * len(tables)  # consecutive peers with this member's digest
        if not seeds:
            for table in tables:
                table.caught_up = True

    # ---- digests

    def digests(self) -> tuple[bytes, ...]:
        """Return the digests of the tables; empty for a table that has not caught up, so is incomplete."""
        return tuple(table.tree.digest() if table.caught_up else b"" for table in self.tables)

    def receive_digests(
        self, now: float, name: str, address: Address, digests: tuple[bytes, ...]
    ) -> list[OutgoingMessage]:
        """Record the digests of a peer, and start exchanges for tables that differ."""
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
        """Return when a peer last sent a differing digest; minus infinity if it has agreed since."""
        return self._differed_at[index].get(address, float("-inf"))

    def agrees_with(self, name: str) -> bool | None:
        """Whether the peer's last digest of the first table equals this member's; None without one."""
        digests = self.peer_digests.get(name)
        return None if not digests else digests[0] == self.tables[0].tree.digest()

    # ---- gossip

    def queue_item(self, index: int, item: Any) -> None:
        """Queue an item for gossip."""
        self.queues[index].add(item)
        self._agreeing_peers[index] = 0

    def queue_fetched(
        self, now: float, index: int, item: Any, cluster_size: int, answer_item_count: int
    ) -> None:
        """Queue an item that anti-entropy fetched for a few transmissions, if few items are queued.

        If this member lacks many items, other members have them already, or fetch them as well.

        Args:
            now: The time.
            index: The table.
            item: The item.
            cluster_size: Number of members.
            answer_item_count: Number of items in the answer.
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
            receiver: Name of the receiver. Tables of which it last sent the same digest are left out.
            cluster_size: Number of members.
            table_count: Number of tables, from the first, that are considered.
            always_index: A table that is never left out; -1 for none.
            exclude: Items that the receiver has just sent, by table.

        Returns:
            The items by table, and their size in bytes.
        """
        chosen: list[Any] = [()] * len(self.tables)
        table_indexes = self._tables_to_send(receiver, table_count, always_index)
        spent_bytes = 0
        # The shortest queue comes first and leaves space to the others; long queues get equal parts.
        for position, index in enumerate(sorted(table_indexes, key=lambda index: len(self.queues[index]))):
            queue = self.queues[index]
            share = (max_bytes - spent_bytes) // (len(table_indexes) - position)
            share = min(share, self.budget.available_bytes(now, index, OVERHEAD_BYTES))
            # Most items of a very long queue would reach members that have them: anti-entropy sends these.
            share = min(share, max(MIN_LONG_QUEUE_BYTES, max_bytes * LONG_QUEUE_ITEMS // len(queue)))
            chosen[index] = queue.take(share, cluster_size, exclude[index] if index < len(exclude) else ())
            used_bytes = sum(item.size for item in chosen[index])
            self.budget.spend(now, index, used_bytes)
            spent_bytes += used_bytes
        return chosen, spent_bytes

    def _tables_to_send(self, receiver: str, table_count: int, always_index: int) -> list[int]:
        """Return the indexes of tables with queued items that the receiver may lack."""
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
        """Queue items that are new in the cluster, for a push and for gossip with probes."""
        for item in items:
            self.queue_item(index, item)
        if not self._is_far_behind(now, index):
            self._fresh_keys[index] += [item.key for item in items]

    @property
    def has_pushes(self) -> bool:
        """Whether any items wait to be pushed."""
        return any(self._fresh_keys)

    def push_fresh(self, now: float, peers: Sequence[Address]) -> list[OutgoingMessage]:
        """Push fresh items to these peers as far as the budget allows; probes carry the rest."""
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
        """Start an exchange with a peer that has recently sent a differing digest.

        Unless `force` is set, no exchange starts soon after a local change, as the difference may be gossip
        in transit. While this member is far behind, several exchanges run concurrently, with sampled peers
        if no peer is known to differ.
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
        """Return the bound on concurrent exchanges; with more, each would request only a few items."""
        extra = self.anti_entropy.missing_count(index) // MAX_REQUESTED_ITEMS
        return BASE_CATCH_UP_EXCHANGES + min(MAX_EXTRA_EXCHANGES, extra)

    def _differing_peers(self, now: float, index: int) -> list[Address]:
        """Return peers with a recent differing digest with which an exchange may start."""
        differed_at = self._differed_at[index]
        for peer in [peer for peer, when in differed_at.items() if now - when > DIFFERENCE_LIFETIME_S]:
            del differed_at[peer]
        return [peer for peer in differed_at if self.anti_entropy.may_start(now, index, peer)]

    def _is_far_behind(self, now: float, index: int) -> bool:
        if self.anti_entropy.missing_count(index) >= FAR_BEHIND_ITEMS:
            self._far_behind_until[index] = now + SETTLE_S
        return now < self._far_behind_until[index] or not self.tables[index].caught_up

    def start_exchange(self, now: float, index: int, address: Address) -> list[OutgoingMessage]:
        """Start an exchange with this peer, even during a backoff from it."""
        if not self.anti_entropy.is_idle(index, address):
            return []
        return self.anti_entropy.start(now, index, address)

    def compare_random_range(self, now: float, address: Address) -> list[OutgoingMessage]:
        """Compare a random range of a random table with a peer, even if no digest differs."""
        index = self._rng.randrange(len(self.tables))
        if not self.anti_entropy.may_start(now, index, address):
            return []
        return self.anti_entropy.compare_random_range(now, index, address)

    def answer_peer(
        self, now: float, address: Address, message: Compare | FetchRequest, sample_peers: PeerSampler
    ) -> list[OutgoingMessage]:
        """Handle a peer's request, or its answer to a comparison.

        Requests for a table that has not caught up are not answered, as the peer would take missing rows for
        rows that do not exist.
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
        """Handle a message with rows after its rows were applied.

        Args:
            now: The time.
            address: The sender.
            message: The message.
            gained_count: Number of rows that were new to this member.
            newer_keys: Keys for which this member has a newer row.
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
        """Return the retries and postponed messages of exchanges that are due."""
        return self.anti_entropy.handle_timeouts(now)

    def apply_completed_exchanges(self, now: float) -> None:
        """Mark a table as caught up after a complete exchange, or if no seed has caught up."""
        completed, self.anti_entropy.completed = self.anti_entropy.completed, []
        for result in completed:
            if result.complete:
                self.tables[result.table].caught_up = True
        if now - self._started_at < BOOTSTRAP_S:
            return
        for index, table in enumerate(self.tables):
            # If all seeds answer and neither they nor any peer have caught up, the whole cluster has just
            # started. If a seed is silent, the rows in force may be on the other side of a partition.
            if (
                not table.caught_up
                and self._seeds_not_caught_up[index] == self._seeds
                and not any(len(digests) > index and digests[index] for digests in self.peer_digests.values())
            ):
                table.caught_up = True
