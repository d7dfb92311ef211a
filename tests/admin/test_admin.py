"""The operators' address: ready or not, and figures that are true; callers that go silent cost nothing."""

import asyncio
import json
import signal

from loopback import Catalog, HttpClient, Planner, Reader, Writer, call, figures, program, story

from pipitshed.admin.metrics import Gauges, by_class, parse, render

READY = b"GET /-/ready HTTP/1.1\r\nHost: mgmt\r\n\r\n"


def test_figures_by_class_sum_a_name_that_stands_for_several_numbers() -> None:
    counts = by_class(
        ["quote", "book", "quote"],
        {
            ("served", 0): 3,
            ("served", 2): 2,
            ("refused", 1): 1,
            ("unfit", 0): 1,
            ("overdue", 1): 1,
            ("withdrawn", 0): 9,
        },
        {0: 4, 1: 2, 2: 1},
    )
    text = render(counts, Gauges(5, 9, 1, 2, 1))
    told = parse(text)
    assert told == {
        "scheduler.answered.quote": 5,
        "scheduler.answered.book": 0,
        "scheduler.deferred.quote": 0,
        "scheduler.deferred.book": 1,
        "scheduler.errored.quote": 1,
        "scheduler.errored.book": 1,
        "scheduler.sends.quote": 5,
        "scheduler.sends.book": 2,
        "scheduler.sends": 7,
        "scheduler.current": 5,
        "scheduler.cluster_size": 9,
        "scheduler.cluster_unhealthy": 1,
        "scheduler.conf_loaded": 2,
        "scheduler.conf_invalid": 1,
    }
    assert text.decode().splitlines()[0] == "scheduler.answered.quote=5"


@story
async def test_figures_count_what_clients_were_answered_and_what_planners_were_sent() -> None:
    """Served, refused and failed by class; attempts written whole; the list's size."""
    acts = iter([lambda run: run.serve(), lambda run: run.say("failed"), lambda run: run.serve()])
    async with (
        Planner("p1", act=lambda run: next(acts)(run)) as planner,
        Catalog(planner) as catalog,
        program(catalog=catalog, mgmt=True, settings={"permissions": {"maxAttempts": 1}}) as running,
    ):
        await catalog.watches.get()
        assert (await call(running.mgmt_port, READY))[0] == 200
        client = await HttpClient.to(running.port)
        seen = {"answered": 0, "deferred": 0, "errored": 0}
        for number in ("a1", "a2", "a3"):
            client.ask(number)
            status = (await client.answer())[0]
            seen["answered" if status == 200 else "deferred" if status == 503 else "errored"] += 1
        client.ask("a4", "book", Idempotency_Key="k4", X_Deadline="0.001")
        await client.answer()
        told = await figures(running.mgmt_port)
        assert {name: told[f"scheduler.{name}.quote"] for name in seen} == seen
        assert seen["answered"] == 2
        assert told["scheduler.sends.quote"] == 3 and told["scheduler.sends"] == 3
        assert (
            told["scheduler.answered.book"]
            + told["scheduler.deferred.book"]
            + (told["scheduler.errored.book"])
            == 1
        )
        assert told["scheduler.current"] == 0 and told["scheduler.cluster_size"] == 1
        assert told["scheduler.conf_loaded"] == told["scheduler.conf_invalid"] == 0


@story
async def test_a_job_under_way_counts_as_current() -> None:
    async with (
        Planner("p1", act=lambda run: run.say("started")) as planner,
        program(planner, mgmt=True) as running,
    ):
        client = await HttpClient.to(running.port)
        client.ask("a1")
        await planner.wait_for(1)
        assert (await figures(running.mgmt_port))["scheduler.current"] == 1
        planner.runs[0].say("done", result="x")
        assert (await client.answer())[0] == 200
        assert (await figures(running.mgmt_port))["scheduler.current"] == 0


@story
async def test_unknown_calls_get_a_4xx_and_what_cannot_be_read_a_400() -> None:
    class Silent(Catalog):
        async def serve(self, reader: Reader, writer: Writer) -> None:
            await reader.read()

    async with (
        Planner("p1") as planner,
        Silent() as silent,
        program(planner, catalog=silent, mgmt=True) as running,
    ):
        port = running.mgmt_port
        assert (await call(port, b"GET /-/nothing HTTP/1.1\r\n\r\n"))[0] == 404
        assert (await call(port, b"POST /-/ready HTTP/1.1\r\nContent-Length: 2\r\n\r\nno"))[0] == 405
        assert (await call(port, b"DELETE /-/metrics HTTP/1.1\r\n\r\n"))[0] == 405
        assert (await call(port, b"\x16\x03\x01 nonsense\r\n\r\n"))[0] == 400
        # Discovery has not answered, and the start was a moment ago.
        assert (await call(port, b"GET /-/ready?x=1 HTTP/1.1\r\n\r\n"))[0] == 503


@story
async def test_silent_callers_are_closed_and_hold_up_no_call() -> None:
    """Callers that connect and say nothing: the next call is answered at once, the oldest silent one is
    closed when too many stand, and each is closed by 2 s."""
    async with Planner("p1") as planner, program(planner, mgmt=True) as running:
        silent = [await asyncio.open_connection("127.0.0.1", running.mgmt_port) for _ in range(17)]
        assert await silent[0][0].read() == b""  # made room for the seventeenth
        loop = asyncio.get_running_loop()
        begun = loop.time()
        assert (await call(running.mgmt_port, READY))[0] in (200, 503)
        assert loop.time() - begun < 0.5
        halfway, writer = await asyncio.open_connection("127.0.0.1", running.mgmt_port)
        writer.write(b"GET /-/metr")
        assert await halfway.read() == b""
        assert 1.5 < loop.time() - begun < 3.0
        for reader, _ in silent[1:]:
            assert await reader.read() == b""


@story
async def test_files_at_sighup_are_counted_and_a_process_that_ends_is_not_ready() -> None:
    async with Planner("p1") as planner, program(planner, mgmt=True) as running:
        good = running.config.read_text()
        running.reload('{"settings": ')
        await running.logged("the previous one stays in force")
        running.reload(good)
        await running.logged("configuration reloaded")
        told = await figures(running.mgmt_port)
        assert (told["scheduler.conf_loaded"], told["scheduler.conf_invalid"]) == (1, 1)
        client = await HttpClient.to(running.port)
        client.ask("a1")
        await planner.wait_for(1)
        running.process.send_signal(signal.SIGTERM)
        await running.logged("no longer ready")
        assert (await call(running.mgmt_port, READY))[0] == 503
        assert (await client.answer())[0] == 200
        assert json.loads(good)["mgmt"] == "127.0.0.1:0"
