"""Determines each worker's interface: from its entry or the settings, else by one probe per worker start.

This module does no I/O: its `probe` callback does, for at most `MAX_CONCURRENT_PROBES` workers at a time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec

from pipitshed.discovery.catalog import CatalogEntry, EndpointParser
from pipitshed.protocols.address import Address, parse_address
from pipitshed.proxy.endpoint_table import EndpointTable
from pipitshed.proxy.worker_client import WorkerClient
from pipitshed.scheduling.events import UNKNOWN_START_MS, UpdateKind, WorkerId

MAX_CONCURRENT_PROBES = 8  # so that many workers that start together do not cause a burst of connections
FIRST_RETRY_DELAY_S = 0.25  # after a failed probe; doubles with each further one
MAX_RETRY_DELAY_S = 4.0
DRAIN_CHECK_DELAY_S = 2.0  # from a worker's drain notice to a probe whether it accepts connections

_UNKNOWN = 0  # not an interface: the worker is being probed
_DEFAULT_INTERFACE = 1


@dataclass(slots=True)
class _KnownWorker:
    """The state of one worker since its last start.

    Attributes:
        entry: The last entry, with the interface and start time that the worker's entries stated last.
        detected: The interface that a probe found.
    """

    entry: CatalogEntry
    source: str
    parser: EndpointParser
    detected: int = _UNKNOWN
    is_probing: bool = False
    failed_probes: int = 0

    @property
    def address(self) -> Address:
        return parse_address(self.entry.host_port)

    def is_same_start(self, entry: CatalogEntry) -> bool:
        """Whether an entry is for the known process, not for one started later or at another address.

        An entry without a start time does not show that there was another start.
        """
        if entry.host_port != self.entry.host_port:
            return False
        return None in (entry.started_at_ms, self.entry.started_at_ms) or (
            entry.started_at_ms == self.entry.started_at_ms
        )

    def update(self, entry: CatalogEntry, source: str, parser: EndpointParser) -> None:
        """Take in a further entry for the same process."""
        started_at_ms, interface = entry.started_at_ms, entry.interface
        self.entry = msgspec.structs.replace(
            entry,
            started_at_ms=self.entry.started_at_ms if started_at_ms is None else started_at_ms,
            interface=self.entry.interface if interface is None else interface,
        )
        self.source, self.parser = source, parser


def _stated_start_ms(started_at_ms: float) -> float | None:
    return None if started_at_ms == UNKNOWN_START_MS else started_at_ms


class InterfaceRegistry:
    """The interfaces of all listed workers."""

    def __init__(
        self,
        table: EndpointTable,
        worker_clients: Mapping[int, WorkerClient],
        configured: Mapping[str, int],
        default: int,
        probe: Callable[[WorkerId, Address], None],
        call_later: Callable[[float, Callable[[], None]], object],
    ) -> None:
        self._table = table
        self._worker_clients = worker_clients  # by interface
        self._configured = configured  # by instance id
        self._default = default  # 0: probe
        self._probe = probe
        self._call_later = call_later
        self._known: dict[WorkerId, _KnownWorker] = {}
        self._probe_queue: deque[WorkerId] = deque()
        self._active_probes = 0

    def choose(self, source: str, entry: CatalogEntry, parser: EndpointParser) -> tuple[int, WorkerClient]:
        """Return a worker's interface, 0 while it is being probed, and the client for its attempts."""
        worker = entry.instance_id.encode()
        known = self._known.get(worker)
        if entry.lifecycle == "gone":
            self._known.pop(worker, None)
        elif known is None:
            entry = self._with_removed_interface(source, entry)
            known = self._known[worker] = _KnownWorker(entry, source, parser)
        elif not known.is_same_start(entry):
            known = self._known[worker] = _KnownWorker(entry, source, parser)
        else:
            known.update(entry, source, parser)
        interface = self._interface(entry if known is None else known.entry, known)
        if interface == _UNKNOWN and known is not None:
            self._request_probe(worker, known)
        return interface, self._worker_clients[interface or _DEFAULT_INTERFACE]

    def _with_removed_interface(self, source: str, entry: CatalogEntry) -> CatalogEntry:
        """The entry of a worker that is listed again; its last interface is added if it states none.

        This holds for the same address and start. If another process is there, its first answer shows it.
        """
        worker = entry.instance_id.encode()
        known, endpoint = self._table.last_known(source, worker), self._table.endpoint(worker)
        if entry.interface is not None or known is None or endpoint is None:
            return entry
        is_same_start = entry.started_at_ms in (None, _stated_start_ms(known.started_at_ms))
        if not is_same_start or endpoint.address != parse_address(entry.host_port):
            return entry
        return msgspec.structs.replace(
            entry, interface=known.interface, started_at_ms=_stated_start_ms(known.started_at_ms)
        )

    def _interface(self, entry: CatalogEntry, known: _KnownWorker | None) -> int:
        # A detected interface takes precedence: there is one only if none was given, or the entry was wrong.
        detected = known.detected if known is not None else _UNKNOWN
        if entry.interface is not None and entry.interface in self._worker_clients:
            return detected or entry.interface
        return detected or self._configured.get(entry.instance_id, 0) or self._default

    def forget(self, worker: WorkerId) -> None:
        """Remove a worker that has been absent from the list for a while, without a `gone` entry."""
        self._known.pop(worker, None)

    # ---- probes

    def _request_probe(self, worker: WorkerId, known: _KnownWorker) -> None:
        if not known.is_probing and known.entry.lifecycle != "gone":
            known.is_probing = True
            self._probe_queue.append(worker)
            self._start_probes()

    def _start_probes(self) -> None:
        while self._probe_queue and self._active_probes < MAX_CONCURRENT_PROBES:
            worker = self._probe_queue.popleft()
            known = self._known.get(worker)
            if known is not None:
                self._active_probes += 1
                self._probe(worker, known.address)

    def detected(self, worker: WorkerId, address: Address, interface: int) -> None:
        """Handle the end of a probe; `interface` is 0 if it failed, or the worker is stopping."""
        self._active_probes -= 1
        known = self._known.get(worker)
        if known is not None:
            has_moved = address != known.address  # since the probe began
            known.is_probing = False
            if has_moved:
                self._request_probe(worker, known)
            elif interface:
                known.detected, known.failed_probes = interface, 0
                self._table.clear_draining(worker)
                self._update_row(known)
            else:
                self._retry_probe(worker, known)
        self._start_probes()

    def _retry_probe(self, worker: WorkerId, known: _KnownWorker) -> None:
        delay_s = min(MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2.0**known.failed_probes)
        known.failed_probes += 1
        self._call_later(delay_s, lambda: self._probe_again(worker, known))

    def _probe_again(self, worker: WorkerId, known: _KnownWorker) -> None:
        is_needed = self._interface(known.entry, known) == _UNKNOWN or self._table.is_marked_draining(worker)
        if self._known.get(worker) is known and is_needed:
            self._request_probe(worker, known)

    def _update_row(self, known: _KnownWorker) -> None:
        self._table.update(known.source, UpdateKind.DELTA, 0, [known.parser.row(known.entry)])

    # ---- reports from worker clients

    def mismatched(self, worker: WorkerId) -> None:
        """Handle an answer in another interface than the worker's entry says.

        The worker gets no further jobs until a probe has detected its interface, unless the settings give it.
        """
        known = self._known.get(worker)
        if known is None or known.is_probing:
            return
        known.detected = _UNKNOWN
        known.entry = msgspec.structs.replace(known.entry, interface=_UNKNOWN)
        self._request_probe(worker, known)
        row = known.parser.row(known.entry)
        scheduling_entry, _ = row
        if scheduling_entry.interface == _UNKNOWN:
            self._table.update(known.source, UpdateKind.DELTA, 0, [row])

    def drain_announced(self, worker: WorkerId) -> None:
        """Handle a worker's own notice that it is draining.

        Its next start ends the drain. Where its source does not report starts, the drain ends when the worker
        accepts connections without sending a notice.
        """
        self._table.mark_draining(worker)
        if self._table.is_marked_draining(worker):
            self._call_later(DRAIN_CHECK_DELAY_S, lambda: self._check_drain(worker))

    def _check_drain(self, worker: WorkerId) -> None:
        known = self._known.get(worker)
        if known is not None and self._table.is_marked_draining(worker):
            self._request_probe(worker, known)
