"""Stand-in old clients: HTTP terminals of version 0 and 1, Gearman dispatch tools of version 0 and 1."""

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
SLACK = 0.06  # s beyond its deadline after which an answer counts as none
CUTOFF = 1_800_003_600
_FUNCTIONS = {
    ("gearman-v0", "quote"): b"plan_quote",
    ("gearman-v0", "book"): b"book_pallet",
    ("gearman-v1", "quote"): b"plan_quote_v1",
    ("gearman-v1", "book"): b"book_pallet_v1",
}


@dataclass(slots=True)
class ClientRequest:
    """One request and what its client got."""

    token: str
    kind: str
    job_class: str
    key: str
    tenant: str
    timeout: float  # s
    pallets: int
    hazard: bool = False  # what interface 2 can't express
    cancel_after: float = 0.0  # s after which the client goes; 0: it stays
    sent: float = 0.0
    ended: float = 0.0
    outcome: str = ""  # served, refused, unfit, failed, withdrawn, unanswered
    answers: int = 0
    wrong: str = ""  # what of a served result is not as asked for
    detail: str = ""
    not_accepted: bool = False  # the connection was refused, or a kept one had been closed before the request
    reused_connection: bool = False  # it went out on a kept connection
    slack: float = SLACK  # s beyond its patience for which its client listens on


def draw_request(
    rng: random.Random, token: str, mix: dict[str, float], cancel: float, unfit: float, book: float
) -> ClientRequest:
    """One request by these shares."""
    kind = rng.choices(list(mix), list(mix.values()))[0]
    job_class = "book" if rng.random() < book else "quote"
    tenant = {"gearman-v0": "selva-trans", "gearman-v1": "sur-express"}.get(kind) or rng.choices(
        list(TENANTS), list(TENANTS.values())
    )[0]
    # Gearman's unique id is the key of every job; over HTTP only `book` comes with one.
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


def request_body(asked: ClientRequest) -> bytes:
    """The job in the client's form."""
    if asked.kind.endswith("v1"):
        job = {
            "origin": "LIM-03",
            "destination": "AQP-01",
            "pallets": asked.pallets,
            "weight_kg": 812.5,
            "cutoff": datetime.fromtimestamp(CUTOFF, UTC).strftime("%Y-%m-%dT%H:%M:%SZ"),
            "fragile": True,
            "remark": asked.token,
            "goods": [{"sku": "PAL-1", "count": asked.pallets}],
        }
        if asked.hazard:
            job["hazard"] = "flammable"
        return json.dumps(job).encode()
    pairs = {
        "from": "LIM-03",
        "to": "AQP-01",
        "plts": asked.pallets,
        "kg": "812.5",
        "by": CUTOFF,
        "frag": 1,
        "rem": asked.token,
    }
    if asked.kind == "http-v0":
        pairs |= {"req": asked.token, "cls": asked.job_class, "member": asked.tenant, "wait": asked.timeout}
        if asked.key:
            pairs["key"] = asked.key
    return urlencode(pairs).encode()


def check_result(asked: ClientRequest, result: bytes) -> str:
    """What of a result is not the one that was asked for; empty where it is."""
    departs = 1_800_000_000 + asked.pallets
    try:
        if asked.kind.endswith("v1"):
            told = json.loads(result)
            got = (
                told["truck"],
                datetime.fromisoformat(told["departs"]).timestamp(),
                told["lane"],
                told["price"] if asked.job_class == "quote" else told["booking_ref"],
            )
            price: object = 12.5 * asked.pallets
            night: object = "night"
        else:
            form = {name: values[0] for name, values in parse_qs(result.decode()).items()}
            got = (
                form["truck"],
                float(form["leaves"]),
                form["night"],
                float(form["price"]) if asked.job_class == "quote" else form["ref"],
            )
            price, night = 12.5 * asked.pallets, "1"
    except (ValueError, KeyError) as error:
        return f"unreadable: {error!r}"
    wanted = (f"T-{asked.token}", departs, night, price if asked.job_class == "quote" else f"B-{asked.token}")
    return "" if got == wanted else f"{got} instead of {wanted}"


class HttpClients:
    """Kept connections, as many as are busy at once."""

    def __init__(self, port: int, host: str = "127.0.0.1") -> None:
        self.host, self.port = host, port
        self._idle: deque[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = deque()

    async def send(self, asked: ClientRequest) -> None:
        try:
            await self._send(asked)
        except OSError as error:
            asked.outcome, asked.detail, asked.ended = "unanswered", repr(error), monotonic()
            asked.not_accepted = isinstance(error, ConnectionRefusedError)

    async def _send(self, asked: ClientRequest) -> None:
        asked.reused_connection = bool(self._idle)
        reader, writer = (
            self._idle.pop()
            if asked.reused_connection
            else await asyncio.open_connection(self.host, self.port)
        )
        data = request_body(asked)
        head = {"Host": "lab", "Content-Length": str(len(data))}
        if asked.kind == "http-v0":
            head["Content-Type"] = "application/x-www-form-urlencoded"
        else:
            head |= {
                "X-Request-Id": asked.token,
                "X-Class": asked.job_class,
                "X-Tenant": asked.tenant,
                "X-Deadline": f"{asked.timeout:.3f}",
                "Content-Type": "application/json",
            }
            if asked.key:
                head["Idempotency-Key"] = asked.key
        asked.sent = monotonic()
        lines = "".join(f"{name}: {value}\r\n" for name, value in head.items())
        writer.write(f"POST /api HTTP/1.1\r\n{lines}\r\n".encode() + data)
        keep_open = False
        try:
            async with asyncio.timeout(asked.cancel_after or asked.timeout + asked.slack):
                top = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                length = int(top.partition("content-length:")[2].split("\r\n")[0] or 0)
                result = await reader.readexactly(length)
            asked.answers += 1
            self._set_outcome(asked, int(top.split()[1]), result)
            keep_open = "connection: close" not in top
        except TimeoutError:
            asked.outcome = "withdrawn" if asked.cancel_after else "unanswered"
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            asked.outcome, asked.detail = "unanswered", repr(error)
            empty = isinstance(error, asyncio.IncompleteReadError) and not error.partial
            asked.not_accepted = asked.reused_connection and empty
        asked.ended = monotonic()
        # Anything more that stands there unread is a second answer.
        if keep_open and reader._buffer:  # type: ignore[attr-defined]
            asked.answers += 1
        if keep_open:
            self._idle.append((reader, writer))
        else:
            writer.transport.abort()

    @staticmethod
    def _set_outcome(asked: ClientRequest, status: int, result: bytes) -> None:
        asked.outcome = {200: "served", 503: "refused", 429: "refused", 422: "unfit"}.get(status, "failed")
        asked.detail = f"{status} {result[:200].decode('utf-8', 'replace')}" if status != 200 else ""
        if status == 200:
            asked.wrong = check_result(asked, result)

    def close(self) -> None:
        for _, writer in self._idle:
            writer.transport.abort()


@dataclass(eq=False)
class _GearmanLink:
    """One Gearman client's connection with one job at a time."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    handles: set[bytes] = field(default_factory=set)

    async def packet(self) -> tuple[PacketType, list[bytes]]:
        _, number, length = PACKET_HEADER.unpack(await self.reader.readexactly(PACKET_HEADER.size))
        return PacketType(number), (await self.reader.readexactly(length)).split(b"\0")


class GearmanClients:
    """The same for Gearman."""

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

    async def send(self, asked: ClientRequest) -> None:
        try:
            await self._send(asked)
        except (OSError, asyncio.IncompleteReadError) as error:
            # Before the job was written: its connection did not come up.
            asked.outcome, asked.detail, asked.not_accepted = "unanswered", repr(error), True
            asked.sent = asked.ended = monotonic()

    async def _send(self, asked: ClientRequest) -> None:
        link = await self._link()
        asked.sent = monotonic()
        function, unique = _FUNCTIONS[asked.kind, asked.job_class], b"k-" + asked.token.encode()
        link.writer.write(
            encode_packet(PacketType.SUBMIT_JOB, function, unique, request_body(asked), magic=REQUEST_MAGIC)
        )
        keep_open, handle = False, b""
        try:
            async with asyncio.timeout(asked.cancel_after or asked.timeout + asked.slack):
                while not asked.outcome:
                    kind, arguments = await link.packet()
                    if kind is PacketType.JOB_CREATED:
                        handle = arguments[0]
                        continue
                    if kind is PacketType.ERROR:
                        asked.outcome, asked.detail = "failed", repr(arguments)
                    elif arguments[0] != handle:
                        asked.answers += kind in (PacketType.WORK_COMPLETE, PacketType.WORK_FAIL)
                    elif kind is PacketType.WORK_WARNING:
                        asked.detail = arguments[1].decode()
                    elif kind is PacketType.WORK_EXCEPTION:
                        asked.detail = arguments[1].decode("utf-8", "replace")
                    elif kind is PacketType.WORK_COMPLETE:
                        asked.answers += 1
                        asked.outcome, asked.wrong = "served", check_result(asked, arguments[1])
                    elif kind is PacketType.WORK_FAIL:
                        asked.answers += 1
                        asked.outcome = (
                            "refused"
                            if asked.detail.startswith("retry-after")
                            else "unfit"
                            if asked.detail.startswith("hazard:")
                            else "failed"
                        )
                keep_open = True
        except TimeoutError:
            asked.outcome = "withdrawn" if asked.cancel_after else "unanswered"
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            asked.outcome, asked.detail = "unanswered", repr(error)
            asked.not_accepted = not handle
        asked.ended = monotonic()
        if keep_open:
            self._idle.append(link)
        else:
            with contextlib.suppress(OSError):
                link.writer.transport.abort()

    def close(self) -> None:
        for link in self._idle:
            link.writer.transport.abort()
