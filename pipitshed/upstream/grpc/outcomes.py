"""Maps gRPC statuses to attempt outcomes, by the table in docs/design/translation.md; no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from pipitshed.protocols.grpc import Status
from pipitshed.scheduling.events import Outcome

_UNKNOWN_STATUS = -1
_NO_RETRY_MS = -1.0


@dataclass(frozen=True, slots=True)
class StatusOutcome:
    """The outcome that a status means for an attempt, and whether the worker speaks another interface."""

    outcome: Outcome
    is_wrong_interface: bool = False


_ERROR = StatusOutcome(Outcome.ERROR)
_NOT_RUN = StatusOutcome(Outcome.REJECTED)
_RESET = StatusOutcome(Outcome.RESET)
_TIMEOUT = StatusOutcome(Outcome.TIMEOUT)
_WRONG_INTERFACE = StatusOutcome(Outcome.CONNECT_FAILED, is_wrong_interface=True)


def outcome_of_status(
    status: bytes, headers: Mapping[bytes, bytes], has_received_message: bool
) -> StatusOutcome:
    """Return the outcome of a stream that ends with a status and without an event that ends the job.

    Args:
        status: The value of `grpc-status`.
        headers: All headers or trailers that arrived with the status.
        has_received_message: Whether a message arrived before the status, so that the job has started.
    """
    code = int(status) if status.isdigit() else _UNKNOWN_STATUS
    if code == Status.OK:
        return _RESET
    if headers.get(b"x-not-run") == b"1" and not has_received_message:
        return _NOT_RUN
    if code == Status.UNIMPLEMENTED and not has_received_message:
        return _WRONG_INTERFACE
    if code == Status.DEADLINE_EXCEEDED:
        return _TIMEOUT
    if code in (Status.UNAVAILABLE, Status.CANCELLED):
        return _RESET
    return _ERROR


def retry_pushback_ms(headers: Mapping[bytes, bytes]) -> float | None:
    """Return the delay (ms) before a retry that the worker asks for; negative to forbid a retry.

    By gRPC's retry design (A6), a value that can't be parsed forbids a retry.
    """
    if b"grpc-retry-pushback-ms" not in headers:
        return None
    try:
        return float(int(headers[b"grpc-retry-pushback-ms"]))
    except ValueError:
        return _NO_RETRY_MS
