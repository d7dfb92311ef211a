"""Settings by row, with no socket: what a row may change, how rows lie over a file, and who confirms them."""

from __future__ import annotations

import copy
import json
import random
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import SETTINGS

from pipitshed.cluster import row_store as rowsfile
from pipitshed.cluster.codec import Codec
from pipitshed.cluster.row_store import StoredRows
from pipitshed.config.errors import RowRejectedError
from pipitshed.config.row_overlay import Overlay, check, file_value, overlay
from pipitshed.config.settings_parser import settings_from
from pipitshed.replication.commit_tracking import (
    MAX_REPORTED_ROWS,
    MAX_WATCHED_ROWS,
    QUERY_DELAY_S,
    QUERY_RETRY_S,
    REPORT_RATE_BYTES_PER_S,
    AppliedQuery,
    AppliedReport,
    AppliedState,
    Confirmations,
)
from pipitshed.replication.row import Row, precedence
from pipitshed.replication.row_table import RowTable

SHARE, GOAL = "tenant/andes-retail/share", "class/quote/goalTime"


def raw(**settings: object) -> dict[str, Any]:
    """A file as it is read."""
    told: dict[str, Any] = json.loads(json.dumps({"name": "n0", "settings": SETTINGS | settings}))
    return told


def row(key: str = SHARE, body: bytes = b"0.4", number: int = 1, **more: Any) -> Row:
    return Row(key, 1, number, "s1", body, **more)


def test_rows_change_what_the_file_says_and_nothing_beside_it() -> None:
    file = raw()
    before = copy.deepcopy(file)
    rows = [
        row(),
        row(GOAL, b"1500"),
        row("class/book/gain", b"2e1"),
        row("tenant/andes-retail/allowancePerS", b"", deleted=True),
    ]
    laid = overlay(file, rows)
    assert file == before and not laid.rejected
    assert laid.applied == {one.key: one for one in rows}
    assert laid.raw["settings"]["tenants"] == [before["settings"]["tenants"][0] | {"share": 0.4}]
    settings = settings_from(laid.raw["settings"])
    assert (settings.classes[0].latency_objective_ms, settings.classes[1].priority_weight) == (1500.0, 20.0)
    assert settings.tenants[0].quota_per_s == 1000.0  # a deleted row leaves it to the file
    assert (file_value(file, GOAL), file_value(file, "class/book/gain")) == (2500.0, None)
    assert file_value(file, "nothing") is None


@pytest.mark.parametrize(
    ("changed", "why"),
    [
        ({"key": "tenant/nobody/share"}, "no tenant 'nobody'"),
        ({"key": "class/rush/deadline"}, "no class 'rush'"),
        ({"key": "class/quote/repeat"}, "'repeat' can't be changed"),
        ({"key": "class/quote/window"}, "'window' can't be changed"),
        ({"key": "tenant/andes-retail/name"}, "'name' can't be changed"),
        ({"key": "zone/lima-norte/share"}, "a key is"),
        ({"key": "tenant/share"}, "a key is"),
        ({"key": ""}, "a key is"),
        ({"format_version": 2}, "form 2"),
        *(
            ({"body": body}, "a JSON number")
            for body in (
                b"",
                b"soon",
                b'"1"',
                b"true",
                b"null",
                b"[1]",
                b" 1",
                b"1 ",
                b"01",
                b"1.",
                b".5",
                b"+1",
                b"NaN",
                b"Infinity",
                b"1,2",
                b"0x1",
                b"\xff",
                b"1" * 33,
            )
        ),
        ({"body": b"1e999"}, "share is not a number"),
        ({"body": b"-0.5"}, "share = -0.5 is out of range"),
        ({"key": "class/quote/deadline", "body": b"0"}, "deadline = 0.0 is not a positive number"),
    ],
)
def test_a_row_that_cant_be_is_refused_with_its_reason_and_the_old_one_stands(
    changed: dict[str, Any], why: str
) -> None:
    bad = row(**changed)
    with pytest.raises(RowRejectedError, match=why):
        check(raw(), bad)
    laid = overlay(raw(), [bad, row(GOAL, b"1500")])
    assert laid.rejected == {bad.key: pytest.approx(laid.rejected[bad.key])} and why in laid.rejected[bad.key]
    assert set(laid.applied) == {GOAL}
    if bad.key == SHARE:  # where one was acted on before, it stands
        old = row(body=b"0.25")
        laid = overlay(raw(), [row(number=2, **changed)], {SHARE: old})
        assert laid.applied == {SHARE: old} and SHARE in laid.rejected
        assert laid.raw["settings"]["tenants"][0]["share"] == 0.25


def test_a_row_whose_key_a_new_file_lacks_is_refused_and_acted_on_again_where_it_comes_back() -> None:
    only = raw(services=SETTINGS["services"][1:])
    stood = overlay(raw(), [row(GOAL, b"1500")]).applied
    laid = overlay(only, [row(GOAL, b"1500")], stood)
    assert laid == Overlay(laid.raw, {}, {GOAL: "the settings in force have no class 'quote'"})
    assert laid.raw["settings"]["services"] == only["settings"]["services"]
    assert overlay(raw(), [row(GOAL, b"1500")], laid.applied).applied == stood


def test_a_class_of_gearmans_functions_is_refused_and_no_other() -> None:
    laid = overlay(
        raw(), [row(GOAL, b"1500"), row("class/book/goalTime", b"1500"), row()], fixed_classes={"book"}
    )
    assert set(laid.applied) == {GOAL, SHARE} and "Gearman's" in laid.rejected["class/book/goalTime"]


def test_a_name_that_stands_twice_or_holds_a_slash_is_no_riddle() -> None:
    twice = raw(tenants=SETTINGS["tenants"] * 2)
    assert "more than one tenant" in overlay(twice, [row()]).rejected[SHARE]
    slash = raw(tenants=[{"name": "a/b", "share": 1.0, "allowancePerS": 5.0}])
    assert overlay(slash, [row("tenant/a/b/share", b"0.5")]).raw["settings"]["tenants"][0]["share"] == 0.5


KEYS = st.sampled_from([SHARE, GOAL, "class/rush/gain", "tenant//share", "x"]) | st.text()
BODIES = st.binary(max_size=40) | st.floats().map(lambda x: repr(x).encode())


@given(st.lists(st.builds(row, KEYS, BODIES, format_version=st.sampled_from([1, 1, 1, 2])), max_size=6))
def test_whatever_rows_come_what_is_laid_is_a_file_that_can_be_used(rows: list[Row]) -> None:
    laid = overlay(raw(), rows)
    settings_from(laid.raw["settings"])
    assert set(laid.applied) <= {SHARE, GOAL}
    assert {one.key for one in rows} == set(laid.applied) | set(laid.rejected)


# ---- the file that keeps them


def test_the_file_gives_back_what_was_kept_and_what_is_damaged_is_left_aside(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    path = tmp_path / "rows"
    assert rowsfile.read(path) == StoredRows() and not caplog.text
    kept = StoredRows(
        (row(), row(GOAL, b"\xff\x00", format_version=2), row("x", b"", deleted=True)), (row(number=4),)
    )
    rowsfile.write(path, kept)
    assert rowsfile.read(path) == kept
    whole = path.read_bytes()
    flipped = bytearray(whole)
    flipped[len(whole) // 2] ^= 1
    for data in (
        b"",
        b"rows",
        whole[:-1],
        whole[: len(whole) // 2],
        bytes(flipped),
        whole + b" ",
        whole.replace(b"1", b"2", 1),
    ):
        path.write_bytes(data)
        caplog.clear()
        assert rowsfile.read(path) == StoredRows()
        assert caplog.text.count("left aside") == 1 and not path.exists()
        assert (tmp_path / "rows.damaged").read_bytes() == data
    path.mkdir()
    assert rowsfile.read(path) == StoredRows()


def test_a_write_that_is_cut_short_leaves_the_file_of_before(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "rows"
    rowsfile.write(path, StoredRows((row(),)))

    def cut(fd: int) -> None:
        raise OSError("no room")

    monkeypatch.setattr("os.fsync", cut)
    with pytest.raises(OSError, match="no room"):
        rowsfile.write(path, StoredRows((row(number=2),)))
    assert rowsfile.read(path) == StoredRows((row(),))


# ---- who acts on what


class Member:
    """One scheduler without its sockets: its table, and what it acts on once it is told to."""

    def __init__(self, name: str, seed: int = 1, life: int = 1) -> None:
        self.name, self.life = name, life
        self.table = RowTable("settings")
        self.table.caught_up = True
        self.one = Confirmations(name, life, self.table, random.Random(f"{seed}:{name}:{life}"))

    def act(self, now: float, fleet: int, *refused: str) -> None:
        """Act on all that the table holds, but for these keys."""
        before = self.one.state
        acted = {one.key: one for one in self.table if one.key not in refused}
        for key in refused:
            if key in before.applied and before.applied[key] != self.table.get(key):
                acted[key] = before.applied[key]
        told = {key: "no such tenant" for key in refused}
        changed = [
            one
            for one in self.table
            if acted.get(one.key) != before.applied.get(one.key)
            or told.get(one.key) != before.rejected.get(one.key)
        ]
        held = {one.key: one for one in self.table}
        self.one.record_applied(now, AppliedState(self.table.digest(), held, acted, told), changed, fleet)

    def acts_on(self, one: Row) -> bool:
        """Or on one that took its place since."""
        acted = self.one.state.applied.get(one.key)
        return acted is not None and precedence(acted) >= precedence(one)


def pair() -> tuple[Member, Member, Row, dict[str, int]]:
    """A writer with a row of its own that it acts on, and a member that has it too."""
    writer, member = Member("w"), Member("m", life=7)
    one = writer.table.put(SHARE, b"1", "w")
    writer.act(0.0, 2)
    writer.one.watch(0.0, one)
    member.table.apply(one)
    return writer, member, one, {"w": 1, "m": 7}


def test_a_row_is_in_force_once_all_have_said_so_in_their_present_life() -> None:
    writer, member, one, living = pair()
    assert writer.one.status(0.0, one, living).missing == (("m", ""),)
    assert writer.one.status(0.0, one, {"w": 1}).in_force  # alone
    member.act(0.0, 2)
    [(to, told)] = member.one.handle_timeouts(1.0, living)
    assert to == "w" and isinstance(told, AppliedReport)
    writer.one.receive_report(told, living)
    assert writer.one.status(0.0, one, living).in_force
    assert writer.one.status(0.0, one, living | {"m": 8}).missing == (("m", ""),)  # started anew
    assert writer.one.status(0.0, one, living | {"n": 1}).missing == (("n", ""),)  # has joined
    lower = Member("m", life=3)  # lives are drawn: a later one may be the lower
    lower.table.apply(one)
    lower.act(0.0, 2)
    writer.one.receive_report(lower.one.answer_query(AppliedQuery("w", (SHARE,))), living | {"m": 3})
    assert writer.one.status(0.0, one, living | {"m": 3}).in_force
    writer.table.put(SHARE, b"2", "w")
    assert writer.one.status(0.0, one, living).superseded is not None


def test_a_word_of_a_life_before_or_overtaken_by_a_later_one_counts_for_nothing() -> None:
    writer, member, one, living = pair()
    member.act(0.0, 2)
    early = member.one.answer_query(AppliedQuery("w", (SHARE,)))
    writer.one.receive_report(early, living | {"m": 8})
    assert not writer.one.status(0.0, one, living).in_force
    member.act(0.0, 2, SHARE)  # a new file there has no such tenant
    [(_, late)] = member.one.handle_timeouts(1.0, living)
    assert isinstance(late, AppliedReport)
    writer.one.receive_report(late, living)
    writer.one.receive_report(early, living)
    assert writer.one.status(0.0, one, living).missing == (("m", "no such tenant"),)


def test_a_digest_speaks_for_no_row_that_is_refused_named_or_not() -> None:
    writer, member, one, living = pair()
    others = [writer.table.put(f"tenant/t{place}/share", b"1", "w") for place in range(9)]
    writer.act(0.0, 2)
    for other in others:
        writer.one.watch(0.0, other)
        member.table.apply(other)
    member.act(0.0, 2, *(other.key for other in others))
    writer.one.receive_report(member.one.answer_query(AppliedQuery("w", ())), living)
    assert not any(writer.one.status(0.0, row_, living).in_force for row_ in (one, *others))
    writer.one.receive_report(member.one.answer_query(AppliedQuery("w", (SHARE, others[7].key))), living)
    assert writer.one.status(0.0, one, living).in_force
    assert writer.one.status(0.0, others[7], living).missing == (("m", "no such tenant"),)
    member.act(0.0, 2)  # now it knows them all, and one digest says so
    writer.one.receive_report(member.one.answer_query(AppliedQuery("w", ())), living)
    assert all(writer.one.status(0.0, other, living).in_force for other in others)


def test_a_refusal_of_an_older_row_says_nothing_of_a_newer_one() -> None:
    writer, member, _, living = pair()
    member.act(0.0, 2, SHARE)
    newer = writer.table.put(SHARE, b"2", "w")
    writer.act(0.0, 2)
    writer.one.watch(0.0, newer)
    writer.one.receive_report(member.one.answer_query(AppliedQuery("w", (SHARE,))), living)
    assert writer.one.status(0.0, newer, living).missing == (("m", ""),)  # it has not told of this one


def test_one_that_says_nothing_is_asked_again_and_again_while_anyone_waits() -> None:
    writer, _, one, living = pair()
    asked = []
    now = 0.0
    while now < 30.0 and (due := writer.one.next_due_at()) < 30.0:
        now = due
        asked += [
            now
            for to, message in writer.one.handle_timeouts(now, living)
            if isinstance(message, AppliedQuery) and to == "m" and message.keys == (SHARE,)
        ]
    assert asked[0] >= QUERY_DELAY_S and 8 <= len(asked) <= 10 / QUERY_RETRY_S
    assert all(later - earlier >= QUERY_RETRY_S for earlier, later in zip(asked, asked[1:], strict=False))
    assert writer.one.next_due_at() == float("inf")  # nobody waits any more
    writer.one.status(40.0, one, living)
    assert writer.one.next_due_at() < 41.0


def test_six_hundred_that_act_on_twenty_rows_at_once_do_not_swamp_their_writer() -> None:
    count, codec = 600, Codec("pipitshed", b"key")
    writer = Member("scheduler-0")
    rows = [writer.table.put(f"tenant/t{place}/share", b"0.25", writer.name) for place in range(20)]
    writer.act(0.0, count)
    for one in rows:
        writer.one.watch(0.0, one)
    members = [Member(f"scheduler-{place}", life=2**31 + place) for place in range(1, count)]
    living = {member.name: member.life for member in [writer, *members]}
    for member in members:
        for one in rows:
            member.table.apply(one)
        member.act(0.0, count)
    seconds = [0] * 30
    for member in members:
        due = member.one.next_due_at()
        for _, message in member.one.handle_timeouts(due, living):
            assert isinstance(message, AppliedReport) and len(message.rows) <= MAX_REPORTED_ROWS
            seconds[int(due)] += len(codec.encode(message))
            writer.one.receive_report(message, living)
    assert max(seconds) < 1.3 * REPORT_RATE_BYTES_PER_S, seconds
    assert all(writer.one.status(20.0, one, living).in_force for one in rows)


def test_what_is_kept_is_bounded_and_who_has_gone_is_forgotten() -> None:
    writer, member, one, living = pair()
    for place in range(MAX_WATCHED_ROWS + 50):
        writer.one.watch(0.0, writer.table.put(f"tenant/t{place}/share", b"1", "w"))
    writer.one.receive_report(AppliedReport("m", 7, 1, b""), living)
    writer.one.handle_timeouts(5.0, living)
    assert len(writer.one._watches) == MAX_WATCHED_ROWS and set(writer.one._queried_at) == {"m"} == set(
        writer.one._last_reports
    )
    writer.one.handle_timeouts(8.0, {"w": 1})
    assert not writer.one._queried_at and not writer.one._last_reports
    member.act(0.0, 2)
    assert member.one.handle_timeouts(9.0, {"m": 7}) == []  # the writer has gone: nobody is owed anything
    assert member.one.next_due_at() == float("inf")


def test_whatever_is_lost_doubled_or_late_in_force_is_said_of_what_all_act_on() -> None:
    assert sum(played(seed) for seed in range(60)) > 10_000


class Schedulers:
    """Five schedulers that all may write, and their messages, some of which are lost or doubled."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.members = {name: Member(name, seed) for name in "abcde"}
        self.in_flight: list[tuple[str, tuple[Any, str]]] = []  # the receiver; the message and its sender
        self.live_instances = dict.fromkeys(self.members, 1)
        self.now = 0.0

    def step(self) -> bool:
        """Let one of them do something; whether anything may have changed."""
        self.now += self.rng.uniform(0.0, 0.2)
        name = self.rng.choice("abcde")
        drawn = self.rng.random()
        if drawn < 0.005:
            self.write(name)
        elif drawn < 0.3:
            self.copy_rows(name)
        elif drawn < 0.5:
            self.apply_rows(name)
        elif drawn < 0.503:
            self.members[name] = Member(name, self.seed, self.rng.randrange(2**32))  # it lost everything
        elif drawn < 0.65:
            outgoing = self.members[name].one.handle_timeouts(self.now, self.live_instances)
            self.in_flight += [(receiver, (message, name)) for receiver, message in outgoing]
        elif self.in_flight and not self.deliver():
            return False
        self.live_instances = {name: member.life for name, member in self.members.items()}
        return True

    def write(self, name: str) -> None:
        member, key = self.members[name], self.rng.choice([SHARE, GOAL])
        row = member.table.put(key, b"%d" % self.rng.randrange(9), name, take_over=True)
        member.one.watch(self.now, row)
        member.act(self.now, 5)

    def copy_rows(self, name: str) -> None:
        for one in self.rng.choice(list(self.members.values())).table:
            self.members[name].table.apply(one)

    def apply_rows(self, name: str) -> None:
        member = self.members[name]
        new = [one.key for one in member.table if not member.acts_on(one)]
        member.act(self.now, 5, *(key for key in new if self.rng.random() < 0.05))

    def deliver(self) -> bool:
        """Deliver one message; whether it was not lost."""
        place = self.rng.randrange(len(self.in_flight))
        is_doubled = self.rng.random() < 0.2
        receiver, (message, sender) = self.in_flight[place] if is_doubled else self.in_flight.pop(place)
        if self.rng.random() < 0.2:
            return False
        if isinstance(message, AppliedReport):
            self.members[receiver].one.receive_report(message, self.live_instances)
        else:
            answer = self.members[receiver].one.answer_query(message)
            self.in_flight.append((sender, (answer, receiver)))
        return True

    def check(self) -> int:
        """How often `in force` is said now; each time it is compared with the truth."""
        said = 0
        for asked in self.members.values():
            for one in list(asked.table):
                if asked.one.status(self.now, one, self.live_instances).in_force:
                    said += 1
                    assert all(other.acts_on(one) for other in self.members.values())
        return said


def played(seed: int) -> int:
    """How often `in force` was said in 1,000 steps with restarts."""
    schedulers = Schedulers(seed)
    return sum(schedulers.check() for _ in range(1000) if schedulers.step())
