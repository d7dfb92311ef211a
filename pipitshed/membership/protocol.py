"""The protocol of one scheduler: messages and times in, messages and news out. Its view is the first of the
tables that are carried.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from heapq import heapify, heappop, heappush
from itertools import count

import msgspec

from pipitshed.membership.instructions import (
    Instruction,
    MemberStateChanged,
    RowsChanged,
    SendMessage,
    Superseded,
)
from pipitshed.membership.members import Address, MemberRecord, MemberState, precedence
from pipitshed.membership.messages import (
    GOSSIP_LIMIT_BYTES,
    Ack,
    FreshRows,
    IndirectPing,
    Message,
    Nack,
    Ping,
    RepairMessage,
)
from pipitshed.membership.probes import Probe, Suspicion
from pipitshed.membership.regions import RegionMap
from pipitshed.membership.timing import LocalHealth, ProtocolTimings, suspicion_timeout_s
from pipitshed.membership.view import MembershipView
from pipitshed.replication.anti_entropy import OutgoingMessage
from pipitshed.replication.messages import Compare, Items, unpack
from pipitshed.replication.replicator import AROUND, Replicator, message_size
from pipitshed.replication.row import Row
from pipitshed.replication.row_table import ApplyResult, RowTable

ANYWAY = 0.1  # of the times for repair, part at which a range is compared whatever the digests are
ALONE = 0.3  # of the time between repairs, where nobody is known yet: as a seed may be asked by very many
ASKED_LATELY = 1.0  # s in which one that told another view, so that it lives, is not probed again
GATHER = 0.03  # s that fresh rows wait for others to be pushed with
VIEW = 0  # the view's place among the tables
_words = msgspec.msgpack.Decoder(tuple[MemberRecord, ...])
_rows = msgspec.msgpack.Decoder(tuple[Row, ...])


class Membership:
    """One scheduler's part. Times are seconds of any clock that only goes forward."""

    def __init__(
        self,
        me: MemberRecord,
        scales: ProtocolTimings,
        seeds: list[Address],
        rng: random.Random,
        now: float,
        tables: Sequence[RowTable] = (),
    ) -> None:
        self.self_record = me
        self.timings = scales
        self.view = MembershipView(scales.tombstones)
        self.health = LocalHealth()
        self.tables = tuple(tables)
        self.superseded = False
        self.leaving = False
        self._seeds = [seed for seed in seeds if seed != me.address]
        self._rng = rng
        self.replicator = Replicator((self.view, *tables), rng, now, self._seeds)
        self._fresh: list[list[Row]] = [[] for _ in tables]  # rows to be told as news
        self._put = False  # whether some of what is to be pushed was put here
        self._push_due = False
        self._areas = RegionMap(me, self.view, rng)
        self._repair_due = math.inf  # when the alarm for exchanges that is set comes
        self._numbers = count(rng.randrange(1 << 30))
        self._probes: dict[int, Probe] = {}
        self._suspicions: dict[str, Suspicion] = {}
        self._round: list[str] = []  # names still to be probed in this round
        self._due: list[tuple[float, int, str, int]] = []  # when, order, what, a probe's number
        self._judge_at = math.inf  # the next judgement that is due
        self._effects: list[Instruction] = []
        self.view.apply(now, me)
        self.replicator.queue_item(VIEW, me)
        # Spread over a period, as many may start at once.
        self._at(now + rng.random() * scales.period, "probe")
        self._at(now, "sync")
        self._at(now + scales.sync_with_gone * (0.5 + rng.random()), "gone")

    # ---- in

    def next_due_at(self) -> float:
        """When `tick` has something to do."""
        return self._due[0][0]

    def handle_timeouts(self, now: float) -> list[Instruction]:
        """Do what has come due."""
        self._late(now)
        while self._due and self._due[0][0] <= now:
            _, _, what, number = heappop(self._due)
            if what == "probe":
                self._at(now + self.timings.period, "probe")
                self._probe(now)
            elif what == "ask":
                self._ask_for_help(now, number)
            elif what == "close":
                self._close(now, number)
            elif what == "no":
                self._say_no(now, number)
            elif what == "sync":
                sooner = 1.0 if self.view.live_count > 1 else ALONE
                self._at(now + self.timings.sync * (0.5 + self._rng.random()) * sooner, "sync")
                self._sync(now)
            elif what == "gone":
                self._at(now + self.timings.sync_with_gone * (0.5 + self._rng.random()), "gone")
                self._reach_the_gone(now)
            elif what == "push":
                self._push_due = False
                self._send(now, self.replicator.push(now, self._areas.push_targets(self._put)))
                self._put = False
            elif what == "repair":
                self._repair_due = math.inf
                self._send(now, self.replicator.handle_timeouts(now))
            else:
                self._judge(now)
        return self._out(now)

    def _late(self, now: float) -> None:
        """Put off all judgement where this scheduler's own loop stood still. Guards against one that was
        stopped, or had no core, and wakes to find all its probes unanswered: the answers stand in its
        sockets, still to be read, and so do refutations of what it suspects.
        """
        late = now - self._due[0][0]
        if late <= self.timings.period:
            return
        self.health.record_failure(2)
        for suspicion in self._suspicions.values():
            suspicion.since += late
        again = now + self.timings.ack_within * self.health.timeout_multiplier
        self._due = [
            (max(when, again) if what in ("ask", "close") else when, order, what, number)
            for when, order, what, number in self._due
        ]
        heapify(self._due)

    def handle_message(self, now: float, message: Message, source: Address) -> list[Instruction]:
        """Take a message that came from `source`."""
        if isinstance(message, RepairMessage):
            self._exchange(now, message, source)
            return self._out(now)
        sender = message.sender
        for word in (sender, *message.gossip):
            if word.is_valid():
                self._take(now, word)
        if isinstance(message, Ping):
            self._take_fresh(now, message.rows)
            self._heard_digests(now, sender, message.digests)
            if message.target == self.self_record.name and not self.leaving:
                self._ack(now, source, message)
        elif isinstance(message, IndirectPing):
            self._help(now, message, source)
        elif isinstance(message, Ack):
            self._take_fresh(now, message.rows)
            self._acked(now, message)
        elif (probe := self._probes.get(message.number)) is not None:
            probe.noes += 1
        return self._out(now)

    def disseminate(self, now: float, table: str, rows: Sequence[Row]) -> list[Instruction]:
        """Pass on rows that were put into a table here; they are news here too."""
        [place] = [place for place, one in enumerate(self.tables) if one.name == table]
        self._fresh[place] += rows
        self._put = True
        self.replicator.fresh(now, VIEW + 1 + place, rows)
        return self._out(now)

    def reported_digests(self, table: str) -> dict[str, bytes]:
        """The digest of a table that each peer told last; empty where it has not caught up."""
        [place] = [place for place, one in enumerate(self.tables, VIEW + 1) if one.name == table]
        return {
            name: digests[place]
            for name, digests in self.replicator.peer_digests.items()
            if len(digests) > place
        }

    def leave(self, now: float) -> list[Instruction]:
        """Say that this scheduler goes, to as many as pass it on."""
        self.leaving = True
        self.self_record = self._word(MemberState.LEFT)
        self.view.apply(now, self.self_record)
        self.replicator.queue_item(VIEW, self.self_record)
        self._say_goodbye(now)
        return self._out(now)

    def _say_goodbye(self, now: float) -> None:
        others = [word for word in self.view.live_members() if word.name != self.self_record.name]
        for word in self._rng.sample(others, min(len(others), 1 + self.timings.helpers)):
            self._ping(now, word, next(self._numbers))

    # ---- probes

    def _probe(self, now: float) -> None:
        """Probe the next of a round in which each comes once, in an order drawn anew (SWIM, section 4.3)."""
        for name in self.view.forget_departed(now):
            self.replicator.peer_digests.pop(name, None)
        if self.leaving:
            self._say_goodbye(now)  # as long as the process still lives: what it says may be lost
            return
        target = self._next()
        # Whoever knows few members, as it has just begun, does not ask these all the time: a whole fleet that
        # begins may know the same few.
        if target is None or now - self.replicator.differed(VIEW, target.address) < ASKED_LATELY:
            return
        number = next(self._numbers)
        self._probes[number] = Probe(target)
        stretch = self.health.timeout_multiplier
        self._at(now + self.timings.ack_within * stretch, "ask", number)
        self._at(now + self.timings.period * stretch, "close", number)
        self._ping(now, target, number)

    def _ping(self, now: float, target: MemberRecord, number: int) -> None:
        words, rows, spent = self._news_for(now, target)
        self._tell(
            now,
            target.address,
            Ping(number, self.self_record, target.name, words, self.replicator.digests(), rows),
            spent,
        )

    def _ack(self, now: float, to: Address, ping: Ping) -> None:
        words, rows, spent = self._news_for(now, ping.sender, (ping.gossip, *ping.rows))
        self._tell(now, to, Ack(ping.number, self.self_record, words, self.replicator.digests(), rows), spent)

    def _next(self) -> MemberRecord | None:
        for fresh in (False, True):
            if fresh:
                self._round = [
                    word.name for word in self.view.live_members() if word.name != self.self_record.name
                ]
                self._rng.shuffle(self._round)
            while self._round:
                word = self.view.get(self._round.pop())
                if word is not None and not word.is_departed:
                    return word
        return None

    def _news_for(
        self, now: float, to: MemberRecord, but: Sequence[Sequence[MemberRecord | Row]] = ()
    ) -> tuple[tuple[MemberRecord, ...], FreshRows, int]:
        """Words and rows for one message, and the bytes of these that are paid for. What is held against its
        receiver goes first, so that it can refute at once (Lifeguard's buddy). Suspicions are in no digest:
        while there are any, words go to one with the same view too.
        """
        held = self.view.get(to.name)
        against = held if held is not None and held.state is not MemberState.ALIVE else None
        room = GOSSIP_LIMIT_BYTES - (against.size if against is not None else 0)
        places = len(self.replicator.tables) if self._areas.carries_rows_to(to) else 1
        (words, *rows), spent = self.replicator.take(
            now, room, to.name, len(self.view), places, VIEW if self._suspicions else -1, but
        )
        if against is not None and against not in words:
            words = (against, *words)
        return words, tuple(rows) if any(rows) else (), spent

    def _ask_for_help(self, now: float, number: int) -> None:
        probe = self._probes.get(number)
        if probe is None:
            return
        others = [
            word
            for word in self.view.live_members()
            if word.name not in (self.self_record.name, probe.target.name) and word.state is MemberState.ALIVE
        ]
        for word in self._rng.sample(others, min(len(others), self.timings.helpers)):
            probe.helpers += 1
            words, _, spent = self._news_for(now, word)
            self._tell(now, word.address, IndirectPing(number, self.self_record, probe.target, words), spent)

    def _help(self, now: float, message: IndirectPing, source: Address) -> None:
        if self.leaving or not message.target.is_valid():
            return
        number = next(self._numbers)
        self._probes[number] = Probe(message.target, message.sender, message.number)
        self._at(now + self.timings.ack_within * 0.8, "no", number)
        self._at(now + self.timings.period, "close", number)
        self._ping(now, message.target, number)

    def _say_no(self, now: float, number: int) -> None:
        probe = self._probes.get(number)
        if probe is not None and probe.asked_by is not None:
            words, _, spent = self._news_for(now, probe.asked_by)
            self._tell(now, probe.asked_by.address, Nack(probe.their_number, self.self_record, words), spent)

    def _acked(self, now: float, message: Ack) -> None:
        probe = self._probes.get(message.number)
        if probe is None or message.sender.name != probe.target.name:
            return
        del self._probes[message.number]
        self._heard_digests(now, message.sender, message.digests)
        if probe.asked_by is None:
            self.health.record_success()
        else:
            self._tell(
                now, probe.asked_by.address, Ack(probe.their_number, message.sender, (), message.digests)
            )

    def _close(self, now: float, number: int) -> None:
        """The time of a probe is over and nothing came."""
        probe = self._probes.pop(number, None)
        if probe is None or probe.asked_by is not None:
            return
        # Helpers that owe a no and gave none say more of this scheduler's link, or loop, than of the target.
        self.health.record_failure(probe.helpers - probe.noes if probe.helpers else 1)
        held = self.view.get(probe.target.name)
        if (
            held is not None
            and held.state in (MemberState.ALIVE, MemberState.SUSPECT)
            and held.instance_id == probe.target.instance_id
        ):
            self._take(now, _said(held, MemberState.SUSPECT, self.self_record.name))

    # ---- what is held of members

    def _word(self, state: MemberState) -> MemberRecord:
        return _said(self.self_record, state, self.self_record.name)

    def _take(self, now: float, word: MemberRecord, repaired: int = 0) -> None:
        """Take a word, refute it where it is wrong about oneself, and pass it on where it was new. Of a word
        that came by repair, `repaired` says among how many.
        """
        if word.name == self.self_record.name:
            self._of_me(now, word)
            return
        held = self.view.get(word.name)
        if held is not None and word.state is MemberState.SUSPECT and precedence(word) == precedence(held):
            # A second one suspects it too: the suspicion grows shorter, and is passed on as theirs.
            suspicion = self._suspicions.get(word.name)
            if suspicion is not None and word.reported_by not in suspicion.reporters:
                suspicion.reporters.add(word.reported_by)
                self.replicator.queue_item(VIEW, word)
                self._judge_by(self._ends(suspicion))
            return
        if not self.view.apply(now, word):
            return
        if repaired:
            self.replicator.queue_repaired(now, VIEW, word, len(self.view), repaired)
        else:
            self.replicator.queue_item(VIEW, word)
        if word.state is MemberState.SUSPECT:
            suspicion = self._suspicions[word.name] = Suspicion(word, now, {word.reported_by})
            self._judge_by(self._ends(suspicion))
        else:
            self._suspicions.pop(word.name, None)
        before = held.state if held is not None else None
        if held is None or (held.state, held.instance_id) != (word.state, word.instance_id):
            self._effects.append(MemberStateChanged(word, before))

    def _of_me(self, now: float, word: MemberRecord) -> None:
        if word.instance_id != self.self_record.instance_id:
            if precedence(word) <= precedence(self.self_record) or self.superseded:
                return
            if word.is_departed or word.address == self.self_record.address:
                # It is said of a life before this one, by a clock that stood ahead: nobody else is here.
                self._refute(now, word)
            else:
                self.superseded = True
                self._effects.append(Superseded(word))
            return
        if self.leaving or self.superseded or word.state is MemberState.ALIVE:
            return
        if word.incarnation >= self.self_record.incarnation:
            self.health.record_failure()
            self._refute(now, word)

    def _refute(self, now: float, word: MemberRecord) -> None:
        """Say that one lives, by a word that beats the rumour wherever they meet."""
        me = self.self_record
        self.self_record = MemberRecord(
            me.name,
            me.host,
            me.port,
            me.zone,
            word.incarnation + 1,
            me.instance_id,
            reported_by=me.name,
            region=me.region,
        )
        self.view.apply(now, self.self_record)
        self.replicator.queue_item(VIEW, self.self_record)

    def _ends(self, suspicion: Suspicion) -> float:
        return suspicion.since + suspicion_timeout_s(
            self.timings, self.view.live_count, len(suspicion.reporters) - 1
        )

    def _judge_by(self, when: float) -> None:
        """Judge by then. One alarm is enough, however many are suspected: with one for each, and each of them
        set again for all the others, their number doubled with every judgement.
        """
        if when < self._judge_at:
            self._judge_at = when
            self._at(when, "judge")

    def _judge(self, now: float) -> None:
        """Declare dead those whose suspicion has lasted its time; the others are looked at again."""
        if now < self._judge_at:
            return  # an alarm that an earlier one has taken the place of
        self._judge_at = math.inf
        for name, suspicion in list(self._suspicions.items()):
            if now < self._ends(suspicion):
                continue
            del self._suspicions[name]
            held = self.view.get(name)
            if held is not None and held.state is MemberState.SUSPECT:
                self._take(now, _said(held, MemberState.DEAD, self.self_record.name))
        if self._suspicions:
            self._judge_by(min(self._ends(suspicion) for suspicion in self._suspicions.values()))

    # ---- rows, digests and repair

    def _take_fresh(self, now: float, fresh: FreshRows) -> None:
        for place, rows in enumerate(fresh[: len(self.tables)]):
            self._take_rows(now, place, rows, False)

    def _take_rows(
        self, now: float, place: int, rows: Sequence[Row], repaired: bool
    ) -> tuple[int, list[str]]:
        """Take rows into a table; how many are new, and the keys of those of which a newer one is held."""
        gained, newer = 0, []
        for row in rows:
            taken = self.tables[place].apply(row)
            if taken is ApplyResult.NEW:
                gained += 1
                self._fresh[place].append(row)
                if repaired:
                    self.replicator.queue_repaired(now, VIEW + 1 + place, row, len(self.view), len(rows))
                else:
                    self.replicator.fresh(now, VIEW + 1 + place, [row])
            elif taken in (ApplyResult.OLD, ApplyResult.CONFLICT):
                newer.append(row.key)
        return gained, newer

    def _take_words(self, now: float, words: Sequence[MemberRecord]) -> tuple[int, list[str]]:
        gained, newer = 0, []
        for word in words:
            if not word.is_valid():
                continue
            number = self.view.change_count
            self._take(now, word, len(words))
            held = self.view.get(word.name)
            gained += self.view.change_count != number
            if held is not None and precedence(held) > precedence(word):
                newer.append(word.name)
        return gained, newer

    def _heard_digests(self, now: float, sender: MemberRecord, digests: tuple[bytes, ...]) -> None:
        if sender.name in self.view and sender.name != self.self_record.name:
            out = self.replicator.receive_digests(now, sender.name, sender.address, digests)
            if not (self.leaving or self.superseded):
                self._send(now, out)

    def _exchange(self, now: float, message: RepairMessage, source: Address) -> None:
        part = message.part
        if message.sender is not None and message.sender.is_valid():
            self._take(now, message.sender)
        if isinstance(part, Compare | Items):
            self._send(now, self.replicator.answer(now, source, part, self._others))
            return
        if part.table == VIEW:
            gained, newer = self._take_words(now, unpack(part.packed, _words))
        elif 0 <= (place := part.table - VIEW - 1) < len(self.tables):
            gained, newer = self._take_rows(now, place, unpack(part.packed, _rows), not part.fresh)
        else:
            return
        self._send(now, self.replicator.taken(now, source, part, gained, newer, self._others))

    def _others(self) -> list[Address]:
        """Some that live."""
        others = [
            word.address for word in self.view if not word.is_departed and word.name != self.self_record.name
        ]
        return self._rng.sample(others, min(len(others), self.timings.helpers))

    def _sync(self, now: float) -> None:
        """Repair with one that lately told another digest, or with a seed while nobody is known. At times a
        range is compared though all agree, in case their digests hide something.
        """
        if self.leaving or self.superseded:
            return
        if self.view.live_count > 1:
            for place in range(len(self.replicator.tables)):
                self._send(now, self.replicator.consider(now, place, True, self._others))
            if self._rng.random() < ANYWAY and (others := self._others()):
                self._send(now, self.replicator.look(now, others[0]))
        elif self._seeds:
            seed = self._rng.choice(self._seeds)
            for place in range(len(self.replicator.tables)):
                self._send(now, self.replicator.ask(now, place, seed))

    def _reach_the_gone(self, now: float) -> None:
        """Repair with one that is held dead, or a seed that nobody lives at. Guards against two halves of a
        fleet that hold each other dead for good once what was cut is whole.
        """
        held = {word.address for word in self.view.live_members()}
        dead = [word.address for word in self.view if word.state is MemberState.DEAD]
        gone = sorted({*dead, *self._seeds} - held)
        if gone and not self.leaving:
            self._send(now, self.replicator.ask(now, VIEW, self._rng.choice(gone)))

    # ---- out

    def _at(self, when: float, what: str, number: int = 0) -> None:
        heappush(self._due, (when, next(self._numbers), what, number))

    def _tell(self, now: float, to: Address, message: Message, paid: int = 0) -> None:
        """Send a message that goes whatever the budget has left; so many of its bytes are paid for."""
        self.replicator.budget.charge(now, AROUND + message_size(message) - paid)
        self._effects.append(SendMessage(to, message))

    def _send(self, now: float, out: Sequence[OutgoingMessage]) -> None:
        """Send parts of repairs, which the budget has let through."""
        for one in out:
            asks = isinstance(one.message, Compare) and one.message.answer
            self._effects.append(
                SendMessage(one.to, RepairMessage(one.message, self.self_record if asks else None))
            )

    def _out(self, now: float) -> list[Instruction]:
        self.replicator.settle(now)
        due = self.replicator.anti_entropy.due()
        if due is not None and due < self._repair_due:
            self._repair_due = due
            self._at(due, "repair")
        if self.replicator.pushes and not self._push_due:
            self._push_due = True
            self._at(now + GATHER, "push")
        for table, fresh in zip(self.tables, self._fresh, strict=True):
            if fresh:
                self._effects.append(RowsChanged(table.name, tuple(fresh)))
                fresh.clear()
        effects, self._effects = self._effects, []
        return effects


def _said(word: MemberRecord, state: MemberState, by: str) -> MemberRecord:
    """The same word with another state, as said by someone."""
    return MemberRecord(
        word.name, word.host, word.port, word.zone, word.incarnation, word.instance_id, state, by, word.region
    )
