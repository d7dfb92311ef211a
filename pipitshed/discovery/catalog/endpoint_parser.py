"""Converts the entries of a discovery source to rows of the endpoint table."""

from __future__ import annotations

from typing import Protocol

from pipitshed.discovery.catalog.update_parser import CatalogEntry
from pipitshed.protocols.address import parse_address
from pipitshed.proxy.endpoint_table import EndpointRow
from pipitshed.proxy.worker_client import Endpoint, WorkerClient
from pipitshed.scheduling.events import UNKNOWN_ZONE, EndpointEntry, EndpointState

_STATES = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING, "gone": EndpointState.REMOVED}
_DEFAULT_INTERFACE = 1
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


class EndpointParser:
    """Turns the entries of one source into rows of the endpoint table."""

    def __init__(
        self,
        source: str,
        zones: NameIndex,
        machine_types: NameIndex,
        worker_client: WorkerClient,
        interface_resolver: InterfaceResolver | None = None,
    ) -> None:
        self.source = source
        self.interface_resolver = interface_resolver
        self._zones = zones
        self._machine_types = machine_types
        self._worker_client = worker_client

    def row(self, entry: CatalogEntry) -> EndpointRow:
        """Return the table's row for one entry; ValueError if its address can't be parsed."""
        address = parse_address(entry.host_port)
        worker = entry.instance_id.encode()
        interface, worker_client = _DEFAULT_INTERFACE, self._worker_client
        if self.interface_resolver is not None:
            interface, worker_client = self.interface_resolver.choose(self.source, entry, self)
        # A worker whose interface is not known yet gets no job of any class.
        job_classes = frozenset[int]() if interface == 0 else None
        scheduling_entry = EndpointEntry(
            worker,
            self._zones.index(entry.zone) if entry.zone else UNKNOWN_ZONE,
            entry.cell,
            self._machine_types.index(entry.machine_type),
            entry.weight,
            entry.started_at_ms,
            _STATES.get(entry.lifecycle, EndpointState.DRAINING),
            job_classes,
            interface,
        )
        endpoint = Endpoint(worker, worker_client, address, interface)
        return scheduling_entry, endpoint
