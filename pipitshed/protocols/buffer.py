"""A receive buffer for one connection."""

from __future__ import annotations

_VIEW_MIN_BYTES = 128 * 1024  # from here a view is used, which avoids a second copy


class TooLongError(ValueError):
    """The received bytes exceed the limit of the buffer."""


class Buffer:
    """Received bytes that are not consumed yet; it takes memory for these alone."""

    __slots__ = ("_data", "_searched", "limit")

    def __init__(self, limit: int) -> None:
        self._data = bytearray()
        self._searched = 0  # bytes already searched for a line end
        self.limit = limit

    def __len__(self) -> int:
        return len(self._data)

    def append(self, data: bytes) -> None:
        """Append received bytes; TooLongError if that exceeds the limit."""
        if len(self._data) + len(data) > self.limit:
            raise TooLongError(f"over {self.limit} bytes")
        self._data += data

    def peek(self, size: int, offset: int = 0) -> bytes:
        """Return up to `size` bytes from `offset` without consuming them."""
        end = offset + size
        if size < _VIEW_MIN_BYTES:
            return bytes(self._data[offset:end])
        with memoryview(self._data) as view:
            return bytes(view[offset:end])

    def take(self, size: int) -> bytes:
        """Consume and return up to `size` bytes."""
        data = self.peek(size)
        del self._data[: len(data)]
        self._searched = 0
        return data

    def take_all(self) -> bytes:
        """Consume and return all bytes."""
        return self.take(len(self._data)) if self._data else b""

    def take_line(self) -> bytes | None:
        """Consume the first complete line, and return it without its line end; None if there is none."""
        newline_at = self._data.find(b"\n", self._searched)
        if newline_at < 0:
            self._searched = len(self._data)
            return None
        return self.take(newline_at + 1).rstrip(b"\r\n")

    def take_lines(self) -> list[bytes]:
        """Consume all complete lines, and return them without their line ends; an incomplete one stays."""
        newline_at = self._data.rfind(b"\n", self._searched)
        if newline_at < 0:
            self._searched = len(self._data)
            return []
        return self.take(newline_at + 1).split(b"\n")[:-1]
