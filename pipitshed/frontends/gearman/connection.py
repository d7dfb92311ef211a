"""One Gearman connection, of a client, a worker or an administrator; its packets show which."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pipitshed.flow_control import (
    SHORT_MESSAGE_BYTES,
    HoldReason,
    MemoryCharge,
    PacedConnection,
    Priority,
)
from pipitshed.frontends.gearman.job import GearmanJob
from pipitshed.protocols.buffer import Buffer, TooLongError
from pipitshed.protocols.gearman import (
    PACKET_HEADER,
    PACKET_LIMIT_BYTES,
    PacketError,
    PacketType,
    encode_packet,
    missing_bytes,
    peek_kind,
    take_requests,
)
from pipitshed.protocols.http import BODY_LIMIT_BYTES
from pipitshed.upstream.gearman import WORKER_KINDS, GearmanWorker

if TYPE_CHECKING:
    from pipitshed.frontends.gearman.frontend import GearmanFrontend, SubmissionParameters

PEER_CHECK_S = 0.05  # between looks at whether a peer that does not read has closed its end
START_WAIT_S = 0.05  # for which a job waits until all that its client has sent is read
LINGER_S = 0.5  # time after the last packet during which input is discarded
MAX_UNSENT_BYTES = 16 * 1024  # of output; beyond it no further input of the peer is handled
MAX_UNREAD_BYTES = 1024 * 1024  # output that a peer may leave unread before its connection is closed
WRITE_TIMEOUT_S = 10.0  # time for which a peer may leave more than MAX_UNSENT_BYTES unread
MAX_OPEN_JOBS = 4096  # over all connections
MAX_UNIQUE_ID_BYTES = 256  # it is passed on to workers, as an idempotency key is
MAX_COMMAND_BYTES = 4 * 1024  # of a text command
JOB_BYTES = 6 * 1024  # taken by a job and its attempt beside its data


@dataclass(frozen=True, slots=True)
class _Submission:
    """The priority and mode that the type of a SUBMIT_JOB packet encodes."""

    priority: int
    is_background: bool


@dataclass(frozen=True, slots=True)
class _UnstartedJob:
    """A submitted job and the arguments of its start."""

    job: GearmanJob
    parameters: SubmissionParameters
    name: bytes
    body: bytes
    priority: int
    memory_charge: MemoryCharge
    arrived_at: float

    def start(self, frontend: GearmanFrontend) -> None:
        """Submit the job, unless it was withdrawn."""
        frontend.submit(
            self.job,
            self.parameters,
            self.name,
            self.body,
            self.priority,
            self.memory_charge,
            self.arrived_at,
        )


_SUBMISSIONS = {
    PacketType.SUBMIT_JOB: _Submission(0, is_background=False),
    PacketType.SUBMIT_JOB_BG: _Submission(0, is_background=True),
    PacketType.SUBMIT_JOB_HIGH: _Submission(1, is_background=False),
    PacketType.SUBMIT_JOB_HIGH_BG: _Submission(1, is_background=True),
    PacketType.SUBMIT_JOB_LOW: _Submission(-1, is_background=False),
    PacketType.SUBMIT_JOB_LOW_BG: _Submission(-1, is_background=True),
}


class GearmanConnection(PacedConnection):
    """One connection from accept to close."""

    slice_bytes = 128  # ten of the shortest packets, as a text command may take long

    def __init__(self, frontend: GearmanFrontend) -> None:
        super().__init__(frontend.flow_control)
        self.wants_exceptions = False
        self.worker: GearmanWorker | None = None
        self._frontend = frontend
        # One read, and an incomplete packet left by the previous one.
        self._buffer = Buffer(PACKET_HEADER.size + PACKET_LIMIT_BYTES + len(self.flow_control.input.buffer))
        memory = self.flow_control.memory
        self._packet_charge = memory.charge()  # an incomplete packet
        self._packet_charge.on_reclaim = self._reclaim_packet
        self._unsent_charge = memory.charge()  # output that the peer leaves unread
        self._shed_bytes = 0  # still to come of a submission that finds no memory
        self._write_timer: asyncio.TimerHandle | None = None
        self._jobs: dict[GearmanJob, None] = {}  # jobs whose results the client waits for
        self._is_closing = False
        self._unstarted: deque[_UnstartedJob] = deque()  # the client's disconnect may be behind unread input
        self._start_timer: asyncio.TimerHandle | None = None

    # ---- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, and limit its unread output."""
        super().connection_made(transport)
        assert self._transport is not None
        self._transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self._frontend.connections[self] = None

    def connection_lost(self, _exc: Exception | None) -> None:
        """Withdraw the client's jobs, and end the worker's attempts."""
        super().connection_lost(_exc)
        self._transport = None
        self._frontend.connections.pop(self, None)
        self._buffer.take_all()
        for charge in (self._packet_charge, self._unsent_charge):
            charge.release()
        if self._write_timer is not None:
            self._write_timer.cancel()
        if self._start_timer is not None:
            self._start_timer.cancel()
        self._withdraw_jobs()
        self._start_all()
        if self.worker is not None:
            self.worker.lost()

    def eof_received(self) -> None:
        """Treat the peer as disconnected immediately, even if output is still unread."""
        self._withdraw_jobs()

    def pause_writing(self) -> None:
        """Handle no more input of a peer that does not read, and close its connection after a while."""
        self.hold_input(HoldReason.UNREAD_OUTPUT)
        self._write_timer = self._frontend.loop.call_later(WRITE_TIMEOUT_S, self.abort)
        self._frontend.loop.call_later(PEER_CHECK_S, self._check_peer)

    def _check_peer(self) -> None:
        """Notice the disconnect of a client from which nothing is read, so that none of its jobs starts."""
        if self._write_timer is None or self._transport is None:
            return
        if self.has_peer_closed():
            self._withdraw_jobs()
            self.abort()
        else:
            self._frontend.loop.call_later(PEER_CHECK_S, self._check_peer)

    def resume_writing(self) -> None:
        """Handle input again."""
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None
        self._unsent_charge.set(0)
        self.release_input(HoldReason.UNREAD_OUTPUT)

    def data_received(self, data: bytes) -> None:
        """Handle the complete packets and text commands."""
        if self._is_closing:
            return
        if self._shed_bytes:
            data = self._skip_shed(data)
        try:
            self._buffer.append(data)
            for request in take_requests(self._buffer):
                if self._transport is None or self._transport.is_closing():
                    return
                if isinstance(request, bytes):
                    self.write(self._frontend.command(request.decode("latin-1")))
                else:
                    self._handle_packet(*request)
            self._charge_packet()
        except (PacketError, TooLongError) as error:
            # After a packet that can't be parsed, the start of the next one is unknown.
            self.write(encode_packet(PacketType.ERROR, b"ERR_BAD_PACKET", str(error).encode()))
            self.close()

    def next_slice_bytes(self) -> int:
        """The rest of a packet is one slice, as it holds no further packet."""
        return max(self.slice_bytes, self._shed_bytes, missing_bytes(self._buffer))

    # ---- memory

    def _charge_packet(self) -> None:
        """Charge an incomplete packet; without memory for it, shed a submission, and slow a worker down."""
        byte_count, charge = len(self._buffer), self._packet_charge
        is_command = byte_count > 0 and self._buffer.peek(1) != b"\0"
        if is_command and byte_count > MAX_COMMAND_BYTES:
            raise PacketError("a command is too long")
        growth = byte_count - charge.byte_count
        if byte_count <= SHORT_MESSAGE_BYTES or peek_kind(self._buffer) not in _SUBMISSIONS:
            self.charge_partial(charge, byte_count)
        elif charge.try_add(growth, Priority.BULK):
            charge.allow_reclaim()
        else:
            self._shed_packet()

    def _shed_packet(self) -> None:
        """Keep nothing of the incomplete packet; an error is sent at its end."""
        self._shed_bytes = missing_bytes(self._buffer)
        self._buffer.take_all()
        self._packet_charge.release()

    def _skip_shed(self, data: bytes) -> bytes:
        """Skip the rest of a submission that is shed; return what follows it."""
        skipped = data[: self._shed_bytes]
        self._shed_bytes -= len(skipped)
        if not self._shed_bytes:
            self._write_error(b"ERR_QUEUE_FULL", b"no memory for this packet at present")
        return data[len(skipped) :]

    def _reclaim_packet(self) -> None:
        """Drop a stalled packet, as others need its memory; a client keeps its connection and its jobs."""
        if peek_kind(self._buffer) in WORKER_KINDS:
            self.abort()
        else:
            self._shed_packet()

    # ---- packets

    def _handle_packet(self, kind: PacketType, arguments: list[bytes]) -> None:
        if kind in _SUBMISSIONS:
            self._submit(_SUBMISSIONS[kind], *arguments)
        elif kind is PacketType.ECHO_REQ:
            self.write(encode_packet(PacketType.ECHO_RES, arguments[0]))
        elif kind is PacketType.OPTION_REQ:
            if arguments[0] == b"exceptions":
                self.wants_exceptions = True
                self.write(encode_packet(PacketType.OPTION_RES, arguments[0]))
            else:
                self._write_error(b"ERR_UNKNOWN_OPTION", b"the server has no such option")
        elif kind is PacketType.GET_STATUS:
            self.write(self._frontend.status(arguments[0]))
        elif kind is PacketType.GET_STATUS_UNIQUE:
            self.write(self._frontend.status_unique(arguments[0]))
        elif kind in WORKER_KINDS:
            if self.worker is None:
                self.worker = self._frontend.worker_client.worker(self)
            self.worker.handle(kind, arguments)

    def _submit(self, submission: _Submission, name: bytes, unique_id: bytes, body: bytes) -> None:
        frontend = self._frontend
        parameters = frontend.parameters(name.decode("latin-1"))
        if parameters is None:
            self._write_error(b"ERR_UNKNOWN_FUNCTION", b"no class for this function")
        elif len(unique_id) > MAX_UNIQUE_ID_BYTES:
            self._write_error(b"ERR_TOO_LARGE", b"a unique id holds at most 256 bytes")
        elif len(body) > BODY_LIMIT_BYTES:
            self._write_error(b"ERR_TOO_LARGE", b"a job holds at most 65536 bytes")
        elif frontend.closing:
            self._write_error(b"ERR_CLOSING", b"the scheduler is about to end")
        elif len(frontend.jobs) >= MAX_OPEN_JOBS:
            self._write_error(b"ERR_QUEUE_FULL", b"too many jobs are open")
        else:
            connection = None if submission.is_background else self
            charge = self.flow_control.memory.charge()
            data_bytes = len(unique_id) + len(body)
            priority = Priority.REQUEST if data_bytes <= SHORT_MESSAGE_BYTES else Priority.BULK
            if not charge.try_add(JOB_BYTES + data_bytes, priority):
                self._write_error(b"ERR_QUEUE_FULL", b"no memory for this job at present")
                return
            job = GearmanJob(frontend, frontend.handles.new(), unique_id, connection)
            if connection is not None:
                self._jobs[job] = None
            self.write(encode_packet(PacketType.JOB_CREATED, job.handle))
            frontend.jobs[job.handle] = job
            unstarted = _UnstartedJob(job, parameters, name, body, submission.priority, charge, self.read_at)
            self._start_soon(unstarted)
            self.end_turn()

    def _start_soon(self, unstarted: _UnstartedJob) -> None:
        """Start a job in the next iteration, a client's job once all that the client has sent is read.

        If the client has already disconnected, its EOF is read before, and the job is not started.
        """
        if unstarted.job.connection is None:
            self._frontend.loop.call_soon(unstarted.start, self._frontend)
            return
        self._unstarted.append(unstarted)
        self._frontend.loop.call_soon(self.input_drained)

    def input_drained(self) -> None:
        """Start the client's jobs, unless more of its input is to be read."""
        if self.is_input_drained:
            self._start_all()
        elif self._unstarted and self._start_timer is None:
            self._start_timer = self._frontend.loop.call_later(START_WAIT_S, self._end_start_wait)

    def _end_start_wait(self) -> None:
        """Start the jobs of a client that goes on sending, unless its disconnect is behind what is unread."""
        self._start_timer = None
        if self.has_peer_closed():
            self._withdraw_jobs()
        self._start_all()

    def _start_all(self) -> None:
        while self._unstarted:
            self._unstarted.popleft().start(self._frontend)

    def _write_error(self, code: bytes, text: bytes) -> None:
        self.write(encode_packet(PacketType.ERROR, code, text))

    # ---- output and close

    def write(self, data: bytes) -> None:
        """Send packets, unless the connection is closing."""
        if self._transport is not None and not self._transport.is_closing() and not self._is_closing:
            self._transport.write(data)
            if self._write_timer is not None:
                self._unsent_charge.add(len(data))
                if self._transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
                    self.abort()

    def ended(self, job: GearmanJob) -> None:
        """Forget a job of this client that has ended."""
        self._jobs.pop(job, None)

    def _withdraw_jobs(self) -> None:
        jobs, self._jobs = list(self._jobs), {}
        for job in jobs:
            self._frontend.withdraw(job)

    def close(self) -> None:
        """Close the connection after the pending output.

        Input is discarded for LINGER_S: closing with unread input would reset the connection, and the peer
        would lose output that it has not read, such as an error packet.
        """
        if self._transport is not None and not self._transport.is_closing() and not self._is_closing:
            self._is_closing = True
            self._transport.write_eof()
            self._withdraw_jobs()
            if self.worker is not None:
                self.worker.lost()
            self._frontend.loop.call_later(LINGER_S, self.abort)

    def abort(self) -> None:
        """Close the connection immediately, without sending the pending output."""
        if self._transport is not None:
            self._transport.abort()
