"""A client's request, its requester, and the interface of message translation."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
from time import monotonic
from typing import TYPE_CHECKING, Any, Protocol

from pipitshed.flow_control import NO_CHARGE, MemoryCharge
from pipitshed.scheduling.events import ProgressKind

if TYPE_CHECKING:
    from pipitshed.proxy.attempt import Attempt


KEPT_BODY_BYTES = 1024  # of a request that has ended; a longer body is dropped


@dataclass(frozen=True, slots=True)
class Request:
    """A job that a client requests; `method` and `target` are passed to the worker unchanged."""

    id: str
    job_class: int
    client_timeout_ms: float  # how long the client waits, counted from the arrival
    tenant: int
    body: bytes = b""
    idempotency_key: str = ""  # the same for all retries of one request, and for no other request
    affinity_key: int = 0
    method: str = "POST"
    target: str = "/api"
    function: str = ""  # the Gearman function; empty for other protocols
    unique_id: str = ""  # the Gearman id of the job within its function; empty for other protocols
    priority: int = 0  # higher values first among attempts that wait for one worker
    slots: float = 1.0
    memory: float = 0.0
    work_hint: float | None = None
    is_retry: bool = False
    tenant_name: str = ""  # as the client sent it, even if the settings don't contain it
    form_version: int | None = None  # version of the message form; None without translation
    memory_charge: MemoryCharge = field(default=NO_CHARGE, repr=False, compare=False)  # released at its end
    arrived_at: float = field(default_factory=monotonic, compare=False)  # monotonic time of its first bytes


class TranslationFailure(Protocol):
    """Why a message can't be translated: the field, its (shortened) value and the reason."""

    field: str
    value: str
    reason: str


class TranslatedRequest(Protocol):
    """One request in the form of each interface that supports it."""

    bodies: dict[int, bytes]  # by interface
    failures: dict[int, Any]  # by interface; the values are TranslationFailures


class Translator(Protocol):
    """Translates messages between forms, completely or not at all."""

    def prepare(self, request: Request) -> TranslatedRequest:
        """Translate a request into the form of every interface that supports it."""
        ...

    def answer(self, request: Request, interface: int, result: bytes) -> bytes | TranslationFailure:
        """Translate a worker's result into the client's form."""


class Requester(Protocol):
    """Receives the progress and the one final answer of a request."""

    def succeeded(self, result: bytes) -> None:
        """Called when the job is done; `result` is in the client's form."""

    def rejected(self, retry_after_ms: float) -> None:
        """Called when the job has not run and the client may retry after this delay."""

    def failed(self) -> None:
        """Called when the job has failed, or may have run without a known result."""

    def untranslatable(self, failure: TranslationFailure, has_run: bool) -> None:
        """Called when the request, or the result if the job has run, can't be translated."""

    def progressed(self, kind: ProgressKind, done_fraction: float) -> None:
        """Called when the job has started, or has reached this fraction (0 to 1)."""


@dataclass(slots=True, eq=False)
class RequestContext:
    """The state of one request, until it has its final answer and its last attempt has ended."""

    job_id: int
    request: Request
    requester: Requester
    deadline_at: float  # loop time
    answered: bool = False
    detached: bool = False  # its clients have left; running attempts continue for one that reconnects
    last_error: bytes = b""  # the error message of the last worker that failed
    attempts: list[Attempt] = field(default_factory=list)
    deadline_timer: asyncio.TimerHandle | None = None
    translated: TranslatedRequest | None = None  # None without translation

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run the job."""
        return any(attempt.may_have_run for attempt in self.attempts)

    def release_memory(self) -> None:
        """Keep no message of a request that has ended: it may be remembered, and its attempts refer to it."""
        self.request.memory_charge.release()
        if len(self.request.body) > KEPT_BODY_BYTES:
            self.request = replace(self.request, body=b"")
        self.translated = None
        for attempt in self.attempts:
            attempt.body = b""
            attempt.transport_state = None
