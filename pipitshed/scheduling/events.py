"""The events that a dispatcher handles.

Times are in milliseconds. Workers and jobs are identified by opaque ids.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

WorkerId = bytes
UNKNOWN_ZONE = -1  # of a worker whose zone is not known
UNKNOWN_CELL = -1  # of a worker whose cell is not known
UNKNOWN_START_MS = -1.0  # of a worker whose start time is not known; 0 is a start long ago


class EndpointState(enum.IntEnum):
    """The state of a worker in the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class UpdateKind(enum.IntEnum):
    """What an update contains: the whole list, changes, nothing (a failed fetch), or a cached whole list."""

    SNAPSHOT = 0
    DELTA = 1
    FETCH_FAILED = 2
    CACHED = 3


class Outcome(enum.IntEnum):
    """How an attempt or a probe ended."""

    OK = 1
    ERROR = 2
    REJECTED = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    SUPERSEDED = 8


NOT_EXECUTED_OUTCOMES = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.SUPERSEDED))
"""The outcomes that prove that the worker never ran the job."""


class ProgressKind(enum.IntEnum):
    """What a worker reports about an attempt in flight."""

    STARTED = 1
    PROGRESS = 2


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One worker in an update of the endpoint list."""

    worker: WorkerId
    zone: int = 0
    cell: int = 0
    worker_kind: int = 0
    weight: float = 1.0
    started_at_ms: float = 0.0
    state: EndpointState = EndpointState.READY
    job_classes: frozenset[int] | None = None  # the classes that the worker runs; None for all
    interface: int = 1  # version of the worker's interface
    planned_weights: tuple[float, ...] | None = None  # by class, from a placement plan; they replace `weight`


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """An update of the endpoint list, or a failed fetch of it."""

    kind: UpdateKind
    version: int = 0
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class DiscoveryMoved:
    """Discovery has a new address; a subscription at the old address delivers no more updates."""


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """An idle connection, left open by an attempt that ended OK, ERROR or REJECTED, has closed."""

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class JobSubmitted:
    """A client has submitted a job; `remaining_ms` is the time until its deadline."""

    job_id: int
    remaining_ms: float
    job_class: int = 0
    tenant: int = 0
    slots: float = 1.0
    memory: float = 0.0
    work: float | None = None
    affinity_key: int = 0
    is_retry: bool = False
    compatible_interfaces: frozenset[int] | None = None  # interfaces that can carry the job; None for all


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed response to the client has begun; the job gets no other attempt from now on."""

    job_id: int
    attempt_index: int
    worker: WorkerId
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class AttemptProgressed:
    """A worker reports the start or the progress of an attempt; `kind` is a ProgressKind."""

    job_id: int
    attempt_index: int
    worker: WorkerId
    kind: int
    done_fraction: float = 0.0


@dataclass(frozen=True, slots=True)
class ProbeFinished:
    """The result of one probe."""

    worker: WorkerId
    elapsed_ms: float
    outcome: Outcome
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt has ended; `answered` is set where the client has its final answer as well."""

    job_id: int
    attempt_index: int
    worker: WorkerId
    outcome: Outcome
    elapsed_ms: float
    answered: bool
    load_report: tuple[float, ...] = ()
    pushback_ms: float | None = None  # requested wait before a retry; negative: no retry


@dataclass(frozen=True, slots=True)
class AttemptEndDeferred:
    """An attempt that was cancelled or has timed out stays in flight, as ending it now would end other jobs.

    Its AttemptFinished follows once the others have ended, with `outcome` unless the job ends before.
    """

    job_id: int
    attempt_index: int
    worker: WorkerId
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class JobWithdrawn:
    """The client no longer waits for the job, which gets no final answer."""

    job_id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The delay of the SetTimer action with this token has passed."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Bytes that another dispatcher sent with SendPeerMessage."""

    sender: int
    data: bytes


Event = (
    EndpointsUpdated
    | DiscoveryMoved
    | ConnectionLost
    | JobSubmitted
    | ResponseStarted
    | AttemptProgressed
    | ProbeFinished
    | AttemptFinished
    | AttemptEndDeferred
    | JobWithdrawn
    | TimerFired
    | PeerMessageReceived
)
