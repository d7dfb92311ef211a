"""One connection to a worker that speaks HTTP.

A worker answers an attempt with status 200 and one JSON object per line: the job's progress, then its
outcome. Other statuses mean that the job failed or, with `X-Not-Run`, that it did not run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import TYPE_CHECKING

import msgspec

from pipitshed.flow_control import PacedConnection
from pipitshed.protocols.address import Address
from pipitshed.protocols.http import BODY_LIMIT_BYTES, MalformedResponseError, ResponseReader
from pipitshed.proxy.attempt import Attempt
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.scheduling.events import Outcome, ProgressKind
from pipitshed.scheduling.settings import Idempotency
from pipitshed.upstream.http.load_report import ordered_report, parse_load_report

if TYPE_CHECKING:
    from pipitshed.upstream.http.client import HttpWorkerClient

ANSWER_END_TIMEOUT_S = 0.5  # from an attempt's outcome to the end of the answer that carried it
SECOND_ANSWER_WINDOW_S = 0.05  # after an answer, within which a second one to the same request may arrive
MAX_LINE_BYTES = 4 * BODY_LIMIT_BYTES  # JSON escapes may make a line longer than the limit of its result
HTTP2_SETTINGS_PREFIX = b"\0\0"  # of a SETTINGS frame under 256 bytes; no HTTP/1.1 answer begins so

_STATUS_OK = 200
_NOT_RUN_STATUSES = (503, 504)


class _AnswerLine(msgspec.Struct):
    """One line of a worker's answer."""

    id: str = ""
    state: str = ""
    share: float = 0.0
    result: str = ""
    load: dict[str, float] = {}


_decode_line = msgspec.json.Decoder(_AnswerLine).decode
_OUTCOMES = {
    "done": Outcome.OK,
    "failed": Outcome.ERROR,
    "returned": Outcome.REJECTED,
    "lost": Outcome.RESET,
}


def _header_text(text: str) -> str:
    """Return a text without the characters that a header value can't contain, such as line breaks."""
    return "".join(char for char in text if " " <= char <= "~")


def request_bytes(attempt: Attempt, remaining_s: float, classes: Sequence[str] = ()) -> bytes:
    """Return the HTTP request of an attempt with `remaining_s` seconds until its deadline.

    Where messages are translated, it names the class and the tenant, as requests of every interface then do.
    """
    request = attempt.context.request
    names = ""
    if attempt.context.translated is not None:
        names = f"X-Class: {classes[request.job_class]}\r\n"
        if request.tenant_name:
            names += f"X-Tenant: {request.tenant_name}\r\n"
    key = f"Idempotency-Key: {_header_text(request.idempotency_key)}\r\n" if request.idempotency_key else ""
    return (
        f"{request.method} {request.target} HTTP/1.1\r\nHost: service.internal\r\n"
        f"X-Request-Id: {_header_text(request.id)}\r\n{key}{names}"
        f"X-Deadline: {max(0.001, remaining_s):.3f}\r\n"
        f"Content-Length: {len(attempt.body)}\r\n\r\n"
    ).encode("latin-1") + attempt.body


class HttpWorkerConnection(PacedConnection):
    """One connection to a worker; it carries one attempt or probe at a time."""

    slice_bytes = 2048

    def __init__(self, client: HttpWorkerClient, address: Address) -> None:
        super().__init__(client.flow_control)
        self.address = address
        self.attempt: Attempt | None = None
        self.probed_endpoint: Endpoint | None = None
        self.probe_started_at = 0.0  # loop time
        self.idle_timer: asyncio.TimerHandle | None = None
        # Loop time. Stored here, as uvloop's timer handle does not have it for a timer that is already due.
        self.idle_deadline = 0.0
        self.idle_endpoint: Endpoint | None = None  # whose idle connections the scheduler counts
        self._client = client
        self._line_charge = self.flow_control.memory.charge()  # an incomplete line of an answer
        self._line_charge.on_reclaim = self._give_up
        self._reader = ResponseReader(self, MAX_LINE_BYTES)
        self._has_unsent_bytes = False
        self._is_sent_reported = True
        self._is_outcome_reported = False
        self._status = 0
        self._answer_end_timer: asyncio.TimerHandle | None = None
        self._second_answer_until = 0.0  # loop time
        self._second_answer_timer: asyncio.TimerHandle | None = None
        self._may_get_second_answer = False  # to the request before the present one

    # ---- output

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        assert self._transport is not None
        # With a limit of 0, the transport calls `pause_writing` while any byte is unsent.
        self._transport.set_write_buffer_limits(high=0)
        self._client.connected(self)

    def pause_writing(self) -> None:
        """The kernel has not accepted all bytes."""
        self._has_unsent_bytes = True

    def resume_writing(self) -> None:
        """The kernel has accepted all bytes."""
        self._has_unsent_bytes = False
        self._report_sent()

    def write(self, data: bytes) -> None:
        """Send the request of an attempt or a probe."""
        assert self._transport is not None
        self._expect_second_answer()
        self._is_outcome_reported, self._has_unsent_bytes = False, False
        self._is_sent_reported = self.attempt is None
        self._transport.write(data)
        if self._transport.is_closing():
            self._has_unsent_bytes = True  # the worker had closed the connection: not all was sent
        self._report_sent()

    def _report_sent(self) -> None:
        if (
            not self._is_sent_reported
            and not self._has_unsent_bytes
            and self.attempt is not None
            and not self._is_outcome_reported
        ):
            self._is_sent_reported = True
            self._client.forwarder.attempt_sent(self.attempt)

    @property
    def is_open(self) -> bool:
        """Whether the connection is up and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_sent(self) -> bool:
        """Whether the last byte has been sent, as far as this side knows."""
        return not self._has_unsent_bytes

    def close(self) -> None:
        """Close immediately, without reporting an outcome."""
        self._is_outcome_reported = True
        self._cancel_timers()
        if self._transport is not None:
            self._transport.abort()

    def _cancel_timers(self) -> None:
        for timer in (self.idle_timer, self._answer_end_timer, self._second_answer_timer):
            if timer is not None:
                timer.cancel()

    # ---- input

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived."""
        if self.attempt is None and self.probed_endpoint is None:
            self.close()  # unrequested input could be parsed as the answer to the next request
            return
        try:
            self._reader.feed(data)
        except MalformedResponseError:
            if self.attempt is not None and data.startswith(HTTP2_SETTINGS_PREFIX):
                self._client.on_wrong_interface(self.attempt.endpoint)
            self._give_up()
            return
        incomplete_bytes = len(self._reader.buffer)
        if incomplete_bytes or self._line_charge.byte_count:
            self.charge_partial(self._line_charge, incomplete_bytes)
        if self.attempt is None and self.probed_endpoint is None:
            # A second answer has begun after the first: its rest must not be parsed as the next one.
            if self._reader.is_receiving:
                self.close()
        elif self._is_outcome_reported and self._answer_end_timer is None:
            # The attempt's own timer ends with its outcome. Without this timer, an answer that never ends
            # would keep the connection open forever.
            self._answer_end_timer = self._client.loop.call_later(ANSWER_END_TIMEOUT_S, self.close)

    def _give_up(self) -> None:
        """End an answer that can't be read, or that stalls while others need its memory."""
        self._finish(Outcome.RESET)
        self.close()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Report the outcome, unless one has been reported."""
        super().connection_lost(_exc)
        self._finish(Outcome.CONNECT_FAILED if self._has_unsent_bytes else Outcome.RESET)
        self._cancel_timers()
        self._line_charge.release()
        self._reader.close()
        if self.idle_endpoint is not None:
            self._client.forwarder.connection_lost(self.idle_endpoint)
        self._client.lost(self)

    # ---- what the HTTP reader reports

    def head_received(self, status: int) -> None:
        """Called when the answer's head is complete."""
        self._status = status

    def body_received(self) -> None:
        """Handle the complete lines in the reader's buffer; called when it has received more of the body."""
        if self._status != _STATUS_OK or self.attempt is None:
            return
        while (text := self._reader.buffer.take_line()) is not None:
            if text:
                self._handle_line(text)

    def response_ended(self, keep_alive: bool) -> None:
        """Report the outcome, and make the connection idle if it can be used again."""
        if self.attempt is None and self.probed_endpoint is None:
            self.close()  # a second answer, while the connection is idle already
            return
        is_own_answer = self._finish_answer()
        self.attempt = self.probed_endpoint = None
        self._cancel_timers()
        self._answer_end_timer = self._second_answer_timer = None
        # If the answer arrived before the whole request was sent, or may be a second one to the request
        # before, then the next answer on this connection would be taken for another request's.
        if keep_alive and is_own_answer and self.is_open and not self._has_unsent_bytes:
            self._second_answer_until = self._client.loop.time() + SECOND_ANSWER_WINDOW_S
            self._client.pool.put(self)
        else:
            self.close()

    def _finish_answer(self) -> bool:
        """Report the outcome of an answer that has ended; return whether it is surely to this request."""
        headers = self._reader.headers
        report = parse_load_report(headers.get(b"x-load", b""), self._client.report_fields)
        if self._status == _STATUS_OK and self.attempt is not None:
            rest = self._reader.buffer.take_all().strip()
            if rest:
                self._handle_line(rest)
            has_outcome = self._is_outcome_reported
            self._finish(Outcome.RESET)  # no effect if a line has reported an outcome
            return has_outcome
        if self._status in _NOT_RUN_STATUSES and headers.get(b"x-not-run", b"").strip() == b"1":
            self._finish(self._outcome_without_id(Outcome.REJECTED), b"", report)
        elif self.probed_endpoint is not None and self._status == _STATUS_OK:
            body = parse_load_report(self._reader.buffer.take_all(), self._client.report_fields)
            self._finish(Outcome.OK, b"", body or report)
        else:
            self._finish(self._outcome_without_id(Outcome.ERROR), b"", report)
        return not self._may_get_second_answer

    def _handle_line(self, text: bytes) -> None:
        attempt = self.attempt
        if attempt is None or self._is_outcome_reported:
            return
        try:
            line = _decode_line(text)
        except msgspec.DecodeError:
            raise MalformedResponseError("a response line is not JSON") from None
        if line.id != attempt.context.request.id:
            # Its result must not reach this request's client.
            raise MalformedResponseError("a response line carries the id of another request")
        if line.state == "started":
            self._client.forwarder.attempt_progressed(attempt, ProgressKind.STARTED)
        elif line.state == "running":
            self._client.forwarder.attempt_progressed(attempt, ProgressKind.PROGRESS, line.share)
        elif line.state in _OUTCOMES:
            report = ordered_report(line.load, self._client.report_fields)
            self._finish(_OUTCOMES[line.state], line.result.encode(), report)

    def _expect_second_answer(self) -> None:
        """Until its time is over, take an answer without an id as one that may be to the request before."""
        self._may_get_second_answer = self._client.loop.time() < self._second_answer_until
        if self._may_get_second_answer:
            self._second_answer_timer = self._client.loop.call_at(
                self._second_answer_until, self._second_answer_overdue
            )

    def _second_answer_overdue(self) -> None:
        """Expect no second answer any more, unless something has arrived that is not handled yet."""
        is_quiet = not (self._reader.is_receiving or self.has_deferred_input or self.has_unread_input())
        if is_quiet:
            self._may_get_second_answer = False

    def _outcome_without_id(self, outcome: Outcome) -> Outcome:
        """The outcome that an answer without a request id shows; a reset if it may be another request's.

        A job that is not idempotent must not be retried because of such an answer.
        """
        if not self._may_get_second_answer or self.attempt is None:
            return outcome
        is_idempotent = self._client.idempotency(self.attempt) is Idempotency.IDEMPOTENT
        return outcome if is_idempotent else Outcome.RESET

    def _finish(self, outcome: Outcome, result: bytes = b"", report: Sequence[float] = ()) -> None:
        """Report the outcome of the current attempt or probe, once."""
        if self._is_outcome_reported:
            return
        self._is_outcome_reported = True
        forwarder = self._client.forwarder
        if self.attempt is not None:
            if outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
                self.idle_endpoint = self.attempt.endpoint
            forwarder.attempt_finished(self.attempt, outcome, result, report)
        elif self.probed_endpoint is not None:
            duration_ms = (self._client.loop.time() - self.probe_started_at) * 1000
            forwarder.probe_finished(self.probed_endpoint, outcome, duration_ms, report)
