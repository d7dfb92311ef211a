"""Long lists: accepted up to a size limit that follows the memory limit, and skipped beyond it."""

from __future__ import annotations

import json
from unittest.mock import Mock

import pytest
from catalog_updates import HEAD, LargeCatalog, catalog_entries, chunk, update_bytes
from loopback import HttpClient, Planner, async_test, program

from pipitshed.discovery.catalog import (
    CatalogClient,
    CatalogUpdate,
    EndpointParser,
    NameIndex,
    update_parser,
    update_size_limit,
)
from pipitshed.discovery.catalog.watch import CatalogCall
from pipitshed.proxy.endpoint_table import EndpointTable


@async_test
async def test_an_indented_list_of_4600_workers_is_accepted() -> None:
    """With a constant size limit a longer list was never accepted, and the watch was reopened repeatedly."""
    async with (
        Planner("p1") as planner,
        LargeCatalog(planner, others=4599, indent=2) as catalog,
        program(catalog=catalog) as running,
    ):
        client = await HttpClient.to(running.port)
        client.ask("a1")
        assert (await client.answer())[0] == 200
        assert len(catalog.asked) == 1
    assert not any("WARNING" in line for line in running.log), running.log


@pytest.mark.parametrize("indent", [None, 2])
def test_an_oversized_list_is_logged_once_and_the_watch_continues(
    indent: int | None,
) -> None:
    """The known list stays in use, the changes after the long update are applied, and the next call asks from
    the version before it without a second warning."""

    @async_test
    async def run() -> None:
        async with (
            Planner("p1") as old,
            Planner("p2") as new,
            LargeCatalog(old, others=2500, indent=indent) as catalog,
            program(old, catalog=catalog, memory_mb=32) as running,
        ):
            watch = await catalog.watches.get()
            client = await HttpClient.to(running.port)
            client.ask("a1")
            assert (await client.answer())[0] == 200 and old.runs
            catalog.tell(watch, False, [old.line("draining"), new.line()])
            while not new.runs:
                client.ask(f"b{len(old.runs)}")
                assert (await client.answer())[0] == 200
            assert catalog.asked == [1]
            watch.transport.abort()
            catalog.tell(await catalog.watches.get(), False, [old.line(), new.line("draining")])
            before = len(old.runs)
            while len(old.runs) == before:
                client.ask(f"c{len(new.runs)}")
                assert (await client.answer())[0] == 200
            assert catalog.asked == [1, 1]
        warnings = [line for line in running.log if "WARNING" in line]
        size = len(update_bytes(2, True, [old.line(), *catalog_entries(2500)], indent))
        assert (
            len(warnings) == 1
            and f"an update of {size} bytes" in warnings[0]
            and str(256 * 1024) in warnings[0]
        ), warnings

    run()


def test_the_size_limit_follows_the_memory_limit() -> None:
    bounds = [update_size_limit(limit) for limit in (32, 64, 128, 192, 256)]
    assert bounds == sorted(set(bounds)) and bounds[3] > 4 * 1_081_000


def _watch(entry_counts: list[int]) -> tuple[CatalogCall, Mock]:
    """Return a watch without a socket; the number of entries of each update is appended to `entry_counts`."""
    loop = Mock()
    table = EndpointTable(lambda event: entry_counts.append(len(getattr(event, "entries", ()))))
    parser = EndpointParser("test", NameIndex(["lima-norte"]), NameIndex(["standard"]), Mock())
    call = CatalogCall(CatalogClient(("127.0.0.1", 1), parser, table, loop), True)
    call.connection_made(Mock())
    call.data_received(HEAD)
    return call, table  # type: ignore[return-value]


def _update_text(layout: str, count: int) -> bytes:
    if layout != "row by row":
        return update_bytes(7, True, catalog_entries(count, "ready"), 2 if layout == "indented" else None)
    # Each entry's line ends like the last line.
    inner = "\n,".join(map(json.dumps, catalog_entries(count, "ready")))
    return (f'{{"generation": 7, "reset": true, "instances": [\n{inner}\n]\n}}\n').encode()


@pytest.mark.parametrize("layout", ["compact", "indented", "row by row"])
@pytest.mark.parametrize("size", [1, 1000, 64 * 1024])
def test_decoding_a_long_update_in_parts_takes_linear_time(
    layout: str, size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each line that ended like a complete list caused all input to be decoded: quadratic time."""
    decoded_bytes = 0
    decode = update_parser._decode

    def counting(text: bytes) -> CatalogUpdate:
        nonlocal decoded_bytes
        decoded_bytes += len(text)
        return decode(text)

    monkeypatch.setattr(update_parser, "_decode", counting)
    entry_counts: list[int] = []
    call, _ = _watch(entry_counts)
    text = _update_text(layout, 400)
    for index in range(0, len(text), size):
        received = text[index : index + size]
        call.data_received(chunk(received))
    assert entry_counts == [400] and decoded_bytes <= 2 * len(text)


def test_braces_in_strings_do_not_end_an_update() -> None:
    """Only braces outside of strings count, and an escaped quote does not end a string."""
    entry_counts: list[int] = []
    call, _ = _watch(entry_counts)
    entries = catalog_entries(3, "ready")
    entries[0]["instanceId"], entries[1]["zone"], entries[2]["instanceId"] = 'a}"}\\', "}}}", '{"'
    call.data_received(chunk(update_bytes(7, True, entries, 2)))
    assert entry_counts == [3]


def test_a_problem_with_updates_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    """The log had only the parser's callback, "`on_body` callback error", and that for each call."""
    entry_counts: list[int] = []
    call, _ = _watch(entry_counts)
    client = call._client
    for _ in range(2):
        call.data_received(chunk(b'{"generation": 1, "instances": 5}\n'))
        call = CatalogCall(client, True)
        call.connection_made(Mock())
        call.data_received(HEAD)
    messages = [record.message for record in caplog.records]
    assert len(messages) == 1 and "invalid update: Expected `array`, got `int`" in messages[0], messages
