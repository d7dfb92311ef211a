"""DNS-SD records in the endpoint table, from a scripted name server."""

import asyncio

from loopback import HttpClient, Planner, Run, async_test, program
from name_server import SERVICE, name_server


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
        async with program(front=server.front, settings={"discovery": "pushed"}) as running:
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
        program(front=server.front, settings={"discovery": "pushed"}) as running,
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
        program(front=server.front, settings={"discovery": "pushed"}) as running,
    ):
        await server.wait_for_refreshes(2)
        for planner in (first, second, third):
            del server.records[f"{planner.name}.{SERVICE}", "TXT"]
        await server.wait_for_refreshes(2)
        client = await HttpClient.to(running.port)
        client.ask("b1", "book", Idempotency_Key="k1", X_Deadline="1.000")
        assert (await client.answer())[0] == 500
        assert len(first.runs) + len(second.runs) + len(third.runs) == 1
