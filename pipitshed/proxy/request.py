"""What the core shares with the fronts before it and the carriers behind it."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass, field
from typing import Any, Protocol

from pipitshed.scheduling.events import Outcome, ProgressKind, WorkerId

NOT_EXECUTED_OUTCOMES = frozenset(
    (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.SUPERSEDED)
)  # these prove it never ran


@dataclass(frozen=True, slots=True)
class Request:
    """What a client wants done; `verb` and `resource` say how it was asked and are handed on unchanged."""

    id: str
    job_class: int
    client_timeout_ms: float  # ms that the client waits, from when it sent the request
    tenant: int
    body: bytes = b""
    idempotency_key: str = ""  # one key for all tries of the same thing
    affinity_key: int = 0
    method: str = "POST"
    target: str = "/api"
    function: str = ""  # what the client called the work, where its front names it
    priority: int = 0  # the higher goes first where attempts wait for one planner
    slots: float = 1.0
    memory: float = 0.0
    work_hint: float | None = None
    is_retry: bool = False
    tenant_name: str = ""  # as the client told it, also where the settings don't name it
    form_version: int | None = None  # version of the message form; None where nothing is translated


class TranslationFailure(Protocol):
    """Why a message can't be expressed: the field, its value (shortened) and the reason."""

    field: str
    value: str
    reason: str


class TranslatedRequest(Protocol):
    """One request in the form of each interface that can express it."""

    bodies: dict[int, bytes]  # interface: body
    failures: dict[int, Any]  # interface: its Refusal


class Translator(Protocol):
    """Turns messages from one form into another, whole or not at all."""

    def prepare(self, request: Request) -> TranslatedRequest: ...

    def answer(self, request: Request, interface: int, result: bytes) -> bytes | TranslationFailure:
        """A planner's result in the client's form."""


class Requester(Protocol):
    """Who waits for an exchange's one final answer."""

    def succeeded(self, result: bytes) -> None: ...

    def rejected(self, retry_after: float) -> None:
        """Trying again is harmless, best after this many ms."""

    def failed(self) -> None: ...

    def untranslatable(self, why: TranslationFailure, ran: bool) -> None:
        """A final no: no planner can be told the request, or (where it ran) the client not the result."""

    def progressed(self, kind: ProgressKind, share: float) -> None:
        """The job has started, or got so far."""


class WorkerClient(Protocol):
    """Carries attempts to endpoints of its kind, and reports one outcome for each to the core."""

    def start(self, attempt: Attempt) -> None: ...

    def abort(self, attempt: Attempt) -> bool:
        """Stop the attempt for good; whether it may have run: not before it is written, or assigned."""

    def probe(self, target: Endpoint) -> None: ...

    def close_idle_connections(self, target: Endpoint) -> None: ...


@dataclass(slots=True)
class Endpoint:
    """A planner, and who carries attempts to it; only that carrier reads the address."""

    id: WorkerId
    client: WorkerClient
    address: Any
    interface: int = 1  # the planner interface that it speaks; 0 while that is being found out


@dataclass(slots=True, eq=False)
class RequestContext:
    """One client's request until its final answer and the end of its last attempt."""

    job_id: int
    request: Request
    requester: Requester
    deadline_at: float  # loop time
    answered: bool = False
    detached: bool = False  # its clients have gone, and what runs goes on for one that comes back
    last_error: bytes = b""  # what the last planner that failed said of it
    attempts: list[Attempt] = field(default_factory=list)
    deadline_timer: asyncio.TimerHandle | None = None
    translated: TranslatedRequest | None = None  # where it is translated

    @property
    def may_have_run(self) -> bool:
        return any(attempt.may_have_run for attempt in self.attempts)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of an exchange at one endpoint."""

    context: RequestContext
    index: int
    endpoint: Endpoint
    started_at: float  # loop time
    deadline_at: float  # loop time
    body: bytes = b""  # in the target's form
    write_deadline_at: float = (
        math.inf
    )  # loop time after which it must not be written: a repeat's window is over
    fully_sent: bool = False  # its last byte is written, or a worker has it: it may have run
    outcome: Outcome | None = None
    timeout_timer: asyncio.TimerHandle | None = None
    transport_state: Any = None  # the carrier's own

    @property
    def finished(self) -> bool:
        return self.outcome is not None

    @property
    def may_have_run(self) -> bool:
        return self.outcome not in NOT_EXECUTED_OUTCOMES if self.outcome is not None else self.fully_sent
