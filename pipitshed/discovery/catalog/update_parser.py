"""Parses the catalog's updates.

A watch sends one JSON object for each update, usually on one line, but possibly indented over several lines.
"""

from __future__ import annotations

import re
from typing import Any

import msgspec

from pipitshed.protocols.http import MalformedResponseError

_JSON_STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"')  # contains no line break: JSON escapes them


class CatalogEntry(msgspec.Struct, rename="camel", gc=False):
    """One worker as the catalog lists it; the names are those of the catalog's JSON.

    A field that the entry does not state is None, which says nothing new of the worker.
    """

    instance_id: str
    host_port: str
    zone: str | None = None
    machine_type: str | None = None
    cell: int | None = None
    lifecycle: str | None = None
    weight: float | None = None
    started_at_ms: float | None = None
    interface: int | None = None  # the version of the worker's interface


class CatalogUpdate(msgspec.Struct):
    """One update: a snapshot of all workers (`reset`), or those that have changed since the one before."""

    generation: int
    instances: list[CatalogEntry]
    reset: bool = False


class _RawUpdate(msgspec.Struct):
    """An update whose entries are not checked yet."""

    generation: int
    instances: list[dict[str, msgspec.Raw]]
    reset: bool = False


_decode = msgspec.json.Decoder(CatalogUpdate).decode
_decode_raw = msgspec.json.Decoder(_RawUpdate).decode
_OPTIONAL_FIELDS = {
    field.encode_name: field for field in msgspec.structs.fields(CatalogEntry) if not field.required
}


def decode_update(text: bytes) -> CatalogUpdate | None:
    """Decode one update; None if the text ends before the update does.

    An optional field with a value of another type says nothing, like one that is missing.

    Raises:
        MalformedResponseError: If the text is no update, or an entry has no valid instance id or address.
    """
    try:
        return _decode(text)
    except msgspec.ValidationError:
        return _decode_valid_fields(text)
    except msgspec.DecodeError as error:
        if "truncated" in str(error):
            return None
        raise MalformedResponseError(f"invalid update: {error}") from None


def _decode_valid_fields(text: bytes) -> CatalogUpdate:
    """Decode an update without the optional fields that are invalid."""
    try:
        raw = _decode_raw(text)
        entries = [msgspec.convert(_valid_fields(entry), CatalogEntry) for entry in raw.instances]
    except msgspec.DecodeError as error:
        raise MalformedResponseError(f"invalid update: {error}") from None
    return CatalogUpdate(raw.generation, entries, raw.reset)


def _valid_fields(entry: dict[str, msgspec.Raw]) -> dict[str, object]:
    """The values of an entry's fields, without the optional ones that are invalid."""
    values: dict[str, object] = {}
    for name, raw in entry.items():
        field = _OPTIONAL_FIELDS.get(name)
        try:
            values[name] = msgspec.json.decode(raw, type=Any if field is None else field.type)
        except msgspec.ValidationError:
            continue
    return values


class LineAssembler:
    """Joins the lines of an indented update.

    The end of the update is found by counting braces, not by trying to decode after each line: that would
    take time that grows with the square of the update's length.
    """

    __slots__ = ("size_bytes", "_lines", "_open_braces")

    def __init__(self) -> None:
        self.size_bytes = 0
        self._lines: list[bytes] = []
        self._open_braces = 0

    def __bool__(self) -> bool:
        """Whether an update has begun."""
        return bool(self._lines)

    def add(self, line: bytes) -> bytes | None:
        """Add a line; return the update's whole text if the line closes the last brace."""
        self._lines.append(line)
        self.size_bytes += len(line) + 1
        if b"{" in line or b"}" in line:
            without_strings = _JSON_STRING.sub(b"", line)
            self._open_braces += without_strings.count(b"{") - without_strings.count(b"}")
        if self._open_braces > 0:
            return None
        text = b"\n".join(self._lines)
        self.clear()
        return text

    def join(self, rest: bytes) -> bytes:
        """Return the lines added so far, followed by `rest`."""
        return b"\n".join((*self._lines, rest))

    def clear(self) -> None:
        """Discard the lines added so far."""
        self._lines, self.size_bytes, self._open_braces = [], 0, 0
