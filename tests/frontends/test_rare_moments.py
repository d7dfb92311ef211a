"""The door's rare moments: clients that go, flood, do not read, or ask in the instant of a close."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import signal
import socket
from typing import Any
from unittest.mock import Mock

from loopback import (
    FRONT,
    Catalog,
    GearmanPeer,
    HttpClient,
    Planner,
    Reader,
    Run,
    Writer,
    async_test,
    program,
)

from pipitshed.frontends.http import HttpFrontend
from pipitshed.frontends.http.connection import MAX_PIPELINED_REQUESTS, MAX_QUEUED_RESPONSES
from pipitshed.frontends.listener import Listener
from pipitshed.protocols.gearman import PacketType


async def small(port: int) -> HttpClient:
    """A client that takes little at a time."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=256 * 1024)
    return HttpClient(reader, writer)


@async_test
async def test_a_client_that_goes_with_many_requests_waiting_is_seen_to_go() -> None:
    """Reading used to rest behind eight that waited, so its end was not seen, and they were sent on."""
    async with (
        Planner("p1", act=lambda run: run.send_event("started")) as planner,
        program(planner) as running,
    ):
        client = await HttpClient.to(running.port)
        for number in range(40):
            client.ask(f"a{number}")
        run = await planner.wait_for(1)
        client.writer.transport.abort()
        gone = asyncio.get_running_loop().time()
        await run.dropped()
        assert asyncio.get_running_loop().time() - gone < 0.3
        planner.act = Run.serve
        other = await HttpClient.to(running.port)
        for number in range(10):
            other.ask(f"b{number}")
            assert (await other.answer())[0] == 200
        assert sum(run.headers["x-request-id"].startswith("a") for run in planner.runs) == 1


@async_test
async def test_no_further_attempt_begins_for_a_client_that_has_gone() -> None:
    """It goes while its first attempt is out: that one is dropped, and none follows it."""
    async with (
        Planner("p1", act=lambda run: run.send_event("started")) as one,
        Planner("p2", act=lambda run: run.send_event("started")) as two,
        program(one, two) as running,
    ):
        client = await HttpClient.to(running.port)
        client.ask("a1")
        first, _ = await asyncio.wait(
            [asyncio.ensure_future(planner.wait_for(1)) for planner in (one, two)],
            return_when=asyncio.FIRST_COMPLETED,
        )
        client.writer.transport.abort()
        run = first.pop().result()
        await run.dropped()
        run.writer.transport.abort()  # where the settings allow, a broken one is drawn again
        one.act = two.act = Run.serve
        other = await HttpClient.to(running.port)
        for number in range(10):
            other.ask(f"b{number}")
            assert (await other.answer())[0] == 200
        asked = [run.headers["x-request-id"] for planner in (one, two) for run in planner.runs]
        assert asked.count("a1") == 1


@async_test
async def test_a_request_that_is_read_after_its_client_has_gone_is_not_sent_on() -> None:
    """The program stands still while clients ask and go, on new connections, kept ones and Gearman's: request
    and end are there to be read at the same time, the request first."""
    async with Planner("p1") as planner, program(planner, front=FRONT) as running:
        kept, usual = await HttpClient.to(running.port), await HttpClient.to(running.port)
        kept.ask("k0")
        assert (await kept.answer())[0] == 200
        gearman = await GearmanPeer.to(running.gearman_port)
        gearman.send(PacketType.ECHO_REQ, b"up")
        await gearman.expect(PacketType.ECHO_RES)
        running.process.send_signal(signal.SIGSTOP)
        new = [await HttpClient.to(running.port) for _ in range(4)]
        for number, client in enumerate([kept, *new]):
            client.ask(f"gone{number}")
            client.writer.close()
        gearman.send(PacketType.SUBMIT_JOB, b"plan_quote", b"", b"gone")
        gearman.writer.close()
        for client in [kept, *new]:
            await client.writer.wait_closed()
        await gearman.writer.wait_closed()
        running.process.send_signal(signal.SIGCONT)
        for number in range(3):
            usual.ask(f"a{number}")
            assert (await usual.answer())[0] == 200
        asked = [run.headers["x-request-id"] for run in planner.runs]
        assert asked == ["k0", "a0", "a1", "a2"]


@async_test
async def test_a_gearman_client_that_has_gone_gets_no_further_attempt() -> None:
    """A keyed job that may have run goes on for one that comes back; when its planner loses it, it is not
    sent again while nobody waits, and a client that comes back is told the end."""
    async with (
        Planner("p1", act=lambda run: run.send_event("started")) as planner,
        program(planner, front=FRONT) as running,
    ):
        client = await GearmanPeer.to(running.gearman_port)
        await client.submit(b"book_pallet", b"k1", b"six")
        run = await planner.wait_for(1)
        client.writer.transport.abort()
        other = await GearmanPeer.to(running.gearman_port)
        other.send(PacketType.GET_STATUS_UNIQUE, b"k1")
        while (await other.expect(PacketType.STATUS_RES_UNIQUE))[1] == b"1":  # until its end has been seen
            other.send(PacketType.GET_STATUS_UNIQUE, b"k1")
        planner.act = Run.serve
        run.writer.transport.abort()
        handle = await other.submit(b"plan_quote", b"q1", b"six")
        assert await other.expect(PacketType.WORK_COMPLETE) == [handle, b"plan of six"]
        ended = asyncio.get_running_loop().time() + 4.0  # its pauses are 2.5 s at most
        while asyncio.get_running_loop().time() < ended:
            handle = await other.submit(b"plan_quote", b"", b"six")
            await other.expect(PacketType.WORK_COMPLETE)
        assert [run.body for run in planner.runs].count(b"six") == len(planner.runs)
        assert sum(run.headers.get("idempotency-key") == "k1" for run in planner.runs) == 1


@async_test
async def test_a_flood_of_requests_on_one_connection_is_answered_and_ended() -> None:
    """Each in its turn: a few are served, those beyond are refused, and one that sends on and on is ended."""
    async with Planner("p1") as planner, program(planner) as running:
        client = await HttpClient.to(running.port)
        running.process.send_signal(signal.SIGSTOP)  # so that all of it is read at once
        for number in range(2 * MAX_QUEUED_RESPONSES):
            client.ask(f"a{number}", body=b"")
        await client.writer.drain()
        running.process.send_signal(signal.SIGCONT)
        statuses = []
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                statuses.append((await client.answer())[0])
        assert set(statuses) <= {200, 503, 500} and len(statuses) >= MAX_QUEUED_RESPONSES
        taken = {
            f"a{number}" for number in range(MAX_PIPELINED_REQUESTS + 1)
        }  # none of those behind the end in one read
        assert {run.headers["x-request-id"] for run in planner.runs} <= taken
        usual = await HttpClient.to(running.port)
        usual.ask("b1")
        assert (await usual.answer())[0] == 200
        begun = asyncio.get_running_loop().time()
        running.process.send_signal(signal.SIGTERM)
        await running.logged("ended:")
        assert asyncio.get_running_loop().time() - begun < 6.0  # nothing of it is owed; the deadline is 15 s


@async_test
async def test_an_answer_outlives_what_comes_behind_its_request() -> None:
    """A close over unread bytes resets the connection: the part of the answer that a slow client had not
    taken was lost with it."""
    async with (
        Planner("p1", act=lambda run: run.send_event("started")) as planner,
        program(planner) as running,
    ):
        client, other = await small(running.port), await HttpClient.to(running.port)
        client.ask("a1", Connection="close")
        run = await planner.wait_for(1)
        planner.act = Run.serve
        run.send_event("done", result="r" * 60_000)
        other.ask("b1")  # when this is served, the answer before is written
        assert (await other.answer())[0] == 200
        client.ask("a2")
        other.ask("b2")
        assert (await other.answer())[0] == 200
        status, _, body = await client.answer()
        assert (status, len(body)) == (200, 60_000)
        assert await client.reader.read() == b""
        assert [run.headers["x-request-id"] for run in planner.runs] == ["a1", "b1", "b2"]


@async_test
async def test_a_request_in_the_instant_of_the_end_is_not_sent_on() -> None:
    """The program ends a resting connection while a request is on its way: the client sees the end, and what
    is read behind it is thrown away, not run."""
    async with Planner("p1") as planner, program(planner) as running:
        client = await HttpClient.to(running.port)
        client.ask("a1")
        assert (await client.answer())[0] == 200
        running.process.send_signal(signal.SIGTERM)
        await client.reader.read()  # the program's end of it is shut
        client.ask("a2")
        await running.logged("ended:")
        assert [run.headers["x-request-id"] for run in planner.runs] == ["a1"]


def test_nothing_is_taken_from_a_client_that_does_not_read() -> None:
    """Its end would not be seen: reading from it rests, so no request of its begins meanwhile."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        forwarder, reading, transport = Mock(), Mock(), Mock()
        transport.is_closing.return_value = False
        front = HttpFrontend(forwarder, reading, 10, loop, lambda: True)
        reading.request.side_effect = lambda *told: Mock(id="a")
        client = front.connection()
        client.connection_made(transport)
        client.pause_writing()
        transport.pause_reading.assert_called_once()
        client.data_received(b"POST /api HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
        for _ in range(3):
            await asyncio.sleep(0)  # the turn in which a request is handed in
        assert not forwarder.submit.called
        client.resume_writing()
        transport.resume_reading.assert_called_once()
        assert forwarder.submit.call_count == 1
        client.eof_received()
        assert forwarder.withdraw.call_count == 1
        client.connection_lost(None)
        assert not front.connections and not front.closing and not front.open_ids

    asyncio.run(run())


def test_a_backlog_is_not_taken_beyond_the_room_that_there_is() -> None:
    """Two hundred clients stood in the queue when the loop came round: each was accepted before any was
    counted, and the descriptors were gone."""

    async def run() -> None:
        up: set[Any] = set()
        most = 0

        class Held(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                nonlocal most
                up.add(transport)
                most = max(most, len(up))

        served = asyncio.Event()

        def room(pending: int) -> bool:
            if len(up) + pending >= 20:
                served.set()
            return len(up) + pending < 20

        listener = Listener(("127.0.0.1", 0), Held, asyncio.get_running_loop(), room)
        crowd = [socket.create_connection(listener.address) for _ in range(200)]
        await asyncio.wait_for(served.wait(), 5)
        while listener._pending:
            await asyncio.sleep(0)
        assert most == 20
        for sock in crowd:
            sock.close()
        for transport in up:
            transport.abort()
        listener.close()

    asyncio.run(run())


@async_test
async def test_idle_clients_may_fill_the_descriptors_while_discovery_is_down() -> None:
    """The process may hold 64 descriptors, and 300 clients come while no call to discovery gets through: when
    it is back, its list is followed, and a usual client is served."""

    class Down(Catalog):
        up = False

        async def serve(self, reader: Reader, writer: Writer) -> None:
            if not self.up:
                writer.transport.abort()
                return
            await super().serve(reader, writer)

    async with (
        Planner("p1") as old,
        Planner("p2") as new,
        Down(old, new) as catalog,
        program(old, catalog=catalog, sockets=64) as running,
    ):
        resource.prlimit(running.process.pid, resource.RLIMIT_NOFILE, (64, 64))
        usual = await HttpClient.to(running.port)
        usual.ask("a1")
        assert (await usual.answer())[0] == 200
        idle = await asyncio.gather(*(HttpClient.to(running.port) for _ in range(300)))
        usual.ask("a2")
        assert (await usual.answer())[0] == 200
        old.line = lambda lifecycle="draining": Planner.line(old, lifecycle)  # type: ignore[method-assign]
        catalog.up = True
        back = asyncio.get_running_loop().time()
        await catalog.watches.get()
        assert asyncio.get_running_loop().time() - back < 3.0
        late = await HttpClient.to(running.port)
        while not new.runs:
            late.ask(f"b{len(old.runs)}")
            assert (await late.answer())[0] == 200
        assert len(idle) == 300


@async_test
async def test_a_pool_of_many_planners_leaves_clients_and_discovery_their_descriptors() -> None:
    """One connection rests for each of fifty planners, and the process may hold 64: the longest at rest makes
    room for a client, an attempt, and discovery's call."""
    async with contextlib.AsyncExitStack() as stack:
        planners = [await stack.enter_async_context(Planner(f"p{number}")) for number in range(50)]
        catalog = await stack.enter_async_context(Catalog(*planners))
        running = await stack.enter_async_context(program(*planners, catalog=catalog, sockets=64))
        resource.prlimit(running.process.pid, resource.RLIMIT_NOFILE, (64, 64))
        watch = await catalog.watches.get()
        client = await HttpClient.to(running.port)
        for number in range(300):
            client.ask(f"a{number}")
            assert (await client.answer())[0] == 200
        watch.transport.abort()
        crowd = await asyncio.gather(*(HttpClient.to(running.port) for _ in range(16)))
        for number, one in enumerate(crowd):
            one.ask(f"b{number}")
        for one in crowd:
            assert (await one.answer())[0] == 200
        await catalog.watches.get()


@async_test
async def test_a_crowd_that_comes_at_once_makes_room_by_those_that_sent_nothing() -> None:
    """Guards against newcomers turned away for the descriptors of planners: each displaces an idle one."""
    async with Planner("p1") as planner, program(planner, sockets=40) as running:
        silent = [await HttpClient.to(running.port) for _ in range(15)]
        usual = await HttpClient.to(running.port)
        usual.ask("a1")
        assert (await usual.answer())[0] == 200
        running.process.send_signal(signal.SIGSTOP)  # so that all of them stand in the queue
        crowd = [await HttpClient.to(running.port) for _ in range(15)]
        for number, client in enumerate(crowd):
            client.ask(f"b{number}")
        running.process.send_signal(signal.SIGCONT)
        for client in crowd:
            assert (await client.answer())[0] == 200
        for client in silent:
            assert await client.reader.read() == b""
