"""Who acts on which rows: members tell a row's writer once they act on it, and the writer asks those that did
not. A row is in force only where every living member has said so of this very row, in its present life.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from pipitshed.replication.row import Row
from pipitshed.replication.row_table import RowTable

RATE = 4500.0  # bytes a second in which all members together tell one writer
FRAME = 24  # bytes around a message: the edge's head, and a cluster's name of usual length
ASKED_MOST = 8  # rows that one message asks for
TOLD_MOST = 2  # rows that one tells of unasked; the digest tells of all
REFUSED_MOST, REASON_LIMIT = 4, 80  # refusals in one message, and characters of a reason
ASK_AFTER = 0.4  # s beyond the time in which all should have told, from which the others are asked
ASK_AGAIN = 1.0  # s between two questions to one member
ASK_EVERY = 0.25  # s
ASKED_AT_ONCE = int(RATE * ASK_EVERY / 160)  # a question and its answer are 80 bytes each, about
WATCHED = 256  # rows whose confirmations are kept
INTEREST = 10.0  # s for which they are asked for after someone wanted to know

_encoder = msgspec.msgpack.Encoder()


class AppliedReport(msgspec.Struct, frozen=True, array_like=True, tag=32):
    """I act on all rows of the table with this digest, and on these by their content, but not on what I
    refuse. `more`: not all that is refused stands here.
    """

    sender: str
    instance_id: int
    sequence: int  # counts what the sender has acted on so far: of two messages the later one holds
    digest: bytes
    rows: tuple[int, ...] = ()
    rejected: tuple[tuple[int, str], ...] = ()  # rows by their content, and reasons
    has_more_rejections: bool = False


class AppliedQuery(msgspec.Struct, frozen=True, array_like=True, tag=33):
    """Do you act on the rows of these keys?"""

    sender: str
    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class AppliedState:
    """What one scheduler acts on."""

    digest: bytes = b""  # of the table that it was made from
    rows: Mapping[str, Row] = field(default_factory=dict)  # what that held, by key
    applied: Mapping[str, Row] = field(default_factory=dict)  # by key; deleted rows count
    rejected: Mapping[str, str] = field(default_factory=dict)  # why, by key


@dataclass(slots=True)
class _Watch:
    """What is known of one row's confirmations."""

    row: Row
    content: int
    since: float
    until: float  # interest
    lives: dict[str, int] = field(default_factory=dict)  # who acts on it, in which life
    refused: dict[str, tuple[int, str]] = field(default_factory=dict)  # life and reason


@dataclass(frozen=True, slots=True)
class CommitStatus:
    """Who acts on a row, and who does not."""

    appliers: tuple[str, ...]
    missing: tuple[tuple[str, str], ...]  # name, and the reason of one that refuses
    superseded: Row | None = None  # what is held in its place

    @property
    def in_force(self) -> bool:
        """Whether every living member acts on it."""
        return not self.missing and self.superseded is None


LiveInstances = Mapping[str, int]  # members that live, and in which life
Said = tuple[str, AppliedReport | AppliedQuery]  # to whom, by name


class Confirmations:
    """One scheduler's part: what it owes the writers, and what it knows as one. Times are seconds of any
    clock that only goes forward.
    """

    def __init__(self, me: str, life: int, table: RowTable, rng: random.Random) -> None:
        self.state = AppliedState()
        self._me, self._life = me, life
        self._table = table
        self._rng = rng
        self._owed: dict[str, tuple[float, dict[str, None]]] = {}  # by writer: when, and keys
        self._watches: dict[str, _Watch] = {}  # by key
        self._asked: dict[str, float] = {}
        self._heard: dict[str, tuple[int, int]] = {}  # life and `at` of each one's last message
        self._at = 0
        self._ask_at = float("inf")

    # ---- as a member

    def record_applied(self, now: float, state: AppliedState, changed: Iterable[Row], fleet: int) -> None:
        """This scheduler acts on (or refuses) these rows from now on; it tells their writers, each at a time
        drawn so that all members together keep to the rate.
        """
        self.state = state
        self._at += 1
        for row in changed:
            if row.writer == self._me:
                continue
            if row.writer not in self._owed:
                delay = self._rng.random() * self._lasts(fleet)
                self._owed[row.writer] = now + delay, {}
            self._owed[row.writer][1][row.key] = None

    def _lasts(self, fleet: int) -> float:
        """How long (s) all members tell of one row, if their words are as long as this one's."""
        mine = AppliedReport(self._me, self._life, self._at, self.state.digest, (2**63,))
        return fleet * (FRAME + len(_encoder.encode(mine))) / RATE

    def answer_query(self, message: AppliedQuery) -> AppliedReport:
        """The answer to a question."""
        return self._told(message.keys[:ASKED_MOST])

    def _told(self, keys: Iterable[str]) -> AppliedReport:
        chosen = tuple(keys)
        acted, refused = self.state.applied, self.state.rejected
        first = sorted(refused, key=lambda key: key not in chosen)
        return AppliedReport(
            self._me,
            self._life,
            self._at,
            self.state.digest,
            tuple(acted[key].content_hash for key in chosen if key in acted),
            tuple(
                (self.state.rows[key].content_hash, refused[key][:REASON_LIMIT])
                for key in first[:REFUSED_MOST]
            ),
            len(refused) > REFUSED_MOST,
        )

    # ---- as a writer, or whoever is asked

    def watch(self, now: float, row: Row) -> None:
        """Keep who acts on this row; ask those who don't say so."""
        watch = self._watches.get(row.key)
        if watch is None or watch.content != row.content_hash:
            self._watches.pop(row.key, None)
            if len(self._watches) >= WATCHED:
                del self._watches[next(iter(self._watches))]
            watch = self._watches[row.key] = _Watch(row, row.content_hash, now, now)
        watch.until = now + INTEREST
        self._ask_at = min(self._ask_at, now + ASK_EVERY)

    def receive_report(self, message: AppliedReport, living: LiveInstances) -> None:
        """A member has told what it acts on. One that is not known in this life says nothing of it."""
        life, at = self._heard.get(message.sender, (0, 0))
        if living.get(message.sender) != message.instance_id or (
            life == message.instance_id and message.sequence < at
        ):
            return
        self._heard[message.sender] = message.instance_id, message.sequence
        # Guards against a digest that covers rows which the sender refuses and has no room to name.
        all_of_it = message.digest == self._table.digest() and not message.has_more_rejections
        refused, rows = dict(message.rejected), set(message.rows)
        for key, watch in self._watches.items():
            if watch.content in rows or (
                all_of_it and watch.content not in refused and self._table.get(key) == watch.row
            ):
                watch.lives[message.sender] = message.instance_id
                watch.refused.pop(message.sender, None)
            elif watch.content in refused:
                watch.refused[message.sender] = message.instance_id, refused[watch.content]
                watch.lives.pop(message.sender, None)

    def status(self, now: float, row: Row, living: LiveInstances) -> CommitStatus:
        """Who acts on a row now."""
        held = self._table.get(row.key)
        if held != row:
            return CommitStatus((), (), held if held is not None else row)
        self.watch(now, row)
        watch = self._watches[row.key]
        missing = self._missing(watch, living)
        acting = [name for name in living if name not in missing]
        return CommitStatus(tuple(sorted(acting)), tuple(sorted(missing.items())))

    def _missing(self, watch: _Watch, living: LiveInstances) -> dict[str, str]:
        """Those who don't act on a row, and why where they said so."""
        mine = self.state.applied.get(watch.row.key)
        missing: dict[str, str] = {}
        for name, life in living.items():
            if name == self._me:
                if mine is None or mine.content_hash != watch.content:
                    missing[name] = self.state.rejected.get(watch.row.key, "")
            elif watch.lives.get(name) != life:
                told = watch.refused.get(name)
                missing[name] = told[1] if told is not None and told[0] == life else ""
        return missing

    # ---- time

    def next_due_at(self) -> float:
        """When `tick` has something to do."""
        return min([self._ask_at, *(when for when, _ in self._owed.values())])

    def handle_timeouts(self, now: float, living: LiveInstances) -> list[Said]:
        """What is to be said now."""
        said: list[Said] = []
        for writer, (when, keys) in list(self._owed.items()):
            if when <= now:
                del self._owed[writer]
                if writer in living:
                    said.append((writer, self._told(keys if len(keys) <= TOLD_MOST else ())))
        if self._ask_at <= now:
            said += self._questions(now, living)
        return said

    def _questions(self, now: float, living: LiveInstances) -> list[Said]:
        """Ask those who have not told of rows that someone waits for, so many at a time."""
        wait = self._lasts(len(living)) + ASK_AFTER
        wanted = [watch for watch in self._watches.values() if watch.until > now]
        self._ask_at = now + ASK_EVERY if wanted else float("inf")
        self._asked = {name: when for name, when in self._asked.items() if name in living}
        self._heard = {name: told for name, told in self._heard.items() if name in living}
        open_: dict[str, list[str]] = {}
        for watch in wanted:
            if now - watch.since >= wait:
                for name, why in self._missing(watch, living).items():
                    if name != self._me and not why:
                        open_.setdefault(name, []).append(watch.row.key)
        late = sorted((self._asked.get(name, 0.0), name) for name in open_)
        said: list[Said] = []
        for when, name in late[:ASKED_AT_ONCE]:
            if now - when >= ASK_AGAIN or name not in self._asked:
                self._asked[name] = now
                said.append((name, AppliedQuery(self._me, tuple(open_[name][:ASKED_MOST]))))
        return said
