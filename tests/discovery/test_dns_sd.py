"""DNS-SD records in the endpoint table, from a scripted name server."""

import asyncio

from loopback import HttpClient, Planner, async_test, program
from name_server import SERVICE, NameServer


@async_test
async def test_records_fill_the_endpoint_table_and_drains_are_respected() -> None:
    """A worker that drains or disappears gets no new jobs after 1.5 s; two refreshes take less time."""
    loop = asyncio.get_running_loop()
    _, server = await loop.create_datagram_endpoint(NameServer, local_addr=("127.0.0.1", 0))
    front = f'[dns-sd]\nserver = "127.0.0.1:{server.port}"\nservice = "{SERVICE}"\n'
    async with Planner("p1") as first, Planner("p2") as second:
        server.add(first)
        server.add(second, "state=draining")
        async with program(front=front, settings={"discovery": "pushed"}) as running:
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
    server.transport.close()
