"""A receive buffer for one connection."""

from __future__ import annotations

_INITIAL_BYTES = 1024  # capacity of a new buffer
_MAX_KEPT_BYTES = 128 * 1024  # largest capacity that an empty buffer keeps


class TooLongError(ValueError):
    """The received bytes exceed the limit of the buffer."""


class Buffer:
    """Received bytes that are not consumed yet; it grows on demand and is compacted in place."""

    __slots__ = ("_data", "_start", "_end", "_searched", "limit")

    def __init__(self, limit: int) -> None:
        self._data = bytearray(_INITIAL_BYTES)
        self._start = self._end = 0
        self._searched = 0  # bytes already searched for a line end
        self.limit = limit

    def __len__(self) -> int:
        return self._end - self._start

    def append(self, data: bytes) -> None:
        """Append received bytes; TooLongError if that exceeds the limit."""
        unread, size = self._end - self._start, len(data)
        if unread + size > self.limit:
            raise TooLongError(f"over {self.limit} bytes")
        if self._end + size > len(self._data):
            if self._start:
                self._data[:unread] = self._data[self._start : self._end]
                self._start, self._end = 0, unread
            if unread + size > len(self._data):
                self._data.extend(bytes(max(len(self._data), unread + size - len(self._data))))
        self._data[self._end : self._end + size] = data
        self._end += size

    def peek(self, size: int, offset: int = 0) -> bytes:
        """Return up to `size` bytes from `offset` without consuming them."""
        first, end = self._start + offset, min(self._end, self._start + offset + size)
        if size < _MAX_KEPT_BYTES:
            return bytes(self._data[first:end])
        with memoryview(self._data) as view:  # avoids a second copy of long data
            return bytes(view[first:end])

    def take(self, size: int) -> bytes:
        """Consume and return up to `size` bytes."""
        data = self.peek(size)
        self._start += len(data)
        self._searched = 0
        if self._start == self._end:
            self._start = self._end = 0
            if len(self._data) > _MAX_KEPT_BYTES:  # free the memory of a long message
                self._data = bytearray(_INITIAL_BYTES)
        return data

    def take_all(self) -> bytes:
        """Consume and return all bytes."""
        return self.take(len(self))

    def take_line(self) -> bytes | None:
        """Consume the first complete line, and return it without its line end; None if there is none."""
        newline_at = self._data.find(b"\n", self._start + self._searched, self._end)
        if newline_at < 0:
            self._searched = self._end - self._start
            return None
        return self.take(newline_at + 1 - self._start).rstrip(b"\r\n")

    def take_lines(self) -> list[bytes]:
        """Consume all complete lines, and return them without their line ends; an incomplete one stays."""
        newline_at = self._data.rfind(b"\n", self._start + self._searched, self._end)
        if newline_at < 0:
            self._searched = self._end - self._start
            return []
        return self.take(newline_at + 1 - self._start).split(b"\n")[:-1]
