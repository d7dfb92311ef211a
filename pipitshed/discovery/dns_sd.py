"""Workers from DNS-SD records (RFC 6763): PTR names the instances, SRV, TXT and A describe them."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import dns.asyncquery
import dns.exception
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
import dns.rrset
import msgspec

from pipitshed.discovery.catalog import CatalogEntry, EndpointParser
from pipitshed.discovery.dns_records import STATE_KEY, instance_entry, parse_txt, with_known_fields
from pipitshed.proxy.endpoint_table import EndpointRow, EndpointTable
from pipitshed.scheduling.events import UpdateKind

SOURCE = "dns-sd"
QUERY_TIMEOUT_S = 0.5
MAX_REFRESH_INTERVAL_S = 0.5  # also for long times to live: no job may reach a worker 1.5 s after its drain
PARTIAL_PUBLISH_S = 0.1  # after which the instances whose queries are answered are published
MIN_REFRESH_INTERVAL_S = 0.1  # also for short times to live
REFRESH_TTL_FRACTION = 0.8  # of the records' time to live, after which they are queried again
READY = "ready"

log = logging.getLogger("pipitshed")


@dataclass(frozen=True, slots=True)
class _Lookup:
    """The result of one query.

    Attributes:
        is_answered: Whether the name server answered; if not, the query says nothing about the records.
        records: None where the answer has none, or their time to live of 0 withdraws them.
    """

    is_answered: bool
    records: dns.rrset.RRset | None = None


@dataclass(frozen=True, slots=True)
class _Location:
    """Where an instance is by its SRV and A records."""

    host_port: str
    srv_weight: int
    expires_at: float  # loop time


_UNANSWERED = _Location("", 0, 0.0)  # a query for the SRV or A records had no answer


@dataclass(frozen=True, slots=True)
class _Instance:
    """A service instance as its records describe it.

    Attributes:
        entry: With the fields that its TXT record states, or has stated since the instance is listed.
        omits_state: Whether its last TXT record had no key for the state.
        srv_weight: The weight of its SRV record.
        expires_at: The loop time at which its records expire.
    """

    entry: CatalogEntry
    omits_state: bool
    srv_weight: int
    expires_at: float

    @property
    def location(self) -> _Location:
        """Where the instance is, by its last records."""
        return _Location(self.entry.host_port, self.srv_weight, self.expires_at)

    @property
    def is_ready(self) -> bool:
        """Whether the instance is ready by its records; one that has never stated a state is."""
        return self.entry.lifecycle in (None, READY)

    @property
    def may_be_ready(self) -> bool:
        """Whether the instance has stated that it is not ready, and its TXT record no longer does."""
        return self.omits_state and not self.is_ready


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
            started_at = self._loop.time()
            try:
                ttl_s = await self._refresh()
            except Exception as error:  # a malformed record must not end the refreshes
                log.warning("dns-sd: %s: %s", type(error).__name__, error)
                ttl_s = MAX_REFRESH_INTERVAL_S
            interval_s = min(REFRESH_TTL_FRACTION * ttl_s, MAX_REFRESH_INTERVAL_S)
            elapsed_s = self._loop.time() - started_at
            await asyncio.sleep(max(interval_s - elapsed_s, MIN_REFRESH_INTERVAL_S))

    async def _lookup(self, name: dns.name.Name, kind: dns.rdatatype.RdataType) -> _Lookup:
        """Query the records of a name; a server that can't be reached or reports an error does not answer."""
        query = dns.message.make_query(name, kind)
        try:
            response, _ = await dns.asyncquery.udp_with_fallback(
                query, self._server_host, QUERY_TIMEOUT_S, self._server_port
            )
        except (dns.exception.DNSException, OSError):
            return _Lookup(False)
        if response.rcode() not in (dns.rcode.NOERROR, dns.rcode.NXDOMAIN):
            return _Lookup(False)
        records = response.get_rrset(dns.message.ANSWER, name, dns.rdataclass.IN, kind)
        return _Lookup(True, records if records is not None and records.ttl > 0 else None)

    async def _refresh(self) -> float:
        """Browse once, and publish the changes; return the shortest time to live (s) of the records."""
        now = self._loop.time()
        pointers = await self._lookup(self._service, dns.rdatatype.PTR)
        if not pointers.is_answered:
            # A failed query says nothing about the instances: each stays until its records expire.
            self._instances = {
                name: instance for name, instance in self._instances.items() if instance.expires_at > now
            }
            self._publish()
            return MIN_REFRESH_INTERVAL_S
        records = pointers.records
        ttls_s = [float(records.ttl)] if records is not None else []
        names = [record.target for record in records] if records is not None else []
        await self._resolve_all(names)
        ttls_s += [instance.expires_at - now for instance in self._instances.values()]
        return min(ttls_s, default=MAX_REFRESH_INTERVAL_S)

    async def _resolve_all(self, names: Sequence[dns.name.Name]) -> None:
        """Resolve these instances, and publish them; a query without an answer delays no other instance.

        The first ones are published together: others that appear later count as just started.
        """
        tasks = {name: self._loop.create_task(self._resolve(name)) for name in names}
        try:
            if tasks:
                timeout_s = PARTIAL_PUBLISH_S if self._published else None
                await asyncio.wait(tasks.values(), timeout=timeout_s)
            self._apply_resolved(tasks)
            if any(not task.done() for task in tasks.values()):
                await asyncio.wait(tasks.values())
                self._apply_resolved(tasks)
        finally:
            for task in tasks.values():
                task.cancel()

    def _apply_resolved(self, tasks: Mapping[dns.name.Name, asyncio.Task[_Instance | None]]) -> None:
        """Publish the instances that are resolved, and the others as they are known."""
        now = self._loop.time()
        current = {name: self._resolved(name, task) for name, task in tasks.items()}
        self._instances = {
            name: instance
            for name, instance in current.items()
            if instance is not None and instance.expires_at > now
        }
        self._publish()

    def _resolved(self, name: dns.name.Name, task: asyncio.Task[_Instance | None]) -> _Instance | None:
        """The result of `_resolve`, or the instance as it is known while there is none or that has failed."""
        if not task.done():
            return self._instances.get(name)
        error = task.exception()
        if error is None:
            return task.result()
        log.warning("dns-sd: %s: %s: %s", name, type(error).__name__, error)  # of a malformed record
        return self._instances.get(name)

    async def _resolve(self, name: dns.name.Name) -> _Instance | None:
        """Return an instance from its SRV, TXT and A records; None if it has no address.

        A TXT record that is missing, or whose query fails, changes nothing of a known instance. An instance
        of which nothing is known is not listed before a query for its TXT record is answered.
        """
        location, txt = await asyncio.gather(self._locate(name), self._read_txt(name))
        known = self._instances.get(name)
        if location is _UNANSWERED and known is not None:
            location = known.location
        if location is None or location is _UNANSWERED:
            return None
        if not txt.is_answered and known is None and not self._is_remembered(name):
            return None
        return _instance(name, location, txt, known, self._loop.time())

    async def _read_txt(self, name: dns.name.Name) -> _Lookup:
        """Query the TXT record; what it states of a known instance counts before its address is looked up."""
        txt = await self._lookup(name, dns.rdatatype.TXT)
        known = self._instances.get(name)
        if known is not None:
            self._instances[name] = _instance(name, known.location, txt, known, self._loop.time())
        return txt

    async def _locate(self, name: dns.name.Name) -> _Location | None:
        """Return an instance's address from its SRV and A records; None if it has none."""
        services = await self._lookup(name, dns.rdatatype.SRV)
        if services.records is None:
            return None if services.is_answered else _UNANSWERED
        service = min(services.records, key=lambda record: record.priority)
        addresses = await self._lookup(service.target, dns.rdatatype.A)
        if addresses.records is None:
            return None if addresses.is_answered else _UNANSWERED
        expires_at = self._loop.time() + min(services.records.ttl, addresses.records.ttl)
        return _Location(f"{addresses.records[0].to_text()}:{service.port}", service.weight, expires_at)

    def _is_remembered(self, name: dns.name.Name) -> bool:
        """Whether the endpoint table still knows an instance that was withdrawn."""
        return self._table.last_known(SOURCE, name.to_text().encode()) is not None

    def _publish(self) -> None:
        """Update the endpoint table with the entries that have changed or disappeared."""
        before = self._published
        current = _listed_entries(self._instances)
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


def _instance(
    name: dns.name.Name, location: _Location, txt: _Lookup, known: _Instance | None, now: float
) -> _Instance:
    """An instance from its records, and from what was known of it where its TXT record states less."""
    pairs = parse_txt(txt.records) if txt.records is not None else {}
    entry = instance_entry(name, location.host_port, pairs)
    srv_weight, expires_at = location.srv_weight, location.expires_at
    if txt.records is not None:
        expires_at = min(expires_at, now + txt.records.ttl)
    if entry.weight is None and srv_weight and (known is None or srv_weight != known.srv_weight):
        entry.weight = float(srv_weight)
    omits_state = STATE_KEY not in pairs
    if txt.records is None:
        omits_state = known is not None and known.omits_state
    elif known is None and omits_state:
        entry.lifecycle = READY  # a state that was known before the instance was withdrawn has ended
    if known is not None:
        entry = with_known_fields(entry, known.entry)
        entry.instance_id = known.entry.instance_id  # names that differ in case are equal
    return _Instance(entry, omits_state, srv_weight, expires_at)


def _listed_entries(instances: Mapping[dns.name.Name, _Instance]) -> dict[dns.name.Name, CatalogEntry]:
    """The entries of all instances, with a decision on those that may be ready.

    An instance that has said it drains, and whose TXT record names no state now, gets no jobs while at least
    as many others are ready. Beyond that they are taken as ready: where most instances are like this, their
    records do not tell the end of a drain.
    """
    ready_count = sum(instance.is_ready for instance in instances.values())
    doubtful_count = sum(instance.may_be_ready for instance in instances.values())
    return {
        name: msgspec.structs.replace(instance.entry, lifecycle=READY)
        if instance.may_be_ready and doubtful_count > ready_count
        else instance.entry
        for name, instance in instances.items()
    }
