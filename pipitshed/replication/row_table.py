"""A table of small versioned rows.

Two tables to which the same rows were applied have the same content, whatever the order of the rows.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterator

from pipitshed.replication.merkle_tree import MerkleTree
from pipitshed.replication.row import FORMAT_VERSION, KEY_LIMIT_BYTES, WRITER_LIMIT_BYTES, Row, precedence

__all__ = ["FORMAT_VERSION", "NOT_COMPARED", "ApplyResult", "Row", "RowError", "RowTable"]

# The reason for a rejected write that operators read.
NOT_COMPARED = "not compared with a peer since the start: the rows in force are not known here yet"


class ApplyResult(enum.Enum):
    """The result of applying a row to a table; the values are keys of `RowTable.counts`."""

    NEW = "new"  # the row replaced an older one, or added a key
    OLD = "old"  # the table has a newer row
    SAME = "same"  # the table has this exact row
    CONFLICT = "conflict"  # the table has other content with the same version, which takes precedence
    TOO_LONG = "too-long"
    TOO_MANY = "too-many"
    INVALID = "unsound"


class RowError(ValueError):
    """A write was rejected; the text gives the reason to operators in one line."""


class RowTable:
    """The newest row of each key.

    A deleted row is kept for good as a tombstone without a body, so that no peer brings the row back after a
    long absence. Tombstones count toward the bound on rows, beyond which new keys are rejected.
    """

    def __init__(
        self, name: str, max_rows: int = 4096, max_bytes: int = 1 << 20, max_row_bytes: int = 600
    ) -> None:
        """Create an empty table.

        Args:
            name: The table's name, the same on all members.
            max_rows: Bound on the number of rows, including tombstones.
            max_bytes: Bound on the total encoded size of all rows.
            max_row_bytes: Bound on the encoded size of one row.
        """
        self.name = name
        self.max_rows, self.max_bytes, self.max_row_bytes = max_rows, max_bytes, max_row_bytes
        self.change_count = 0
        self.counts: Counter[str] = Counter()  # applied rows by `ApplyResult`; also `conflicts` and `writers`
        self.caught_up = False  # whether it was compared with a peer since the start, or no peer exists
        self.tree = MerkleTree()
        self._rows: dict[str, Row] = {}
        self._bytes = 0

    def __iter__(self) -> Iterator[Row]:
        return iter(self._rows.values())

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, key: str) -> Row | None:
        """Return the row of a key, its tombstone if it was deleted, or None."""
        return self._rows.get(key)

    def digest(self) -> bytes:
        """Return 8 bytes that are equal if two tables have the same content."""
        return self.tree.digest()

    def put(self, key: str, body: bytes, writer: str, take_over: bool = False) -> Row:
        """Write a row, numbered one above the current row; no clock is used.

        Raises:
            RowError: The write was rejected.
        """
        return self._write(key, body, writer, take_over, False)

    def delete(self, key: str, writer: str, take_over: bool = False) -> Row:
        """Replace a row with its tombstone.

        Raises:
            RowError: There is no such row, or it has another writer.
        """
        current = self._rows.get(key)
        if current is None or current.deleted:
            raise RowError(f"{key}: there is no such row")
        return self._write(key, b"", writer, take_over, True)

    def _write(self, key: str, body: bytes, writer: str, take_over: bool, deleted: bool) -> Row:
        if not self.caught_up:
            # A writer that has just started could reuse an old version number for new content.
            raise RowError(NOT_COMPARED)
        current = self._rows.get(key)
        term, number = (current.term, current.number) if current is not None else (1, 0)
        if current is not None and not take_over:
            self._check_writer(current, writer)
        row = Row(key, term + take_over, number + 1, writer, body, deleted)
        result = self.apply(row)
        if result is not ApplyResult.NEW:
            raise RowError(f"{key}: {self._rejection_reason(result, row)}")
        return row

    @staticmethod
    def _check_writer(current: Row, writer: str) -> None:
        if current.writer != writer:
            raise RowError(f"{current.key}: {current.writer} writes it; another writer has to take it over")
        if not current.readable:
            raise RowError(
                f"{current.key}: of a newer program (format {current.format_version}); a take-over is needed"
            )

    def _rejection_reason(self, result: ApplyResult, row: Row) -> str:
        return {
            ApplyResult.TOO_LONG: f"{row.size} bytes, {self.max_row_bytes} at most",
            ApplyResult.TOO_MANY: f"no room: {len(self)} of {self.max_rows} rows, deleted ones included, "
            f"{self._bytes} of {self.max_bytes} bytes",
            ApplyResult.INVALID: f"its key has 1 to {KEY_LIMIT_BYTES} bytes, "
            f"its writer 1 to {WRITER_LIMIT_BYTES}",
        }[result]

    def apply(self, row: Row) -> ApplyResult:
        """Store a row if it takes precedence over the current one of its key, and count the result."""
        result = self._apply(row)
        self.counts[result.value] += 1
        return result

    def _apply(self, row: Row) -> ApplyResult:
        current = self._rows.get(row.key)
        if current == row:
            return ApplyResult.SAME
        if not row.is_valid():
            return ApplyResult.INVALID
        if current is not None:
            version, current_version = (row.term, row.number), (current.term, current.number)
            if version == current_version:
                self.counts["conflicts"] += 1
            if row.term == current.term and row.writer != current.writer:
                # A row has one writer in each term. A violation is counted, and ordered like any other row:
                # if the first row to arrive won, members would keep different rows.
                self.counts["writers"] += 1
            if precedence(row) < precedence(current):
                return ApplyResult.CONFLICT if version == current_version else ApplyResult.OLD
        size = row.size
        if size > self.max_row_bytes:
            return ApplyResult.TOO_LONG
        added_bytes = size - (current.size if current is not None else 0)
        if (current is None and len(self) >= self.max_rows) or (
            added_bytes > 0 and self._bytes + added_bytes > self.max_bytes
        ):
            return ApplyResult.TOO_MANY
        self._rows[row.key] = row
        self._bytes += added_bytes
        self.change_count += 1
        self.tree.put(row.key, row.content_hash)
        return ApplyResult.NEW
