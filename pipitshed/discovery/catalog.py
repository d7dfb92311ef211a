"""Discovery's list and watch: one call at a time, each line of an answer one piece of list news."""

from __future__ import annotations

import asyncio
import logging
import math
import re
import sys
from collections import Counter, deque
from collections.abc import Callable
from typing import Protocol, cast

import msgspec

from pipitshed.protocols.http import BadAnswerError, Reader
from pipitshed.proxy.endpoint_table import EndpointRow, EndpointTable
from pipitshed.proxy.worker_client import Endpoint, WorkerClient
from pipitshed.scheduling.events import EndpointEntry, EndpointState, UpdateKind

SOURCE = "discovery"
PATH = "/catalog/members"
CONNECT_TIMEOUT = 1.0  # s
ANSWER_TIMEOUT = 3.2  # s to the head of an answer: calls wait in turn, and fail there when that took too long
PIECE = 1.5  # s from its first byte, or from the head, within which a piece of news is whole
LEAST_HURRY = 0.25  # s that a pushed list's agent is given at least to take a connection, or to answer
LEAST_RATE = 64 * 1024  # bytes/s at which a piece that is longer than that comes, to have further PIECEs
IDLE_LOOK = 3.0  # s without a call after which the decisions are told that the last one failed
HEARTBEAT = 2.0  # s between empty lines while nothing changes
SILENCE = HEARTBEAT + 0.4  # s after which a watch is taken for cut

REST_MB = 40.0  # MB that the process has without a list, and what its clients' requests take beside it
LIST_COST = 20.0  # bytes of memory that one of a list takes at its peak: 15.3 as it comes again, and pools
LEAST_BOUND = 256 * 1024  # bytes of a piece of news that are taken whatever the memory limit
SLICE = 512  # planners of a piece of news that one turn of the loop takes up: 3 ms
READ = 256 * 1024  # bytes that one read of a connection brings at most
BEYOND = 10.0  # s within which a piece of news beyond the bound ends; any other call would bring it again
_TEXTS = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"')  # JSON's strings; none has a line's end in it

log = logging.getLogger("pipitshed")

_STATES = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING, "gone": EndpointState.REMOVED}


class CatalogEntry(msgspec.Struct, rename="camel", gc=False):
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


class CatalogUpdate(msgspec.Struct):
    """One piece of list news."""

    generation: int
    instances: list[CatalogEntry]
    reset: bool = False


_decode = msgspec.json.Decoder(CatalogUpdate).decode


def update_size_limit(memory_mb: float) -> int:
    """Bytes of a piece of news that a process with this memory limit (MB) takes: as many as fit into it
    beside all else while they are read and parsed, with the list before still there.
    """
    return max(LEAST_BOUND, int((memory_mb - REST_MB) * 1024 * 1024 / LIST_COST))


def parse_address(text: str) -> tuple[str, int]:
    """`host:port`; ValueError where it is not."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)


class NameIndex:
    """The places of names in the settings; a name they do not have gets a place of its own behind them."""

    def __init__(self, names: list[str]) -> None:
        self._places = {name: place for place, name in enumerate(names)}

    def index(self, name: str) -> int:
        return self._places.setdefault(name, len(self._places))


class InterfaceResolver(Protocol):
    """Which interface a planner speaks, where there is more than one."""

    def choose(self, source: str, item: CatalogEntry, listing: EndpointParser) -> tuple[int, WorkerClient]:
        """The interface, 0 while it is being found out, and what carries attempts to it."""


class EndpointParser:
    """Turns one source's lines into route table lines."""

    def __init__(
        self,
        source: str,
        zones: NameIndex,
        kinds: NameIndex,
        carrier: WorkerClient,
        carriers: InterfaceResolver | None = None,
    ) -> None:
        self.source = source
        self.zones, self.kinds, self.client, self.interface_resolver = zones, kinds, carrier, carriers

    def row(self, item: CatalogEntry) -> EndpointRow:
        worker = item.instance_id.encode()
        interface, carrier = 1, self.client
        if self.interface_resolver is not None:
            interface, carrier = self.interface_resolver.choose(self.source, item, self)
        # What is not known to be of any interface gets nothing.
        classes = frozenset[int]() if interface == 0 else None
        entry = EndpointEntry(
            worker,
            self.zones.index(item.zone),
            item.cell,
            self.kinds.index(item.machine_type),
            item.weight,
            item.started_at_ms,
            _STATES.get(item.lifecycle, EndpointState.DRAINING),
            classes,
            interface,
        )
        return entry, Endpoint(worker, carrier, parse_address(item.host_port), interface)


class CatalogClient:
    """Asks for the list when the decisions say so. Whatever ends a call is news that it failed; when to
    ask again is theirs to decide.
    """

    def __init__(
        self,
        address: tuple[str, int],
        listing: EndpointParser,
        table: EndpointTable,
        loop: asyncio.AbstractEventLoop,
        bound: int = update_size_limit(192),
    ) -> None:
        self.address = address
        self.size_limit = bound  # bytes of a piece of news
        self.parser = listing
        self.table = table
        self.loop = loop
        self.version = 0
        self.received_any = False  # discovery itself has told a list since the start
        self.unreachable = False  # the last call that ended could not connect
        self.connect_timeout, self.answer_timeout = CONNECT_TIMEOUT, ANSWER_TIMEOUT
        self.calls = 0  # that are under way
        self._idle_since = math.inf
        self._look: asyncio.TimerHandle | None = None
        self._watch: _Call | None = None
        self.counters: Counter[str] = Counter()  # calls, bytes that came, whole lists, planners in changes
        self._wrong = ""  # what was last said to be wrong with the news
        self._waiting: deque[_News] = deque()  # pieces that are not in the table yet
        self._lines: list[EndpointRow] = []  # of the first of them
        self._tasks: set[asyncio.Task[None]] = set()

    def set_timeouts(self, grace: float) -> None:
        """The list is pushed to an agent, and what that has counts as told at once: calls to it do not wait
        in turn, and one that hangs is given up well within the grace (s) for drains.
        """
        self.connect_timeout = self.answer_timeout = min(CONNECT_TIMEOUT, max(LEAST_HURRY, grace / 3))

    def load_cached(self, members: CatalogUpdate) -> None:
        """The list as this scheduler last had it."""
        self.version = members.generation
        lines = map(self.parser.row, members.instances)
        self.table.update(SOURCE, UpdateKind.CACHED, members.generation, lines)

    def follow(self, address: tuple[str, int]) -> None:
        """Discovery is at another address from now on. The watch at the old one tells what it still can,
        until the decisions ask anew; what is known so far, and its version, stay.
        """
        if address != self.address:
            self.address = address
            self.table.discovery_moved()

    def fetch(self, watch: bool) -> None:
        """Watch from the version that is known, or ask once for the whole list."""
        if watch:
            self.close()
        call = _Call(self, watch)
        self.calls += 1
        self.counters["list calls"] += 1
        self._idle_since = math.inf
        if self._look is None:
            self._look = self.loop.call_later(IDLE_LOOK, self._look_after)
        if watch:
            self._watch = call
        task = self.loop.create_task(call.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def ended(self) -> None:
        """A call is over, however it ended."""
        self.calls -= 1
        if not self.calls:
            self._idle_since = self.loop.time()

    def _look_after(self) -> None:
        # Guards the list against an exception between a call's end and the next one: nobody else would ask
        # again. The decisions' longest wait is shorter.
        self._look = self.loop.call_later(IDLE_LOOK, self._look_after)
        if self.loop.time() - self._idle_since >= IDLE_LOOK:
            log.warning("no call to discovery is under way, and none has come: the last one counts as failed")
            self._idle_since = self.loop.time()
            self.table.fetch_failed()

    def close(self) -> None:
        """End the watch without news of it."""
        if self._watch is not None:
            self._watch.end()
            self._watch = None

    def stop(self) -> None:
        """The end: no call, and none to come."""
        self.close()
        if self._look is not None:
            self._look.cancel()

    def wrong(self, text: str) -> None:
        """Log what is wrong with the news, once until that changes: each further call may bring the same."""
        if text != self._wrong:
            self._wrong = text
            log.warning("discovery: %s", text)

    def right(self) -> None:
        """News came as it should."""
        self._wrong = ""

    def take(self, call: _Call, members: CatalogUpdate, current: bool) -> None:
        """Put one piece of news of a call into the route table; `current` says whether all before it was
        taken, so that the list known is of its version. Guards the loop's timers against a long piece: its
        planners are taken up in slices, and it is one change all the same.
        """
        self._waiting.append((call, members, current))
        if len(self._waiting) == 1:
            if len(members.instances) > self._slice:
                self.loop.call_soon(self._work)
            else:
                self._work()

    @property
    def _slice(self) -> int:
        # Where interfaces are found out meanwhile, a line that was made some turns ago may be out of date.
        return SLICE if self.parser.interface_resolver is None else sys.maxsize

    def _work(self) -> None:
        """Take up what waits, as much as one turn may."""
        while self._waiting:
            call, members, current = self._waiting[0]
            place = len(self._lines)
            try:
                self._lines += map(self.parser.row, members.instances[place : place + self._slice])
                if len(self._lines) < len(members.instances):
                    self.loop.call_soon(self._work)
                    return
                kind = UpdateKind.SNAPSHOT if members.reset else UpdateKind.DELTA
                self.table.update(SOURCE, kind, members.generation, self._lines)
            except Exception as error:
                # Guards against what came behind it in this call, which would be taken for all that there is.
                self._waiting = deque(one for one in self._waiting if one[0] is not call)
                self._lines = []
                if isinstance(error, ValueError):
                    self.wrong(f"no list: {error}")
                else:
                    log.exception("news from discovery")
                call.fail()
                continue
            self._waiting.popleft()
            self._lines = []
            self.received_any = True
            if members.reset:
                self.counters["whole lists"] += 1
                log.info(
                    "discovery: the whole list, version %d, %d planners",
                    members.generation,
                    len(members.instances),
                )
            else:
                self.counters["list changes"] += len(members.instances)
            if current:
                self.version = members.generation
                self.right()


_News = tuple["_Call", CatalogUpdate, bool]


class _Call(asyncio.Protocol):
    """One call: the whole list, or a watch that lasts until its connection ends."""

    def __init__(self, discovery: CatalogClient, watch: bool) -> None:
        self._discovery = discovery
        self._watch = watch
        self._bound = discovery.size_limit
        self._reader = Reader(self, self._bound + READ)
        self._transport: asyncio.Transport | None = None
        self._status = 0
        self._over = False
        self._heard = False  # a whole piece of news has come
        self._piece: list[bytes] = []  # lines of a piece of news that goes on: lists may come indented
        self._size = 0  # bytes of them
        self._open = 0  # braces of them that are not closed
        self._beyond: int | None = None  # bytes so far of a piece beyond the bound, which is passed over
        self._lines = False  # that piece comes in several lines
        self._missed = False  # a piece was passed over, and no whole list has come since
        self._came = 0  # bytes
        self._due: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Connect, and ask. Whatever goes wrong is news that the call failed."""
        owner = self._discovery
        try:
            async with asyncio.timeout(owner.connect_timeout):
                await owner.loop.create_connection(lambda: self, *owner.address)
        except OSError:
            owner.unreachable = True
            self.fail()
        except Exception:
            log.exception("a call to discovery")
            self.fail()

    def end(self) -> None:
        """Nothing more is told of this call."""
        if self._over:
            return
        self._over = True
        if self._beyond is not None:
            self._tell_beyond("more bytes yet", "was not read to its end")
        if self._due is not None:
            self._due.cancel()
        if self._transport is not None:
            self._transport.abort()
        self._discovery.ended()

    def fail(self) -> None:
        if not self._over:
            self.end()
            self._discovery.table.fetch_failed()

    def _expect(self, seconds: float, otherwise: Callable[[], None] | None = None) -> None:
        """What is awaited now comes within so long, whatever bytes come before it is whole; else the call has
        failed, or `otherwise` tells.
        """
        if self._due is not None:
            self._due.cancel()
        if not self._over:
            self._due = self._discovery.loop.call_later(seconds, otherwise or self.fail)

    def _expect_piece(self) -> None:
        """A piece of news is whole soon; a long list may take as long as it goes on coming. Guards against
        one that is given up each time, and asked for again, where many fetch it at once.
        """
        before = self._came

        def look() -> None:
            if self._came - before >= PIECE * LEAST_RATE:
                self._expect_piece()
            else:
                self.fail()

        self._expect(PIECE, look)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are none by inheritance
        self._discovery.unreachable = False
        if self._over:
            self._transport.abort()
            return
        query = f"?watch=1&from={self._discovery.version}" if self._watch else ""
        self._transport.write(f"GET {PATH}{query} HTTP/1.1\r\nHost: service.internal\r\n\r\n".encode())
        self._expect(self._discovery.answer_timeout)

    def data_received(self, data: bytes) -> None:
        if self._over:
            return
        unfinished = self._unfinished
        self._discovery.counters["list bytes"] += len(data)
        self._came += len(data)
        try:
            self._reader.feed(data)
        except BadAnswerError as error:
            self._discovery.wrong(str(error))
            self.fail()
        except Exception:
            log.exception("news from discovery")
            self.fail()
        # Guards against news that is held back in bytes that trickle: a piece has its time from its first
        # byte, and only a whole line, news or heartbeat, is a sign of life. What discovery tells counts as
        # told whether or not its end arrives.
        if self._unfinished and not unfinished and self._beyond is None:
            self._expect_piece()

    @property
    def _unfinished(self) -> bool:
        """Whether a piece of news has begun and must be whole soon."""
        return bool(self._piece) or self._beyond is not None or len(self._reader.buffer) > 0

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail()

    def head_came(self, status: int) -> None:
        self._status = status
        if status != 200:
            self.fail()
        else:
            self._expect_piece()  # the first one comes at once

    def body_came(self) -> None:
        buffer, bound = self._reader.buffer, self._bound
        for text in buffer.lines() if self._watch else ():
            if self._over:
                return
            if self._beyond is None and self._size + len(text) > bound:
                self._pass_over()
            if self._beyond is not None:
                self._passed(text)
            else:
                self._line(text)
        if self._beyond is None and self._size + len(buffer) > bound:
            self._pass_over()
        if self._beyond is not None and (not self._watch or len(buffer) > READ):
            self._beyond += len(buffer.take_all())

    def answer_ended(self, keep_alive: bool) -> None:
        text = b"\n".join((*self._piece, self._reader.buffer.take_all()))
        whole = self._over or (self._beyond is None and (not text.strip() or self._take(text)))
        if self._watch or self._status != 200 or not whole:
            self.fail()
        else:
            self.end()

    def _line(self, text: bytes) -> None:
        """One line of a watch: the heartbeat, news, or a part of news that comes indented."""
        if not self._piece:
            if not text.strip():
                if self._heard:
                    self._expect(SILENCE)
                return
            if text.rstrip().endswith(b"}") and self._take(text):
                self._expect(SILENCE)
                return
        self._piece.append(text)
        self._size += len(text) + 1
        # Guards against one try for each line of a long piece: it is whole where its braces are.
        if b"{" in text or b"}" in text:
            bare = _TEXTS.sub(b"", text)
            self._open += bare.count(b"{") - bare.count(b"}")
        if self._open <= 0:
            piece = b"\n".join(self._piece)
            self._piece, self._size, self._open = [], 0, 0
            if not self._take(piece):
                raise BadAnswerError("no list: it ends before it is whole")
            self._expect(SILENCE)

    def _pass_over(self) -> None:
        """A piece of news is beyond the bound: it is read to its end and dropped, and the list known so far
        stands. Guards discovery against a watch that is opened again and again, and brings the same.
        """
        self._beyond, self._lines, self._missed = self._size, bool(self._piece), True
        self._piece, self._size, self._open = [], 0, 0
        self._expect(BEYOND)

    def _passed(self, text: bytes) -> None:
        """One line of a piece beyond the bound; of several the last begins with the brace that closes it, or
        is the next heartbeat.
        """
        self._beyond = (self._beyond or 0) + len(text) + 1
        if not self._lines or not text.strip() or text.startswith(b"}"):
            self._tell_beyond(f"{self._beyond} bytes", "is passed over")
            self._beyond, self._heard = None, True
            self._expect(SILENCE)

    def _tell_beyond(self, size: str, how: str) -> None:
        self._discovery.wrong(
            f"a list of {size} is beyond the bound of {self._bound} bytes that "
            f"limits.memory_mb sets; it {how}, and the list known so far stands"
        )

    def _take(self, text: bytes) -> bool:
        """Put a piece of news into the table; False where it goes on. BadAnswerError where it is none."""
        try:
            members = _decode(text)
        except msgspec.DecodeError as error:
            if "truncated" in str(error):
                return False
            raise BadAnswerError(f"no list: {error}") from None
        self._heard = True
        # What was passed over is still owed: the next call asks from the version before it.
        self._missed = self._missed and not members.reset
        self._discovery.take(self, members, not self._missed)
        return True
