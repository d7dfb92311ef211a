"""Binds the stream socket and the datagram socket of a peer address."""

from __future__ import annotations

import socket
from dataclasses import dataclass

from pipitshed.membership.members import Address

BACKLOG = 128
ANY_PORT_ATTEMPTS = 9


@dataclass(frozen=True, slots=True)
class PeerSockets:
    """A stream socket and a datagram socket at the same port."""

    stream: socket.socket
    datagram: socket.socket

    @property
    def address(self) -> Address:
        """The address that both sockets are bound to."""
        address: Address = self.stream.getsockname()[:2]
        return address

    def close(self) -> None:
        """Close both sockets."""
        self.stream.close()
        self.datagram.close()


def bind(address: Address) -> PeerSockets:
    """Bind both sockets; port 0 asks for any port that is free for both.

    Raises:
        OSError: The address is in use.
    """
    any_port = address[1] == 0
    for _ in range(ANY_PORT_ATTEMPTS - 1 if any_port else 0):
        try:
            return _bind_once(address)
        except OSError:
            continue  # another datagram socket has the stream socket's port
    return _bind_once(address)


def _bind_once(address: Address) -> PeerSockets:
    sockets = PeerSockets(
        socket.socket(socket.AF_INET, socket.SOCK_STREAM),
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM),
    )
    try:
        sockets.stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sockets.stream.bind(address)
        sockets.stream.listen(BACKLOG)  # a second process fails to bind the port only from here on
        sockets.datagram.bind((address[0], sockets.stream.getsockname()[1]))
    except OSError:
        sockets.close()
        raise
    sockets.stream.setblocking(False)
    sockets.datagram.setblocking(False)
    return sockets
