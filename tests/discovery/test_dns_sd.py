"""DNS-SD records in the endpoint table, from a scripted name server."""

import asyncio
from collections import defaultdict

import pytest
from loopback import SETTINGS, HttpClient, Planner, Run, async_test, program
from name_server import SERVICE, NameServer, name_server

QUOTE, BOOK = SETTINGS["services"]
PUSHED = {"discovery": "pushed"}
ONE_ZONE = PUSHED | {"areas": ["lima-norte"], "services": [QUOTE, BOOK | {"keyScope": "cell"}]}


def lose(run: Run) -> None:
    """Start the job, then report that it is lost."""
    run.send_event("started")
    run.send_event("lost")


@async_test
async def test_records_fill_the_endpoint_table_and_drains_are_respected() -> None:
    """A worker that drains or disappears gets no new jobs after 1.5 s; two refreshes take less time."""
    loop = asyncio.get_running_loop()
    async with Planner("p1") as first, Planner("p2") as second, name_server(first) as server:
        server.add(second, "state=draining")
        async with program(front=server.front, settings=PUSHED) as running:
            client = await HttpClient.to(running.port)

            async def submit_twenty(planner: Planner) -> None:
                runs_before = len(planner.runs)
                for number in range(20):
                    client.ask(f"{planner.name}-{runs_before + number}")
                    assert (await client.answer())[0] == 200
                assert len(planner.runs) == runs_before + 20

            await submit_twenty(first)
            started_at = loop.time()
            server.add(first, "state=draining")
            server.add(second)
            await server.wait_for_refreshes(2)
            assert loop.time() - started_at < 1.5
            await submit_twenty(second)
            server.records[SERVICE, "PTR"].remove(f"p2.{SERVICE}")
            server.add(first)
            await server.wait_for_refreshes(2)
            await submit_twenty(first)


@async_test
async def test_a_booking_is_not_repeated_in_the_zone_to_which_records_have_moved_a_worker() -> None:
    """Guards against a worker's zone that stays that of its first records: a booking whose first run was lost
    ran again in another data centre, which had not seen its key."""
    async with (
        Planner("p1", act=lose) as losing,
        Planner("p2") as moved,
        Planner("p3") as other,
        name_server(losing, moved) as server,
        program(front=server.front, settings=PUSHED) as running,
    ):
        await server.wait_for_refreshes(2)
        moved.zone = "arequipa"
        server.add(moved)
        await server.wait_for_refreshes(2)
        client = await HttpClient.to(running.port)
        client.ask("b1", "book", Idempotency_Key="k1", X_Deadline="1.000")
        assert (await client.answer())[0] == 500
        server.add(other)
        await server.wait_for_refreshes(2)
        client.ask("b2", "book", Idempotency_Key="k2")
        assert (await client.answer())[0] == 200
        assert losing.runs and other.runs and not moved.runs


@async_test
async def test_workers_whose_records_name_no_zone_share_none() -> None:
    """Guards against a zone of all workers without a TXT record: a booking that was lost at one of them ran
    again at one in another data centre."""
    async with (
        Planner("p1", act=lose) as first,
        Planner("p2", "arequipa", act=lose) as second,
        Planner("p3", act=lose) as third,
        name_server(first, second, third) as server,
    ):
        withdraw_txt(server, first, second, third)
        async with program(front=server.front, settings=PUSHED) as running:
            await server.wait_for_refreshes(2)
            client = await HttpClient.to(running.port)
            client.ask("b1", "book", Idempotency_Key="k1", X_Deadline="1.000")
            assert (await client.answer())[0] == 500
            assert len(first.runs) + len(second.runs) + len(third.runs) == 1


@async_test
async def test_workers_whose_txt_records_vanish_stay_in_their_zones() -> None:
    """Guards against a zone that is forgotten with the TXT record: a booking that was lost was not repeated
    in its own data centre, or ran again in another one."""
    async with (
        Planner("p1", act=lose) as first,
        Planner("p2", "arequipa", act=lose) as second,
        Planner("p3", act=lose) as third,
        name_server(first, second, third) as server,
        program(front=server.front, settings=PUSHED) as running,
    ):
        await server.wait_for_refreshes(2)
        withdraw_txt(server, first, second, third)
        await server.wait_for_refreshes(2)
        await book_four(running.port)
        for key, names in workers_by_key(first, second, third).items():
            assert names <= {"p1", "p3"} or names == {"p2"}, (key, names)
        assert any(len(names) > 1 for names in workers_by_key(first, third).values())


def withdraw_txt(server: NameServer, *planners: Planner) -> None:
    for planner in planners:
        del server.records[f"{planner.name}.{SERVICE}", "TXT"]


async def book_four(port: int) -> None:
    """Submit four bookings, each of which is lost at every worker."""
    client = await HttpClient.to(port)
    for number in range(4):
        client.ask(f"b{number}", "book", Idempotency_Key=f"k{number}", X_Deadline="0.800")
        assert (await client.answer())[0] == 500


def workers_by_key(*planners: Planner) -> dict[str, set[str]]:
    """The names of the workers that ran each booking, by its key."""
    names = defaultdict(set)
    for planner in planners:
        for run in planner.runs:
            names[run.headers["idempotency-key"]].add(planner.name)
    return names


@pytest.mark.parametrize("is_known", [True, False])
@pytest.mark.parametrize("pairs", [None, ("cell=",), ("cell=one",)])
def test_a_keyed_job_stays_in_its_cell_where_a_txt_record_does_not_name_one(
    is_known: bool, pairs: tuple[str, ...] | None
) -> None:
    """Guards against cell 0 of a worker whose TXT record vanishes or is malformed, and after a start that
    has never seen the record: a booking that was lost in one cell ran again in another one."""

    @async_test
    async def run() -> None:
        async with (
            Planner("p1", act=lose) as disturbed,
            Planner("p2", act=lose) as other,
            name_server() as server,
        ):
            server.add(other, "cell=0")
            server.add(disturbed, "cell=1")
            if not is_known:
                disturb(server, disturbed)
            async with program(front=server.front, settings=ONE_ZONE) as running:
                await server.wait_for_refreshes(2)
                if is_known:
                    disturb(server, disturbed)
                    await server.wait_for_refreshes(2)
                await book_four(running.port)
            by_key = workers_by_key(disturbed, other)
            assert all(len(names) == 1 for names in by_key.values()), by_key
            assert {"p1"} in by_key.values() or {"p2"} in by_key.values()

    def disturb(server: NameServer, planner: Planner) -> None:
        if pairs is None:
            withdraw_txt(server, planner)
        else:
            server.add(planner, *pairs)

    run()


@async_test
async def test_a_draining_worker_whose_txt_record_vanishes_gets_no_jobs() -> None:
    """Guards against a drain that is forgotten with the TXT record; a stated end of it counts at once."""
    async with (
        Planner("p1") as draining,
        Planner("p2") as other,
        name_server(draining, other) as server,
        program(front=server.front, settings=ONE_ZONE) as running,
    ):
        client = await HttpClient.to(running.port)

        async def submit_twenty(prefix: str) -> None:
            for number in range(20):
                client.ask(f"{prefix}{number}")
                assert (await client.answer())[0] == 200

        server.add(draining, "state=draining")
        await server.wait_for_refreshes(2)
        withdraw_txt(server, draining)
        await server.wait_for_refreshes(2)
        await submit_twenty("a")
        assert len(other.runs) == 20 and not draining.runs
        server.add(draining, "state=ready")
        server.add(other, "state=draining")
        await server.wait_for_refreshes(2)
        await submit_twenty("b")
        assert len(draining.runs) == 20
