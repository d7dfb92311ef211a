"""One HTTP/2 connection to a gRPC worker, and the streams that carry attempts on it.

No request is sent before the worker's SETTINGS have arrived. An attempt therefore can't have run on a worker
that speaks the other interface or can't be reached.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from pipitshed.flow_control import PacedConnection
from pipitshed.protocols.grpc import MESSAGE_LIMIT_BYTES, Http2Connection, frame_message
from pipitshed.proxy.attempt import Attempt
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.scheduling.events import Outcome
from pipitshed.upstream.grpc.control_frames import ControlFrameCounter
from pipitshed.upstream.grpc.keepalive import Keepalive
from pipitshed.upstream.grpc.outcomes import outcome_of_status, retry_pushback_ms
from pipitshed.upstream.grpc.ping_probes import PingProbes
from pipitshed.upstream.grpc.stream import GrpcStream

if TYPE_CHECKING:
    from pipitshed.upstream.grpc.client import GrpcWorkerClient

MAX_STREAMS = 256  # per connection, even if the worker permits more
MAX_UNREAD_BYTES = 1024 * 1024  # unsent bytes beyond which the connection to a slow reader is closed
WINDOW_BYTES = 2 * MESSAGE_LIMIT_BYTES  # flow control window of each stream and of the connection
MAX_HEADER_LIST_BYTES = 16 * 1024
MAX_KEEPALIVE_S = 600.0
KEEPALIVE_PING_DATA = b"pipitshe"

_ErrorCodes = h2.errors.ErrorCodes

log = logging.getLogger("pipitshed")


class GrpcConnection(PacedConnection):
    """One connection to one worker."""

    slice_bytes = 2048

    def __init__(self, client: GrpcWorkerClient, endpoint: Endpoint) -> None:
        super().__init__(client.flow_control)
        self.endpoint = endpoint
        self.queue: deque[Attempt] = deque()  # those that wait for the connection or for a free stream
        self.streams: dict[int, GrpcStream] = {}
        self.is_draining = False  # no new streams: the worker sent GOAWAY, or all stream ids are used up
        self.is_ready = False  # the worker's SETTINGS have arrived
        self.has_ended = False
        self.client = client
        self._loop = client.loop
        self._http2 = Http2Connection()
        self.idle_reports = 0  # idle connections that the scheduler counts for this connection
        self._unflushed: set[int] = set()  # streams whose last bytes may not have reached the kernel
        self._is_write_paused = False
        self._is_flush_scheduled = False
        self._idle_timer: asyncio.TimerHandle | None = None
        self._keepalive = Keepalive(self._loop, client.keepalive_s, self._send_keepalive_ping, self.abort)
        self._probes = PingProbes(self._loop, self._send_probe_ping, self._report_probe)
        self._control_frames = ControlFrameCounter()

    # ---- connection state

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the preface and SETTINGS."""
        super().connection_made(transport)
        assert self._transport is not None
        self._transport.set_write_buffer_limits(high=0)
        self._http2.local_settings = h2.settings.Settings(
            client=True,
            initial_values={
                h2.settings.SettingCodes.ENABLE_PUSH: 0,
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: WINDOW_BYTES,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEADER_LIST_BYTES,
            },
        )
        self._http2.initiate_connection()
        self._http2.increment_flow_control_window(WINDOW_BYTES)
        self._flush()

    def pause_writing(self) -> None:
        """The kernel has not accepted all bytes."""
        self._is_write_paused = True
        if self._transport is not None and self._transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            self.abort()

    def resume_writing(self) -> None:
        """The kernel has accepted all bytes."""
        self._is_write_paused = False
        self._unflushed.clear()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Finish all attempts; a worker that closes before sending SETTINGS speaks the other interface."""
        super().connection_lost(_exc)
        if not self.is_ready and not self.has_ended:
            self.client.on_wrong_interface(self.endpoint)
        self.end()

    def abort(self) -> None:
        """Close without flushing, and finish all attempts."""
        if self._transport is not None:
            self._transport.abort()
        self.end()

    def end(self) -> None:
        """Finish each attempt and probe on this connection; further calls have no effect."""
        if self.has_ended:
            return
        self.has_ended = True
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._keepalive.stop()
        self.client.lost(self)
        streams, self.streams = list(self.streams.values()), {}
        queue, self.queue = list(self.queue), deque()
        for stream in streams:
            stream.release()
            is_sent = stream.is_sent and stream.stream_id not in self._unflushed
            outcome = Outcome.RESET if is_sent else Outcome.CONNECT_FAILED
            stream.report(stream.event_outcome or outcome)
        for attempt in queue:
            self.client.forwarder.attempt_finished(attempt, Outcome.CONNECT_FAILED)
        self._probes.fail_all()
        for _ in range(self.idle_reports):
            self.client.forwarder.connection_lost(self.endpoint)

    def close(self) -> None:
        """Send GOAWAY and close; called when no attempt is outstanding."""
        if self._transport is not None and not self.has_ended:
            self._http2.close_connection()
            self._flush()
            self._transport.close()
        self.end()

    def drain(self) -> None:
        """Open no further streams; finish the queued attempts, which have not run, as CONNECT_FAILED."""
        if self.is_draining:
            return
        self.is_draining = True
        self.client.lost(self)
        queue, self.queue = list(self.queue), deque()
        for attempt in queue:
            self.client.forwarder.attempt_finished(attempt, Outcome.CONNECT_FAILED)

    # ---- output

    def add(self, attempt: Attempt) -> None:
        """Send an attempt on a new stream, or queue it until the worker permits one."""
        attempt.transport_state = self
        attempt.fully_sent = False
        self.queue.append(attempt)
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None
        if self.is_ready:
            self._open_streams()

    def forget(self, attempt: Attempt) -> None:
        """Remove an attempt that is still queued."""
        if attempt in self.queue:
            self.queue.remove(attempt)
            self._continue()

    def cancel(self, stream: GrpcStream) -> bool:
        """Reset an attempt's stream; return whether the attempt may have run."""
        self.close_stream(stream)
        return stream.is_sent

    def _open_streams(self) -> None:
        """Open streams for waiting attempts, as many as the worker permits."""
        max_streams = min(MAX_STREAMS, self._http2.remote_settings.max_concurrent_streams)
        while self.queue and not self.is_draining and not self.has_ended and len(self.streams) < max_streams:
            attempt = self.queue.popleft()
            if not self.client.forwarder.may_begin(attempt):
                self.client.forwarder.attempt_finished(attempt, Outcome.CONNECT_FAILED)
                continue
            try:
                stream_id = self._http2.get_next_available_stream_id()
            except h2.exceptions.NoAvailableStreamIDError:
                self.queue.appendleft(attempt)
                self.drain()
                return
            stream = GrpcStream(self, attempt, stream_id, frame_message(attempt.body))
            self.streams[stream_id] = attempt.transport_state = stream
            remaining_s = attempt.deadline_at - self._loop.time()
            self._http2.send_headers(stream_id, self.client.metadata(attempt, remaining_s))
            self.idle_reports = max(0, self.idle_reports - 1)
            self._send_body(stream)
        self._schedule_flush()
        if self.streams:
            self._keepalive.start()

    def _send_body(self, stream: GrpcStream) -> None:
        """Send as much of a request as the worker's flow control windows permit."""
        if stream.is_sent:
            return
        try:
            while not stream.is_sent:
                size = min(
                    self._http2.local_flow_control_window(stream.stream_id),
                    self._http2.max_outbound_frame_size,
                )
                if size <= 0:
                    return
                part, stream.unsent = stream.unsent[:size], stream.unsent[size:]
                is_last = not len(stream.unsent)
                self._http2.send_data(stream.stream_id, bytes(part), end_stream=is_last)
                stream.is_sent = is_last
        except h2.exceptions.ProtocolError:
            return  # the worker has just ended the stream; the event for that follows
        self.client.forwarder.attempt_sent(stream.attempt)
        self._unflushed.add(stream.stream_id)

    def _schedule_flush(self) -> None:
        if not self._is_flush_scheduled and not self.has_ended:
            self._is_flush_scheduled = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        data = self._http2.data_to_send()
        transport = self._transport
        if not data or transport is None or transport.is_closing():
            return
        transport.write(data)
        if not self._is_write_paused and not transport.is_closing():
            self._unflushed.clear()
        elif transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            self.abort()

    # ---- input

    def data_received(self, data: bytes) -> None:
        """Handle the HTTP/2 events in what has arrived."""
        self._keepalive.last_received_at = self._loop.time()
        try:
            events = self._http2.receive_data(data)
        except Exception as error:  # invalid input ends this connection only
            if not self.is_ready:
                # The input is not HTTP/2: the worker speaks the other interface, and no request was sent.
                self.client.on_wrong_interface(self.endpoint)
            else:
                log.warning("grpc: %s: %s", type(error).__name__, error)
            self._flush()
            self.abort()
            return
        for event in events:
            if self.has_ended:
                return
            handler = _EVENT_HANDLERS.get(type(event))
            if handler is not None:
                handler(self, event)
        self._flush()

    def _on_data(self, event: h2.events.DataReceived) -> None:
        # Data is consumed immediately, so its window is returned; an incomplete message has a size limit.
        if event.flow_controlled_length:
            self._http2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
        stream = self.streams.get(event.stream_id)
        if stream is not None:
            stream.receive(event.data)

    def _on_headers(self, event: h2.events.ResponseReceived | h2.events.TrailersReceived) -> None:
        stream = self.streams.get(event.stream_id)
        if stream is None:
            return
        headers = dict(event.headers)
        status = headers.get(b"grpc-status")
        if status is None:
            if isinstance(event, h2.events.ResponseReceived) and not _is_grpc_response(headers):
                stream.finish(Outcome.RESET)  # from an intermediary, not from the worker
            return
        result = outcome_of_status(status, headers, stream.has_received_message)
        if result.is_wrong_interface:
            self.client.on_wrong_interface(self.endpoint)
        stream.result = stream.result or headers.get(b"grpc-message", b"")
        is_closed = event.stream_ended is not None and stream.is_sent
        stream.finish(result.outcome, retry_pushback_ms(headers), is_closed)

    def _on_stream_ended(self, event: h2.events.StreamEnded) -> None:
        stream = self.streams.get(event.stream_id)
        if stream is not None:  # neither an event nor a status has ended the job
            stream.finish(Outcome.RESET, is_closed=stream.is_sent)

    def _on_stream_reset(self, event: h2.events.StreamReset) -> None:
        stream = self.streams.get(event.stream_id)
        if stream is None:
            return
        self._count_control_frame()
        if event.error_code == _ErrorCodes.REFUSED_STREAM:
            outcome = Outcome.REJECTED
        elif stream.is_sent:
            outcome = Outcome.RESET
        else:
            outcome = Outcome.CONNECT_FAILED  # the worker had not received the whole request: it did not run
        stream.finish(outcome, is_closed=True)

    def _on_settings(self, _event: h2.events.RemoteSettingsChanged) -> None:
        self._count_control_frame()
        self.is_ready = True
        for stream in list(self.streams.values()):
            self._send_body(stream)
        self._open_streams()
        self._probes.send_all()
        self._continue()

    def _on_window_updated(self, event: h2.events.WindowUpdated) -> None:
        if not event.stream_id:
            for stream in list(self.streams.values()):
                self._send_body(stream)
        elif event.stream_id in self.streams:
            self._send_body(self.streams[event.stream_id])

    def _on_goaway(self, event: h2.events.ConnectionTerminated) -> None:
        if event.error_code == _ErrorCodes.ENHANCE_YOUR_CALM:  # the worker rejects PINGs as too frequent
            self.client.keepalive_s = min(MAX_KEEPALIVE_S, 2 * self.client.keepalive_s)
        self.drain()
        last_stream_id = event.last_stream_id or 0
        for stream in [one for one in self.streams.values() if one.stream_id > last_stream_id]:
            stream.release()
            del self.streams[stream.stream_id]
            stream.report(Outcome.CONNECT_FAILED)
        if event.error_code == _ErrorCodes.NO_ERROR:
            self.client.on_drain(self.endpoint)
        self._continue()

    def _on_ping(self, _event: h2.events.PingReceived) -> None:
        self._count_control_frame()

    def _on_ping_ack(self, event: h2.events.PingAckReceived) -> None:
        if not self._probes.acknowledged(event.ping_data):
            self._keepalive.is_ping_pending = False

    def _count_control_frame(self) -> None:
        if self._control_frames.is_flooding(self._loop.time()):
            log.warning("grpc: too many control frames from a worker, closing its connection")
            self._http2.close_connection(_ErrorCodes.ENHANCE_YOUR_CALM)
            self._flush()
            self.abort()

    # ---- closing streams

    def close_stream(self, stream: GrpcStream, is_closed: bool = False) -> None:
        """Remove a stream, reset it unless both sides have ended it, and start queued attempts."""
        stream.release()
        if self.streams.pop(stream.stream_id, None) is not None and not self.has_ended:
            if not is_closed:
                # If the worker has just ended the stream, there is nothing to reset.
                with contextlib.suppress(h2.exceptions.ProtocolError):
                    self._http2.reset_stream(stream.stream_id, _ErrorCodes.CANCEL)
                self._schedule_flush()
            self._continue()

    def _continue(self) -> None:
        """Start queued attempts; without attempts and probes, start the idle timer or end a drain."""
        if self.has_ended:
            return
        if self.queue and self.is_ready:
            self._open_streams()
        if self.streams or self.queue or self._probes.are_pending:
            return
        self._keepalive.stop()
        if self.is_draining:
            self._loop.call_soon(self.close)
        elif self._idle_timer is None:
            self._idle_timer = self._loop.call_later(self.client.idle_timeout_s, self.close)

    def restart_idle_timer(self) -> None:
        """Let a connection that is idle stay so for the client's present idle timeout, from now on."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = self._loop.call_later(self.client.idle_timeout_s, self.close)

    # ---- PINGs

    def probe(self) -> None:
        """Send a PING; its ACK shows that the worker responds, but not its load."""
        self.client.probe_count += 1
        self._probes.start(self.client.probe_count, self.is_ready)

    def _send_probe_ping(self, ping_data: bytes) -> None:
        self._http2.ping(ping_data)
        self._schedule_flush()

    def _report_probe(self, outcome: Outcome, duration_ms: float) -> None:
        self.client.forwarder.probe_finished(self.endpoint, outcome, duration_ms)
        self._continue()

    def _send_keepalive_ping(self) -> None:
        self._http2.ping(KEEPALIVE_PING_DATA)
        self._flush()


def _is_grpc_response(headers: dict[bytes, bytes]) -> bool:
    content_type = headers.get(b"content-type", b"")
    return headers.get(b":status") == b"200" and content_type.startswith(b"application/grpc")


_EVENT_HANDLERS: dict[type, Callable[[GrpcConnection, Any], None]] = {
    h2.events.DataReceived: GrpcConnection._on_data,
    h2.events.ResponseReceived: GrpcConnection._on_headers,
    h2.events.TrailersReceived: GrpcConnection._on_headers,
    h2.events.StreamEnded: GrpcConnection._on_stream_ended,
    h2.events.StreamReset: GrpcConnection._on_stream_reset,
    h2.events.RemoteSettingsChanged: GrpcConnection._on_settings,
    h2.events.WindowUpdated: GrpcConnection._on_window_updated,
    h2.events.ConnectionTerminated: GrpcConnection._on_goaway,
    h2.events.PingReceived: GrpcConnection._on_ping,
    h2.events.PingAckReceived: GrpcConnection._on_ping_ack,
}
