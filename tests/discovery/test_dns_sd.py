"""DNS-SD records in the route table, from a name server that is scripted here."""

import asyncio

from loopback import HttpClient, Planner, async_test, program
from name_server import SERVICE, NameServer


@async_test
async def test_records_fill_the_route_table_and_drains_are_kept() -> None:
    """A draining record and one that has vanished get nothing new from 1.5 s on; two rounds are less."""
    loop = asyncio.get_running_loop()
    _, server = await loop.create_datagram_endpoint(NameServer, local_addr=("127.0.0.1", 0))
    front = f'[dns-sd]\nserver = "127.0.0.1:{server.port}"\nservice = "{SERVICE}"\n'
    async with Planner("p1") as first, Planner("p2") as second:
        server.add(first)
        server.add(second, "state=draining")
        async with program(front=front, settings={"discovery": "pushed"}) as running:
            client = await HttpClient.to(running.port)

            async def twenty(planner: Planner) -> None:
                seen = len(planner.runs)
                for number in range(20):
                    client.ask(f"{planner.name}-{seen + number}")
                    assert (await client.answer())[0] == 200
                assert len(planner.runs) == seen + 20

            await twenty(first)
            begun = loop.time()
            server.add(first, "state=draining")
            server.add(second)
            await server.rounds(2)
            assert loop.time() - begun < 1.5
            await twenty(second)
            server.records[SERVICE, "PTR"].remove(f"p2.{SERVICE}")
            server.add(first)
            await server.rounds(2)
            await twenty(first)
    server.transport.close()
