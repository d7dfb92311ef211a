"""The actions that a dispatcher asks for.

Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from pipitshed.scheduling.events import WorkerId


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt of a job; a time-out of 0 lasts as long as the client waits. `write_within`: ms within
    which a repeat is written, or not at all; 0 where it may be at any time.
    """

    job_id: int
    worker: WorkerId
    timeout_ms: float = 0.0
    write_within_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: no, and trying again is harmless."""

    job_id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed, promising nothing."""

    job_id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Call off one attempt."""

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
