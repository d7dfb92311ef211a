"""The program between HTTP clients, planners and discovery: a test for each failure that occurred."""

import asyncio
import signal

import pytest
from loopback import SETTINGS, Catalog, HttpClient, Planner, Run, async_test, program, wait_until_healthy


@async_test
async def test_requests_are_served_and_connections_are_kept() -> None:
    """Guards against a check by type that fails: uvloop's transports don't inherit from asyncio's."""
    async with Planner("p1") as planner, program(planner) as running:
        client = await HttpClient.to(running.port)
        for number in ("a1", "a2", "a3"):
            client.ask(
                number, "book", b"four pallets", Idempotency_Key="k-" + number, X_Extras="slots=2,memory=1.5"
            )
            assert (await client.answer())[::2] == (200, b"plan of four pallets")
        received = [run.headers for run in planner.runs]
        assert [headers["x-request-id"] for headers in received] == ["a1", "a2", "a3"]
        assert received[0]["idempotency-key"] == "k-a1" and 0 < float(received[0]["x-deadline"]) < 5
        assert len(planner.writers) == 1


@async_test
async def test_invalid_input_gets_an_error_and_a_close() -> None:
    """Malformed, too long or unknown: each gets an error and a close, and the next client is served."""
    async with Planner("p1") as planner, program(planner) as running:
        for text, status in [
            (b"nonsense\r\n\r\n", 400),
            (b"POST /api HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413),
            (b"POST /api HTTP/1.1\r\nX-Long: " + b"a" * 40_000, 431),
            (
                b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                + b"1000\r\n"
                + b"b" * 4096
                + (b"\r\n1000\r\n" + b"b" * 4096) * 17,
                413,
            ),
        ]:
            client = await HttpClient.to(running.port)
            client.writer.write(text)
            assert (await client.answer())[0] == status
            assert await client.reader.read() == b""
        client = await HttpClient.to(running.port)
        client.ask("a1", "parcel")
        assert (await client.answer())[0] == 400
        client = await HttpClient.to(running.port)
        client.ask("a2", X_Tenant="nobody")
        assert (await client.answer())[0] == 200


@pytest.mark.parametrize("header_bytes, status", [(15_000, 200), (16_500, 431), (60_000, 431)])
def test_a_head_in_one_read_has_the_same_limit_as_one_in_pieces(header_bytes: int, status: int) -> None:
    """Guards against long heads that pass: only an incomplete head was held to the limit of 16 KiB."""

    @async_test
    async def run() -> None:
        async with Planner("p1") as planner, program(planner) as running:
            for count in (1, 4):  # one header, and several of the same total length
                client = await HttpClient.to(running.port)
                client.ask("a1", **{f"X_Note_{n}": "n" * (header_bytes // count) for n in range(count)})
                assert (await client.answer())[0] == status
            assert len(planner.runs) == (2 if status == 200 else 0)

    run()


@async_test
async def test_a_rejected_job_goes_elsewhere_and_a_keyed_job_that_was_lost_stays_in_its_zone() -> None:
    far = Planner("p2", "arequipa", lambda run: run.send_event("returned"))
    async with (
        Planner("p1", act=lambda run: run.send_event("returned")) as near,
        far,
        program(near, far, settings={"weights": "off"}) as running,
    ):
        client = await HttpClient.to(running.port)
        client.ask("a1", "book", Idempotency_Key="k1")
        await near.wait_for(1)
        near.act = Run.serve
        far.act = Run.serve
        assert (await client.answer())[0] == 200
        near.act = lambda run: run.send_event("lost")
        far.act = lambda run: run.send_event("lost")
        client.ask("a2", "book", Idempotency_Key="k2", X_Deadline="0.5")
        status, _, _ = await client.answer()
        zones = {
            planner.zone
            for planner in (near, far)
            if any(run.headers["x-request-id"] == "a2" for run in planner.runs)
        }
        assert status == 500 and len(zones) == 1


@pytest.mark.parametrize("job_class, status", [("quote", 503), ("book", 500)])
def test_a_silent_planner_delays_no_response_beyond_the_deadline(job_class: str, status: int) -> None:
    """The final response arrives before the deadline, and the attempt's connection is closed."""

    @async_test
    async def run() -> None:
        async with (
            Planner("p1", act=lambda run: run.send_event("started")) as planner,
            program(planner) as running,
        ):
            client = await HttpClient.to(running.port)
            started_at = asyncio.get_running_loop().time()
            client.ask("a1", job_class, Idempotency_Key="k1", X_Deadline="0.300")
            got, headers, _ = await client.answer()
            assert asyncio.get_running_loop().time() - started_at < 0.3
            assert got == status and ("retry-after" in headers) == (status == 503)
            await planner.runs[0].dropped()

    run()


@async_test
async def test_a_disconnect_of_the_client_ends_its_attempt() -> None:
    async with (
        Planner("p1", act=lambda run: run.send_event("started")) as planner,
        program(planner) as running,
    ):
        client = await HttpClient.to(running.port)
        client.ask("a1")
        run = await planner.wait_for(1)
        client.writer.transport.abort()
        await run.dropped()
        running.process.send_signal(signal.SIGTERM)
        await running.logged("ended:")
        assert "withdrawn=1" in running.log[-1]


@async_test
async def test_a_drain_outlasts_its_watch_and_a_watch_that_ends_is_reopened() -> None:
    """A drain that one watch reported still applies when the next watch doesn't mention it."""
    async with (
        Planner("p1") as old,
        Planner("p2") as new,
        Catalog(old) as catalog,
        program(old, catalog=catalog, settings={"rules": {"askWithin": 500.0}}) as running,
    ):
        watch = await catalog.watches.get()
        client = await HttpClient.to(running.port)
        client.ask("a1")
        assert (await client.answer())[0] == 200 and len(old.runs) == 1
        catalog.planners = (new,)
        catalog.tell(watch, False, [old.line("draining"), new.line()])
        await watch.drain()
        while not new.runs:  # until the update is applied
            client.ask(f"b{len(old.runs)}")
            await client.answer()
        seen = len(old.runs)
        watch.transport.abort()
        await catalog.watches.get()
        for number in range(20):
            client.ask(f"c{number}")
            assert (await client.answer())[0] == 200
        assert len(old.runs) == seen


@async_test
async def test_sighup_changes_discovery_and_keeps_running_jobs() -> None:
    """Guards against a SIGHUP that ends the program (exit 129). An invalid file must change nothing; one with
    another discovery address applies at once, from the known version, while a job runs."""

    def act(run: Run) -> None:
        run.send_event("started")

    async with (
        Planner("p1", act=act) as old,
        Planner("p2") as new,
        Catalog(old) as first,
        Catalog(old, new) as second,
        program(old, catalog=first) as running,
    ):
        await first.watches.get()
        client = await HttpClient.to(running.port)
        client.ask("a1", "book", Idempotency_Key="k1", X_Deadline="15.000")
        run = await old.wait_for(1)
        config = running.config.read_text()
        running.reload('{"settings": ')
        await running.logged("the previous one stays in force")
        running.reload(config.replace(f"127.0.0.1:{first.port}", f"127.0.0.1:{second.port}"))
        started_at = asyncio.get_running_loop().time()
        watch = await second.watches.get()
        assert asyncio.get_running_loop().time() - started_at < 1.0 and second.asked == [2]
        second.tell(watch, False, [old.line("draining")])
        run.send_event("done", result="kept")
        assert (await client.answer())[::2] == (200, b"kept")
        old.act = Run.serve
        while not new.runs:  # until the update is applied
            client.ask(f"b{len(old.runs)}")
            assert (await client.answer())[0] == 200
        seen = len(old.runs)
        for number in range(10):
            client.ask(f"c{number}")
            assert (await client.answer())[0] == 200
        assert len(old.runs) == seen and len(first.writers) == 1


@async_test
async def test_accepted_requests_are_answered_after_sigterm() -> None:
    """New connections are served until the platform's front notices, and kept ones for longer, as the next
    process may not be up yet. Late requests are answered before SIGKILL; then connections are closed."""
    async with (
        Planner("p1", act=lambda run: run.send_event("started")) as planner,
        program(planner) as running,
    ):
        idle, client, kept = [await HttpClient.to(running.port) for _ in range(3)]
        client.ask("a1")
        run = await planner.wait_for(1)
        planner.act = Run.serve
        running.process.send_signal(signal.SIGTERM)
        signalled_at = asyncio.get_running_loop().time()
        late = await HttpClient.to(running.port)
        late.ask("a2")
        assert (await late.answer())[0] == 200
        while True:  # until the listener is closed
            try:
                (await HttpClient.to(running.port)).writer.close()
                await asyncio.sleep(0.05)
            except ConnectionError:
                break
        planner.act = lambda run: run.send_event("started")
        kept.ask("a3", "book", Idempotency_Key="k3", X_Deadline="15.000")
        assert await idle.reader.read() == b"" and await late.reader.read() == b""
        assert (await kept.answer())[0] == 500
        assert 2.5 < asyncio.get_running_loop().time() - signalled_at < 3.7
        run.send_event("done", result="at last")
        status, headers, body = await client.answer()
        assert (status, body, headers["connection"]) == (200, b"at last", "close")
        assert await running.process.wait() == 0


@async_test
async def test_more_clients_than_descriptors_can_connect() -> None:
    """Guards against a listener that stops: the client that is idle for longest is evicted."""
    async with Planner("p1") as planner, program(planner, sockets=40) as running:
        clients = []
        await wait_until_healthy(running.port)
        for number in range(60):
            clients.append(await HttpClient.to(running.port))
            if number % 4 == 3:  # a response shows that all earlier clients are accepted
                clients[-1].writer.write(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
                assert (await clients[-1].answer())[0] == 200
        clients[-1].ask("a1")
        assert (await clients[-1].answer())[0] == 200
        assert await clients[0].reader.read() == b""


@async_test
async def test_a_burst_of_clients_evicts_one_connection_for_each() -> None:
    """Guards against one connection that is evicted several times: in a burst accepted in one iteration, each
    new client closed the same oldest connection, which counted as open until connection_lost."""
    async with Planner("p1") as planner, program(planner, sockets=40) as running:
        await wait_until_healthy(running.port)
        first = [await HttpClient.to(running.port) for _ in range(16)]  # the clients' share of 40 descriptors
        health = b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"
        first[-1].writer.write(health)
        assert (await first[-1].answer())[0] == 200  # all 16 are accepted
        burst = await asyncio.gather(*(HttpClient.to(running.port) for _ in range(8)))
        for client in first[:8]:
            assert await client.reader.read() == b""
        for client in [*first[8:], *burst]:
            client.writer.write(health)
            assert (await client.answer())[0] == 200


@async_test
async def test_a_watch_that_is_refused_or_falls_silent_is_reopened() -> None:
    """A 503, then a watch without heartbeats: both count as failed fetches, and another watch follows."""

    class RefusingCatalog(Catalog):
        calls = 0

        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.calls += 1
            if self.calls == 1:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            else:
                await super().serve(reader, writer)

    async with (
        Planner("p1") as planner,
        RefusingCatalog(planner) as catalog,
        program(catalog=catalog, settings={"rules": {"askWithin": 500.0}}) as running,
    ):
        await catalog.watches.get()
        client = await HttpClient.to(running.port)
        client.ask("a1")
        assert (await client.answer())[0] == 200
        silent_since = asyncio.get_running_loop().time()
        await catalog.watches.get()
        assert asyncio.get_running_loop().time() - silent_since > 2.0 and catalog.calls == 3


@async_test
async def test_a_watch_that_stops_in_the_middle_of_an_update_is_reopened_at_once() -> None:
    """Guards against a drain that is noticed 7.5 s late: half a line counted as a heartbeat for 3 s, and the
    next watch was silent too. Here the first watch stops within a line, the second after its head."""

    class StallingCatalog(Catalog):
        async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if len(self.asked) < 2:
                self.asked.append(0)
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                if len(self.asked) == 1:
                    self.tell(writer, True, [])
                    writer.write(b'20\r\n{"generation":')
                await reader.read()
            else:
                await super().serve(reader, writer)

    async with (
        Planner("p1") as planner,
        StallingCatalog(planner) as catalog,
        program(planner, catalog=catalog),
    ):
        started_at = asyncio.get_running_loop().time()
        await catalog.watches.get()
        assert asyncio.get_running_loop().time() - started_at < 5.0


@async_test
async def test_an_idle_connection_is_closed_before_the_planner_closes_it() -> None:
    """Guards against a request written to a connection that the planner closes at the same time."""
    limits = SETTINGS["permissions"] | {"idleClose": 1000.0}
    async with Planner("p1") as planner, program(planner, settings={"permissions": limits}) as running:
        client = await HttpClient.to(running.port)
        client.ask("a1")
        assert (await client.answer())[0] == 200
        answered = asyncio.get_running_loop().time()
        await planner.writers[0].wait_closed()
        assert asyncio.get_running_loop().time() - answered < 1.0
        client.ask("a2")
        assert (await client.answer())[0] == 200 and len(planner.writers) == 2


def post(*lines: str, body: str = "abc") -> bytes:
    """A request with these header lines, X-Class and Content-Length."""
    headers = ("X-Class: quote", f"Content-Length: {len(body)}", *lines)
    return ("POST /api HTTP/1.1\r\n" + "".join(f"{line}\r\n" for line in headers) + "\r\n" + body).encode()


@async_test
async def test_ambiguous_requests_are_not_forwarded() -> None:
    """Repeated headers, a body with two lengths, ids that can't be forwarded unchanged: the client gets 400,
    and no planner gets the request. A trailer does not replace a header."""
    async with Planner("p1") as planner, program(planner) as running:
        for text in [
            post("X-Request-Id: a1", "X-Request-Id: a2"),
            post("X-Request-Id: a\xe9"),
            post(),
            post("X-Request-Id: a1", "Transfer-Encoding: chunked"),
            post("X-Request-Id: a1", "X-Deadline: 1_0"),
            post("X-Request-Id: a1", "X-Deadline: nan"),
            post("X-Request-Id: a1", "Upgrade: h2c", "Connection: Upgrade"),
        ]:
            client = await HttpClient.to(running.port)
            client.writer.write(text)
            assert (await client.answer())[0] == 400
            assert await client.reader.read() == b""
        assert not planner.runs
        client = await HttpClient.to(running.port)
        client.writer.write(
            b"POST /api HTTP/1.1\r\nX-Class: quote\r\nX-Request-Id: b1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Request-Id: b2\r\n\r\n"
        )
        assert (await client.answer())[::2] == (200, b"plan of abc")
        assert planner.runs[0].headers["x-request-id"] == "b1"


@async_test
async def test_clients_that_send_nothing_or_half_a_request_are_closed_in_time() -> None:
    """Each gets an error or a close within 3 s. A client whose request runs for longer keeps its connection,
    even if the first bytes of another request have arrived."""
    async with (
        Planner("p1", act=lambda run: run.send_event("started")) as planner,
        program(planner) as running,
    ):
        started_at = asyncio.get_running_loop().time()
        silent, half, normal = [await HttpClient.to(running.port) for _ in range(3)]
        half.writer.write(post("X-Request-Id: a1")[:-1])
        normal.writer.write(post("X-Request-Id: a2") + b"POST")
        run = await planner.wait_for(1)
        assert (await half.answer())[0] == 408 and await half.reader.read() == b""
        assert await silent.reader.read() == b""
        assert asyncio.get_running_loop().time() - started_at < 3.0
        run.send_event("done", result="late")
        assert (await normal.answer())[::2] == (200, b"late")


@async_test
async def test_an_open_request_id_is_rejected_from_another_client() -> None:
    """Two requests with the same id could run twice at the planners: the later one gets 409."""
    async with (
        Planner("p1", act=lambda run: run.send_event("started")) as planner,
        program(planner) as running,
    ):
        normal, other = await HttpClient.to(running.port), await HttpClient.to(running.port)
        normal.ask("a1")
        run = await planner.wait_for(1)
        other.ask("a1")
        assert (await other.answer())[0] == 409
        run.send_event("done", result="mine")
        assert (await normal.answer())[::2] == (200, b"mine")
        planner.act = Run.serve
        other.ask("a1")
        assert (await other.answer())[0] == 200


@async_test
async def test_clients_that_only_connect_do_not_affect_a_normal_client() -> None:
    """Guards against eviction of used connections: the oldest without a request are evicted first."""
    async with Planner("p1") as planner, program(planner, sockets=40) as running:
        normal = await HttpClient.to(running.port)
        normal.ask("a1")
        assert (await normal.answer())[0] == 200
        silent = [await HttpClient.to(running.port) for _ in range(40)]
        assert await silent[0].reader.read() == b""
        normal.ask("a2")
        assert (await normal.answer())[0] == 200 and len(planner.runs) == 2


@async_test
async def test_a_request_in_pieces_with_whitespace_around_its_values_is_served() -> None:
    """Guards against values with trailing whitespace: 'quote ' is no class, and an id with a space can't be
    forwarded. The request is sent a few bytes at a time, with a chunked body, a chunk extension and a
    trailer."""
    async with Planner("p1") as planner, program(planner) as running:
        client = await HttpClient.to(running.port)
        text = (
            b"POST /api HTTP/1.1\r\nHost: service.internal\r\nx-request-id:a1 \r\nX-Class: \tquote \t\r\n"
            b"X-Tenant: andes-retail  \r\nX-Deadline: 5.000 \r\nX-Trace-State: " + b"t" * 900 + b"\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3;part=1\r\npal\r\n4\r\nlets\r\n0\r\nX-Sum: 5f3a\r\n\r\n"
        )
        for offset in range(0, len(text), 7):
            client.writer.write(text[offset : offset + 7])
            await client.writer.drain()
        assert (await client.answer())[::2] == (200, b"plan of pallets")
        assert planner.runs[0].headers["x-request-id"] == "a1"


@async_test
async def test_a_slow_request_keeps_its_connection_while_stalled_ones_are_evicted() -> None:
    """Guards against an eviction of the oldest connection with an incomplete request, whatever its state: a
    client that wrote its request over two seconds lost the connection to a burst, while stalled ones
    stayed."""
    async with Planner("p1") as planner, program(planner, sockets=40) as running:
        slow = await HttpClient.to(running.port)
        text = (
            b"POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: s1\r\nX-Class: quote\r\n"
            b"X-Tenant: andes-retail\r\nX-Deadline: 5.000\r\nContent-Length: 7\r\n\r\npallets"
        )
        stalled = [await HttpClient.to(running.port) for _ in range(15)]
        for client in stalled:
            client.writer.write(b"POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Req")
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        pieces = [text[offset : offset + 12] for offset in range(0, len(text), 12)]
        burst: list[HttpClient] = []
        for piece in pieces:
            slow.writer.write(piece)
            await asyncio.sleep(1.8 / len(pieces))  # the request takes two seconds in all
            if not burst and loop.time() - started_at > 1.4:  # the others have stalled for more than 1 s
                burst = [await HttpClient.to(running.port) for _ in range(15)]
        assert (await slow.answer())[::2] == (200, b"plan of pallets")
        for client in stalled:
            assert await client.reader.read() == b""
        assert len(burst) == 15


@async_test
async def test_a_stalled_request_does_not_delay_the_shutdown() -> None:
    """Guards against a shutdown that lasts until SIGKILL: after SIGTERM the program waited up to the longest
    deadline for every connection with an incomplete request, also for stalled ones."""
    async with Planner("p1") as planner, program(planner) as running:
        client = await HttpClient.to(running.port)
        client.ask("a1")
        assert (await client.answer())[0] == 200
        client.writer.write(b"POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Requ")
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        running.process.send_signal(signal.SIGTERM)
        assert (await client.answer())[0] == 408
        await running.logged("ended:")
        assert loop.time() - started_at < 6.0  # the longest deadline is 15 s
