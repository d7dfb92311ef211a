"""Tests of an upgrade: a second process starts on the listening socket that the platform holds, then the
first gets SIGTERM. No connection is refused or reset, and no request stays unanswered."""

import asyncio
import signal
import socket
import tempfile

from loopback import (
    NON_IDEMPOTENT_BOOK,
    SETTINGS,
    Catalog,
    HttpClient,
    Planner,
    Run,
    admin_request,
    async_test,
    program,
)

READY = b"GET /-/ready HTTP/1.1\r\nHost: mgmt\r\n\r\n"


async def _ready(port: int) -> None:
    """Poll the readiness of the process until it is ready, as the platform does."""
    while (await admin_request(port, READY))[0] != 200:
        await asyncio.sleep(0.05)


@async_test
async def test_a_new_process_takes_over_the_inherited_socket_and_no_request_fails() -> None:
    listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)  # held by the platform
    listening_socket.bind(("127.0.0.1", 0))
    listening_socket.listen(64)
    port, descriptor = listening_socket.getsockname()[1], listening_socket.fileno()
    options = {"env": {"LB_PASSED_SOCKET": str(descriptor)}, "pass_fds": (descriptor,), "mgmt": True}
    statuses: list[int] = []
    stop_traffic = asyncio.Event()

    async def traffic() -> None:
        """Send jobs in turn on a new connection each and on a kept connection."""
        kept_client = await HttpClient.to(port)
        count = 0
        while not stop_traffic.is_set():
            count += 1
            new_client = await HttpClient.to(port)
            new_client.ask(f"n{count}")
            statuses.append((await new_client.answer())[0])
            new_client.writer.close()
            kept_client.ask(f"k{count}")
            status, headers, _ = await kept_client.answer()
            statuses.append(status)
            if headers.get("connection") == "close":
                kept_client = await HttpClient.to(port)

    async with (
        Planner("p1") as planner,
        Catalog(planner) as catalog,
        program(catalog=catalog, **options) as old,
    ):  # type: ignore[arg-type]
        assert old.port == port
        await _ready(old.mgmt_port)
        traffic_task = asyncio.create_task(traffic())
        async with program(catalog=catalog, **options) as new:  # type: ignore[arg-type]
            assert new.port == port and new.mgmt_port != old.mgmt_port
            await _ready(new.mgmt_port)
            served_before = len(statuses)
            old.process.send_signal(signal.SIGTERM)
            assert await old.process.wait() == 0
            old.log.append((await old.process.stdout.read()).decode())  # type: ignore[union-attr]
            assert "ended:" in "".join(old.log)
            served_at_exit = len(statuses)
            while len(statuses) < served_at_exit + 10:
                await asyncio.sleep(0.05)
            stop_traffic.set()
            await traffic_task
            assert served_before > 0 and set(statuses) == {200}, statuses
            assert (await admin_request(new.mgmt_port, READY))[0] == 200
    listening_socket.close()


@async_test
async def test_a_response_announces_the_close_of_a_connection_in_use_at_shutdown() -> None:
    """Guards against a close without notice between two requests of a client on a kept connection: its next
    request would cross the close, and the client would have to send it again elsewhere."""

    async def send_until_close(client: HttpClient, name: str) -> None:
        headers: dict[str, str] = {}
        count = 0
        while headers.get("connection") != "close":
            count += 1
            client.ask(f"{name}{count}")
            status, headers, _ = await client.answer()
            assert status == 200
            await asyncio.sleep(0.12)  # between two requests of the client
        assert await client.reader.read() == b""

    async with Planner("p1") as planner, program(planner) as running:
        clients = []
        for index in range(6):  # started apart, so that SIGTERM comes at another point of each client's cycle
            clients.append(
                asyncio.create_task(send_until_close(await HttpClient.to(running.port), f"c{index}-"))
            )
            await asyncio.sleep(0.02)
        running.process.send_signal(signal.SIGTERM)
        await asyncio.gather(*clients)
        assert await running.process.wait() == 0


@async_test
async def test_without_an_inherited_socket_the_program_binds_its_address() -> None:
    async with Planner("p1") as planner, program(planner, mgmt=True) as running:
        assert running.port != 0 and "(passed)" not in "".join(running.log)
        client = await HttpClient.to(running.port)
        client.ask("a1")
        assert (await client.answer())[0] == 200


@async_test
async def test_shutdown_ends_before_sigkill_where_all_deadlines_are_short() -> None:
    """SIGKILL comes the longest deadline plus 0.7 s after SIGTERM. Shutdown times for deadlines over 3 s
    would keep this process up for 2 s, and lose the requests that arrive until SIGKILL."""
    short_deadlines = {"services": [SETTINGS["services"][0] | {"deadline": 600.0, "goalTime": 300.0}]}
    async with (
        Planner("p1") as planner,
        Catalog(planner) as catalog,
        program(planner, catalog=catalog, settings=short_deadlines) as running,
    ):
        client = await HttpClient.to(running.port)
        client.ask("n1", X_Deadline="0.600")
        assert (await client.answer())[0] == 200
        running.process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(running.process.wait(), 0.6 + 0.7) == 0


@async_test
async def test_a_non_idempotent_job_does_not_run_again_at_the_other_process_of_an_upgrade() -> None:
    """Its client left the old process after the job had started, and sends the id again to the new one."""
    listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listening_socket.bind(("127.0.0.1", 0))
    listening_socket.listen(64)
    port, descriptor = listening_socket.getsockname()[1], listening_socket.fileno()
    with tempfile.TemporaryDirectory() as folder:
        environment = {"LB_PASSED_SOCKET": str(descriptor), "TMPDIR": folder}
        options = {"env": environment, "pass_fds": (descriptor,), "mgmt": True}

        def start_only(run: Run) -> None:
            run.send_event("started")

        async with (
            Planner("p1", act=start_only) as planner,
            program(planner, settings=NON_IDEMPOTENT_BOOK, **options) as old,  # type: ignore[arg-type]
        ):
            client = await HttpClient.to(port)
            client.ask("b1", "book", X_Deadline="9.0")
            run = await planner.wait_for(1)
            client.writer.close()
            await run.dropped()
            async with program(planner, settings=NON_IDEMPOTENT_BOOK, **options) as new:  # type: ignore[arg-type]
                await _ready(new.mgmt_port)
                old.process.send_signal(signal.SIGTERM)
                await old.process.wait()
                old.log.append((await old.process.stdout.read()).decode())  # type: ignore[union-attr]
                again = await HttpClient.to(port)
                again.ask("b1", "book", X_Deadline="9.0")
                assert (await again.answer())[0] == 409
                assert len(planner.runs) == 1
                again.writer.close()
    listening_socket.close()
