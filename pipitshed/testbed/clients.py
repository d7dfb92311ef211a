"""Stand-in clients: HTTP and Gearman clients that send message forms of version 0 and version 1."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections import deque
from dataclasses import dataclass, field
from datetime import UTC, datetime
from time import monotonic
from urllib.parse import parse_qs, urlencode

from pipitshed.protocols.gearman import PACKET_HEADER, REQUEST_MAGIC, PacketType, encode_packet
from pipitshed.testbed.program import TENANTS

KINDS = ("http-v0", "http-v1", "gearman-v0", "gearman-v1")
SLACK_S = 0.06  # s after the deadline; an answer that is later counts as missing
CUTOFF = 1_800_003_600  # Unix time in s; a field of each job
_FUNCTIONS = {
    ("gearman-v0", "quote"): b"plan_quote",
    ("gearman-v0", "book"): b"book_pallet",
    ("gearman-v1", "quote"): b"plan_quote_v1",
    ("gearman-v1", "book"): b"book_pallet_v1",
}


@dataclass(slots=True)
class ClientRequest:
    """One request and the result that its client received. Times are seconds of the monotonic clock."""

    token: str
    kind: str
    job_class: str
    key: str
    tenant: str
    timeout: float  # s that the client waits for an answer
    pallets: int
    hazard: bool = False  # it has a field that interface 2 can't express
    cancel_after: float = 0.0  # s after which the client closes its connection; 0: never
    sent: float = 0.0
    ended: float = 0.0
    outcome: str = ""  # served, refused, unfit, failed, withdrawn, unanswered
    answers: int = 0
    wrong: str = ""  # how a served result differs from the expected one; empty: it does not
    detail: str = ""
    not_accepted: bool = False  # refused connection, or a reused one that was closed already
    reused_connection: bool = False  # it was sent on a connection that was kept open
    slack: float = SLACK_S  # s after the timeout for which the client still reads


def expected_key(request: ClientRequest) -> str:
    """The idempotency key under which planners get a request; every Gearman job has one."""
    if not request.kind.startswith("gearman"):
        return request.key
    return f"{_FUNCTIONS[request.kind, request.job_class].decode()}:k-{request.token}"


def draw_request(
    rng: random.Random, token: str, mix: dict[str, float], cancel: float, unfit: float, book: float
) -> ClientRequest:
    """Draw one request; `mix` has a weight for each client kind; the last three are shares from 0 to 1."""
    kind = rng.choices(list(mix), list(mix.values()))[0]
    job_class = "book" if rng.random() < book else "quote"
    tenant = {"gearman-v0": "selva-trans", "gearman-v1": "sur-express"}.get(kind) or rng.choices(
        list(TENANTS), list(TENANTS.values())
    )[0]
    # The key over HTTP, and the unique id of a Gearman job; over HTTP only `book` requests have one.
    key = f"k-{token}" if job_class == "book" else ""
    timeout = 5.0 if job_class == "quote" else 15.0
    return ClientRequest(
        token,
        kind,
        job_class,
        key,
        tenant,
        timeout,
        rng.randint(1, 60),
        kind.endswith("v1") and rng.random() < unfit,
        rng.uniform(0.0005, 0.08) if rng.random() < cancel else 0.0,
    )


def request_body(request: ClientRequest) -> bytes:
    """Encode the job in the form of the request's client."""
    if request.kind.endswith("v1"):
        job = {
            "origin": "LIM-03",
            "destination": "AQP-01",
            "pallets": request.pallets,
            "weight_kg": 812.5,
            "cutoff": datetime.fromtimestamp(CUTOFF, UTC).strftime("%Y-%m-%dT%H:%M:%SZ"),
            "fragile": True,
            "remark": request.token,
            "goods": [{"sku": "PAL-1", "count": request.pallets}],
        }
        if request.hazard:
            job["hazard"] = "flammable"
        return json.dumps(job).encode()
    pairs = {
        "from": "LIM-03",
        "to": "AQP-01",
        "plts": request.pallets,
        "kg": "812.5",
        "by": CUTOFF,
        "frag": 1,
        "rem": request.token,
    }
    if request.kind == "http-v0":
        pairs |= {
            "req": request.token,
            "cls": request.job_class,
            "member": request.tenant,
            "wait": request.timeout,
        }
        if request.key:
            pairs["key"] = request.key
    return urlencode(pairs).encode()


def check_result(request: ClientRequest, result: bytes) -> str:
    """Describe how a result differs from the expected one; empty where it does not."""
    departs = 1_800_000_000 + request.pallets
    try:
        if request.kind.endswith("v1"):
            offer = json.loads(result)
            actual = (
                offer["truck"],
                datetime.fromisoformat(offer["departs"]).timestamp(),
                offer["lane"],
                offer["price"] if request.job_class == "quote" else offer["booking_ref"],
            )
            price: object = 12.5 * request.pallets
            night: object = "night"
        else:
            form = {name: values[0] for name, values in parse_qs(result.decode()).items()}
            actual = (
                form["truck"],
                float(form["leaves"]),
                form["night"],
                float(form["price"]) if request.job_class == "quote" else form["ref"],
            )
            price, night = 12.5 * request.pallets, "1"
    except (ValueError, KeyError) as error:
        return f"unreadable: {error!r}"
    expected = (
        f"T-{request.token}",
        departs,
        night,
        price if request.job_class == "quote" else f"B-{request.token}",
    )
    return "" if actual == expected else f"{actual} instead of {expected}"


class HttpClients:
    """HTTP clients with keep-alive connections: as many as there are concurrent requests."""

    def __init__(self, port: int, host: str = "127.0.0.1") -> None:
        self.host, self.port = host, port
        self._idle: deque[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = deque()

    async def send(self, request: ClientRequest) -> None:
        try:
            await self._send(request)
        except OSError as error:
            request.outcome, request.detail, request.ended = "unanswered", repr(error), monotonic()
            request.not_accepted = isinstance(error, ConnectionRefusedError)

    async def _send(self, request: ClientRequest) -> None:
        request.reused_connection = bool(self._idle)
        reader, writer = (
            self._idle.pop()
            if request.reused_connection
            else await asyncio.open_connection(self.host, self.port)
        )
        data = request_body(request)
        head = {"Host": "lab", "Content-Length": str(len(data))}
        if request.kind == "http-v0":
            head["Content-Type"] = "application/x-www-form-urlencoded"
        else:
            head |= {
                "X-Request-Id": request.token,
                "X-Class": request.job_class,
                "X-Tenant": request.tenant,
                "X-Deadline": f"{request.timeout:.3f}",
                "Content-Type": "application/json",
            }
            if request.key:
                head["Idempotency-Key"] = request.key
        request.sent = monotonic()
        lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
        writer.write(f"POST /api HTTP/1.1\r\n{lines}\r\n".encode() + data)
        keep_open = False
        try:
            async with asyncio.timeout(request.cancel_after or request.timeout + request.slack):
                top = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                length = int(top.partition("content-length:")[2].split("\r\n")[0] or 0)
                result = await reader.readexactly(length)
            request.answers += 1
            self._set_outcome(request, int(top.split()[1]), result)
            keep_open = "connection: close" not in top
        except TimeoutError:
            request.outcome = "withdrawn" if request.cancel_after else "unanswered"
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            request.outcome, request.detail = "unanswered", repr(error)
            empty = isinstance(error, asyncio.IncompleteReadError) and not error.partial
            request.not_accepted = request.reused_connection and empty
        request.ended = monotonic()
        # Unread bytes after the answer count as a second answer.
        if keep_open and reader._buffer:  # type: ignore[attr-defined]
            request.answers += 1
        if keep_open:
            self._idle.append((reader, writer))
        else:
            writer.transport.abort()

    @staticmethod
    def _set_outcome(request: ClientRequest, status: int, result: bytes) -> None:
        request.outcome = {200: "served", 503: "refused", 429: "refused", 422: "unfit"}.get(status, "failed")
        request.detail = f"{status} {result[:200].decode('utf-8', 'replace')}" if status != 200 else ""
        if status == 200:
            request.wrong = check_result(request, result)

    def close(self) -> None:
        for _, writer in self._idle:
            writer.transport.abort()


@dataclass(eq=False)
class _GearmanLink:
    """One Gearman client's connection; it carries one job at a time."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    handles: set[bytes] = field(default_factory=set)

    async def packet(self) -> tuple[PacketType, list[bytes]]:
        _, number, length = PACKET_HEADER.unpack(await self.reader.readexactly(PACKET_HEADER.size))
        return PacketType(number), (await self.reader.readexactly(length)).split(b"\0")


class GearmanClients:
    """Gearman clients with open connections: as many as there are concurrent requests."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._idle: deque[_GearmanLink] = deque()

    async def _link(self) -> _GearmanLink:
        if self._idle:
            return self._idle.pop()
        link = _GearmanLink(*await asyncio.open_connection("127.0.0.1", self.port))
        link.writer.write(encode_packet(PacketType.OPTION_REQ, b"exceptions", magic=REQUEST_MAGIC))
        await link.packet()
        return link

    async def send(self, request: ClientRequest) -> None:
        try:
            await self._send(request)
        except (OSError, asyncio.IncompleteReadError) as error:
            # The connection failed before the job was written.
            request.outcome, request.detail, request.not_accepted = "unanswered", repr(error), True
            request.sent = request.ended = monotonic()

    async def _send(self, request: ClientRequest) -> None:
        link = await self._link()
        request.sent = monotonic()
        function, unique = _FUNCTIONS[request.kind, request.job_class], b"k-" + request.token.encode()
        link.writer.write(
            encode_packet(PacketType.SUBMIT_JOB, function, unique, request_body(request), magic=REQUEST_MAGIC)
        )
        keep_open, handle = False, b""
        try:
            async with asyncio.timeout(request.cancel_after or request.timeout + request.slack):
                while not request.outcome:
                    kind, arguments = await link.packet()
                    if kind is PacketType.JOB_CREATED:
                        handle = arguments[0]
                        continue
                    if kind is PacketType.ERROR:
                        request.outcome, request.detail = "failed", repr(arguments)
                    elif arguments[0] != handle:
                        request.answers += kind in (PacketType.WORK_COMPLETE, PacketType.WORK_FAIL)
                    elif kind is PacketType.WORK_WARNING:
                        request.detail = arguments[1].decode()
                    elif kind is PacketType.WORK_EXCEPTION:
                        request.detail = arguments[1].decode("utf-8", "replace")
                    elif kind is PacketType.WORK_COMPLETE:
                        request.answers += 1
                        request.outcome, request.wrong = "served", check_result(request, arguments[1])
                    elif kind is PacketType.WORK_FAIL:
                        request.answers += 1
                        request.outcome = (
                            "refused"
                            if request.detail.startswith("retry-after")
                            else "unfit"
                            if request.detail.startswith("hazard:")
                            else "failed"
                        )
                keep_open = True
        except TimeoutError:
            request.outcome = "withdrawn" if request.cancel_after else "unanswered"
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            request.outcome, request.detail = "unanswered", repr(error)
            request.not_accepted = not handle
        request.ended = monotonic()
        if keep_open:
            self._idle.append(link)
        else:
            with contextlib.suppress(OSError):
                link.writer.transport.abort()

    def close(self) -> None:
        for link in self._idle:
            link.writer.transport.abort()
