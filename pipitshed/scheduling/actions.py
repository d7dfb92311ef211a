"""The actions that a dispatcher asks for.

Times are milliseconds.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from pipitshed.scheduling.events import WorkerId


class AnswerReason(enum.Enum):
    """Why a job is given up."""

    SATURATED = "new jobs are shed near saturation"
    LOW_VALUE = "new jobs of little value for their work are shed first"
    OVER_QUOTA = "the tenant sends more than its quota, and the workers are busy"
    DEADLINE = "no time is left before the deadline"
    ATTEMPTS_EXHAUSTED = "all attempts are used up"
    NOT_REPEATABLE = "it may have run, and its idempotency permits no further attempt"
    OBJECTIVE_MISSED = "it is late already, and the workers are busy"
    WORKER_PUSHBACK = "its worker said not to retry, or not before the deadline"


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt of a job.

    A timeout of 0 lasts as long as the client waits. A repeat is written within `write_within_ms` or not at
    all; with 0 it may be written at any time.
    """

    job_id: int
    worker: WorkerId
    timeout_ms: float = 0.0
    write_within_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: rejected, and the client may repeat the request without harm."""

    job_id: int
    retry_after_ms: float = 0.0
    reason: AnswerReason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed, and the request may have run."""

    job_id: int
    reason: AnswerReason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel one attempt."""

    job_id: int
    attempt_index: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired after a delay."""

    token: int
    delay_ms: float


@dataclass(frozen=True, slots=True)
class ProbeWorker:
    """Ask a worker how it is."""

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close this dispatcher's idle connections to a worker."""

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send bytes to one other dispatcher, or to all (None)."""

    recipient: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Subscribe to changes of the worker list, or end that."""

    enabled: bool = True


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Ask once for the whole worker list."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the operators."""

    text: str


Action = (
    StartAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | SetTimer
    | ProbeWorker
    | CloseIdleConnections
    | SendPeerMessage
    | WatchEndpoints
    | FetchEndpoints
    | LogLine
)
