"""Rare conditions of the catalog: fragmented updates, calls that hang, a list that returns; on sockets."""

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

NOTIFIED_AFTER_S = 6.0  # s after which a change counts as known, whatever happened to the calls

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class ScriptedCatalog(Catalog):
    """Answers the first call with `first`, and the others as usual."""

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
async def test_a_drain_update_that_trickles_in_is_applied_in_time() -> None:
    """Each byte renewed the watch's timeout, so an update that arrived byte by byte was delayed forever."""

    class TricklingCatalog(ScriptedCatalog):
        async def first(self, writer: Writer) -> None:
            writer.write(HEAD)
            self.tell(writer, True, [old.line(), new.line()])
            client = await HttpClient.to(running.port)
            client.ask("a1")  # the answer shows that the list has been read
            await client.answer()
            text = json.dumps({"generation": 9, "reset": False, "instances": [old.line("draining")]}).encode()
            self.started_at = asyncio.get_running_loop().time()
            old.state = "draining"
            for index in range(len(text)):  # the whole update would take far more than 6 s
                writer.write(chunk(text[index : index + 1]))
                await asyncio.sleep(0.2)
                if writer.transport.is_closing():
                    return

    class PlannerWithState(Planner):
        state = "ready"

        def line(self, lifecycle: str = "") -> dict[str, object]:
            return super().line(lifecycle or self.state)

    async with (
        PlannerWithState("p1") as old,
        Planner("p2") as new,
        TricklingCatalog(old, new) as catalog,
        program(old, new, catalog=catalog) as running,
    ):
        await catalog.watches.get()
        assert asyncio.get_running_loop().time() - catalog.started_at < NOTIFIED_AFTER_S
        runs = len(old.runs)
        client = await HttpClient.to(running.port)
        for number in range(8):
            client.ask(f"b{number}")
            assert (await client.answer())[0] == 200
        assert len(old.runs) == runs


@pytest.mark.parametrize(
    "response_start, repeated_part", [(HEAD, chunk(b"\n")), (b"HTTP/1.1 200 OK\r\nX-Slow: ", b"a")]
)
def test_a_call_that_trickles_without_end_is_aborted_in_time(
    response_start: bytes, repeated_part: bytes
) -> None:
    """Heartbeats before the first update, which should follow at once, and an endless head: each byte kept
    the call open, and the list unchanged, forever."""

    class TricklingCatalog(ScriptedCatalog):
        async def first(self, writer: Writer) -> None:
            writer.write(response_start)
            self.started_at = asyncio.get_running_loop().time()
            while not writer.transport.is_closing():
                writer.write(repeated_part)
                await asyncio.sleep(0.1)

    @async_test
    async def run() -> None:
        async with (
            Planner("p1") as planner,
            TricklingCatalog(planner) as catalog,
            program(planner, catalog=catalog),
        ):
            await catalog.watches.get()
            assert asyncio.get_running_loop().time() - catalog.started_at < NOTIFIED_AFTER_S

    run()


@async_test
async def test_a_restarted_process_accepts_no_jobs_before_it_has_the_list() -> None:
    """Schedulers of a failed zone restarted 18 s later with their cached list, and sent their first jobs to
    workers that had left 16 s before."""

    class HeldCatalog(Catalog):
        def __init__(self, *planners: Planner) -> None:
            super().__init__(*planners)
            self.call_received, self.may_answer = asyncio.Event(), asyncio.Event()

        async def serve(self, reader: Reader, writer: Writer) -> None:
            self.call_received.set()
            await self.may_answer.wait()
            await super().serve(reader, writer)

    async with (
        Planner("p1") as unlisted,
        Planner("p2") as listed,
        HeldCatalog(listed) as catalog,
        program(unlisted, catalog=catalog) as running,
    ):
        assert (await admin_request(running.port, HEALTH))[0] == 503
        await catalog.call_received.wait()
        assert (await admin_request(running.port, HEALTH))[0] == 503
        catalog.may_answer.set()
        await wait_until_healthy(running.port)
        client = await HttpClient.to(running.port)
        client.ask("a1")
        assert (await client.answer())[0] == 200
        assert not unlisted.runs and len(listed.runs) == 1


@async_test
async def test_indented_updates_are_parsed_from_a_watch() -> None:
    """An indented update has many lines, and some of them end like a complete update."""

    class IndentedCatalog(Catalog):
        def tell(self, writer: Writer, reset: bool, instances: list[dict[str, object]]) -> None:
            self.generation += 1
            update = {"generation": self.generation, "reset": reset, "instances": instances}
            text = json.dumps(update, indent=2)
            for index in range(0, len(text), 50):
                writer.write(chunk(text[index : index + 50].encode()))
            writer.write(chunk(b"\n"))

    async with (
        Planner("p1") as old,
        Planner("p2") as new,
        IndentedCatalog(old) as catalog,
        program(catalog=catalog) as running,
    ):
        watch = await catalog.watches.get()
        catalog.tell(watch, False, [old.line("draining"), new.line()])
        client = await HttpClient.to(running.port)
        while not new.runs:  # `p1` serves until the change has been read
            client.ask(f"a{len(old.runs)}")
            assert (await client.answer())[0] == 200
        assert len(catalog.asked) == 1 and catalog.watches.empty()


@async_test
async def test_an_invalid_update_fails_the_call_and_keeps_the_known_list() -> None:
    """After invalid bytes from the catalog the call counts as failed, and another one follows."""

    class InvalidCatalog(ScriptedCatalog):
        async def first(self, writer: Writer) -> None:
            writer.write(HEAD + chunk(b'{"generation": "many", "instances": [}\n'))

    async with (
        Planner("p1") as planner,
        InvalidCatalog(planner) as catalog,
        program(planner, catalog=catalog) as running,
    ):
        client = await HttpClient.to(running.port)
        client.ask("a1")
        assert (await client.answer())[0] == 200
        await catalog.watches.get()


@async_test
async def test_a_pushed_list_is_fetched_at_once_and_retried_within_the_grace_period() -> None:
    """Where lists are pushed, the agent's list counts as known from the start of a process, and as soon as
    the agent is back. A delay of half a second that doubles exceeded a grace period of 600 ms."""

    class RejectingCatalog(Catalog):
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
    async with Planner("p1") as planner, RejectingCatalog(planner) as catalog:
        catalog.times: list[float] = []  # type: ignore[misc]
        async with program(planner, catalog=catalog, settings={"discovery": "pushed", "rules": rules}):
            await catalog.watches.get()
    gaps = [later - sooner for sooner, later in zip(catalog.times, catalog.times[1:], strict=False)]
    assert max(gaps) < 0.3


@async_test
async def test_an_exception_between_two_calls_does_not_stop_polling() -> None:
    """While no call is in progress for any reason, the scheduler is told that the last one failed."""
    from pipitshed.discovery import catalog as module

    class Table:
        failures = 0

        def fetch_failed(self) -> None:
            self.failures += 1
            failure_reported.set()

    failure_reported = asyncio.Event()
    loop = asyncio.get_running_loop()
    table = Table()
    async with Planner("p1") as planner, ScriptedCatalog(planner) as catalog:
        client = module.CatalogClient(("127.0.0.1", catalog.port), None, table, loop)  # type: ignore[arg-type]
        catalog.asked.append(0)
        client.fetch(True)
        await catalog.watches.get()
        # The table can't apply the list: the call fails, and nothing starts another.
        while not table.failures:
            await failure_reported.wait()
        failure_reported.clear()
        await failure_reported.wait()
        assert table.failures == 2 and client.active_calls == 0
        client.stop()


@async_test
async def test_jobs_are_served_from_the_known_list_while_calls_hang() -> None:
    """The known list stays in use while every call hangs."""

    class HangingCatalog(Catalog):
        async def serve(self, reader: Reader, writer: Writer) -> None:
            call_received.set()
            await reader.read()

    call_received = asyncio.Event()
    async with (
        Planner("p1", act=Run.serve) as planner,
        HangingCatalog(planner) as catalog,
        program(planner, catalog=catalog) as running,
    ):
        await call_received.wait()
        client = await HttpClient.to(running.port)
        client.ask("a1")
        assert (await client.answer())[0] == 200
