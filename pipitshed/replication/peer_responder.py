"""Answers peers in anti-entropy. Each message is answered by itself; no state of an exchange is stored."""

from __future__ import annotations

import random
from collections.abc import Sequence

from pipitshed.replication.merkle_tree import FINGERPRINT_BYTES, ROOT, is_valid_node
from pipitshed.replication.message_pacing import Address, ComparableTable, MessagePacer, OutgoingMessage
from pipitshed.replication.messages import (
    MAX_RANGES,
    MESSAGE_LIMIT_BYTES,
    Compare,
    FetchRequest,
    Range,
    Rows,
    decode_fingerprints,
    encode_fingerprints,
    pack,
)
from pipitshed.replication.range_comparison import comparison_answer

SAMPLE_ROWS = 5  # sent at first to a peer that has no rows
MIN_ANSWER_BYTES = 900  # available for an answer; a smaller one is not worth its headers
MAX_DEFERRED_REQUESTS = 3  # requests that wait for the budget; further ones are dropped
DEFERRED_RETRY_S = 0.05  # delay before a deferred request is tried again
NODE_BYTES = 4  # estimated size of a node number in a message


class PeerResponder:
    """Answers the requests of peers for all tables."""

    def __init__(self, tables: Sequence[ComparableTable], pacer: MessagePacer, rng: random.Random) -> None:
        self._tables = tables
        self._pacer = pacer
        self._rng = rng
        self._deferred: dict[tuple[int, Address], FetchRequest] = {}  # waiting for the budget
        self._retry_at = float("inf")

    def next_due_at(self) -> float | None:
        """Return the time at which deferred requests are retried; None if there are none."""
        return self._retry_at if self._deferred else None

    def handle_timeouts(self, now: float) -> list[OutgoingMessage]:
        """Answer the deferred requests if their retry is due."""
        outgoing: list[OutgoingMessage] = []
        if self._deferred and now >= self._retry_at:
            deferred, self._deferred = self._deferred, {}
            for (_, peer), request in deferred.items():
                outgoing += self.answer_fetch_request(now, peer, request)
        return outgoing

    def answer_comparison(
        self, now: float, peer: Address, request: Compare, differing: Sequence[Range]
    ) -> list[OutgoingMessage]:
        """Answer a peer's digests, given those of them that differ."""
        tree = self._tables[request.table].tree
        peer_is_empty = any(node == ROOT and count <= 1 for node, _, count in differing)
        answer: Compare | Rows
        if peer_is_empty and len(tree) > SAMPLE_ROWS:
            # A whole cluster may join through one seed, so it sends a few rows and other peers send the rest.
            table = self._tables[request.table]
            sample = [table.get(key) for key in tree.sample(self._rng, SAMPLE_ROWS)]
            answer = Rows(request.table, pack(sample), complete=False)
        else:
            answer = comparison_answer(request.table, tree, differing)
        return self._admitted(now, peer, answer)

    def answer_fetch_request(self, now: float, peer: Address, request: FetchRequest) -> list[OutgoingMessage]:
        """Answer a peer's request with the rows whose fingerprints it did not list, or defer the request."""
        table = self._tables[request.table]
        peer_fingerprints = decode_fingerprints(request.fingerprints)
        nodes = tuple(node for node in request.ranges[:MAX_RANGES] if is_valid_node(node))
        own_fingerprints = [pair for node in nodes for pair in table.tree.fingerprints(node, request.salt)]
        available = self._pacer.payload_bytes(now, request.table, MIN_ANSWER_BYTES)
        space = min(MESSAGE_LIMIT_BYTES, available) - NODE_BYTES * len(nodes)
        if space <= 0:
            self._defer(now, peer, request)
            return []
        unknown_fingerprints = sorted(
            peer_fingerprints - {fingerprint for fingerprint, _ in own_fingerprints}
        )
        requested_fingerprints = encode_fingerprints(unknown_fingerprints[: space // 4 // FINGERPRINT_BYTES])
        missing_keys = [key for fingerprint, key in own_fingerprints if fingerprint not in peer_fingerprints]
        count, packed = self._pacer.pack_rows(table, missing_keys, space - len(requested_fingerprints))
        complete = count == len(missing_keys)
        answer = Rows(request.table, packed, nodes, request.salt, requested_fingerprints, complete)
        return self._admitted(now, peer, answer)

    def _defer(self, now: float, peer: Address, request: FetchRequest) -> None:
        if len(self._deferred) < MAX_DEFERRED_REQUESTS:
            self._deferred[request.table, peer] = request
            self._retry_at = now + DEFERRED_RETRY_S

    def _admitted(self, now: float, peer: Address, answer: Compare | Rows) -> list[OutgoingMessage]:
        return [OutgoingMessage(peer, answer)] if self._pacer.admit(now, answer.table, answer) else []

    def send_requested(
        self, now: float, peer: Address, message: Rows, newer_keys: Sequence[str]
    ) -> list[OutgoingMessage]:
        """Send a peer the rows that it requested by fingerprint, and those of which it has older versions."""
        table, outgoing = self._tables[message.table], []
        min_bytes = MIN_ANSWER_BYTES + self._pacer.overhead_bytes
        keys = sorted(self._requested_keys(table, message) | set(newer_keys))
        while keys:
            available = self._pacer.payload_bytes(now, message.table, min_bytes)
            count, packed = self._pacer.pack_rows(table, keys, min(MESSAGE_LIMIT_BYTES, available))
            answer = Rows(message.table, packed)
            if not count or not self._pacer.admit(now, message.table, answer):
                break  # a later exchange finds the remaining rows again
            outgoing.append(OutgoingMessage(peer, answer))
            del keys[:count]
        return outgoing

    @staticmethod
    def _requested_keys(table: ComparableTable, message: Rows) -> set[str]:
        requested_fingerprints = decode_fingerprints(message.requested_fingerprints)
        return {
            key
            for node in message.ranges[:MAX_RANGES]
            if requested_fingerprints and is_valid_node(node)
            for fingerprint, key in table.tree.fingerprints(node, message.salt)
            if fingerprint in requested_fingerprints
        }
