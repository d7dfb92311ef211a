"""The datagram socket between schedulers, with a rate limit on what is read from it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from pipitshed.cluster import counters
from pipitshed.cluster.codec import DATAGRAM_LIMIT_BYTES, Codec, MessageRejectedError
from pipitshed.cluster.messages import ClusterMessage
from pipitshed.membership.members import Address

UNKNOWN_SENDERS_PER_S = 200.0  # datagrams read from all addresses that belong to no known member
UNKNOWN_SENDERS_BURST = 400.0
MEMBERS_PER_S = 4000.0  # datagrams read from all known members
MEMBERS_BURST = 8000.0


class RateLimiter:
    """A token bucket with a rate in events per second and a limit on events in one burst."""

    __slots__ = ("_rate_per_s", "_burst", "_tokens", "_updated_at")

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_at = 0.0

    def try_acquire(self, now: float) -> bool:
        """Take one token, if there is one; `now` is in seconds of any monotonic clock."""
        refill = (now - self._updated_at) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + refill)
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Datagrams(asyncio.DatagramProtocol):
    """The datagram socket of one scheduler."""

    def __init__(
        self,
        codec: Codec,
        loop: asyncio.AbstractEventLoop,
        on_message: Callable[[ClusterMessage, Address], None],
        is_member: Callable[[Address], bool],
        count: Callable[[str], None],
    ) -> None:
        self._codec = codec
        self._loop = loop
        self._on_message = on_message
        self._is_member = is_member
        self._count = count
        self._transport: asyncio.DatagramTransport | None = None
        self._unknown_sender_limiter = RateLimiter(UNKNOWN_SENDERS_PER_S, UNKNOWN_SENDERS_BURST)
        self._member_limiter = RateLimiter(MEMBERS_PER_S, MEMBERS_BURST)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the socket is open."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Called by the event loop with each datagram."""
        address = (addr[0], addr[1])
        limiter = self._member_limiter if self._is_member(address) else self._unknown_sender_limiter
        # Decoding a flood would block the event loop, so the excess is dropped before it is decoded.
        # Members have a separate limit, so that a flood from other addresses costs them no datagram.
        if not limiter.try_acquire(self._loop.time()):
            self._count(counters.DROPPED_RATE_LIMIT)
            return
        if len(data) > DATAGRAM_LIMIT_BYTES:
            self._count(counters.DROPPED_SIZE_LIMIT)
            return
        try:
            message = self._codec.decode(data)
        except MessageRejectedError as error:
            self._count(counters.dropped(error))
            return
        self._count(counters.DATAGRAMS_IN)
        self._on_message(message, address)

    def error_received(self, _error: Exception) -> None:
        """Called by the event loop, for example if no process listens at an address; probes detect that."""
        self._count(counters.DATAGRAM_ERRORS)

    def send(self, address: Address, data: bytes) -> None:
        """Send one datagram; delivery is not guaranteed."""
        if self._transport is not None and not self._transport.is_closing():
            self._count(counters.DATAGRAMS_OUT)
            self._transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
