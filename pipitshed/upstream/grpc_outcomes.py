"""Outcomes of attempts over gRPC, by the table in docs/design/translation.md; no I/O."""

from __future__ import annotations

from collections.abc import Mapping

from pipitshed.protocols.grpc import Status
from pipitshed.scheduling.events import Outcome


def by_status(status: bytes, headers: Mapping[bytes, bytes], heard: bool) -> tuple[Outcome, bool]:
    """The outcome of a stream that ends by a status, and whether the planner is of another interface;
    `heard`: a message has come before it.
    """
    code = int(status) if status.isdigit() else -1
    if code == Status.OK:
        return Outcome.RESET, False  # it ended without an event that ends the job
    if headers.get(b"x-not-run") == b"1" and not heard:
        return Outcome.REJECTED, False
    if code == Status.UNIMPLEMENTED and not heard:
        return Outcome.CONNECT_FAILED, True
    if code == Status.DEADLINE_EXCEEDED:
        return Outcome.TIMEOUT, False
    if code in (Status.UNAVAILABLE, Status.CANCELLED):
        return Outcome.RESET, False
    return Outcome.ERROR, False


def pushback_of(headers: Mapping[bytes, bytes]) -> float | None:
    """What the planner asks to wait, ms; negative: no further attempt. Source: gRPC's retry design (A6), by
    which what can't be read says not to try again.
    """
    if b"grpc-retry-pushback-ms" not in headers:
        return None
    try:
        return float(int(headers[b"grpc-retry-pushback-ms"]))
    except ValueError:
        return -1.0
