"""Checks settings rows, and applies them to the settings of a file. No I/O.

The key of a row is `tenant/NAME/FIELD` or `class/NAME/FIELD`, with the names and fields of the file in force;
its body is a JSON number. No row can change the idempotency of a class, which decides whether a job may run
twice.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from pipitshed.config.errors import InvalidFieldError, RowRejectedError
from pipitshed.config.settings_parser import check_entry
from pipitshed.replication.row import Row

VALUE_LIMIT_BYTES = 32
FIELDS_BY_KIND = {
    "tenant": ("share", "allowancePerS"),
    "class": ("deadline", "goalTime", "gain", "lateWorth", "aimStretch"),
}
_JSON_NUMBER = re.compile(rb"-?(0|[1-9][0-9]*)(\.[0-9]+)?([eE][+-]?[0-9]+)?")
_LIST_BY_KIND = {"tenant": "tenants", "class": "services"}

IndexesByName = dict[str, list[int]]  # the indexes of a name's entries in a list of the file


@dataclass(frozen=True, slots=True)
class Overlay:
    """The settings of a file with rows applied to them.

    Attributes:
        raw: The file's contents with the values of the applied rows.
        applied: The applied row by key, including deleted rows; it may be older than a rejected row.
        rejected: The reason of the rejection, by key of the rejected row.
    """

    raw: dict[str, Any]
    applied: dict[str, Row]
    rejected: dict[str, str]


@dataclass(frozen=True, slots=True)
class _RowKey:
    """The parts of a row's key."""

    kind: str
    name: str
    field: str


@dataclass(frozen=True, slots=True)
class _Change:
    """The change by a checked row: a new value for a field of one entry in a list of the file."""

    kind: str
    index: int
    field: str
    value: float


def overlay(
    raw: dict[str, Any],
    rows: Iterable[Row],
    previously_applied: Mapping[str, Row] | None = None,
) -> Overlay:
    """Apply rows to the settings of a file; `raw` itself is not changed.

    Where a row is rejected, the row applied for its key before stays applied; where there was none, the value
    of the file is in force.

    Args:
        raw: The file as it was read.
        rows: The rows, one for each key.
        previously_applied: The rows applied before, by key.
    """
    indexes = {kind: _indexes_by_name(raw, kind) for kind in _LIST_BY_KIND}
    previous_rows = previously_applied or {}
    changes: list[_Change] = []
    applied: dict[str, Row] = {}
    rejected: dict[str, str] = {}
    for row in rows:
        for candidate in (row, previous_rows.get(row.key)):
            if candidate is None:
                break
            try:
                if not candidate.deleted:
                    changes.append(_check(raw, indexes, candidate))
            except RowRejectedError as error:
                rejected.setdefault(row.key, error.reason)
                continue
            applied[row.key] = candidate
            break
    return Overlay(raw | {"settings": _changed_settings(raw["settings"], changes)}, applied, rejected)


def check(raw: dict[str, Any], row: Row) -> float:
    """Return the value of a row that can be applied to the file in force.

    Raises:
        RowRejectedError: The row cannot be applied.
    """
    indexes = {kind: _indexes_by_name(raw, kind) for kind in _LIST_BY_KIND}
    return _check(raw, indexes, row).value


def file_value(raw: dict[str, Any], key: str) -> float | None:
    """The file's own value at a key, without rows; None where it has none."""
    try:
        parts = _parse_key(key)
    except RowRejectedError:
        return None
    indexes = _indexes_by_name(raw, parts.kind).get(parts.name, [])
    if not indexes:
        return None
    value = raw["settings"][_LIST_BY_KIND[parts.kind]][indexes[0]].get(parts.field)
    return float(value) if isinstance(value, int | float) else None


def _parse_key(key: str) -> _RowKey:
    kind, _, rest = key.partition("/")
    name, _, field = rest.rpartition("/")
    if kind not in FIELDS_BY_KIND or not name:
        raise RowRejectedError(key, f"a key is tenant/NAME/FIELD or class/NAME/FIELD, not {key!r}")
    fields = FIELDS_BY_KIND[kind]
    if field not in fields:
        raise RowRejectedError(key, f"{field!r} can't be changed by row, only {', '.join(fields)}")
    return _RowKey(kind, name, field)


def _indexes_by_name(raw: dict[str, Any], kind: str) -> IndexesByName:
    indexes: IndexesByName = {}
    for index, entry in enumerate(raw["settings"].get(_LIST_BY_KIND[kind], [])):
        indexes.setdefault(entry.get("name", ""), []).append(index)
    return indexes


def _check(raw: dict[str, Any], indexes_by_kind: dict[str, IndexesByName], row: Row) -> _Change:
    if not row.readable:
        raise RowRejectedError(row.key, f"a newer version of pipitshed wrote it (form {row.format_version})")
    key = _parse_key(row.key)
    indexes = indexes_by_kind[key.kind].get(key.name, [])
    if len(indexes) != 1:
        count = "no" if not indexes else "more than one"
        raise RowRejectedError(row.key, f"the settings in force have {count} {key.kind} {key.name!r}")
    if len(row.body) > VALUE_LIMIT_BYTES or not _JSON_NUMBER.fullmatch(row.body):
        raise RowRejectedError(row.key, f"a value is a JSON number of at most {VALUE_LIMIT_BYTES} bytes")
    value = float(row.body)
    entry = raw["settings"][_LIST_BY_KIND[key.kind]][indexes[0]]
    try:
        check_entry(key.kind, entry | {key.field: value})  # the same check as for a value in the file
    except InvalidFieldError as error:
        raise RowRejectedError(row.key, key.field + error.detail) from None
    return _Change(key.kind, indexes[0], key.field, value)


def _changed_settings(settings: dict[str, Any], changes: Iterable[_Change]) -> dict[str, Any]:
    """A copy of the settings with these changes; unchanged entries are shared with the original."""
    changed = dict(settings)
    for name in _LIST_BY_KIND.values():
        if name in changed:
            changed[name] = list(changed[name])
    for change in changes:
        entries = changed[_LIST_BY_KIND[change.kind]]
        entries[change.index] = entries[change.index] | {change.field: change.value}
    return changed
