"""Attempts to Gearman workers: a worker's connection is an endpoint as long as it stands."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from pipitshed.protocols.gearman import Kind, PacketError, pack
from pipitshed.proxy.attempt import Attempt
from pipitshed.proxy.forwarder import Forwarder
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.scheduling.events import EndpointEntry, EndpointState, Outcome, ProgressKind, UpdateKind

SOURCE = "gearman workers"
_GRABS = {
    Kind.GRAB_JOB: Kind.JOB_ASSIGN,
    Kind.GRAB_JOB_UNIQ: Kind.JOB_ASSIGN_UNIQ,
    Kind.GRAB_JOB_ALL: Kind.JOB_ASSIGN_ALL,
}
WORKER_KINDS = frozenset(
    (
        Kind.CAN_DO,
        Kind.CAN_DO_TIMEOUT,
        Kind.CANT_DO,
        Kind.RESET_ABILITIES,
        Kind.SET_CLIENT_ID,
        Kind.PRE_SLEEP,
        Kind.ALL_YOURS,
        *_GRABS,
        Kind.WORK_STATUS,
        Kind.WORK_COMPLETE,
        Kind.WORK_FAIL,
        Kind.WORK_EXCEPTION,
        Kind.WORK_DATA,
        Kind.WORK_WARNING,
    )
)


class WorkerConnection(Protocol):
    """A worker's connection."""

    def write(self, data: bytes) -> None: ...

    def abort(self) -> None: ...


@dataclass(frozen=True, slots=True)
class WorkerLocation:
    """Where workers stand, for the decisions: all at one place, as the front file says."""

    zone: int = 0
    cell: int = 0
    kind: int = 0
    weight: float = 1.0


class GearmanWorker:
    """One worker's connection: what it can do, the attempts that wait for it, and the one it runs."""

    def __init__(self, carrier: GearmanWorkerClient, link: WorkerConnection, number: int) -> None:
        self.client = carrier
        self.connection = link
        self.name = "-"
        self.endpoint = Endpoint(f"gearman-{number}".encode(), carrier, self)
        self.abilities: dict[str, float] = {}  # function: seconds it may take, 0 for no limit
        self.waiting: list[Attempt] = []
        self.running: dict[bytes, Attempt] = {}
        self.data: dict[bytes, bytes] = {}  # WORK_DATA so far
        self.asleep = False
        self.listed = False
        self.gone = False

    def handle(self, kind: Kind, arguments: list[bytes]) -> None:
        """One packet of a worker's."""
        if kind in (Kind.CAN_DO, Kind.CAN_DO_TIMEOUT):
            seconds = arguments[1] if kind is Kind.CAN_DO_TIMEOUT else b"0"
            if not seconds.isdigit():
                raise PacketError("CAN_DO_TIMEOUT needs whole seconds")
            self.abilities[_text(arguments[0])] = float(seconds)
            self.client.list_worker(self)
        elif kind is Kind.CANT_DO:
            self.abilities.pop(_text(arguments[0]), None)
            self.client.list_worker(self)
        elif kind is Kind.RESET_ABILITIES:
            self.abilities.clear()
            self.client.list_worker(self)
        elif kind is Kind.SET_CLIENT_ID:
            self.name = _text(arguments[0]) or "-"
        elif kind is Kind.PRE_SLEEP:
            self.asleep = True
            self._wake()
        elif kind in _GRABS:
            self._grab(_GRABS[kind])
        elif kind is not Kind.ALL_YOURS:
            self._work(kind, arguments)

    def add(self, attempt: Attempt) -> None:
        """An attempt waits for this worker from now on."""
        self.waiting.append(attempt)
        self._wake()

    def _wake(self) -> None:
        if self.asleep and self.waiting:
            self.asleep = False
            self.connection.write(pack(Kind.NOOP))

    def _grab(self, answer: Kind) -> None:
        self.asleep = False
        for attempt in [attempt for attempt in self.waiting if not self.client.core.may_begin(attempt)]:
            self.waiting.remove(attempt)
            self.client.core.attempt_finished(attempt, Outcome.CONNECT_FAILED)
        if not self.waiting:
            self.connection.write(pack(Kind.NO_JOB))
            return
        attempt = max(self.waiting, key=lambda one: one.context.request.priority)  # of equals the first
        self.waiting.remove(attempt)
        core, request = self.client.core, attempt.context.request
        function = self.client.function(attempt, self) or ""
        handle = self.client.handle()
        unique = (request.idempotency_key or request.id).encode("latin-1", "replace")
        extra = {Kind.JOB_ASSIGN: (), Kind.JOB_ASSIGN_UNIQ: (unique,), Kind.JOB_ASSIGN_ALL: (unique, b"")}
        self.running[handle], attempt.transport_state = attempt, handle
        self.connection.write(pack(answer, handle, function.encode("latin-1"), *extra[answer], attempt.body))
        core.attempt_sent(attempt)
        if limit := self.abilities.get(function, 0.0):
            self.client.loop.call_later(limit, core.attempt_timed_out, attempt)
        core.attempt_progressed(attempt, ProgressKind.STARTED)

    def _work(self, kind: Kind, arguments: list[bytes]) -> None:
        """News of a job, or its end. What comes for a job that is over here is passed over."""
        handle = arguments[0]
        attempt = self.running.get(handle)
        if attempt is None:
            return
        core = self.client.core
        if kind is Kind.WORK_STATUS:
            done, whole = (_count(argument) for argument in arguments[1:])
            core.attempt_progressed(attempt, ProgressKind.PROGRESS, min(1.0, done / whole) if whole else 0.0)
            return
        if kind is Kind.WORK_DATA:
            held = self.data.get(handle, b"") + arguments[1]
            if len(held) > self.client.body_limit:
                raise PacketError("the result is too long")
            self.data[handle] = held
            return
        if kind is Kind.WORK_WARNING:
            return
        # A job's end; after WORK_EXCEPTION a WORK_FAIL may follow, which finds the job over.
        del self.running[handle]
        data = self.data.pop(handle, b"")
        if kind is Kind.WORK_COMPLETE:
            core.attempt_finished(attempt, Outcome.OK, data + arguments[1])
        else:
            core.attempt_finished(
                attempt, Outcome.ERROR, arguments[1] if kind is Kind.WORK_EXCEPTION else b""
            )

    def lost(self) -> None:
        """The connection has ended: what was assigned may have run, what waited never has."""
        if self.gone:
            return
        self.gone = True
        self.abilities.clear()
        self.client.list_worker(self)
        running, waiting = list(self.running.values()), self.waiting
        self.running, self.waiting = {}, []
        for attempt in running:
            self.client.core.attempt_finished(attempt, Outcome.RESET)
        for attempt in waiting:
            self.client.core.attempt_finished(attempt, Outcome.CONNECT_FAILED)


def _text(data: bytes) -> str:
    return data.decode("latin-1")


def _count(data: bytes) -> float:
    try:
        value = float(data)
    except ValueError:
        raise PacketError("WORK_STATUS needs numbers") from None
    if not 0 <= value < 1e18:
        raise PacketError("WORK_STATUS needs numbers")
    return value


class GearmanWorkerClient:
    """All workers' connections, and the functions by which they know the classes."""

    def __init__(
        self,
        core: Forwarder,
        classes: Mapping[str, int],
        place: WorkerLocation,
        body_limit: int,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.core = core
        self.loop = loop
        self.classes = classes  # function: class
        self.place = place
        self.body_limit = body_limit
        self.workers: dict[GearmanWorker, None] = {}
        self._numbers = 0
        self._handles = 0

    def worker(self, link: WorkerConnection) -> GearmanWorker:
        """A connection has spoken as a worker."""
        self._numbers += 1
        worker = GearmanWorker(self, link, self._numbers)
        self.workers[worker] = None
        return worker

    def handle(self) -> bytes:
        """A new job handle; those given to workers are none of those given to clients."""
        self._handles += 1
        return b"H:pipitshed:attempt:%d" % self._handles

    def function(self, attempt: Attempt, worker: GearmanWorker) -> str | None:
        """The name by which this worker knows the attempt's work; None where it can't do it."""
        request = attempt.context.request
        if request.function:
            return request.function if request.function in worker.abilities else None
        return next(
            (function for function in worker.abilities if self.classes.get(function) == request.job_class),
            None,
        )

    def list_worker(self, worker: GearmanWorker) -> None:
        """Tell the route table what a worker can do now. One that can do nothing more is draining until
        its connection ends; attempts that wait for what it no longer does never ran.
        """
        can = frozenset(self.classes[name] for name in worker.abilities if name in self.classes)
        state = (
            EndpointState.REMOVED if worker.gone else EndpointState.READY if can else EndpointState.DRAINING
        )
        if worker.gone:
            self.workers.pop(worker, None)
        if can or worker.listed:
            worker.listed = True
            place = self.place
            entry = EndpointEntry(
                worker.endpoint.id, place.zone, place.cell, place.kind, place.weight, 0.0, state, can
            )
            self.core.endpoints.update(SOURCE, UpdateKind.DELTA, 0, [(entry, worker.endpoint)])
        if not worker.gone:
            for attempt in [attempt for attempt in worker.waiting if self.function(attempt, worker) is None]:
                worker.waiting.remove(attempt)
                self.core.attempt_finished(attempt, Outcome.REJECTED)

    # ---- what the core asks

    def start(self, attempt: Attempt) -> None:
        worker: GearmanWorker = attempt.endpoint.address
        attempt.fully_sent = False
        if worker.gone:
            self.core.attempt_finished(attempt, Outcome.CONNECT_FAILED)
        elif self.function(attempt, worker) is None:
            self.core.attempt_finished(attempt, Outcome.REJECTED)
        else:
            worker.add(attempt)

    def abort(self, attempt: Attempt) -> bool:
        """An attempt that waits leaves the queue. An assigned one can't be called off in this protocol: its
        worker's connection is closed, as a planner's is, so that no second attempt runs beside it.
        """
        worker: GearmanWorker = attempt.endpoint.address
        if attempt in worker.waiting:
            worker.waiting.remove(attempt)
            return False
        if worker.running.pop(attempt.transport_state, None) is not None:
            worker.connection.abort()
            return True
        return False

    def probe(self, target: Endpoint) -> None:
        worker: GearmanWorker = target.address
        self.core.probe_finished(target, Outcome.CONNECT_FAILED if worker.gone else Outcome.OK, 0.0)

    def close_idle_connections(self, target: Endpoint) -> None:
        """A worker's one connection is its own to close."""
