"""The route table: discovery's list, from all of its sources."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from pipitshed.decisions.interface import Entry, ListKind, ListMoved, ListNews, State, WorkerId
from pipitshed.exchange.parties import EgressTarget

Line = tuple[Entry, EgressTarget]


class RouteTable:
    """All egress targets ever listed, and what each source lists now."""

    def __init__(self, post: Callable[[ListNews | ListMoved], None]) -> None:
        self._post = post
        self._targets: dict[WorkerId, EgressTarget] = {}
        self._listed: dict[str, dict[WorkerId, Entry]] = {}

    def target(self, worker: WorkerId) -> EgressTarget | None:
        """Where a hop to this planner goes; also when it has left the list."""
        return self._targets.get(worker)

    def ready(self) -> int:
        """How many are listed as ready."""
        return sum(entry.state is State.READY for listed in self._listed.values()
                   for entry in listed.values())

    def fill(self, source: str, kind: ListKind, version: int, lines: Iterable[Line]) -> None:
        """News from one source. A whole list is made a change: it speaks for its own source alone, and
        what that source no longer lists is gone."""
        listed = self._listed.setdefault(source, {})
        entries: dict[WorkerId, Entry] = {}
        for entry, target in lines:
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
        self._post(ListNews(told, version, tuple(entries.values())))

    def failed(self) -> None:
        """A call for the list has failed, or its watch has ended."""
        self._post(ListNews(ListKind.FAILED))

    def moved(self) -> None:
        """A source that must be asked is at another address; what it has listed stands."""
        self._post(ListMoved())
