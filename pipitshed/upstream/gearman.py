"""Attempts to Gearman workers: a worker's connection is an endpoint for as long as it is up."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from pipitshed.flow_control import MemoryBudget, MemoryCharge, Priority
from pipitshed.protocols.gearman import PacketError, PacketType, encode_packet
from pipitshed.protocols.gearman_handles import JobHandles
from pipitshed.proxy.attempt import Attempt
from pipitshed.proxy.forwarder import Forwarder
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.scheduling.events import (
    UNKNOWN_CELL,
    EndpointEntry,
    EndpointState,
    Outcome,
    ProgressKind,
    UpdateKind,
)

SOURCE = "gearman workers"
MAX_PROGRESS_COUNT = 1e18
MAX_ABILITIES = 1024  # of one worker
MAX_NAME_CHARS = 256  # of a function or a worker
ABILITY_BYTES = 512  # taken by one

# The response to each kind of request for a job.
_ASSIGNMENTS = {
    PacketType.GRAB_JOB: PacketType.JOB_ASSIGN,
    PacketType.GRAB_JOB_UNIQ: PacketType.JOB_ASSIGN_UNIQ,
    PacketType.GRAB_JOB_ALL: PacketType.JOB_ASSIGN_ALL,
}

_ABILITY_KINDS = (
    PacketType.CAN_DO,
    PacketType.CAN_DO_TIMEOUT,
    PacketType.CANT_DO,
    PacketType.RESET_ABILITIES,
)

# The packets that only workers send.
WORKER_KINDS = frozenset(
    (
        PacketType.CAN_DO,
        PacketType.CAN_DO_TIMEOUT,
        PacketType.CANT_DO,
        PacketType.RESET_ABILITIES,
        PacketType.SET_CLIENT_ID,
        PacketType.PRE_SLEEP,
        PacketType.ALL_YOURS,
        *_ASSIGNMENTS,
        PacketType.WORK_STATUS,
        PacketType.WORK_COMPLETE,
        PacketType.WORK_FAIL,
        PacketType.WORK_EXCEPTION,
        PacketType.WORK_DATA,
        PacketType.WORK_WARNING,
    )
)


class WorkerConnection(Protocol):
    """What this module needs of a worker's connection."""

    def write(self, data: bytes) -> None:
        """Send packets."""

    def abort(self) -> None:
        """Close without flushing."""

    def charge_partial(self, charge: MemoryCharge, byte_count: int) -> None:
        """Charge an incomplete result; the worker is slowed down where no memory is available."""


@dataclass(slots=True)
class _PartialResult:
    """What a worker has sent of a result so far, by WORK_DATA."""

    data: bytearray
    memory_charge: MemoryCharge


@dataclass(frozen=True, slots=True)
class WorkerLocation:
    """Zone, cell, machine kind and weight of all Gearman workers, as the front file sets them.

    Without a zone they are in that of the scheduler, which a reload may change. Without a cell no two of them
    are taken to be in the same one.
    """

    zone: int | None = None
    cell: int = UNKNOWN_CELL
    kind: int = 0
    weight: float = 1.0


class GearmanWorker:
    """One worker: its abilities, the attempts that wait for it, and those that it runs."""

    def __init__(self, client: GearmanWorkerClient, connection: WorkerConnection, number: int) -> None:
        self.client = client
        self.connection = connection
        self.name = "-"
        self.endpoint = Endpoint(f"gearman-{number}".encode(), client, self)
        self.abilities: dict[str, float] = {}  # timeout (s) by function, 0 for none
        self.waiting: list[Attempt] = []
        self.running: dict[bytes, Attempt] = {}  # by handle
        self.is_listed = False
        self.is_removed = False
        self._is_retiring = False  # no new jobs; closed once its last job has ended
        self._deferred: dict[bytes, Outcome] = {}  # by handle: jobs that end once only such jobs are left
        self._partial_results: dict[bytes, _PartialResult] = {}  # by handle
        self._abilities_charge = client.memory.charge()
        self._is_asleep = False

    def handle(self, kind: PacketType, arguments: list[bytes]) -> None:
        """Handle one packet; PacketError if it is malformed."""
        if kind in _ABILITY_KINDS:
            self._change_abilities(kind, arguments)
        elif kind is PacketType.SET_CLIENT_ID:
            self.name = _text(arguments[0][:MAX_NAME_CHARS]) or "-"
        elif kind is PacketType.PRE_SLEEP:
            self._is_asleep = True
            self._wake_up()
        elif kind in _ASSIGNMENTS:
            self._assign_job(_ASSIGNMENTS[kind])
        elif kind is not PacketType.ALL_YOURS:
            self._handle_work(kind, arguments)

    def _change_abilities(self, kind: PacketType, arguments: list[bytes]) -> None:
        if kind is PacketType.RESET_ABILITIES:
            self._clear_abilities()
            self.client.list_worker(self)
        elif kind is PacketType.CANT_DO:
            function = _text(arguments[0])
            if self.abilities.pop(function, None) is not None and not self.client.is_known(function):
                self._abilities_charge.add(-ABILITY_BYTES)
            self.client.list_worker(self)
        else:
            timeout_s = arguments[1] if kind is PacketType.CAN_DO_TIMEOUT else b"0"
            if not timeout_s.isdigit():
                raise PacketError("CAN_DO_TIMEOUT needs whole seconds")
            if not self._is_retiring:
                self._add_ability(_text(arguments[0]), float(timeout_s))

    def _add_ability(self, function: str, timeout_s: float) -> None:
        is_new = function not in self.abilities
        if len(function) > MAX_NAME_CHARS or (is_new and len(self.abilities) >= MAX_ABILITIES):
            raise PacketError("too many functions, or too long a name")
        # The functions of the front file are bounded by it; others are kept for the text command alone.
        is_charged = is_new and not self.client.is_known(function)
        if is_charged and not self._abilities_charge.try_add(ABILITY_BYTES, Priority.BULK):
            raise PacketError("no memory for this function at present")
        self.abilities[function] = timeout_s
        if is_new:
            self.client.list_worker(self)

    def _clear_abilities(self) -> None:
        self.abilities.clear()
        self._abilities_charge.release()

    def add(self, attempt: Attempt) -> None:
        """Queue an attempt until the worker asks for a job."""
        self.waiting.append(attempt)
        self._wake_up()

    def _wake_up(self) -> None:
        if self._is_asleep and self.waiting:
            self._is_asleep = False
            self.connection.write(encode_packet(PacketType.NOOP))

    def _assign_job(self, assignment: PacketType) -> None:
        """Assign the waiting attempt with the highest priority, the oldest among equals."""
        forwarder = self.client.forwarder
        self._is_asleep = False
        for attempt in [attempt for attempt in self.waiting if not forwarder.may_begin(attempt)]:
            self.waiting.remove(attempt)
            forwarder.attempt_finished(attempt, Outcome.CONNECT_FAILED)
        if not self.waiting:
            self.connection.write(encode_packet(PacketType.NO_JOB))
            return
        attempt = max(self.waiting, key=lambda one: one.context.request.priority)
        self.waiting.remove(attempt)
        request = attempt.context.request
        function = self.client.function(attempt, self) or ""
        handle = self.client.handles.new()
        unique_id = (request.unique_id or request.idempotency_key or request.id).encode("latin-1", "replace")
        extra_arguments = {
            PacketType.JOB_ASSIGN: (),
            PacketType.JOB_ASSIGN_UNIQ: (unique_id,),
            PacketType.JOB_ASSIGN_ALL: (unique_id, b""),
        }[assignment]
        self.running[handle], attempt.transport_state = attempt, handle
        name = function.encode("latin-1")
        self.connection.write(encode_packet(assignment, handle, name, *extra_arguments, attempt.body))
        forwarder.attempt_sent(attempt)
        if timeout_s := self.abilities.get(function, 0.0):
            self.client.loop.call_later(timeout_s, forwarder.attempt_timed_out, attempt)
        forwarder.attempt_progressed(attempt, ProgressKind.STARTED)

    def _handle_work(self, kind: PacketType, arguments: list[bytes]) -> None:
        """Handle progress, a part of a result, or the end of a job; ignore jobs that have ended."""
        handle = arguments[0]
        attempt = self.running.get(handle)
        if attempt is None:
            return
        forwarder = self.client.forwarder
        if kind is PacketType.WORK_STATUS:
            done, total = (_parse_count(argument) for argument in arguments[1:])
            share = min(1.0, done / total) if total else 0.0
            if self._deferred.get(handle) is Outcome.CANCELLED:
                del self._deferred[handle]  # the job goes on
            forwarder.attempt_progressed(attempt, ProgressKind.PROGRESS, share)
            return
        if kind is PacketType.WORK_DATA:
            self._add_to_result(handle, arguments[1])
            return
        if kind is PacketType.WORK_WARNING:
            return
        # A WORK_FAIL may follow a WORK_EXCEPTION; it is ignored, as the job has ended by then.
        self._forget(handle)
        if self._is_retiring:
            self._close_if_idle()
        result = self._take_partial_result(handle)
        if kind is PacketType.WORK_COMPLETE:
            forwarder.attempt_finished(attempt, Outcome.OK, result + arguments[1])
        else:
            error = arguments[1] if kind is PacketType.WORK_EXCEPTION else b""
            forwarder.attempt_finished(attempt, Outcome.ERROR, error)

    def _add_to_result(self, handle: bytes, data: bytes) -> None:
        partial = self._partial_results.get(handle)
        if partial is None:
            partial = _PartialResult(bytearray(), self.client.memory.charge())
            self._partial_results[handle] = partial
        if len(partial.data) + len(data) > self.client.body_limit:
            raise PacketError("the result is too long")
        partial.data += data
        self.connection.charge_partial(partial.memory_charge, len(partial.data))

    def _take_partial_result(self, handle: bytes) -> bytes:
        partial = self._partial_results.pop(handle, None)
        if partial is None:
            return b""
        partial.memory_charge.release()
        return bytes(partial.data)

    def defer_stop(self, handle: bytes, outcome: Outcome) -> bool:
        """End a job with this outcome once no other job runs here; False if none does now.

        The protocol has no way to cancel an assigned job: only the end of the connection ends it, which the
        worker can detect. The worker's other jobs end first, as their classes may forbid a second run.
        """
        if not any(other != handle and other not in self._deferred for other in self.running):
            return False
        self._deferred.setdefault(handle, outcome)
        self._retire()
        return True

    def stop(self, handle: bytes) -> None:
        """Abandon an assigned job, and close the connection once no other job runs on it."""
        self._forget(handle)
        self._take_partial_result(handle)
        self._retire()
        self._close_if_idle()

    def _forget(self, handle: bytes) -> None:
        del self.running[handle]
        self._deferred.pop(handle, None)

    def _retire(self) -> None:
        """Take no new jobs."""
        self._is_retiring = True
        if self.running:
            self._clear_abilities()
            self.client.list_worker(self)

    def _close_if_idle(self) -> None:
        """Close the connection if only jobs remain whose end was deferred, and finish these."""
        if any(handle not in self._deferred for handle in self.running):
            return
        deferred, self._deferred = self._deferred, {}
        self.connection.abort()
        for handle, outcome in deferred.items():
            self._take_partial_result(handle)
            self.client.forwarder.attempt_finished(self.running.pop(handle), outcome)

    def lost(self) -> None:
        """The connection is closed: assigned attempts may have run, waiting ones have not."""
        if self.is_removed:
            return
        self.is_removed = True
        self._clear_abilities()
        for handle in list(self._partial_results):
            self._take_partial_result(handle)
        self.client.list_worker(self)
        running, waiting = list(self.running.values()), self.waiting
        self.running, self.waiting, self._deferred = {}, [], {}
        for attempt in running:
            self.client.forwarder.attempt_finished(attempt, Outcome.RESET)
        for attempt in waiting:
            self.client.forwarder.attempt_finished(attempt, Outcome.CONNECT_FAILED)


def _text(data: bytes) -> str:
    return data.decode("latin-1")


def _parse_count(data: bytes) -> float:
    try:
        value = float(data)
    except ValueError:
        raise PacketError("WORK_STATUS needs numbers") from None
    if not 0 <= value < MAX_PROGRESS_COUNT:
        raise PacketError("WORK_STATUS needs numbers")
    return value


class GearmanWorkerClient:
    """All connected Gearman workers, and the job class of each function.

    Args:
        forwarder: Gets the outcomes of the attempts.
        class_by_function: The names of the functions' classes; a reload may give a class another number.
        class_names: The names by class number, extended at a reload.
        location: Where all workers are.
        body_limit: The maximum size of a result in bytes.
        handles: Names the workers' jobs; shared with the front end, so that no two handles are equal.
        loop: The event loop.
        memory: Bounds what the workers take.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        class_by_function: Mapping[str, str],
        class_names: Sequence[str],
        location: WorkerLocation,
        body_limit: int,
        handles: JobHandles,
        loop: asyncio.AbstractEventLoop,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.forwarder = forwarder
        self.loop = loop
        self.memory = memory or MemoryBudget(math.inf, loop.time)
        self.body_limit = body_limit
        self.class_names = class_names
        self.handles = handles
        self.workers: dict[GearmanWorker, None] = {}
        self._class_by_function = class_by_function
        self._location = location
        self._worker_count = 0

    # ---- workers

    def worker(self, connection: WorkerConnection) -> GearmanWorker:
        """Create the worker of a connection that has sent its first worker packet."""
        self._worker_count += 1
        worker = GearmanWorker(self, connection, self._worker_count)
        self.workers[worker] = None
        return worker

    def function(self, attempt: Attempt, worker: GearmanWorker) -> str | None:
        """Return the function under which a worker runs an attempt's job; None if it has none."""
        request = attempt.context.request
        if request.function:
            return request.function if request.function in worker.abilities else None
        class_name = self.class_names[request.job_class]
        return next(
            (
                function
                for function in worker.abilities
                if self._class_by_function.get(function) == class_name
            ),
            None,
        )

    def is_known(self, function: str) -> bool:
        """Whether the front file names this function."""
        return function in self._class_by_function

    def settings_changed(self) -> None:
        """Update the endpoint table after a reload: a changed class gets another number."""
        for worker in list(self.workers):
            self.list_worker(worker)

    def list_worker(self, worker: GearmanWorker) -> None:
        """Update the endpoint table with a worker's current abilities.

        A worker without any ability is draining until its connection ends. Attempts that wait for an ability
        that it no longer has are rejected.
        """
        job_classes = self._job_classes(worker)
        if worker.is_removed:
            self.workers.pop(worker, None)
        if job_classes or worker.is_listed:
            worker.is_listed = True
            self._update_endpoint(worker, job_classes)
        if not worker.is_removed:
            for attempt in [attempt for attempt in worker.waiting if self.function(attempt, worker) is None]:
                worker.waiting.remove(attempt)
                self.forwarder.attempt_finished(attempt, Outcome.REJECTED)

    def _job_classes(self, worker: GearmanWorker) -> frozenset[int]:
        """The numbers of the classes that a worker runs, with those under which jobs in progress run."""
        class_by_function = self._class_by_function
        names = {class_by_function[name] for name in worker.abilities if name in class_by_function}
        return frozenset(number for number, name in enumerate(self.class_names) if name in names)

    def _update_endpoint(self, worker: GearmanWorker, job_classes: frozenset[int]) -> None:
        if worker.is_removed:
            state = EndpointState.REMOVED
        elif job_classes:
            state = EndpointState.READY
        else:
            state = EndpointState.DRAINING
        location = self._location
        entry = EndpointEntry(
            worker.endpoint.id,
            self.forwarder.settings.own_zone if location.zone is None else location.zone,
            location.cell,
            location.kind,
            location.weight,
            0.0,
            state,
            job_classes,
        )
        self.forwarder.endpoints.update(SOURCE, UpdateKind.DELTA, 0, [(entry, worker.endpoint)])

    # ---- attempts

    def start(self, attempt: Attempt) -> None:
        """Queue an attempt for its worker; finish it immediately if the worker can't run it."""
        worker: GearmanWorker = attempt.endpoint.address
        attempt.fully_sent = False
        if worker.is_removed:
            self.forwarder.attempt_finished(attempt, Outcome.CONNECT_FAILED)
        elif self.function(attempt, worker) is None:
            self.forwarder.attempt_finished(attempt, Outcome.REJECTED)
        else:
            worker.add(attempt)

    def abort(self, attempt: Attempt) -> bool:
        """Stop an attempt; return whether it may have run.

        An assigned job can't be cancelled: the worker gets no further jobs, and its connection is closed.
        """
        worker: GearmanWorker = attempt.endpoint.address
        if attempt in worker.waiting:
            worker.waiting.remove(attempt)
            return False
        if attempt.transport_state in worker.running:
            worker.stop(attempt.transport_state)
            return True
        return False

    def defer_abort(self, attempt: Attempt, outcome: Outcome) -> bool:
        """Report whether an assigned attempt stays outstanding until its worker's other jobs have ended."""
        worker: GearmanWorker = attempt.endpoint.address
        handle = attempt.transport_state
        return handle in worker.running and worker.defer_stop(handle, outcome)

    def probe(self, endpoint: Endpoint) -> None:
        """Report whether a worker's connection is up."""
        worker: GearmanWorker = endpoint.address
        outcome = Outcome.CONNECT_FAILED if worker.is_removed else Outcome.OK
        self.forwarder.probe_finished(endpoint, outcome, 0.0)

    def close_idle_connections(self, endpoint: Endpoint) -> None:
        """Do nothing: only the worker itself closes its connection."""
