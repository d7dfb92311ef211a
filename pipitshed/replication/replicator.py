"""Several tables on one carrier: what is told with the next probe, whom to compare with, how much may go."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any, Protocol

import msgspec

from pipitshed.replication.anti_entropy import (
    ANSWERS,
    PULLED,
    Address,
    AntiEntropy,
    ComparableTable,
    OutgoingMessage,
    sampled,
)
from pipitshed.replication.bandwidth_budget import BandwidthBudget
from pipitshed.replication.gossip_queue import GossipQueue, transmission_limit
from pipitshed.replication.messages import ROOM, Compare, Items, Rows

AROUND = 50  # bytes around a message: the headers of IP and UDP, and the edge's frame
FRAME = AROUND + 20  # and what holds the items
FEW = 8  # rumours that wait, up to which what came by repair is told as well
SINGLE = 3  # items in one answer, up to which they are told on
AGAIN = 4  # times that this is told
MANY = 24  # rumours that wait, from which on they get less room
LITTLE = 60  # bytes
ENOUGH = 8  # peers one after the other that told the digest held here: what waits is known
LATELY = 2.0  # s that a digest which a peer told counts
QUIET = 1.0  # s without a change here, after which another digest is no longer news under way
BETWEEN = 0.5  # s between beginnings of exchanges
BEHIND = 0.1  # s between them while much is lacking here
MUCH = 8  # items that one answer brought, where much is lacking
MOST_EXCHANGES = 6  # beside two, while much is lacking
MOST_LATELY = 64  # peers that lately told another digest
ALONE = 3.0  # s after which a table is held to be caught up where no seed knows more


class ReplicatedTable(ComparableTable, Protocol):
    """A table that is carried."""

    change_count: int  # counts its changes
    caught_up: bool  # whether it was compared with a peer that was, or there is none


class Replicator:
    """One scheduler's tables. Times are seconds of any clock that goes forward; peers have a name and an
    address.
    """

    def __init__(
        self, tables: Sequence[ReplicatedTable], rng: random.Random, now: float, seeds: Sequence[Address]
    ) -> None:
        """`seeds`: whom this one joins by; where there are none, it is the first."""
        self.tables = tables
        self.budget = BandwidthBudget(len(tables), now)
        self.anti_entropy = AntiEntropy(tables, self.budget, rng, FRAME)
        self.queues: list[GossipQueue[Any]] = [GossipQueue() for _ in tables]
        self.peer_digests: dict[str, tuple[bytes, ...]] = {}  # the digests that each peer told last, by name
        self._rng = rng
        self._began = now
        self._seeds = frozenset(seeds)
        self._unknowing: list[set[Address]] = [set() for _ in tables]  # seeds that have not caught up either
        self._differ: list[dict[Address, float]] = [{} for _ in tables]  # when one told another digest
        self._changed = [(-1, now)] * len(tables)  # at which number the table was, since when
        self._next = [now] * len(tables)  # when an exchange may begin
        self._behind = [float("-inf")] * len(tables)  # until when much is held to be lacking
        self._pushing: list[list[str]] = [[] for _ in tables]  # keys of what is fresh
        self._agreeing = [0] * len(tables)  # peers one after the other that told the digest held here
        if not seeds:
            for table in tables:
                table.caught_up = True

    # ---- digests

    def digests(self) -> tuple[bytes, ...]:
        """What is told of the tables; empty for one not caught up, as nobody may take it for whole."""
        return tuple(table.tree.digest() if table.caught_up else b"" for table in self.tables)

    def receive_digests(
        self, now: float, name: str, address: Address, digests: tuple[bytes, ...]
    ) -> list[OutgoingMessage]:
        """A peer told its digests."""
        self.peer_digests[name] = digests
        out: list[OutgoingMessage] = []
        for place, (table, digest) in enumerate(zip(self.tables, digests, strict=False)):
            if digest == table.tree.digest():
                table.caught_up = True
                self._agreeing[place] += 1
                self._differ[place].pop(address, None)
                self.anti_entropy.agreed(place, address)
                continue
            self._agreeing[place] = 0
            if address in self._seeds:
                (self._unknowing[place].discard if digest else self._unknowing[place].add)(address)
            if digest and (address in self._differ[place] or len(self._differ[place]) < MOST_LATELY):
                self._differ[place][address] = now
                out += self.consider(now, place)
        return out

    def differed(self, place: int, address: Address) -> float:
        """When a peer last told another digest than is held here; long ago where it told the same since."""
        return self._differ[place].get(address, float("-inf"))

    def agrees_with(self, name: str) -> bool | None:
        """Whether a peer told the digest of the first table that is held here; None where it told none."""
        told = self.peer_digests.get(name)
        return None if not told else told[0] == self.tables[0].tree.digest()

    # ---- rumours

    def queue_item(self, place: int, item: Any) -> None:
        """Pass this on from now on."""
        self.queues[place].add(item)
        self._agreeing[place] = 0

    def queue_repaired(self, now: float, place: int, item: Any, fleet: int, among: int) -> None:
        """Pass on what came by repair `among` so many, a few times and while few wait. Where much is lacking
        here, others know it, or will repair as well.
        """
        if among <= SINGLE and len(self.queues[place]) < FEW and not self._is_behind(now, place):
            self.queues[place].add(item, max(0, transmission_limit(fleet) - AGAIN))

    def take(
        self,
        now: float,
        room: int,
        to: str,
        fleet: int,
        places: int,
        all_of: int = -1,
        but: Sequence[Sequence[Any]] = (),
    ) -> tuple[list[Any], int]:
        """What goes with a message that has `room` bytes for it, of the first `places` tables, and its size.
        Nothing of a table whose digest the receiver told last; but of `all_of` in any case.
        And nothing of what the receiver has just told itself, `but`.
        """
        told = self.peer_digests.get(to, ())
        chosen: list[Any] = [()] * len(self.tables)
        for place, queue in enumerate(self.queues):
            if len(queue) and self._agreeing[place] >= ENOUGH and place != all_of:
                queue.clear()
        waiting = [
            place
            for place, queue in enumerate(self.queues[:places])
            if len(queue)
            and (place == all_of or place >= len(told) or told[place] != self.tables[place].tree.digest())
        ]
        spent = 0
        # Who has little to say goes first, and leaves the rest to others: equal parts where all have much.
        for turn, place in enumerate(sorted(waiting, key=lambda place: len(self.queues[place]))):
            queue = self.queues[place]
            part = min((room - spent) // (len(waiting) - turn), self.budget.room(now, place, FRAME))
            # Where very many wait most would be told to those that know them, so they are left to repair.
            part = min(part, max(LITTLE, room * MANY // len(queue)))
            chosen[place] = queue.take(part, fleet, but[place] if place < len(but) else ())
            used = sum(item.size for item in chosen[place])
            self.budget.spend(now, place, used)
            spent += used
        return chosen, spent

    def fresh(self, now: float, place: int, items: Sequence[Any]) -> None:
        """Told by a peer as fresh, or put here: pass them on, at once by `push` and with probes."""
        for item in items:
            self.queue_item(place, item)
        if not self._is_behind(now, place):
            self._pushing[place] += [item.key for item in items]

    @property
    def pushes(self) -> bool:
        """Whether there is something to push."""
        return any(self._pushing)

    def push(self, now: float, peers: Sequence[Address]) -> list[OutgoingMessage]:
        """Tell these peers what is fresh, where the budget has room; where not, probes carry it."""
        out: list[OutgoingMessage] = []
        for place, keys in enumerate(self._pushing):
            if keys:
                _, packed = self.anti_entropy.packed(self.tables[place], keys, ROOM)
                message = Rows(place, packed, fresh=True)
                out += [
                    OutgoingMessage(peer, message)
                    for peer in peers
                    if self.anti_entropy.room(now, place, message, ANSWERS)
                ]
                keys.clear()
        return out

    # ---- repair

    def consider(
        self,
        now: float,
        place: int,
        in_any_case: bool = False,
        others: Callable[[], list[Address]] | None = None,
    ) -> list[OutgoingMessage]:
        """Begin an exchange with one that lately told another digest, where that is no longer news under way,
        or in any case. While much is lacking, with several, and with `others` where none is known.
        """
        table = self.tables[place]
        if self._changed[place][0] != table.change_count:
            self._changed[place] = table.change_count, now
        behind = self._is_behind(now, place)
        # As many at a time as have something to ask: more would ask for a little each.
        most = 2 + min(MOST_EXCHANGES, self.anti_entropy.lacks(place) // PULLED) if behind else 1
        if now < self._next[place] or self.anti_entropy.leads(place) >= most:
            return []
        if not (in_any_case or behind or now - self._changed[place][1] >= QUIET):
            return []
        differ = self._differ[place]
        for address in [address for address, when in differ.items() if now - when > LATELY]:
            del differ[address]
        able = [address for address in differ if self.anti_entropy.may(now, place, address)]
        if not able and behind and others is not None:
            able = [address for address in others() if self.anti_entropy.may(now, place, address)]
        if not able:
            return []
        self._next[place] = now + (BEHIND if behind else BETWEEN)
        return self.anti_entropy.begin(now, place, self._rng.choice(able))

    def _is_behind(self, now: float, place: int) -> bool:
        if self.anti_entropy.lacks(place) >= MUCH:
            self._behind[place] = now + QUIET
        return now < self._behind[place] or not self.tables[place].caught_up

    def ask(self, now: float, place: int, address: Address) -> list[OutgoingMessage]:
        """Begin an exchange with this one, though it was silent or in vain before."""
        return self.anti_entropy.begin(now, place, address) if self.anti_entropy.free(place, address) else []

    def look(self, now: float, address: Address) -> list[OutgoingMessage]:
        """Compare a range of one table, both drawn at random, whatever the digests are."""
        place = self._rng.randrange(len(self.tables))
        return (
            self.anti_entropy.look(now, place, address) if self.anti_entropy.may(now, place, address) else []
        )

    def answer(
        self, now: float, address: Address, part: Compare | Items, others: Callable[[], list[Address]]
    ) -> list[OutgoingMessage]:
        """What a peer asks, or answers to a comparison. A table that has not caught up answers nobody: what
        it lacks would be taken for what there is not.
        """
        if not 0 <= part.table < len(self.tables) or (
            not self.tables[part.table].caught_up and (isinstance(part, Items) or part.answer)
        ):
            return []
        if isinstance(part, Compare):
            out = self.anti_entropy.compared(now, address, part)
            return out if part.answer else out + self.consider(now, part.table, False, others)
        return self.anti_entropy.asked(now, address, part)

    def taken(
        self,
        now: float,
        address: Address,
        part: Rows,
        gained: int,
        newer: Sequence[str],
        others: Callable[[], list[Address]],
    ) -> list[OutgoingMessage]:
        """A peer's items were taken: so many were new, and of the keys `newer` newer ones are held here."""
        much = gained >= MUCH or (gained > 0 and sampled(part))
        if much:
            self._behind[part.table] = now + QUIET
        out = self.anti_entropy.told(now, address, part, gained, newer)
        return out + (self.consider(now, part.table, False, others) if much else [])

    def handle_timeouts(self, now: float) -> list[OutgoingMessage]:
        """What has come due of the exchanges."""
        return self.anti_entropy.tick(now)

    def settle(self, now: float) -> None:
        """Take up how exchanges ended."""
        done, self.anti_entropy.done = self.anti_entropy.done, []
        for one in done:
            if one.whole:
                self.tables[one.table].caught_up = True
        if now - self._began >= ALONE:
            for place, table in enumerate(self.tables):
                # No seed has caught up, and nobody heard: the whole fleet has begun anew. With a seed that is
                # silent it may be this part of it alone, and what is in force stands on the other side.
                if (
                    not table.caught_up
                    and self._unknowing[place] == self._seeds
                    and not any(len(told) > place and told[place] for told in self.peer_digests.values())
                ):
                    table.caught_up = True


def message_size(message: msgspec.Struct) -> int:
    """Bytes of a message, without what the edge puts around it."""
    return len(_encoder.encode(message))


_encoder = msgspec.msgpack.Encoder()
