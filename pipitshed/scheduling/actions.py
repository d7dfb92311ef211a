"""The actions that a dispatcher asks for.

Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from pipitshed.scheduling.events import WorkerId


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
