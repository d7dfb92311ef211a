"""The events that a dispatcher takes.

Times are milliseconds. Workers and jobs are named by opaque ids.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

WorkerId = bytes


class State(enum.IntEnum):
    """What the list says of a worker."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(enum.IntEnum):
    """How a piece of list news is to be read."""

    FULL = 0
    DELTA = 1
    FAILED = 2
    CACHED = 3


class Outcome(enum.IntEnum):
    """How an attempt, or a probe, ended."""

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8


class NoteKind(enum.IntEnum):
    """News of an attempt that is still out."""

    STARTED = 1
    PROGRESS = 2


@dataclass(frozen=True, slots=True)
class Entry:
    """One line of the worker list."""

    worker: WorkerId
    zone: int = 0
    cell: int = 0
    kind: int = 0
    weight: float = 1.0
    started_at: float = 0.0
    state: State = State.READY
    classes: frozenset[int] | None = None  # the classes it runs; None for all
    interface: int = 1  # what it speaks
    planned: tuple[float, ...] | None = None  # by class, a plan's weights in place of the list's


@dataclass(frozen=True, slots=True)
class ListNews:
    """News of the worker list."""

    kind: ListKind
    version: int = 0
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class ListMoved:
    """The worker list is served elsewhere from now on; a watch at the old place tells no more."""


@dataclass(frozen=True, slots=True)
class LinkLost:
    """A connection that an attempt's OK, ERROR or FULL had left free has closed."""

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class Submitted:
    """A client's job has come in."""

    job: int
    time_left: float
    job_class: int = 0
    tenant: int = 0
    slots: float = 1.0
    memory: float = 0.0
    work: float | None = None
    key: int = 0
    repeat: bool = False
    fits: frozenset[int] | None = None  # the interfaces that can express it; None for all


@dataclass(frozen=True, slots=True)
class FirstByte:
    """A streamed answer has begun; the attempt now belongs to the client."""

    job: int
    attempt: int
    worker: WorkerId
    elapsed: float


@dataclass(frozen=True, slots=True)
class Note:
    """News of an attempt that is still out; `done` is the share done, for progress."""

    job: int
    attempt: int
    worker: WorkerId
    kind: int
    done: float = 0.0


@dataclass(frozen=True, slots=True)
class Probed:
    """The result of one probe."""

    worker: WorkerId
    elapsed: float
    outcome: Outcome
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Finished:
    """The end of an attempt; `settled` when the job itself is over."""

    job: int
    attempt: int
    worker: WorkerId
    outcome: Outcome
    elapsed: float
    settled: bool
    report: tuple[float, ...] = ()
    pushback: float | None = None  # the worker asks to wait so long; negative: not to try again


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The client has gone; nothing more is owed to it."""

    job: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set with this token has come due."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from another dispatcher."""

    sender: int
    data: bytes


Event = (
    ListNews
    | ListMoved
    | LinkLost
    | Submitted
    | FirstByte
    | Note
    | Probed
    | Finished
    | Withdrawn
    | TimerFired
    | PeerMessage
)
