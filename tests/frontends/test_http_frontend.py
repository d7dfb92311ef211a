"""The program between HTTP clients, planners and discovery: a story for each failure met."""

import asyncio
import signal

import pytest
from loopback import SETTINGS, Catalog, HttpClient, Planner, Run, healthy, program, story


@story
async def test_a_request_is_served_and_connections_are_kept() -> None:
    """Guards against the first failure met: uvloop's transports are none of asyncio's."""
    async with Planner("p1") as planner, program(planner) as running:
        client = await HttpClient.to(running.port)
        for number in ("a1", "a2", "a3"):
            client.ask(
                number, "book", b"four pallets", Idempotency_Key="k-" + number, X_Extras="slots=2,memory=1.5"
            )
            assert (await client.answer())[::2] == (200, b"plan of four pallets")
        told = [run.headers for run in planner.runs]
        assert [headers["x-request-id"] for headers in told] == ["a1", "a2", "a3"]
        assert told[0]["idempotency-key"] == "k-a1" and 0 < float(told[0]["x-deadline"]) < 5
        assert len(planner.writers) == 1


@story
async def test_what_cannot_be_read_is_said_so_and_closed() -> None:
    """Malformed, too long or unknown: an answer, a close, and the next client is served."""
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
def test_a_head_that_comes_in_one_read_has_the_limit_of_one_in_pieces(header_bytes: int, status: int) -> None:
    """Guards against long heads that pass: only an incomplete one was held to its limit of 16 KiB."""

    @story
    async def run() -> None:
        async with Planner("p1") as planner, program(planner) as running:
            for count in (1, 4):  # one header, and several of the same length together
                client = await HttpClient.to(running.port)
                client.ask("a1", **{f"X_Note_{n}": "n" * (header_bytes // count) for n in range(count)})
                assert (await client.answer())[0] == status
            assert len(planner.runs) == (2 if status == 200 else 0)

    run()


@story
async def test_turned_away_goes_elsewhere_and_a_keyed_job_that_was_lost_stays_in_its_zone() -> None:
    far = Planner("p2", "arequipa", lambda run: run.say("returned"))
    async with (
        Planner("p1", act=lambda run: run.say("returned")) as near,
        far,
        program(near, far, settings={"weights": "off"}) as running,
    ):
        client = await HttpClient.to(running.port)
        client.ask("a1", "book", Idempotency_Key="k1")
        await near.wait_for(1)
        near.act = Run.serve
        far.act = Run.serve
        assert (await client.answer())[0] == 200
        near.act = lambda run: run.say("lost")
        far.act = lambda run: run.say("lost")
        client.ask("a2", "book", Idempotency_Key="k2", X_Deadline="0.5")
        status, _, _ = await client.answer()
        zones = {
            planner.zone
            for planner in (near, far)
            if any(run.headers["x-request-id"] == "a2" for run in planner.runs)
        }
        assert status == 500 and len(zones) == 1


@pytest.mark.parametrize("job_class, status", [("quote", 503), ("book", 500)])
def test_a_silent_planner_costs_no_answer(job_class: str, status: int) -> None:
    """The final answer comes before the deadline, and the attempt's connection is closed with it."""

    @story
    async def run() -> None:
        async with Planner("p1", act=lambda run: run.say("started")) as planner, program(planner) as running:
            client = await HttpClient.to(running.port)
            begun = asyncio.get_running_loop().time()
            client.ask("a1", job_class, Idempotency_Key="k1", X_Deadline="0.300")
            got, headers, _ = await client.answer()
            assert asyncio.get_running_loop().time() - begun < 0.3
            assert got == status and ("retry-after" in headers) == (status == 503)
            await planner.runs[0].dropped()

    run()


@story
async def test_a_client_that_goes_takes_its_attempt_with_it() -> None:
    async with Planner("p1", act=lambda run: run.say("started")) as planner, program(planner) as running:
        client = await HttpClient.to(running.port)
        client.ask("a1")
        run = await planner.wait_for(1)
        client.writer.transport.abort()
        await run.dropped()
        running.process.send_signal(signal.SIGTERM)
        await running.logged("ended:")
        assert "withdrawn=1" in running.log[-1]


@story
async def test_a_drain_is_kept_and_a_watch_that_ends_is_asked_for_again() -> None:
    """What one watch said of a drain holds when it is cut off and the next is silent of it."""
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
        while not new.runs:  # until the news is in
            client.ask(f"b{len(old.runs)}")
            await client.answer()
        seen = len(old.runs)
        watch.transport.abort()
        await catalog.watches.get()
        for number in range(20):
            client.ask(f"c{number}")
            assert (await client.answer())[0] == 200
        assert len(old.runs) == seen


@story
async def test_sighup_follows_discovery_and_keeps_what_runs() -> None:
    """The failure met: SIGHUP ended the program (exit 129). A file that is no use must change nothing; one
    that names another discovery is followed at once, from the version known, under a job that runs."""

    def act(run: Run) -> None:
        run.say("started")

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
        told = running.config.read_text()
        running.reload('{"settings": ')
        await running.logged("the previous one stays in force")
        running.reload(told.replace(f"127.0.0.1:{first.port}", f"127.0.0.1:{second.port}"))
        begun = asyncio.get_running_loop().time()
        watch = await second.watches.get()
        assert asyncio.get_running_loop().time() - begun < 1.0 and second.asked == [2]
        second.tell(watch, False, [old.line("draining")])
        run.say("done", result="kept")
        assert (await client.answer())[::2] == (200, b"kept")
        old.act = Run.serve
        while not new.runs:  # until the news is in
            client.ask(f"b{len(old.runs)}")
            assert (await client.answer())[0] == 200
        seen = len(old.runs)
        for number in range(10):
            client.ask(f"c{number}")
            assert (await client.answer())[0] == 200
        assert len(old.runs) == seen and len(first.writers) == 1


@story
async def test_what_was_taken_is_answered_after_sigterm() -> None:
    """And until the front has noticed, new connections are still served; kept ones for longer, as a peer may
    not be back yet. What comes late is answered before SIGKILL; then clients are sent away."""
    async with Planner("p1", act=lambda run: run.say("started")) as planner, program(planner) as running:
        idle, client, kept = [await HttpClient.to(running.port) for _ in range(3)]
        client.ask("a1")
        run = await planner.wait_for(1)
        planner.act = Run.serve
        running.process.send_signal(signal.SIGTERM)
        told = asyncio.get_running_loop().time()
        late = await HttpClient.to(running.port)
        late.ask("a2")
        assert (await late.answer())[0] == 200
        while True:  # until the listener is closed
            try:
                (await HttpClient.to(running.port)).writer.close()
                await asyncio.sleep(0.05)
            except ConnectionError:
                break
        planner.act = lambda run: run.say("started")
        kept.ask("a3", "book", Idempotency_Key="k3", X_Deadline="15.000")
        assert await idle.reader.read() == b"" and await late.reader.read() == b""
        assert (await kept.answer())[0] == 500
        assert 2.5 < asyncio.get_running_loop().time() - told < 3.7
        run.say("done", result="at last")
        status, headers, body = await client.answer()
        assert (status, body, headers["connection"]) == (200, b"at last", "close")
        assert await running.process.wait() == 0


@story
async def test_more_clients_than_descriptors() -> None:
    """Guards against the loss of the listener: the client that is idle for longest makes room."""
    async with Planner("p1") as planner, program(planner, sockets=40) as running:
        clients = []
        await healthy(running.port)
        for number in range(60):
            clients.append(await HttpClient.to(running.port))
            if number % 4 == 3:  # an answer shows that all before it have been let in
                clients[-1].writer.write(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
                assert (await clients[-1].answer())[0] == 200
        clients[-1].ask("a1")
        assert (await clients[-1].answer())[0] == 200
        assert await clients[0].reader.read() == b""


@story
async def test_a_burst_of_clients_makes_room_once_for_each() -> None:
    """Guards against room made twice by one connection: in a burst accepted in one turn, each newcomer closed
    the same oldest connection, as it stood among the open ones until its end was told."""
    async with Planner("p1") as planner, program(planner, sockets=40) as running:
        await healthy(running.port)
        first = [await HttpClient.to(running.port) for _ in range(16)]  # the clients' part of 40
        health = b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"
        first[-1].writer.write(health)
        assert (await first[-1].answer())[0] == 200  # all sixteen are in
        burst = await asyncio.gather(*(HttpClient.to(running.port) for _ in range(8)))
        for client in first[:8]:
            assert await client.reader.read() == b""
        for client in [*first[8:], *burst]:
            client.writer.write(health)
            assert (await client.answer())[0] == 200


@story
async def test_a_watch_that_is_refused_or_falls_silent_is_asked_for_again() -> None:
    """A 503, then a watch without its heartbeat: both are failed list news, and another watch follows."""

    class Busy(Catalog):
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
        Busy(planner) as catalog,
        program(catalog=catalog, settings={"rules": {"askWithin": 500.0}}) as running,
    ):
        await catalog.watches.get()
        client = await HttpClient.to(running.port)
        client.ask("a1")
        assert (await client.answer())[0] == 200
        silent_since = asyncio.get_running_loop().time()
        await catalog.watches.get()
        assert asyncio.get_running_loop().time() - silent_since > 2.0 and catalog.calls == 3


@story
async def test_a_watch_that_stops_in_the_middle_of_its_news_is_asked_again_at_once() -> None:
    """The failure met: half a line counted as a sign of life for 3 s and the next call was silent too, so a
    drain was learnt 7.5 s late. The second call here stops behind its head, the first inside a line."""

    class Halting(Catalog):
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

    async with Planner("p1") as planner, Halting(planner) as catalog, program(planner, catalog=catalog):
        begun = asyncio.get_running_loop().time()
        await catalog.watches.get()
        assert asyncio.get_running_loop().time() - begun < 5.0


@story
async def test_an_idle_connection_is_closed_before_the_planner_closes_it() -> None:
    """Guards against a request written to a connection that the planner gives up just then."""
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
    """A request with these lines in its head beside the class and the body's length."""
    told = ("X-Class: quote", f"Content-Length: {len(body)}", *lines)
    return ("POST /api HTTP/1.1\r\n" + "".join(f"{line}\r\n" for line in told) + "\r\n" + body).encode()


@story
async def test_what_could_be_read_in_two_ways_is_not_passed_on() -> None:
    """Told twice, a body of two lengths, names that can't be handed on unchanged: 400, and no planner hears
    of it. A trailer does not replace what the head said."""
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


@story
async def test_clients_that_send_nothing_or_half_a_request_are_ended_in_time() -> None:
    """Each gets an error or a close within 3 s; one whose request runs for longer keeps its connection, even
    with the first bytes of another behind it."""
    async with Planner("p1", act=lambda run: run.say("started")) as planner, program(planner) as running:
        begun = asyncio.get_running_loop().time()
        silent, half, usual = [await HttpClient.to(running.port) for _ in range(3)]
        half.writer.write(post("X-Request-Id: a1")[:-1])
        usual.writer.write(post("X-Request-Id: a2") + b"POST")
        run = await planner.wait_for(1)
        assert (await half.answer())[0] == 408 and await half.reader.read() == b""
        assert await silent.reader.read() == b""
        assert asyncio.get_running_loop().time() - begun < 3.0
        run.say("done", result="late")
        assert (await usual.answer())[::2] == (200, b"late")


@story
async def test_an_id_that_is_open_is_not_taken_from_another_client() -> None:
    """Two copies at the planners would break the rule on duplicates: the later one is refused."""
    async with Planner("p1", act=lambda run: run.say("started")) as planner, program(planner) as running:
        usual, other = await HttpClient.to(running.port), await HttpClient.to(running.port)
        usual.ask("a1")
        run = await planner.wait_for(1)
        other.ask("a1")
        assert (await other.answer())[0] == 409
        run.say("done", result="mine")
        assert (await usual.answer())[::2] == (200, b"mine")
        planner.act = Run.serve
        other.ask("a1")
        assert (await other.answer())[0] == 200


@story
async def test_clients_that_only_connect_cost_a_usual_client_nothing() -> None:
    """Guards against eviction of kept connections: the oldest that never asked make room first."""
    async with Planner("p1") as planner, program(planner, sockets=40) as running:
        usual = await HttpClient.to(running.port)
        usual.ask("a1")
        assert (await usual.answer())[0] == 200
        silent = [await HttpClient.to(running.port) for _ in range(40)]
        assert await silent[0].reader.read() == b""
        usual.ask("a2")
        assert (await usual.answer())[0] == 200 and len(planner.runs) == 2


@story
async def test_a_request_in_pieces_with_whitespace_around_its_values_is_served() -> None:
    """Guards against values taken with the whitespace that trails them: 'quote ' is no class, and an id with
    a space can't be handed on. Written a few bytes at a time, with a chunked body, an extension and a
    trailer."""
    async with Planner("p1") as planner, program(planner) as running:
        client = await HttpClient.to(running.port)
        text = (
            b"POST /api HTTP/1.1\r\nHost: service.internal\r\nx-request-id:a1 \r\nX-Class: \tquote \t\r\n"
            b"X-Tenant: andes-retail  \r\nX-Deadline: 5.000 \r\nX-Trace-State: " + b"t" * 900 + b"\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3;part=1\r\npal\r\n4\r\nlets\r\n0\r\nX-Sum: 5f3a\r\n\r\n"
        )
        for place in range(0, len(text), 7):
            client.writer.write(text[place : place + 7])
            await client.writer.drain()
        assert (await client.answer())[::2] == (200, b"plan of pallets")
        assert planner.runs[0].headers["x-request-id"] == "a1"


@story
async def test_a_slow_usual_request_keeps_its_connection_while_halted_ones_make_room() -> None:
    """Guards against room made by the oldest connection that has not sent a whole request, whatever it does:
    a usual client that writes its request over two seconds lost it to a crowd, while those that halted half
    way stayed."""
    async with Planner("p1") as planner, program(planner, sockets=40) as running:
        slow = await HttpClient.to(running.port)
        text = (
            b"POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: s1\r\nX-Class: quote\r\n"
            b"X-Tenant: andes-retail\r\nX-Deadline: 5.000\r\nContent-Length: 7\r\n\r\npallets"
        )
        halted = [await HttpClient.to(running.port) for _ in range(15)]
        for client in halted:
            client.writer.write(b"POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Req")
        loop = asyncio.get_running_loop()
        begun = loop.time()
        pieces = [text[place : place + 12] for place in range(0, len(text), 12)]
        crowd: list[HttpClient] = []
        for piece in pieces:
            slow.writer.write(piece)
            await asyncio.sleep(1.8 / len(pieces))  # the client's own pace: two seconds for the request
            if not crowd and loop.time() - begun > 1.4:  # the halted were quiet for a second
                crowd = [await HttpClient.to(running.port) for _ in range(15)]
        assert (await slow.answer())[::2] == (200, b"plan of pallets")
        for client in halted:
            assert await client.reader.read() == b""
        assert len(crowd) == 15


@story
async def test_a_client_that_halted_half_way_does_not_hold_the_end() -> None:
    """Guards against an end held until SIGKILL: after SIGTERM the program waited for every connection on
    which a request had begun, up to the longest deadline, also for one that sent nothing more."""
    async with Planner("p1") as planner, program(planner) as running:
        client = await HttpClient.to(running.port)
        client.ask("a1")
        assert (await client.answer())[0] == 200
        client.writer.write(b"POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Requ")
        loop = asyncio.get_running_loop()
        begun = loop.time()
        running.process.send_signal(signal.SIGTERM)
        assert (await client.answer())[0] == 408
        await running.logged("ended:")
        assert loop.time() - begun < 6.0  # the longest deadline is 15 s
