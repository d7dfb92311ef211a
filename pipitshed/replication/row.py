"""One small versioned row, and which of two is the newer."""

from __future__ import annotations

import msgspec

from pipitshed.replication.merkle_tree import hashed

FORMAT_VERSION = 1  # of the rows that this program writes and reads
KEY_LIMIT = 128  # bytes
WRITER_LIMIT = 64  # bytes
_encoder = msgspec.msgpack.Encoder()


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One row. Its version is (term, number): its one writer raises the number, a take-over by another writer
    raises the term. A form above `FORM` is from a newer program: kept and passed on unread.
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
        """Whether this program knows what the body means."""
        return self.format_version <= FORMAT_VERSION

    @property
    def size(self) -> int:
        """Bytes that it takes in a message."""
        return len(_encoder.encode(self))

    @property
    def content_hash(self) -> int:
        """A hash of all of it."""
        return hashed(_encoder.encode(self))

    def is_valid(self) -> bool:
        """Whether it has the form of a row; what strangers send is held against it."""
        return (
            0 < len(self.key.encode()) <= KEY_LIMIT
            and 0 < len(self.writer.encode()) <= WRITER_LIMIT
            and 0 < self.term < 2**32
            and 0 < self.number < 2**62
            and 0 < self.format_version < 2**16
        )


def precedence(row: Row) -> tuple[int, int, bool, int]:
    """What is newer has the higher rank. A total order: of two contents under one number the same one stands
    everywhere.
    """
    return row.term, row.number, row.deleted, row.content_hash
