"""A peer that sends at full speed, in threads of its own."""

from __future__ import annotations

import socket
import threading

CHUNK_BYTES = 256 * 1024  # sent and read at once
POLL_S = 0.1  # between looks at whether the flood has ended


class Flood:
    """A peer in threads of its own that sends the same bytes at full speed on one connection.

    Args:
        sock: The connection.
        data: What is sent again and again.
        reads: Whether the peer reads what it is sent.
    """

    def __init__(self, sock: socket.socket, data: bytes, reads: bool = True) -> None:
        self.sent_bytes = 0
        self._socket = sock
        self._data = data * max(1, CHUNK_BYTES // len(data))
        self._ended = threading.Event()
        sock.settimeout(POLL_S)
        self._threads = [threading.Thread(target=self._send)]
        if reads:
            self._threads.append(threading.Thread(target=self._read))
        for thread in self._threads:
            thread.start()

    def _send(self) -> None:
        view, offset = memoryview(self._data), 0
        while not self._ended.is_set():
            try:
                count = self._socket.send(view[offset:])
            except TimeoutError:
                continue
            except OSError:
                return
            self.sent_bytes += count
            offset = (offset + count) % len(view)

    def _read(self) -> None:
        buffer = bytearray(CHUNK_BYTES)
        while not self._ended.is_set():
            try:
                if not self._socket.recv_into(buffer):
                    return
            except TimeoutError:
                continue
            except OSError:
                return

    def close(self) -> None:
        """Stop sending, and close the connection."""
        self._ended.set()
        for thread in self._threads:
            thread.join()
        self._socket.close()
