"""Settings by row: which values of a settings file a row may change, the check of a row, and how rows lie
over a file. No I/O.

A key is `tenant/NAME/FIELD` or `class/NAME/FIELD`, with the names and fields of the file in force; a body is
a JSON number. What running a job twice would do is no figure to be tuned, and no row can change it.
"""

from __future__ import annotations

import re
from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from pipitshed.config.settings_parser import SettingsError, check_entry
from pipitshed.replication.row import Row

VALUE_LIMIT = 32  # bytes of a value
_NUMBER = re.compile(rb"-?(0|[1-9][0-9]*)(\.[0-9]+)?([eE][+-]?[0-9]+)?")
_LISTS = {"tenant": "tenants", "class": "services"}
FIELDS = {
    "tenant": ("share", "allowancePerS"),
    "class": ("deadline", "goalTime", "gain", "lateWorth", "aimStretch"),
}


class RowRejectedError(ValueError):
    """A row can't be acted on; the text says why."""


@dataclass(frozen=True, slots=True)
class Overlay:
    """Rows laid over a file."""

    raw: dict[str, Any]  # the file as it would read with the rows' values in it
    acted: dict[str, Row]  # what is acted on, by key, deleted rows too; it may be older than the one refused
    refused: dict[str, str]  # why, by key


def overlay(
    raw: dict[str, Any],
    rows: Iterable[Row],
    stood: Mapping[str, Row] | None = None,
    fixed: Container[str] = (),
) -> Overlay:
    """These rows laid over a file as it was read, which is not changed. Where one is refused, the row that
    was acted on before (`stood`, by key) stands; where there was none, the file's value does. Classes that
    are `fixed` can't be changed here.
    """
    places = {kind: _places(raw, kind) for kind in _LISTS}
    values: dict[tuple[str, int], dict[str, float]] = {}
    acted: dict[str, Row] = {}
    refused: dict[str, str] = {}
    for row in rows:
        for one in (row, (stood or {}).get(row.key)):
            if one is None:
                break
            if one.deleted:
                acted[one.key] = one
                break
            try:
                kind, place, field, value = _checked(raw, places, one, fixed)
            except RowRejectedError as error:
                refused.setdefault(one.key, str(error))
                continue
            values.setdefault((kind, place), {})[field] = value
            acted[one.key] = one
            break
    told = dict(raw["settings"])
    for name in _LISTS.values():
        if name in told:
            told[name] = list(told[name])
    for (kind, place), changed in values.items():
        told[_LISTS[kind]][place] = told[_LISTS[kind]][place] | changed
    return Overlay(raw | {"settings": told}, acted, refused)


def check(raw: dict[str, Any], row: Row, fixed: Container[str] = ()) -> float:
    """The value that a row asks for, where the file in force lets it; RefusedRowError else."""
    return _checked(raw, {kind: _places(raw, kind) for kind in _LISTS}, row, fixed)[3]


def file_value(raw: dict[str, Any], key: str) -> float | None:
    """What the file itself says at a key; None where it says nothing there."""
    try:
        kind, name, field = _parts(key)
    except RowRejectedError:
        return None
    found = _places(raw, kind).get(name, [])
    value = raw["settings"][_LISTS[kind]][found[0]].get(field) if found else None
    return float(value) if isinstance(value, int | float) else None


def _parts(key: str) -> tuple[str, str, str]:
    kind, _, rest = key.partition("/")
    name, _, field = rest.rpartition("/")
    if kind not in FIELDS or not name:
        raise RowRejectedError(f"a key is tenant/NAME/FIELD or class/NAME/FIELD, not {key!r}")
    if field not in FIELDS[kind]:
        raise RowRejectedError(f"{field!r} can't be changed by row, only {', '.join(FIELDS[kind])}")
    return kind, name, field


def _places(raw: dict[str, Any], kind: str) -> dict[str, list[int]]:
    """Where each name stands in the file's list."""
    places: dict[str, list[int]] = {}
    for place, one in enumerate(raw["settings"].get(_LISTS[kind], [])):
        places.setdefault(one.get("name", ""), []).append(place)
    return places


def _checked(
    raw: dict[str, Any], places: dict[str, dict[str, list[int]]], row: Row, fixed: Container[str]
) -> tuple[str, int, str, float]:
    if not row.readable:
        raise RowRejectedError(f"it is of a newer program (form {row.format_version})")
    kind, name, field = _parts(row.key)
    if kind == "class" and name in fixed:
        raise RowRejectedError(f"Gearman's functions keep the limits that {name!r} had at the start")
    found = places[kind].get(name, [])
    if len(found) != 1:
        raise RowRejectedError(
            f"the settings in force have {'no' if not found else 'more than one'} {kind} {name!r}"
        )
    if len(row.body) > VALUE_LIMIT or not _NUMBER.fullmatch(row.body):
        raise RowRejectedError(f"a value is a JSON number of {VALUE_LIMIT} bytes at most")
    value, entry = float(row.body), raw["settings"][_LISTS[kind]][found[0]]
    try:
        check_entry(kind, entry | {field: value})  # the check that a file's value goes through
    except SettingsError as error:
        raise RowRejectedError(field + str(error).partition(f".{field}")[2]) from None
    return kind, found[0], field, value
