"""Which interface each planner speaks: told by its row or by settings, else found out once per start.

No I/O: what finds it out is asked by `sound`, at most `AT_ONCE` planners at a time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from pipitshed.discovery.catalog import CatalogEntry, EndpointParser
from pipitshed.protocols.address import parse_address
from pipitshed.proxy.endpoint_table import EndpointTable
from pipitshed.proxy.request import WorkerClient
from pipitshed.scheduling.events import UpdateKind, WorkerId

AT_ONCE = 8  # planners asked at the same time: a wide fleet that starts together is not met by a storm
FIRST_WAIT = 0.25  # s after a planner that could not be asked, doubling
LONGEST_WAIT = 4.0  # s
CLEAN = 2.0  # s after a planner's own word of a drain before it is asked whether it takes connections again

Address = tuple[str, int]


@dataclass(slots=True)
class _Known:
    """What is known of one planner."""

    item: CatalogEntry
    source: str
    listing: EndpointParser
    interface: int = 0  # found out, for this start
    asking: bool = False
    failures: int = 0


class InterfaceRegistry:
    """The interfaces of all listed planners."""

    def __init__(
        self,
        table: EndpointTable,
        carriers: Mapping[int, WorkerClient],
        told: Mapping[str, int],
        default: int,
        sound: Callable[[WorkerId, Address], None],
        later: Callable[[float, Callable[[], None]], object],
    ) -> None:
        self._table = table
        self._carriers = carriers
        self._told = told  # by instance id
        self._default = default  # 0: to be found out
        self._sound = sound
        self._later = later
        self._known: dict[WorkerId, _Known] = {}
        self._queue: deque[WorkerId] = deque()
        self._out = 0

    def choose(self, source: str, item: CatalogEntry, listing: EndpointParser) -> tuple[int, WorkerClient]:
        """The interface of one row, 0 while it is being found out, and what carries attempts to it."""
        worker = item.instance_id.encode()
        known = self._known.get(worker)
        if item.lifecycle == "gone":
            self._known.pop(worker, None)
        elif known is None or (item.started_at_ms, item.host_port) != (
            known.item.started_at_ms,
            known.item.host_port,
        ):
            known = self._known[worker] = _Known(item, source, listing)
        else:
            known.item, known.source, known.listing = item, source, listing
        interface = self._of(item, known)
        if interface == 0 and known is not None:
            self._ask(worker, known)
        return interface, self._carriers[interface or 1]

    def _of(self, item: CatalogEntry, known: _Known | None) -> int:
        found = known.interface if known is not None else 0
        if item.interface in self._carriers:
            # The row speaks for the planner, unless that has just been seen to be wrong.
            return found or item.interface
        return found or self._told.get(item.instance_id, 0) or self._default

    def forget(self, worker: WorkerId) -> None:
        """The planner left the list a while ago, where its source did not say so itself."""
        self._known.pop(worker, None)

    # ---- finding out

    def _ask(self, worker: WorkerId, known: _Known) -> None:
        if not known.asking and known.item.lifecycle != "gone":
            known.asking = True
            self._queue.append(worker)
            self._next()

    def _next(self) -> None:
        while self._queue and self._out < AT_ONCE:
            worker = self._queue.popleft()
            known = self._known.get(worker)
            if known is not None:
                self._out += 1
                self._sound(worker, parse_address(known.item.host_port))

    def detected(self, worker: WorkerId, address: Address, interface: int) -> None:
        """The answer for one planner; 0 where it could not be asked, or is about to leave."""
        self._out -= 1
        known = self._known.get(worker)
        if known is not None and address == parse_address(known.item.host_port):
            known.asking = False
            if interface:
                known.interface, known.failures = interface, 0
                self._table.clear_draining(worker)
                self._refill(known)
            else:
                wait = min(LONGEST_WAIT, FIRST_WAIT * 2.0**known.failures)
                known.failures += 1
                self._later(wait, lambda: self._again(worker, known))
        elif known is not None:
            known.asking = False
            self._ask(worker, known)
        self._next()

    def _again(self, worker: WorkerId, known: _Known) -> None:
        unsure = self._of(known.item, known) == 0 or self._table.is_marked_draining(worker)
        if self._known.get(worker) is known and unsure:
            self._ask(worker, known)

    def _refill(self, known: _Known) -> None:
        self._table.update(known.source, UpdateKind.DELTA, 0, [known.listing.row(known.item)])

    # ---- what carriers see

    def mismatched(self, worker: WorkerId) -> None:
        """A planner has answered in another interface than the one it was taken for: it gets nothing until it
        is known which.
        """
        known = self._known.get(worker)
        if known is None or known.asking:
            return
        known.interface = 0
        known.item = CatalogEntry(
            known.item.instance_id,
            known.item.host_port,
            known.item.zone,
            known.item.machine_type,
            known.item.cell,
            known.item.lifecycle,
            known.item.weight,
            known.item.started_at_ms,
            0,
        )
        self._ask(worker, known)
        entry, target = known.listing.row(known.item)
        if entry.interface:
            return  # settings say otherwise, and stand
        self._table.update(known.source, UpdateKind.DELTA, 0, [(entry, target)])

    def drains(self, worker: WorkerId) -> None:
        """A planner has said itself that it drains. Its source tells of the next start; where none does, a
        planner that takes connections again without such word is back.
        """
        self._table.mark_draining(worker)
        if self._table.is_marked_draining(worker):
            self._later(CLEAN, lambda: self._look_again(worker))

    def _look_again(self, worker: WorkerId) -> None:
        known = self._known.get(worker)
        if known is not None and self._table.is_marked_draining(worker):
            self._ask(worker, known)
