"""Repair: comparing tables with one peer, range by range, and fetching what differs. One side leads an
exchange; the other answers each message for itself, and holds nothing of it.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

import msgspec

from pipitshed.replication.bandwidth_budget import BandwidthBudget
from pipitshed.replication.merkle_tree import DEPTH, MARK, ROOT, WAYS, MerkleTree, depth, sound
from pipitshed.replication.messages import ROOM, Compare, Items, Range, Rows, pack

Address = tuple[str, int]
LEAF = 100  # items of a range that are told by marks; one with more on both sides is parted, for 160 bytes
MOST_RANGES = 72  # in one message
MOST_MARKS = 256  # in one message
MOST_PEERS = 64  # that are left alone
MOST_WIDE = 16
PULLED = 32  # items that one question may be expected to bring
LEAST = 900  # bytes under which an answer is not worth its frame
SAMPLE = 5  # items that one who knows nothing is told to begin with
ANSWERS = 500  # bytes that are left for answers when something is asked
WITHIN = 0.6  # s for an answer; a peer may let it wait for its budget
MOST_WAITING = 3  # questions that wait here for the budget; more are not answered
TRIES = 3
LASTS = 20.0  # s that an exchange may take, whatever its peer still tells
SOON = 0.05  # s until an answer that waits is tried again
PUT_OFF = 0.1  # s until a message is tried again that the budget had no room for
STRIKE = 1.0  # s that a peer is left alone that differs and brings nothing; doubled with each time
MOST_STRIKES = 10
UNKNOWN = -1  # a sum that no range has
_encoder = msgspec.msgpack.Encoder()


class ComparableTable(Protocol):
    """A table as repair sees it."""

    @property
    def tree(self) -> MerkleTree:
        """Its digests."""

    def get(self, key: str) -> Any:
        """The item of a key, or None."""


@dataclass(slots=True)
class OutgoingMessage:
    """Send this message."""

    to: Address
    message: Compare | Items | Rows


@dataclass(slots=True)
class Done:
    """An exchange that this side led has ended; `whole` where all that differed was fetched."""

    table: int
    peer: Address
    whole: bool
    gained: int


@dataclass(slots=True)
class _Exchange:
    """One that this side leads."""

    table: int
    peer: Address
    ends: float
    compare: list[int] = field(default_factory=list)  # ranges to be parted and compared
    fetch: dict[int, tuple[int, int]] = field(default_factory=dict)  # what it holds where it differs
    wide: int = MOST_WIDE  # ranges that one question asks for: fewer where the answers are not whole
    began_with: bytes = b""  # the digest here when it began
    asked: msgspec.Struct | None = None  # the question that is out
    again: Compare | None = None  # one that had no answer, and is asked again
    due: float = 0.0  # its time is over, or the next one is tried
    tries: int = 0
    differed: bool = False
    lacks: int = 0  # items here, by the counts that the peer told
    gained: int = 0
    gave: bool = False
    partly: bool = False  # some of what differs was not looked at, or not fetched


class AntiEntropy:
    """All exchanges of one scheduler, for all its tables."""

    def __init__(
        self, tables: Sequence[ComparableTable], budget: BandwidthBudget, rng: random.Random, frame: int
    ) -> None:
        """`frame`: bytes around a message, at the most."""
        self._tables = tables
        self._budget = budget
        self._rng = rng
        self._frame = frame
        self._led: dict[tuple[int, Address], _Exchange] = {}
        self._strikes: dict[tuple[int, Address], tuple[int, float]] = {}  # how many, left alone until
        self._waiting: dict[tuple[int, Address], Items] = {}  # questions that the budget had no room for
        self._answer_at = float("inf")
        self._deflated = 1.5  # how much smaller items are when packed, as last seen
        self.done: list[Done] = []  # to be taken by the user

    # ---- leading

    def lacks(self, table: int) -> int:
        """How many items peers hold more, by what they told in exchanges that run."""
        return max((one.lacks for one in self._led.values() if one.table == table), default=0)

    def leads(self, table: int) -> int:
        """How many exchanges are under way for a table."""
        return sum(one.table == table for one in self._led.values())

    def may(self, now: float, table: int, peer: Address) -> bool:
        """Whether a peer is worth asking: no exchange with it runs, and it was not in vain lately."""
        return self.free(table, peer) and now >= self._strikes.get((table, peer), (0, float("-inf")))[1]

    def free(self, table: int, peer: Address) -> bool:
        """Whether no exchange with a peer runs."""
        return (table, peer) not in self._led

    def agreed(self, table: int, peer: Address) -> None:
        """A peer told the digest that is held here."""
        if self._strikes:
            self._strikes.pop((table, peer), None)

    def begin(self, now: float, table: int, peer: Address) -> list[OutgoingMessage]:
        """Compare all of a table with a peer, and fetch what differs."""
        return self._lead(now, _Exchange(table, peer, now + LASTS, compare=[ROOT]))

    def look(self, now: float, table: int, peer: Address) -> list[OutgoingMessage]:
        """Compare a range drawn at random item by item, whatever its digests are: guards against digests that
        collide.
        """
        tree, node = self._tables[table].tree, ROOT
        while tree.node(node)[1] > LEAF and depth(node) < DEPTH:
            node = node * WAYS + self._rng.randrange(WAYS)
        return self._lead(
            now, _Exchange(table, peer, now + LASTS, fetch={node: (UNKNOWN, LEAF)}, partly=True)
        )

    def _lead(self, now: float, exchange: _Exchange) -> list[OutgoingMessage]:
        exchange.began_with = self._tables[exchange.table].tree.digest()
        self._led[exchange.table, exchange.peer] = exchange
        return self._next(now, exchange)

    def due(self) -> float | None:
        """When `tick` has something to do."""
        due = min((one.due for one in self._led.values()), default=None)
        return due if not self._waiting else self._answer_at if due is None else min(due, self._answer_at)

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Ask again where no answer came, or what the budget had no room for."""
        out: list[OutgoingMessage] = []
        if self._waiting and now >= self._answer_at:
            waiting, self._waiting = self._waiting, {}
            for (_, peer), question in waiting.items():
                out += self.asked(now, peer, question)
        for one in [one for one in self._led.values() if one.due <= now]:
            if one.asked is not None:
                one.tries += 1
                one.again = one.asked if isinstance(one.asked, Compare) else None
                one.asked = None
            if one.tries >= TRIES or now >= one.ends:
                one.partly = True
                self._end(now, one, one.tries < TRIES)
            else:
                out += self._next(now, one)
        return out

    def _end(self, now: float, one: _Exchange, answered: bool) -> None:
        del self._led[one.table, one.peer]
        self.done.append(Done(one.table, one.peer, not one.partly, one.gained))
        place = one.table, one.peer
        strikes, _ = self._strikes.pop(place, (0, 0.0))
        changed = self._tables[one.table].tree.digest() != one.began_with
        if answered and (one.gained or one.gave or changed or not one.differed):
            return  # it brought something, or others brought it first
        # Guards against a peer that is silent, or whose digests never match what it tells.
        strikes = min(MOST_STRIKES, strikes + 1)
        if len(self._strikes) >= MOST_PEERS:
            del self._strikes[next(iter(self._strikes))]
        self._strikes[place] = strikes, now + STRIKE * 2 ** (strikes - 1)

    def _next(self, now: float, one: _Exchange) -> list[OutgoingMessage]:
        """The next question of an exchange; it ends where there is none."""
        tree = self._tables[one.table].tree
        message: msgspec.Struct | None = None
        if one.again is not None:
            message = one.again
        elif one.compare:
            parts: list[int] = []
            for node in one.compare[: MOST_RANGES // WAYS]:
                big = tree.node(node)[1] > LEAF and depth(node) < DEPTH
                parts += range(node * WAYS, node * WAYS + WAYS) if big else (node,)
            message = Compare(one.table, tuple((node, *tree.node(node)) for node in parts), True)
        else:
            message = self._question(one, tree)
            if message is None and not one.fetch:
                self._end(now, one, True)
                return []
        if message is None or not self.room(now, one.table, message, ANSWERS):
            one.due = now + PUT_OFF
            return []
        if one.again is None and isinstance(message, Compare):
            del one.compare[: MOST_RANGES // WAYS]
        one.again = None
        one.asked, one.due = message, now + WITHIN * (1 + one.tries)
        return [OutgoingMessage(one.peer, message)]

    def room(self, now: float, table: int, message: msgspec.Struct, left: int = 0) -> bool:
        """Whether the budget has room for a message, and leaves so many bytes; it is spent then."""
        size = len(_encoder.encode(message)) + self._frame
        if not self._budget.room(now, table, size + left):
            return False
        self._budget.spend(now, table, size)
        return True

    def _question(self, one: _Exchange, tree: MerkleTree) -> Items | None:
        """Ask for ranges that differ, as many as one answer may hold; none that another exchange asks for."""
        busy = {
            node
            for other in self._led.values()
            if other.table == one.table and other is not one and isinstance(other.asked, Items)
            for node in other.asked.ranges
        }
        for node in [node for node, told in one.fetch.items() if tree.node(node)[0] == told[0]]:
            del one.fetch[node]
        chosen: list[int] = []
        marks, brought = 0, 0
        nodes = list(one.fetch)
        start = self._rng.randrange(len(nodes)) if nodes else 0
        for node in nodes[start:] + nodes[:start]:
            if node in busy:
                continue
            ours, theirs = tree.node(node)[1], one.fetch[node][1]
            if chosen and (
                len(chosen) >= one.wide
                or marks + ours > MOST_MARKS
                or brought + max(1, theirs - ours) > PULLED
            ):
                break
            chosen.append(node)
            marks += ours
            brought += max(1, theirs - ours)
        if not chosen:
            return None
        salt = self._rng.randrange(2**32)
        told = [mark for node in chosen for mark, _ in tree.marks(node, salt)]
        return Items(one.table, tuple(chosen), salt, _written(told[: 2 * MOST_MARKS]))

    # ---- what comes

    def compared(self, now: float, peer: Address, message: Compare) -> list[OutgoingMessage]:
        """A peer's digests: to be answered, or the answer to one's own."""
        tree = self._tables[message.table].tree
        differ = [
            told
            for told in message.ranges[: 2 * MOST_RANGES]
            if sound(told[0]) and tree.node(told[0])[0] != told[1]
        ]
        if message.answer:
            if [told for told in differ if told[0] == ROOT and told[2] <= 1 and len(tree) > SAMPLE]:
                # Guards a seed that a whole fleet joins by: a few to begin with, and the rest from those.
                table = self._tables[message.table]
                some = [table.get(key) for key in tree.sample(self._rng, SAMPLE)]
                few = Rows(message.table, pack(some), whole=False)
                return [OutgoingMessage(peer, few)] if self.room(now, message.table, few) else []
            answer = Compare(message.table, tuple(self._parted(tree, differ)), False)
            return [OutgoingMessage(peer, answer)] if self.room(now, message.table, answer) else []
        one = self._led.get((message.table, peer))
        if one is None or not isinstance(one.asked, Compare):
            return []
        one.asked, one.tries = None, 0
        for node, total, items in differ:
            one.differed = True
            one.lacks += max(0, items - tree.node(node)[1])
            if depth(node) < DEPTH and items > LEAF and tree.node(node)[1] > LEAF:
                one.compare.append(node)
            elif depth(node) < DEPTH and items > 2 * PULLED:
                # Nearly all of it is lacking: fetched by parts, so that several peers can be asked at a time.
                for part in range(node * WAYS, node * WAYS + WAYS):
                    one.fetch[part] = UNKNOWN, items // WAYS
            else:
                one.fetch[node] = total, items
        return self._next(now, one)

    def _parted(self, tree: MerkleTree, differ: list[Range]) -> list[Range]:
        told: list[Range] = []
        for place, (node, _, items) in enumerate(differ):
            left = MOST_RANGES - len(told) - (len(differ) - place - 1)
            if tree.node(node)[1] > LEAF < items and depth(node) < DEPTH and left >= WAYS:
                told += [(part, *tree.node(part)) for part in range(node * WAYS, node * WAYS + WAYS)]
            elif left > 0:
                told.append((node, *tree.node(node)))
        return told

    def asked(self, now: float, peer: Address, message: Items) -> list[OutgoingMessage]:
        """A peer tells what it holds in some ranges: tell it what it lacks, and what is lacking here."""
        table = self._tables[message.table]
        theirs = _read(message.marks)
        ranges = tuple(node for node in message.ranges[:MOST_RANGES] if sound(node))
        ours = [told for node in ranges for told in table.tree.marks(node, message.salt)]
        room = min(ROOM, self._budget.room(now, message.table, LEAST) - self._frame) - 4 * len(ranges)
        if room <= 0:
            if len(self._waiting) < MOST_WAITING:
                self._waiting[message.table, peer] = message
                self._answer_at = now + SOON
            return []
        wants = _written(sorted(theirs - {mark for mark, _ in ours})[: room // 4 // MARK])
        room -= len(wants)
        lacking = [key for mark, key in ours if mark not in theirs]
        told, packed = self.packed(table, lacking, room)
        answer = Rows(message.table, packed, ranges, message.salt, wants, told == len(lacking))
        return [OutgoingMessage(peer, answer)] if self.room(now, message.table, answer) else []

    def told(
        self, now: float, peer: Address, message: Rows, gained: int, newer: Sequence[str]
    ) -> list[OutgoingMessage]:
        """A peer told items; so many were new here, and of the keys `newer` a newer one is held."""
        out = self._give(now, peer, message, newer)
        one = self._led.get((message.table, peer))
        if one is not None and sampled(message):
            del self._led[message.table, peer]
        if one is None or not isinstance(one.asked, Items) or one.asked.salt != message.salt:
            return out
        one.gained += gained
        one.gave = one.gave or bool(out)
        one.differed = one.differed or gained > 0
        one.wide = min(MOST_WIDE, one.wide * 2) if message.whole else max(1, one.wide // 2)
        if message.whole or not gained:
            one.partly = one.partly or not message.whole
            for node in one.asked.ranges:
                one.fetch.pop(node, None)
        one.asked, one.tries = None, 0
        return out + (self._next(now, one) if now < one.ends else [])

    def _give(self, now: float, peer: Address, message: Rows, newer: Sequence[str]) -> list[OutgoingMessage]:
        """Tell a peer what it wants, and what it holds in an older version."""
        held, out = self._tables[message.table], []
        wants = _read(message.wants)
        keys = sorted(
            {
                key
                for node in message.ranges[:MOST_RANGES]
                if wants and sound(node)
                for mark, key in held.tree.marks(node, message.salt)
                if mark in wants
            }
            | set(newer)
        )
        while keys:
            room = min(ROOM, self._budget.room(now, message.table, LEAST + self._frame) - self._frame)
            told, packed = self.packed(held, keys, room)
            answer = Rows(message.table, packed)
            if not told or not self.room(now, message.table, answer):
                break  # the rest is found again by a later exchange
            out.append(OutgoingMessage(peer, answer))
            del keys[:told]
        return out

    def packed(self, table: ComparableTable, keys: Sequence[str], room: int) -> tuple[int, bytes]:
        """The first of these items, as many as have room packed; how many they are."""
        items: list[Any] = []
        size = 0.0
        for key in keys:
            item = table.get(key)
            size += item.size / self._deflated
            if size > room and items:
                break
            items.append(item)
        packed = pack(items)
        while items and len(packed) > room:
            del items[len(items) * 3 // 4 :]
            packed = pack(items)
        if len(items) > PULLED // 4:
            # What these take teaches how many may be tried next time.
            self._deflated += (sum(item.size for item in items) / len(packed) - self._deflated) / 4
        return len(items), packed


def sampled(message: Rows) -> bool:
    """Whether what a peer told is a few to begin with."""
    return not message.ranges and not message.whole


def _read(marks: bytes) -> set[int]:
    return {
        int.from_bytes(marks[at : at + MARK], "big")
        for at in range(0, min(len(marks), 2 * MOST_MARKS * MARK), MARK)
    }


def _written(marks: Sequence[int]) -> bytes:
    return b"".join(mark.to_bytes(MARK, "big") for mark in marks)
