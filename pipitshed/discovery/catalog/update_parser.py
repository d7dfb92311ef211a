"""Parses the catalog's updates.

A watch sends one JSON object for each update, usually on one line, but possibly indented over several lines.
"""

from __future__ import annotations

import re

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


_decode = msgspec.json.Decoder(CatalogUpdate).decode


def decode_update(text: bytes) -> CatalogUpdate | None:
    """Decode one update; None if the text ends before the update does.

    Raises:
        MalformedResponseError: If the text is no update.
    """
    try:
        return _decode(text)
    except msgspec.DecodeError as error:
        if "truncated" in str(error):
            return None
        raise MalformedResponseError(f"invalid update: {error}") from None


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
