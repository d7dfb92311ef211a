"""Small versioned rows, and a table of them. Whoever was told the same rows holds the same table, in whatever
order they came.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterator

from pipitshed.replication.merkle_tree import MerkleTree
from pipitshed.replication.row import FORMAT_VERSION, KEY_LIMIT, WRITER_LIMIT, Row, precedence

__all__ = ["FORMAT_VERSION", "ApplyResult", "Row", "RowError", "RowTable"]


class ApplyResult(enum.Enum):
    """What became of a row that was told."""

    NEW = "new"  # it stands now
    OLD = "old"  # a newer one is held
    SAME = "same"  # it is held already
    CONFLICT = "conflict"  # another content is held under its number, and outranks it
    TOO_LONG = "too-long"
    TOO_MANY = "too-many"
    UNSOUND = "unsound"


class RowError(ValueError):
    """A row can't be put; the text says why in one line."""


class RowTable:
    """The newest of each row. A deleted row stays for good as an empty one, its tombstone, within the bound
    on rows: nobody who was away, however long, brings it back. Where the bound is reached, new keys are
    refused.
    """

    def __init__(
        self, name: str, most_rows: int = 4096, most_bytes: int = 1 << 20, row_limit: int = 600
    ) -> None:
        """`most_bytes` of all rows as they are sent, `row_limit` bytes of one."""
        self.name = name
        self.max_rows, self.max_bytes, self.max_row_bytes = most_rows, most_bytes, row_limit
        self.change_count = 0  # counts changes
        self.counts: Counter[str] = Counter()  # rows taken, by `Taken`, and `conflicts` and `writers`
        self.caught_up = False  # whether it was compared with a peer since the start, or there is none
        self.tree = MerkleTree()
        self._rows: dict[str, Row] = {}
        self._bytes = 0

    def __iter__(self) -> Iterator[Row]:
        return iter(self._rows.values())

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, key: str) -> Row | None:
        """The row of a key; its tombstone where it was deleted."""
        return self._rows.get(key)

    def digest(self) -> bytes:
        """8 bytes, equal where two tables hold the same."""
        return self.tree.digest()

    def put(self, key: str, body: bytes, writer: str, take_over: bool = False) -> Row:
        """Write a row; RowError where it can't be. Its number comes from the row held, never from a clock."""
        return self._write(key, body, writer, take_over, False)

    def delete(self, key: str, writer: str, take_over: bool = False) -> Row:
        """Delete a row; RowError where there is none, or it is another writer's."""
        held = self._rows.get(key)
        if held is None or held.deleted:
            raise RowError(f"{key}: there is no such row")
        return self._write(key, b"", writer, take_over, True)

    def _write(self, key: str, body: bytes, writer: str, take_over: bool, deleted: bool) -> Row:
        if not self.caught_up:
            # Guards against a writer that starts anew, and would put an old number under a new content.
            raise RowError("not compared with a peer since the start: what is in force is not known here yet")
        held = self._rows.get(key)
        term, number = (held.term, held.number) if held is not None else (1, 0)
        if held is not None and not take_over:
            if held.writer != writer:
                raise RowError(f"{key}: {held.writer} writes it; another has to take it over")
            if not held.readable:
                raise RowError(
                    f"{key}: of a newer program (form {held.format_version}); it has to be taken over"
                )
        row = Row(key, term + take_over, number + 1, writer, body, deleted)
        told = self.apply(row)
        if told is not ApplyResult.NEW:
            raise RowError(f"{key}: {self._why(told, row)}")
        return row

    def _why(self, told: ApplyResult, row: Row) -> str:
        return {
            ApplyResult.TOO_LONG: f"{row.size} bytes, {self.max_row_bytes} at most",
            ApplyResult.TOO_MANY: f"no room: {len(self)} rows and deleted ones of {self.max_rows}, "
            f"{self._bytes} bytes of {self.max_bytes}",
            ApplyResult.UNSOUND: f"its key has 1 to {KEY_LIMIT} bytes, its writer 1 to {WRITER_LIMIT}",
        }[told]

    def apply(self, row: Row) -> ApplyResult:
        """Take a row where it is newer than what is held."""
        told = self._take(row)
        self.counts[told.value] += 1
        return told

    def _take(self, row: Row) -> ApplyResult:
        held = self._rows.get(row.key)
        if held == row:
            return ApplyResult.SAME
        if not row.is_valid():
            return ApplyResult.UNSOUND
        if held is not None:
            version, ours = (row.term, row.number), (held.term, held.number)
            if version == ours:
                self.counts["conflicts"] += 1
            if row.term == held.term and row.writer != held.writer:
                # One writer a row in each term: who breaks this is counted, and ranked like any other, as
                # whoever came first would otherwise stand here and not there.
                self.counts["writers"] += 1
            if precedence(row) < precedence(held):
                return ApplyResult.CONFLICT if version == ours else ApplyResult.OLD
        size = row.size
        if size > self.max_row_bytes:
            return ApplyResult.TOO_LONG
        more = size - (held.size if held is not None else 0)
        if (held is None and len(self) >= self.max_rows) or (
            more > 0 and self._bytes + more > self.max_bytes
        ):
            return ApplyResult.TOO_MANY
        self._rows[row.key] = row
        self._bytes += more
        self.change_count += 1
        self.tree.put(row.key, row.content_hash)
        return ApplyResult.NEW
