"""What the core shares with the fronts before it and the carriers behind it."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass, field
from typing import Any, Protocol

from pipitshed.scheduling.events import Outcome, ProgressKind, WorkerId

UNRUN = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.SUPERSEDED))  # these prove it never ran


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
    priority: int = 0  # the higher goes first where attempts wait for one planner
    slots: float = 1.0
    memory: float = 0.0
    hint: float | None = None
    repeat: bool = False
    tenant_name: str = ""  # as the client told it, also where the settings don't name it
    form: int | None = None  # version of the message form; None where nothing is translated


class Refusal(Protocol):
    """Why a message can't be expressed: the field, its value (shortened) and the reason."""

    field: str
    value: str
    reason: str


class Prepared(Protocol):
    """One request in the form of each interface that can express it."""

    bodies: dict[int, bytes]  # interface: body
    unfit: dict[int, Any]  # interface: its Refusal


class Translator(Protocol):
    """Turns messages from one form into another, whole or not at all."""

    def prepare(self, request: Request) -> Prepared: ...

    def answer(self, request: Request, interface: int, result: bytes) -> bytes | Refusal:
        """A planner's result in the client's form."""


class Client(Protocol):
    """Who waits for an exchange's one final answer."""

    def served(self, result: bytes) -> None: ...

    def refused(self, retry_after: float) -> None:
        """Trying again is harmless, best after this many ms."""

    def failed(self) -> None: ...

    def unfit(self, why: Refusal, ran: bool) -> None:
        """A final no: no planner can be told the request, or (where it ran) the client not the result."""

    def noted(self, kind: ProgressKind, share: float) -> None:
        """The job has started, or got so far."""


class Carrier(Protocol):
    """Carries attempts to endpoints of its kind, and reports one outcome for each to the core."""

    def carry(self, attempt: Attempt) -> None: ...

    def drop(self, attempt: Attempt) -> bool:
        """Stop the attempt for good; whether it may have run: not before it is written, or assigned."""

    def probe(self, target: Endpoint) -> None: ...

    def close_idle(self, target: Endpoint) -> None: ...


@dataclass(slots=True)
class Endpoint:
    """A planner, and who carries attempts to it; only that carrier reads the address."""

    id: WorkerId
    carrier: Carrier
    address: Any
    interface: int = 1  # the planner interface that it speaks; 0 while that is being found out


@dataclass(slots=True, eq=False)
class Exchange:
    """One client's request until its final answer and the end of its last attempt."""

    number: int
    request: Request
    client: Client
    deadline: float  # loop time
    settled: bool = False
    orphan: bool = False  # its clients have gone, and what runs goes on for one that comes back
    fault: bytes = b""  # what the last planner that failed said of it
    attempts: list[Attempt] = field(default_factory=list)
    guard: asyncio.TimerHandle | None = None
    prepared: Prepared | None = None  # where it is translated

    @property
    def may_have_run(self) -> bool:
        return any(attempt.may_have_run for attempt in self.attempts)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of an exchange at one endpoint."""

    exchange: Exchange
    number: int
    target: Endpoint
    sent_at: float  # loop time
    deadline: float  # loop time
    body: bytes = b""  # in the target's form
    write_by: float = math.inf  # loop time after which it must not be written: a repeat's window is over
    ran: bool = False  # its last byte is written, or a worker has it: it may have run
    outcome: Outcome | None = None
    timer: asyncio.TimerHandle | None = None
    link: Any = None  # the carrier's own

    @property
    def over(self) -> bool:
        return self.outcome is not None

    @property
    def may_have_run(self) -> bool:
        return self.outcome not in UNRUN if self.outcome is not None else self.ran
