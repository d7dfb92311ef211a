"""Datagrams between schedulers, and a bound on what strangers may cost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from pipitshed.cluster.codec import DATAGRAM_LIMIT, Codec, MessageRejectedError
from pipitshed.cluster.messages import ClusterMessage
from pipitshed.membership.members import Address

STRANGERS = 200.0  # datagrams a second that are read from addresses of no known member, in all
STRANGERS_AT_ONCE = 400.0
MEMBERS = 4000.0  # and from those of known members
MEMBERS_AT_ONCE = 8000.0


class RateLimiter:
    """So many a second, and so many at once."""

    __slots__ = ("_rate", "_most", "_left", "_at")

    def __init__(self, rate: float, most: float) -> None:
        self._rate, self._most = rate, most
        self._left, self._at = most, 0.0

    def take(self, now: float) -> bool:
        """One, if there is one left. `now` in seconds of any clock that goes forward."""
        self._left = min(self._most, self._left + (now - self._at) * self._rate)
        self._at = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


class Datagrams(asyncio.DatagramProtocol):
    """The socket for probes."""

    def __init__(
        self,
        codec: Codec,
        loop: asyncio.AbstractEventLoop,
        hear: Callable[[ClusterMessage, Address], None],
        known: Callable[[Address], bool],
        count: Callable[[str], None],
    ) -> None:
        self._codec = codec
        self._loop = loop
        self._hear = hear
        self._known = known
        self._count = count
        self._transport: asyncio.DatagramTransport | None = None
        self._strangers = RateLimiter(STRANGERS, STRANGERS_AT_ONCE)
        self._members = RateLimiter(MEMBERS, MEMBERS_AT_ONCE)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        address = (addr[0], addr[1])
        allowance = self._members if self._known(address) else self._strangers
        # Guards the loop against a flood: what is over is dropped unread, and members keep a part for them.
        if not allowance.take(self._loop.time()):
            self._count("dropped_flood")
            return
        if len(data) > DATAGRAM_LIMIT:
            self._count("dropped_size")
            return
        try:
            message = self._codec.decode(data)
        except MessageRejectedError as error:
            self._count(f"dropped_{error}")
            return
        self._count("datagrams_in")
        self._hear(message, address)

    def error_received(self, exc: Exception) -> None:
        self._count("datagram_errors")  # nobody listens there, which the probe's silence says as well

    def send(self, to: Address, data: bytes) -> None:
        """Send one datagram; it may be lost."""
        if self._transport is not None and not self._transport.is_closing():
            self._count("datagrams_out")
            self._transport.sendto(data, to)

    def close(self) -> None:
        """End it."""
        if self._transport is not None:
            self._transport.close()
