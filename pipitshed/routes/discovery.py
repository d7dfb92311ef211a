"""Discovery's list and watch: one call at a time, each line of an answer one piece of list news."""

from __future__ import annotations

import asyncio

from typing import Protocol, cast

import msgspec

from pipitshed.decisions.interface import Entry, ListKind, State
from pipitshed.exchange.parties import Carrier, EgressTarget
from pipitshed.exchange.route_table import Line, RouteTable
from pipitshed.wire.http import BODY_LIMIT, BadAnswerError, Reader

SOURCE = "discovery"
PATH = "/catalog/members"
CONNECT_TIMEOUT = 1.0  # s
ANSWER_TIMEOUT = 2.5  # s to the head of an answer: calls wait in turn
PIECE = 1.0  # s that a piece of news may stand unfinished, from the head or from its last bytes
HEARTBEAT = 2.0  # s between empty lines while nothing changes
SILENCE = HEARTBEAT + 0.4  # s after which a watch is taken for cut

_STATES = {"ready": State.READY, "draining": State.DRAINING, "gone": State.GONE}


class Instance(msgspec.Struct, rename="camel"):
    """One line of the list."""

    instance_id: str
    host_port: str
    zone: str = ""
    machine_type: str = ""
    cell: int = 0
    lifecycle: str = "ready"
    weight: float = 1.0
    started_at_ms: float = 0.0
    interface: int = 0  # the planner interface that it speaks, where the row tells it


class Members(msgspec.Struct):
    """One piece of list news."""

    generation: int
    instances: list[Instance]
    reset: bool = False


_decode = msgspec.json.Decoder(Members).decode


def address_of(text: str) -> tuple[str, int]:
    """`host:port`; ValueError where it is not."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)


class Names:
    """The places of names in the settings; a name they do not have gets a place of its own behind them."""

    def __init__(self, names: list[str]) -> None:
        self._places = {name: place for place, name in enumerate(names)}

    def place(self, name: str) -> int:
        return self._places.setdefault(name, len(self._places))


class Carriers(Protocol):
    """Which interface a planner speaks, where there is more than one."""

    def choose(self, source: str, item: Instance, listing: Listing) -> tuple[int, Carrier]:
        """The interface, 0 while it is being found out, and what carries hops to it."""


class Listing:
    """Turns one source's lines into route table lines."""

    def __init__(self, source: str, zones: Names, kinds: Names, carrier: Carrier,
                 carriers: Carriers | None = None) -> None:
        self.source = source
        self.zones, self.kinds, self.carrier, self.carriers = zones, kinds, carrier, carriers

    def line(self, item: Instance) -> Line:
        worker = item.instance_id.encode()
        interface, carrier = 1, self.carrier
        if self.carriers is not None:
            interface, carrier = self.carriers.choose(self.source, item, self)
        # What is not known to be of any interface gets nothing.
        classes = frozenset[int]() if interface == 0 else None
        entry = Entry(worker, self.zones.place(item.zone), item.cell, self.kinds.place(item.machine_type),
                      item.weight, item.started_at_ms, _STATES.get(item.lifecycle, State.DRAINING), classes,
                      interface)
        return entry, EgressTarget(worker, carrier, address_of(item.host_port), interface)


class Discovery:
    """Asks for the list when the decisions say so. Whatever ends a call is news that it failed; when to
    ask again is theirs to decide."""

    def __init__(self, address: tuple[str, int], listing: Listing, table: RouteTable,
                 loop: asyncio.AbstractEventLoop) -> None:
        self.address = address
        self.listing = listing
        self.table = table
        self.loop = loop
        self.version = 0
        self.heard = False  # discovery itself has told a list since the start
        self._watch: _Call | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def known(self, members: Members) -> None:
        """The list as this scheduler last had it."""
        self.fill(members, ListKind.CACHED)

    def follow(self, address: tuple[str, int]) -> None:
        """Discovery is at another address from now on. The watch at the old one tells what it still can,
        until the decisions ask anew; what is known so far, and its version, stay."""
        if address != self.address:
            self.address = address
            self.table.moved()

    def ask(self, watch: bool) -> None:
        """Watch from the version that is known, or ask once for the whole list."""
        if watch:
            self.close()
        call = _Call(self, watch)
        if watch:
            self._watch = call
        task = self.loop.create_task(call.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """End the watch without news of it."""
        if self._watch is not None:
            self._watch.end()
            self._watch = None

    def fill(self, members: Members, kind: ListKind) -> None:
        """Put one piece of news into the route table."""
        lines = [self.listing.line(item) for item in members.instances]
        self.version = members.generation
        self.heard = self.heard or kind is not ListKind.CACHED
        self.table.fill(SOURCE, kind, members.generation, lines)


class _Call(asyncio.Protocol):
    """One call: the whole list, or a watch that lasts until its connection ends."""

    def __init__(self, discovery: Discovery, watch: bool) -> None:
        self._discovery = discovery
        self._watch = watch
        self._reader = Reader(self, 16 * BODY_LIMIT)
        self._transport: asyncio.Transport | None = None
        self._status = 0
        self._over = False
        self._heard = False  # a whole piece of news has come
        self._silence: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        owner = self._discovery
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await owner.loop.create_connection(lambda: self, *owner.address)
        except OSError:
            self.fail()

    def end(self) -> None:
        """Nothing more is told of this call."""
        self._over = True
        if self._silence is not None:
            self._silence.cancel()
        if self._transport is not None:
            self._transport.abort()

    def fail(self) -> None:
        if not self._over:
            self.end()
            self._discovery.table.failed()

    def _expect(self, seconds: float) -> None:
        if self._silence is not None:
            self._silence.cancel()
        if not self._over:
            self._silence = self._discovery.loop.call_later(seconds, self.fail)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are none by inheritance
        if self._over:
            self._transport.abort()
            return
        query = f"?watch=1&from={self._discovery.version}" if self._watch else ""
        self._transport.write(f"GET {PATH}{query} HTTP/1.1\r\nHost: service.internal\r\n\r\n".encode())
        self._expect(ANSWER_TIMEOUT)

    def data_received(self, data: bytes) -> None:
        if self._over:
            return
        try:
            self._reader.feed(data)
        except BadAnswerError:
            self.fail()
        # Guards against a call that stops short, behind its head or in the middle of a line: it says nothing
        # more, and what discovery then tells counts as told before a wait for the next heartbeat is over.
        self._expect(PIECE if self._short else SILENCE)

    @property
    def _short(self) -> bool:
        """Whether more must follow at once."""
        return not self._heard or len(self._reader.buffer) > 0

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail()

    def head_came(self, status: int) -> None:
        self._status = status
        if status != 200:
            self.fail()

    def body_came(self) -> None:
        while self._watch and not self._over and (text := self._reader.buffer.line()) is not None:
            self._take(text)

    def answer_ended(self, keep_alive: bool) -> None:
        text = self._reader.buffer.take_all()
        if not self._over:
            self._take(text)
        if self._watch or self._status != 200:
            self.fail()
        else:
            self.end()

    def _take(self, text: bytes) -> None:
        if not text.strip():
            return  # the heartbeat
        try:
            members = _decode(text)
            self._heard = True
            self._discovery.fill(members, ListKind.FULL if members.reset else ListKind.DELTA)
        except (msgspec.DecodeError, ValueError) as error:
            raise BadAnswerError(f"no list: {error}") from None
