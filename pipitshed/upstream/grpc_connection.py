"""One HTTP/2 connection to a planner of interface 2, and the streams that carry attempts on it.

Nothing of a request is written before the planner's SETTINGS have come: so a planner of the other interface,
or one that can't be reached, proves that nothing ran.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque
from typing import Protocol, cast

import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from google.protobuf.message import DecodeError

from pipitshed.protocols.grpc import MESSAGE_LIMIT, BadMessageError, Http2, frame, messages
from pipitshed.proxy.attempt import Attempt
from pipitshed.proxy.forwarder import Forwarder
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.scheduling.events import Outcome, ProgressKind
from pipitshed.upstream.grpc_outcomes import by_status, pushback_of
from pipitshed.worker_api import planner_pb2

Header = tuple[bytes, bytes]

STREAMS = 256  # of ours on one connection at most, whatever the planner allows
UNREAD_LIMIT = 1024 * 1024  # bytes that a planner may leave unread before its connection is closed
WINDOW = 2 * MESSAGE_LIMIT  # of a stream and of a connection: what may stand here half received
HEADS = 16 * 1024  # bytes of a header list
LINGER = 0.25  # s that a stream may stand open behind the event that ends its job
PROBE_TIMEOUT = 0.5  # s
PING_WAIT = 2.5  # s for the answer to a PING
FLOOD = 256  # resets, pings and settings a second from which a planner's connection is closed
_CANCEL, _REFUSED = h2.errors.ErrorCodes.CANCEL, h2.errors.ErrorCodes.REFUSED_STREAM

log = logging.getLogger("pipitshed")


class Owner(Protocol):
    """Who keeps the connection: the carrier."""

    core: Forwarder
    loop: asyncio.AbstractEventLoop
    keepalive: float  # s of silence, with jobs out, before a sign of life is asked for
    idle_for: float  # s
    probes: int

    def metadata(self, attempt: Attempt, left: float) -> list[Header]: ...

    def lost(self, connection: Connection) -> None: ...

    def on_wrong_interface(self, target: Endpoint, /) -> None: ...

    def on_drain(self, target: Endpoint, /) -> None: ...


class Stream:
    """One attempt on its stream."""

    __slots__ = (
        "connection",
        "attempt",
        "number",
        "unsent",
        "buffer",
        "heard",
        "verdict",
        "result",
        "written",
        "timer",
    )

    def __init__(self, connection: Connection, attempt: Attempt, number: int, body: bytes) -> None:
        self.connection, self.attempt, self.number = connection, attempt, number
        self.unsent = memoryview(body)
        self.buffer = bytearray()
        self.heard = False  # a message has come
        self.verdict: Outcome | None = None  # told by an event; the status behind it may say more
        self.result = b""
        self.written = False  # END_STREAM is handed over
        self.timer: asyncio.TimerHandle | None = None


class Connection(asyncio.Protocol):
    """One connection to one planner."""

    def __init__(self, owner: Owner, target: Endpoint) -> None:
        self.target = target
        self.owner = owner
        self.queue: deque[Attempt] = deque()  # for the connection, or for a free stream
        self.streams: dict[int, Stream] = {}
        self.leaving = False  # no new streams: the planner said so, or all numbers are used up
        self.over = False
        self.left = 0  # attempts that left this connection free, as the decisions hold
        self._http2 = Http2()
        self._transport: asyncio.Transport | None = None
        self.up = False  # the planner's SETTINGS have come
        self._unflushed: set[int] = set()  # streams whose last bytes the kernel may not have
        self._clogged = False
        self._due = False  # a flush is
        self._idle: asyncio.TimerHandle | None = None
        self._alive: asyncio.TimerHandle | None = None
        self._pinged = False
        self._probes: dict[bytes, float] = {}  # by what the PING carries: when they were asked for
        self._silence = owner.keepalive
        self._heard_at = 0.0
        self._control = 0  # frames of the kinds that cost us and bring nothing, this second
        self._control_since = 0.0

    # ---- the connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are none by inheritance
        self._transport.set_write_buffer_limits(high=0)
        self._http2.local_settings = h2.settings.Settings(
            client=True,
            initial_values={
                h2.settings.SettingCodes.ENABLE_PUSH: 0,
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: WINDOW,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: HEADS,
            },
        )
        self._http2.initiate_connection()
        self._http2.increment_flow_control_window(WINDOW)
        self._flush()

    def pause_writing(self) -> None:
        self._clogged = True
        if self._transport is not None and self._transport.get_write_buffer_size() > UNREAD_LIMIT:
            self.abort()

    def resume_writing(self) -> None:
        self._clogged = False
        self._unflushed.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.up and not self.over:
            # It was there, and closed on the preface, as planners of interface 1 do.
            self.owner.on_wrong_interface(self.target)
        self.end()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()
        self.end()

    def end(self) -> None:
        """It is no more: each attempt on it gets its outcome."""
        if self.over:
            return
        self.over = True
        for timer in (self._idle, self._alive):
            if timer is not None:
                timer.cancel()
        self.owner.lost(self)
        streams, self.streams = list(self.streams.values()), {}
        queue, self.queue = list(self.queue), deque()
        for stream in streams:
            self._release(stream)
            sent = stream.written and stream.number not in self._unflushed
            self._report(stream, stream.verdict or (Outcome.RESET if sent else Outcome.CONNECT_FAILED))
        for attempt in queue:
            self.owner.core.attempt_finished(attempt, Outcome.CONNECT_FAILED)
        for sign in list(self._probes):
            self._probed(sign, Outcome.CONNECT_FAILED)
        for _ in range(self.left):
            self.owner.core.connection_lost(self.target)

    def close(self) -> None:
        """Close in good order: nothing is owed here."""
        if self._transport is not None and not self.over:
            self._http2.close_connection()
            self._flush()
            self._transport.close()
        self.end()

    # ---- what goes out

    def add(self, attempt: Attempt) -> None:
        """An attempt for this connection: on a stream at once, or when one is free."""
        attempt.transport_state = self
        attempt.fully_sent = False
        self.queue.append(attempt)
        if self._idle is not None:
            self._idle.cancel()
            self._idle = None
        if self.up:
            self._open_streams()

    def forget(self, attempt: Attempt) -> None:
        """Take an attempt that has no stream yet out of the queue."""
        if attempt in self.queue:
            self.queue.remove(attempt)
            self._rest()

    def cancel(self, stream: Stream) -> bool:
        """Call an attempt off on its stream; whether it may have run."""
        self._reset(stream)
        return stream.written

    def _open_streams(self) -> None:
        """Give waiting attempts streams, as many as the planner allows."""
        most = min(STREAMS, self._http2.remote_settings.max_concurrent_streams)
        while self.queue and not self.leaving and not self.over and len(self.streams) < most:
            attempt = self.queue.popleft()
            if not self.owner.core.may_begin(attempt):
                self.owner.core.attempt_finished(attempt, Outcome.CONNECT_FAILED)
                continue
            try:
                number = self._http2.get_next_available_stream_id()
            except h2.exceptions.NoAvailableStreamIDError:
                self.queue.appendleft(attempt)
                self.leave()
                return
            stream = self.streams[number] = attempt.transport_state = Stream(
                self, attempt, number, frame(attempt.body)
            )
            left = attempt.deadline_at - self.owner.loop.time()
            self._http2.send_headers(number, self.owner.metadata(attempt, left))
            self.left = max(0, self.left - 1)
            self._pump(stream)
        self._flush_soon()
        if self.streams and self._alive is None:
            self._heard_at = self.owner.loop.time()
            self._alive = self.owner.loop.call_later(self._silence, self._look)

    def _pump(self, stream: Stream) -> None:
        """Send as much of a request as the planner's windows allow."""
        if stream.written:
            return
        try:
            while not stream.written:
                room = min(
                    self._http2.local_flow_control_window(stream.number), self._http2.max_outbound_frame_size
                )
                if room <= 0:
                    return
                part, stream.unsent = stream.unsent[:room], stream.unsent[room:]
                last = not len(stream.unsent)
                self._http2.send_data(stream.number, bytes(part), end_stream=last)
                stream.written = last
        except h2.exceptions.ProtocolError:
            return  # the planner has ended it in this very turn: the event that says so follows
        self.owner.core.attempt_sent(stream.attempt)
        self._unflushed.add(stream.number)

    def _flush_soon(self) -> None:
        if not self._due and not self.over:
            self._due = True
            self.owner.loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._due = False
        data = self._http2.data_to_send()
        transport = self._transport
        if not data or transport is None or transport.is_closing():
            return
        transport.write(data)
        if not self._clogged and not transport.is_closing():
            self._unflushed.clear()
        elif transport.get_write_buffer_size() > UNREAD_LIMIT:
            self.abort()

    def _reset(self, stream: Stream, ended: bool = False) -> None:
        """Give a stream up, and make room for the next one; it is called off unless the planner ended it."""
        self._release(stream)
        if self.streams.pop(stream.number, None) is not None and not self.over:
            if not ended:
                # Where the planner has ended it in this very turn there is nothing to call off.
                with contextlib.suppress(h2.exceptions.ProtocolError):
                    self._http2.reset_stream(stream.number, _CANCEL)
                self._flush_soon()
            self._rest()

    def _release(self, stream: Stream) -> None:
        if stream.timer is not None:
            stream.timer.cancel()
        stream.unsent.release()

    # ---- what comes in

    def data_received(self, data: bytes) -> None:
        self._heard_at = self.owner.loop.time()
        try:
            events = self._http2.receive_data(data)
        except Exception as error:  # whatever a planner sends, it ends its own connection alone
            if not self.up:
                # No HTTP/2 at all: nothing was written to it, and it is of the other interface.
                self.owner.on_wrong_interface(self.target)
            else:
                log.warning("grpc: %s: %s", type(error).__name__, error)
            self._flush()
            self.abort()
            return
        for event in events:
            if self.over:
                return
            self._take(event)
        self._flush()

    def _take(self, event: h2.events.Event) -> None:
        number = getattr(event, "stream_id", None)
        stream = self.streams.get(number) if number else None
        if isinstance(event, h2.events.DataReceived):
            # What has come is used at once, so the windows open again at once; half a message is bounded.
            if event.flow_controlled_length:
                self._http2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            if stream is not None:
                self._data(stream, event.data)
        elif isinstance(event, h2.events.ResponseReceived | h2.events.TrailersReceived):
            if stream is not None:
                self._heads(
                    stream,
                    dict(event.headers),
                    isinstance(event, h2.events.ResponseReceived),
                    event.stream_ended is not None,
                )
        elif isinstance(event, h2.events.StreamEnded):
            if stream is not None:
                # Where neither an event nor a status has ended the job.
                self._finish(stream, Outcome.RESET, ended=stream.written)
        elif isinstance(event, h2.events.StreamReset):
            if stream is not None:
                self._count_control()
                # Proof that it never ran: the planner refused the stream, or had not got the whole request.
                unrun = Outcome.REJECTED if event.error_code == _REFUSED else Outcome.CONNECT_FAILED
                known = event.error_code == _REFUSED or not stream.written
                self._finish(stream, unrun if known else Outcome.RESET, ended=True)
        elif isinstance(event, h2.events.RemoteSettingsChanged):
            self._count_control()
            self.up = True
            for one in list(self.streams.values()):
                self._pump(one)
            self._open_streams()
            for sign in self._probes:
                self._http2.ping(sign)
            self._rest()
        elif isinstance(event, h2.events.WindowUpdated):
            for one in [stream] if stream is not None else list(self.streams.values()) if not number else []:
                self._pump(one)
        elif isinstance(event, h2.events.ConnectionTerminated):
            self._goaway(event)
        elif isinstance(event, h2.events.PingReceived):
            self._count_control()
        elif isinstance(event, h2.events.PingAckReceived):
            if event.ping_data in self._probes:
                self._probed(event.ping_data, Outcome.OK)
            else:
                self._pinged = False

    def _count_control(self) -> None:
        """Guards against floods of frames that cost us work and bring nothing."""
        now = self.owner.loop.time()
        if now - self._control_since > 1.0:
            self._control, self._control_since = 0, now
        self._control += 1
        if self._control > FLOOD:
            log.warning("grpc: a planner floods its connection, which is closed")
            self._http2.close_connection(h2.errors.ErrorCodes.ENHANCE_YOUR_CALM)
            self._flush()
            self.abort()

    def _data(self, stream: Stream, data: bytes) -> None:
        stream.buffer += data
        try:
            for message in messages(stream.buffer):
                event = planner_pb2.RunEvent.FromString(message)
                if event.id != stream.attempt.context.request.id:
                    raise BadMessageError("an event is for another request")
                stream.heard = True
                self._event(stream, event)
                if stream.verdict is not None:
                    return
        except (BadMessageError, DecodeError) as error:
            log.info("grpc: %s", error)
            self._report(stream, Outcome.RESET)
            self._reset(stream)

    def _event(self, stream: Stream, event: planner_pb2.RunEvent) -> None:
        kind, core = event.WhichOneof("event"), self.owner.core
        if kind == "started":
            core.attempt_progressed(stream.attempt, ProgressKind.STARTED)
        elif kind == "running":
            core.attempt_progressed(
                stream.attempt, ProgressKind.PROGRESS, min(1.0, max(0.0, event.running.share))
            )
        elif kind == "done":
            stream.verdict = Outcome.OK
            self._report(stream, Outcome.OK, event.done.SerializeToString())
        elif kind == "failed":
            stream.verdict = Outcome.ERROR
            stream.result = f"{event.failed.code}: {event.failed.text}".encode()
        elif kind == "returned":
            stream.verdict = Outcome.REJECTED
        if stream.verdict is not None:
            # The status behind it may ask to wait; and a stream that is never ended holds no place for long.
            stream.timer = self.owner.loop.call_later(LINGER, self._lingered, stream)

    def _lingered(self, stream: Stream) -> None:
        if stream.number in self.streams:
            self._report(stream, stream.verdict or Outcome.RESET, stream.result)
            self._reset(stream)

    def _heads(self, stream: Stream, headers: dict[bytes, bytes], first: bool, ended: bool) -> None:
        status = headers.get(b"grpc-status")
        if status is None:
            if first and (
                headers.get(b":status") != b"200"
                or not headers.get(b"content-type", b"").startswith(b"application/grpc")
            ):
                self._finish(stream, Outcome.RESET)  # something between us and the planner has spoken
            return
        outcome, wrong = by_status(status, headers, stream.heard)
        if wrong:
            self.owner.on_wrong_interface(self.target)
        stream.result = stream.result or headers.get(b"grpc-message", b"")
        self._finish(stream, outcome, pushback_of(headers), ended and stream.written)

    def _finish(
        self, stream: Stream, outcome: Outcome, pushback: float | None = None, ended: bool = False
    ) -> None:
        """The stream has nothing more to say; `ended` where both sides have ended it."""
        self._report(stream, stream.verdict or outcome, stream.result, pushback)
        self._reset(stream, ended)

    def _report(
        self, stream: Stream, outcome: Outcome, result: bytes = b"", pushback: float | None = None
    ) -> None:
        if not stream.attempt.finished:
            if outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED) and not self.over:
                self.left += 1
            self.owner.core.attempt_finished(stream.attempt, outcome, result, (), pushback)

    def _goaway(self, event: h2.events.ConnectionTerminated) -> None:
        code, last = event.error_code, event.last_stream_id or 0
        if code == h2.errors.ErrorCodes.ENHANCE_YOUR_CALM:
            self.owner.keepalive = min(600.0, 2 * self.owner.keepalive)  # our pings were too many
        self.leave()
        for stream in [one for one in self.streams.values() if one.number > last]:
            self._release(stream)
            del self.streams[stream.number]
            self._report(stream, Outcome.CONNECT_FAILED)
        if code == h2.errors.ErrorCodes.NO_ERROR:
            self.owner.on_drain(self.target)
        self._rest()

    def leave(self) -> None:
        """No new streams here; what runs may end, what waits has never run."""
        if self.leaving:
            return
        self.leaving = True
        self.owner.lost(self)
        queue, self.queue = list(self.queue), deque()
        for attempt in queue:
            self.owner.core.attempt_finished(attempt, Outcome.CONNECT_FAILED)

    # ---- probes: a PING tells that the planner is there, and nothing of its load

    def probe(self) -> None:
        self.owner.probes += 1
        sign = b"%08x" % (self.owner.probes & 0xFFFF_FFFF)
        self._probes[sign] = self.owner.loop.time()
        self.owner.loop.call_later(PROBE_TIMEOUT, self._probed, sign, Outcome.TIMEOUT)
        if self.up:
            self._http2.ping(sign)
            self._flush_soon()

    def _probed(self, sign: bytes, outcome: Outcome) -> None:
        begun = self._probes.pop(sign, None)
        if begun is not None:
            self.owner.core.probe_finished(self.target, outcome, (self.owner.loop.time() - begun) * 1000)
            self._rest()

    # ---- between requests

    def _rest(self) -> None:
        """A stream has ended: the next attempt takes its place, or the connection is idle."""
        if self.over:
            return
        if self.queue and self.up:
            self._open_streams()
        if self.streams or self.queue or self._probes:
            return
        if self._alive is not None:
            self._alive.cancel()
            self._alive = None
        if self.leaving:
            self.owner.loop.call_soon(self.close)
        elif self._idle is None:
            self._idle = self.owner.loop.call_later(self.owner.idle_for, self.close)

    def _look(self) -> None:
        """Guards against a planner that has vanished: a connection that is silent with jobs on it is asked
        for a sign of life, and ended when none comes.
        """
        loop = self.owner.loop
        silent = loop.time() - self._heard_at
        if self._pinged and silent >= PING_WAIT:
            self.abort()
            return
        if silent >= self._silence:
            self._pinged = True
            self._http2.ping(b"pipitshe")
            self._flush()
            self._alive = loop.call_later(PING_WAIT, self._look)
        else:
            self._pinged = False
            self._alive = loop.call_later(self._silence - silent, self._look)
