"""Comparison of the digests of two tables, range by range."""

from __future__ import annotations

from collections.abc import Sequence

from pipitshed.replication.exchange import Exchange
from pipitshed.replication.merkle_tree import (
    FANOUT,
    MAX_DEPTH,
    MerkleTree,
    children,
    is_valid_node,
    node_depth,
)
from pipitshed.replication.message_pacing import MAX_REQUESTED_ITEMS
from pipitshed.replication.messages import MAX_RANGES, Compare, Range

MAX_LEAF_ITEMS = 100  # in a range compared item by item; a range with more on both sides is split
UNKNOWN_SUM = -1  # equals the sum of no range
SPLIT_NODES_PER_REQUEST = MAX_RANGES // FANOUT


def can_split(tree: MerkleTree, node: int) -> bool:
    """Whether this member has so many items in a range that the children of the range are compared."""
    return tree.item_count(node) > MAX_LEAF_ITEMS and node_depth(node) < MAX_DEPTH


def comparison_request(exchange: Exchange, tree: MerkleTree) -> Compare:
    """Return a request with the digests of the next ranges that an exchange compares."""
    nodes: list[int] = []
    for node in exchange.nodes_to_compare[:SPLIT_NODES_PER_REQUEST]:
        nodes += children(node) if can_split(tree, node) else (node,)
    return Compare(exchange.table, tuple((node, *tree.node(node)) for node in nodes), True)


def differing_ranges(tree: MerkleTree, ranges: Sequence[Range]) -> list[Range]:
    """Return those of a peer's ranges whose sums differ from this member's."""
    return [
        (node, total, count)
        for node, total, count in ranges[: 2 * MAX_RANGES]
        if is_valid_node(node) and tree.node(node)[0] != total
    ]


def comparison_answer(table: int, tree: MerkleTree, differing: Sequence[Range]) -> Compare:
    """Return this member's digests of differing ranges, split if both sides have many items there."""
    ranges: list[Range] = []
    for index, (node, _, peer_count) in enumerate(differing):
        remaining_count = len(differing) - index - 1
        space = MAX_RANGES - len(ranges) - remaining_count
        if can_split(tree, node) and peer_count > MAX_LEAF_ITEMS and space >= FANOUT:
            ranges += [(child, *tree.node(child)) for child in children(node)]
        elif space > 0:
            ranges.append((node, *tree.node(node)))
    return Compare(table, tuple(ranges), False)


def record_differences(exchange: Exchange, tree: MerkleTree, differing: Sequence[Range]) -> None:
    """Record in an exchange which differing ranges to compare further and which to fetch."""
    for node, total, peer_count in differing:
        exchange.differed = True
        exchange.missing_count += max(0, peer_count - tree.item_count(node))
        if can_split(tree, node) and peer_count > MAX_LEAF_ITEMS:
            exchange.nodes_to_compare.append(node)
        elif node_depth(node) < MAX_DEPTH and peer_count > 2 * MAX_REQUESTED_ITEMS:
            # Nearly all items are missing: the children are fetched, so that several peers share the work.
            for child in children(node):
                exchange.nodes_to_fetch[child] = UNKNOWN_SUM, peer_count // FANOUT
        else:
            exchange.nodes_to_fetch[node] = total, peer_count
