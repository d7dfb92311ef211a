"""DNS-SD records (RFC 6763) in the route table: PTR names the instances, SRV and TXT say what they are."""

from __future__ import annotations

import asyncio
import contextlib
import logging

import dns.asyncquery
import dns.exception
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
import dns.rdtypes.ANY.TXT
import dns.rrset
import msgspec

from pipitshed.discovery.catalog import CatalogEntry, EndpointParser
from pipitshed.proxy.endpoint_table import EndpointRow, EndpointTable
from pipitshed.scheduling.events import UpdateKind

SOURCE = "dns-sd"
ASK_TIMEOUT = 0.5  # s for one question
LONGEST = 0.5  # s between refreshes however long the records live: drains are kept from 1.5 s on
SHORTEST = 0.1  # s, however briefly they live
REFRESH_PART = 0.8  # of the time to live after which records are asked for again

log = logging.getLogger("pipitshed")


class _NoAnswerError(Exception):
    """The server did not answer, or said that it could not."""


def _txt(rrset: dns.rrset.RRset) -> dict[str, str]:
    """The TXT record's pairs; of a repeated name the first counts, and names have no case (RFC 6763)."""
    pairs: dict[str, str] = {}
    record = rrset[0]
    assert isinstance(record, dns.rdtypes.ANY.TXT.TXT)
    for text in record.strings:
        name, _, value = text.decode("utf-8", "replace").partition("=")
        if name:
            pairs.setdefault(name.lower(), value)
    return pairs


def _float(text: str, default: float) -> float:
    try:
        value = float(text)
    except ValueError:
        return default
    return value if 0 <= value < 1e15 else default


class DnsSdClient:
    """Browses one service at one name server, and asks again as the records' times to live say."""

    def __init__(
        self,
        server: tuple[str, int],
        service: str,
        listing: EndpointParser,
        table: EndpointTable,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._server = server
        self._service = dns.name.from_text(service)
        self._listing = listing
        self._table = table
        self._loop = loop
        self._instances: dict[dns.name.Name, tuple[CatalogEntry, float]] = {}  # and until when it may stand
        self._told: dict[dns.name.Name, CatalogEntry] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = self._loop.create_task(self._run())

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                lives = await self._refresh()
            except Exception as error:  # whatever a record holds, the table is kept fresh
                log.warning("dns-sd: %s: %s", type(error).__name__, error)
                lives = LONGEST
            await asyncio.sleep(min(max(REFRESH_PART * lives, SHORTEST), LONGEST))

    async def _ask(self, name: dns.name.Name, kind: dns.rdatatype.RdataType) -> dns.message.Message:
        query = dns.message.make_query(name, kind)
        try:
            answer, _ = await dns.asyncquery.udp_with_fallback(
                query, self._server[0], ASK_TIMEOUT, self._server[1]
            )
        except (dns.exception.DNSException, OSError) as error:
            raise _NoAnswerError(str(error)) from None
        if answer.rcode() not in (dns.rcode.NOERROR, dns.rcode.NXDOMAIN):
            raise _NoAnswerError(dns.rcode.to_text(answer.rcode()))
        return answer

    async def _records(self, name: dns.name.Name, kind: dns.rdatatype.RdataType) -> dns.rrset.RRset | None:
        """The records of one name; None where there are none, or they say goodbye (a life of 0)."""
        answer = await self._ask(name, kind)
        found = answer.get_rrset(dns.message.ANSWER, name, dns.rdataclass.IN, kind)
        return found if found is not None and found.ttl > 0 else None

    async def _refresh(self) -> float:
        """Browse once; the shortest life of what was found."""
        now = self._loop.time()
        try:
            browsed = await self._records(self._service, dns.rdatatype.PTR)
        except _NoAnswerError:
            # No word is no news: what is known stands until its own life is over.
            self._instances = {name: held for name, held in self._instances.items() if held[1] > now}
            self._tell()
            return SHORTEST
        lives = [float(browsed.ttl)] if browsed is not None else []
        names = [record.target for record in browsed] if browsed is not None else []
        found = await asyncio.gather(*(self._instance(name) for name in names))
        self._instances = {
            name: held for name, held in zip(names, found, strict=True) if held is not None and held[1] > now
        }
        lives += [held[1] - now for held in self._instances.values()]
        self._tell()
        return min(lives, default=LONGEST)

    async def _instance(self, name: dns.name.Name) -> tuple[CatalogEntry, float] | None:
        """One instance's SRV, TXT and address; what is known of it where the server gives no answer."""
        try:
            srv, txt = await asyncio.gather(
                self._records(name, dns.rdatatype.SRV), self._records(name, dns.rdatatype.TXT)
            )
            if srv is None:
                return None
            record = min(srv, key=lambda one: one.priority)
            address = await self._records(record.target, dns.rdatatype.A)
        except _NoAnswerError:
            return self._instances.get(name)
        if address is None:
            return None
        pairs = _txt(txt) if txt is not None else {}
        instance = CatalogEntry(
            name.to_text(),
            f"{address[0].to_text()}:{record.port}",
            pairs.get("zone", ""),
            pairs.get("kind", ""),
            int(_float(pairs.get("cell", ""), 0)),
            pairs.get("state", "ready"),
            _float(pairs.get("weight", ""), float(record.weight) or 1.0),
            _float(pairs.get("started", ""), 0.0),
            int(_float(pairs.get("interface", ""), 0)),
        )
        life = min(srv.ttl, address.ttl, txt.ttl if txt is not None else srv.ttl)
        return instance, self._loop.time() + life

    def _tell(self) -> None:
        """Fill the route table where anything has changed."""
        before, told = self._told, {name: held[0] for name, held in self._instances.items()}
        if told == before:
            return
        self._told = told
        changed = [instance for name, instance in told.items() if instance != before.get(name)]
        changed += [
            msgspec.structs.replace(instance, lifecycle="gone")
            for name, instance in before.items()
            if name not in told
        ]
        lines: list[EndpointRow] = []
        for instance in changed:
            with contextlib.suppress(ValueError):
                lines.append(self._listing.row(instance))
        self._table.update(SOURCE, UpdateKind.DELTA, 0, lines)
