"""Which interface a planner speaks: told, found out once per start, found wrong, and held while it drains."""

import asyncio

import msgspec
import pytest
from grpc_peer import GrpcPlanner
from interface_world import World, row
from loopback import Planner, async_test

from pipitshed.discovery.worker_interfaces import MAX_CONCURRENT_PROBES
from pipitshed.scheduling.events import EndpointState
from pipitshed.upstream.interface_probe import InterfaceProber


def test_the_row_then_settings_then_the_default_tell() -> None:
    world = World({"p2": 2, "p3": 2}, default=1)
    world.list(row("p1"), row("p2"), row("p3", interface=1))
    assert [world.entry(name).interface for name in ("p1", "p2", "p3")] == [1, 2, 1]
    assert not world.asked
    assert world.table.endpoint(b"p2").client == "grpc"  # type: ignore[union-attr,comparison-overlap]
    assert world.table.interfaces() == {1, 2}


def test_what_nobody_tells_is_found_out_once_per_start_and_gets_nothing_until_then() -> None:
    world = World()
    world.list(row())
    world.list(row(), row())
    assert len(world.asked) == 1 and world.entry("p1").job_classes == frozenset()
    assert 0 in world.table.interfaces()
    world.interfaces.detected(*world.asked[0], 2)
    assert world.entry("p1").interface == 2 and world.entry("p1").job_classes is None
    world.list(row())
    assert len(world.asked) == 1
    world.list(row(started=2.0))  # the same instance is back, perhaps with the other one
    assert len(world.asked) == 2 and world.entry("p1").job_classes == frozenset()
    world.interfaces.detected(*world.asked[1], 1)
    assert world.entry("p1").interface == 1


def test_one_that_cannot_be_asked_is_asked_again_ever_more_rarely() -> None:
    world = World()
    world.list(row())
    waits = []
    for _ in range(7):
        world.interfaces.detected(*world.asked[-1], 0)
        wait, again = world.later.pop()
        waits.append(wait)
        again()
    assert waits == [0.25, 0.5, 1.0, 2.0, 4.0, 4.0, 4.0] and len(world.asked) == 8
    world.list(row(lifecycle="gone"))
    world.interfaces.detected(*world.asked[-1], 0)
    assert not world.later


def test_a_wide_fleet_is_asked_a_few_at_a_time() -> None:
    world = World()
    world.list(*(row(f"p{number}") for number in range(100)))
    assert len(world.asked) == MAX_CONCURRENT_PROBES
    for place in range(100):
        world.interfaces.detected(*world.asked[place], 1 + place % 2)
        assert len(world.asked) <= place + 1 + MAX_CONCURRENT_PROBES
    assert len(world.asked) == 100 and world.table.interfaces() == {1, 2}


@pytest.mark.parametrize("address", ["", "10.0.0.7", "10.0.0.7:http", "10.0.0.7:70000"])
def test_rows_with_an_address_that_is_none_cost_no_probe(address: str) -> None:
    """Guards against a probe lost for each such row: after eight of them no worker was probed any more, and
    all workers whose interface nobody tells were left without a job."""
    world = World()
    for number in range(2 * MAX_CONCURRENT_PROBES):
        with pytest.raises(ValueError, match="host:port"):
            world.list(msgspec.structs.replace(row(f"bad{number}"), host_port=address))
    world.list(*(row(f"p{number}") for number in range(100)))
    assert len(world.asked) == MAX_CONCURRENT_PROBES
    for place in range(100):
        world.interfaces.detected(*world.asked[place], 1)
    assert len(world.asked) == 100


def test_a_row_that_is_seen_to_be_wrong_is_doubted_and_found_out() -> None:
    world = World()
    world.list(row(interface=2))
    world.interfaces.mismatched(b"p1")
    assert world.entry("p1").job_classes == frozenset()
    world.interfaces.detected(*world.asked[0], 1)
    assert world.entry("p1").interface == 1
    world.list(row(interface=2))  # the row says the same again: what was found stands for this start
    assert world.entry("p1").interface == 1
    world.list(row(started=2.0, interface=2))
    assert world.entry("p1").interface == 2


def test_its_own_word_of_a_drain_holds_until_it_takes_connections_again() -> None:
    world = World()
    world.list(row(interface=2))
    world.interfaces.drains(b"p1")
    assert world.entry("p1").state is EndpointState.DRAINING
    world.list(row(interface=2))
    assert world.entry("p1").state is EndpointState.DRAINING
    [(wait, again)] = world.later
    assert wait == 2.0
    world.later.clear()
    again()
    world.interfaces.detected(*world.asked[0], 0)  # it leaves still
    assert world.entry("p1").state is EndpointState.DRAINING
    world.later.pop()[1]()
    world.interfaces.detected(*world.asked[1], 2)
    assert world.entry("p1").state is EndpointState.READY


@async_test
async def test_sounding_tells_the_interfaces_apart() -> None:
    found: dict[bytes, int] = {}
    loop = asyncio.get_running_loop()
    sounder = InterfaceProber(loop, lambda worker, address, interface: found.update({worker: interface}))
    async with (
        GrpcPlanner() as newer,
        Planner("old") as older,
        GrpcPlanner() as mute,
        GrpcPlanner() as leaving,
    ):
        mute.settings = None
        sounder.probe(b"newer", ("127.0.0.1", newer.port))
        sounder.probe(b"older", ("127.0.0.1", older.port))
        sounder.probe(b"mute", ("127.0.0.1", mute.port))
        sounder.probe(b"nobody", ("127.0.0.1", 1))
        sounder.probe(b"leaving", ("127.0.0.1", leaving.port))
        while not leaving.peers:
            await asyncio.sleep(0.005)
        leaving.peers[0].goaway(0)
        while len(found) < 5:
            await asyncio.sleep(0.02)
    assert found == {b"newer": 2, b"older": 1, b"mute": 0, b"nobody": 0, b"leaving": 0}
