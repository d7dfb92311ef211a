"""The set of Gearman connections, and the open jobs by handle."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from pipitshed.flow_control import FlowControl, MemoryCharge
from pipitshed.frontends.gearman.connection import GearmanConnection
from pipitshed.frontends.gearman.job import GearmanJob
from pipitshed.frontends.gearman.text_commands import run_command
from pipitshed.frontends.gearman.unique_ids import idempotency_key, resolve_unique_id
from pipitshed.protocols.gearman import PacketType, encode_packet
from pipitshed.protocols.gearman_handles import JobHandles
from pipitshed.proxy.deduplication import DeduplicationTable
from pipitshed.proxy.forwarder import Forwarder
from pipitshed.proxy.request import Request
from pipitshed.scheduling.settings import TenantNumbers
from pipitshed.upstream.gearman import GearmanWorkerClient


@dataclass(frozen=True, slots=True)
class GearmanFunction:
    """What the front file assigns to a function; class and tenant by name, as a reload changes their numbers.

    Attributes:
        client_timeout_ms: How long its clients wait; the deadline of the class may be shorter.
        form: The version of the message form that its clients use; None without translation.
    """

    class_name: str
    tenant_name: str
    client_timeout_ms: float
    form: int | None = None


@dataclass(frozen=True, slots=True)
class SubmissionParameters:
    """The parameters of one job, by the settings in force when it was submitted."""

    job_class: int
    tenant: int
    timeout_ms: float
    tenant_name: str
    form: int | None


class GearmanFrontend:
    """Accepts a limited number of Gearman connections, and submits their jobs."""

    def __init__(
        self,
        forwarder: Forwarder,
        worker_client: GearmanWorkerClient,
        functions: Mapping[str, GearmanFunction],
        classes: Mapping[str, int],
        tenants: TenantNumbers,
        loop: asyncio.AbstractEventLoop,
        handles: JobHandles,
        max_connections: Callable[[], int],
        shutdown: Callable[[], None],
        flow_control: FlowControl | None = None,
    ) -> None:
        self.flow_control = flow_control or FlowControl(loop)
        self.forwarder = forwarder
        self.worker_client = worker_client
        self.functions = functions
        self.handles = handles
        self.loop = loop
        self.shutdown = shutdown
        self.connections: dict[GearmanConnection, None] = {}
        self.jobs: dict[bytes, GearmanJob] = {}
        self.closing = False  # no further jobs are accepted
        self._classes = classes  # the numbers of the accepted classes, by name
        self._tenants = tenants
        self._deduplication = DeduplicationTable(forwarder, loop, self.flow_control.memory)
        self._max_connections = max_connections

    def apply_settings(self, classes: Mapping[str, int], tenants: TenantNumbers) -> None:
        """Replace the numbers of classes and tenants; they apply to jobs submitted from now on."""
        self._classes, self._tenants = classes, tenants
        self.worker_client.settings_changed()

    def parameters(self, function_name: str) -> SubmissionParameters | None:
        """The parameters of a job submitted now; None if its function or its class is not accepted."""
        function = self.functions.get(function_name)
        job_class = self._classes.get(function.class_name) if function is not None else None
        if function is None or job_class is None:
            return None
        deadline_ms = self.forwarder.settings.classes[job_class].deadline_ms
        return SubmissionParameters(
            job_class,
            self._tenants.number(function.tenant_name),
            min(function.client_timeout_ms, deadline_ms),
            function.tenant_name,
            function.form,
        )

    # ---- connections

    def connection(self) -> GearmanConnection:
        """Create the protocol of a new connection."""
        return GearmanConnection(self)

    def may_accept(self, pending: int) -> bool:
        """Whether another connection may be accepted, with `pending` ones still being set up."""
        return len(self.connections) + pending < self._max_connections()

    def close(self) -> None:
        """Close all connections; called when no job is open."""
        for connection in list(self.connections):
            connection.close()

    # ---- jobs

    @property
    def busy(self) -> bool:
        """Whether any job is open."""
        return bool(self.jobs)

    def submit(
        self,
        job: GearmanJob,
        parameters: SubmissionParameters,
        name: bytes,
        body: bytes,
        priority: int,
        memory_charge: MemoryCharge,
        arrived_at: float,
    ) -> None:
        """Submit a job unless its client has disconnected; function and unique id are its idempotency key."""
        if job.handle not in self.jobs:
            memory_charge.release()
            return
        unique_id = resolve_unique_id(job.unique_id, name, body)
        handle = job.handle.decode("latin-1")
        request = Request(
            handle,
            parameters.job_class,
            parameters.timeout_ms,
            parameters.tenant,
            body,
            idempotency_key(name, unique_id) if unique_id else handle,
            function=name.decode("latin-1"),
            unique_id=unique_id.decode("latin-1"),
            priority=priority,
            tenant_name=parameters.tenant_name,
            form_version=parameters.form,
            memory_charge=memory_charge,
            arrived_at=arrived_at,
        )
        job.entry = self._deduplication.submit(request, job)

    def ended(self, job: GearmanJob) -> None:
        """Forget a job that has ended."""
        self.jobs.pop(job.handle, None)

    def withdraw(self, job: GearmanJob) -> None:
        """Forget a job whose client has disconnected, and withdraw the client from its request."""
        self.jobs.pop(job.handle, None)
        if job.entry is not None:
            self._deduplication.withdraw(job.entry, job)

    # ---- status and text commands

    def status(self, handle: bytes) -> bytes:
        """The STATUS_RES packet of a handle: whether its job is open, whether it runs, and its percentage."""
        job = self.jobs.get(handle)
        if job is None:
            return encode_packet(PacketType.STATUS_RES, handle, b"0", b"0", b"0", b"0")
        percent = b"%d" % round(job.done_fraction * 100)
        return encode_packet(
            PacketType.STATUS_RES, handle, b"1", b"1" if job.is_started else b"0", percent, b"100"
        )

    def status_unique(self, unique_id: bytes) -> bytes:
        """The status packet of all jobs with a unique id, with the number of waiting clients."""
        jobs = [job for job in self.jobs.values() if job.unique_id == unique_id]
        if not jobs:
            return encode_packet(PacketType.STATUS_RES_UNIQUE, unique_id, b"0", b"0", b"0", b"0", b"0")
        percent = b"%d" % round(max(job.done_fraction for job in jobs) * 100)
        waiting = b"%d" % sum(job.connection is not None for job in jobs)
        running = b"1" if any(job.is_started for job in jobs) else b"0"
        return encode_packet(PacketType.STATUS_RES_UNIQUE, unique_id, b"1", running, percent, b"100", waiting)

    def command(self, line: str) -> bytes:
        """Run an administrator's text command, and return the response."""
        return run_command(self, line)
