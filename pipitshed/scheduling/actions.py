"""The actions that a dispatcher returns for its caller to carry out.

Times are in milliseconds.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from pipitshed.scheduling.events import WorkerId


class AnswerReason(enum.Enum):
    """Why a job is rejected or failed without a result."""

    SATURATED = "new jobs are shed near saturation"
    LOW_VALUE = "new jobs of little value for their work are shed first"
    OVER_QUOTA = "the tenant sends more than its quota, and the workers are busy"
    DEADLINE = "no time is left before the deadline"
    ATTEMPTS_EXHAUSTED = "all allowed attempts have been made"
    NOT_REPEATABLE = "the job may have run, and its idempotency permits no further attempt"
    OBJECTIVE_MISSED = "the latency objective is missed, and the workers are busy"
    WORKER_PUSHBACK = "the worker asked for no retry, or for none before the deadline"


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt of a job.

    With a `timeout_ms` of 0 the attempt lasts as long as the client waits. A retry is written to its
    connection within `write_within_ms` or not at all; with 0 there is no such limit.
    """

    job_id: int
    worker: WorkerId
    timeout_ms: float = 0.0
    write_within_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: the request is rejected, and the client may safely send it again."""

    job_id: int
    retry_after_ms: float = 0.0
    reason: AnswerReason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: the request failed, and it may have run."""

    job_id: int
    reason: AnswerReason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel one attempt of a job; attempts are counted from 0."""

    job_id: int
    attempt_index: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a TimerFired event with this token after a delay."""

    token: int
    delay_ms: float


@dataclass(frozen=True, slots=True)
class ProbeWorker:
    """Send a worker a probe request; a ProbeFinished event carries the result."""

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close this dispatcher's idle connections to a worker."""

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send bytes to one other dispatcher, or to all of them where `recipient` is None."""

    recipient: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Subscribe to changes of the endpoint list, or end the subscription."""

    enabled: bool = True


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Fetch the complete endpoint list once."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a line to the operators' log."""

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
