"""A planner of interface 2 that is scripted frame by frame, and the core with its gRPC carrier before it."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import h2.config
import h2.connection
import h2.events
import h2.settings
from loopback import SETTINGS

from pipitshed.config.settings_parser import settings_from
from pipitshed.protocols.grpc import frame_message
from pipitshed.proxy.forwarder import Forwarder
from pipitshed.proxy.request import Request
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.scheduling.events import EndpointEntry, ProgressKind, UpdateKind
from pipitshed.translation.file import read
from pipitshed.translation.translator import Translator
from pipitshed.upstream.grpc import GrpcWorkerClient
from pipitshed.worker_api import planner_pb2 as pb

ROOT = Path(__file__).parent.parent
FORMS = (ROOT / "deploy" / "translation.toml").read_text()
QUOTE = b'{"origin":"LIM","destination":"AQP","pallets":4}'
BOOK = b'{"origin":"LIM","destination":"AQP","pallets":2}'


@dataclass
class Call:
    """One stream that came to the planner."""

    peer: Peer
    number: int
    headers: dict[str, str]
    body: bytes = b""
    whole: bool = False
    reset: int | None = None  # the code with which the scheduler called it off

    def event(self, **kind: Any) -> None:
        self.raw(pb.RunEvent(id=self.headers["x-request-id"], **kind).SerializeToString())

    def raw(self, message: bytes) -> None:
        self.send(frame_message(message))

    def send(self, data: bytes) -> None:
        if not self.peer.answered(self.number):
            head = [(":status", "200"), ("content-type", "application/grpc")]
            self.peer.http2.send_headers(self.number, head)
        self.peer.http2.send_data(self.number, data)
        self.peer.flush()

    def started(self) -> None:
        self.event(started=pb.Started())

    def done(self, price: int = 5000, **more: Any) -> None:
        if self.headers["x-class"] == "book":
            booking = pb.Booking(booking_ref="B-1", departs_ms=1_800_000_000_000, **more)
            self.event(done=pb.Done(booking=booking))
        else:
            offer = pb.Offer(price_cents=price, departs_ms=1_800_000_000_000, **more)
            self.event(done=pb.Done(offer=offer))
        self.end()

    def end(self, status: int = 0, **more: str) -> None:
        trailers = [
            ("grpc-status", str(status)),
            *((name.replace("_", "-"), value) for name, value in more.items()),
        ]
        if not self.peer.answered(self.number):
            trailers = [(":status", "200"), ("content-type", "application/grpc"), *trailers]
        self.peer.http2.send_headers(self.number, trailers, end_stream=True)
        self.peer.flush()

    def refuse(self, code: int) -> None:
        self.peer.http2.reset_stream(self.number, code)
        self.peer.flush()


class Peer(asyncio.Protocol):
    """One connection at the planner."""

    def __init__(self, planner: GrpcPlanner) -> None:
        self.planner = planner
        self.http2 = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=False, header_encoding="utf-8")
        )
        self.calls: dict[int, Call] = {}
        self.lost = asyncio.Event()
        self._answered: set[int] = set()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.planner.peers.append(self)
        if self.planner.settings is not None:
            self.http2.local_settings = h2.settings.Settings(
                client=False, initial_values={code: value for code, value in self.planner.settings.items()}
            )
            self.http2.initiate_connection()
            self.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost.set()

    def answered(self, number: int) -> bool:
        """Whether the head of the answer has gone out; from now on it has."""
        before = number in self._answered
        self._answered.add(number)
        return before

    def flush(self) -> None:
        self.transport.write(self.http2.data_to_send())

    def goaway(self, last: int, code: int = 0) -> None:
        from hyperframe.frame import GoAwayFrame

        self.transport.write(GoAwayFrame(0, last_stream_id=last, error_code=code).serialize())

    def data_received(self, data: bytes) -> None:
        if self.planner.settings is None:
            return  # it says nothing
        for event in self.http2.receive_data(data):
            number = getattr(event, "stream_id", 0)
            if isinstance(event, h2.events.RequestReceived):
                self.calls[number] = Call(self, number, dict(event.headers))
            elif isinstance(event, h2.events.DataReceived):
                self.calls[number].body += event.data
                if self.planner.opens:
                    self.http2.acknowledge_received_data(event.flow_controlled_length, number)
            elif isinstance(event, h2.events.StreamEnded):
                call = self.calls[number]
                call.whole = True
                self.planner.calls.append(call)
                self.planner.act(call)
            elif isinstance(event, h2.events.StreamReset):
                self.calls[number].reset = event.error_code
        self.flush()
        self.planner.stir()


class GrpcPlanner:
    """The planner: `act` is told of each whole request."""

    def __init__(
        self, name: str = "p1", zone: int = 0, act: Callable[[Call], None] = Call.done, **settings: int
    ) -> None:
        self.name, self.zone, self.act = name, zone, act
        self.settings: dict[int, int] | None = {
            h2.settings.SettingCodes[code.upper()]: value for code, value in settings.items()
        }
        self.peers: list[Peer] = []
        self.calls: list[Call] = []
        self.port = 0
        self.opens = True  # its windows again as data comes
        self._came = asyncio.Condition()
        self._stirs: set[asyncio.Task[None]] = set()

    def stir(self) -> None:
        async def tell() -> None:
            async with self._came:
                self._came.notify_all()

        task = asyncio.get_running_loop().create_task(tell())
        self._stirs.add(task)
        task.add_done_callback(self._stirs.discard)

    async def until(self, what: Callable[[], bool]) -> None:
        async with self._came:
            await self._came.wait_for(what)

    async def call(self, count: int) -> Call:
        """The call with this number, counted from one, once it is whole."""
        await self.until(lambda: len(self.calls) >= count)
        return self.calls[count - 1]

    async def __aenter__(self) -> GrpcPlanner:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Peer(self), "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        self.cut()

    def cut(self) -> None:
        for peer in self.peers:
            peer.transport.abort()


@dataclass
class Caller:
    """A client of the core, and all that it was told."""

    told: list[tuple[str, Any]] = field(default_factory=list)
    notes: list[tuple[ProgressKind, float]] = field(default_factory=list)
    over: asyncio.Event = field(default_factory=asyncio.Event)
    exchange: Any = None

    def _end(self, how: str, what: Any = None) -> None:
        self.told.append((how, what))
        self.over.set()

    def succeeded(self, result: bytes) -> None:
        self._end("served", result)

    def rejected(self, retry_after: float) -> None:
        self._end("refused", retry_after)

    def failed(self) -> None:
        self._end("failed")

    def untranslatable(self, why: Any, ran: bool) -> None:
        self._end("unfit", (why.field, ran))

    def progressed(self, kind: ProgressKind, share: float) -> None:
        self.notes.append((kind, share))

    async def answer(self) -> tuple[str, Any]:
        await self.over.wait()
        assert len(self.told) == 1, self.told
        return self.told[0]


class Bench:
    """The core, the translator and the carrier on this loop."""

    def __init__(self, settings: dict[str, Any], forms: str, keepalive: float) -> None:
        self.loop = asyncio.get_running_loop()
        self.forwarder = Forwarder(settings_from(SETTINGS | settings), 1, self.loop)
        self.forwarder.attach_translator(Translator(read(forms), ["quote", "book"]))
        self.carrier = GrpcWorkerClient(self.forwarder, ["quote", "book"], self.loop, keepalive)
        self.forwarder.endpoints.update("test", UpdateKind.CACHED, 0, [])
        self._ids = 0

    def list(self, *planners: GrpcPlanner, **changes: Any) -> None:
        self.forwarder.endpoints.update(
            "test",
            UpdateKind.DELTA,
            1,
            [
                (
                    replace(EndpointEntry(planner.name.encode(), planner.zone, interface=2), **changes),
                    Endpoint(planner.name.encode(), self.carrier, ("127.0.0.1", planner.port), 2),
                )
                for planner in planners
            ],
        )

    def request(self, job_class: str = "quote", body: bytes | None = None, **more: Any) -> Request:
        self._ids += 1
        number = job_class == "book"
        told = {
            "id": f"r{self._ids}",
            "job_class": int(number),
            "client_timeout_ms": 5000.0,
            "tenant": 0,
            "body": body or (BOOK if number else QUOTE),
            "tenant_name": "andes-retail",
            "form_version": 1,
            "idempotency_key": f"k{self._ids}" if number else "",
        }
        return Request(**told | more)

    def ask(self, job_class: str = "quote", body: bytes | None = None, **more: Any) -> Caller:
        caller = Caller()
        caller.exchange = self.forwarder.submit(self.request(job_class, body, **more), caller)
        return caller

    def leave(self, caller: Caller) -> None:
        self.forwarder.withdraw(caller.exchange)


@contextlib.asynccontextmanager
async def bench(
    *planners: GrpcPlanner,
    settings: dict[str, Any] | None = None,
    forms: str = FORMS,
    keepalive: float = 10.0,
) -> AsyncIterator[Bench]:
    """The bench with these planners listed."""
    made = Bench(settings or {}, forms, keepalive)
    made.list(*planners)
    try:
        yield made
    finally:
        made.carrier.close()
