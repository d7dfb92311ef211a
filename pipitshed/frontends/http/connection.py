"""One HTTP client's connection: parses requests, and sends the responses in the same order."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import httptools
import msgspec

from pipitshed.flow_control import (
    SHORT_MESSAGE_BYTES,
    HoldReason,
    PacedConnection,
    Priority,
)
from pipitshed.frontends.http.request_parser import KEPT_HEADERS, SINGLE_VALUE_HEADERS, MalformedError
from pipitshed.frontends.http.responses import response
from pipitshed.protocols.buffer import Buffer, TooLongError
from pipitshed.protocols.http import BODY_LIMIT_BYTES, HEAD_LIMIT_BYTES
from pipitshed.proxy.request import Request, RequestContext, TranslationFailure
from pipitshed.scheduling.events import ProgressKind

if TYPE_CHECKING:
    from pipitshed.frontends.http.frontend import HttpFrontend

MAX_PIPELINED_REQUESTS = 8  # queued after the one in progress; further ones are answered 503
MAX_QUEUED_RESPONSES = 256  # including those 503; a client that sends more is disconnected
FIRST_REQUEST_TIMEOUT_S = 2.5  # from connecting; a connection that sends only garbage must end within 3 s
PIPELINE_QUIET_S = 0.005  # time without input after which the first of several requests starts
NEXT_REQUEST_TIMEOUT_S = 10.0  # from the first to the last byte of a later request
MAX_MESSAGE_BYTES = (
    HEAD_LIMIT_BYTES + 4 * BODY_LIMIT_BYTES
)  # of a request, including chunk framing and trailers
MAX_LINGER_BYTES = 1024 * 1024  # input that is discarded after the last response
WRITE_TIMEOUT_S = 10.0  # time for which a client may leave its responses unread

MAX_UNSENT_BYTES = 16 * 1024  # of responses; beyond it no further request is read
REQUEST_BYTES = 6 * 1024  # taken by a request and its attempt beside its head and body

_HEALTH_PATH = b"/_health"
_HEADER_FRAMING_BYTES = len(": \r\n")
_IN_BODY = -1  # value of _head_bytes once the head is complete

_encode_json = msgspec.json.encode


def _error_status(error: BaseException | None) -> int:
    """The response status for input that can't be parsed."""
    if isinstance(error, MalformedError):
        return error.status
    return 413 if isinstance(error, TooLongError) else 400


class HttpConnection(PacedConnection):
    """One client's connection, from accept to close."""

    def __init__(self, frontend: HttpFrontend) -> None:
        super().__init__(frontend.flow_control)
        self._frontend = frontend
        self._parser = httptools.HttpRequestParser(self)
        self._buffer = Buffer(BODY_LIMIT_BYTES)
        memory = self.flow_control.memory
        self._unsent_charge = memory.charge()  # responses that the client leaves unread
        self._message_charge = memory.charge()  # the request that is being received
        self._is_shed = False  # the request that is being received finds no memory
        self._resource = b""
        self._headers: dict[bytes, bytes] = {}
        self._head_bytes = 0  # received of an incomplete head; _IN_BODY after the head
        self._parsed_head_bytes = 0  # of the parsed target and headers
        self._message_bytes = 0  # received of an incomplete request
        self._body_bytes_left = 0  # of a body whose length is known
        self._is_receiving = False
        self._message_began_at = 0.0  # monotonic time at which its first bytes were read
        self.last_received_at = 0.0  # loop time
        self.last_responded_at = 0.0  # loop time
        self._timer: asyncio.TimerHandle | None = None  # expires when the request must be complete
        self._open_id = ""  # id of the request in progress
        # To be answered in this order: a request, or the status of a response without a job.
        self._queue: deque[Request | int] = deque()
        self._request_context: RequestContext | None = None  # the request in progress
        self._is_last = False  # no further request is read
        self._is_write_paused = False  # the client does not read, so no further request starts
        self._write_timer: asyncio.TimerHandle | None = None

    @property
    def is_receiving(self) -> bool:
        """Whether a request has arrived in part."""
        return self._is_receiving

    @property
    def is_idle(self) -> bool:
        """Whether no response is outstanding and no part of a request has arrived."""
        is_answered = self._request_context is None and not self._queue
        return is_answered and not self._is_receiving and not self.has_deferred_input

    def idle_since(self) -> float:
        """The loop time of the last input or response."""
        return max(self.last_received_at, self.last_responded_at)

    # ---- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout of the first request."""
        super().connection_made(transport)
        assert self._transport is not None
        self._transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self._timer = self._frontend.loop.call_later(FIRST_REQUEST_TIMEOUT_S, self._on_timeout)
        self._frontend.connected(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Withdraw the client's requests, and cancel the timers."""
        super().connection_lost(_exc)
        self._frontend.forget(self)
        self._frontend.closing.pop(self, None)
        self._cancel_timeout()
        if self._write_timer is not None:
            self._write_timer.cancel()
        self._withdraw()
        self._discard_message()
        self._unsent_charge.release()
        del self._parser  # it refers to this object

    def eof_received(self) -> None:
        """Treat the client as disconnected immediately, even if responses are still unread."""
        self._withdraw()
        self.close()

    def pause_writing(self) -> None:
        """Stop reading while the client does not read, so that its responses can't exhaust memory.

        No request starts in this state, because a disconnect of the client would not be noticed.
        """
        self._is_write_paused = True
        self.hold_input(HoldReason.UNREAD_OUTPUT)
        if self._transport is not None and not self._transport.is_closing():
            self._write_timer = self._frontend.loop.call_later(WRITE_TIMEOUT_S, self._transport.abort)

    def resume_writing(self) -> None:
        """Resume reading, and start queued requests."""
        self._is_write_paused = False
        if self._write_timer is not None:
            self._write_timer.cancel()
        self._unsent_charge.set(0)
        self.release_input(HoldReason.UNREAD_OUTPUT)
        if self._transport is not None and not self._transport.is_closing():
            self._process_queue()

    def data_received(self, data: bytes) -> None:
        """Parse input; after the last request, discard it."""
        if self._is_last:
            self._message_bytes += len(data)
            if self._message_bytes > MAX_LINGER_BYTES and self._transport is not None:
                self._transport.abort()
            return
        self.last_received_at = self._frontend.loop.time()
        if self in self._frontend.awaiting_first_request:
            self._frontend.received(self)
        # The parser has no limit of its own: it would store an endless head.
        if self._head_bytes >= 0:
            self._head_bytes += len(data)
        self._message_bytes += len(data)
        try:
            self._parser.feed_data(data)
            if self._message_bytes:
                self._check_incomplete_message()
        except httptools.HttpParserUpgrade:
            self._reject_input(400)
        except httptools.HttpParserError as error:
            # The parser wraps an exception of a callback, and keeps it as the context.
            self._reject_input(_error_status(error.__context__))
        except (MalformedError, TooLongError) as error:
            self._reject_input(_error_status(error))

    def _check_incomplete_message(self) -> None:
        """Check the limits of what has come so far of a request, and charge it."""
        if self._head_bytes > HEAD_LIMIT_BYTES:
            raise MalformedError(431, "the head is too long")
        if self._message_bytes > MAX_MESSAGE_BYTES:
            raise MalformedError(413, "the framing is too long")
        if self._is_receiving and not self._is_shed:
            kept_bytes = len(self._resource) + sum(map(len, self._headers.values()))
            self._charge_message(kept_bytes + len(self._buffer))

    def next_slice_bytes(self) -> int:
        """The rest of a body is one slice, as it holds no further request."""
        return max(self.slice_bytes, self._body_bytes_left)

    def input_drained(self) -> None:
        """Start the requests that had to wait until a disconnect behind them would have been read."""
        if self._queue:
            self._frontend.loop.call_soon(self._process_queue)

    def _withdraw(self) -> None:
        """After a disconnect: discard the queued requests, and withdraw the one in progress."""
        self._is_last = True
        self._discard_queue()
        if self._request_context is not None:
            context, self._request_context = self._request_context, None
            self._frontend.open_ids.discard(self._open_id)
            self._frontend.forwarder.withdraw(context)

    # ---- memory

    def _charge_message(self, byte_count: int, overhead_bytes: int = 0) -> None:
        """Charge this much of a request and its overhead; shed it where the budget has no room for it."""
        charge = self._message_charge
        is_short = byte_count <= SHORT_MESSAGE_BYTES and self._request_context is None and not self._queue
        growth = byte_count + overhead_bytes - charge.byte_count
        if not charge.try_add(growth, Priority.REQUEST if is_short else Priority.BULK):
            self._shed_message()
        elif not is_short:
            charge.on_reclaim = self._reclaim_message
            charge.allow_reclaim()

    def _shed_message(self) -> None:
        """Keep nothing of the request that is being received; it is answered 503 at its end."""
        self._is_shed = True
        self._discard_message()

    def _reclaim_message(self) -> None:
        """Answer a stalled request with 503, as others need its memory; its rest is discarded."""
        self._shed_message()
        self._reject_input(503)

    def _discard_message(self) -> None:
        self._message_charge.release()
        self._buffer.take_all()
        self._resource, self._headers = b"", {}

    def _discard_queue(self) -> None:
        for queued in self._queue:
            if not isinstance(queued, int):
                queued.memory_charge.release()
        self._queue.clear()

    # ---- timeouts

    def _cancel_timeout(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def time_out(self) -> None:
        """Answer a stalled request with 408, unless earlier responses are outstanding."""
        if self._request_context is None and not self._queue and not self._is_last:
            self._cancel_timeout()
            self._on_timeout()

    def _on_timeout(self) -> None:
        self._timer = None
        if self._is_receiving:
            self._reject_input(408)
        else:
            self.drop()

    # ---- httptools callbacks

    def on_message_begin(self) -> None:
        """Called by the parser: reset the state for a new request."""
        self._is_receiving = True
        self._message_began_at = self.read_at
        self._resource = b""
        self._headers = {}
        self._parsed_head_bytes = 0
        self._is_shed = False
        self._buffer.take_all()
        if self._timer is None:
            self._timer = self._frontend.loop.call_later(NEXT_REQUEST_TIMEOUT_S, self._on_timeout)

    def on_url(self, url: bytes) -> None:
        """Called by the parser with a part of the request target."""
        if not self._is_shed:
            self._resource += url
        self._parsed_head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser with a header, or a trailer, which is ignored."""
        name = name.lower()
        if self._head_bytes < 0:
            return
        self._parsed_head_bytes += len(name) + len(value) + _HEADER_FRAMING_BYTES
        if name in SINGLE_VALUE_HEADERS and name in self._headers:
            raise MalformedError(400, f"{name.decode()} is repeated")
        if name in KEPT_HEADERS and not self._is_shed:
            # Whitespace around a value is not part of it (RFC 9110, 5.5); the parser keeps it behind it.
            self._headers[name] = value.strip(b" \t")

    def on_headers_complete(self) -> None:
        """Called by the parser: check the complete head."""
        self._head_bytes = _IN_BODY
        # A head that arrived in one read was not checked as an incomplete one.
        if self._parsed_head_bytes > HEAD_LIMIT_BYTES:
            raise MalformedError(431, "the head is too long")
        if self._parser.should_upgrade():
            raise MalformedError(400, "upgrades are not supported")  # the parser would not read the body
        length = self._headers.get(b"content-length", b"0")
        if length.isdigit():
            if int(length) > BODY_LIMIT_BYTES:
                raise MalformedError(413, "the body is too long")
            self._body_bytes_left = int(length)
        if self._headers.get(b"expect", b"").lower() == b"100-continue" and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Called by the parser with a part of the body; TooLongError beyond the limit."""
        self._body_bytes_left = max(0, self._body_bytes_left - len(data))
        if not self._is_shed:
            self._buffer.append(data)

    def on_message_complete(self) -> None:
        """Called by the parser: queue the request, or the status that answers it."""
        if self._is_last:
            return  # read together with the last request, or with those of a flood
        self._head_bytes = self._message_bytes = self._body_bytes_left = 0
        self._is_receiving = False
        self._cancel_timeout()
        self._frontend.awaiting_first_request.pop(self, None)
        if not self._parser.should_keep_alive():
            self._is_last = True
        verb: bytes = self._parser.get_method()
        may_queue = not self._is_shed and len(self._queue) < MAX_PIPELINED_REQUESTS
        if verb == b"POST" and may_queue and self._queue_request(verb):
            # Deferred: if the client has already disconnected, its EOF is read before the next iteration, and
            # the request is not started.
            self._frontend.loop.call_soon(self._process_queue)
            return
        self._queue_status(verb)
        self._discard_message()
        self._process_queue()

    def _queue_status(self, verb: bytes) -> None:
        """Queue the answer to a message that is no job, or that is shed."""
        if verb == b"GET":
            self._queue.append(self._health_status())
        elif verb != b"POST":
            self._queue.append(405)
        else:
            # A status needs less memory than a request. Reading continues, so that a disconnect is noticed.
            self._queue.append(503)
            if len(self._queue) >= MAX_QUEUED_RESPONSES:
                self._end_flood()

    def _queue_request(self, verb: bytes) -> bool:
        """Queue the received request; False if the memory budget has no room for it."""
        self._charge_message(self._parsed_head_bytes + len(self._buffer), REQUEST_BYTES)
        if self._is_shed:
            return False
        charge, self._message_charge = self._message_charge, self.flow_control.memory.charge()
        charge.complete()
        body, headers = self._buffer.take_all(), self._headers
        try:
            request = self._frontend.parser.request(
                verb, self._resource, headers, body, self._message_began_at, charge
            )
        except MalformedError:
            charge.release()
            raise
        self._queue.append(request)
        return True

    def _health_status(self) -> int:
        if self._resource.split(b"?")[0] != _HEALTH_PATH:
            return 404
        return 200 if self._frontend.ready() else 503

    def _reject_input(self, status: int) -> None:
        """Answer input that can't be parsed, after the outstanding responses, then close."""
        if not self._is_last:
            self._is_last = True
            self._queue.append(status)
            self._process_queue()

    def _end_flood(self) -> None:
        """Answer all requests of a client that floods the connection, and read no more of them."""
        count = len(self._queue)
        self._discard_queue()
        self._queue.extend([503] * count)
        self._is_last = True
        if self._request_context is not None:
            context = self._request_context
            self._frontend.forwarder.withdraw(context)
            self._write(500 if context.may_have_run else 503)

    # ---- requests and responses

    def _process_queue(self) -> None:
        """Answer or start the queued requests in order, until one is in progress."""
        while (
            self._request_context is None
            and self._queue
            and not self._is_write_paused
            and (self._transport is not None and not self._transport.is_closing())
        ):
            first = self._queue[0]
            if isinstance(first, int):
                del self._queue[0]
                self._write(first)
                continue
            if not self._may_start_request():
                return
            del self._queue[0]
            if first.id in self._frontend.open_ids or first.id in self._frontend.executed:
                # Workers identify requests by the id: two open ones with the same id would be confused, and
                # one that may have run must not run again.
                first.memory_charge.release()
                self._write(409)
            else:
                self._open_id = first.id
                self._frontend.open_ids.add(first.id)
                self._request_context = self._frontend.forwarder.submit(first, self)

    def _may_start_request(self) -> bool:
        """Whether the client's disconnect would be known by now.

        It may be behind input that is not read yet, or that is still on its way behind pipelined requests.
        """
        if not self.is_input_drained:
            return False
        if len(self._queue) == 1 and not self._is_receiving:
            return True
        quiet_s = self._frontend.loop.time() - self.last_received_at
        if quiet_s < PIPELINE_QUIET_S:
            self._frontend.loop.call_later(PIPELINE_QUIET_S, self._process_queue)
            return False
        return not self.has_peer_closed()

    def _write(self, status: int, body: bytes = b"", extra_headers: str = "") -> None:
        if self._request_context is not None:
            self._request_context = None
            self._frontend.open_ids.discard(self._open_id)
        transport = self._transport
        if transport is None or transport.is_closing() or self in self._frontend.closing:
            return
        self._frontend.used(self)
        is_final = (self._is_last or self._frontend.draining) and not self._queue
        data = response(status, body, extra_headers, is_final)
        transport.write(data)
        if self._is_write_paused:
            self._unsent_charge.add(len(data))
        if is_final:
            self.close()

    def succeeded(self, result: bytes) -> None:
        """Respond with the job's result."""
        self._write(200, result)
        self._process_queue()

    def rejected(self, retry_after_ms: float) -> None:
        """Respond with 503 and Retry-After: the job has not run."""
        self._write(503, b"", f"Retry-After: {retry_after_ms / 1000:.3f}\r\n")
        self._process_queue()

    def failed(self) -> None:
        """Respond with 500: the job failed, or may have run."""
        self._write(500)
        self._process_queue()

    def untranslatable(self, failure: TranslationFailure, has_run: bool) -> None:
        """Respond with problem details (RFC 9457).

        The status is 422 for a request, as a retry can't succeed, and 500 for the result of a job that ran.
        """
        status = 500 if has_run else 422
        subject = "result" if has_run else "request"
        problem = {
            "type": f"urn:pipitshed:problem:{subject}-not-expressible",
            "title": f"The {subject} can't be expressed",
            "status": status,
            "detail": f"{failure.field}: {failure.reason}",
            "field": failure.field,
            "value": failure.value,
            "reason": failure.reason,
        }
        self._write(status, _encode_json(problem), "Content-Type: application/problem+json\r\n")
        self._process_queue()

    def progressed(self, _kind: ProgressKind, _done_fraction: float) -> None:
        """Ignore progress: an HTTP client gets only the response."""

    # ---- close

    def close(self) -> None:
        """Close the connection after the pending output.

        Input is discarded for the linger time: closing with unread input would reset the connection, and the
        client would lose responses that it has not read. No input is parsed as a request any more.
        """
        transport = self._transport
        if transport is None or transport.is_closing() or self in self._frontend.closing:
            return
        self._frontend.forget(self)
        self._frontend.closing[self] = None
        self._is_last = True
        self._message_bytes = 0
        self.release_input(HoldReason.UNREAD_OUTPUT)  # to be discarded
        transport.write_eof()
        self._cancel_timeout()
        self._timer = self._frontend.loop.call_later(self._frontend.linger, self._end_linger)

    def _end_linger(self) -> None:
        if self._transport is not None and self._transport.get_write_buffer_size() == 0:
            self._transport.abort()
        elif self._transport is not None:
            # The client reads the last responses slowly.
            self._timer = self._frontend.loop.call_later(WRITE_TIMEOUT_S, self._transport.abort)

    def drop(self) -> None:
        """Close the connection immediately: it is idle, or has sent no complete request."""
        # Forgotten here rather than in connection_lost, which is called an iteration later: until then each
        # further client that connects would evict the same connection again.
        self._frontend.forget(self)
        if self._transport is not None:
            self._transport.close()
