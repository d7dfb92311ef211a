"""The one buffer that a connection has."""

from __future__ import annotations

_FIRST = 1024


class TooLongError(ValueError):
    """More has come in than the buffer may hold."""


class Buffer:
    """Bytes that have come in and are not used up: it grows as it needs and is compacted in place."""

    __slots__ = ("_data", "_start", "_end", "_seen", "limit")

    def __init__(self, limit: int) -> None:
        self._data = bytearray(_FIRST)
        self._start = self._end = 0
        self._seen = 0  # bytes already searched for the end of a line
        self.limit = limit

    def __len__(self) -> int:
        return self._end - self._start

    def append(self, data: bytes) -> None:
        """Add what has come in; TooLongError where the limit does not allow it."""
        held, size = self._end - self._start, len(data)
        if held + size > self.limit:
            raise TooLongError(f"over {self.limit} bytes")
        if self._end + size > len(self._data):
            if self._start:
                self._data[:held] = self._data[self._start:self._end]
                self._start, self._end = 0, held
            if held + size > len(self._data):
                self._data.extend(bytes(max(len(self._data), held + size - len(self._data))))
        self._data[self._end:self._end + size] = data
        self._end += size

    def peek(self, size: int, at: int = 0) -> bytes:
        """`size` bytes from offset `at`, left in place."""
        return bytes(self._data[self._start + at:min(self._end, self._start + at + size)])

    def take(self, size: int) -> bytes:
        """The first `size` bytes, used up."""
        got = self.peek(size)
        self._start += len(got)
        self._seen = 0
        if self._start == self._end:
            self._start = self._end = 0
        return got

    def take_all(self) -> bytes:
        """All that is there, used up."""
        return self.take(len(self))

    def line(self) -> bytes | None:
        """The first whole line without its end, used up; None while there is none."""
        place = self._data.find(b"\n", self._start + self._seen, self._end)
        if place < 0:
            self._seen = self._end - self._start
            return None
        return self.take(place + 1 - self._start).rstrip(b"\r\n")
