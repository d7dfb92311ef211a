"""The endpoint table: what all sources of discovery list now."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable, Sequence
from dataclasses import replace
from itertools import takewhile
from time import monotonic

from pipitshed.proxy.worker_client import Endpoint
from pipitshed.scheduling.events import (
    DiscoveryMoved,
    EndpointEntry,
    EndpointState,
    EndpointsUpdated,
    UpdateKind,
    WorkerId,
)

EndpointRow = tuple[EndpointEntry, Endpoint]
FORGET_AFTER_S = 60.0  # for which a worker is known that no source lists; a turn's actions may name it


def merge_updates(updates: Sequence[EndpointsUpdated]) -> EndpointsUpdated:
    """Merge changes that came one after the other: the last entry of each worker, in the order received."""
    entries: dict[WorkerId, EndpointEntry] = {}
    for update in updates:
        for entry in update.entries:
            entries.pop(entry.worker, None)
            entries[entry.worker] = entry
    version = max(update.version for update in updates)
    return EndpointsUpdated(UpdateKind.DELTA, version, tuple(entries.values()))


def _no_workers() -> Container[WorkerId]:
    return ()


def _ignore_interfaces() -> None:
    """For tables whose owner needs no word of changed interfaces."""


class EndpointTable:
    """What each source lists, and the endpoints of all that is listed or has been removed lately.

    Args:
        post: Receives the updates for the dispatcher.
        clock: Monotonic time in s.
        workers_in_use: The workers with attempts in flight, or waiting to begin.
        on_interfaces_changed: Called when another set of interfaces is listed as ready.
    """

    def __init__(
        self,
        post: Callable[[EndpointsUpdated | DiscoveryMoved], None],
        clock: Callable[[], float] = monotonic,
        workers_in_use: Callable[[], Container[WorkerId]] = _no_workers,
        on_interfaces_changed: Callable[[], None] = _ignore_interfaces,
    ) -> None:
        self.publishes_unchanged = False  # whether an unchanged entry is an update: where weights are live
        self._post = post
        self._clock = clock
        self._workers_in_use = workers_in_use
        self._on_interfaces_changed = on_interfaces_changed
        self._on_forgotten: Callable[[WorkerId], None] | None = None
        self._endpoints: dict[WorkerId, Endpoint] = {}
        self._listed: dict[str, dict[WorkerId, EndpointEntry]] = {}  # by source
        # Workers that have reported themselves that they drain: the start time for which that holds.
        self._draining_marks: dict[WorkerId, float] = {}
        self._planned_weights: dict[WorkerId, tuple[float, ...]] | None = None  # by class
        self._ready_counts: dict[int, int] = {}  # workers listed as ready, by their interface
        self._interfaces = frozenset[int]()  # those with any, as last reported
        self._leaving: set[WorkerId] = set()  # last reported as draining or removed
        self._removed_at: dict[WorkerId, float] = {}  # listed by no source, the longest removed first

    def attach_forgotten_listener(self, on_forgotten: Callable[[WorkerId], None]) -> None:
        """Have a function called for each worker that is forgotten.

        What needs that is made with this table, so that it can't be an argument of the constructor.
        """
        self._on_forgotten = on_forgotten

    def endpoint(self, worker: WorkerId) -> Endpoint | None:
        """Where an attempt to this worker goes; also for a while after it was removed."""
        return self._endpoints.get(worker)

    def is_leaving(self, worker: WorkerId) -> bool:
        """Whether the worker was last reported as draining or removed."""
        return worker in self._leaving

    def ready(self) -> int:
        """How many workers are listed as ready."""
        return sum(self._ready_counts.values())

    def size(self) -> int:
        """How many workers are listed, by any source."""
        first, *others = self._listed.values() or ({},)
        return len(first.keys() | set().union(*others)) if others else len(first)

    def interfaces(self) -> frozenset[int]:
        """The interfaces of all that is listed as ready; 0 is one that is still being detected."""
        return self._interfaces

    def entries(self) -> list[EndpointEntry]:
        """All that is listed now."""
        return [entry for listed in self._listed.values() for entry in listed.values()]

    # ---- updates from sources

    def update(self, source: str, kind: UpdateKind, version: int, rows: Iterable[EndpointRow]) -> None:
        """Take in an update from one source.

        A snapshot becomes a change: it holds for its own source alone, and what that source no longer lists
        is removed. Entries that are known already are not posted.
        """
        listed = self._listed.setdefault(source, {})
        entries: dict[WorkerId, EndpointEntry] = {}
        received: set[WorkerId] | None = set() if kind is UpdateKind.SNAPSHOT else None
        for entry, endpoint in rows:
            worker = entry.worker
            if received is not None:
                received.add(worker)
            entry = self._with_draining_mark(entry)
            if self._planned_weights is not None:
                entry = replace(entry, planned_weights=self._planned_weights.get(worker))
            if self._endpoints.get(worker) != endpoint:
                self._endpoints[worker] = endpoint
            if entry != listed.get(worker) or kind is UpdateKind.CACHED or self.publishes_unchanged:
                entries[worker] = entry
            else:
                entries.pop(worker, None)  # replaces an earlier line of this update
        if received is not None:
            for worker, known in listed.items():
                if worker not in received:
                    entries[worker] = self._with_draining_mark(replace(known, state=EndpointState.REMOVED))
        for entry in entries.values():
            self._set_entry(listed, entry)
        kind = UpdateKind.DELTA if kind is UpdateKind.SNAPSHOT else kind
        self._publish(EndpointsUpdated(kind, version, tuple(entries.values())))
        self._forget_removed()

    def fetch_failed(self) -> None:
        """Post that a call for the list has failed, or its watch has ended."""
        self._post(EndpointsUpdated(UpdateKind.FETCH_FAILED))

    def discovery_moved(self) -> None:
        """Post that a source that is polled has another address; what it has listed stands."""
        self._post(DiscoveryMoved())

    def set_planned_weights(self, weights: dict[WorkerId, tuple[float, ...]] | None) -> None:
        """Use weights by class in place of the list's, or the list's own again."""
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

    # ---- workers that report themselves that they drain

    def mark_draining(self, worker: WorkerId) -> None:
        """Take a worker's own report that it drains.

        Nothing new goes there, whatever its sources list, until they list a newer start of it, or the mark
        is cleared.
        """
        found = [(listed, listed[worker]) for listed in self._listed.values() if worker in listed]
        if not found or worker in self._draining_marks:
            return
        self._draining_marks[worker] = max(entry.started_at_ms for _, entry in found)
        changed = []
        for listed, entry in found:
            changed.append(self._with_draining_mark(entry))
            self._set_entry(listed, changed[-1])
        self._publish(EndpointsUpdated(UpdateKind.DELTA, 0, tuple(changed)))

    def is_marked_draining(self, worker: WorkerId) -> bool:
        """Whether the worker's own report of a drain still counts."""
        return worker in self._draining_marks

    def clear_draining(self, worker: WorkerId) -> None:
        """Drop the worker's own report of a drain; its source has to list it again."""
        self._draining_marks.pop(worker, None)

    def _with_draining_mark(self, entry: EndpointEntry) -> EndpointEntry:
        """The entry with the worker's own report applied, which a newer start or a removal clears."""
        marked_start_ms = self._draining_marks.get(entry.worker)
        if marked_start_ms is None:
            return entry
        if entry.state is EndpointState.REMOVED or entry.started_at_ms > marked_start_ms:
            del self._draining_marks[entry.worker]  # it was the old process's
            return entry
        return replace(entry, state=EndpointState.DRAINING) if entry.state is EndpointState.READY else entry

    # ---- the table itself

    def _set_entry(self, listed: dict[WorkerId, EndpointEntry], entry: EndpointEntry) -> None:
        """Put one entry into a source's list, or take it out."""
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
        """Forget workers that were removed a while ago: else memory would grow with each replaced one.

        One with an attempt in flight stays: a connection to it that comes up late must find it removed.
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
            self._leaving.discard(worker)
            if self._on_forgotten is not None:
                self._on_forgotten(worker)
