"""Jobs that wait for a planner that has just started, from both front ends."""

from __future__ import annotations

import time

import pytest
from loopback import FRONT, SETTINGS, Catalog, GearmanPeer, HttpClient, Planner, async_test, program

from pipitshed.protocols.gearman import PacketType

SLOW_START = {
    "rules": SETTINGS["rules"] | {"cold": 8800.0, "coldFrom": 0.3, "tipMultiple": 3.0, "overloadFor": 1500.0},
}
WAITING_JOBS = 40
DEADLINE_S = 1.5
MAX_SENT = 4  # slots of a planner that has reported none


class StartingPlanner(Planner):
    """A planner that has just started, and ends no job."""

    def __init__(self, name: str) -> None:
        super().__init__(name, act=lambda run: run.send_event("started"))

    def line(self, lifecycle: str = "ready") -> dict[str, object]:
        return super().line(lifecycle) | {"startedAtMs": time.time() * 1000}


# Guards against the first planner back from a replacement that gets all jobs that have waited for it.
@pytest.mark.parametrize("front_end", ["http", "gearman"])
def test_a_planner_that_has_just_started_does_not_get_all_waiting_jobs(front_end: str) -> None:
    front = FRONT.replace(" }", f", patience-s = {DEADLINE_S} }}")

    @async_test
    async def run() -> None:
        async with (
            StartingPlanner("p1") as planner,
            Catalog() as catalog,
            program(catalog=catalog, front=front, settings=SLOW_START) as running,
        ):
            watch = await catalog.watches.get()
            clients = []
            for number in range(WAITING_JOBS):
                if front_end == "http":
                    http_client = await HttpClient.to(running.port)
                    http_client.ask(f"q{number}", X_Deadline=f"{DEADLINE_S}")
                    clients.append(http_client)
                else:
                    gearman_client = await GearmanPeer.to(running.gearman_port)
                    await gearman_client.submit(b"plan_quote", b"q%d" % number, b"four")
                    clients.append(gearman_client)
            catalog.tell(watch, False, [planner.line()])
            await planner.wait_for(1)
            for client in clients:  # each is answered at its deadline
                if isinstance(client, HttpClient):
                    assert (await client.answer())[0] == 503
                else:
                    await client.expect(PacketType.WORK_WARNING)
            assert 1 <= len(planner.runs) <= MAX_SENT

    run()
