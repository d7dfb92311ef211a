"""Changes of the list: those of one turn are one to the decisions, and work goes by what has changed."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest.mock import Mock

import pytest
from catalog_updates import HEAD, chunk, news_of, rows
from helpers import settings, worker_id

from pipitshed.discovery.catalog import CatalogClient, EndpointParser, NameIndex
from pipitshed.discovery.catalog.client import ENTRIES_PER_TURN
from pipitshed.discovery.catalog.watch import CatalogCall
from pipitshed.proxy.endpoint_table import EndpointTable
from pipitshed.proxy.forwarder import Forwarder
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.scheduling.events import EndpointEntry, EndpointState, EndpointsUpdated, UpdateKind
from pipitshed.scheduling.settings import WeightKind


class Rig:
    """A watch into a core whose decisions are heard, without sockets."""

    def __init__(self, **changes: Any) -> None:
        loop = asyncio.get_running_loop()
        self.forwarder = Forwarder(settings(**changes), 1, loop)
        handle = self.forwarder._dispatcher.handle
        self.told: list[list[EndpointsUpdated]] = []  # by turn

        def heard(now: float, events: Any) -> Any:
            self.told.append([event for event in events if isinstance(event, EndpointsUpdated)])
            return handle(now, events)

        self.forwarder._dispatcher.handle = heard  # type: ignore[method-assign]
        listing = EndpointParser("test", NameIndex(["lima-norte"]), NameIndex(["standard"]), Mock())
        self.discovery = CatalogClient(("127.0.0.1", 1), listing, self.forwarder.endpoints, loop)
        self.discovery.fetch = Mock()  # type: ignore[method-assign]
        self.forwarder.attach_discovery(self.discovery.fetch)
        self.opened()

    def opened(self) -> None:
        self.call = CatalogCall(self.discovery, True)
        self.call.connection_made(Mock())
        self.call.data_received(HEAD)

    def read(self, *pieces: bytes) -> None:
        """All of it in one read."""
        self.call.data_received(b"".join(chunk(piece) for piece in pieces))

    async def turns(self, until: Callable[[], bool]) -> int:
        """How many turns of the loop it took."""
        count = 0
        while not until():
            await asyncio.sleep(0)
            count += 1
            assert count < 1000
        return count


def rigged(body: Callable[[Rig], Any]) -> Callable[[], None]:
    async def run() -> None:
        await body(Rig())

    def test() -> None:
        asyncio.run(run())

    test.__name__, test.__doc__ = body.__name__, body.__doc__
    return test


@rigged
async def test_a_lost_zone_in_one_read_is_one_change_to_the_decisions(rig: Rig) -> None:
    """657 lines of one planner each: they used to make all pools anew 657 times."""
    rig.read(news_of(1, True, rows(1400, "ready")))
    await rig.turns(lambda: len(rig.told) == 1)
    lost = rows(657)
    rig.read(
        *[news_of(2 + place, False, [row]) for place, row in enumerate(lost)],
        news_of(700, False, [lost[5] | {"lifecycle": "ready", "startedAtMs": 9}]),
    )
    await rig.turns(lambda: len(rig.told) == 2)
    [change] = rig.told[1]
    assert change.kind is UpdateKind.DELTA and change.version == 700 == rig.discovery.version
    names = [str(row["instanceId"]).encode() for row in lost]
    assert [entry.worker for entry in change.entries] == [*names[:5], *names[6:], names[5]]
    assert {entry.state for entry in change.entries[:-1]} == {EndpointState.DRAINING}
    assert (change.entries[-1].state, change.entries[-1].started_at_ms) == (EndpointState.READY, 9.0)
    assert rig.forwarder.endpoints.ready() == 1400 - 656 and rig.forwarder.endpoints.size() == 1400


@rigged
async def test_a_failed_call_between_two_changes_of_a_turn_keeps_its_place(rig: Rig) -> None:
    """The decisions count failures since the last news."""
    one, two = rows(2, "ready")
    rig.read(news_of(1, False, [one]), news_of(2, False, [two]))
    rig.call.fail()
    rig.opened()
    rig.read(news_of(3, False, [one | {"weight": 2.0}]), news_of(4, False, [two | {"weight": 2.0}]))
    await rig.turns(lambda: len(rig.told) == 1)
    assert [(news.kind, news.version, len(news.entries)) for news in rig.told[0]] == [
        (UpdateKind.DELTA, 2, 2),
        (UpdateKind.FETCH_FAILED, 0, 0),
        (UpdateKind.DELTA, 4, 2),
    ]


@pytest.mark.parametrize("weights, told", [(WeightKind.ROUGH, 2), (WeightKind.LIVE, 1500)])
def test_a_whole_list_tells_the_decisions_what_has_changed(weights: WeightKind, told: int) -> None:
    """One changed and one gone, of 1,500. Live weights are smoothed with each telling, so all are told."""

    async def run() -> None:
        rig = Rig(weight_kind=weights)
        rig.read(news_of(1, True, rows(1500, "ready")))
        await rig.turns(lambda: len(rig.told) == 1)
        before = dict(rig.forwarder.endpoints._endpoints)
        again = rows(1499, "ready")
        again[7]["lifecycle"] = "draining"
        rig.read(news_of(2, True, again))
        await rig.turns(lambda: len(rig.told) == 2)
        [change] = rig.told[1]
        assert len(change.entries) == told
        assert {
            entry.worker: entry.state for entry in change.entries if entry.state is not EndpointState.READY
        } == {
            b"s-00000007": EndpointState.DRAINING,
            b"s-000005db": EndpointState.REMOVED,
        }
        assert all(before[worker] is target for worker, target in rig.forwarder.endpoints._endpoints.items())

    asyncio.run(run())


@rigged
async def test_a_long_list_takes_several_turns_and_comes_into_the_table_whole(rig: Rig) -> None:
    """It stalled the loop, with all its timers, for 27 ms at 4,600; a part of it would draw all jobs."""
    rig.read(news_of(1, True, rows(4600, "ready")), news_of(2, False, [rows(1)[0]]))
    seen = set()

    def whole() -> bool:
        seen.add(rig.forwarder.endpoints.size())
        return bool(rig.told)

    assert await rig.turns(whole) >= 4600 // ENTRIES_PER_TURN
    assert seen == {0, 4600} and rig.discovery.version == 2
    assert rig.forwarder.endpoints.ready() == 4599


@rigged
async def test_a_row_that_can_not_be_read_late_in_a_long_list_fails_the_call(rig: Rig) -> None:
    """The list known stands, what came behind it is not taken, and the next call's news is."""
    bad = rows(1500, "ready")
    bad[-1]["hostPort"] = "nowhere"
    rig.read(news_of(8, True, bad), news_of(9, False, rows(1, "ready")))
    await rig.turns(lambda: len(rig.told) == 1)
    assert [news.kind for news in rig.told[0]] == [UpdateKind.FETCH_FAILED]
    assert rig.discovery.version == 0 and rig.forwarder.endpoints.size() == 0
    rig.opened()
    rig.read(news_of(9, True, rows(3, "ready")))
    assert rig.forwarder.endpoints.ready() == 3 and rig.discovery.version == 9
    rig.read(news_of(10, True, bad))
    rig.call.fail()  # and where the next call's news waits behind it, that is taken
    rig.opened()
    rig.read(news_of(11, False, rows(2)))
    await rig.turns(lambda: rig.discovery.version == 11)
    assert rig.forwarder.endpoints.size() == 3 and rig.forwarder.endpoints.ready() == 1


def test_what_is_counted_as_it_changes_agrees_with_a_count_of_the_whole_list() -> None:
    """Ready planners, their number and their interfaces, through changes of two sources, drains and plans."""
    rng = random.Random(5)
    sets: list[frozenset[int]] = []
    table = EndpointTable(lambda news: None, on_interfaces_changed=lambda: sets.append(table.interfaces()))
    for _ in range(3000):
        source, worker = rng.choice("ab"), worker_id(rng.randrange(12))
        entry = EndpointEntry(
            worker,
            state=rng.choice(list(EndpointState)),
            started_at_ms=float(rng.randrange(3)),
            interface=rng.randrange(3),
        )
        what = rng.random()
        if what < 0.8:
            line = (entry, Endpoint(worker, Mock(), None))
            more = (replace(entry, state=EndpointState.READY), line[1])
            table.update(
                source,
                rng.choice((UpdateKind.DELTA, UpdateKind.DELTA, UpdateKind.SNAPSHOT)),
                0,
                [line, more][: rng.randrange(1, 3)],
            )
        elif what < 0.9:
            table.mark_draining(worker)
        else:
            table.set_planned_weights({worker: (rng.random(),)})
        listed = table.entries()
        ready = [entry for entry in listed if entry.state is EndpointState.READY]
        assert table.ready() == len(ready)
        assert table.size() == len({entry.worker for entry in listed})
        assert table.interfaces() == {entry.interface for entry in ready}
    assert len(sets) > 100 and all(a != b for a, b in zip(sets, sets[1:], strict=False))
