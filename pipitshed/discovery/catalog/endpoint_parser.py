"""Converts the entries of a discovery source to rows of the endpoint table."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from pipitshed.discovery.catalog.update_parser import CatalogEntry
from pipitshed.protocols.address import parse_address
from pipitshed.proxy.endpoint_table import EndpointRow
from pipitshed.proxy.worker_client import Endpoint, WorkerClient
from pipitshed.scheduling.events import (
    UNKNOWN_CELL,
    UNKNOWN_START_MS,
    UNKNOWN_ZONE,
    EndpointEntry,
    EndpointState,
    WorkerId,
)

_STATES = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING, "gone": EndpointState.REMOVED}
_DEFAULT_INTERFACE = 1
_DEFAULT_WEIGHT = 1.0
MAX_NAMES = 4096  # of zones, or of kinds of machine
MAX_NAME_CHARS = 256
OVERFLOW_INDEX = 1_000_000  # shared by the names beyond the bound


class NameIndex:
    """Assigns numbers to names: first to those of the settings, then to others as they appear.

    A number is never given to another name, so the count of names is bounded: discovery may list workers
    under ever new ones.
    """

    def __init__(self, names: list[str], overflow: int = OVERFLOW_INDEX) -> None:
        self._indexes = {name: index for index, name in enumerate(names)}
        self._overflow = overflow

    def index(self, name: str) -> int:
        """Return the number of a name; a new name gets the next number, or the overflow beyond the bound."""
        known = self._indexes.get(name)
        if known is not None:
            return known
        if len(self._indexes) >= MAX_NAMES or len(name) > MAX_NAME_CHARS:
            return self._overflow
        return self._indexes.setdefault(name, len(self._indexes))


class InterfaceResolver(Protocol):
    """Determines a worker's interface, where the workers use more than one."""

    def choose(self, source: str, entry: CatalogEntry, parser: EndpointParser) -> tuple[int, WorkerClient]:
        """Return the worker's interface, 0 while it is being probed, and the client for its attempts."""


def _never_listed(_source: str, _worker: WorkerId) -> EndpointEntry | None:
    return None


class EndpointParser:
    """Turns the entries of one source into rows of the endpoint table.

    A field that an entry does not state, or states with an invalid value, keeps its last known value. One
    that was never known stays unknown: the worker is then in no zone and no cell of other workers. A worker
    whose state was never stated is ready, as it is listed.

    Args:
        source: The source's name in the endpoint table.
        zones: The numbers of the zones.
        machine_types: The numbers of the kinds of machine.
        worker_client: The client for attempts at workers of the default interface.
        interface_resolver: Determines the workers' interfaces; None where all use the default one.
        last_known: Returns what a source last said of a worker; None where nothing is known of it.
    """

    def __init__(
        self,
        source: str,
        zones: NameIndex,
        machine_types: NameIndex,
        worker_client: WorkerClient,
        interface_resolver: InterfaceResolver | None = None,
        last_known: Callable[[str, WorkerId], EndpointEntry | None] = _never_listed,
    ) -> None:
        self.source = source
        self.interface_resolver = interface_resolver
        self._zones = zones
        self._machine_types = machine_types
        self._worker_client = worker_client
        self._last_known = last_known

    def row(self, entry: CatalogEntry) -> EndpointRow:
        """Return the table's row for one entry; ValueError if its address can't be parsed."""
        address = parse_address(entry.host_port)
        worker = entry.instance_id.encode()
        interface, worker_client = _DEFAULT_INTERFACE, self._worker_client
        if self.interface_resolver is not None:
            interface, worker_client = self.interface_resolver.choose(self.source, entry, self)
        # A worker whose interface is not known yet gets no job of any class.
        job_classes = frozenset[int]() if interface == 0 else None
        known = self._last_known(self.source, worker)
        scheduling_entry = EndpointEntry(
            worker,
            self._zone(entry, known),
            _cell(entry, known),
            self._kind(entry, known),
            _weight(entry, known),
            _started_at_ms(entry, known),
            _state(entry, known),
            job_classes,
            interface,
        )
        endpoint = Endpoint(worker, worker_client, address, interface)
        return scheduling_entry, endpoint

    def _zone(self, entry: CatalogEntry, known: EndpointEntry | None) -> int:
        if entry.zone:
            return self._zones.index(entry.zone)
        return known.zone if known is not None else UNKNOWN_ZONE

    def _kind(self, entry: CatalogEntry, known: EndpointEntry | None) -> int:
        if entry.machine_type or known is None:
            return self._machine_types.index(entry.machine_type or "")
        return known.worker_kind


def _cell(entry: CatalogEntry, known: EndpointEntry | None) -> int:
    if entry.cell is not None and entry.cell >= 0:
        return entry.cell
    return known.cell if known is not None else UNKNOWN_CELL


def _weight(entry: CatalogEntry, known: EndpointEntry | None) -> float:
    if entry.weight is not None and entry.weight >= 0:
        return entry.weight
    return known.weight if known is not None else _DEFAULT_WEIGHT


def _started_at_ms(entry: CatalogEntry, known: EndpointEntry | None) -> float:
    if entry.started_at_ms is not None and entry.started_at_ms >= 0:
        return entry.started_at_ms
    return known.started_at_ms if known is not None else UNKNOWN_START_MS


def _state(entry: CatalogEntry, known: EndpointEntry | None) -> EndpointState:
    """The worker's state; one that is not understood keeps jobs away."""
    if entry.lifecycle:
        return _STATES.get(entry.lifecycle, EndpointState.DRAINING)
    if known is None or known.state is EndpointState.REMOVED or _has_restarted(entry, known):
        return EndpointState.READY
    return known.state


def _has_restarted(entry: CatalogEntry, known: EndpointEntry) -> bool:
    """Whether an entry states a later start than the known one; a known state was that of another process."""
    started_at_ms = entry.started_at_ms
    return started_at_ms is not None and started_at_ms > known.started_at_ms > UNKNOWN_START_MS
