"""The endpoint table: the workers that the discovery sources list at present, and their addresses."""

from __future__ import annotations

import logging
from collections.abc import Callable, Container, Iterable, Iterator, Sequence
from dataclasses import dataclass, replace
from itertools import groupby, takewhile
from time import monotonic, time
from typing import cast

from pipitshed.flow_control import NO_CHARGE, MemoryBudget, Priority
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.scheduling.events import (
    UNKNOWN_START_MS,
    DiscoveryMoved,
    EndpointEntry,
    EndpointState,
    EndpointsUpdated,
    UpdateKind,
    WorkerId,
)

EndpointRow = tuple[EndpointEntry, Endpoint]
ENDPOINTS_FRACTION = 0.4  # of the memory budget, which all workers together take at most
ENDPOINT_BYTES = 1536  # taken by one worker, here and in the dispatcher
MS_PER_S = 1000
FORGET_AFTER_S = 60.0  # after a worker's removal; pending actions of the dispatcher may still name it


log = logging.getLogger("pipitshed")

DiscoveryEvent = EndpointsUpdated | DiscoveryMoved


def merge_consecutive(events: Iterable[DiscoveryEvent]) -> Iterator[DiscoveryEvent]:
    """The events with each run of updates that are deltas merged into one."""
    for is_delta, run in groupby(events, _is_delta):
        if is_delta:
            yield _merge_updates(cast(list[EndpointsUpdated], list(run)))
        else:
            yield from run


def _is_delta(event: DiscoveryEvent) -> bool:
    return isinstance(event, EndpointsUpdated) and event.kind is UpdateKind.DELTA


def _merge_updates(updates: Sequence[EndpointsUpdated]) -> EndpointsUpdated:
    """Merge consecutive updates: keep the last entry of each worker, in the order received."""
    if len(updates) == 1:
        return updates[0]
    entries: dict[WorkerId, EndpointEntry] = {}
    for update in updates:
        for entry in update.entries:
            entries.pop(entry.worker, None)
            entries[entry.worker] = entry
    version = max(update.version for update in updates)
    return EndpointsUpdated(UpdateKind.DELTA, version, tuple(entries.values()))


@dataclass(slots=True)
class _DrainingMark:
    """A worker's own report that it drains.

    Attributes:
        started_at_ms: The start of the process that reported it.
        listed_state: What the source says of the worker, which applies again without the report.
    """

    started_at_ms: float
    listed_state: EndpointState


def _no_workers() -> Container[WorkerId]:
    return ()


def _ignore_interfaces() -> None:
    """Do nothing: for tables whose owner needs no notification."""


class EndpointTable:
    """The entries that each source lists, and the endpoints of all listed or recently removed workers.

    Args:
        post: Receives the updates for the dispatcher.
        clock: Monotonic time in s.
        workers_in_use: Returns the workers with attempts in flight, or waiting to start.
        on_interfaces_changed: Called when the set of interfaces of ready workers has changed.
        memory: Bounds the number of workers; further ones are not listed.
        unix_ms: Unix time in ms, the clock of the workers' start times.
    """

    def __init__(
        self,
        post: Callable[[DiscoveryEvent], None],
        clock: Callable[[], float] = monotonic,
        workers_in_use: Callable[[], Container[WorkerId]] = _no_workers,
        on_interfaces_changed: Callable[[], None] = _ignore_interfaces,
        memory: MemoryBudget | None = None,
        unix_ms: Callable[[], float] = lambda: time() * MS_PER_S,
    ) -> None:
        self._memory_charge = memory.charge() if memory is not None else NO_CHARGE
        self._is_full_logged = False
        self.publishes_unchanged = False  # whether unchanged entries are published too: for live weights
        self._post = post
        self._clock = clock
        self._unix_ms = unix_ms
        self._workers_in_use = workers_in_use
        self._on_interfaces_changed = on_interfaces_changed
        self._on_forgotten: Callable[[WorkerId], None] | None = None
        self._endpoints: dict[WorkerId, Endpoint] = {}
        self._listed: dict[str, dict[WorkerId, EndpointEntry]] = {}  # by source
        self._draining_marks: dict[WorkerId, _DrainingMark] = {}
        self._planned_weights: dict[WorkerId, tuple[float, ...]] | None = None  # by class
        self._ready_counts: dict[int, int] = {}  # number of ready workers by interface
        self._interfaces = frozenset[int]()  # of ready workers, as last reported to on_interfaces_changed
        self._leaving: set[WorkerId] = set()  # workers last published as draining or removed
        self._removed_at: dict[WorkerId, float] = {}  # clock time in s, the earliest first
        # The last entries of removed workers, until these are forgotten, and the sources that listed them.
        self._removed_entries: dict[WorkerId, tuple[str, EndpointEntry]] = {}

    def attach_forgotten_listener(self, on_forgotten: Callable[[WorkerId], None]) -> None:
        """Set the function that is called for each worker that is forgotten.

        The listener's owner is constructed with this table, so that it can't be a constructor argument.
        """
        self._on_forgotten = on_forgotten

    def endpoint(self, worker: WorkerId) -> Endpoint | None:
        """The worker's endpoint, also for at least FORGET_AFTER_S after its removal; None if unknown."""
        return self._endpoints.get(worker)

    def is_leaving(self, worker: WorkerId) -> bool:
        """Whether the worker was last published as draining or removed."""
        return worker in self._leaving

    def ready(self) -> int:
        """The number of entries listed as ready."""
        return sum(self._ready_counts.values())

    def size(self) -> int:
        """The number of distinct workers that any source lists."""
        first, *others = self._listed.values() or ({},)
        return len(first.keys() | set().union(*others)) if others else len(first)

    def interfaces(self) -> frozenset[int]:
        """The interfaces of all ready workers; 0 means that one is still being detected."""
        return self._interfaces

    def entries(self) -> list[EndpointEntry]:
        """The entries of all sources at present."""
        return [entry for listed in self._listed.values() for entry in listed.values()]

    def last_known(self, source: str, worker: WorkerId) -> EndpointEntry | None:
        """What a source last said of a worker that it lists, or listed last before the worker was removed.

        None for a worker that the source has never listed, or that is forgotten.
        """
        entry = self._listed.get(source, {}).get(worker)
        if entry is not None:
            mark = self._draining_marks.get(worker)
            return entry if mark is None else replace(entry, state=mark.listed_state)
        removed_from, entry = self._removed_entries.get(worker, ("", None))
        return entry if removed_from == source else None

    # ---- updates from sources

    def update(self, source: str, kind: UpdateKind, version: int, rows: Iterable[EndpointRow]) -> None:
        """Apply an update from one source, and publish what it changes.

        A snapshot is published as a delta: it applies to its own source alone, and workers that the source no
        longer lists are removed. Unchanged entries are not published, unless `publishes_unchanged` is set.
        """
        listed = self._listed.setdefault(source, {})
        is_first_list = not listed
        entries: dict[WorkerId, EndpointEntry] = {}
        received: set[WorkerId] | None = set() if kind is UpdateKind.SNAPSHOT else None
        for entry, endpoint in rows:
            worker = entry.worker
            if received is not None:
                received.add(worker)
            entry = self._completed(source, entry, is_first_list)
            if not self._set_endpoint(worker, endpoint):
                continue
            if entry != listed.get(worker) or kind is UpdateKind.CACHED or self.publishes_unchanged:
                entries[worker] = entry
            else:
                entries.pop(worker, None)  # the update may contain an earlier row of the worker
        if received is not None:
            for worker, known in listed.items():
                if worker not in received:
                    removed = replace(known, state=EndpointState.REMOVED)
                    entries[worker] = self._with_draining_mark(source, removed)
        for entry in entries.values():
            self._set_entry(source, entry)
        kind = UpdateKind.DELTA if kind is UpdateKind.SNAPSHOT else kind
        self._publish(EndpointsUpdated(kind, version, tuple(entries.values())))
        self._forget_removed()

    def _completed(self, source: str, entry: EndpointEntry, is_first_list: bool) -> EndpointEntry:
        """The entry with what this scheduler knows of the worker beside its source."""
        if not is_first_list:
            entry = self._with_assumed_start(source, entry)
        entry = self._with_draining_mark(source, entry)
        if self._planned_weights is not None:
            entry = replace(entry, planned_weights=self._planned_weights.get(entry.worker))
        return entry

    def _with_assumed_start(self, source: str, entry: EndpointEntry) -> EndpointEntry:
        """The entry; a worker that its source begins to list, without a start time, counts as started now.

        The workers of a source's first list may have started long before.
        """
        if entry.started_at_ms != UNKNOWN_START_MS or self.last_known(source, entry.worker) is not None:
            return entry
        return replace(entry, started_at_ms=self._unix_ms())

    def _set_endpoint(self, worker: WorkerId, endpoint: Endpoint) -> bool:
        """Store a worker's endpoint; False if there is no memory for one more worker."""
        known = self._endpoints.get(worker)
        charge = self._memory_charge
        is_within_share = charge.byte_count < ENDPOINTS_FRACTION * charge.limit_bytes
        if known is None and not (is_within_share and charge.try_add(ENDPOINT_BYTES, Priority.CONTROL)):
            if not self._is_full_logged:
                self._is_full_logged = True
                log.warning(
                    "no memory for more than %d workers: further ones are not listed", len(self._endpoints)
                )
            return False
        if known != endpoint:
            self._endpoints[worker] = endpoint
        return True

    def fetch_failed(self) -> None:
        """Publish that a fetch of the list has failed, or that its watch has ended."""
        self._post(EndpointsUpdated(UpdateKind.FETCH_FAILED))

    def discovery_moved(self) -> None:
        """Publish that a polled source has a new address; its entries stay."""
        self._post(DiscoveryMoved())

    def set_planned_weights(self, weights: dict[WorkerId, tuple[float, ...]] | None) -> None:
        """Use weights by class in place of the listed ones; None restores the listed ones."""
        self._planned_weights = weights
        changed = []
        for listed in self._listed.values():
            for worker, entry in listed.items():
                planned = weights.get(worker) if weights is not None else None
                if planned != entry.planned_weights:
                    changed.append(replace(entry, planned_weights=planned))
                    listed[worker] = changed[-1]
        if changed:
            self._publish(EndpointsUpdated(UpdateKind.DELTA, 0, tuple(changed)))

    # ---- workers that report that they drain

    def mark_draining(self, worker: WorkerId) -> None:
        """Record that a worker itself reported that it drains.

        Whatever the sources list, the worker counts as draining until they list a newer start time of it or
        the mark is cleared.
        """
        found = [(source, listed[worker]) for source, listed in self._listed.items() if worker in listed]
        if not found or worker in self._draining_marks:
            return
        started_at_ms = max(entry.started_at_ms for _, entry in found)
        self._draining_marks[worker] = _DrainingMark(started_at_ms, found[0][1].state)
        changed = []
        for source, entry in found:
            changed.append(self._with_draining_mark(source, entry))
            self._set_entry(source, changed[-1])
        self._publish(EndpointsUpdated(UpdateKind.DELTA, 0, tuple(changed)))

    def is_marked_draining(self, worker: WorkerId) -> bool:
        """Whether the worker's own report that it drains still applies."""
        return worker in self._draining_marks

    def clear_draining(self, worker: WorkerId) -> None:
        """Discard the worker's own report that it drains; what its sources list applies again."""
        mark = self._draining_marks.pop(worker, None)
        if mark is None:
            return
        changed = []
        for source, listed in self._listed.items():
            entry = listed.get(worker)
            if entry is not None and entry.state is not mark.listed_state:
                changed.append(replace(entry, state=mark.listed_state))
                self._set_entry(source, changed[-1])
        if changed:
            self._publish(EndpointsUpdated(UpdateKind.DELTA, 0, tuple(changed)))

    def _with_draining_mark(self, source: str, entry: EndpointEntry) -> EndpointEntry:
        """The entry with the worker's own report applied; a newer start or a removal clears the report.

        What the source said of a worker that it removes is kept first, as that lies in the report.
        """
        if entry.state is EndpointState.REMOVED:
            self._keep_last_known(source, entry.worker)
        mark = self._draining_marks.get(entry.worker)
        if mark is None:
            return entry
        if mark.started_at_ms == UNKNOWN_START_MS:
            mark.started_at_ms = entry.started_at_ms  # a start that is stated late shows no other process
        if entry.state is EndpointState.REMOVED or entry.started_at_ms > mark.started_at_ms:
            del self._draining_marks[entry.worker]  # the report came from the previous process
            return entry
        mark.listed_state = entry.state
        return replace(entry, state=EndpointState.DRAINING) if entry.state is EndpointState.READY else entry

    def _keep_last_known(self, source: str, worker: WorkerId) -> None:
        known = self.last_known(source, worker)
        if known is not None:
            self._removed_entries[worker] = source, known

    # ---- internal state

    def _set_entry(self, source: str, entry: EndpointEntry) -> None:
        """Store one entry in a source's list, or remove it, and update the counts."""
        listed = self._listed[source]
        removed = entry.state is EndpointState.REMOVED
        known = listed.pop(entry.worker, None) if removed else listed.get(entry.worker)
        if known is not None and known.state is EndpointState.READY:
            self._ready_counts[known.interface] -= 1
            if not self._ready_counts[known.interface]:
                del self._ready_counts[known.interface]
        self._removed_at.pop(entry.worker, None)
        if removed:
            if not any(entry.worker in one for one in self._listed.values()):
                self._removed_at[entry.worker] = self._clock()
        else:
            self._removed_entries.pop(entry.worker, None)
            listed[entry.worker] = entry
            if entry.state is EndpointState.READY:
                self._ready_counts[entry.interface] = self._ready_counts.get(entry.interface, 0) + 1

    def _publish(self, update: EndpointsUpdated) -> None:
        for entry in update.entries:
            if entry.state is EndpointState.READY:
                self._leaving.discard(entry.worker)
            else:
                self._leaving.add(entry.worker)
        self._post(update)
        if self._ready_counts.keys() != self._interfaces:
            self._interfaces = frozenset(self._ready_counts)
            self._on_interfaces_changed()

    def _forget_removed(self) -> None:
        """Forget workers removed FORGET_AFTER_S ago, so that replaced ones don't accumulate in memory.

        A worker with an attempt in flight is kept: a connection to it that opens late must find it removed.
        """
        now = self._clock()
        due = [
            worker
            for worker, _ in takewhile(
                lambda removed: now - removed[1] >= FORGET_AFTER_S, self._removed_at.items()
            )
        ]
        in_use = self._workers_in_use() if due else ()
        for worker in due:
            del self._removed_at[worker]
            if worker in in_use:
                self._removed_at[worker] = now
                continue
            del self._endpoints[worker]
            self._removed_entries.pop(worker, None)
            if self._memory_charge.byte_count:
                self._memory_charge.add(-ENDPOINT_BYTES)
            self._leaving.discard(worker)
            if self._on_forgotten is not None:
                self._on_forgotten(worker)
