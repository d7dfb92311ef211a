"""Planners that are replaced are forgotten, and whatever is still owed of them is kept."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from unittest.mock import Mock

import pytest
from attempt_rig import Rig, late_connections
from grpc_peer import GrpcPlanner, bench
from helpers import entries
from interface_world import World, row
from loopback import SETTINGS, Planner, Run, async_test

from pipitshed.proxy.endpoint_table import FORGET_AFTER_S, EndpointTable
from pipitshed.proxy.worker_client import Endpoint
from pipitshed.scheduling.events import EndpointEntry, EndpointState, Outcome, UpdateKind

DAY, REPLACED, LISTED = 86_400.0, 433, 200


class Clock:
    now = 0.0

    def __call__(self) -> float:
        return self.now


def name(number: int) -> bytes:
    return b"s-%06d" % number


def line(
    number: int, state: EndpointState = EndpointState.READY, port: int = 5000
) -> tuple[EndpointEntry, Endpoint]:
    return EndpointEntry(name(number), state=state), Endpoint(
        name(number), Mock(), (f"10.0.{number >> 8}.1", port)
    )


def objects(table: EndpointTable) -> int:
    """How many planners the table holds in any of its parts."""
    parts = (table._endpoints, table._leaving, table._removed_at, table._draining_marks)
    return max(sum(map(len, table._listed.values())), *map(len, parts))


@pytest.mark.parametrize("whole", [False, True])
def test_a_day_of_replacements_leaves_no_more_than_the_list_and_its_last_minute(whole: bool) -> None:
    """433 more were held after one day, in each of the table's parts; by changes, and by whole lists."""
    clock = Clock()
    table = EndpointTable(lambda news: None, clock)
    forgotten: list[bytes] = []
    table.attach_forgotten_listener(forgotten.append)
    table.update("test", UpdateKind.SNAPSHOT, 1, [line(number) for number in range(LISTED)])
    for number in range(REPLACED):
        clock.now += DAY / REPLACED
        table.mark_draining(name(number))
        if whole:
            first = number + 1
            table.update("test", UpdateKind.SNAPSHOT, 2, [line(one) for one in range(first, first + LISTED)])
        else:
            table.update("test", UpdateKind.DELTA, 2, [line(number, EndpointState.DRAINING)])
            table.update(
                "test", UpdateKind.DELTA, 2, [line(number, EndpointState.REMOVED), line(number + LISTED)]
            )
        assert objects(table) <= LISTED + 1
    assert table.size() == table.ready() == LISTED
    assert forgotten == [name(number) for number in range(REPLACED - 1)]


def test_a_name_that_comes_back_is_not_forgotten_and_has_its_new_address() -> None:
    """Within the minute and after it, with the same or another address; and while another source lists it."""
    clock = Clock()
    table = EndpointTable(lambda news: None, clock)
    for after in (FORGET_AFTER_S - 1, FORGET_AFTER_S + 1):
        table.update("test", UpdateKind.DELTA, 1, [line(1), line(2)])
        table.update("other", UpdateKind.DELTA, 1, [line(2)])
        table.update(
            "test", UpdateKind.DELTA, 1, [line(1, EndpointState.REMOVED), line(2, EndpointState.REMOVED)]
        )
        assert table.is_leaving(name(1))
        clock.now += after
        table.update("test", UpdateKind.DELTA, 2, [line(1, port=6000)])
        clock.now += 2 * FORGET_AFTER_S
        table.update("test", UpdateKind.DELTA, 2, [line(3)])
        told = [table.endpoint(name(number)) for number in (1, 2)]
        assert [one is not None and one.address[1] for one in told] == [6000, 5000]
        assert not table.is_leaving(name(1))


@pytest.mark.parametrize("again", [False, True])
def test_an_attempt_whose_connection_comes_up_long_after_its_planner_left_is_not_written(again: bool) -> None:
    """Forgotten meanwhile, its planner would have counted as one that nothing is known against."""

    @async_test
    async def run() -> None:
        async with Planner("p1") as planner, late_connections() as up:
            rig, clock = Rig(), Clock()
            table = rig.forwarder.endpoints
            table._clock = clock
            rig.lists(planner.port)
            [entry, other] = entries(2)
            rig.send(rig.take("a1"))
            await asyncio.sleep(0)
            rig.lists(planner.port, EndpointState.REMOVED)
            for _ in range(3):  # news of another planner, in which others would be forgotten
                clock.now += 2 * FORGET_AFTER_S
                table.update(
                    "test", UpdateKind.DELTA, 1, [(other, Endpoint(other.worker, rig.carrier, None))]
                )
            assert table.is_leaving(entry.worker) and table.endpoint(entry.worker) is not None
            up()
            assert await rig.outcome() is Outcome.CONNECT_FAILED and not planner.runs
            if again:  # it is back, and cold: what is held of it is of its new start
                rig.lists(planner.port)
                rig.send(rig.take("a2"))
                assert await rig.outcome() is Outcome.OK
            clock.now += 2 * FORGET_AFTER_S
            table.update("test", UpdateKind.DELTA, 1, [(replace(other, weight=2.0), Mock())])
            assert (table.endpoint(entry.worker) is not None) is again
            rig.carrier.close()

    run()


@async_test
async def test_a_job_out_at_a_planner_that_was_replaced_is_answered() -> None:
    """Its attempt holds its connection, and its outcome is told, whatever the table forgot."""
    async with Planner("p1", act=lambda run: run.send_event("started")) as planner:
        rig, clock = Rig(), Clock()
        rig.forwarder.endpoints._clock = clock
        rig.forwarder.endpoints._workers_in_use = lambda: ()  # even then
        rig.lists(planner.port)
        rig.send(rig.take("a1"))
        run = await planner.wait_for(1)
        rig.lists(planner.port, EndpointState.REMOVED)
        clock.now += 2 * FORGET_AFTER_S
        rig.forwarder.endpoints.update("test", UpdateKind.DELTA, 1, [])
        assert rig.forwarder.endpoints.endpoint(rig.worker) is None
        run.send_event("done", result="made")
        assert await rig.outcome() is Outcome.OK


@async_test
async def test_the_pool_forgets_the_addresses_of_planners_that_were_replaced() -> None:
    """An empty list for each address that ever was."""
    rig = Rig()
    for number in range(12):
        async with Planner(f"p{number}", act=Run.serve) as planner:
            rig.lists(planner.port)
            rig.send(rig.take(f"a{number}"))
            assert await rig.outcome() is Outcome.OK
            connection = next(iter(rig.carrier._open_connections))
        while connection in rig.carrier._open_connections:  # the planner's end closes it
            await asyncio.sleep(0)
    assert not rig.carrier.pool._idle and not rig.carrier.pool._by_age and not rig.carrier._open_connections


@async_test
async def test_a_connection_that_comes_up_for_nobody_is_closed_as_any_idle_one() -> None:
    """Its attempt may not begin any more, as the planner has left; nothing else would end the connection."""
    permissions = SETTINGS["permissions"] | {"idleClose": 100.0, "maxAttempts": 1}
    async with (
        GrpcPlanner("p1") as planner,
        late_connections() as up,
        bench(planner, settings={"permissions": permissions}) as made,
    ):
        caller = made.ask()
        while not made.carrier._all:
            await asyncio.sleep(0)
        made.list(planner, state=EndpointState.REMOVED)
        up()
        while not planner.peers:
            await asyncio.sleep(0)
        await asyncio.wait_for(planner.peers[0].lost.wait(), 2.0)
        assert not planner.calls and not made.carrier._all and not made.carrier._connections
        made.leave(caller)


def test_what_is_known_of_interfaces_is_forgotten_where_a_whole_list_leaves_a_planner_out() -> None:
    """No row says `gone` then: the planner was known for ever, and asked again and again."""
    world, clock = World(), Clock()
    world.table._clock = clock
    world.table.attach_forgotten_listener(world.interfaces.forget)
    world.list(row("p1"), row("p2"))
    world.table.update("test", UpdateKind.SNAPSHOT, 2, [world.listing.row(row("p2"))])
    clock.now += 2 * FORGET_AFTER_S
    world.list(row("p2"))
    assert list(world.interfaces._known) == [b"p2"]
    world.list(row("p1", started=5.0))
    world.interfaces.detected(b"p1", ("127.0.0.1", 7), 2)
    assert world.entry("p1").interface == 2
