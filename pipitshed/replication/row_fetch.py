"""Selection of the ranges from which a request fetches the items that this member lacks."""

from __future__ import annotations

import random
from collections.abc import Collection

from pipitshed.replication.exchange import Exchange
from pipitshed.replication.merkle_tree import MerkleTree
from pipitshed.replication.message_pacing import MAX_REQUESTED_ITEMS
from pipitshed.replication.messages import MAX_FINGERPRINTS, FetchRequest, encode_fingerprints


def fetch_request(
    exchange: Exchange, tree: MerkleTree, busy_nodes: Collection[int], rng: random.Random
) -> FetchRequest | None:
    """Return a request for differing ranges, as many as one answer may hold; None if none is left.

    Args:
        exchange: The exchange; ranges that no longer differ are removed from it.
        tree: The digests of this member's table.
        busy_nodes: Ranges that other exchanges are fetching, which are left out.
        rng: The source of the first range and the salt.
    """
    _remove_equal_ranges(exchange, tree)
    nodes = list(exchange.nodes_to_fetch)
    start = rng.randrange(len(nodes)) if nodes else 0
    chosen = _choose_ranges(exchange, tree, busy_nodes, nodes[start:] + nodes[:start])
    if not chosen:
        return None
    salt = rng.randrange(2**32)
    fingerprints = [fingerprint for node in chosen for fingerprint, _ in tree.fingerprints(node, salt)]
    return FetchRequest(
        exchange.table, tuple(chosen), salt, encode_fingerprints(fingerprints[: 2 * MAX_FINGERPRINTS])
    )


def _remove_equal_ranges(exchange: Exchange, tree: MerkleTree) -> None:
    equal = [node for node, (total, _) in exchange.nodes_to_fetch.items() if tree.node(node)[0] == total]
    for node in equal:
        del exchange.nodes_to_fetch[node]


def _choose_ranges(
    exchange: Exchange, tree: MerkleTree, busy_nodes: Collection[int], nodes: list[int]
) -> list[int]:
    chosen: list[int] = []
    fingerprint_count, expected_count = 0, 0
    for node in nodes:
        if node in busy_nodes:
            continue
        own_count = tree.item_count(node)
        missing_count = max(1, exchange.nodes_to_fetch[node][1] - own_count)
        if chosen and (
            len(chosen) >= exchange.max_fetch_ranges
            or fingerprint_count + own_count > MAX_FINGERPRINTS
            or expected_count + missing_count > MAX_REQUESTED_ITEMS
        ):
            break
        chosen.append(node)
        fingerprint_count += own_count
        expected_count += missing_count
    return chosen
