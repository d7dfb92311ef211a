"""Which interface a worker speaks: configured, probed once per start, or corrected; and drain notices."""

import asyncio

import msgspec
import pytest
from grpc_peer import GrpcPlanner
from interface_registry_rig import RegistryRig, catalog_entry
from loopback import Planner, async_test

from pipitshed.discovery.worker_interfaces import MAX_CONCURRENT_PROBES
from pipitshed.scheduling.events import EndpointState
from pipitshed.upstream.interface_probe import InterfaceProber


def test_the_entry_then_the_settings_then_the_default_give_the_interface() -> None:
    rig = RegistryRig({"p2": 2, "p3": 2}, default=1)
    rig.list_entries(catalog_entry("p1"), catalog_entry("p2"), catalog_entry("p3", interface=1))
    assert [rig.entry(name).interface for name in ("p1", "p2", "p3")] == [1, 2, 1]
    assert not rig.probes
    assert rig.table.endpoint(b"p2").client == "grpc"  # type: ignore[union-attr,comparison-overlap]
    assert rig.table.interfaces() == {1, 2}


def test_an_unknown_interface_is_probed_once_per_start_and_gets_no_jobs_until_then() -> None:
    rig = RegistryRig()
    rig.list_entries(catalog_entry())
    rig.list_entries(catalog_entry(), catalog_entry())
    assert len(rig.probes) == 1 and rig.entry("p1").job_classes == frozenset()
    assert 0 in rig.table.interfaces()
    rig.interfaces.detected(*rig.probes[0], 2)
    assert rig.entry("p1").interface == 2 and rig.entry("p1").job_classes is None
    rig.list_entries(catalog_entry())
    assert len(rig.probes) == 1
    # The same instance has restarted, perhaps with the other interface.
    rig.list_entries(catalog_entry(started_at_ms=2.0))
    assert len(rig.probes) == 2 and rig.entry("p1").job_classes == frozenset()
    rig.interfaces.detected(*rig.probes[1], 1)
    assert rig.entry("p1").interface == 1


def test_failed_probes_are_retried_with_increasing_delays() -> None:
    rig = RegistryRig()
    rig.list_entries(catalog_entry())
    delays_s = []
    for _ in range(7):
        rig.interfaces.detected(*rig.probes[-1], 0)
        delay_s, callback = rig.timers.pop()
        delays_s.append(delay_s)
        callback()
    assert delays_s == [0.25, 0.5, 1.0, 2.0, 4.0, 4.0, 4.0] and len(rig.probes) == 8
    rig.list_entries(catalog_entry(lifecycle="gone"))
    rig.interfaces.detected(*rig.probes[-1], 0)
    assert not rig.timers


def test_the_number_of_concurrent_probes_is_limited() -> None:
    rig = RegistryRig()
    rig.list_entries(*(catalog_entry(f"p{number}") for number in range(100)))
    assert len(rig.probes) == MAX_CONCURRENT_PROBES
    for index in range(100):
        rig.interfaces.detected(*rig.probes[index], 1 + index % 2)
        assert len(rig.probes) <= index + 1 + MAX_CONCURRENT_PROBES
    assert len(rig.probes) == 100 and rig.table.interfaces() == {1, 2}


@pytest.mark.parametrize("address", ["", "10.0.0.7", "10.0.0.7:http", "10.0.0.7:70000"])
def test_entries_with_an_invalid_address_cause_no_probe(address: str) -> None:
    """Each such entry leaked a probe: after eight of them no worker was probed any more, and workers whose
    interface is not configured got no jobs."""
    rig = RegistryRig()
    for number in range(2 * MAX_CONCURRENT_PROBES):
        with pytest.raises(ValueError, match="host:port"):
            rig.list_entries(msgspec.structs.replace(catalog_entry(f"bad{number}"), host_port=address))
    rig.list_entries(*(catalog_entry(f"p{number}") for number in range(100)))
    assert len(rig.probes) == MAX_CONCURRENT_PROBES
    for index in range(100):
        rig.interfaces.detected(*rig.probes[index], 1)
    assert len(rig.probes) == 100


def test_an_entry_with_the_wrong_interface_is_corrected_by_a_probe() -> None:
    rig = RegistryRig()
    rig.list_entries(catalog_entry(interface=2))
    rig.interfaces.mismatched(b"p1")
    assert rig.entry("p1").job_classes == frozenset()
    rig.interfaces.detected(*rig.probes[0], 1)
    assert rig.entry("p1").interface == 1
    # The entry is unchanged: the detected interface is kept for this start.
    rig.list_entries(catalog_entry(interface=2))
    assert rig.entry("p1").interface == 1
    rig.list_entries(catalog_entry(started_at_ms=2.0, interface=2))
    assert rig.entry("p1").interface == 2


def test_a_workers_drain_notice_holds_until_it_accepts_connections_again() -> None:
    rig = RegistryRig()
    rig.list_entries(catalog_entry(interface=2))
    rig.interfaces.drain_announced(b"p1")
    assert rig.entry("p1").state is EndpointState.DRAINING
    rig.list_entries(catalog_entry(interface=2))
    assert rig.entry("p1").state is EndpointState.DRAINING
    [(delay_s, callback)] = rig.timers
    assert delay_s == 2.0
    rig.timers.clear()
    callback()
    rig.interfaces.detected(*rig.probes[0], 0)  # it is still stopping
    assert rig.entry("p1").state is EndpointState.DRAINING
    rig.timers.pop()[1]()
    rig.interfaces.detected(*rig.probes[1], 2)
    assert rig.entry("p1").state is EndpointState.READY


@async_test
async def test_the_prober_distinguishes_the_interfaces() -> None:
    detected: dict[bytes, int] = {}
    loop = asyncio.get_running_loop()
    prober = InterfaceProber(loop, lambda worker, address, interface: detected.update({worker: interface}))
    async with (
        GrpcPlanner() as newer,
        Planner("old") as older,
        GrpcPlanner() as silent,
        GrpcPlanner() as leaving,
    ):
        silent.settings = None
        prober.probe(b"newer", ("127.0.0.1", newer.port))
        prober.probe(b"older", ("127.0.0.1", older.port))
        prober.probe(b"mute", ("127.0.0.1", silent.port))
        prober.probe(b"nobody", ("127.0.0.1", 1))
        prober.probe(b"leaving", ("127.0.0.1", leaving.port))
        while not leaving.peers:
            await asyncio.sleep(0.005)
        leaving.peers[0].goaway(0)
        while len(detected) < 5:
            await asyncio.sleep(0.02)
    assert detected == {b"newer": 2, b"older": 1, b"mute": 0, b"nobody": 0, b"leaving": 0}
