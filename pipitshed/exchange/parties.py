"""What the core shares with the fronts before it and the carriers behind it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any, Protocol

from pipitshed.decisions.interface import NoteKind, Outcome, WorkerId

UNRUN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT))  # these prove it never ran



@dataclass(frozen=True, slots=True)
class Request:
    """What a client wants done; `verb` and `resource` say how it was asked and are handed on unchanged."""

    id: str
    job_class: int
    patience: float  # ms that the client waits, from when it sent the request
    tenant: int
    body: bytes = b""
    key: str = ""  # one key for all tries of the same thing
    affinity: int = 0
    verb: str = "POST"
    resource: str = "/api"
    function: str = ""  # what the client called the work, where its front names it
    priority: int = 0  # the higher goes first where hops wait for one planner
    slots: float = 1.0
    memory: float = 0.0
    hint: float | None = None
    repeat: bool = False


class Client(Protocol):
    """Who waits for an exchange's one final answer."""

    def served(self, result: bytes) -> None: ...

    def refused(self, retry_after: float) -> None:
        """Trying again is harmless, best after this many ms."""

    def failed(self) -> None: ...

    def noted(self, kind: NoteKind, share: float) -> None:
        """The job has started, or got so far."""


class Carrier(Protocol):
    """Carries hops to egress targets of its kind, and reports one outcome for each to the core."""

    def carry(self, hop: Hop) -> None: ...

    def drop(self, hop: Hop) -> bool:
        """Stop the hop for good; whether it may have run, which it has not while unwritten or unassigned."""

    def probe(self, target: EgressTarget) -> None: ...

    def close_idle(self, target: EgressTarget) -> None: ...


@dataclass(slots=True)
class EgressTarget:
    """A planner, and who carries hops to it; only that carrier reads the address."""

    id: WorkerId
    carrier: Carrier
    address: Any


@dataclass(slots=True, eq=False)
class Exchange:
    """One client's request until its final answer and the end of its last hop."""

    number: int
    request: Request
    client: Client
    deadline: float  # loop time
    settled: bool = False
    fault: bytes = b""  # what the last planner that failed said of it
    hops: list[Hop] = field(default_factory=list)
    guard: asyncio.TimerHandle | None = None

    @property
    def may_have_run(self) -> bool:
        return any(hop.may_have_run for hop in self.hops)


@dataclass(slots=True, eq=False)
class Hop:
    """One attempt of an exchange at one egress target."""

    exchange: Exchange
    number: int
    target: EgressTarget
    sent_at: float  # loop time
    deadline: float  # loop time
    ran: bool = False  # set by the carrier once it may have run
    outcome: Outcome | None = None
    timer: asyncio.TimerHandle | None = None
    link: Any = None  # the carrier's own

    @property
    def over(self) -> bool:
        return self.outcome is not None

    @property
    def may_have_run(self) -> bool:
        return self.outcome not in UNRUN if self.outcome is not None else self.ran
