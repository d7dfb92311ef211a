"""For any bytes from a planner: no exception reaches the loop, one outcome per attempt, bounded memory.

`PIPITSHED_FUZZ=100000 pytest tests/test_fuzz_frames.py` runs that many cases; CI runs a few hundred.
"""

import asyncio
import os
from typing import Any

import hpack
from grpc_peer import QUOTE, Caller, forwarder_rig
from hyperframe.frame import (
    ContinuationFrame,
    DataFrame,
    Frame,
    GoAwayFrame,
    HeadersFrame,
    PingFrame,
    PushPromiseFrame,
    RstStreamFrame,
    SettingsFrame,
    WindowUpdateFrame,
)
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from pipitshed.protocols.grpc import MESSAGE_LIMIT_BYTES, frame_message
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.scheduling.actions import StartAttempt
from pipitshed.upstream.grpc.connection import MAX_UNREAD_BYTES, GrpcConnection
from pipitshed.worker_api import planner_pb2 as pb

CASES = int(os.environ.get("PIPITSHED_FUZZ", "300"))


class Transport:
    """A transport that discards its output at once."""

    def __init__(self) -> None:
        self.written = 0
        self.closed = False

    def write(self, data: bytes) -> None:
        self.written += len(data)

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.closed

    def abort(self) -> None:
        self.closed = True

    close = abort


def encoded(*headers: tuple[str, str]) -> bytes:
    return hpack.Encoder().encode(headers)


events = st.one_of(
    st.builds(lambda share: pb.RunEvent(id="r1", running=pb.Running(share=share)), st.floats()),
    st.just(pb.RunEvent(id="r1", started=pb.Started())),
    st.just(pb.RunEvent(id="r2", done=pb.Done())),
    st.just(pb.RunEvent(id="r1", done=pb.Done(offer=pb.Offer(price_cents=1, departs_ms=0)))),
    st.just(pb.RunEvent(id="r1", returned=pb.Returned())),
    st.just(pb.RunEvent(id="r1")),
).map(lambda event: frame_message(event.SerializeToString()))
payloads = st.one_of(
    events,
    st.binary(max_size=40),
    st.just(b"\x01\x00\x00\x00\x02hi"),
    st.just((MESSAGE_LIMIT_BYTES + 1).to_bytes(5, "big")),
)
heads = st.sampled_from(
    [
        encoded((":status", "200"), ("content-type", "application/grpc")),
        encoded((":status", "503")),
        encoded((":status", "200"), ("content-type", "application/grpc"), ("grpc-status", "14")),
        encoded(
            (":status", "200"),
            ("content-type", "application/grpc"),
            ("grpc-status", "x"),
            ("grpc-retry-pushback-ms", "never"),
        ),
        encoded(("grpc-status", "0")),
        encoded(("grpc-status", "12")),
        b"\xff\xff\xff",
    ]
)
streams = st.sampled_from([0, 1, 1, 1, 3, 2, 5])


def serialized(kind: type[Frame], number: int, **fields: Any) -> bytes:
    flags = fields.pop("flags", ())
    try:
        one = kind(number, flags=flags, **fields)
        return one.serialize()
    except Exception:
        return b""


frames = st.one_of(
    st.builds(
        lambda number, data, flags: serialized(DataFrame, number, data=data, flags=flags),
        streams,
        payloads,
        st.sampled_from([["END_STREAM"], []]),
    ),
    st.builds(
        lambda number, data, flags: serialized(HeadersFrame, number, data=data, flags=flags),
        streams,
        heads,
        st.sampled_from([["END_HEADERS"], ["END_HEADERS", "END_STREAM"], []]),
    ),
    st.builds(
        lambda number, data: serialized(ContinuationFrame, number, data=data, flags=["END_HEADERS"]),
        streams,
        heads,
    ),
    st.builds(
        lambda number, code: serialized(RstStreamFrame, number, error_code=code), streams, st.integers(0, 14)
    ),
    st.builds(
        lambda last, code: serialized(GoAwayFrame, 0, last_stream_id=last, error_code=code),
        st.sampled_from([0, 1, 3, 2**31 - 1]),
        st.integers(0, 14),
    ),
    st.builds(
        lambda which, value: serialized(SettingsFrame, 0, settings={which: value}),
        st.integers(1, 6),
        st.sampled_from([0, 1, 100, 2**14, 2**31 - 1, 2**32 - 1]),
    ),
    st.just(serialized(SettingsFrame, 0, flags=["ACK"])),
    st.just(serialized(PingFrame, 0, opaque_data=b"12345678")),
    st.builds(
        lambda number, size: serialized(WindowUpdateFrame, number, window_increment=size),
        streams,
        st.sampled_from([1, 2**31 - 1]),
    ),
    st.just(serialized(PushPromiseFrame, 1, promised_stream_id=2, data=b"\x88", flags=["END_HEADERS"])),
    st.binary(max_size=30),
    st.just(b"HTTP/1.1 400 Bad Request\r\n\r\n"),
)


@settings(max_examples=CASES, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.lists(frames, max_size=12), st.booleans(), st.integers(1, 64), st.integers(0, 12))
def test_any_frames_give_one_outcome_for_each_attempt(
    parts: list[bytes], with_settings: bool, piece_bytes: int, leave_after: int
) -> None:
    async def run() -> None:
        errors: list[Any] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        async with forwarder_rig() as world:
            connection = GrpcConnection(
                world.worker_client, Endpoint(b"p1", world.worker_client, ("127.0.0.1", 1), 2)
            )
            world.worker_client._connections["127.0.0.1", 1] = connection
            world.worker_client._all.add(connection)
            world.forwarder.endpoints._endpoints[b"p1"] = connection.endpoint
            transport = Transport()
            connection.connection_made(transport)  # type: ignore[arg-type]
            callers = [Caller(), Caller()]
            for caller in callers:
                caller.context = world.forwarder.submit(
                    world.request("quote", QUOTE, form_version=None), caller
                )
                world.forwarder._attempts.start(StartAttempt(caller.context.job_id, b"p1"))
            data = (serialized(SettingsFrame, 0) if with_settings else b"") + b"".join(parts)
            for offset in range(0, len(data), piece_bytes):
                if connection.has_ended or transport.closed:
                    break
                connection.data_received(data[offset : offset + piece_bytes])
                if offset // piece_bytes == leave_after:
                    world.withdraw(callers[0])
            await asyncio.sleep(0)
            assert len(connection._http2.incoming_buffer._data) < 2**14 + 64
            assert transport.written < MAX_UNREAD_BYTES
            connection.connection_lost(None)
            await asyncio.sleep(0)
            for caller in callers:
                assert (
                    all(attempt.finished for attempt in caller.context.attempts) and len(caller.outcomes) <= 1
                )
            assert not connection.streams and not connection.queue and not errors, errors
            for caller in callers:
                world.withdraw(caller)

    asyncio.run(run())
