"""One attempt on its HTTP/2 stream: parses the worker's events and reports the attempt's outcome once."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from google.protobuf.message import DecodeError

from pipitshed.protocols.grpc import BadMessageError, take_messages
from pipitshed.proxy.attempt import Attempt
from pipitshed.scheduling.events import Outcome, ProgressKind
from pipitshed.worker_api import planner_pb2

if TYPE_CHECKING:
    from pipitshed.upstream.grpc.connection import GrpcConnection

STATUS_TIMEOUT_S = 0.25  # from the event that ends a job to the status that ends its stream

log = logging.getLogger("pipitshed")


class GrpcStream:
    """An attempt, its HTTP/2 stream and the parser of the worker's response."""

    __slots__ = (
        "connection",
        "attempt",
        "stream_id",
        "unsent",
        "result",
        "event_outcome",
        "has_received_message",
        "is_sent",
        "_buffer",
        "_message_charge",
        "_timer",
    )

    def __init__(self, connection: GrpcConnection, attempt: Attempt, stream_id: int, body: bytes) -> None:
        self.connection, self.attempt, self.stream_id = connection, attempt, stream_id
        self.unsent = memoryview(body)
        self.result = b""
        self.event_outcome: Outcome | None = None  # by an event; the status after it may add a pushback
        self.has_received_message = False
        self.is_sent = False  # END_STREAM has been passed to the HTTP/2 library
        self._buffer = bytearray()  # received bytes of an incomplete message
        self._message_charge = connection.flow_control.memory.charge()
        self._message_charge.on_reclaim = self._give_up
        self._timer: asyncio.TimerHandle | None = None

    def receive(self, data: bytes) -> None:
        """Buffer received data, and handle each complete message."""
        self._buffer += data
        try:
            for message in take_messages(self._buffer):
                event = planner_pb2.RunEvent.FromString(message)
                if event.id != self.attempt.context.request.id:
                    raise BadMessageError("an event carries the id of another request")
                self.has_received_message = True
                self._handle_event(event)
                if self.event_outcome is not None:
                    return
        except (BadMessageError, DecodeError) as error:
            log.info("grpc: %s", error)
            self._give_up()
            return
        if not self.attempt.finished:
            self.connection.charge_partial(self._message_charge, len(self._buffer))

    def _give_up(self) -> None:
        self.report(Outcome.RESET)
        self.connection.close_stream(self)

    def _handle_event(self, event: planner_pb2.RunEvent) -> None:
        kind, forwarder = event.WhichOneof("event"), self.connection.client.forwarder
        if kind == "started":
            forwarder.attempt_progressed(self.attempt, ProgressKind.STARTED)
        elif kind == "running":
            share = min(1.0, max(0.0, event.running.share))
            forwarder.attempt_progressed(self.attempt, ProgressKind.PROGRESS, share)
        elif kind == "done":
            self.event_outcome = Outcome.OK
            self.report(Outcome.OK, event.done.SerializeToString())
        elif kind == "failed":
            self.event_outcome = Outcome.ERROR
            self.result = f"{event.failed.code}: {event.failed.text}".encode()
        elif kind == "returned":
            self.event_outcome = Outcome.REJECTED
        if self.event_outcome is not None:
            # The status that follows may ask to wait before a retry. Without a timeout, a stream that the
            # worker never ends would count against the permitted streams.
            self._timer = self.connection.client.loop.call_later(STATUS_TIMEOUT_S, self._on_status_timeout)

    def _on_status_timeout(self) -> None:
        if self.stream_id in self.connection.streams:
            self.report(self.event_outcome or Outcome.RESET, self.result)
            self.connection.close_stream(self)

    def finish(self, outcome: Outcome, pushback_ms: float | None = None, is_closed: bool = False) -> None:
        """Report the outcome and close the stream; `is_closed` if both sides have ended it.

        An outcome from an event takes precedence over `outcome`.
        """
        self.report(self.event_outcome or outcome, self.result, pushback_ms)
        self.connection.close_stream(self, is_closed)

    def report(self, outcome: Outcome, result: bytes = b"", pushback_ms: float | None = None) -> None:
        """Report the attempt's outcome, unless one has been reported."""
        if not self.attempt.finished:
            connection = self.connection
            if outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED) and not connection.has_ended:
                connection.idle_reports += 1
            connection.client.forwarder.attempt_finished(self.attempt, outcome, result, (), pushback_ms)

    def release(self) -> None:
        """Stop the timer, and release the request's body."""
        if self._timer is not None:
            self._timer.cancel()
        self.unsent.release()
        self._message_charge.release()
        self._buffer.clear()
