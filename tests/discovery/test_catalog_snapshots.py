"""How often a whole list is fetched: a call names the version known, whatever ended the one before."""

from __future__ import annotations

import asyncio
import re

from catalog_updates import Wide, chunk, news_of
from loopback import Catalog, HttpClient, Planner, Program, Reader, Writer, async_test, program, read_metrics

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Versions:
    """What discovery knows at each version; several addresses may serve it."""

    def __init__(self, *planners: Planner, first: int = 10) -> None:
        self.planners = planners
        self.changes: dict[int, dict[str, object]] = {}
        self.first = self.number = first

    def change(self, row: dict[str, object]) -> None:
        self.number += 1
        self.changes[self.number] = row

    def since(self, version: int) -> tuple[bool, list[dict[str, object]]]:
        """Whether it is the whole list, and its rows: the changes where all of them are known."""
        if self.first <= version <= self.number:
            return False, [self.changes[number] for number in range(version + 1, self.number + 1)]
        return True, [planner.line() for planner in self.planners]


class Versioned(Catalog):
    """Answers a watch with what has changed since the version it names."""

    def __init__(self, versions: Versions) -> None:
        super().__init__()
        self.versions = versions
        self.whole = 0
        self.down = False
        self.broken = 0  # so many answers break off in the middle

    async def serve(self, reader: Reader, writer: Writer) -> None:
        line = (await reader.readuntil(b"\r\n\r\n")).decode()
        if self.down:
            self.watches.put_nowait(writer)
            await reader.read()  # it is cut off: nothing comes
            return
        self.asked.append(int(line.split()[1].rpartition("from=")[2]))
        reset, rows = self.versions.since(self.asked[-1])
        self.whole += reset
        text = news_of(self.versions.number, reset, rows)
        if self.broken:
            self.broken -= 1
            writer.write(HEAD + chunk(text[: len(text) // 2]))
            await writer.drain()
            return
        writer.write(HEAD + chunk(text))
        self.watches.put_nowait(writer)
        await reader.read()

    def push(self, writer: Writer, row: dict[str, object]) -> None:
        self.versions.change(row)
        writer.write(chunk(news_of(self.versions.number, False, [row])))


def counted(running: Program, name: str) -> int:
    """A count that the program told at its end."""
    found = re.search(rf"{name}=(\d+)", "".join(line for line in running.log if "ended:" in line))
    return int(found[1]) if found else 0


@async_test
async def test_no_whole_list_follows_a_broken_silent_or_cut_watch_or_a_move() -> None:
    """One after a start that knows none of use; then each call names the version known, by changes too."""
    async with Planner("p1") as one, Planner("p2") as two:
        versions = Versions(one, two)
        async with (
            Versioned(versions) as first,
            Versioned(versions) as second,
            program(
                catalog=first,
                settings={"rules": {"answerSlack": 8.0, "askWithin": 1000.0, "drainGrace": 1500.0}},
            ) as running,
        ):
            watch = await first.watches.get()
            first.push(watch, two.line("draining"))
            await served(running, one)
            watch.transport.abort()  # broken
            versions.change(one.line("draining"))
            versions.change(two.line())
            watch = await first.watches.get()
            await served(running, two)
            first.down = True
            watch.transport.abort()  # cut: calls hang, until discovery is back
            await first.watches.get()
            first.down = False
            versions.change(one.line())
            versions.change(two.line("draining"))
            await first.watches.get()
            await served(running, one)
            await first.watches.get()  # silent for 2.4 s
            config = running.config.read_text()
            running.reload(config.replace(f"127.0.0.1:{first.port}", f"127.0.0.1:{second.port}"))
            watch = await second.watches.get()
            second.push(watch, one.line("draining"))
            second.push(watch, two.line())
            await served(running, two)
            assert first.asked == [1, 11, 13, 15] and second.asked == [15]
            assert first.whole == 1 and second.whole == 0
    assert counted(running, "whole lists") == 1
    assert sum("endpoint list snapshot, version 10, 2 workers" in line for line in running.log) == 1
    assert counted(running, "list changes") == 7 and counted(running, "list calls") >= 6


@async_test
async def test_a_start_with_a_known_list_asks_for_what_has_changed_since() -> None:
    async with Planner("p1") as one, Planner("p2") as two:
        versions = Versions(one, two, first=1)
        versions.change(one.line("draining"))
        async with Versioned(versions) as catalog, program(one, two, catalog=catalog) as running:
            await catalog.watches.get()
            await served(running, two)
            assert catalog.asked == [1] and not catalog.whole
    assert counted(running, "whole lists") == 0 and counted(running, "list changes") == 1


@async_test
async def test_a_whole_list_that_breaks_off_is_asked_for_again_and_no_other() -> None:
    """What came in half is no version that is known."""
    async with Planner("p1") as one, Versioned(Versions(one)) as catalog:
        catalog.broken = 2
        async with program(catalog=catalog) as running:
            await catalog.watches.get()
            await served(running, one)
            assert catalog.asked == [1, 1, 1] and catalog.whole == 3
    assert counted(running, "whole lists") == 1


async def served(running: Program, planner: Planner) -> None:
    """Jobs are sent there, and soon nowhere else."""
    client = await HttpClient.to(running.port)
    in_a_row = number = 0
    while in_a_row < 12:
        before, number = len(planner.runs), number + 1
        client.ask(f"{planner.name}-{before}-{number}")
        status, _, _ = await client.answer()
        in_a_row = in_a_row + 1 if status == 200 and len(planner.runs) > before else 0
    client.writer.close()


def test_counts_of_the_list_are_lines_beside_the_fleets_figures_alone() -> None:
    """The page of the operators' address names what stands there; it does not say that more may."""
    from pipitshed.admin.metrics import count_lines, parse

    assert parse(count_lines({"whole lists": 2, "list bytes": 90})) == {
        "scheduler.list_bytes": 90,
        "scheduler.whole_lists": 2,
    }

    @async_test
    async def run() -> None:
        async with (
            Planner("p1") as one,
            Versioned(Versions(one)) as catalog,
            program(catalog=catalog, mgmt=True) as running,
        ):
            await catalog.watches.get()
            assert not any("list" in name for name in await read_metrics(running.mgmt_port))

    run()


@async_test
async def test_a_whole_list_that_takes_long_to_come_is_not_fetched_again() -> None:
    """Where many start together, discovery's line is full: given up 1.5 s after its first byte, the list was
    asked for again, and never came."""

    class Slow(Wide):
        async def serve(self, reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            self.asked.append(0)
            text = news_of(7, True, [*(planner.line() for planner in self.planners), *self.others])
            writer.write(HEAD)
            step = len(text) // 18 + 1
            for place in range(0, len(text), step):
                writer.write(chunk(text[place : place + step]))
                await asyncio.sleep(0.12)
            await reader.read()

    async with (
        Planner("p1") as planner,
        Slow(planner, others=4599) as catalog,
        program(catalog=catalog) as running,
    ):
        await running.logged("endpoint list snapshot")
        await served(running, planner)
        assert len(catalog.asked) == 1
