"""A client's request, who waits for its answer, and how messages are translated for workers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol

from pipitshed.scheduling.events import ProgressKind

if TYPE_CHECKING:
    from pipitshed.proxy.attempt import Attempt


@dataclass(frozen=True, slots=True)
class Request:
    """What a client wants done; `method` and `target` are handed on to the worker unchanged."""

    id: str
    job_class: int
    client_timeout_ms: float  # how long the client waits, from when it sent the request
    tenant: int
    body: bytes = b""
    idempotency_key: str = ""  # the same for all retries of one request
    affinity_key: int = 0
    method: str = "POST"
    target: str = "/api"
    function: str = ""  # the name by which the client called the work, where its protocol has one
    priority: int = 0  # the higher goes first where attempts wait for one worker
    slots: float = 1.0
    memory: float = 0.0
    work_hint: float | None = None
    is_retry: bool = False
    tenant_name: str = ""  # as the client gave it, also where the settings don't name it
    form_version: int | None = None  # version of the message form; None where nothing is translated


class TranslationFailure(Protocol):
    """Why a message can't be expressed: the field, its value (shortened) and the reason."""

    field: str
    value: str
    reason: str


class TranslatedRequest(Protocol):
    """One request in the form of each interface that can express it."""

    bodies: dict[int, bytes]  # by interface
    failures: dict[int, Any]  # by interface; the values are TranslationFailures


class Translator(Protocol):
    """Translates messages from one form into another, completely or not at all."""

    def prepare(self, request: Request) -> TranslatedRequest:
        """Translate a request into the form of every interface that can express it."""
        ...

    def answer(self, request: Request, interface: int, result: bytes) -> bytes | TranslationFailure:
        """Translate a worker's result into the client's form."""


class Requester(Protocol):
    """Waits for the one final answer to a request."""

    def succeeded(self, result: bytes) -> None:
        """The job is done; `result` is in the client's form."""

    def rejected(self, retry_after_ms: float) -> None:
        """The job has not run; the client may try again, best after this many ms."""

    def failed(self) -> None:
        """The job has failed, or may have run without a known result."""

    def untranslatable(self, failure: TranslationFailure, has_run: bool) -> None:
        """The request fits no worker's form, or (where the job ran) the result doesn't fit the client's."""

    def progressed(self, kind: ProgressKind, done_fraction: float) -> None:
        """The job has started, or this share of it is done."""


@dataclass(slots=True, eq=False)
class RequestContext:
    """The state of one request, until it has its final answer and its last attempt has ended."""

    job_id: int
    request: Request
    requester: Requester
    deadline_at: float  # loop time
    answered: bool = False
    detached: bool = False  # its clients have left; what runs goes on, for one that comes back
    last_error: bytes = b""  # the message of the last worker that failed
    attempts: list[Attempt] = field(default_factory=list)
    deadline_timer: asyncio.TimerHandle | None = None
    translated: TranslatedRequest | None = None  # where messages are translated

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run the job."""
        return any(attempt.may_have_run for attempt in self.attempts)
