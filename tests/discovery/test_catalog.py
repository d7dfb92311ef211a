"""Discovery's rare moments: news in pieces, calls that hang, a list that comes back; on sockets."""

from __future__ import annotations

import asyncio
import json

import pytest
from loopback import (
    HEALTH,
    SETTINGS,
    Catalog,
    HttpClient,
    Planner,
    Reader,
    Run,
    Writer,
    admin_request,
    async_test,
    program,
    wait_until_healthy,
)

TOLD_BY = 6.0  # s after which a change counts as told, whatever became of the calls

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Scripted(Catalog):
    """The first call is answered as `first` says, the others as usual."""

    async def first(self, writer: Writer) -> None:
        raise NotImplementedError

    async def serve(self, reader: Reader, writer: Writer) -> None:
        if self.asked:
            await super().serve(reader, writer)
            return
        await reader.readuntil(b"\r\n\r\n")
        self.asked.append(0)
        await self.first(writer)
        await reader.read()


@async_test
async def test_a_drain_whose_news_trickles_in_is_known_before_it_counts_as_told() -> None:
    """Each byte used to renew the watch's patience: news cut into bytes was held back for ever."""

    class Trickling(Scripted):
        async def first(self, writer: Writer) -> None:
            writer.write(HEAD)
            self.tell(writer, True, [old.line(), new.line()])
            client = await HttpClient.to(running.port)
            client.ask("a1")  # the list has been read: this is the other end of a turn
            await client.answer()
            text = json.dumps({"generation": 9, "reset": False, "instances": [old.line("draining")]}).encode()
            self.since = asyncio.get_running_loop().time()
            old.state = "draining"
            for place in range(len(text)):  # at full length this takes far beyond 6 s
                writer.write(chunk(text[place : place + 1]))
                await asyncio.sleep(0.2)
                if writer.transport.is_closing():
                    return

    class Stated(Planner):
        state = "ready"

        def line(self, lifecycle: str = "") -> dict[str, object]:
            return super().line(lifecycle or self.state)

    async with (
        Stated("p1") as old,
        Planner("p2") as new,
        Trickling(old, new) as catalog,
        program(old, new, catalog=catalog) as running,
    ):
        await catalog.watches.get()
        assert asyncio.get_running_loop().time() - catalog.since < TOLD_BY
        runs = len(old.runs)
        client = await HttpClient.to(running.port)
        for number in range(8):
            client.ask(f"b{number}")
            assert (await client.answer())[0] == 200
        assert len(old.runs) == runs


@pytest.mark.parametrize("begin, piece", [(HEAD, chunk(b"\n")), (b"HTTP/1.1 200 OK\r\nX-Slow: ", b"a")])
def test_a_call_that_trickles_without_end_is_given_up_in_time(begin: bytes, piece: bytes) -> None:
    """Heartbeats before the first piece, which comes at once, and a head without end: each byte used to hold
    the call, and with it the list, for ever."""

    class Trickling(Scripted):
        async def first(self, writer: Writer) -> None:
            writer.write(begin)
            self.since = asyncio.get_running_loop().time()
            while not writer.transport.is_closing():
                writer.write(piece)
                await asyncio.sleep(0.1)

    @async_test
    async def run() -> None:
        async with Planner("p1") as planner, Trickling(planner) as catalog, program(planner, catalog=catalog):
            await catalog.watches.get()
            assert asyncio.get_running_loop().time() - catalog.since < TOLD_BY

    run()


@async_test
async def test_a_restarted_process_takes_no_jobs_before_it_has_had_the_list() -> None:
    """The failure met: schedulers of a lost zone came back 18 s later with the list that they had known, and
    sent their first jobs by it to planners that had gone 16 s before."""

    class Held(Catalog):
        def __init__(self, *planners: Planner) -> None:
            super().__init__(*planners)
            self.called, self.go = asyncio.Event(), asyncio.Event()

        async def serve(self, reader: Reader, writer: Writer) -> None:
            self.called.set()
            await self.go.wait()
            await super().serve(reader, writer)

    async with (
        Planner("p1") as gone,
        Planner("p2") as here,
        Held(here) as catalog,
        program(gone, catalog=catalog) as running,
    ):
        assert (await admin_request(running.port, HEALTH))[0] == 503
        await catalog.called.wait()
        assert (await admin_request(running.port, HEALTH))[0] == 503
        catalog.go.set()
        await wait_until_healthy(running.port)
        client = await HttpClient.to(running.port)
        client.ask("a1")
        assert (await client.answer())[0] == 200
        assert not gone.runs and len(here.runs) == 1


@async_test
async def test_lists_that_come_indented_are_read_whole_from_a_watch() -> None:
    """Lists may come indented: then a piece of news is many lines, and some end like a whole one."""

    class Indented(Catalog):
        def tell(self, writer: Writer, reset: bool, instances: list[dict[str, object]]) -> None:
            self.generation += 1
            news = {"generation": self.generation, "reset": reset, "instances": instances}
            text = json.dumps(news, indent=2)
            for place in range(0, len(text), 50):
                writer.write(chunk(text[place : place + 50].encode()))
            writer.write(chunk(b"\n"))

    async with (
        Planner("p1") as old,
        Planner("p2") as new,
        Indented(old) as catalog,
        program(catalog=catalog) as running,
    ):
        watch = await catalog.watches.get()
        catalog.tell(watch, False, [old.line("draining"), new.line()])
        client = await HttpClient.to(running.port)
        while not new.runs:  # until the change has been read, `p1` still serves
            client.ask(f"a{len(old.runs)}")
            assert (await client.answer())[0] == 200
        assert len(catalog.asked) == 1 and catalog.watches.empty()


@async_test
async def test_what_is_no_list_is_a_failed_call_and_the_known_list_stands() -> None:
    """Bad bytes from discovery: the call has failed, and another one follows."""

    class Bad(Scripted):
        async def first(self, writer: Writer) -> None:
            writer.write(HEAD + chunk(b'{"generation": "many", "instances": [}\n'))

    async with (
        Planner("p1") as planner,
        Bad(planner) as catalog,
        program(planner, catalog=catalog) as running,
    ):
        client = await HttpClient.to(running.port)
        client.ask("a1")
        assert (await client.answer())[0] == 200
        await catalog.watches.get()


@async_test
async def test_a_pushed_list_is_asked_for_at_once_and_again_well_within_the_grace() -> None:
    """Where lists are pushed, what the agent has counts from the first moment of a new process, and at once
    when it is back: a wait of half a second, and one that doubles, overran a grace of 600 ms."""

    class Down(Catalog):
        refused = 0

        async def serve(self, reader: Reader, writer: Writer) -> None:
            if self.refused < 8:
                self.refused += 1
                self.times.append(asyncio.get_running_loop().time())
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            else:
                await super().serve(reader, writer)

    rules = SETTINGS["rules"] | {"drainGrace": 600.0}
    async with Planner("p1") as planner, Down(planner) as catalog:
        catalog.times: list[float] = []  # type: ignore[misc]
        async with program(planner, catalog=catalog, settings={"discovery": "pushed", "rules": rules}):
            await catalog.watches.get()
    gaps = [later - sooner for sooner, later in zip(catalog.times, catalog.times[1:], strict=False)]
    assert max(gaps) < 0.3


@async_test
async def test_an_exception_between_two_calls_does_not_end_the_asking() -> None:
    """Whatever goes wrong inside: while no call is under way, the decisions are told that the last failed."""
    from pipitshed.discovery import catalog as module

    class Table:
        failures = 0

        def fetch_failed(self) -> None:
            self.failures += 1
            told.set()

    told = asyncio.Event()
    loop = asyncio.get_running_loop()
    table = Table()
    async with Planner("p1") as planner, Scripted(planner) as catalog:
        one = module.CatalogClient(("127.0.0.1", catalog.port), None, table, loop)  # type: ignore[arg-type]
        catalog.asked.append(0)
        one.fetch(True)
        await catalog.watches.get()
        while not table.failures:  # the list can't be put anywhere: the call fails, and nobody asks again
            await told.wait()
        told.clear()
        await told.wait()
        assert table.failures == 2 and one.active_calls == 0
        one.stop()


@async_test
async def test_a_job_is_not_lost_while_the_list_is_silent() -> None:
    """The list known so far stands while every call hangs."""

    class Hanging(Catalog):
        async def serve(self, reader: Reader, writer: Writer) -> None:
            came.set()
            await reader.read()

    came = asyncio.Event()
    async with (
        Planner("p1", act=Run.serve) as planner,
        Hanging(planner) as catalog,
        program(planner, catalog=catalog) as running,
    ):
        await came.wait()
        client = await HttpClient.to(running.port)
        client.ask("a1")
        assert (await client.answer())[0] == 200
