"""Rare cases at the front ends: clients that disconnect, flood, don't read, or send during a close."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import signal
import socket
from typing import Any
from unittest.mock import Mock

import pytest
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
from pressure import request_head

from pipitshed.frontends.http import HttpFrontend
from pipitshed.frontends.http.connection import MAX_PIPELINED_REQUESTS, MAX_QUEUED_RESPONSES
from pipitshed.frontends.listener import Listener
from pipitshed.protocols.gearman import REQUEST_MAGIC, PacketType, encode_packet


async def client_with_small_buffer(port: int) -> HttpClient:
    """A client with a receive buffer of 2 KiB."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=256 * 1024)
    return HttpClient(reader, writer)


@async_test
async def test_a_disconnect_with_many_queued_requests_is_noticed() -> None:
    """Guards against queued requests that are sent for a client that is gone: reading used to pause behind
    eight queued requests, so that the disconnect was not noticed."""
    async with (
        Planner("p1", act=lambda run: run.send_event("started")) as planner,
        program(planner) as running,
    ):
        client = await HttpClient.to(running.port)
        for number in range(40):
            client.ask(f"a{number}")
        run = await planner.wait_for(1)
        client.writer.transport.abort()
        left_at = asyncio.get_running_loop().time()
        await run.dropped()
        assert asyncio.get_running_loop().time() - left_at < 0.3
        planner.act = Run.serve
        other = await HttpClient.to(running.port)
        for number in range(10):
            other.ask(f"b{number}")
            assert (await other.answer())[0] == 200
        assert sum(run.headers["x-request-id"].startswith("a") for run in planner.runs) == 1


@async_test
async def test_no_further_attempt_starts_for_a_client_that_disconnected() -> None:
    """The client disconnects during the first attempt: that one is stopped, and no other follows."""
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
        run.writer.transport.abort()  # the settings would permit a retry of a broken attempt
        one.act = two.act = Run.serve
        other = await HttpClient.to(running.port)
        for number in range(10):
            other.ask(f"b{number}")
            assert (await other.answer())[0] == 200
        sent_ids = [run.headers["x-request-id"] for planner in (one, two) for run in planner.runs]
        assert sent_ids.count("a1") == 1


@async_test
async def test_a_request_that_is_read_after_its_client_disconnected_is_not_sent() -> None:
    """The program is stopped while clients send requests and disconnect, on new, kept and Gearman
    connections: afterwards it reads each request and its EOF in the same iteration, the request first."""
    async with Planner("p1") as planner, program(planner, front=FRONT) as running:
        kept, normal = await HttpClient.to(running.port), await HttpClient.to(running.port)
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
            normal.ask(f"a{number}")
            assert (await normal.answer())[0] == 200
        sent_ids = [run.headers["x-request-id"] for run in planner.runs]
        assert sent_ids == ["k0", "a0", "a1", "a2"]


@async_test
async def test_a_gearman_client_that_disconnected_gets_no_further_attempt() -> None:
    """A keyed job that may have run continues for a client that reconnects. When its planner fails, the job
    is not sent again while no client waits, and a client that reconnects gets the failure."""
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
        while (await other.expect(PacketType.STATUS_RES_UNIQUE))[
            1
        ] == b"1":  # until the disconnect is noticed
            other.send(PacketType.GET_STATUS_UNIQUE, b"k1")
        planner.act = Run.serve
        run.writer.transport.abort()
        handle = await other.submit(b"plan_quote", b"q1", b"six")
        assert await other.expect(PacketType.WORK_COMPLETE) == [handle, b"plan of six"]
        deadline = asyncio.get_running_loop().time() + 4.0  # the retry delays are 2.5 s at most
        while asyncio.get_running_loop().time() < deadline:
            handle = await other.submit(b"plan_quote", b"", b"six")
            await other.expect(PacketType.WORK_COMPLETE)
        assert [run.body for run in planner.runs].count(b"six") == len(planner.runs)
        assert sum(run.headers.get("idempotency-key") == "book_pallet:k1" for run in planner.runs) == 1


@async_test
async def test_a_flood_of_requests_on_one_connection_is_answered_and_closed() -> None:
    """The requests are answered in order: the first few are served, the others rejected, and the connection
    is closed."""
    async with Planner("p1") as planner, program(planner) as running:
        client = await HttpClient.to(running.port)
        running.process.send_signal(signal.SIGSTOP)  # so that the whole flood is read at once
        for number in range(2 * MAX_QUEUED_RESPONSES):
            client.ask(f"a{number}", body=b"")
        await client.writer.drain()
        running.process.send_signal(signal.SIGCONT)
        statuses = []
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                statuses.append((await client.answer())[0])
        assert set(statuses) <= {200, 503, 500} and len(statuses) >= MAX_QUEUED_RESPONSES
        served_ids = {
            f"a{number}" for number in range(MAX_PIPELINED_REQUESTS + 1)
        }  # no request after the last one
        assert {run.headers["x-request-id"] for run in planner.runs} <= served_ids
        normal = await HttpClient.to(running.port)
        normal.ask("b1")
        assert (await normal.answer())[0] == 200
        started_at = asyncio.get_running_loop().time()
        running.process.send_signal(signal.SIGTERM)
        await running.logged("ended:")
        assert (
            asyncio.get_running_loop().time() - started_at < 6.0
        )  # no request is open; the deadline is 15 s


@async_test
async def test_a_response_is_sent_whole_although_more_input_follows_its_request() -> None:
    """Guards against a truncated response: closing with unread input resets the connection, and a slow client
    lost the part of the response that it had not read."""
    async with (
        Planner("p1", act=lambda run: run.send_event("started")) as planner,
        program(planner) as running,
    ):
        client, other = await client_with_small_buffer(running.port), await HttpClient.to(running.port)
        client.ask("a1", Connection="close")
        run = await planner.wait_for(1)
        planner.act = Run.serve
        run.send_event("done", result="r" * 60_000)
        other.ask("b1")  # when this is served, the previous response is written
        assert (await other.answer())[0] == 200
        client.ask("a2")
        other.ask("b2")
        assert (await other.answer())[0] == 200
        status, _, body = await client.answer()
        assert (status, len(body)) == (200, 60_000)
        assert await client.reader.read() == b""
        assert [run.headers["x-request-id"] for run in planner.runs] == ["a1", "b1", "b2"]


@async_test
async def test_a_request_during_the_close_is_not_sent() -> None:
    """The program closes an idle connection while a request is in transit: the client sees the close, and the
    request is discarded."""
    async with Planner("p1") as planner, program(planner) as running:
        client = await HttpClient.to(running.port)
        client.ask("a1")
        assert (await client.answer())[0] == 200
        running.process.send_signal(signal.SIGTERM)
        await client.reader.read()  # the program has closed its side
        client.ask("a2")
        await running.logged("ended:")
        assert [run.headers["x-request-id"] for run in planner.runs] == ["a1"]


def test_no_request_starts_for_a_client_that_does_not_read() -> None:
    """Reading from such a client is paused, so a disconnect would not be noticed."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        forwarder, reading, transport = Mock(), Mock(), Mock()
        transport.is_closing.return_value = False
        front = HttpFrontend(forwarder, reading, lambda: 10, loop, lambda: True)
        reading.request.side_effect = lambda *arguments: Mock(id="a")
        client = front.connection()
        client.connection_made(transport)
        client.pause_writing()
        transport.pause_reading.assert_called_once()
        client.data_received(b"POST /api HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
        for _ in range(3):
            await asyncio.sleep(0)  # the iteration in which a request is submitted
        assert not forwarder.submit.called
        client.resume_writing()
        transport.resume_reading.assert_called_once()
        assert forwarder.submit.call_count == 1
        client.eof_received()
        assert forwarder.withdraw.call_count == 1
        client.connection_lost(None)
        assert not front.connections and not front.closing and not front.open_ids

    asyncio.run(run())


def test_a_backlog_is_not_accepted_beyond_the_limit() -> None:
    """Guards against exhausted descriptors: two hundred clients in the queue were accepted in one iteration,
    before any of them was counted."""

    async def run() -> None:
        up: set[Any] = set()
        most = 0

        class CountingProtocol(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                nonlocal most
                up.add(transport)
                most = max(most, len(up))

        served = asyncio.Event()

        def may_accept(pending: int) -> bool:
            if len(up) + pending >= 20:
                served.set()
            return len(up) + pending < 20

        listener = Listener(("127.0.0.1", 0), CountingProtocol, asyncio.get_running_loop(), may_accept)
        burst = [socket.create_connection(listener.address) for _ in range(200)]
        await asyncio.wait_for(served.wait(), 5)
        while listener._pending:
            await asyncio.sleep(0)
        assert most == 20
        for sock in burst:
            sock.close()
        for transport in up:
            transport.abort()
        listener.close()

    asyncio.run(run())


@async_test
async def test_discovery_recovers_while_idle_clients_use_the_descriptors() -> None:
    """The process may open 64 descriptors, and 300 clients connect while discovery is down: once it is back,
    its list is applied, and a normal client is served."""

    class StoppableCatalog(Catalog):
        up = False

        async def serve(self, reader: Reader, writer: Writer) -> None:
            if not self.up:
                writer.transport.abort()
                return
            await super().serve(reader, writer)

    async with (
        Planner("p1") as old,
        Planner("p2") as new,
        StoppableCatalog(old, new) as catalog,
        program(old, catalog=catalog, sockets=64) as running,
    ):
        resource.prlimit(running.process.pid, resource.RLIMIT_NOFILE, (64, 64))
        normal = await HttpClient.to(running.port)
        normal.ask("a1")
        assert (await normal.answer())[0] == 200
        idle = await asyncio.gather(*(HttpClient.to(running.port) for _ in range(300)))
        normal.ask("a2")
        assert (await normal.answer())[0] == 200
        old.line = lambda lifecycle="draining": Planner.line(old, lifecycle)  # type: ignore[method-assign]
        catalog.up = True
        restored_at = asyncio.get_running_loop().time()
        await catalog.watches.get()
        assert asyncio.get_running_loop().time() - restored_at < 3.0
        late = await HttpClient.to(running.port)
        while not new.runs:
            late.ask(f"b{len(old.runs)}")
            assert (await late.answer())[0] == 200
        assert len(idle) == 300


@async_test
async def test_a_pool_of_many_planners_leaves_descriptors_for_clients_and_discovery() -> None:
    """There is one idle connection to each of fifty planners, and the process may open 64 descriptors: the
    longest idle ones are closed for clients, attempts and the discovery watch."""
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
        burst = await asyncio.gather(*(HttpClient.to(running.port) for _ in range(16)))
        for number, one in enumerate(burst):
            one.ask(f"b{number}")
        for one in burst:
            assert (await one.answer())[0] == 200
        await catalog.watches.get()


@async_test
async def test_a_burst_of_clients_evicts_those_that_sent_nothing() -> None:
    """Guards against new clients that are refused to keep descriptors for planners: each evicts a silent
    one."""
    async with Planner("p1") as planner, program(planner, sockets=40) as running:
        silent = [await HttpClient.to(running.port) for _ in range(15)]
        normal = await HttpClient.to(running.port)
        normal.ask("a1")
        assert (await normal.answer())[0] == 200
        running.process.send_signal(signal.SIGSTOP)  # so that all of them are in the accept queue
        burst = [await HttpClient.to(running.port) for _ in range(15)]
        for number, client in enumerate(burst):
            client.ask(f"b{number}")
        running.process.send_signal(signal.SIGCONT)
        for client in burst:
            assert (await client.answer())[0] == 200
        for client in silent:
            assert await client.reader.read() == b""


LARGE_BODY_BYTES = 60_000


@pytest.mark.parametrize("is_gearman", [False, True], ids=["http", "gearman"])
def test_jobs_whose_client_disconnected_behind_unread_input_are_not_sent(is_gearman: bool) -> None:
    """Guards against jobs sent after their client had closed its connection with much still unread."""

    @async_test
    async def run() -> None:
        async with Planner("p1") as planner, program(planner, front=FRONT) as running:
            port = running.gearman_port if is_gearman else running.port
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            other = await HttpClient.to(running.port)
            running.process.send_signal(signal.SIGSTOP)
            body = b"p" * LARGE_BODY_BYTES
            for number in range(9):
                if is_gearman:
                    arguments = (b"plan_quote", b"u%d" % number, body)
                    writer.write(encode_packet(PacketType.SUBMIT_JOB, *arguments, magic=REQUEST_MAGIC))
                else:
                    writer.write(request_head(f"a{number}", len(body)) + body)
            await writer.drain()
            writer.close()
            await writer.wait_closed()
            running.process.send_signal(signal.SIGCONT)
            other.ask("other")
            assert (await other.answer())[0] == 200
            for number in range(20):
                other.ask(f"later-{number}")
                assert (await other.answer())[0] == 200
            assert len(planner.runs) == 21

    run()
