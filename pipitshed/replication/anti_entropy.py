"""Anti-entropy: compares a table with a peer's range by range, and fetches the items that differ.

One side leads an exchange; the other side answers each message by itself and stores no state of the exchange.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from pipitshed.replication.bandwidth_budget import BandwidthBudget
from pipitshed.replication.exchange import MAX_FETCH_RANGES, Exchange, ExchangeResult, PeerBackoff
from pipitshed.replication.merkle_tree import FANOUT, ROOT
from pipitshed.replication.message_pacing import Address, ComparableTable, MessagePacer, OutgoingMessage
from pipitshed.replication.messages import Compare, FetchRequest, Rows
from pipitshed.replication.peer_responder import PeerResponder
from pipitshed.replication.range_comparison import (
    MAX_LEAF_ITEMS,
    SPLIT_NODES_PER_REQUEST,
    UNKNOWN_SUM,
    can_split,
    comparison_request,
    differing_ranges,
    record_differences,
)
from pipitshed.replication.row_fetch import fetch_request

ANSWER_RESERVE_BYTES = 500  # of the budget, which a request leaves free for answers
REQUEST_TIMEOUT_S = 0.6  # covers a wait for the peer's bandwidth budget
MAX_ATTEMPTS = 3
MAX_EXCHANGE_S = 20.0  # an exchange ends then even if the peer still sends items
BUDGET_RETRY_S = 0.1  # delay before a request that exceeded the budget is tried again


class AntiEntropy:
    """All exchanges that one member leads, for all its tables, and its answers to peers."""

    def __init__(
        self,
        tables: Sequence[ComparableTable],
        budget: BandwidthBudget,
        rng: random.Random,
        overhead_bytes: int,
    ) -> None:
        """Create the engine; `overhead_bytes` is the most that the transport adds to a message."""
        self._tables = tables
        self._rng = rng
        self._exchanges: dict[tuple[int, Address], Exchange] = {}
        self.pacer = MessagePacer(budget, overhead_bytes)
        self.responder = PeerResponder(tables, self.pacer, rng)
        self.backoff = PeerBackoff()
        self.completed: list[ExchangeResult] = []  # the caller takes and clears these

    # ---- exchanges that this member leads

    def missing_count(self, table: int) -> int:
        """Return how many more items a peer has than this member, by the running exchanges; 0 without one."""
        counts = (exchange.missing_count for exchange in self._exchanges.values() if exchange.table == table)
        return max(counts, default=0)

    def exchange_count(self, table: int) -> int:
        """Return how many exchanges of a table are running."""
        return sum(exchange.table == table for exchange in self._exchanges.values())

    def may_start(self, now: float, table: int, peer: Address) -> bool:
        """Whether no exchange with the peer is running, and the backoff from the peer has ended."""
        return self.is_idle(table, peer) and self.backoff.allows(now, table, peer)

    def is_idle(self, table: int, peer: Address) -> bool:
        """Whether no exchange of the table with the peer is running."""
        return (table, peer) not in self._exchanges

    def start(self, now: float, table: int, peer: Address) -> list[OutgoingMessage]:
        """Start to compare a whole table with a peer, and to fetch the items that differ."""
        return self._start(now, Exchange(table, peer, now + MAX_EXCHANGE_S, nodes_to_compare=[ROOT]))

    def compare_random_range(self, now: float, table: int, peer: Address) -> list[OutgoingMessage]:
        """Compare a random range item by item, which finds a difference that colliding digests hide."""
        tree, node = self._tables[table].tree, ROOT
        while can_split(tree, node):
            node = node * FANOUT + self._rng.randrange(FANOUT)
        exchange = Exchange(table, peer, now + MAX_EXCHANGE_S, incomplete=True)
        exchange.nodes_to_fetch[node] = UNKNOWN_SUM, MAX_LEAF_ITEMS
        return self._start(now, exchange)

    def _start(self, now: float, exchange: Exchange) -> list[OutgoingMessage]:
        exchange.initial_digest = self._tables[exchange.table].tree.digest()
        self._exchanges[exchange.table, exchange.peer] = exchange
        return self._advance(now, exchange)

    def _advance(self, now: float, exchange: Exchange) -> list[OutgoingMessage]:
        """Send the next request of an exchange, or end the exchange if nothing is left to do."""
        request = self._next_request(exchange)
        if request is None and not exchange.nodes_to_fetch:
            self._end(now, exchange, answered=True)
            return []
        if request is None or not self.pacer.admit(now, exchange.table, request, ANSWER_RESERVE_BYTES):
            exchange.due_at = now + BUDGET_RETRY_S
            return []
        if exchange.retry_request is None and isinstance(request, Compare):
            del exchange.nodes_to_compare[:SPLIT_NODES_PER_REQUEST]
        exchange.retry_request = None
        exchange.pending_request = request
        exchange.due_at = now + REQUEST_TIMEOUT_S * (1 + exchange.attempt_count)
        return [OutgoingMessage(exchange.peer, request)]

    def _next_request(self, exchange: Exchange) -> Compare | FetchRequest | None:
        if exchange.retry_request is not None:
            return exchange.retry_request
        tree = self._tables[exchange.table].tree
        if exchange.nodes_to_compare:
            return comparison_request(exchange, tree)
        return fetch_request(exchange, tree, self._busy_nodes(exchange), self._rng)

    def _busy_nodes(self, exchange: Exchange) -> set[int]:
        """Return the ranges that other exchanges of the same table are fetching."""
        return {
            node
            for other in self._exchanges.values()
            if other.table == exchange.table
            and other is not exchange
            and isinstance(other.pending_request, FetchRequest)
            for node in other.pending_request.ranges
        }

    def _end(self, now: float, exchange: Exchange, answered: bool) -> None:
        table, peer = exchange.table, exchange.peer
        del self._exchanges[table, peer]
        self.completed.append(ExchangeResult(table, peer, not exchange.incomplete, exchange.gained_count))
        # Other peers may have sent the differing items first.
        table_changed = self._tables[table].tree.digest() != exchange.initial_digest
        made_progress = exchange.gained_count or exchange.sent_rows or table_changed
        if answered and (made_progress or not exchange.differed):
            self.backoff.reset(table, peer)
        else:
            self.backoff.record_failure(now, table, peer)

    # ---- time

    def next_due_at(self) -> float | None:
        """Return the time at which `handle_timeouts` is due, or None."""
        retry_at = self.responder.next_due_at()
        if not self._exchanges:
            return retry_at
        due_at = min(exchange.due_at for exchange in self._exchanges.values())
        return due_at if retry_at is None else min(due_at, retry_at)

    def handle_timeouts(self, now: float) -> list[OutgoingMessage]:
        """Retry requests without an answer, and messages that exceeded the budget."""
        outgoing = self.responder.handle_timeouts(now)
        for exchange in [exchange for exchange in self._exchanges.values() if exchange.due_at <= now]:
            request = exchange.pending_request
            if request is not None:
                exchange.attempt_count += 1
                exchange.retry_request = request if isinstance(request, Compare) else None
                exchange.pending_request = None
            if exchange.attempt_count >= MAX_ATTEMPTS or now >= exchange.deadline:
                exchange.incomplete = True
                self._end(now, exchange, answered=exchange.attempt_count < MAX_ATTEMPTS)
            else:
                outgoing += self._advance(now, exchange)
        return outgoing

    # ---- messages of peers

    def receive_comparison(self, now: float, peer: Address, message: Compare) -> list[OutgoingMessage]:
        """Handle a peer's digests, which are a request or the answer to a request of this member."""
        tree = self._tables[message.table].tree
        differing = differing_ranges(tree, message.ranges)
        if message.wants_answer:
            return self.responder.answer_comparison(now, peer, message, differing)
        exchange = self._exchanges.get((message.table, peer))
        if exchange is None or not isinstance(exchange.pending_request, Compare):
            return []
        exchange.pending_request, exchange.attempt_count = None, 0
        record_differences(exchange, tree, differing)
        return self._advance(now, exchange)

    def receive_rows(
        self, now: float, peer: Address, message: Rows, gained_count: int, newer_keys: Sequence[str]
    ) -> list[OutgoingMessage]:
        """Handle a message with rows after its rows were applied.

        Args:
            now: The time.
            peer: The sender.
            message: The message.
            gained_count: Number of rows that were new to this member.
            newer_keys: Keys for which this member has a newer row.
        """
        outgoing = self.responder.send_requested(now, peer, message, newer_keys)
        exchange = self._exchanges.get((message.table, peer))
        if exchange is None:
            return outgoing
        if message.is_sample:  # a sample answers no FetchRequest, even if the salts are equal
            del self._exchanges[message.table, peer]
            return outgoing
        request = exchange.pending_request
        if not isinstance(request, FetchRequest) or request.salt != message.salt:
            return outgoing
        exchange.gained_count += gained_count
        exchange.sent_rows = exchange.sent_rows or bool(outgoing)
        exchange.differed = exchange.differed or gained_count > 0
        _record_answer(exchange, request, message.complete, gained_count)
        exchange.pending_request, exchange.attempt_count = None, 0
        return outgoing + (self._advance(now, exchange) if now < exchange.deadline else [])


def _record_answer(exchange: Exchange, request: FetchRequest, complete: bool, gained_count: int) -> None:
    """Adapt the number of ranges per request to the answer, and drop the ranges that are settled."""
    if complete:
        exchange.max_fetch_ranges = min(MAX_FETCH_RANGES, exchange.max_fetch_ranges * 2)
    else:
        exchange.max_fetch_ranges = max(1, exchange.max_fetch_ranges // 2)
    if complete or not gained_count:
        exchange.incomplete = exchange.incomplete or not complete
        for node in request.ranges:
            exchange.nodes_to_fetch.pop(node, None)
