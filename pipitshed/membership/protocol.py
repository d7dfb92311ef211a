"""The protocol of one scheduler: messages and times in, messages and news out."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from itertools import count

from pipitshed.membership.members import Address, State, Word, rank
from pipitshed.membership.messages import ROOM, Ack, Help, Message, Nack, Ping, Sync
from pipitshed.membership.rumours import Rumours
from pipitshed.membership.timing import Health, Scales, suspicion_lasts
from pipitshed.membership.view import View


ANYWAY = 0.1  # part of the full exchanges that are held though all told the same view


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a message."""

    to: Address
    message: Message


@dataclass(frozen=True, slots=True)
class News:
    """A member's state has changed in this view, from what was held before (None: it was unknown)."""

    word: Word
    before: State | None


@dataclass(frozen=True, slots=True)
class Displaced:
    """Another process holds this one's name, and came later."""

    by: Word


Effect = Tell | News | Displaced


@dataclass(slots=True)
class _Probe:
    """A probe that is out, of this scheduler's own round or for another that asked for help."""

    target: Word
    asked_by: Word | None = None  # whom the answer is passed to
    their_number: int = 0
    helpers: int = 0  # asked, each of which owes an answer or a no
    noes: int = 0


@dataclass(slots=True)
class _Suspicion:
    """Since when one is suspected, and who said so."""

    word: Word
    since: float
    said_by: set[str] = field(default_factory=set)


class Membership:
    """One scheduler's part. Times are seconds of any clock that only goes forward."""

    def __init__(self, me: Word, scales: Scales, seeds: list[Address], rng: random.Random,
                 now: float) -> None:
        self.me = me
        self.scales = scales
        self.view = View(scales.tombstones)
        self.health = Health()
        self.rumours = Rumours()
        self.displaced = False
        self.leaving = False
        self.heard_views: dict[str, str] = {}  # the digest that each one's last answer told of its view
        self._seeds = [seed for seed in seeds if seed != me.address]
        self._rng = rng
        self._numbers = count(rng.randrange(1 << 30))
        self._probes: dict[int, _Probe] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._round: list[str] = []  # names still to be probed in this round
        self._due: list[tuple[float, int, str, int]] = []  # when, order, what, a probe's number
        self._judge_at = math.inf  # the next judgement that is due
        self._effects: list[Effect] = []
        self.view.take(now, me)
        self.rumours.add(me)
        # Spread over a period, as many may start at once.
        self._at(now + rng.random() * scales.period, "probe")
        self._at(now, "sync")
        self._at(now + scales.sync_with_gone * (0.5 + rng.random()), "gone")

    # ---- in

    def due(self) -> float:
        """When `tick` has something to do."""
        return self._due[0][0]

    def tick(self, now: float) -> list[Effect]:
        """Do what has come due."""
        self._late(now)
        while self._due and self._due[0][0] <= now:
            _, _, what, number = heappop(self._due)
            if what == "probe":
                self._at(now + self.scales.period, "probe")
                self._probe(now)
            elif what == "ask":
                self._ask_for_help(now, number)
            elif what == "close":
                self._close(now, number)
            elif what == "no":
                self._say_no(number)
            elif what == "sync":
                self._at(now + self.scales.sync * (0.5 + self._rng.random()), "sync")
                self._sync()
            elif what == "gone":
                self._at(now + self.scales.sync_with_gone * (0.5 + self._rng.random()), "gone")
                self._reach_the_gone()
            else:
                self._judge(now)
        return self._out()

    def _late(self, now: float) -> None:
        """Put off all judgement where this scheduler's own loop stood still. Guards against one that was
        stopped, or had no core, and wakes to find all its probes unanswered: the answers stand in its
        sockets, still to be read, and so do refutations of what it suspects."""
        late = now - self._due[0][0]
        if late <= self.scales.period:
            return
        self.health.unwell(2)
        for suspicion in self._suspicions.values():
            suspicion.since += late
        again = now + self.scales.ack_within * self.health.stretch
        self._due = [(max(when, again) if what in ("ask", "close") else when, order, what, number)
                     for when, order, what, number in self._due]
        heapify(self._due)

    def hear(self, now: float, message: Message, source: Address) -> list[Effect]:
        """Take a message that came from `source`."""
        sender = message.sender
        words = message.words if isinstance(message, Sync) else message.rumours
        for word in (sender, *words):
            if word.sound():
                self._take(now, word)
        if isinstance(message, Ping):
            self._heard_view(sender.name, message.digest)
            if message.target == self.me.name and not self.leaving:
                self._tell(source, Ack(message.number, self.me, self._words(sender), self.view.digest()))
        elif isinstance(message, Help):
            self._help(now, message, source)
        elif isinstance(message, Ack):
            self._acked(message)
        elif isinstance(message, Nack):
            if (probe := self._probes.get(message.number)) is not None:
                probe.noes += 1
        elif message.answer:
            self._tell(source, Sync(self.me, False, tuple(self.view)))
        return self._out()

    def leave(self, now: float) -> list[Effect]:
        """Say that this scheduler goes, to as many as pass it on."""
        self.leaving = True
        self.me = self._word(State.LEFT)
        self.view.take(now, self.me)
        self.rumours.add(self.me)
        self._say_goodbye()
        return self._out()

    def _say_goodbye(self) -> None:
        others = [word for word in self.view.living() if word.name != self.me.name]
        for word in self._rng.sample(others, min(len(others), 1 + self.scales.helpers)):
            self._ping(word, next(self._numbers))

    # ---- probes

    def _probe(self, now: float) -> None:
        """Probe the next of a round in which each comes once, in an order drawn anew (SWIM, section 4.3)."""
        for name in self.view.bury(now):
            self.heard_views.pop(name, None)
        if self.leaving:
            self._say_goodbye()  # as long as the process still lives: what it says may be lost
            return
        target = self._next()
        if target is None:
            return
        number = next(self._numbers)
        self._probes[number] = _Probe(target)
        stretch = self.health.stretch
        self._at(now + self.scales.ack_within * stretch, "ask", number)
        self._at(now + self.scales.period * stretch, "close", number)
        self._ping(target, number)

    def _ping(self, target: Word, number: int) -> None:
        self._tell(target.address, Ping(number, self.me, target.name, self._words(target),
                                        self.view.digest()))

    def _next(self) -> Word | None:
        for fresh in (False, True):
            if fresh:
                self._round = [word.name for word in self.view.living() if word.name != self.me.name]
                self._rng.shuffle(self._round)
            while self._round:
                word = self.view.get(self._round.pop())
                if word is not None and not word.gone:
                    return word
        return None

    def _words(self, to: Word) -> tuple[Word, ...]:
        """Rumours for one message. What is held against its receiver goes first, so that it can refute at
        once (Lifeguard's buddy)."""
        held = self.view.get(to.name)
        if held is None or held.state is State.ALIVE:
            return self.rumours.take(ROOM, len(self.view))
        words = self.rumours.take(ROOM - held.size, len(self.view))
        return words if held in words else (held, *words)

    def _ask_for_help(self, now: float, number: int) -> None:
        probe = self._probes.get(number)
        if probe is None:
            return
        others = [word for word in self.view.living()
                  if word.name not in (self.me.name, probe.target.name) and word.state is State.ALIVE]
        for word in self._rng.sample(others, min(len(others), self.scales.helpers)):
            probe.helpers += 1
            self._tell(word.address, Help(number, self.me, probe.target, self._words(word)))

    def _help(self, now: float, message: Help, source: Address) -> None:
        if self.leaving or not message.target.sound():
            return
        number = next(self._numbers)
        self._probes[number] = _Probe(message.target, message.sender, message.number)
        self._at(now + self.scales.ack_within * 0.8, "no", number)
        self._at(now + self.scales.period, "close", number)
        self._ping(message.target, number)

    def _say_no(self, number: int) -> None:
        probe = self._probes.get(number)
        if probe is not None and probe.asked_by is not None:
            self._tell(probe.asked_by.address, Nack(probe.their_number, self.me, self._words(probe.asked_by)))

    def _acked(self, message: Ack) -> None:
        probe = self._probes.get(message.number)
        if probe is None or message.sender.name != probe.target.name:
            return
        del self._probes[message.number]
        self._heard_view(message.sender.name, message.digest)
        if probe.asked_by is None:
            self.health.well()
        else:
            self._tell(probe.asked_by.address, Ack(probe.their_number, message.sender, (), message.digest))

    def _close(self, now: float, number: int) -> None:
        """The time of a probe is over and nothing came."""
        probe = self._probes.pop(number, None)
        if probe is None or probe.asked_by is not None:
            return
        # Helpers that owe a no and gave none say more of this scheduler's link, or loop, than of the target.
        self.health.unwell(probe.helpers - probe.noes if probe.helpers else 1)
        held = self.view.get(probe.target.name)
        if held is not None and held.state in (State.ALIVE, State.SUSPECT) and held.life == probe.target.life:
            self._take(now, _said(held, State.SUSPECT, self.me.name))

    def _heard_view(self, name: str, digest: str) -> None:
        if name in self.view:
            self.heard_views[name] = digest

    # ---- what is held of members

    def _word(self, state: State) -> Word:
        return _said(self.me, state, self.me.name)

    def _take(self, now: float, word: Word) -> None:
        """Take a word, refute it where it is wrong about oneself, and pass it on where it was new."""
        if word.name == self.me.name:
            self._of_me(now, word)
            return
        held = self.view.get(word.name)
        if held is not None and word.state is State.SUSPECT and rank(word) == rank(held):
            # A second one suspects it too: the suspicion grows shorter, and is passed on as theirs.
            suspicion = self._suspicions.get(word.name)
            if suspicion is not None and word.said_by not in suspicion.said_by:
                suspicion.said_by.add(word.said_by)
                self.rumours.add(word)
                self._judge_by(self._ends(suspicion))
            return
        if not self.view.take(now, word):
            return
        self.rumours.add(word)
        if word.state is State.SUSPECT:
            suspicion = self._suspicions[word.name] = _Suspicion(word, now, {word.said_by})
            self._judge_by(self._ends(suspicion))
        else:
            self._suspicions.pop(word.name, None)
        before = held.state if held is not None else None
        if held is None or (held.state, held.life) != (word.state, word.life):
            self._effects.append(News(word, before))

    def _of_me(self, now: float, word: Word) -> None:
        if word.life != self.me.life:
            if rank(word) > rank(self.me) and not word.gone and not self.displaced:
                self.displaced = True
                self._effects.append(Displaced(word))
            elif rank(word) > rank(self.me) and not self.displaced:
                self._refute(now, word)  # it is said of a life before this one, by a clock that stood ahead
            return
        if self.leaving or self.displaced or word.state is State.ALIVE:
            return
        if word.incarnation >= self.me.incarnation:
            self.health.unwell()
            self._refute(now, word)

    def _refute(self, now: float, word: Word) -> None:
        """Say that one lives, by a word that beats the rumour wherever they meet."""
        me = self.me
        self.me = Word(me.name, me.host, me.port, me.zone, word.incarnation + 1, me.life, said_by=me.name)
        self.view.take(now, self.me)
        self.rumours.add(self.me)

    def _ends(self, suspicion: _Suspicion) -> float:
        return suspicion.since + suspicion_lasts(self.scales, self.view.alive, len(suspicion.said_by) - 1)

    def _judge_by(self, when: float) -> None:
        """Judge by then. One alarm is enough, however many are suspected: with one for each, and each of them
        set again for all the others, their number doubled with every judgement."""
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
            if held is not None and held.state is State.SUSPECT:
                self._take(now, _said(held, State.DEAD, self.me.name))
        if self._suspicions:
            self._judge_by(min(self._ends(suspicion) for suspicion in self._suspicions.values()))

    # ---- full exchanges

    def _sync(self) -> None:
        """Exchange all with one that is alive and last told of another view, or with a seed while nobody is
        known. Where all told the same view, one exchange in so many goes to anyone, in case what was told is
        old; so what is sent does not grow with a fleet that agrees."""
        digest, others, differ = self.view.digest(), [], []
        for word in self.view:
            if not word.gone and word.name != self.me.name:
                others.append(word.address)
                if self.heard_views.get(word.name, digest) != digest:
                    differ.append(word.address)
        known = differ or (others if self._rng.random() < ANYWAY else []) if others else self._seeds
        if known and not self.leaving:
            self._tell(self._rng.choice(known), Sync(self.me, True, tuple(self.view)))

    def _reach_the_gone(self) -> None:
        """Exchange with one that is held dead, or a seed that nobody lives at. Guards against two halves of a
        fleet that hold each other dead for good once what was cut is whole."""
        held = {word.address for word in self.view.living()}
        dead = [word.address for word in self.view if word.state is State.DEAD]
        gone = sorted({*dead, *self._seeds} - held)
        if gone and not self.leaving:
            self._tell(self._rng.choice(gone), Sync(self.me, True, tuple(self.view)))

    # ---- out

    def _at(self, when: float, what: str, number: int = 0) -> None:
        heappush(self._due, (when, next(self._numbers), what, number))

    def _tell(self, to: Address, message: Message) -> None:
        self._effects.append(Tell(to, message))

    def _out(self) -> list[Effect]:
        effects, self._effects = self._effects, []
        return effects


def _said(word: Word, state: State, by: str) -> Word:
    """The same word with another state, as said by someone."""
    return Word(word.name, word.host, word.port, word.zone, word.incarnation, word.life, state, by)
