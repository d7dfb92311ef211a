"""Relays: the public address of each party, where the faults of the links to its callers take effect.

A process of the fleet advertises the address of its relay. The relay identifies a caller by its loopback
address (each process has its own), and forwards datagrams from the address of the caller's relay, so that
answers return through the relays.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import cast

from pipitshed.testbed.fleet.links import Link, Links

Address = tuple[str, int]
CUT_POLL_INTERVAL_S = 0.02  # s between checks whether a cut link works again


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self._relay.datagram(data, addr)


class Relay:
    """Forwards datagrams and streams from a party's public address to its real one."""

    def __init__(
        self, name: str, public: Address, real: Address, links: Links, caller: Callable[[str], Relay | None]
    ) -> None:
        """`caller` finds the relay of the process with a loopback address; None for other callers."""
        self.name, self.public, self.real = name, public, real
        self._links = links
        self._caller = caller
        self._datagrams: _Datagrams | None = None
        self._server: asyncio.Server | None = None
        self._streams: dict[asyncio.WriteTransport, str] = {}  # with the name of the party that opened each
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen at the public address."""
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_datagram_endpoint(lambda: _Datagrams(self), local_addr=self.public)
        self._datagrams = protocol
        self._server = await asyncio.start_server(self._connected, *self.public)

    def datagram(self, data: bytes, source: Address) -> None:
        """Forward a datagram from its sender's public address; one of an unknown sender is dropped."""
        sender = self._caller(source[0])
        if sender is None:
            return
        loop = asyncio.get_running_loop()
        for delay in self._links[sender.name, self.name].datagram():
            if delay:
                loop.call_later(delay, sender.send, data, self.real)
            else:
                sender.send(data, self.real)

    def send(self, data: bytes, to: Address) -> None:
        """Send a datagram from the public address."""
        transport = self._datagrams.transport if self._datagrams is not None else None
        if transport is not None and not transport.is_closing():
            transport.sendto(data, to)

    def reset(self, caller: str) -> None:
        """Reset the streams that a party has opened."""
        for transport, name in list(self._streams.items()):
            if name == caller:
                transport.abort()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        caller = self._caller(writer.get_extra_info("peername")[0])
        name = caller.name if caller is not None else "outside"
        there, back = self._links[name, self.name], self._links[self.name, name]
        there.counts["streams"] += 1
        transports: list[asyncio.WriteTransport] = [writer.transport]
        self._streams[writer.transport] = name
        try:
            while there.cut or back.cut:  # the stream is not connected; the caller may close it
                await asyncio.sleep(CUT_POLL_INTERVAL_S)
                if writer.is_closing() or reader.at_eof():
                    return
            await asyncio.sleep(there.delay)
            inner_reader, inner = await asyncio.open_connection(*self.real)
            transports.append(inner.transport)
            self._streams[inner.transport] = name
            await asyncio.gather(self._pump(reader, inner, there), self._pump(inner_reader, writer, back))
        except (OSError, asyncio.CancelledError):
            pass  # no listener, or the run ends: the caller's stream is reset
        finally:
            for transport in transports:
                self._streams.pop(transport, None)
                transport.abort()
            self._tasks.discard(task)

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: Link) -> None:
        with contextlib.suppress(OSError, RuntimeError):  # uvloop raises RuntimeError on a closed transport
            while data := await reader.read(65536):
                while link.cut:
                    await asyncio.sleep(CUT_POLL_INTERVAL_S)
                if delay := link.delay:
                    await asyncio.sleep(delay)
                place = 0
                for size, pause in link.throttled(len(data)):
                    writer.write(data[place : place + size])
                    place += size
                    await writer.drain()
                    if pause:
                        await asyncio.sleep(pause)
            if writer.can_write_eof():
                writer.write_eof()

    def close(self) -> None:
        """Stop listening and cancel all streams."""
        if self._server is not None:
            self._server.close()
        if self._datagrams is not None and self._datagrams.transport is not None:
            self._datagrams.transport.close()
        for task in list(self._tasks):
            task.cancel()
