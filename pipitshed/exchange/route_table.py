"""The route table: discovery's list, from all of its sources."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from pipitshed.decisions.interface import Entry, ListKind, ListMoved, ListNews, State, WorkerId
from pipitshed.exchange.parties import Endpoint

Line = tuple[Entry, Endpoint]


class RouteTable:
    """All endpoints ever listed, and what each source lists now."""

    def __init__(self, post: Callable[[ListNews | ListMoved], None]) -> None:
        self._post = post
        self._targets: dict[WorkerId, Endpoint] = {}
        self._listed: dict[str, dict[WorkerId, Entry]] = {}
        self._held: dict[WorkerId, float] = {}  # said itself that it drains: the start for which that holds
        self._planned: dict[WorkerId, tuple[float, ...]] | None = None  # a plan's weights by class
        self._interfaces: frozenset[int] | None = None
        self._leaving: set[WorkerId] = set()  # told of as draining or gone, and not of anything since
        self.on_interfaces: Callable[[], None] = lambda: None  # another set of interfaces is listed

    def target(self, worker: WorkerId) -> Endpoint | None:
        """Where an attempt to this planner goes; also when it has left the list."""
        return self._targets.get(worker)

    def leaving(self, worker: WorkerId) -> bool:
        """Whether the last that was told of this planner is that it drains or has gone."""
        return worker in self._leaving

    def ready(self) -> int:
        """How many are listed as ready."""
        return sum(entry.state is State.READY for listed in self._listed.values()
                   for entry in listed.values())

    def interfaces(self) -> frozenset[int]:
        """The interfaces of all that is listed as ready; 0 is one that is still being found out."""
        if self._interfaces is None:
            self._interfaces = frozenset(entry.interface for listed in self._listed.values()
                                         for entry in listed.values() if entry.state is State.READY)
        return self._interfaces

    def fill(self, source: str, kind: ListKind, version: int, lines: Iterable[Line]) -> None:
        """News from one source. A whole list is made a change: it speaks for its own source alone, and
        what that source no longer lists is gone."""
        listed = self._listed.setdefault(source, {})
        entries: dict[WorkerId, Entry] = {}
        for entry, target in lines:
            entry = self._as_held(entry)
            if self._planned is not None:
                entry = replace(entry, planned=self._planned.get(entry.worker))
            entries[entry.worker] = entry
            self._targets[entry.worker] = target
        if kind is ListKind.FULL:
            for worker, old in listed.items():
                if worker not in entries:
                    entries[worker] = replace(old, state=State.GONE)
        for worker, entry in entries.items():
            if entry.state is State.GONE:
                listed.pop(worker, None)
            else:
                listed[worker] = entry
        told = ListKind.DELTA if kind is ListKind.FULL else kind
        self._tell(ListNews(told, version, tuple(entries.values())))

    def _tell(self, news: ListNews) -> None:
        before, self._interfaces = self._interfaces, None
        for entry in news.entries:
            (self._leaving.discard if entry.state is State.READY else self._leaving.add)(entry.worker)
        self._post(news)
        if before is not None and before != self.interfaces():
            self.on_interfaces()

    def _as_held(self, entry: Entry) -> Entry:
        start = self._held.get(entry.worker)
        if start is None:
            return entry
        if entry.state is State.GONE or entry.started_at > start:
            del self._held[entry.worker]  # what was held against the old process is void
            return entry
        return replace(entry, state=State.DRAINING) if entry.state is State.READY else entry

    def entries(self) -> list[Entry]:
        """All that is listed now."""
        return [entry for listed in self._listed.values() for entry in listed.values()]

    def plan(self, weights: dict[WorkerId, tuple[float, ...]] | None) -> None:
        """Weights by class in place of the list's, or the list's own again."""
        self._planned = weights
        changed = []
        for listed in self._listed.values():
            for worker, entry in listed.items():
                planned = weights.get(worker) if weights is not None else None
                if planned != entry.planned:
                    listed[worker] = replace(entry, planned=planned)
                    changed.append(listed[worker])
        if changed:
            self._tell(ListNews(ListKind.DELTA, 0, tuple(changed)))

    def hold(self, worker: WorkerId) -> None:
        """The planner itself has said that it drains: nothing new goes there, whatever its sources list,
        until they tell of a newer start, or it is released."""
        found = [(listed, listed[worker]) for listed in self._listed.values() if worker in listed]
        if not found or worker in self._held:
            return
        self._held[worker] = max(entry.started_at for _, entry in found)
        changed = []
        for listed, entry in found:
            listed[worker] = self._as_held(entry)
            changed.append(listed[worker])
        self._tell(ListNews(ListKind.DELTA, 0, tuple(changed)))

    def holds(self, worker: WorkerId) -> bool:
        """Whether the planner's own word of a drain still counts."""
        return worker in self._held

    def release(self, worker: WorkerId) -> None:
        """Its own word of a drain counts no longer; its source has to list it again."""
        self._held.pop(worker, None)

    def failed(self) -> None:
        """A call for the list has failed, or its watch has ended."""
        self._post(ListNews(ListKind.FAILED))

    def moved(self) -> None:
        """A source that must be asked is at another address; what it has listed stands."""
        self._post(ListMoved())
