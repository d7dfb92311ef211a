"""Settings rows without sockets: validation, the overlay over a file, storage and confirmations."""

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

from pipitshed.cluster import row_store
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

SHARE_KEY, GOAL_TIME_KEY = "tenant/andes-retail/share", "class/quote/goalTime"


def raw_file(**settings: object) -> dict[str, Any]:
    """Return the content of a settings file as it is parsed."""
    content: dict[str, Any] = json.loads(json.dumps({"name": "n0", "settings": SETTINGS | settings}))
    return content


def make_row(key: str = SHARE_KEY, body: bytes = b"0.4", number: int = 1, **fields: Any) -> Row:
    return Row(key, 1, number, "s1", body, **fields)


def test_rows_change_only_the_values_that_they_name() -> None:
    file = raw_file()
    before = copy.deepcopy(file)
    rows = [
        make_row(),
        make_row(GOAL_TIME_KEY, b"1500"),
        make_row("class/book/gain", b"2e1"),
        make_row("tenant/andes-retail/allowancePerS", b"", deleted=True),
    ]
    result = overlay(file, rows)
    assert file == before and not result.rejected
    assert result.applied == {row.key: row for row in rows}
    assert result.raw["settings"]["tenants"] == [before["settings"]["tenants"][0] | {"share": 0.4}]
    settings = settings_from(result.raw["settings"])
    assert (settings.classes[0].latency_objective_ms, settings.classes[1].priority_weight) == (1500.0, 20.0)
    assert settings.tenants[0].quota_per_s == 1000.0  # for a deleted row the file's value counts
    assert (file_value(file, GOAL_TIME_KEY), file_value(file, "class/book/gain")) == (2500.0, None)
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
def test_an_invalid_row_is_rejected_with_its_reason_and_the_previous_row_stays(
    changed: dict[str, Any], why: str
) -> None:
    invalid = make_row(**changed)
    with pytest.raises(RowRejectedError, match=why):
        check(raw_file(), invalid)
    result = overlay(raw_file(), [invalid, make_row(GOAL_TIME_KEY, b"1500")])
    assert (
        result.rejected == {invalid.key: pytest.approx(result.rejected[invalid.key])}
        and why in result.rejected[invalid.key]
    )
    assert set(result.applied) == {GOAL_TIME_KEY}
    if invalid.key == SHARE_KEY:  # a previous valid row of the same key stays applied
        previous = make_row(body=b"0.25")
        result = overlay(raw_file(), [make_row(number=2, **changed)], {SHARE_KEY: previous})
        assert result.applied == {SHARE_KEY: previous} and SHARE_KEY in result.rejected
        assert result.raw["settings"]["tenants"][0]["share"] == 0.25


def test_a_row_whose_key_a_new_file_lacks_is_rejected_and_applied_again_once_the_key_returns() -> None:
    file_without_class = raw_file(services=SETTINGS["services"][1:])
    applied = overlay(raw_file(), [make_row(GOAL_TIME_KEY, b"1500")]).applied
    result = overlay(file_without_class, [make_row(GOAL_TIME_KEY, b"1500")], applied)
    assert result == Overlay(result.raw, {}, {GOAL_TIME_KEY: "the settings in force have no class 'quote'"})
    assert result.raw["settings"]["services"] == file_without_class["settings"]["services"]
    assert overlay(raw_file(), [make_row(GOAL_TIME_KEY, b"1500")], result.applied).applied == applied


def test_rows_of_every_class_are_applied() -> None:
    book_key = "class/book/goalTime"
    rows = [make_row(GOAL_TIME_KEY, b"1500"), make_row(book_key, b"1600"), make_row()]
    result = overlay(raw_file(), rows)
    assert set(result.applied) == {GOAL_TIME_KEY, book_key, SHARE_KEY} and not result.rejected
    assert [service["goalTime"] for service in result.raw["settings"]["services"]] == [1500.0, 1600.0]


def test_a_duplicate_name_is_rejected_and_a_name_with_a_slash_is_found() -> None:
    duplicate = raw_file(tenants=SETTINGS["tenants"] * 2)
    assert "more than one tenant" in overlay(duplicate, [make_row()]).rejected[SHARE_KEY]
    with_slash = raw_file(tenants=[{"name": "a/b", "share": 1.0, "allowancePerS": 5.0}])
    assert (
        overlay(with_slash, [make_row("tenant/a/b/share", b"0.5")]).raw["settings"]["tenants"][0]["share"]
        == 0.5
    )


KEYS = st.sampled_from([SHARE_KEY, GOAL_TIME_KEY, "class/rush/gain", "tenant//share", "x"]) | st.text()
BODIES = st.binary(max_size=40) | st.floats().map(lambda x: repr(x).encode())


@given(st.lists(st.builds(make_row, KEYS, BODIES, format_version=st.sampled_from([1, 1, 1, 2])), max_size=6))
def test_an_overlay_of_arbitrary_rows_is_a_valid_file(rows: list[Row]) -> None:
    result = overlay(raw_file(), rows)
    settings_from(result.raw["settings"])
    assert set(result.applied) <= {SHARE_KEY, GOAL_TIME_KEY}
    assert {row.key for row in rows} == set(result.applied) | set(result.rejected)


# ---- the file of stored rows


def test_stored_rows_round_trip_and_a_damaged_file_is_moved_aside(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    path = tmp_path / "rows"
    assert row_store.read(path) == StoredRows() and not caplog.text
    stored = StoredRows(
        (
            make_row(),
            make_row(GOAL_TIME_KEY, b"\xff\x00", format_version=2),
            make_row("x", b"", deleted=True),
        ),
        (make_row(number=4),),
    )
    row_store.write(path, stored)
    assert row_store.read(path) == stored
    intact = path.read_bytes()
    flipped = bytearray(intact)
    flipped[len(intact) // 2] ^= 1
    for data in (
        b"",
        b"rows",
        intact[:-1],
        intact[: len(intact) // 2],
        bytes(flipped),
        intact + b" ",
        intact.replace(b"1", b"2", 1),
    ):
        path.write_bytes(data)
        caplog.clear()
        assert row_store.read(path) == StoredRows()
        assert caplog.text.count("moved aside") == 1 and not path.exists()
        assert (tmp_path / "rows.damaged").read_bytes() == data
    path.mkdir()
    assert row_store.read(path) == StoredRows()


def test_a_failed_write_leaves_the_previous_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "rows"
    row_store.write(path, StoredRows((make_row(),)))

    def fail(fd: int) -> None:
        raise OSError("no room")

    monkeypatch.setattr("os.fsync", fail)
    with pytest.raises(OSError, match="no room"):
        row_store.write(path, StoredRows((make_row(number=2),)))
    assert row_store.read(path) == StoredRows((make_row(),))


# ---- confirmations


class Member:
    """One scheduler without sockets: its table, and its tracker of applied rows."""

    def __init__(self, name: str, seed: int = 1, instance_id: int = 1) -> None:
        self.name, self.instance_id = name, instance_id
        self.table = RowTable("settings")
        self.table.caught_up = True
        self.tracker = Confirmations(
            name, instance_id, self.table, random.Random(f"{seed}:{name}:{instance_id}")
        )

    def record_applied(self, now: float, cluster_size: int, *rejected_keys: str) -> None:
        """Record all rows of the table as applied, but reject those of these keys."""
        before = self.tracker.state
        applied = {row.key: row for row in self.table if row.key not in rejected_keys}
        for key in rejected_keys:
            if key in before.applied and before.applied[key] != self.table.get(key):
                applied[key] = before.applied[key]
        reasons = {key: "no such tenant" for key in rejected_keys}
        changed = [
            row
            for row in self.table
            if applied.get(row.key) != before.applied.get(row.key)
            or reasons.get(row.key) != before.rejected.get(row.key)
        ]
        rows = {row.key: row for row in self.table}
        self.tracker.record_applied(
            now, AppliedState(self.table.digest(), rows, applied, reasons), changed, cluster_size
        )

    def has_applied(self, row: Row) -> bool:
        """Whether this member has applied this row or one that replaced it."""
        applied = self.tracker.state.applied.get(row.key)
        return applied is not None and precedence(applied) >= precedence(row)


def writer_and_member() -> tuple[Member, Member, Row, dict[str, int]]:
    """Return a writer that watches its own row, a member that has the row, that row, and live instances."""
    writer, member = Member("w"), Member("m", instance_id=7)
    row = writer.table.put(SHARE_KEY, b"1", "w")
    writer.record_applied(0.0, 2)
    writer.tracker.watch(0.0, row)
    member.table.apply(row)
    return writer, member, row, {"w": 1, "m": 7}


def test_a_row_is_in_force_once_all_present_instances_have_confirmed_it() -> None:
    writer, member, row, live_instances = writer_and_member()
    assert writer.tracker.status(0.0, row, live_instances).missing == (("m", ""),)
    assert writer.tracker.status(0.0, row, {"w": 1}).in_force  # the writer is the only member
    member.record_applied(0.0, 2)
    [(to, report)] = member.tracker.handle_timeouts(1.0, live_instances)
    assert to == "w" and isinstance(report, AppliedReport)
    writer.tracker.receive_report(report, live_instances)
    assert writer.tracker.status(0.0, row, live_instances).in_force
    # The member has restarted.
    assert writer.tracker.status(0.0, row, live_instances | {"m": 8}).missing == (("m", ""),)
    # Another member has joined.
    assert writer.tracker.status(0.0, row, live_instances | {"n": 1}).missing == (("n", ""),)
    restarted = Member("m", instance_id=3)  # instance ids are random: a later one may be lower
    restarted.table.apply(row)
    restarted.record_applied(0.0, 2)
    writer.tracker.receive_report(
        restarted.tracker.answer_query(AppliedQuery("w", (SHARE_KEY,))), live_instances | {"m": 3}
    )
    assert writer.tracker.status(0.0, row, live_instances | {"m": 3}).in_force
    writer.table.put(SHARE_KEY, b"2", "w")
    assert writer.tracker.status(0.0, row, live_instances).superseded is not None


def test_a_report_of_an_earlier_instance_or_overtaken_by_a_later_one_is_ignored() -> None:
    writer, member, row, live_instances = writer_and_member()
    member.record_applied(0.0, 2)
    earlier = member.tracker.answer_query(AppliedQuery("w", (SHARE_KEY,)))
    writer.tracker.receive_report(earlier, live_instances | {"m": 8})
    assert not writer.tracker.status(0.0, row, live_instances).in_force
    member.record_applied(0.0, 2, SHARE_KEY)  # a new file of the member has no such tenant
    [(_, later)] = member.tracker.handle_timeouts(1.0, live_instances)
    assert isinstance(later, AppliedReport)
    writer.tracker.receive_report(later, live_instances)
    writer.tracker.receive_report(earlier, live_instances)
    assert writer.tracker.status(0.0, row, live_instances).missing == (("m", "no such tenant"),)


def test_a_digest_confirms_no_rejected_row_whether_listed_or_not() -> None:
    writer, member, row, live_instances = writer_and_member()
    others = [writer.table.put(f"tenant/t{number}/share", b"1", "w") for number in range(9)]
    writer.record_applied(0.0, 2)
    for other in others:
        writer.tracker.watch(0.0, other)
        member.table.apply(other)
    member.record_applied(0.0, 2, *(other.key for other in others))
    writer.tracker.receive_report(member.tracker.answer_query(AppliedQuery("w", ())), live_instances)
    assert not any(writer.tracker.status(0.0, watched, live_instances).in_force for watched in (row, *others))
    writer.tracker.receive_report(
        member.tracker.answer_query(AppliedQuery("w", (SHARE_KEY, others[7].key))), live_instances
    )
    assert writer.tracker.status(0.0, row, live_instances).in_force
    assert writer.tracker.status(0.0, others[7], live_instances).missing == (("m", "no such tenant"),)
    member.record_applied(0.0, 2)  # it has applied all rows now, so one digest confirms them all
    writer.tracker.receive_report(member.tracker.answer_query(AppliedQuery("w", ())), live_instances)
    assert all(writer.tracker.status(0.0, other, live_instances).in_force for other in others)


def test_a_rejection_of_an_older_row_does_not_count_for_a_newer_one() -> None:
    writer, member, _, live_instances = writer_and_member()
    member.record_applied(0.0, 2, SHARE_KEY)
    newer = writer.table.put(SHARE_KEY, b"2", "w")
    writer.record_applied(0.0, 2)
    writer.tracker.watch(0.0, newer)
    writer.tracker.receive_report(
        member.tracker.answer_query(AppliedQuery("w", (SHARE_KEY,))), live_instances
    )
    # The member has not reported the newer row.
    assert writer.tracker.status(0.0, newer, live_instances).missing == (("m", ""),)


def test_a_silent_member_is_queried_repeatedly_while_the_row_is_watched() -> None:
    writer, _, row, live_instances = writer_and_member()
    query_times = []
    now = 0.0
    while now < 30.0 and (due := writer.tracker.next_due_at()) < 30.0:
        now = due
        query_times += [
            now
            for to, message in writer.tracker.handle_timeouts(now, live_instances)
            if isinstance(message, AppliedQuery) and to == "m" and message.keys == (SHARE_KEY,)
        ]
    assert query_times[0] >= QUERY_DELAY_S and 8 <= len(query_times) <= 10 / QUERY_RETRY_S
    assert all(
        later - earlier >= QUERY_RETRY_S for earlier, later in zip(query_times, query_times[1:], strict=False)
    )
    assert writer.tracker.next_due_at() == float("inf")  # the row is no longer watched
    writer.tracker.status(40.0, row, live_instances)
    assert writer.tracker.next_due_at() < 41.0


def test_reports_of_six_hundred_members_on_twenty_rows_stay_within_the_report_rate() -> None:
    count, codec = 600, Codec("pipitshed", b"key")
    writer = Member("scheduler-0")
    rows = [writer.table.put(f"tenant/t{number}/share", b"0.25", writer.name) for number in range(20)]
    writer.record_applied(0.0, count)
    for row in rows:
        writer.tracker.watch(0.0, row)
    members = [Member(f"scheduler-{number}", instance_id=2**31 + number) for number in range(1, count)]
    live_instances = {member.name: member.instance_id for member in [writer, *members]}
    for member in members:
        for row in rows:
            member.table.apply(row)
        member.record_applied(0.0, count)
    bytes_by_second = [0] * 30
    for member in members:
        due = member.tracker.next_due_at()
        for _, message in member.tracker.handle_timeouts(due, live_instances):
            assert isinstance(message, AppliedReport) and len(message.rows) <= MAX_REPORTED_ROWS
            bytes_by_second[int(due)] += len(codec.encode(message))
            writer.tracker.receive_report(message, live_instances)
    assert max(bytes_by_second) < 1.3 * REPORT_RATE_BYTES_PER_S, bytes_by_second
    assert all(writer.tracker.status(20.0, row, live_instances).in_force for row in rows)


def test_watched_rows_are_bounded_and_departed_members_are_forgotten() -> None:
    writer, member, row, live_instances = writer_and_member()
    for number in range(MAX_WATCHED_ROWS + 50):
        writer.tracker.watch(0.0, writer.table.put(f"tenant/t{number}/share", b"1", "w"))
    writer.tracker.receive_report(AppliedReport("m", 7, 1, b""), live_instances)
    writer.tracker.handle_timeouts(5.0, live_instances)
    assert len(writer.tracker._watches) == MAX_WATCHED_ROWS and set(writer.tracker._queried_at) == {
        "m"
    } == set(writer.tracker._last_reports)
    writer.tracker.handle_timeouts(8.0, {"w": 1})
    assert not writer.tracker._queried_at and not writer.tracker._last_reports
    member.record_applied(0.0, 2)
    assert member.tracker.handle_timeouts(9.0, {"m": 7}) == []  # the writer has departed: no report is due
    assert member.tracker.next_due_at() == float("inf")


def test_in_force_is_reported_only_of_rows_that_all_members_have_applied() -> None:
    """Messages are lost, duplicated and late, and members restart."""
    assert sum(count_in_force_reports(seed) for seed in range(60)) > 10_000


class Schedulers:
    """Five schedulers, each of which may write, and their messages, some of them lost or duplicated."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.members = {name: Member(name, seed) for name in "abcde"}
        self.in_flight: list[tuple[str, tuple[Any, str]]] = []  # the receiver; the message and its sender
        self.live_instances = dict.fromkeys(self.members, 1)
        self.now = 0.0

    def step(self) -> bool:
        """Let a random scheduler act; return whether anything may have changed."""
        self.now += self.rng.uniform(0.0, 0.2)
        name = self.rng.choice("abcde")
        draw = self.rng.random()
        if draw < 0.005:
            self.write(name)
        elif draw < 0.3:
            self.copy_rows(name)
        elif draw < 0.5:
            self.apply_rows(name)
        elif draw < 0.503:
            self.members[name] = Member(name, self.seed, self.rng.randrange(2**32))  # restarted with no state
        elif draw < 0.65:
            outgoing = self.members[name].tracker.handle_timeouts(self.now, self.live_instances)
            self.in_flight += [(receiver, (message, name)) for receiver, message in outgoing]
        elif self.in_flight and not self.deliver():
            return False
        self.live_instances = {name: member.instance_id for name, member in self.members.items()}
        return True

    def write(self, name: str) -> None:
        member, key = self.members[name], self.rng.choice([SHARE_KEY, GOAL_TIME_KEY])
        row = member.table.put(key, b"%d" % self.rng.randrange(9), name, take_over=True)
        member.tracker.watch(self.now, row)
        member.record_applied(self.now, 5)

    def copy_rows(self, name: str) -> None:
        for row in self.rng.choice(list(self.members.values())).table:
            self.members[name].table.apply(row)

    def apply_rows(self, name: str) -> None:
        member = self.members[name]
        new = [row.key for row in member.table if not member.has_applied(row)]
        member.record_applied(self.now, 5, *(key for key in new if self.rng.random() < 0.05))

    def deliver(self) -> bool:
        """Deliver one message, or lose it; return whether it was delivered."""
        index = self.rng.randrange(len(self.in_flight))
        is_duplicate = self.rng.random() < 0.2
        receiver, (message, sender) = self.in_flight[index] if is_duplicate else self.in_flight.pop(index)
        if self.rng.random() < 0.2:
            return False
        if isinstance(message, AppliedReport):
            self.members[receiver].tracker.receive_report(message, self.live_instances)
        else:
            answer = self.members[receiver].tracker.answer_query(message)
            self.in_flight.append((sender, (answer, receiver)))
        return True

    def check(self) -> int:
        """Return how many rows are reported in force now, and assert that all members have applied each."""
        in_force_count = 0
        for member in self.members.values():
            for row in list(member.table):
                if member.tracker.status(self.now, row, self.live_instances).in_force:
                    in_force_count += 1
                    assert all(other.has_applied(row) for other in self.members.values())
        return in_force_count


def count_in_force_reports(seed: int) -> int:
    """Return how often a row was reported in force in 1,000 steps with restarts."""
    schedulers = Schedulers(seed)
    return sum(schedulers.check() for _ in range(1000) if schedulers.step())
