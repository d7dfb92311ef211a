"""Builds a job request from the head and body of an HTTP request."""

from __future__ import annotations

import math
import re
import zlib
from collections.abc import Sequence
from typing import Protocol
from urllib.parse import unquote_plus

from pipitshed.flow_control import NO_CHARGE, MemoryCharge
from pipitshed.proxy.forwarder import Forwarder
from pipitshed.proxy.request import Request
from pipitshed.scheduling.settings import TenantNumbers

MAX_ID_CHARS = 256  # of a request id or an idempotency key

# Headers that must not be repeated: it would be ambiguous which value a worker uses.
SINGLE_VALUE_HEADERS = frozenset(
    (
        b"x-request-id",
        b"x-class",
        b"x-tenant",
        b"x-deadline",
        b"x-extras",
        b"x-retry",
        b"x-cost-hint",
        b"idempotency-key",
    )
)

# The headers that are read; others are not kept, as none is passed on to a worker.
KEPT_HEADERS = SINGLE_VALUE_HEADERS | {b"cookie", b"content-type", b"content-length", b"expect"}

# The headers that correspond to the envelope fields of a client's message format.
_HEADER_OF_FIELD = {
    "id": b"x-request-id",
    "class": b"x-class",
    "tenant": b"x-tenant",
    "key": b"idempotency-key",
    "deadline": b"x-deadline",
}

_NUMBER = re.compile(rb"[+-]?[0-9.]+([eE][+-]?[0-9]+)?")  # narrower than float(), which accepts `1_0`
_PRINTABLE_ID = re.compile(rb"[!-~]{1,%d}" % MAX_ID_CHARS)
_AFFINITY_COOKIE = b"sid"
_UINT64_MASK = 0xFFFF_FFFF_FFFF_FFFF


class ClientForms(Protocol):
    """The message formats of clients, for requests that are translated."""

    def client_form(self, content_type: str) -> int:
        """The version of the format that a content type names."""

    def envelope(self, form: int, body: bytes) -> dict[str, str]:
        """The id, class, tenant, key and deadline in the body, if any; ValueError if it can't be read."""


class MalformedError(ValueError):
    """A request that can't be accepted; it is answered with `status`."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def _parse_number(text: bytes, header: str) -> float:
    try:
        value = float(text if _NUMBER.fullmatch(text) else b"")
    except ValueError:
        raise MalformedError(400, f"{header} is not a number") from None
    if not math.isfinite(value) or value < 0:
        raise MalformedError(400, f"{header} is out of range")
    return value


def _affinity_key(cookies: bytes) -> int:
    """The value of the cookie `sid` as a number; 0 without the cookie."""
    for cookie in cookies.split(b";"):
        name, _, value = cookie.strip().partition(b"=")
        if name == _AFFINITY_COOKIE:
            try:
                return int(value, 16) & _UINT64_MASK
            except ValueError:
                return zlib.crc32(unquote_plus(value.decode("latin-1")).encode())
    return 0


class RequestParser:
    """Builds a Request from a head and a body, with the classes and tenants of the settings."""

    def __init__(
        self,
        forwarder: Forwarder,
        classes: Sequence[str],
        tenants: TenantNumbers,
        forms: ClientForms | None = None,
    ) -> None:
        self._forwarder = forwarder
        self._forms = forms
        self.apply_settings({name: index for index, name in enumerate(classes)}, tenants)

    def apply_settings(self, classes: dict[str, int], tenants: TenantNumbers) -> None:
        """Replace the accepted classes and the tenants, with their numbers."""
        self._classes = {name.encode(): number for name, number in classes.items()}
        self._tenants = {name.encode(): number for name, number in tenants.by_name.items()}
        self._unknown_tenant = tenants.unknown

    def request(
        self,
        verb: bytes,
        resource: bytes,
        head: dict[bytes, bytes],
        body: bytes,
        arrived_at: float,
        memory_charge: MemoryCharge = NO_CHARGE,
    ) -> Request:
        """Build the request, whose first bytes arrived at this monotonic time (s).

        Raises:
            MalformedError: It can't be accepted.
        """
        form = self._merge_envelope(head, body) if self._forms is not None else None
        request_id, key = head.get(b"x-request-id", b""), head.get(b"idempotency-key", b"")
        job_class = self._classes.get(head.get(b"x-class", b""))
        # Workers get the id and the key unchanged: other characters could break the worker's protocol.
        if not _PRINTABLE_ID.fullmatch(request_id) or (key and not _PRINTABLE_ID.fullmatch(key)):
            raise MalformedError(400, "X-Request-Id or Idempotency-Key is missing or can't be forwarded")
        if job_class is None:
            raise MalformedError(400, "unknown X-Class")
        timeout_ms = self._forwarder.settings.classes[job_class].deadline_ms
        if b"x-deadline" in head:
            timeout_ms = min(timeout_ms, 1000 * _parse_number(head[b"x-deadline"], "X-Deadline"))
        extras: dict[bytes, float] = {}
        for part in head.get(b"x-extras", b"").split(b","):
            name, _, value = part.strip().partition(b"=")
            if value:
                extras[name] = _parse_number(value, "X-Extras")
        work_hint = head.get(b"x-cost-hint")
        return Request(
            request_id.decode("latin-1"),
            job_class,
            timeout_ms,
            # All tenants that the settings don't contain share the last number, without a quota.
            self._tenants.get(head.get(b"x-tenant", b""), self._unknown_tenant),
            body,
            key.decode("latin-1"),
            _affinity_key(head.get(b"cookie", b"")),
            verb.decode("latin-1"),
            resource.decode("latin-1"),
            slots=extras.get(b"slots", 1.0) or 1.0,
            memory=extras.get(b"memory", 0.0),
            work_hint=_parse_number(work_hint, "X-Cost-Hint") if work_hint else None,
            is_retry=head.get(b"x-retry", b"") == b"1",
            tenant_name=head.get(b"x-tenant", b"").decode("latin-1") if form is not None else "",
            form_version=form,
            memory_charge=memory_charge,
            arrived_at=arrived_at,
        )

    def _merge_envelope(self, head: dict[bytes, bytes], body: bytes) -> int:
        """Add the fields of the body's envelope to the headers, and return the version of the message format.

        A field in both must have the same value: otherwise it would be ambiguous which one a worker uses.
        """
        assert self._forms is not None
        form = self._forms.client_form(head.get(b"content-type", b"").decode("latin-1"))
        try:
            envelope = self._forms.envelope(form, body)
        except ValueError as error:
            raise MalformedError(400, str(error)) from None
        for field, text in envelope.items():
            header, value = _HEADER_OF_FIELD[field], text.encode("utf-8")
            if head.setdefault(header, value) != value:
                raise MalformedError(400, f"{header.decode()} differs from the body's")
        return form
