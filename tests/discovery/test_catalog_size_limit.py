"""Long lists: taken up to a bound that follows the memory limit, and passed over beyond it."""

from __future__ import annotations

import json
from unittest.mock import Mock

import pytest
from catalog_updates import HEAD, Wide, chunk, news_of, rows
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
async def test_4600_planners_in_an_indented_list_are_taken_and_the_first_job_is_served() -> None:
    """The failure met: over a constant bound no list was taken, and the watch was opened again and again."""
    async with (
        Planner("p1") as planner,
        Wide(planner, others=4599, indent=2) as catalog,
        program(catalog=catalog) as running,
    ):
        client = await HttpClient.to(running.port)
        client.ask("a1")
        assert (await client.answer())[0] == 200
        assert len(catalog.asked) == 1
    assert not any("WARNING" in line for line in running.log), running.log


@pytest.mark.parametrize("indent", [None, 2])
def test_a_list_beyond_the_bound_is_told_of_once_and_the_watch_and_the_known_list_stand(
    indent: int | None,
) -> None:
    """The list known serves on, the changes behind the long one are taken, and a call that follows asks from
    the version before it and brings no second line."""

    @async_test
    async def run() -> None:
        async with (
            Planner("p1") as old,
            Planner("p2") as new,
            Wide(old, others=2500, indent=indent) as catalog,
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
        told = [line for line in running.log if "WARNING" in line]
        size = len(news_of(2, True, [old.line(), *rows(2500)], indent))
        assert len(told) == 1 and f"an update of {size} bytes" in told[0] and str(256 * 1024) in told[0], told

    run()


def test_the_bound_follows_the_memory_limit() -> None:
    bounds = [update_size_limit(limit) for limit in (32, 64, 128, 192, 256)]
    assert bounds == sorted(set(bounds)) and bounds[3] > 4 * 1_081_000


def _watch(told: list[int]) -> tuple[CatalogCall, Mock]:
    """A watch whose news is counted by entries, without a socket."""
    loop = Mock()
    table = EndpointTable(lambda news: told.append(len(getattr(news, "entries", ()))))
    listing = EndpointParser("test", NameIndex(["lima-norte"]), NameIndex(["standard"]), Mock())
    call = CatalogCall(CatalogClient(("127.0.0.1", 1), listing, table, loop), True)
    call.connection_made(Mock())
    call.data_received(HEAD)
    return call, table  # type: ignore[return-value]


def _text(form: str, count: int) -> bytes:
    if form != "row by row":
        return news_of(7, True, rows(count, "ready"), 2 if form == "indented" else None)
    inner = "\n,".join(map(json.dumps, rows(count, "ready")))  # each row's line ends as the last would
    return (f'{{"generation": 7, "reset": true, "instances": [\n{inner}\n]\n}}\n').encode()


@pytest.mark.parametrize("form", ["compact", "indented", "row by row"])
@pytest.mark.parametrize("size", [1, 1000, 64 * 1024])
def test_long_news_in_pieces_is_tried_no_more_often_than_it_is_long(
    form: str, size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each line that ended like a whole list was a try at all that had come: work grew with the square."""
    tried = 0
    decode = update_parser._decode

    def counting(text: bytes) -> CatalogUpdate:
        nonlocal tried
        tried += len(text)
        return decode(text)

    monkeypatch.setattr(update_parser, "_decode", counting)
    told: list[int] = []
    call, _ = _watch(told)
    text = _text(form, 400)
    for place in range(0, len(text), size):
        part = text[place : place + size]
        call.data_received(chunk(part))
    assert told == [400] and tried <= 2 * len(text)


def test_braces_in_names_end_no_list() -> None:
    """Only braces outside of texts count, and an escaped quote ends no text."""
    told: list[int] = []
    call, _ = _watch(told)
    odd = rows(3, "ready")
    odd[0]["instanceId"], odd[1]["zone"], odd[2]["instanceId"] = 'a}"}\\', "}}}", '{"'
    call.data_received(chunk(news_of(7, True, odd, 2)))
    assert told == [3]


def test_what_is_wrong_with_news_is_named_once(caplog: pytest.LogCaptureFixture) -> None:
    """The parser named its callback alone: "`on_body` callback error", at each call anew."""
    told: list[int] = []
    call, _ = _watch(told)
    owner = call._client
    for _ in range(2):
        call.data_received(chunk(b'{"generation": 1, "instances": 5}\n'))
        call = CatalogCall(owner, True)
        call.connection_made(Mock())
        call.data_received(HEAD)
    said = [record.message for record in caplog.records]
    assert len(said) == 1 and "invalid update: Expected `array`, got `int`" in said[0], said
