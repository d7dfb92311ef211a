"""An upgrade: a second process on the listening socket that the platform holds, then SIGTERM to the first.
Nothing is refused, reset or left unread on the way."""

import asyncio
import signal
import socket

from loopback import SETTINGS, Catalog, HttpClient, Planner, admin_request, async_test, program

READY = b"GET /-/ready HTTP/1.1\r\nHost: mgmt\r\n\r\n"


async def _ready(port: int) -> None:
    """Ask until the process says yes, as the platform does."""
    while (await admin_request(port, READY))[0] != 200:
        await asyncio.sleep(0.05)


@async_test
async def test_a_new_process_takes_over_the_passed_socket_and_nothing_is_refused() -> None:
    held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)  # the platform's
    held.bind(("127.0.0.1", 0))
    held.listen(64)
    port, number = held.getsockname()[1], held.fileno()
    passed = {"env": {"LB_PASSED_SOCKET": str(number)}, "pass_fds": (number,), "mgmt": True}
    statuses: list[int] = []
    keep_going = asyncio.Event()

    async def traffic() -> None:
        """One job on each new connection, one after another, and one kept connection beside them."""
        kept = await HttpClient.to(port)
        count = 0
        while not keep_going.is_set():
            count += 1
            fresh = await HttpClient.to(port)
            fresh.ask(f"n{count}")
            statuses.append((await fresh.answer())[0])
            fresh.writer.close()
            kept.ask(f"k{count}")
            status, headers, _ = await kept.answer()
            statuses.append(status)
            if headers.get("connection") == "close":
                kept = await HttpClient.to(port)

    async with (
        Planner("p1") as planner,
        Catalog(planner) as catalog,
        program(catalog=catalog, **passed) as old,
    ):  # type: ignore[arg-type]
        assert old.port == port
        await _ready(old.mgmt_port)
        load = asyncio.create_task(traffic())
        async with program(catalog=catalog, **passed) as new:  # type: ignore[arg-type]
            assert new.port == port and new.mgmt_port != old.mgmt_port
            await _ready(new.mgmt_port)
            served_before = len(statuses)
            old.process.send_signal(signal.SIGTERM)
            assert await old.process.wait() == 0
            old.log.append((await old.process.stdout.read()).decode())  # type: ignore[union-attr]
            assert "ended:" in "".join(old.log)
            taken_after = len(statuses)
            while len(statuses) < taken_after + 10:
                await asyncio.sleep(0.05)
            keep_going.set()
            await load
            assert served_before > 0 and set(statuses) == {200}, statuses
            assert (await admin_request(new.mgmt_port, READY))[0] == 200
    held.close()


@async_test
async def test_a_connection_in_use_at_the_end_is_told_of_its_close() -> None:
    """Guards against a close without notice between two requests of a client that asks again and again: the
    next one crossed it, and the client had to send it once more elsewhere."""

    async def ask_on(client: HttpClient, name: str) -> None:
        headers: dict[str, str] = {}
        count = 0
        while headers.get("connection") != "close":
            count += 1
            client.ask(f"{name}{count}")
            status, headers, _ = await client.answer()
            assert status == 200
            await asyncio.sleep(0.12)  # the client's own pace
        assert await client.reader.read() == b""

    async with Planner("p1") as planner, program(planner) as running:
        clients = []
        for place in range(6):  # at paces that are spread, so that no moment suits all of them
            clients.append(asyncio.create_task(ask_on(await HttpClient.to(running.port), f"c{place}-")))
            await asyncio.sleep(0.02)
        running.process.send_signal(signal.SIGTERM)
        await asyncio.gather(*clients)
        assert await running.process.wait() == 0


@async_test
async def test_without_a_passed_socket_the_program_binds_its_address() -> None:
    async with Planner("p1") as planner, program(planner, mgmt=True) as running:
        assert running.port != 0 and "(passed)" not in "".join(running.log)
        client = await HttpClient.to(running.port)
        client.ask("a1")
        assert (await client.answer())[0] == 200


@async_test
async def test_the_end_comes_before_sigkill_where_all_deadlines_are_short() -> None:
    """SIGKILL comes the longest deadline and 0.7 s after SIGTERM. The figures of deployments with deadlines
    over 3 s, which both have had, would keep the program up for 2 s and lose what came in then."""
    brief = {"services": [SETTINGS["services"][0] | {"deadline": 600.0, "goalTime": 300.0}]}
    async with (
        Planner("p1") as planner,
        Catalog(planner) as catalog,
        program(planner, catalog=catalog, settings=brief) as running,
    ):
        client = await HttpClient.to(running.port)
        client.ask("n1", X_Deadline="0.600")
        assert (await client.answer())[0] == 200
        running.process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(running.process.wait(), 0.6 + 0.7) == 0
