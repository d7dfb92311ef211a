"""The Gearman front: clients that submit jobs, workers that take them, and the text commands.

All speak at one address. What a worker says is handed on to egress.gearman; clients' jobs become exchanges
by way of the ledger, so that a resubmission joins what runs already.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import cast

from pipitshed import __version__
from pipitshed.protocols.buffer import Buffer, TooLongError
from pipitshed.protocols.gearman import HEAD, PACKET_LIMIT, Kind, PacketError, pack, requests
from pipitshed.protocols.http import BODY_LIMIT
from pipitshed.proxy.deduplication import DeduplicationEntry, DeduplicationTable
from pipitshed.proxy.forwarder import Forwarder
from pipitshed.proxy.request import Request, TranslationFailure
from pipitshed.scheduling.events import ProgressKind
from pipitshed.upstream.gearman import WORKER_KINDS, GearmanWorker, GearmanWorkerClient

LINGER = 0.5  # s for which more is read and thrown away after the last packet
UNREAD_LIMIT = 1024 * 1024  # bytes that a peer may leave unread before its connection is closed

MOST_JOBS = 4096  # open at once

log = logging.getLogger("pipitshed")

# The kinds of submission: their priority, and whether the client waits for the answer.
_SUBMITS = {
    Kind.SUBMIT_JOB: (0, True),
    Kind.SUBMIT_JOB_BG: (0, False),
    Kind.SUBMIT_JOB_HIGH: (1, True),
    Kind.SUBMIT_JOB_HIGH_BG: (1, False),
    Kind.SUBMIT_JOB_LOW: (-1, True),
    Kind.SUBMIT_JOB_LOW_BG: (-1, False),
}


@dataclass(frozen=True, slots=True)
class GearmanFunction:
    """What a Gearman function is to the decisions."""

    job_class: int
    tenant: int
    patience: float  # ms
    tenant_name: str = ""
    form: int | None = None  # version of the message form in which its clients speak


class _Job:
    """One handle: the client of an exchange, or one of several that share it."""

    def __init__(
        self, front: GearmanFrontend, handle: bytes, unique: bytes, connection: _Connection | None
    ) -> None:
        self.front, self.handle, self.unique = front, handle, unique
        self.connection = connection  # None for a job in the background
        self.entry: DeduplicationEntry | None = None
        self.started = False
        self.share = 0.0

    def succeeded(self, result: bytes) -> None:
        self._end(pack(Kind.WORK_COMPLETE, self.handle, result), done=True)

    def rejected(self, retry_after: float) -> None:
        """Trying again is harmless: the warning says when."""
        seconds = b"retry-after %.3f" % (retry_after / 1000)
        self._end(pack(Kind.WORK_WARNING, self.handle, seconds), pack(Kind.WORK_FAIL, self.handle))

    def failed(self) -> None:
        exchange = self.entry.context if self.entry is not None else None
        packets = [pack(Kind.WORK_FAIL, self.handle)]
        if exchange is not None and exchange.last_error and self.connection and self.connection.exceptions:
            packets.insert(0, pack(Kind.WORK_EXCEPTION, self.handle, exchange.last_error))
        self._end(*packets)

    def untranslatable(self, why: TranslationFailure, ran: bool) -> None:
        """Final, with the reason as an exception where the client has asked for these."""
        self.failed()

    def progressed(self, kind: ProgressKind, share: float) -> None:
        self.started = True
        if kind is ProgressKind.PROGRESS:
            self.share = share
            if self.connection is not None:
                done = b"%d" % round(share * 100)
                self.connection.write(pack(Kind.WORK_STATUS, self.handle, done, b"100"))

    def _end(self, *packets: bytes, done: bool = False) -> None:
        self.front.ended(self)
        if self.connection is not None:
            self.connection.write(b"".join(packets))
            self.connection.ended(self)
        elif not done:
            # Nobody waits for a job in the background: the log alone can tell that it was not done.
            log.warning("background job %s was not done", self.handle.decode("latin-1"))


class _Connection(asyncio.Protocol):
    """One connection; client, worker and administrator are told apart by what they say."""

    def __init__(self, front: GearmanFrontend) -> None:
        self.exceptions = False
        self.worker: GearmanWorker | None = None
        self._front = front
        self._buffer = Buffer(HEAD.size + PACKET_LIMIT + 256 * 1024)  # a read, and a packet begun before it
        self._transport: asyncio.Transport | None = None
        self._jobs: dict[_Job, None] = {}
        self._closing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=UNREAD_LIMIT)
        self._front.connections[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._front.connections.pop(self, None)
        self._gone()
        if self.worker is not None:
            self.worker.lost()

    def eof_received(self) -> None:
        """The peer has closed: it is gone at once, also where it has not read what stands before the end."""
        self._gone()

    def _gone(self) -> None:
        jobs, self._jobs = list(self._jobs), {}
        for job in jobs:
            self._front.withdraw(job)

    def pause_writing(self) -> None:
        # Guards the memory limit against a peer that asks and does not read.
        self.abort()

    def data_received(self, data: bytes) -> None:
        if self._closing:
            return
        try:
            self._buffer.append(data)
            for request in requests(self._buffer):
                if self._transport is None or self._transport.is_closing():
                    return
                if isinstance(request, bytes):
                    self.write(self._front.command(request.decode("latin-1")))
                else:
                    self._packet(*request)
        except (PacketError, TooLongError) as error:
            # Behind a packet that can't be read nothing can be: say so and close.
            self.write(pack(Kind.ERROR, b"ERR_BAD_PACKET", str(error).encode()))
            self.close()

    def _packet(self, kind: Kind, arguments: list[bytes]) -> None:
        if kind in _SUBMITS:
            self._submit(kind, *arguments)
        elif kind is Kind.ECHO_REQ:
            self.write(pack(Kind.ECHO_RES, arguments[0]))
        elif kind is Kind.OPTION_REQ:
            if arguments[0] == b"exceptions":
                self.exceptions = True
                self.write(pack(Kind.OPTION_RES, arguments[0]))
            else:
                self.write(pack(Kind.ERROR, b"ERR_UNKNOWN_OPTION", b"the server has no such option"))
        elif kind is Kind.GET_STATUS:
            self.write(self._front.status(arguments[0]))
        elif kind is Kind.GET_STATUS_UNIQUE:
            self.write(self._front.status_unique(arguments[0]))
        elif kind in WORKER_KINDS:
            if self.worker is None:
                self.worker = self._front.carrier.worker(self)
            self.worker.handle(kind, arguments)

    def _submit(self, kind: Kind, function: bytes, unique: bytes, body: bytes) -> None:
        priority, waits = _SUBMITS[kind]
        known = self._front.functions.get(function.decode("latin-1"))
        if known is None:
            self.write(pack(Kind.ERROR, b"ERR_UNKNOWN_FUNCTION", b"no class for this function"))
        elif len(body) > BODY_LIMIT:
            self.write(pack(Kind.ERROR, b"ERR_TOO_LARGE", b"a job holds at most 65536 bytes"))
        elif self._front.closing:
            self.write(pack(Kind.ERROR, b"ERR_CLOSING", b"the scheduler is about to end"))
        elif len(self._front.jobs) >= MOST_JOBS:
            self.write(pack(Kind.ERROR, b"ERR_QUEUE_FULL", b"too many jobs are open"))
        else:
            job = _Job(self._front, self._front.handle(), unique, self if waits else None)
            if waits:
                self._jobs[job] = None
            self.write(pack(Kind.JOB_CREATED, job.handle))
            self._front.jobs[job.handle] = job
            # Guards against a job of a client that has gone already, as at the other front.
            self._front.loop.call_soon(self._front.submit, job, known, function, body, priority)

    # ---- what goes out

    def write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing() and not self._closing:
            self._transport.write(data)

    def ended(self, job: _Job) -> None:
        self._jobs.pop(job, None)

    @property
    def idle(self) -> bool:
        """Whether nothing is owed here, to a client or by a worker."""
        return not self._jobs and (self.worker is None or not self.worker.running)

    def close(self) -> None:
        """End it behind what is written; what still comes is thrown away, as a close with bytes unread would
        reset the connection, and the error before them would be lost.
        """
        if self._transport is not None and not self._transport.is_closing() and not self._closing:
            self._closing = True
            self._transport.write_eof()
            self._gone()
            if self.worker is not None:
                self.worker.lost()
            self._front.loop.call_later(LINGER, self.abort)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class GearmanFrontend:
    """All Gearman connections, and the jobs by their handles."""

    def __init__(
        self,
        core: Forwarder,
        carrier: GearmanWorkerClient,
        functions: Mapping[str, GearmanFunction],
        loop: asyncio.AbstractEventLoop,
        label: str,
        most: int,
        shutdown: Callable[[], None],
    ) -> None:
        self.core = core
        self.carrier = carrier
        self.functions = functions
        self.loop = loop
        self.ledger = DeduplicationTable(core, loop)
        self.connections: dict[_Connection, None] = {}
        self.jobs: dict[bytes, _Job] = {}
        self.closing = False  # no more jobs are taken
        self._most = most
        self._label = label.encode("latin-1", "replace")  # handles differ from one start to the next
        self._handles = 0
        self._shutdown = shutdown

    def connection(self) -> _Connection:
        return _Connection(self)

    def has_room(self, pending: int) -> bool:
        """Whether one more connection is within this front's part of the descriptors, beside so many that are
        accepted and not up yet.
        """
        return len(self.connections) + pending < self._most

    def handle(self) -> bytes:
        self._handles += 1
        return b"H:%s:%d" % (self._label, self._handles)

    def submit(self, job: _Job, known: GearmanFunction, function: bytes, body: bytes, priority: int) -> None:
        """Hand a job in under its own handle, where its client is still there. The unique id is the key; `-`
        stands for the job's data.
        """
        if job.handle not in self.jobs:
            return
        unique = job.unique
        if unique == b"-":
            unique = hashlib.sha256(function + b"\0" + body).hexdigest().encode()
        key = unique.decode("latin-1")
        request = Request(
            job.handle.decode("latin-1"),
            known.job_class,
            known.patience,
            known.tenant,
            body,
            key or job.handle.decode("latin-1"),
            function=function.decode("latin-1"),
            priority=priority,
            tenant_name=known.tenant_name,
            form_version=known.form,
        )
        job.entry = self.ledger.submit(request, job)

    def ended(self, job: _Job) -> None:
        self.jobs.pop(job.handle, None)

    def withdraw(self, job: _Job) -> None:
        """The connection of a waiting client has gone."""
        self.jobs.pop(job.handle, None)
        if job.entry is not None:
            self.ledger.withdraw(job.entry, job)

    def status(self, handle: bytes) -> bytes:
        """known, running, and the share done in hundredths; a job that is over is no longer known."""
        job = self.jobs.get(handle)
        if job is None:
            return pack(Kind.STATUS_RES, handle, b"0", b"0", b"0", b"0")
        done = b"%d" % round(job.share * 100)
        return pack(Kind.STATUS_RES, handle, b"1", b"1" if job.started else b"0", done, b"100")

    def status_unique(self, unique: bytes) -> bytes:
        """The same for all handles of one unique id, and how many clients wait."""
        jobs = [job for job in self.jobs.values() if job.unique == unique]
        if not jobs:
            return pack(Kind.STATUS_RES_UNIQUE, unique, b"0", b"0", b"0", b"0", b"0")
        done = b"%d" % round(max(job.share for job in jobs) * 100)
        waiting = b"%d" % sum(job.connection is not None for job in jobs)
        running = b"1" if any(job.started for job in jobs) else b"0"
        return pack(Kind.STATUS_RES_UNIQUE, unique, b"1", running, done, b"100", waiting)

    # ---- text commands

    def command(self, line: str) -> bytes:
        """One line of the administrator's, and the answer to it."""
        words = line.split()
        name = words[0] if words else ""
        if name == "version":
            return f"OK pipitshed {__version__}\n".encode()
        if name == "status":
            return self._table(self._functions())
        if name == "workers":
            return self._table(
                f"- - {worker.name} : {' '.join(worker.abilities)}" for worker in self.carrier.workers
            )
        if name == "maxqueue" and len(words) > 1:
            return b"OK\n"  # the decisions alone bound what is taken
        if name == "shutdown":
            self._shutdown()
            return b"OK\n"
        return b"ERR UNKNOWN_COMMAND Unknown+server+command\n"

    @staticmethod
    def _table(lines: Iterable[str]) -> bytes:
        return "".join(f"{line}\n" for line in lines).encode("latin-1", "replace") + b".\n"

    def _functions(self) -> list[str]:
        """Function, jobs open, jobs running, workers that can do it."""
        total: Counter[str] = Counter()
        running: Counter[str] = Counter()
        for job in self.jobs.values():
            if job.entry is not None and job.entry.context is not None:
                total[job.entry.context.request.function] += 1
                running[job.entry.context.request.function] += job.started
        able = Counter(name for worker in self.carrier.workers for name in worker.abilities)
        return [f"{name}\t{total[name]}\t{running[name]}\t{able[name]}" for name in self.functions]

    # ---- the end

    @property
    def busy(self) -> bool:
        return bool(self.jobs)

    def close(self) -> None:
        """Close all connections; what was owed has been answered."""
        for connection in list(self.connections):
            connection.close()
