"""The route table: discovery's list, from all of its sources."""

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
FORGET_AFTER_S = 60.0  # s for which a planner that nobody lists is known; a turn's decisions may name it


def merge_updates(news: Sequence[EndpointsUpdated]) -> EndpointsUpdated:
    """Changes that came one after the other as one: the last that was told of each planner, in the order in
    which that came.
    """
    entries: dict[WorkerId, EndpointEntry] = {}
    for one in news:
        for entry in one.entries:
            entries.pop(entry.worker, None)
            entries[entry.worker] = entry
    return EndpointsUpdated(UpdateKind.DELTA, max(one.version for one in news), tuple(entries.values()))


class EndpointTable:
    """What each source lists now, and the endpoints of all that is listed, or has left and is still owed."""

    def __init__(
        self,
        post: Callable[[EndpointsUpdated | DiscoveryMoved], None],
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._post = post
        self._clock = clock
        self._endpoints: dict[WorkerId, Endpoint] = {}
        self._listed: dict[str, dict[WorkerId, EndpointEntry]] = {}
        self._draining_marks: dict[
            WorkerId, float
        ] = {}  # said itself that it drains: the start for which that holds
        self._planned: dict[WorkerId, tuple[float, ...]] | None = None  # a plan's weights by class
        self._ready: dict[int, int] = {}  # how many are listed as ready, by their interface
        self._interfaces = frozenset[int]()  # those with any, as last told
        self.repeats_count = False  # an entry that is told anew as it was says something: weights are live
        self._leaving: set[WorkerId] = set()  # told of as draining or gone, and not of anything since
        self._removed_at: dict[WorkerId, float] = {}  # listed by nobody, and since when, the longest first
        self.on_interfaces: Callable[[], None] = lambda: None  # another set of interfaces is listed
        self.on_forgotten: Callable[[WorkerId], None] = lambda worker: None
        self.workers_in_use: Callable[[], Container[WorkerId]] = (
            lambda: ()
        )  # planners with attempts out, or to begin

    def endpoint(self, worker: WorkerId) -> Endpoint | None:
        """Where an attempt to this planner goes; also when it has left the list."""
        return self._endpoints.get(worker)

    def is_leaving(self, worker: WorkerId) -> bool:
        """Whether the last that was told of this planner is that it drains or has gone."""
        return worker in self._leaving

    def ready(self) -> int:
        """How many are listed as ready."""
        return sum(self._ready.values())

    def size(self) -> int:
        """How many planners are listed, by any source."""
        first, *others = self._listed.values() or ({},)
        return len(first.keys() | set().union(*others)) if others else len(first)

    def interfaces(self) -> frozenset[int]:
        """The interfaces of all that is listed as ready; 0 is one that is still being found out."""
        return self._interfaces

    def update(self, source: str, kind: UpdateKind, version: int, lines: Iterable[EndpointRow]) -> None:
        """News from one source. A whole list is made a change: it speaks for its own source alone, and
        what that source no longer lists is gone. What is told as it is known is no news to the decisions.
        """
        listed = self._listed.setdefault(source, {})
        entries: dict[WorkerId, EndpointEntry] = {}
        told: set[WorkerId] | None = set() if kind is UpdateKind.SNAPSHOT else None
        for entry, target in lines:
            worker = entry.worker
            if told is not None:
                told.add(worker)
            entry = self._as_held(entry)
            if self._planned is not None:
                entry = replace(entry, planned_weights=self._planned.get(worker))
            if self._endpoints.get(worker) != target:
                self._endpoints[worker] = target
            if entry != listed.get(worker) or kind is UpdateKind.CACHED or self.repeats_count:
                entries[worker] = entry
            else:
                entries.pop(worker, None)  # what an earlier line told is void
        if told is not None:
            for worker, old in listed.items():
                if worker not in told:
                    entries[worker] = self._as_held(replace(old, state=EndpointState.REMOVED))
        for entry in entries.values():
            self._list(listed, entry)
        kind = UpdateKind.DELTA if kind is UpdateKind.SNAPSHOT else kind
        self._tell(EndpointsUpdated(kind, version, tuple(entries.values())))
        self._forget()

    def _forget(self) -> None:
        """Forget planners that left the list a while ago. Guards memory against replacements, day after day.
        One with an attempt out stays: a connection to it that comes up late must find that it has gone.
        """
        now = self._clock()
        due = [
            worker
            for worker, _ in takewhile(lambda left: now - left[1] >= FORGET_AFTER_S, self._removed_at.items())
        ]
        owed = self.workers_in_use() if due else ()
        for worker in due:
            del self._removed_at[worker]
            if worker in owed:
                self._removed_at[worker] = now
                continue
            del self._endpoints[worker]
            self._leaving.discard(worker)
            self.on_forgotten(worker)

    def _list(self, listed: dict[WorkerId, EndpointEntry], entry: EndpointEntry) -> None:
        """Put one entry into a source's list, or take it out."""
        old = (
            listed.pop(entry.worker, None)
            if entry.state is EndpointState.REMOVED
            else listed.get(entry.worker)
        )
        if old is not None and old.state is EndpointState.READY:
            self._ready[old.interface] -= 1
            if not self._ready[old.interface]:
                del self._ready[old.interface]
        self._removed_at.pop(entry.worker, None)
        if entry.state is EndpointState.REMOVED:
            if not any(entry.worker in one for one in self._listed.values()):
                self._removed_at[entry.worker] = self._clock()
        else:
            listed[entry.worker] = entry
            if entry.state is EndpointState.READY:
                self._ready[entry.interface] = self._ready.get(entry.interface, 0) + 1

    def _tell(self, news: EndpointsUpdated) -> None:
        for entry in news.entries:
            (self._leaving.discard if entry.state is EndpointState.READY else self._leaving.add)(entry.worker)
        self._post(news)
        if self._ready.keys() != self._interfaces:
            self._interfaces = frozenset(self._ready)
            self.on_interfaces()

    def _as_held(self, entry: EndpointEntry) -> EndpointEntry:
        start = self._draining_marks.get(entry.worker)
        if start is None:
            return entry
        if entry.state is EndpointState.REMOVED or entry.started_at_ms > start:
            del self._draining_marks[entry.worker]  # what was held against the old process is void
            return entry
        return replace(entry, state=EndpointState.DRAINING) if entry.state is EndpointState.READY else entry

    def entries(self) -> list[EndpointEntry]:
        """All that is listed now."""
        return [entry for listed in self._listed.values() for entry in listed.values()]

    def set_planned_weights(self, weights: dict[WorkerId, tuple[float, ...]] | None) -> None:
        """Weights by class in place of the list's, or the list's own again."""
        self._planned = weights
        changed = []
        for listed in self._listed.values():
            for worker, entry in listed.items():
                planned = weights.get(worker) if weights is not None else None
                if planned != entry.planned_weights:
                    changed.append(replace(entry, planned_weights=planned))
                    listed[worker] = changed[-1]
        if changed:
            self._tell(EndpointsUpdated(UpdateKind.DELTA, 0, tuple(changed)))

    def mark_draining(self, worker: WorkerId) -> None:
        """The planner itself has said that it drains: nothing new goes there, whatever its sources list,
        until they tell of a newer start, or it is released.
        """
        found = [(listed, listed[worker]) for listed in self._listed.values() if worker in listed]
        if not found or worker in self._draining_marks:
            return
        self._draining_marks[worker] = max(entry.started_at_ms for _, entry in found)
        changed = []
        for listed, entry in found:
            changed.append(self._as_held(entry))
            self._list(listed, changed[-1])
        self._tell(EndpointsUpdated(UpdateKind.DELTA, 0, tuple(changed)))

    def is_marked_draining(self, worker: WorkerId) -> bool:
        """Whether the planner's own word of a drain still counts."""
        return worker in self._draining_marks

    def clear_draining(self, worker: WorkerId) -> None:
        """Its own word of a drain counts no longer; its source has to list it again."""
        self._draining_marks.pop(worker, None)

    def fetch_failed(self) -> None:
        """A call for the list has failed, or its watch has ended."""
        self._post(EndpointsUpdated(UpdateKind.FETCH_FAILED))

    def discovery_moved(self) -> None:
        """A source that must be asked is at another address; what it has listed stands."""
        self._post(DiscoveryMoved())
