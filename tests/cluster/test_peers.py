"""The cluster node's sockets, file and commands: rejected bytes, floods, silent streams, and errors."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable
from pathlib import Path

import pytest
import uvloop
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from loopback import ROOT, SETTINGS, TEST_TIMEOUT_S, async_test

from pipitshed.cli.commands import main
from pipitshed.cluster import streams
from pipitshed.cluster.codec import (
    DATAGRAM_LIMIT_BYTES,
    FRAME_LIMIT_BYTES,
    LENGTH_PREFIX,
    Codec,
    MessageRejectedError,
)
from pipitshed.cluster.config_file import ClusterConfig, ClusterConfigError, read
from pipitshed.cluster.datagrams import UNKNOWN_SENDERS_BURST, UNKNOWN_SENDERS_PER_S, RateLimiter
from pipitshed.cluster.messages import ViewRequest, ViewResponse
from pipitshed.cluster.node import ClusterNode
from pipitshed.membership.members import MemberRecord, MemberState
from pipitshed.membership.messages import GOSSIP_LIMIT_BYTES, Ack, Ping, RepairMessage
from pipitshed.membership.timing import ProtocolTimings
from pipitshed.replication.gossip_queue import GossipQueue
from pipitshed.replication.messages import Rows, pack

FAST_TIMINGS = ProtocolTimings(period=0.05, ack_within=0.02, sync=0.3, sync_with_gone=0.5, tombstones=30.0)


def member_records() -> st.SearchStrategy[MemberRecord]:
    text = st.text("ab-é", min_size=1, max_size=9)
    return st.builds(
        MemberRecord,
        text,
        text,
        st.integers(1, 65535),
        text,
        st.integers(0, 2**62 - 1),
        st.integers(0, 2**32 - 1),
        st.sampled_from(MemberState),
        text,
    )


@given(
    st.builds(
        Ping,
        st.integers(0, 2**40),
        member_records(),
        st.text(max_size=9),
        st.lists(member_records()).map(tuple),
    )
    | st.builds(
        Ack,
        st.integers(0, 2**40),
        member_records(),
        st.lists(member_records()).map(tuple),
        st.lists(st.binary(max_size=8), max_size=3).map(tuple),
    )
    | st.builds(
        RepairMessage,
        st.builds(Rows, st.integers(0, 9), st.lists(member_records()).map(pack)),
        member_records(),
    )
)
def test_encoded_messages_decode_to_the_same_messages(message: Ping | Ack | RepairMessage) -> None:
    codec = Codec("red", b"key")
    assert codec.decode(codec.encode(message)) == message


@given(st.binary(max_size=60), st.integers(0, 10_000), st.integers(0, 255))
@settings(max_examples=300)
def test_damaged_and_arbitrary_bytes_are_rejected(junk: bytes, position: int, value: int) -> None:
    codec = Codec("red")
    data = bytearray(codec.encode(Ping(1, MemberRecord("a", "h", 1, "z", 1, 1), "b")))
    position %= len(data)
    if data[position] != value:
        data[position] = value
        with pytest.raises(MessageRejectedError):
            codec.decode(bytes(data))
    with pytest.raises(MessageRejectedError):
        codec.decode(junk)
    with pytest.raises(MessageRejectedError):
        codec.decode(bytes(data[:position]))


@pytest.mark.parametrize(
    ("sender", "reason"),
    [(Codec("blue"), "cluster"), (Codec("red", b"another"), "checksum"), (Codec("red", b"key"), "")],
)
def test_messages_of_another_cluster_or_without_the_secret_are_rejected(sender: Codec, reason: str) -> None:
    data = sender.encode(ViewRequest())
    if not reason:
        assert Codec("red", b"key").decode(data) == ViewRequest()
        return
    with pytest.raises(MessageRejectedError, match="checksum" if reason == "cluster" else reason):
        Codec("red", b"key").decode(data)
    with pytest.raises(MessageRejectedError, match=reason):
        Codec("red").decode(data)


def test_newer_version_is_rejected_with_its_own_reason() -> None:
    data = bytearray(Codec("red").encode(ViewRequest()))
    data[2] += 1
    with pytest.raises(MessageRejectedError, match="version"):
        Codec("red").decode(bytes(data))


def test_gossip_with_the_longest_names_fits_a_datagram() -> None:
    queue: GossipQueue[MemberRecord] = GossipQueue()
    long = [
        MemberRecord(
            f"{n:064d}", "255.255.255.255", 65535, "z" * 64, 2**62 - 1, 2**32 - 1, MemberState.DEAD, "s" * 64
        )
        for n in range(40)
    ]
    for record in long:
        queue.add(record)
    taken = queue.take(GOSSIP_LIMIT_BYTES, 40)
    assert (
        taken
        and len(Codec("c" * 64).encode(Ping(2**60, long[0], long[1].name, taken))) <= DATAGRAM_LIMIT_BYTES
    )


def test_rate_limiter_enforces_burst_and_rate() -> None:
    limiter = RateLimiter(10.0, 20.0)
    assert sum(limiter.try_acquire(5.0) for _ in range(100)) == 20
    assert sum(limiter.try_acquire(5.0 + number / 100) for number in range(100)) in (9, 10)


VALID_FILE = 'name = "s1"\nlisten = "127.0.0.1:7946"\nseeds = ["127.0.0.1:7947"]\n'


@pytest.mark.parametrize(
    ("text", "line", "expected"),
    [
        ('name = "s1"', 1, "listen"),
        (VALID_FILE + 'zoom = "a"', 4, "zoom"),
        (VALID_FILE.replace('"127.0.0.1:7946"', '"here"'), 2, "listen: "),
        (VALID_FILE.replace('"127.0.0.1:7947"', '"there"'), 3, "seeds: "),
        (VALID_FILE.replace('"s1"', '""'), 1, "name: must not be empty"),
        (VALID_FILE + f'cluster = "{"c" * 65}"', 4, "cluster: longer than 64 bytes"),
        (VALID_FILE + '\n[scales]\nperiod = "soon"', 6, "scales.period"),
        (VALID_FILE + "\n[scales]\nperiod = 0.1\nack-within = 0.1", 7, "scales.ack-within"),
        (VALID_FILE + "\n[scales]\nhelpers = 2.5", 6, "scales.helpers"),
        (VALID_FILE + 'secret-file = "none"', 4, "secret-file: No such"),
        (VALID_FILE + "[scales", 0, "peers.toml"),
    ],
)
def test_invalid_file_is_reported_with_line_and_key(
    tmp_path: Path, text: str, line: int, expected: str
) -> None:
    path = tmp_path / "peers.toml"
    path.write_text(text)
    with pytest.raises(ClusterConfigError) as error:
        read(path)
    assert expected in str(error.value) and "\n" not in str(error.value)
    assert not line or f"peers.toml:{line}: " in str(error.value), str(error.value)
    (tmp_path / "config.json").write_text(json.dumps({"listen": "127.0.0.1:0", "settings": SETTINGS}))
    for command in ("serve", "check"):
        result = CliRunner().invoke(
            main, [command, "--fleet", str(path)], env={"LB_CONFIG": str(tmp_path / "config.json")}
        )
        assert result.exit_code == 2 and result.output.count("\n") == 1


def test_shipped_file_and_schema_agree(tmp_path: Path) -> None:
    shipped = ROOT / "deploy" / "fleet.toml"
    assert read(shipped).cluster == "pipitshed"
    schema = json.loads(CliRunner().invoke(main, ["schema", "peers"]).output)
    assert {"name", "listen", "seeds", "scales"} <= set(schema["$defs"]["ClusterFile"]["properties"])


# ---- Nodes on loopback sockets


def node_config(name: str, *seeds: tuple[str, int], secret: bytes = b"") -> ClusterConfig:
    return ClusterConfig(name, "z", ("127.0.0.1", 0), None, "red", secret, list(seeds), None, FAST_TIMINGS)


async def start_cluster(count: int, secret: bytes = b"") -> list[ClusterNode]:
    loop = asyncio.get_running_loop()
    nodes: list[ClusterNode] = []
    for number in range(count):
        nodes.append(
            ClusterNode(
                node_config(f"s{number}", *(node.address for node in nodes[:2]), secret=secret), "", loop
            )
        )
        await nodes[-1].start()
    await wait_until(lambda: all(len(node.membership.view.live_members()) == count for node in nodes))
    return nodes


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


def live_names(node: ClusterNode) -> list[str]:
    return [record.name for record in node.membership.view.live_members()]


def test_timer_due_at_once_is_rescheduled_without_an_exception() -> None:
    """Guards against a program that survives SIGTERM in the turn in which a step is due: uvloop's handle
    of a call that is due at once has no time, and reading that time raised an exception."""

    async def run() -> None:
        [node] = await start_cluster(1)
        timeouts: list[float] = []
        node.membership.next_due_at = lambda: 0.0  # type: ignore[method-assign]
        node.membership.handle_timeouts = lambda now: timeouts.append(now) or []  # type: ignore[method-assign, func-returns-value]
        node._timer = None
        node._schedule()
        node.leave()
        node._schedule()
        await wait_until(lambda: bool(timeouts))
        node.close()

    uvloop.run(asyncio.wait_for(run(), 20))


@async_test
async def test_schedulers_join_and_detect_a_death_and_a_departure() -> None:
    nodes = await start_cluster(4)
    await wait_until(lambda: len({node.membership.view.digest() for node in nodes}) == 1)
    nodes[3].close()  # without announcing its departure
    await wait_until(lambda: all(live_names(node) == ["s0", "s1", "s2"] for node in nodes[:3]))
    nodes[2].leave()
    await wait_until(lambda: all(live_names(node) == ["s0", "s1"] for node in nodes[:2]))
    record = nodes[0].membership.view.get("s2")
    assert record is not None and record.state is MemberState.LEFT
    for node in nodes:
        node.close()


@async_test
async def test_flood_of_forged_members_is_limited_and_removes_no_member() -> None:
    """Without a secret forged members are accepted at a limited rate; with a secret they are dropped."""
    for secret in (b"", b"key"):
        nodes = await start_cluster(3, secret)
        forger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        codec = Codec("red")
        started_at = asyncio.get_running_loop().time()
        for number in range(2000):
            forged = MemberRecord(f"liar{number}", "127.0.0.9", 9, "z", 1, 1)
            forger.sendto(codec.encode(Ping(number, forged, "s0")), nodes[0].address)
            await asyncio.sleep(0)  # lets the node read them, so that the kernel's buffer drops none
            forger.sendto(b"PF" + bytes(40), nodes[0].address)
            await asyncio.sleep(0)
        forger.close()
        await asyncio.sleep(0.5)
        counts = nodes[0].counts
        dropped = sum(count for name, count in counts.items() if name.startswith("dropped_"))
        # The limit is a rate, so the bound depends on how long the flood lasted on this machine.
        flood_s = asyncio.get_running_loop().time() - started_at
        admitted = UNKNOWN_SENDERS_BURST + UNKNOWN_SENDERS_PER_S * flood_s
        assert dropped > 1000 and len(nodes[0].membership.view) <= len(nodes) + admitted
        if secret:
            assert live_names(nodes[0]) == ["s0", "s1", "s2"] and counts["dropped_checksum"] > 0
        assert {"s0", "s1", "s2"} <= set(live_names(nodes[1]))
        assert all(
            node.membership.view.get(name).state is not MemberState.DEAD  # type: ignore[union-attr]
            for node in nodes
            for name in ("s0", "s1", "s2")
        )
        for node in nodes:
            node.close()


@pytest.fixture
def without_stream_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """No stream times out within the time limit of a test, however busy the machine is."""
    monkeypatch.setattr(streams, "STREAM_TIMEOUT_S", 2 * TEST_TIMEOUT_S)


def test_silent_streams_are_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(streams, "STREAM_TIMEOUT_S", 0.3)
    async_test(_check_silent_streams)()


async def _check_silent_streams() -> None:
    [node] = await start_cluster(1)
    connections = [await asyncio.open_connection(*node.address) for _ in range(streams.MAX_STREAMS)]
    ends = await asyncio.gather(*(reader.read() for reader, _ in connections), return_exceptions=True)
    assert len(ends) == streams.MAX_STREAMS  # all were closed, at their timeout at the latest
    assert node.counts["dropped_streams"] == 0
    node.close()


@pytest.mark.usefixtures("without_stream_timeout")
def test_streams_over_the_limit_are_closed() -> None:
    async_test(_check_stream_limit)()


async def _check_stream_limit() -> None:
    [node] = await start_cluster(1)
    connections = [await asyncio.open_connection(*node.address) for _ in range(streams.MAX_STREAMS + 8)]
    await wait_until(lambda: node.counts["dropped_streams"] == 8)
    reads = [asyncio.create_task(reader.read()) for reader, _ in connections]
    await asyncio.wait(reads[streams.MAX_STREAMS :])
    assert not any(read.done() for read in reads[: streams.MAX_STREAMS])
    assert node.counts["dropped_streams"] == 8
    node.close()
    await asyncio.wait(reads)


@pytest.mark.usefixtures("without_stream_timeout")
def test_streams_with_oversized_or_foreign_messages_are_closed() -> None:
    async_test(_check_stream_messages)()


async def _check_stream_messages() -> None:
    [node] = await start_cluster(1)
    reader, writer = await asyncio.open_connection(*node.address)
    writer.write(LENGTH_PREFIX.pack(FRAME_LIMIT_BYTES + 1))
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await reader.readexactly(1)
    assert node.counts["dropped_size"] == 1
    reader, writer = await asyncio.open_connection(*node.address)
    writer.write(streams.with_length_prefix(Codec("blue").encode(ViewRequest())))
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await reader.readexactly(1)
    assert node.counts["dropped_cluster"] == 1
    reader, writer = await asyncio.open_connection(*node.address)
    for byte in streams.with_length_prefix(Codec("red").encode(ViewRequest())):
        writer.write(bytes([byte]))  # a frame may arrive in any pieces
        await asyncio.sleep(0)
    (length,) = LENGTH_PREFIX.unpack(await reader.readexactly(LENGTH_PREFIX.size))
    view = Codec("red").decode(await reader.readexactly(length))
    assert isinstance(view, ViewResponse) and [row.name for row in view.members] == ["s0"]
    node.close()


def test_port_in_use_is_reported_in_one_line(tmp_path: Path) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", 0))
        (tmp_path / "peers.toml").write_text(f'name = "s1"\nlisten = "127.0.0.1:{taken.getsockname()[1]}"\n')
        (tmp_path / "config.json").write_text(json.dumps({"listen": "127.0.0.1:0", "settings": SETTINGS}))
        result = CliRunner().invoke(
            main,
            ["serve", "--fleet", str(tmp_path / "peers.toml")],
            env={"LB_CONFIG": str(tmp_path / "config.json")},
        )
    assert result.exit_code == 2 and "can't listen" in result.output and result.output.count("\n") == 1


@async_test
async def test_show_and_leave_commands_work_at_any_scheduler() -> None:
    nodes = await start_cluster(3)
    await wait_until(lambda: all(row.agrees for row in nodes[1].view_response().members))

    async def call(*arguments: str) -> str:
        result = await asyncio.to_thread(CliRunner().invoke, main, ["fleet", *arguments])
        return f"{result.exit_code} {result.output}"

    peer = f"127.0.0.1:{nodes[1].address[1]}"
    shown = await call("show", "--peer", peer, "--cluster", "red")
    assert shown.startswith("0 s1: view ") and "2 of 2 others agree" in shown and shown.count("alive") == 3
    view = json.loads((await call("show", "--peer", peer, "--cluster", "red", "--json"))[2:])
    assert [row["name"] for row in view["members"]] == ["s0", "s1", "s2"] and view["digest"]
    assert (await call("show", "--peer", peer)).startswith(
        "1 pipitshed: "
    )  # the command names another cluster
    assert (await call("show")).startswith("2 ")
    assert "serves on" in await call("leave", "--peer", peer, "--cluster", "red")
    await wait_until(lambda: live_names(nodes[0]) == ["s0", "s2"])
    nodes[2].close()
    assert (await call("show", "--peer", f"127.0.0.1:{nodes[2].address[1]}", "--cluster", "red"))[0] == "1"
    for node in nodes:
        node.close()
