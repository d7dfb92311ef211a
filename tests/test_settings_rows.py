"""Settings by row, with no socket: what a row may change, how rows lie over a file, and who confirms them."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import SETTINGS

from pipitshed.decisions.settings import settings_from
from pipitshed.replication.rows import Row
from pipitshed.tuning.rows import Laid, RefusedRowError, check, file_value, overlay

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
    laid = overlay(file, [row(), row(GOAL, b"1500"), row("class/book/gain", b"2e1"),
                          row("tenant/andes-retail/allowancePerS", b"7", deleted=True)])
    assert file == before and not laid.refused
    assert set(laid.acted) == {SHARE, GOAL, "class/book/gain"}
    assert laid.raw["settings"]["tenants"] == [before["settings"]["tenants"][0] | {"share": 0.4}]
    settings = settings_from(laid.raw["settings"])
    assert (settings.classes[0].aim, settings.classes[1].worth) == (1500.0, 20.0)
    assert settings.tenants[0].allowance == 1000.0  # a deleted row leaves it to the file
    assert (file_value(file, GOAL), file_value(file, "class/book/gain")) == (2500.0, None)
    assert file_value(file, "nothing") is None


@pytest.mark.parametrize(("changed", "why"), [
    ({"key": "tenant/nobody/share"}, "no tenant 'nobody'"),
    ({"key": "class/rush/deadline"}, "no class 'rush'"),
    ({"key": "class/quote/repeat"}, "'repeat' can't be changed"),
    ({"key": "class/quote/window"}, "'window' can't be changed"),
    ({"key": "tenant/andes-retail/name"}, "'name' can't be changed"),
    ({"key": "zone/lima-norte/share"}, "a key is"), ({"key": "tenant/share"}, "a key is"),
    ({"key": ""}, "a key is"), ({"form": 2}, "form 2"),
    *(({"body": body}, "a JSON number") for body in (
        b"", b"soon", b'"1"', b"true", b"null", b"[1]", b" 1", b"1 ", b"01", b"1.", b".5", b"+1", b"NaN",
        b"Infinity", b"1,2", b"0x1", b"\xff", b"1" * 33)),
    ({"body": b"1e999"}, "share is not a number"), ({"body": b"-0.5"}, "share = -0.5 is out of range"),
    ({"key": "class/quote/deadline", "body": b"0"}, "deadline = 0.0 is not a positive number")])
def test_a_row_that_cant_be_is_refused_with_its_reason_and_the_old_one_stands(changed: dict[str, Any],
                                                                              why: str) -> None:
    bad = row(**changed)
    with pytest.raises(RefusedRowError, match=why):
        check(raw(), bad)
    laid = overlay(raw(), [bad, row(GOAL, b"1500")])
    assert laid.refused == {bad.key: pytest.approx(laid.refused[bad.key])} and why in laid.refused[bad.key]
    assert set(laid.acted) == {GOAL}
    if bad.key == SHARE:  # where one was acted on before, it stands
        old = row(body=b"0.25")
        laid = overlay(raw(), [row(number=2, **changed)], {SHARE: old})
        assert laid.acted == {SHARE: old} and SHARE in laid.refused
        assert laid.raw["settings"]["tenants"][0]["share"] == 0.25


def test_a_row_whose_key_a_new_file_lacks_is_refused_and_acted_on_again_where_it_comes_back() -> None:
    only = raw(services=SETTINGS["services"][1:])
    stood = overlay(raw(), [row(GOAL, b"1500")]).acted
    laid = overlay(only, [row(GOAL, b"1500")], stood)
    assert laid == Laid(laid.raw, {}, {GOAL: "the settings in force have no class 'quote'"})
    assert laid.raw["settings"]["services"] == only["settings"]["services"]
    assert overlay(raw(), [row(GOAL, b"1500")], laid.acted).acted == stood


def test_a_name_that_stands_twice_or_holds_a_slash_is_no_riddle() -> None:
    twice = raw(tenants=SETTINGS["tenants"] * 2)
    assert "more than one tenant" in overlay(twice, [row()]).refused[SHARE]
    slash = raw(tenants=[{"name": "a/b", "share": 1.0, "allowancePerS": 5.0}])
    assert overlay(slash, [row("tenant/a/b/share", b"0.5")]).raw["settings"]["tenants"][0]["share"] == 0.5


KEYS = st.sampled_from([SHARE, GOAL, "class/rush/gain", "tenant//share", "x"]) | st.text()
BODIES = st.binary(max_size=40) | st.floats().map(lambda x: repr(x).encode())


@given(st.lists(st.builds(row, KEYS, BODIES, form=st.sampled_from([1, 1, 1, 2])), max_size=6))
def test_whatever_rows_come_what_is_laid_is_a_file_that_can_be_used(rows: list[Row]) -> None:
    laid = overlay(raw(), rows)
    settings_from(laid.raw["settings"])
    assert set(laid.acted) <= {SHARE, GOAL}
    assert {one.key for one in rows} == set(laid.acted) | set(laid.refused)
