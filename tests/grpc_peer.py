"""A worker of interface 2 that is scripted frame by frame, and a forwarder with a gRPC client for it."""

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
TRANSLATION_TOML = (ROOT / "deploy" / "translation.toml").read_text()
QUOTE = b'{"origin":"LIM","destination":"AQP","pallets":4}'
BOOK = b'{"origin":"LIM","destination":"AQP","pallets":2}'


@dataclass
class Call:
    """One stream that the worker has received."""

    peer: Peer
    stream_id: int
    headers: dict[str, str]
    body: bytes = b""
    is_complete: bool = False
    reset_code: int | None = None  # the error code with which the scheduler reset it

    def event(self, **kind: Any) -> None:
        self.raw(pb.RunEvent(id=self.headers["x-request-id"], **kind).SerializeToString())

    def raw(self, message: bytes) -> None:
        self.send(frame_message(message))

    def send(self, data: bytes) -> None:
        if not self.peer.mark_response_started(self.stream_id):
            head = [(":status", "200"), ("content-type", "application/grpc")]
            self.peer.http2.send_headers(self.stream_id, head)
        self.peer.http2.send_data(self.stream_id, data)
        self.peer.flush()

    def started(self) -> None:
        self.event(started=pb.Started())

    def done(self, price: int = 5000, **fields: Any) -> None:
        if self.headers["x-class"] == "book":
            booking = pb.Booking(booking_ref="B-1", departs_ms=1_800_000_000_000, **fields)
            self.event(done=pb.Done(booking=booking))
        else:
            offer = pb.Offer(price_cents=price, departs_ms=1_800_000_000_000, **fields)
            self.event(done=pb.Done(offer=offer))
        self.end()

    def end(self, status: int = 0, **metadata: str) -> None:
        trailers = [
            ("grpc-status", str(status)),
            *((name.replace("_", "-"), value) for name, value in metadata.items()),
        ]
        if not self.peer.mark_response_started(self.stream_id):
            trailers = [(":status", "200"), ("content-type", "application/grpc"), *trailers]
        self.peer.http2.send_headers(self.stream_id, trailers, end_stream=True)
        self.peer.flush()

    def reset_stream(self, code: int) -> None:
        self.peer.http2.reset_stream(self.stream_id, code)
        self.peer.flush()


class Peer(asyncio.Protocol):
    """One connection, on the worker's side."""

    def __init__(self, planner: GrpcPlanner) -> None:
        self.planner = planner
        self.http2 = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=False, header_encoding="utf-8")
        )
        self.calls: dict[int, Call] = {}
        self.lost = asyncio.Event()
        self._started_responses: set[int] = set()

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

    def mark_response_started(self, stream_id: int) -> bool:
        """Record that the response headers are sent; return whether they had been before."""
        had_started = stream_id in self._started_responses
        self._started_responses.add(stream_id)
        return had_started

    def flush(self) -> None:
        self.transport.write(self.http2.data_to_send())

    def goaway(self, last: int, code: int = 0) -> None:
        from hyperframe.frame import GoAwayFrame

        self.transport.write(GoAwayFrame(0, last_stream_id=last, error_code=code).serialize())

    def data_received(self, data: bytes) -> None:
        if self.planner.settings is None:
            return  # a silent worker
        for event in self.http2.receive_data(data):
            stream_id = getattr(event, "stream_id", 0)
            if isinstance(event, h2.events.RequestReceived):
                self.calls[stream_id] = Call(self, stream_id, dict(event.headers))
            elif isinstance(event, h2.events.DataReceived):
                self.calls[stream_id].body += event.data
                if self.planner.returns_window:
                    self.http2.acknowledge_received_data(event.flow_controlled_length, stream_id)
            elif isinstance(event, h2.events.StreamEnded):
                call = self.calls[stream_id]
                call.is_complete = True
                self.planner.calls.append(call)
                self.planner.act(call)
            elif isinstance(event, h2.events.StreamReset):
                self.calls[stream_id].reset_code = event.error_code
        self.flush()
        self.planner.notify()


class GrpcPlanner:
    """The worker; it calls `act` with each complete request."""

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
        self.returns_window = True  # whether it opens its flow control window again as data arrives
        self._changed = asyncio.Condition()
        self._notify_tasks: set[asyncio.Task[None]] = set()

    def notify(self) -> None:
        async def notify_all() -> None:
            async with self._changed:
                self._changed.notify_all()

        task = asyncio.get_running_loop().create_task(notify_all())
        self._notify_tasks.add(task)
        task.add_done_callback(self._notify_tasks.discard)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with self._changed:
            await self._changed.wait_for(condition)

    async def call(self, count: int) -> Call:
        """Wait for the complete call with this number, counted from one."""
        await self.wait_until(lambda: len(self.calls) >= count)
        return self.calls[count - 1]

    async def __aenter__(self) -> GrpcPlanner:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Peer(self), "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        self.abort_connections()

    def abort_connections(self) -> None:
        for peer in self.peers:
            peer.transport.abort()


@dataclass
class Caller:
    """A client of the forwarder; records all outcomes and progress that it gets."""

    outcomes: list[tuple[str, Any]] = field(default_factory=list)
    progress: list[tuple[ProgressKind, float]] = field(default_factory=list)
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    context: Any = None

    def _end(self, kind: str, details: Any = None) -> None:
        self.outcomes.append((kind, details))
        self.ended.set()

    def succeeded(self, result: bytes) -> None:
        self._end("served", result)

    def rejected(self, retry_after: float) -> None:
        self._end("refused", retry_after)

    def failed(self) -> None:
        self._end("failed")

    def untranslatable(self, reason: Any, ran: bool) -> None:
        self._end("unfit", (reason.field, ran))

    def progressed(self, kind: ProgressKind, share: float) -> None:
        self.progress.append((kind, share))

    async def outcome(self) -> tuple[str, Any]:
        await self.ended.wait()
        assert len(self.outcomes) == 1, self.outcomes
        return self.outcomes[0]


class ForwarderRig:
    """A forwarder with a translator and a gRPC client, on the running event loop."""

    def __init__(self, settings: dict[str, Any], translation_toml: str, keepalive_s: float) -> None:
        self.loop = asyncio.get_running_loop()
        self.forwarder = Forwarder(settings_from(SETTINGS | settings), 1, self.loop)
        self.forwarder.attach_translator(Translator(read(translation_toml), ["quote", "book"]))
        self.worker_client = GrpcWorkerClient(self.forwarder, ["quote", "book"], self.loop, keepalive_s)
        self.forwarder.endpoints.update("test", UpdateKind.CACHED, 0, [])
        self._ids = 0

    def list_workers(self, *planners: GrpcPlanner, **changes: Any) -> None:
        self.forwarder.endpoints.update(
            "test",
            UpdateKind.DELTA,
            1,
            [
                (
                    replace(EndpointEntry(planner.name.encode(), planner.zone, interface=2), **changes),
                    Endpoint(planner.name.encode(), self.worker_client, ("127.0.0.1", planner.port), 2),
                )
                for planner in planners
            ],
        )

    def request(self, job_class: str = "quote", body: bytes | None = None, **changes: Any) -> Request:
        self._ids += 1
        is_book = job_class == "book"
        fields = {
            "id": f"r{self._ids}",
            "job_class": int(is_book),
            "client_timeout_ms": 5000.0,
            "tenant": 0,
            "body": body or (BOOK if is_book else QUOTE),
            "tenant_name": "andes-retail",
            "form_version": 1,
            "idempotency_key": f"k{self._ids}" if is_book else "",
        }
        return Request(**fields | changes)

    def submit(self, job_class: str = "quote", body: bytes | None = None, **changes: Any) -> Caller:
        caller = Caller()
        caller.context = self.forwarder.submit(self.request(job_class, body, **changes), caller)
        return caller

    def withdraw(self, caller: Caller) -> None:
        self.forwarder.withdraw(caller.context)


@contextlib.asynccontextmanager
async def forwarder_rig(
    *planners: GrpcPlanner,
    settings: dict[str, Any] | None = None,
    translation_toml: str = TRANSLATION_TOML,
    keepalive_s: float = 10.0,
) -> AsyncIterator[ForwarderRig]:
    """Run a rig in which these workers are listed."""
    rig = ForwarderRig(settings or {}, translation_toml, keepalive_s)
    rig.list_workers(*planners)
    try:
        yield rig
    finally:
        rig.worker_client.close()
