"""One small versioned row, and the order of precedence between two rows of one key."""

from __future__ import annotations

import msgspec

from pipitshed.replication.merkle_tree import hash64

FORMAT_VERSION = 1  # of rows that this program writes, and the highest that it reads
KEY_LIMIT_BYTES = 128
WRITER_LIMIT_BYTES = 64
_encoder = msgspec.msgpack.Encoder()


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One row, whose version is (term, number).

    A row has one writer, which raises the number; a take-over by another writer raises the term. A row with a
    format version above `FORMAT_VERSION` comes from a newer program, and is stored and passed on unread.
    """

    key: str
    term: int
    number: int
    writer: str
    body: bytes
    deleted: bool = False
    format_version: int = FORMAT_VERSION

    @property
    def readable(self) -> bool:
        """Whether this program can read the body."""
        return self.format_version <= FORMAT_VERSION

    @property
    def size(self) -> int:
        """Encoded size in bytes."""
        return len(_encoder.encode(self))

    @property
    def content_hash(self) -> int:
        """A 64-bit hash of all fields, for digests and for ties in `precedence`."""
        return hash64(_encoder.encode(self))

    def is_valid(self) -> bool:
        """Whether all fields are within their bounds; a table rejects other rows."""
        return (
            0 < len(self.key.encode()) <= KEY_LIMIT_BYTES
            and 0 < len(self.writer.encode()) <= WRITER_LIMIT_BYTES
            and 0 < self.term < 2**32
            and 0 < self.number < 2**62
            and 0 < self.format_version < 2**16
        )


def precedence(row: Row) -> tuple[int, int, bool, int]:
    """Return a sort key: of two rows of one key, the one with the greater sort key replaces the other.

    The order is total, so of two contents with one version all members keep the same one.
    """
    return row.term, row.number, row.deleted, row.content_hash
