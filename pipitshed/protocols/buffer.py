"""The one buffer that a connection has."""

from __future__ import annotations

_INITIAL_BYTES = 1024
_MAX_KEPT_BYTES = 128 * 1024  # bytes of room that an empty buffer keeps


class TooLongError(ValueError):
    """More has come in than the buffer may hold."""


class Buffer:
    """Bytes that have come in and are not used up: it grows as it needs and is compacted in place."""

    __slots__ = ("_data", "_start", "_end", "_searched", "limit")

    def __init__(self, limit: int) -> None:
        self._data = bytearray(_INITIAL_BYTES)
        self._start = self._end = 0
        self._searched = 0  # bytes already searched for the end of a line
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

    def peek(self, size: int, offset: int = 0) -> bytes:
        """`size` bytes from `offset`, left in place."""
        first, end = self._start + offset, min(self._end, self._start + offset + size)
        if size < _MAX_KEPT_BYTES:
            return bytes(self._data[first:end])
        with memoryview(self._data) as view:  # long ones are copied once, not twice
            return bytes(view[first:end])

    def take(self, size: int) -> bytes:
        """The first `size` bytes, used up."""
        data = self.peek(size)
        self._start += len(data)
        self._searched = 0
        if self._start == self._end:
            self._start = self._end = 0
            if len(self._data) > _MAX_KEPT_BYTES:  # one long message must not hold its memory for good
                self._data = bytearray(_INITIAL_BYTES)
        return data

    def take_all(self) -> bytes:
        """All that is there, used up."""
        return self.take(len(self))

    def take_line(self) -> bytes | None:
        """The first whole line without its end, used up; None while there is none."""
        newline_at = self._data.find(b"\n", self._start + self._searched, self._end)
        if newline_at < 0:
            self._searched = self._end - self._start
            return None
        return self.take(newline_at + 1 - self._start).rstrip(b"\r\n")

    def take_lines(self) -> list[bytes]:
        """All whole lines without their ends, used up; what follows the last one stays."""
        newline_at = self._data.rfind(b"\n", self._start + self._searched, self._end)
        if newline_at < 0:
            self._searched = self._end - self._start
            return []
        return self.take(newline_at + 1 - self._start).split(b"\n")[:-1]
