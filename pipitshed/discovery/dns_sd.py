"""Workers from DNS-SD records (RFC 6763): PTR names the instances, SRV, TXT and A describe them."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from dataclasses import dataclass

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
QUERY_TIMEOUT_S = 0.5
MAX_REFRESH_INTERVAL_S = 0.5  # also for long times to live: no job may reach a worker 1.5 s after its drain
MIN_REFRESH_INTERVAL_S = 0.1  # also for short times to live
REFRESH_TTL_FRACTION = 0.8  # of the records' time to live, after which they are queried again
_MAX_NUMBER = 1e15  # in a TXT record; a larger one is not a weight, cell or time

log = logging.getLogger("pipitshed")


class _QueryFailedError(Exception):
    """The name server did not answer, or answered with an error."""


@dataclass(frozen=True, slots=True)
class _Instance:
    """A service instance as its records describe it."""

    entry: CatalogEntry
    expires_at: float  # loop time


def _parse_txt(rrset: dns.rrset.RRset) -> dict[str, str]:
    """The key/value pairs of a TXT record.

    Keys are case-insensitive, and of a repeated key the first counts (RFC 6763, 6.4).
    """
    pairs: dict[str, str] = {}
    record = rrset[0]
    assert isinstance(record, dns.rdtypes.ANY.TXT.TXT)
    for text in record.strings:
        key, _, value = text.decode("utf-8", "replace").partition("=")
        if key:
            pairs.setdefault(key.lower(), value)
    return pairs


def _parse_float(text: str, default: float) -> float:
    try:
        value = float(text)
    except ValueError:
        return default
    return value if 0 <= value < _MAX_NUMBER else default


def _catalog_entry(
    name: dns.name.Name, host: str, port: int, srv_weight: int, txt: dict[str, str]
) -> CatalogEntry:
    return CatalogEntry(
        instance_id=name.to_text(),
        host_port=f"{host}:{port}",
        zone=txt.get("zone", ""),
        machine_type=txt.get("kind", ""),
        cell=int(_parse_float(txt.get("cell", ""), 0)),
        lifecycle=txt.get("state", "ready"),
        weight=_parse_float(txt.get("weight", ""), float(srv_weight) or 1.0),
        started_at_ms=_parse_float(txt.get("started", ""), 0.0),
        interface=int(_parse_float(txt.get("interface", ""), 0)),
    )


class DnsSdClient:
    """Browses one service at one name server, at intervals that follow its records' times to live."""

    def __init__(
        self,
        server: tuple[str, int],
        service: str,
        parser: EndpointParser,
        table: EndpointTable,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._server_host, self._server_port = server
        self._service = dns.name.from_text(service)
        self._parser = parser
        self._table = table
        self._loop = loop
        self._instances: dict[dns.name.Name, _Instance] = {}
        self._published: dict[dns.name.Name, CatalogEntry] = {}  # as in the endpoint table
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start browsing."""
        self._task = self._loop.create_task(self._run())

    def close(self) -> None:
        """Stop browsing; the endpoint table keeps its rows."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                ttl_s = await self._refresh()
            except Exception as error:  # a malformed record must not end the refreshes
                log.warning("dns-sd: %s: %s", type(error).__name__, error)
                ttl_s = MAX_REFRESH_INTERVAL_S
            interval_s = max(REFRESH_TTL_FRACTION * ttl_s, MIN_REFRESH_INTERVAL_S)
            await asyncio.sleep(min(interval_s, MAX_REFRESH_INTERVAL_S))

    async def _query(self, name: dns.name.Name, kind: dns.rdatatype.RdataType) -> dns.message.Message:
        query = dns.message.make_query(name, kind)
        try:
            response, _ = await dns.asyncquery.udp_with_fallback(
                query, self._server_host, QUERY_TIMEOUT_S, self._server_port
            )
        except (dns.exception.DNSException, OSError) as error:
            raise _QueryFailedError(str(error)) from None
        if response.rcode() not in (dns.rcode.NOERROR, dns.rcode.NXDOMAIN):
            raise _QueryFailedError(dns.rcode.to_text(response.rcode()))
        return response

    async def _records(self, name: dns.name.Name, kind: dns.rdatatype.RdataType) -> dns.rrset.RRset | None:
        """Return the records of a name; None if there are none, or their time to live of 0 withdraws them."""
        response = await self._query(name, kind)
        records = response.get_rrset(dns.message.ANSWER, name, dns.rdataclass.IN, kind)
        return records if records is not None and records.ttl > 0 else None

    async def _refresh(self) -> float:
        """Browse once, and publish the changes; return the shortest time to live (s) of the records."""
        now = self._loop.time()
        try:
            pointers = await self._records(self._service, dns.rdatatype.PTR)
        except _QueryFailedError:
            # A failed query says nothing about the instances: each stays until its records expire.
            self._instances = {
                name: instance for name, instance in self._instances.items() if instance.expires_at > now
            }
            self._publish()
            return MIN_REFRESH_INTERVAL_S
        ttls_s = [float(pointers.ttl)] if pointers is not None else []
        names = [record.target for record in pointers] if pointers is not None else []
        resolved = await asyncio.gather(*(self._resolve(name) for name in names))
        self._instances = {
            name: instance
            for name, instance in zip(names, resolved, strict=True)
            if instance is not None and instance.expires_at > now
        }
        ttls_s += [instance.expires_at - now for instance in self._instances.values()]
        self._publish()
        return min(ttls_s, default=MAX_REFRESH_INTERVAL_S)

    async def _resolve(self, name: dns.name.Name) -> _Instance | None:
        """Return an instance from its SRV, TXT and A records; the last known one if a query fails."""
        try:
            srv, txt = await asyncio.gather(
                self._records(name, dns.rdatatype.SRV), self._records(name, dns.rdatatype.TXT)
            )
            if srv is None:
                return None
            service = min(srv, key=lambda record: record.priority)
            addresses = await self._records(service.target, dns.rdatatype.A)
        except _QueryFailedError:
            return self._instances.get(name)
        if addresses is None:
            return None
        pairs = _parse_txt(txt) if txt is not None else {}
        entry = _catalog_entry(name, addresses[0].to_text(), service.port, service.weight, pairs)
        ttl_s = min(srv.ttl, addresses.ttl, txt.ttl if txt is not None else srv.ttl)
        return _Instance(entry, self._loop.time() + ttl_s)

    def _publish(self) -> None:
        """Update the endpoint table with the entries that have changed or disappeared."""
        before = self._published
        current = {name: instance.entry for name, instance in self._instances.items()}
        if current == before:
            return
        self._published = current
        changed = [entry for name, entry in current.items() if entry != before.get(name)]
        changed += [
            msgspec.structs.replace(entry, lifecycle="gone")
            for name, entry in before.items()
            if name not in current
        ]
        rows: list[EndpointRow] = []
        for entry in changed:
            with contextlib.suppress(ValueError):
                rows.append(self._parser.row(entry))
        self._table.update(SOURCE, UpdateKind.DELTA, 0, rows)
