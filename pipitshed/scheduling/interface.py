"""The vocabulary of the decision module: settings, events and actions.

All times are milliseconds. Workers and jobs are named by opaque ids; classes, tenants, zones and
kinds by their place in the settings.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

WorkerId = bytes


class Effect(enum.Enum):
    """What running a job twice would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(enum.Enum):
    """The workers among which repeats of a keyed job are dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Weights(enum.Enum):
    """The meaning of a listed worker's weight."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


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


# ---- settings


@dataclass(frozen=True, slots=True)
class JobClass:
    """One class of jobs; `kind` is the only kind of worker that runs it, or None."""

    aim: float
    deadline: float
    worth: float = 1.0
    late_worth: float = 0.0
    stretch: float = 0.0
    effect: Effect = Effect.UNSAFE
    group: Group = Group.ALL
    window: float = 0.0
    stream: bool = False
    kind: int | None = None
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's share and its allowance in jobs a second over all dispatchers (0: unlimited)."""

    share: float = 1.0
    allowance: float = 0.0


@dataclass(frozen=True, slots=True)
class Prices:
    """What is taken off the result, in parts of the worth asked for."""

    cross_zone: float = 0.0
    waste: float = 0.0
    probe: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0
    late_fail: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits."""

    cancel: bool = False
    probes: bool = False
    parallel: bool = False
    retry_after: bool = False
    max_attempts: int = 1
    max_retry_after: float = 0.0
    connect_timeout: float = 250.0
    idle_close: float = 15000.0


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the four rules."""

    answer_slack: float = 0.0
    drain_grace: float = 0.0
    cold: float = 0.0
    cold_from: float = 1.0
    fall_multiple: float = 1.0
    fall_for: float = 1000.0
    ask_within: float = 10000.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a dispatcher is told at its start."""

    classes: tuple[JobClass, ...]
    tenants: tuple[Tenant, ...] = ()
    prices: Prices = field(default_factory=Prices)
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    weights: Weights = Weights.NONE
    zone: int = 0
    zones: int = 1
    siblings: int = 1
    tick: float = 1.0
    list_on_request: bool = False
    list_pushed: bool = False  # asked for on sockets alone, of an agent whose news counts as told at once
    tells_start: bool = False
    progress: float = 0.0
    report_fields: tuple[str, ...] = ()
    worth_by_work: bool = False


# ---- events


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


# ---- actions


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt of a job; a time-out of 0 lasts as long as the client waits. `write_within`: ms within
    which a repeat is written, or not at all; 0 where it may be at any time.
    """

    job: int
    worker: WorkerId
    timeout: float = 0.0
    write_within: float = 0.0


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: no, and trying again is harmless."""

    job: int
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, promising nothing."""

    job: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Call off one attempt."""

    job: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired after a delay."""

    token: int
    delay: float


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a worker how it is."""

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close this dispatcher's idle connections to a worker."""

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class TellPeer:
    """Send bytes to one other dispatcher, or to all (None)."""

    recipient: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class WatchList:
    """Subscribe to changes of the worker list, or end that."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask once for the whole worker list."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | CloseIdle | TellPeer | WatchList | FetchList | Log
