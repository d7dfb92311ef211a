"""How often a snapshot is fetched: a call names the known version, whatever ended the previous call."""

from __future__ import annotations

import asyncio
import re

from catalog_updates import LargeCatalog, chunk, update_bytes
from loopback import Catalog, HttpClient, Planner, Program, Reader, Writer, async_test, program, read_metrics

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Versions:
    """The catalog's state at each version; catalogs at several addresses may share it."""

    def __init__(self, *planners: Planner, first: int = 10) -> None:
        self.planners = planners
        self.changes: dict[int, dict[str, object]] = {}
        self.first = self.number = first

    def change(self, entry: dict[str, object]) -> None:
        self.number += 1
        self.changes[self.number] = entry

    def since(self, version: int) -> tuple[bool, list[dict[str, object]]]:
        """Return whether the answer is a snapshot, and its entries: the changes if all of them are known."""
        if self.first <= version <= self.number:
            return False, [self.changes[number] for number in range(version + 1, self.number + 1)]
        return True, [planner.line() for planner in self.planners]


class VersionedCatalog(Catalog):
    """Answers a watch with the changes since the version that it names."""

    def __init__(self, versions: Versions) -> None:
        super().__init__()
        self.versions = versions
        self.snapshot_count = 0
        self.down = False
        self.truncated_answers = 0  # number of answers to truncate in the middle

    async def serve(self, reader: Reader, writer: Writer) -> None:
        line = (await reader.readuntil(b"\r\n\r\n")).decode()
        if self.down:
            self.watches.put_nowait(writer)
            await reader.read()  # a network partition: no answer
            return
        self.asked.append(int(line.split()[1].rpartition("from=")[2]))
        reset, entries = self.versions.since(self.asked[-1])
        self.snapshot_count += reset
        text = update_bytes(self.versions.number, reset, entries)
        if self.truncated_answers:
            self.truncated_answers -= 1
            writer.write(HEAD + chunk(text[: len(text) // 2]))
            await writer.drain()
            return
        writer.write(HEAD + chunk(text))
        self.watches.put_nowait(writer)
        await reader.read()

    def push(self, writer: Writer, entry: dict[str, object]) -> None:
        self.versions.change(entry)
        writer.write(chunk(update_bytes(self.versions.number, False, [entry])))


def final_count(running: Program, name: str) -> int:
    """Return a counter of the program's last log line."""
    found = re.search(rf"{name}=(\d+)", "".join(line for line in running.log if "ended:" in line))
    return int(found[1]) if found else 0


@async_test
async def test_no_snapshot_is_fetched_after_a_lost_watch_or_an_address_change() -> None:
    """The first call after a start without a usable list fetches one; later calls name the known version."""
    async with Planner("p1") as one, Planner("p2") as two:
        versions = Versions(one, two)
        async with (
            VersionedCatalog(versions) as first,
            VersionedCatalog(versions) as second,
            program(
                catalog=first,
                settings={"rules": {"answerSlack": 8.0, "askWithin": 1000.0, "drainGrace": 1500.0}},
            ) as running,
        ):
            watch = await first.watches.get()
            first.push(watch, two.line("draining"))
            await wait_until_served_by(running, one)
            watch.transport.abort()  # broken
            versions.change(one.line("draining"))
            versions.change(two.line())
            watch = await first.watches.get()
            await wait_until_served_by(running, two)
            first.down = True
            watch.transport.abort()  # a partition: calls hang until the catalog is reachable again
            await first.watches.get()
            first.down = False
            versions.change(one.line())
            versions.change(two.line("draining"))
            await first.watches.get()
            await wait_until_served_by(running, one)
            await first.watches.get()  # silent for 2.4 s
            config = running.config.read_text()
            running.reload(config.replace(f"127.0.0.1:{first.port}", f"127.0.0.1:{second.port}"))
            watch = await second.watches.get()
            second.push(watch, one.line("draining"))
            second.push(watch, two.line())
            await wait_until_served_by(running, two)
            assert first.asked == [1, 11, 13, 15] and second.asked == [15]
            assert first.snapshot_count == 1 and second.snapshot_count == 0
    assert final_count(running, "whole lists") == 1
    assert sum("endpoint list snapshot, version 10, 2 workers" in line for line in running.log) == 1
    assert final_count(running, "list changes") == 7 and final_count(running, "list calls") >= 6


@async_test
async def test_a_start_with_a_cached_list_fetches_only_changes() -> None:
    async with Planner("p1") as one, Planner("p2") as two:
        versions = Versions(one, two, first=1)
        versions.change(one.line("draining"))
        async with VersionedCatalog(versions) as catalog, program(one, two, catalog=catalog) as running:
            await catalog.watches.get()
            await wait_until_served_by(running, two)
            assert catalog.asked == [1] and not catalog.snapshot_count
    assert final_count(running, "whole lists") == 0 and final_count(running, "list changes") == 1


@async_test
async def test_a_truncated_snapshot_is_fetched_again() -> None:
    """A truncated update must not count as a known version."""
    async with Planner("p1") as one, VersionedCatalog(Versions(one)) as catalog:
        catalog.truncated_answers = 2
        async with program(catalog=catalog) as running:
            await catalog.watches.get()
            await wait_until_served_by(running, one)
            assert catalog.asked == [1, 1, 1] and catalog.snapshot_count == 3
    assert final_count(running, "whole lists") == 1


async def wait_until_served_by(running: Program, planner: Planner) -> None:
    """Submit jobs until 12 in a row have run on this worker."""
    client = await HttpClient.to(running.port)
    consecutive = number = 0
    while consecutive < 12:
        before, number = len(planner.runs), number + 1
        client.ask(f"{planner.name}-{before}-{number}")
        status, _, _ = await client.answer()
        consecutive = consecutive + 1 if status == 200 and len(planner.runs) > before else 0
    client.writer.close()


def test_list_counters_are_not_among_the_default_metrics() -> None:
    """The documented list of metrics is complete, so list counters must not be added to it."""
    from pipitshed.admin.metrics import count_lines, parse

    assert parse(count_lines({"whole lists": 2, "list bytes": 90})) == {
        "scheduler.list_bytes": 90,
        "scheduler.whole_lists": 2,
    }

    @async_test
    async def run() -> None:
        async with (
            Planner("p1") as one,
            VersionedCatalog(Versions(one)) as catalog,
            program(catalog=catalog, mgmt=True) as running,
        ):
            await catalog.watches.get()
            assert not any("list" in name for name in await read_metrics(running.mgmt_port))

    run()


@async_test
async def test_a_slow_snapshot_is_not_fetched_again() -> None:
    """When many schedulers start together, the catalog's link is saturated. A call that was aborted 1.5 s
    after its first byte fetched the list again, and never got it."""

    class SlowCatalog(LargeCatalog):
        async def serve(self, reader: Reader, writer: Writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            self.asked.append(0)
            text = update_bytes(7, True, [*(planner.line() for planner in self.planners), *self.others])
            writer.write(HEAD)
            step = len(text) // 18 + 1
            for index in range(0, len(text), step):
                writer.write(chunk(text[index : index + step]))
                await asyncio.sleep(0.12)
            await reader.read()

    async with (
        Planner("p1") as planner,
        SlowCatalog(planner, others=4599) as catalog,
        program(catalog=catalog) as running,
    ):
        await running.logged("endpoint list snapshot")
        await wait_until_served_by(running, planner)
        assert len(catalog.asked) == 1
