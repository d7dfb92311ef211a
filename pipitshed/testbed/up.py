"""`pipitshed testbed up`: a scheduler with stand-in discovery and planners, and a live table of them."""

from __future__ import annotations

import asyncio
import signal

from rich.console import Console
from rich.live import Live
from rich.table import Table

from pipitshed.testbed.experiment import FleetFile, initial_interfaces
from pipitshed.testbed.fleet.standins import PlannerFleet
from pipitshed.testbed.planner import Behaviour
from pipitshed.testbed.program import scheduler

REFRESH_INTERVAL_S = 0.5  # s between updates of the table


def _table(fleet: PlannerFleet) -> Table:
    table = Table(
        "planner", "zone", "interface", "state", "at work", "done", "failed", "cancelled", "returned"
    )
    runs = fleet.record.runs
    for member in fleet.members:
        planner_runs = [run for run in runs if run.planner == member.name]
        count = {
            outcome: str(sum(run.outcome == outcome for run in planner_runs))
            for outcome in ("done", "failed", "cancelled", "returned")
        }
        table.add_row(
            member.name,
            member.zone,
            str(member.interface),
            member.lifecycle,
            str(member.planner.job_count),
            count["done"],
            count["failed"],
            count["cancelled"],
            count["returned"],
        )
    return table


async def up(shape: FleetFile, http: str, gearman: str, console: Console) -> None:
    """Run until SIGINT or SIGTERM, or until the scheduler's process ends."""
    ended = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, ended.set)
    fleet = PlannerFleet(Behaviour(shape.slots, shape.queue), 1)
    await fleet.start(initial_interfaces(shape), [place % 2 == 0 for place in range(shape.planners)])
    try:
        async with scheduler(fleet.discovery.port, http, gearman) as running:
            console.print(
                f"clients:   http://127.0.0.1:{running.http}/api (version 1 in JSON, version 0 as a form)"
            )
            if gearman:
                console.print(
                    f"           gearman 127.0.0.1:{running.gearman}, functions plan_quote, "
                    "book_pallet (version 0), plan_quote_v1, book_pallet_v1"
                )
            console.print(f"discovery: http://127.0.0.1:{fleet.discovery.port}/catalog/members\n\ntry:")
            # Each command is one line, so that it can be copied.
            print(
                f"curl -s http://127.0.0.1:{running.http}/api -H 'X-Request-Id: try-1' -H 'X-Class: quote' "
                "-H 'X-Tenant: andes-retail' -H 'Content-Type: application/json' "
                '-d \'{"origin":"LIM-03","destination":"AQP-01","pallets":4,"weight_kg":812.5}\''
            )
            print(
                f"curl -s http://127.0.0.1:{running.http}/api -d 'req=try-2&cls=quote&"
                "member=selva-trans&wait=5&from=LIM-03&to=AQP-01&plts=4&kg=812.5'"
            )
            console.print("\nCtrl-C ends it.\n")
            with Live(_table(fleet), console=console, auto_refresh=False, transient=False) as live:
                while not ended.is_set() and running.process.returncode is None:
                    live.update(_table(fleet), refresh=True)
                    try:
                        await asyncio.wait_for(ended.wait(), REFRESH_INTERVAL_S)
                    except TimeoutError:
                        continue
    finally:
        await fleet.close()
