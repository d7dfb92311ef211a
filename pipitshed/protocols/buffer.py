"""The one buffer that a connection has."""

from __future__ import annotations

_FIRST = 1024
_KEPT = 128 * 1024  # bytes of room that an empty buffer keeps


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
                self._data[:held] = self._data[self._start : self._end]
                self._start, self._end = 0, held
            if held + size > len(self._data):
                self._data.extend(bytes(max(len(self._data), held + size - len(self._data))))
        self._data[self._end : self._end + size] = data
        self._end += size

    def peek(self, size: int, at: int = 0) -> bytes:
        """`size` bytes from offset `at`, left in place."""
        first, end = self._start + at, min(self._end, self._start + at + size)
        if size < _KEPT:
            return bytes(self._data[first:end])
        with memoryview(self._data) as view:  # long ones are copied once, not twice
            return bytes(view[first:end])

    def take(self, size: int) -> bytes:
        """The first `size` bytes, used up."""
        got = self.peek(size)
        self._start += len(got)
        self._seen = 0
        if self._start == self._end:
            self._start = self._end = 0
            if len(self._data) > _KEPT:  # one long message does not keep its room for the connection's life
                self._data = bytearray(_FIRST)
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

    def lines(self) -> list[bytes]:
        """All whole lines without their ends, used up; what follows the last one stays."""
        place = self._data.rfind(b"\n", self._start + self._seen, self._end)
        if place < 0:
            self._seen = self._end - self._start
            return []
        return self.take(place + 1 - self._start).split(b"\n")[:-1]
