"""The admin address: readiness, correct metrics, and clients that send nothing."""

import asyncio
import json
import signal

from loopback import (
    Catalog,
    HttpClient,
    Planner,
    Reader,
    Writer,
    admin_request,
    async_test,
    program,
    read_metrics,
)

from pipitshed.admin.metrics import Gauges, counts_by_class, parse, render

READY = b"GET /-/ready HTTP/1.1\r\nHost: mgmt\r\n\r\n"


def test_counts_of_class_numbers_with_the_same_name_are_added_up() -> None:
    counts = counts_by_class(
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
    metrics = parse(text)
    assert metrics == {
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


@async_test
async def test_metrics_count_responses_to_clients_and_attempts_to_planners() -> None:
    """Served, rejected and failed requests by class, written attempts, and the size of the list."""
    acts = iter([lambda run: run.serve(), lambda run: run.send_event("failed"), lambda run: run.serve()])
    async with (
        Planner("p1", act=lambda run: next(acts)(run)) as planner,
        Catalog(planner) as catalog,
        program(catalog=catalog, mgmt=True, settings={"permissions": {"maxAttempts": 1}}) as running,
    ):
        await catalog.watches.get()
        assert (await admin_request(running.mgmt_port, READY))[0] == 200
        client = await HttpClient.to(running.port)
        seen = {"answered": 0, "deferred": 0, "errored": 0}
        for number in ("a1", "a2", "a3"):
            client.ask(number)
            status = (await client.answer())[0]
            seen["answered" if status == 200 else "deferred" if status == 503 else "errored"] += 1
        client.ask("a4", "book", Idempotency_Key="k4", X_Deadline="0.001")
        await client.answer()
        metrics = await read_metrics(running.mgmt_port)
        assert {name: metrics[f"scheduler.{name}.quote"] for name in seen} == seen
        assert seen["answered"] == 2
        assert metrics["scheduler.sends.quote"] == 3 and metrics["scheduler.sends"] == 3
        assert (
            metrics["scheduler.answered.book"]
            + metrics["scheduler.deferred.book"]
            + (metrics["scheduler.errored.book"])
            == 1
        )
        assert metrics["scheduler.current"] == 0 and metrics["scheduler.cluster_size"] == 1
        assert metrics["scheduler.conf_loaded"] == metrics["scheduler.conf_invalid"] == 0


@async_test
async def test_a_running_job_counts_as_current() -> None:
    async with (
        Planner("p1", act=lambda run: run.send_event("started")) as planner,
        program(planner, mgmt=True) as running,
    ):
        client = await HttpClient.to(running.port)
        client.ask("a1")
        await planner.wait_for(1)
        assert (await read_metrics(running.mgmt_port))["scheduler.current"] == 1
        planner.runs[0].send_event("done", result="x")
        assert (await client.answer())[0] == 200
        assert (await read_metrics(running.mgmt_port))["scheduler.current"] == 0


@async_test
async def test_unknown_requests_get_a_4xx_and_malformed_ones_a_400() -> None:
    class SilentCatalog(Catalog):
        async def serve(self, reader: Reader, writer: Writer) -> None:
            await reader.read()

    async with (
        Planner("p1") as planner,
        SilentCatalog() as silent,
        program(planner, catalog=silent, mgmt=True) as running,
    ):
        port = running.mgmt_port
        assert (await admin_request(port, b"GET /-/nothing HTTP/1.1\r\n\r\n"))[0] == 404
        assert (await admin_request(port, b"POST /-/ready HTTP/1.1\r\nContent-Length: 2\r\n\r\nno"))[0] == 405
        assert (await admin_request(port, b"DELETE /-/metrics HTTP/1.1\r\n\r\n"))[0] == 405
        assert (await admin_request(port, b"\x16\x03\x01 nonsense\r\n\r\n"))[0] == 400
        # Not ready: discovery has not answered, and the program has just started.
        assert (await admin_request(port, b"GET /-/ready?x=1 HTTP/1.1\r\n\r\n"))[0] == 503


@async_test
async def test_silent_clients_are_closed_and_delay_no_request() -> None:
    """Clients that connect and send nothing: the next request is answered at once, the oldest silent client
    is closed when there are too many, and each is closed after 2 s."""
    async with Planner("p1") as planner, program(planner, mgmt=True) as running:
        silent = [await asyncio.open_connection("127.0.0.1", running.mgmt_port) for _ in range(17)]
        assert await silent[0][0].read() == b""  # evicted for the 17th connection
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        assert (await admin_request(running.mgmt_port, READY))[0] in (200, 503)
        assert loop.time() - started_at < 0.5
        halfway, writer = await asyncio.open_connection("127.0.0.1", running.mgmt_port)
        writer.write(b"GET /-/metr")
        assert await halfway.read() == b""
        assert 1.5 < loop.time() - started_at < 3.0
        for reader, _ in silent[1:]:
            assert await reader.read() == b""


@async_test
async def test_files_at_sighup_are_counted_and_a_stopping_process_is_not_ready() -> None:
    async with Planner("p1") as planner, program(planner, mgmt=True) as running:
        good = running.config.read_text()
        running.reload('{"settings": ')
        await running.logged("the previous one stays in force")
        running.reload(good)
        await running.logged("configuration reloaded")
        metrics = await read_metrics(running.mgmt_port)
        assert (metrics["scheduler.conf_loaded"], metrics["scheduler.conf_invalid"]) == (1, 1)
        client = await HttpClient.to(running.port)
        client.ask("a1")
        await planner.wait_for(1)
        running.process.send_signal(signal.SIGTERM)
        await running.logged("no longer ready")
        assert (await admin_request(running.mgmt_port, READY))[0] == 503
        assert (await client.answer())[0] == 200
        assert json.loads(good)["mgmt"] == "127.0.0.1:0"
