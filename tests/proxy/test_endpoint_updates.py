"""Updates of the endpoint list: those of one event loop iteration reach the dispatcher as one."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest.mock import Mock

import pytest
from catalog_updates import HEAD, catalog_entries, chunk, update_bytes
from helpers import entries, settings, worker_id

from pipitshed.discovery.catalog import CatalogClient, EndpointParser, NameIndex
from pipitshed.discovery.catalog.client import ENTRIES_PER_TURN
from pipitshed.discovery.catalog.watch import CatalogCall
from pipitshed.proxy.attempt import Attempt
from pipitshed.proxy.endpoint_table import EndpointTable
from pipitshed.proxy.forwarder import Forwarder
from pipitshed.proxy.request import Request
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.scheduling.events import EndpointEntry, EndpointState, EndpointsUpdated, Outcome, UpdateKind
from pipitshed.scheduling.settings import DeduplicationScope, Idempotency, WeightKind


class Rig:
    """A catalog watch that feeds a forwarder, without sockets; it records what the dispatcher receives."""

    def __init__(self, **changes: Any) -> None:
        loop = asyncio.get_running_loop()
        self.forwarder = Forwarder(settings(**changes), 1, loop)
        handle = self.forwarder._dispatcher.handle
        self.received: list[list[EndpointsUpdated]] = []  # by event loop iteration

        def record(now: float, events: Any) -> Any:
            self.received.append([event for event in events if isinstance(event, EndpointsUpdated)])
            return handle(now, events)

        self.forwarder._dispatcher.handle = record  # type: ignore[method-assign]
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
        """Pass all pieces to the watch in one read."""
        self.call.data_received(b"".join(chunk(piece) for piece in pieces))

    async def run_until(self, condition: Callable[[], bool]) -> int:
        """Run the event loop until the condition holds; return the number of iterations."""
        count = 0
        while not condition():
            await asyncio.sleep(0)
            count += 1
            assert count < 1000
        return count


def with_rig(body: Callable[[Rig], Any]) -> Callable[[], None]:
    async def run() -> None:
        await body(Rig())

    def test() -> None:
        asyncio.run(run())

    test.__name__, test.__doc__ = body.__name__, body.__doc__
    return test


@with_rig
async def test_a_lost_zone_in_one_read_is_one_change_to_the_decisions(rig: Rig) -> None:
    """Guards against 657 rebuilds of all worker pools for 657 updates of one worker each."""
    rig.read(update_bytes(1, True, catalog_entries(1400, "ready")))
    await rig.run_until(lambda: len(rig.received) == 1)
    lost = catalog_entries(657)
    rig.read(
        *[update_bytes(2 + index, False, [row]) for index, row in enumerate(lost)],
        update_bytes(700, False, [lost[5] | {"lifecycle": "ready", "startedAtMs": 9}]),
    )
    await rig.run_until(lambda: len(rig.received) == 2)
    [change] = rig.received[1]
    assert change.kind is UpdateKind.DELTA and change.version == 700 == rig.discovery.version
    names = [str(row["instanceId"]).encode() for row in lost]
    assert [entry.worker for entry in change.entries] == [*names[:5], *names[6:], names[5]]
    assert {entry.state for entry in change.entries[:-1]} == {EndpointState.DRAINING}
    assert (change.entries[-1].state, change.entries[-1].started_at_ms) == (EndpointState.READY, 9.0)
    assert rig.forwarder.endpoints.ready() == 1400 - 656 and rig.forwarder.endpoints.size() == 1400


@with_rig
async def test_a_failed_fetch_between_two_updates_of_an_iteration_keeps_its_position(rig: Rig) -> None:
    """The dispatcher counts the failures since the last update."""
    one, two = catalog_entries(2, "ready")
    rig.read(update_bytes(1, False, [one]), update_bytes(2, False, [two]))
    rig.call.fail()
    rig.opened()
    rig.read(update_bytes(3, False, [one | {"weight": 2.0}]), update_bytes(4, False, [two | {"weight": 2.0}]))
    await rig.run_until(lambda: len(rig.received) == 1)
    assert [(update.kind, update.version, len(update.entries)) for update in rig.received[0]] == [
        (UpdateKind.DELTA, 2, 2),
        (UpdateKind.FETCH_FAILED, 0, 0),
        (UpdateKind.DELTA, 4, 2),
    ]


@pytest.mark.parametrize("weights, changed_count", [(WeightKind.ROUGH, 2), (WeightKind.LIVE, 1500)])
def test_a_snapshot_passes_only_changes_to_the_dispatcher(weights: WeightKind, changed_count: int) -> None:
    """Of 1,500 workers, one has changed and one is gone. Live weights are smoothed with each update, so with
    them all entries are passed on."""

    async def run() -> None:
        rig = Rig(weight_kind=weights)
        rig.read(update_bytes(1, True, catalog_entries(1500, "ready")))
        await rig.run_until(lambda: len(rig.received) == 1)
        before = dict(rig.forwarder.endpoints._endpoints)
        again = catalog_entries(1499, "ready")
        again[7]["lifecycle"] = "draining"
        rig.read(update_bytes(2, True, again))
        await rig.run_until(lambda: len(rig.received) == 2)
        [change] = rig.received[1]
        assert len(change.entries) == changed_count
        assert {
            entry.worker: entry.state for entry in change.entries if entry.state is not EndpointState.READY
        } == {
            b"s-00000007": EndpointState.DRAINING,
            b"s-000005db": EndpointState.REMOVED,
        }
        assert all(before[worker] is target for worker, target in rig.forwarder.endpoints._endpoints.items())

    asyncio.run(run())


@with_rig
async def test_a_long_list_is_parsed_over_several_iterations_and_applied_as_a_whole(rig: Rig) -> None:
    """Guards against a loop that is blocked for 27 ms by 4,600 workers, and against a part of the list in the
    table, which would get all jobs."""
    rig.read(
        update_bytes(1, True, catalog_entries(4600, "ready")), update_bytes(2, False, [catalog_entries(1)[0]])
    )
    seen = set()

    def is_received() -> bool:
        seen.add(rig.forwarder.endpoints.size())
        return bool(rig.received)

    assert await rig.run_until(is_received) >= 4600 // ENTRIES_PER_TURN
    assert seen == {0, 4600} and rig.discovery.version == 2
    assert rig.forwarder.endpoints.ready() == 4599


@with_rig
async def test_an_invalid_row_late_in_a_long_list_fails_the_fetch(rig: Rig) -> None:
    """The known list stays, input after the invalid row is ignored, and the next fetch applies."""
    bad = catalog_entries(1500, "ready")
    bad[-1]["hostPort"] = "nowhere"
    rig.read(update_bytes(8, True, bad), update_bytes(9, False, catalog_entries(1, "ready")))
    await rig.run_until(lambda: len(rig.received) == 1)
    assert [update.kind for update in rig.received[0]] == [UpdateKind.FETCH_FAILED]
    assert rig.discovery.version == 0 and rig.forwarder.endpoints.size() == 0
    rig.opened()
    rig.read(update_bytes(9, True, catalog_entries(3, "ready")))
    assert rig.forwarder.endpoints.ready() == 3 and rig.discovery.version == 9
    rig.read(update_bytes(10, True, bad))
    rig.call.fail()  # an update of the next watch that waits behind a failed one is applied
    rig.opened()
    rig.read(update_bytes(11, False, catalog_entries(2)))
    await rig.run_until(lambda: rig.discovery.version == 11)
    assert rig.forwarder.endpoints.size() == 3 and rig.forwarder.endpoints.ready() == 1


def test_incremental_counts_agree_with_a_count_of_the_whole_list() -> None:
    """Ready workers, list size and interfaces, over updates of two sources, drains and planned weights."""
    rng = random.Random(5)
    reported: list[frozenset[int]] = []
    table = EndpointTable(
        lambda update: None, on_interfaces_changed=lambda: reported.append(table.interfaces())
    )
    for _ in range(3000):
        source, worker = rng.choice("ab"), worker_id(rng.randrange(12))
        entry = EndpointEntry(
            worker,
            state=rng.choice(list(EndpointState)),
            started_at_ms=float(rng.randrange(3)),
            interface=rng.randrange(3),
        )
        choice = rng.random()
        if choice < 0.8:
            line = (entry, Endpoint(worker, Mock(), None))
            more = (replace(entry, state=EndpointState.READY), line[1])
            table.update(
                source,
                rng.choice((UpdateKind.DELTA, UpdateKind.DELTA, UpdateKind.SNAPSHOT)),
                0,
                [line, more][: rng.randrange(1, 3)],
            )
        elif choice < 0.9:
            table.mark_draining(worker)
        else:
            table.set_planned_weights({worker: (rng.random(),)})
        listed = table.entries()
        ready = [entry for entry in listed if entry.state is EndpointState.READY]
        assert table.ready() == len(ready)
        assert table.size() == len({entry.worker for entry in listed})
        assert table.interfaces() == {entry.interface for entry in ready}
    assert len(reported) > 100 and all(a != b for a, b in zip(reported, reported[1:], strict=False))


def test_a_job_submitted_in_the_iteration_of_a_move_is_counted_for_the_worker_s_new_zone() -> None:
    """Guards against a booking that runs in two zones: the attempt goes to the address that the table has by
    then, so the dispatcher must know the move when it chooses the worker."""

    async def run() -> None:
        forwarder = Forwarder(
            settings(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE), 1, asyncio.get_running_loop()
        )
        started: asyncio.Queue[Attempt] = asyncio.Queue()
        client = Mock(start=started.put_nowait)
        moved, in_zone_0, in_zone_1 = entries(3)
        assert (moved.zone, in_zone_0.zone, in_zone_1.zone) == (1, 0, 1)

        def list_worker(entry: EndpointEntry, address: str) -> None:
            row = (entry, Endpoint(entry.worker, client, address))
            forwarder.endpoints.update("test", UpdateKind.DELTA, 1, [row])

        list_worker(moved, "zone 1")
        await asyncio.sleep(0)
        forwarder.submit(Request("b1", 0, 5000.0, 0, b"", "k1"), Mock())
        list_worker(replace(moved, zone=0), "zone 0")
        first = await started.get()
        assert first.endpoint.address == "zone 0"
        first.fully_sent = True
        list_worker(replace(moved, zone=0, state=EndpointState.DRAINING), "zone 0")
        list_worker(in_zone_0, "zone 0")
        list_worker(in_zone_1, "zone 1")
        forwarder.attempt_finished(first, Outcome.RESET)
        assert (await started.get()).endpoint.id == in_zone_0.worker

    asyncio.run(run())
