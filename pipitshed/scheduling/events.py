"""The events that a dispatcher takes.

Times are milliseconds. Workers and jobs are named by opaque ids.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

WorkerId = bytes


class EndpointState(enum.IntEnum):
    """What the list says of a worker."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class UpdateKind(enum.IntEnum):
    """How a piece of list news is to be read."""

    SNAPSHOT = 0
    DELTA = 1
    FETCH_FAILED = 2
    CACHED = 3


class Outcome(enum.IntEnum):
    """How an attempt, or a probe, ended."""

    OK = 1
    ERROR = 2
    REJECTED = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    SUPERSEDED = 8


NOT_EXECUTED_OUTCOMES = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.SUPERSEDED))
"""The outcomes that prove that the job never ran there."""


class ProgressKind(enum.IntEnum):
    """News of an attempt that is still out."""

    STARTED = 1
    PROGRESS = 2


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One line of the worker list."""

    worker: WorkerId
    zone: int = 0
    cell: int = 0
    worker_kind: int = 0
    weight: float = 1.0
    started_at_ms: float = 0.0
    state: EndpointState = EndpointState.READY
    job_classes: frozenset[int] | None = None  # the classes it runs; None for all
    interface: int = 1  # what it speaks
    planned_weights: tuple[float, ...] | None = None  # by class, a plan's weights in place of the list's


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """News of the worker list."""

    kind: UpdateKind
    version: int = 0
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class DiscoveryMoved:
    """The worker list is served elsewhere from now on; a watch at the old place tells no more."""


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """A connection that an attempt's OK, ERROR or FULL had left free has closed."""

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class JobSubmitted:
    """A client's job has come in."""

    job_id: int
    remaining_ms: float
    job_class: int = 0
    tenant: int = 0
    slots: float = 1.0
    memory: float = 0.0
    work: float | None = None
    affinity_key: int = 0
    is_retry: bool = False
    compatible_interfaces: frozenset[int] | None = None  # the interfaces that can express it; None for all


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed answer has begun; the attempt now belongs to the client."""

    job_id: int
    attempt_index: int
    worker: WorkerId
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class AttemptProgressed:
    """News of an attempt that is still out; `done` is the share done, for progress."""

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
    """The end of an attempt; `settled` when the job itself is over."""

    job_id: int
    attempt_index: int
    worker: WorkerId
    outcome: Outcome
    elapsed_ms: float
    answered: bool
    load_report: tuple[float, ...] = ()
    pushback_ms: float | None = None  # the worker asks to wait so long; negative: not to try again


@dataclass(frozen=True, slots=True)
class JobWithdrawn:
    """The client has gone; nothing more is owed to it."""

    job_id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set with this token has come due."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Bytes from another dispatcher."""

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
    | JobWithdrawn
    | TimerFired
    | PeerMessageReceived
)
