"""Removed workers are forgotten, but not while an attempt or a notification still depends on them."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from unittest.mock import Mock

import pytest
from attempt_rig import Rig, delayed_connections
from grpc_peer import GrpcPlanner, forwarder_rig
from helpers import entries
from interface_registry_rig import RegistryRig, catalog_entry
from loopback import SETTINGS, Planner, Run, async_test

from pipitshed.proxy.endpoint_table import FORGET_AFTER_S, EndpointTable
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.scheduling.events import EndpointEntry, EndpointState, Outcome, UpdateKind

DAY_S, REPLACED, LISTED = 86_400.0, 433, 200


class Clock:
    now = 0.0

    def __call__(self) -> float:
        return self.now


def name(number: int) -> bytes:
    return b"s-%06d" % number


def row(
    number: int, state: EndpointState = EndpointState.READY, port: int = 5000
) -> tuple[EndpointEntry, Endpoint]:
    return EndpointEntry(name(number), state=state), Endpoint(
        name(number), Mock(), (f"10.0.{number >> 8}.1", port)
    )


def largest_part(table: EndpointTable) -> int:
    """The largest number of workers that any part of the table holds."""
    parts = (table._endpoints, table._leaving, table._removed_at, table._draining_marks)
    return max(sum(map(len, table._listed.values())), *map(len, parts))


@pytest.mark.parametrize("snapshots", [False, True])
def test_replaced_workers_do_not_accumulate_over_a_day(snapshots: bool) -> None:
    """Guards against a leak: after one day each part of the table held 433 replaced workers, by deltas and by
    snapshots."""
    clock = Clock()
    table = EndpointTable(lambda update: None, clock)
    forgotten: list[bytes] = []
    table.attach_forgotten_listener(forgotten.append)
    table.update("test", UpdateKind.SNAPSHOT, 1, [row(number) for number in range(LISTED)])
    for number in range(REPLACED):
        clock.now += DAY_S / REPLACED
        table.mark_draining(name(number))
        if snapshots:
            first = number + 1
            table.update("test", UpdateKind.SNAPSHOT, 2, [row(one) for one in range(first, first + LISTED)])
        else:
            table.update("test", UpdateKind.DELTA, 2, [row(number, EndpointState.DRAINING)])
            table.update(
                "test", UpdateKind.DELTA, 2, [row(number, EndpointState.REMOVED), row(number + LISTED)]
            )
        assert largest_part(table) <= LISTED + 1
    assert table.size() == table.ready() == LISTED
    assert forgotten == [name(number) for number in range(REPLACED - 1)]


def test_a_worker_that_returns_is_not_forgotten_and_has_its_new_address() -> None:
    """The worker returns before and after FORGET_AFTER_S, at another address or listed by another source."""
    clock = Clock()
    table = EndpointTable(lambda update: None, clock)
    for after in (FORGET_AFTER_S - 1, FORGET_AFTER_S + 1):
        table.update("test", UpdateKind.DELTA, 1, [row(1), row(2)])
        table.update("other", UpdateKind.DELTA, 1, [row(2)])
        table.update(
            "test", UpdateKind.DELTA, 1, [row(1, EndpointState.REMOVED), row(2, EndpointState.REMOVED)]
        )
        assert table.is_leaving(name(1))
        clock.now += after
        table.update("test", UpdateKind.DELTA, 2, [row(1, port=6000)])
        clock.now += 2 * FORGET_AFTER_S
        table.update("test", UpdateKind.DELTA, 2, [row(3)])
        endpoints = [table.endpoint(name(number)) for number in (1, 2)]
        assert [one is not None and one.address[1] for one in endpoints] == [6000, 5000]
        assert not table.is_leaving(name(1))


@pytest.mark.parametrize("again", [False, True])
def test_an_attempt_whose_connection_opens_after_its_worker_was_removed_is_not_written(again: bool) -> None:
    """Guards against an attempt written to a worker that was forgotten, and so no longer known as leaving."""

    @async_test
    async def run() -> None:
        async with Planner("p1") as planner, delayed_connections() as up:
            rig, clock = Rig(), Clock()
            table = rig.forwarder.endpoints
            table._clock = clock
            rig.list_worker(planner.port)
            [entry, other] = entries(2)
            rig.start_attempt(rig.submit("a1"))
            await asyncio.sleep(0)
            rig.list_worker(planner.port, EndpointState.REMOVED)
            for _ in range(3):  # updates of another worker, during which the removed one would be forgotten
                clock.now += 2 * FORGET_AFTER_S
                table.update(
                    "test", UpdateKind.DELTA, 1, [(other, Endpoint(other.worker, rig.worker_client, None))]
                )
            assert table.is_leaving(entry.worker) and table.endpoint(entry.worker) is not None
            up()
            assert await rig.outcome() is Outcome.CONNECT_FAILED and not planner.runs
            if again:  # the worker returns
                rig.list_worker(planner.port)
                rig.start_attempt(rig.submit("a2"))
                assert await rig.outcome() is Outcome.OK
            clock.now += 2 * FORGET_AFTER_S
            table.update("test", UpdateKind.DELTA, 1, [(replace(other, weight=2.0), Mock())])
            assert (table.endpoint(entry.worker) is not None) is again
            rig.worker_client.close()

    run()


@async_test
async def test_a_job_at_a_worker_that_was_replaced_is_answered() -> None:
    """The attempt keeps its connection, and its outcome is reported, although the table forgot the worker."""
    async with Planner("p1", act=lambda run: run.send_event("started")) as planner:
        rig, clock = Rig(), Clock()
        rig.forwarder.endpoints._clock = clock
        rig.forwarder.endpoints._workers_in_use = lambda: ()  # the worker is forgotten although it is in use
        rig.list_worker(planner.port)
        rig.start_attempt(rig.submit("a1"))
        run = await planner.wait_for(1)
        rig.list_worker(planner.port, EndpointState.REMOVED)
        clock.now += 2 * FORGET_AFTER_S
        rig.forwarder.endpoints.update("test", UpdateKind.DELTA, 1, [])
        assert rig.forwarder.endpoints.endpoint(rig.worker) is None
        run.send_event("done", result="made")
        assert await rig.outcome() is Outcome.OK


@async_test
async def test_the_pool_forgets_the_addresses_of_workers_that_were_replaced() -> None:
    """Guards against a leak: the pool kept an empty list for each address it had ever used."""
    rig = Rig()
    for number in range(12):
        async with Planner(f"p{number}", act=Run.serve) as planner:
            rig.list_worker(planner.port)
            rig.start_attempt(rig.submit(f"a{number}"))
            assert await rig.outcome() is Outcome.OK
            connection = next(iter(rig.worker_client._open_connections))
        while connection in rig.worker_client._open_connections:  # until the closed peer's EOF is read
            await asyncio.sleep(0)
    assert (
        not rig.worker_client.pool._idle
        and not rig.worker_client.pool._by_age
        and not rig.worker_client._open_connections
    )


@async_test
async def test_a_connection_that_opens_without_an_attempt_is_closed_as_idle() -> None:
    """The attempt may not start, because the worker was removed; nothing else would close the connection."""
    permissions = SETTINGS["permissions"] | {"idleClose": 100.0, "maxAttempts": 1}
    async with (
        GrpcPlanner("p1") as planner,
        delayed_connections() as up,
        forwarder_rig(planner, settings={"permissions": permissions}) as made,
    ):
        caller = made.submit()
        while not made.worker_client._all:
            await asyncio.sleep(0)
        made.list_workers(planner, state=EndpointState.REMOVED)
        up()
        while not planner.peers:
            await asyncio.sleep(0)
        await asyncio.wait_for(planner.peers[0].lost.wait(), 2.0)
        assert not planner.calls and not made.worker_client._all and not made.worker_client._connections
        made.withdraw(caller)


def test_an_interface_is_forgotten_when_a_snapshot_omits_its_worker() -> None:
    """Guards against a worker that is probed forever: a snapshot has no row with `gone` for it."""
    world, clock = RegistryRig(), Clock()
    world.table._clock = clock
    world.table.attach_forgotten_listener(world.interfaces.forget)
    world.list_entries(catalog_entry("p1"), catalog_entry("p2"))
    world.table.update("test", UpdateKind.SNAPSHOT, 2, [world.parser.row(catalog_entry("p2"))])
    clock.now += 2 * FORGET_AFTER_S
    world.list_entries(catalog_entry("p2"))
    assert list(world.interfaces._known) == [b"p2"]
    world.list_entries(catalog_entry("p1", started_at_ms=5.0))
    world.interfaces.detected(b"p1", ("127.0.0.1", 7), 2)
    assert world.entry("p1").interface == 2
