"""The platform's front: HTTP/1.1 clients."""

from __future__ import annotations

import asyncio
import math
import re
import zlib
from collections import deque
from collections.abc import Callable, Sequence
from itertools import islice
from typing import Protocol, cast
from urllib.parse import unquote_plus

import httptools
import msgspec

from pipitshed.protocols.buffer import Buffer, TooLongError
from pipitshed.protocols.http import BODY_LIMIT, HEAD_LIMIT
from pipitshed.proxy.forwarder import Forwarder
from pipitshed.proxy.request import Request, RequestContext, TranslationFailure
from pipitshed.scheduling.events import ProgressKind

PIPELINED = 8  # requests that may wait behind one on a connection; clients send one at a time
FLOOD = 256  # of those beyond, each refused in its turn, after which the connection is ended
FIRST_WITHIN = 2.5  # s from connecting by which the first request is whole: a bad client is owed an end in 3
NEXT_WITHIN = 10.0  # s that a later one may take to come in
MESSAGE_LIMIT = HEAD_LIMIT + 4 * BODY_LIMIT  # bytes of a request with its chunks' framing and its trailers
LINGER = 0.5  # s for which more is read and thrown away after the last answer, so that it can be read
LINGER_BYTES = 1024 * 1024  # of it at most
LINGER_ENDING = 0.2  # s of it where the program is about to end
UNREAD_FOR = 10.0  # s that a client may leave its answers unread
_encode = msgspec.json.encode
OVER = 1.5  # times the part for clients from which new ones are turned away
QUIET = 1.0  # s without a byte after which a request begun and not whole makes room before idle clients
LOOK = 8  # of those heard of longest ago, so many are looked at
ID_LIMIT = 256  # characters of an id or a key

_REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


# Told twice, nobody can know which of the two a planner would go by.
_SINGLE = frozenset(
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
_NUMBER = re.compile(rb"[+-]?[0-9.]+([eE][+-]?[0-9]+)?")  # narrower than Python's, which takes `1_0`
_NAME = re.compile(rb"[!-~]{1,%d}" % ID_LIMIT)


_ENVELOPE = {
    "id": b"x-request-id",
    "class": b"x-class",
    "tenant": b"x-tenant",
    "key": b"idempotency-key",
    "deadline": b"x-deadline",
}


class ClientForms(Protocol):
    """What is known of the forms in which clients speak, where messages are translated."""

    def client_form(self, content_type: str) -> int: ...

    def envelope(self, form: int, body: bytes) -> dict[str, str]:
        """What the body tells of id, class, tenant, key and deadline; ValueError where it can't be read."""


class MalformedError(ValueError):
    """A request that can't be taken; answered with `status`."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def _number(text: bytes, what: str) -> float:
    try:
        value = float(text if _NUMBER.fullmatch(text) else b"")
    except ValueError:
        raise MalformedError(400, f"{what} is not a number") from None
    if not math.isfinite(value) or value < 0:
        raise MalformedError(400, f"{what} is out of range")
    return value


def _affinity(cookies: bytes) -> int:
    """What the cookie `sid` names, as a number."""
    for cookie in cookies.split(b";"):
        name, _, value = cookie.strip().partition(b"=")
        if name == b"sid":
            try:
                return int(value, 16) & 0xFFFF_FFFF_FFFF_FFFF
            except ValueError:
                return zlib.crc32(unquote_plus(value.decode("latin-1")).encode())
    return 0


class RequestParser:
    """Turns a request's head and body into a Request, by the names in the settings."""

    def __init__(
        self,
        core: Forwarder,
        classes: Sequence[str],
        tenants: Sequence[str],
        forms: ClientForms | None = None,
    ) -> None:
        self._core = core
        self._forms = forms
        self.apply_settings({name: place for place, name in enumerate(classes)}, tenants)

    def apply_settings(self, classes: dict[str, int], tenants: Sequence[str]) -> None:
        """The numbers of the classes that are taken from now on, and the tenants' places."""
        self._classes = {name.encode(): place for name, place in classes.items()}
        self._tenants = {name.encode(): place for place, name in enumerate(tenants)}

    def request(self, verb: bytes, resource: bytes, head: dict[bytes, bytes], body: bytes) -> Request:
        """MalformedError where it can't be one."""
        form = self._envelope(head, body) if self._forms is not None else None
        number, key = head.get(b"x-request-id", b""), head.get(b"idempotency-key", b"")
        job_class = self._classes.get(head.get(b"x-class", b""))
        # Guards the planners: an id or a key that can't be handed on as it came must not be handed on.
        if not _NAME.fullmatch(number) or (key and not _NAME.fullmatch(key)):
            raise MalformedError(400, "no X-Request-Id or Idempotency-Key that can be handed on")
        if job_class is None:
            raise MalformedError(400, "no such X-Class")
        patience = self._core.settings.classes[job_class].deadline_ms
        if b"x-deadline" in head:
            patience = min(patience, 1000 * _number(head[b"x-deadline"], "X-Deadline"))
        extras: dict[bytes, float] = {}
        for part in head.get(b"x-extras", b"").split(b","):
            name, _, value = part.strip().partition(b"=")
            if value:
                extras[name] = _number(value, "X-Extras")
        hint = head.get(b"x-cost-hint")
        return Request(
            number.decode("latin-1"),
            job_class,
            patience,
            # A tenant that the settings do not name has a place behind all of theirs, and no share.
            self._tenants.get(head.get(b"x-tenant", b""), len(self._tenants)),
            body,
            key.decode("latin-1"),
            _affinity(head.get(b"cookie", b"")),
            verb.decode("latin-1"),
            resource.decode("latin-1"),
            slots=extras.get(b"slots", 1.0) or 1.0,
            memory=extras.get(b"memory", 0.0),
            work_hint=_number(hint, "X-Cost-Hint") if hint else None,
            is_retry=head.get(b"x-retry", b"") == b"1",
            tenant_name=head.get(b"x-tenant", b"").decode("latin-1") if form is not None else "",
            form_version=form,
        )

    def _envelope(self, head: dict[bytes, bytes], body: bytes) -> int:
        """The form's version. What that form has in the body is told like a header from then on; told in both
        and not alike, nobody can know which a planner would go by.
        """
        assert self._forms is not None
        form = self._forms.client_form(head.get(b"content-type", b"").decode("latin-1"))
        try:
            told = self._forms.envelope(form, body)
        except ValueError as error:
            raise MalformedError(400, str(error)) from None
        for name, text in told.items():
            header, value = _ENVELOPE[name], text.encode("utf-8")
            if head.setdefault(header, value) != value:
                raise MalformedError(400, f"{header.decode()} differs from the body's")
        return form


class _Connection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, front: HttpFrontend) -> None:
        self._front = front
        self._parser = httptools.HttpRequestParser(self)
        self._buffer = Buffer(BODY_LIMIT)
        self._transport: asyncio.Transport | None = None
        self._resource = b""
        self._headers: dict[bytes, bytes] = {}
        self._head_size = 0  # bytes of a head that is not whole yet; -1 in a body
        self._size = 0  # bytes of a request that is not whole yet, all told
        self._begun = False  # a request has begun to come in
        self.heard = 0.0  # loop time of the last bytes
        self._due: asyncio.TimerHandle | None = None  # the request must be whole by then
        self._id = ""  # of the request that is open
        self._waiting: deque[Request | int] = deque()  # requests in order; a number is an answer's status
        self._exchange: RequestContext | None = None
        self._last = False  # nothing more is read
        self._clogged = False  # answers are not read: nothing more is taken, and reading rests
        self._unread: asyncio.TimerHandle | None = None  # they must be read by then

    # ---- what comes in

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are none by inheritance
        self._due = self._front.loop.call_later(FIRST_WITHIN, self._too_late)
        self._front.connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._front.forget(self)
        self._front.closing.pop(self, None)
        self._in_time()
        if self._unread is not None:
            self._unread.cancel()
        self._gone()

    def eof_received(self) -> None:
        """The client has closed: it is gone at once, also where an answer that it has not read stands before
        the end of this connection.
        """
        self._gone()
        self.close()

    def _gone(self) -> None:
        """Nobody waits here any more: nothing is owed, and nothing begins."""
        self._last = True
        self._waiting.clear()
        if self._exchange is not None:
            exchange, self._exchange = self._exchange, None
            self._front.open_ids.discard(self._id)
            self._front.core.withdraw(exchange)

    def pause_writing(self) -> None:
        # Guards the memory limit against a client that asks on and does not read its answers. Nothing is
        # taken while reading rests, as the end of the client would not be seen.
        self._clogged = True
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()
            self._unread = self._front.loop.call_later(UNREAD_FOR, self._transport.abort)

    def resume_writing(self) -> None:
        self._clogged = False
        if self._unread is not None:
            self._unread.cancel()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
            self._next()

    def _in_time(self) -> None:
        if self._due is not None:
            self._due.cancel()
            self._due = None

    def halted(self) -> None:
        """Half a request came, and then nothing: it is answered 408 if nothing is owed before it."""
        if self._exchange is None and not self._waiting and not self._last:
            self._in_time()
            self._too_late()

    def _too_late(self) -> None:
        """Guards against clients that send nothing, or half a request, and stay."""
        self._due = None
        if self._begun:
            self._refuse_to_read(408)
        else:
            self.drop()

    def data_received(self, data: bytes) -> None:
        if self._last:
            self._size += len(data)
            if self._size > LINGER_BYTES and self._transport is not None:
                self._transport.abort()
            return
        self.heard = self._front.loop.time()
        if self in self._front.unproven:
            self._front.heard(self)
        # Guards against a head without end, which the parser itself would keep whole.
        if self._head_size >= 0:
            self._head_size += len(data)
        self._size += len(data)
        try:
            self._parser.feed_data(data)
            if self._head_size > HEAD_LIMIT:
                raise MalformedError(431, "the head is too long")
            if self._size > MESSAGE_LIMIT:
                raise MalformedError(413, "the framing is too long")
        except httptools.HttpParserUpgrade:
            self._refuse_to_read(400)
        except httptools.HttpParserError as error:
            # What a callback raises comes wrapped.
            cause = error.__context__
            self._refuse_to_read(
                cause.status
                if isinstance(cause, MalformedError)
                else 413
                if isinstance(cause, TooLongError)
                else 400
            )
        except (MalformedError, TooLongError) as error:
            self._refuse_to_read(error.status if isinstance(error, MalformedError) else 413)

    def _refuse_to_read(self, status: int) -> None:
        """What came can't be read: say so behind the answers that are owed, then close."""
        if not self._last:
            self._last = True
            self._waiting.append(status)
            self._next()

    def on_message_begin(self) -> None:
        self._begun = True
        self._resource = b""
        self._headers = {}
        self._buffer.take_all()
        if self._due is None:
            self._due = self._front.loop.call_later(NEXT_WITHIN, self._too_late)

    def on_url(self, url: bytes) -> None:
        self._resource += url

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if self._head_size < 0:
            return  # a trailer: what the head said stands
        if name in _SINGLE and name in self._headers:
            raise MalformedError(400, f"{name.decode()} is told twice")
        # Whitespace around a value is no part of it (RFC 9110, 5.5); the parser leaves what trails.
        self._headers[name] = value.strip(b" \t")

    def on_headers_complete(self) -> None:
        self._head_size = -1
        if self._parser.should_upgrade():
            raise MalformedError(400, "no other protocol is spoken here")  # its body would not be read
        length = self._headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > BODY_LIMIT:
            raise MalformedError(413, "the body is too long")
        if self._headers.get(b"expect", b"").lower() == b"100-continue" and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self._buffer.append(data)

    def on_message_complete(self) -> None:
        if self._last:
            return  # behind a flood, or a shutdown, in the same read
        self._head_size = self._size = 0
        self._begun = False
        self._in_time()
        self._front.unproven.pop(self, None)
        if not self._parser.should_keep_alive():
            self._last = True
        verb: bytes = self._parser.get_method()
        body = self._buffer.take_all()
        if verb == b"GET":
            ready = self._resource.split(b"?")[0] == b"/_health"
            self._waiting.append(404 if not ready else 200 if self._front.ready() else 503)
        elif verb != b"POST":
            self._waiting.append(405)
        elif len(self._waiting) >= PIPELINED:
            # Guards memory, and the sight of the client's end: reading goes on, and a number takes no room.
            self._waiting.append(503)
            if len(self._waiting) >= FLOOD:
                self._flood()
        else:
            self._waiting.append(self._front.parser.request(verb, self._resource, self._headers, body))
            # Guards against a request of a client that has gone already: its end, where it stands behind the
            # request, is read in the turn between.
            self._front.loop.call_soon(self._next)
            return
        self._next()

    def _flood(self) -> None:
        """End a connection whose client sends on and on: all that it has asked is answered at once."""
        for place, _ in enumerate(self._waiting):
            self._waiting[place] = 503
        self._last = True
        if self._exchange is not None:
            exchange = self._exchange
            self._front.core.withdraw(exchange)
            self._write(500 if exchange.may_have_run else 503)

    # ---- what goes out

    @property
    def begun(self) -> bool:
        """Whether a request has begun to come in and is not whole yet."""
        return self._begun

    @property
    def idle(self) -> bool:
        """Whether nothing is owed and no request has begun to come in."""
        return self._exchange is None and not self._waiting and not self._begun

    def _next(self) -> None:
        """Take the request that is next in order."""
        while (
            self._exchange is None
            and self._waiting
            and not self._clogged
            and (self._transport is not None and not self._transport.is_closing())
        ):
            first = self._waiting.popleft()
            if isinstance(first, int):
                self._write(first)
            elif first.id in self._front.open_ids:
                # Guards against another client's use of an open id: planners tell requests apart by it.
                self._write(409)
            else:
                self._id = first.id
                self._front.open_ids.add(first.id)
                self._exchange = self._front.core.submit(first, self)

    def _write(self, status: int, body: bytes = b"", extra: str = "") -> None:
        if self._exchange is not None:
            self._exchange = None
            self._front.open_ids.discard(self._id)
        transport = self._transport
        if transport is None or transport.is_closing() or self in self._front.closing:
            return
        self._front.used(self)
        final = (self._last or self._front.draining) and not self._waiting
        close = "Connection: close\r\n" if final else ""
        transport.write(
            f"HTTP/1.1 {status} {_REASONS.get(status, 'Unknown')}\r\n"
            f"Content-Length: {len(body)}\r\n{extra}{close}\r\n".encode()
            + body
        )
        if final:
            self.close()

    def succeeded(self, result: bytes) -> None:
        self._write(200, result)
        self._next()

    def rejected(self, retry_after: float) -> None:
        self._write(503, b"", f"Retry-After: {retry_after / 1000:.3f}\r\n")
        self._next()

    def failed(self) -> None:
        self._write(500)
        self._next()

    def untranslatable(self, why: TranslationFailure, ran: bool) -> None:
        """Say what can't be expressed, as RFC 9457 has it: 422 for a request, which trying again won't mend;
        500 for the result of a job that ran.
        """
        status = 500 if ran else 422
        self._write(
            status,
            _encode(
                {
                    "type": f"urn:pipitshed:problem:{'result' if ran else 'request'}-not-expressible",
                    "title": f"The {'result' if ran else 'request'} can't be expressed",
                    "status": status,
                    "detail": f"{why.field}: {why.reason}",
                    "field": why.field,
                    "value": why.value,
                    "reason": why.reason,
                }
            ),
            "Content-Type: application/problem+json\r\n",
        )
        self._next()

    def progressed(self, kind: ProgressKind, share: float) -> None:
        """The platform's clients wait for the answer alone."""

    def close(self) -> None:
        """End it behind what is written. What still comes is read and thrown away for a moment: a close with
        bytes unread would reset the connection, and the answers before it would be lost; what is read after
        the shutdown is never taken.
        """
        transport = self._transport
        if transport is None or transport.is_closing() or self in self._front.closing:
            return
        self._front.forget(self)
        self._front.closing[self] = None
        self._last = True
        self._size = 0
        if self._clogged:
            transport.resume_reading()
        transport.write_eof()
        self._in_time()
        self._due = self._front.loop.call_later(self._front.linger, self._end)

    def _end(self) -> None:
        if self._transport is not None and self._transport.get_write_buffer_size() == 0:
            self._transport.abort()
        elif self._transport is not None:
            # Its last answers are on their way to a slow client.
            self._due = self._front.loop.call_later(UNREAD_FOR, self._transport.abort)

    def drop(self) -> None:
        """End it at once, as its descriptor is needed: it is idle, or has sent nothing whole."""
        # Guards against room that is made twice by one connection: until its end is told, it would stand
        # first among those that make room, for every new one that comes in the same turn.
        self._front.forget(self)
        if self._transport is not None:
            self._transport.close()


class HttpFrontend:
    """All HTTP clients' connections."""

    def __init__(
        self,
        core: Forwarder,
        reading: RequestParser,
        most: int,
        loop: asyncio.AbstractEventLoop,
        ready: Callable[[], bool],
    ) -> None:
        self.core = core
        self.parser = reading
        self.loop = loop
        self.ready = ready
        self.draining = False  # each answer says that its connection closes
        self.connections: dict[_Connection, None] = {}  # the last used last
        self.unproven: dict[_Connection, None] = {}  # no request was whole on these; heard longest ago first
        self.closing: dict[_Connection, None] = {}  # answered; their answers may still be on the way
        self.linger = LINGER
        self.open_ids: set[str] = set()
        self._most = most

    def connection(self) -> _Connection:
        """A new client's connection."""
        return _Connection(self)

    def connected(self, newcomer: _Connection) -> None:
        """A connection is up. Where there are too many, one makes room: the oldest on which no request has
        come, so that clients that only connect never cost a usual one its own, else the longest idle. Told
        here and not when it is made: in a burst, several are made before the first is up.
        """
        newcomer.heard = self.loop.time()
        self.connections[newcomer] = self.unproven[newcomer] = None
        if len(self.connections) > self._most and (victim := self._victim(newcomer)) is not None:
            victim.drop()

    def _victim(self, newcomer: _Connection) -> _Connection | None:
        """Who makes room, of those on which no request was whole, heard of longest ago first: one that has
        sent nothing, or nothing for a second; else the longest idle; else one that still sends its first
        request slowly. Usual clients that write a request in pieces over two seconds keep their connections,
        while others only hold theirs.
        """
        now, unproven = self.loop.time(), self.unproven
        for one in islice(unproven, LOOK):
            if one is not newcomer and (not one.begun or now - one.heard >= QUIET):
                return one
        idle = next((one for one in self.connections if one.idle and one not in unproven), None)
        first = next(iter(unproven))
        return idle or (first if first is not newcomer else None)

    def heard(self, connection: _Connection) -> None:
        """Bytes have come on a connection on which no request was whole yet: it makes room after others."""
        del self.unproven[connection]
        self.unproven[connection] = None

    def has_room(self, pending: int) -> bool:
        """Whether attempts and discovery would keep the descriptors they need, with so many connections that
        are accepted and not up yet; busy clients make no room.
        """
        return len(self.connections) + len(self.closing) + pending < self._most * OVER

    def forget(self, connection: _Connection) -> None:
        """It carries no more requests."""
        self.connections.pop(connection, None)
        self.unproven.pop(connection, None)

    def used(self, connection: _Connection) -> None:
        """It has just carried an answer."""
        if self.connections.pop(connection, 0) is None:
            self.connections[connection] = None

    def close_idle(self) -> None:
        """Close what is idle, and end requests that have come in part and then nothing for a while: at the
        end, a client that halted half way would hold the program until SIGKILL.
        """
        now = self.loop.time()
        for connection in list(self.connections):
            if connection.idle:
                connection.close()
            elif connection.begun and now - connection.heard >= QUIET:
                connection.halted()
