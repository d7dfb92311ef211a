"""CPU per request on the untranslated HTTP path, this checkout compared with another one in pairs.

    python -m benchmarks.paired OTHER [--rounds 9] [--seconds 2]

The same clients load the two schedulers alternately; the ratio is computed for each pair.
"""

from __future__ import annotations

import asyncio
import json
import os
import statistics
from pathlib import Path

import click

from benchmarks.translation import EndpointRow, HttpPlanner, Load
from pipitshed.testbed.fleet.standins import Discovery
from pipitshed.testbed.program import scheduler

CHECKOUT = Path(__file__).parent.parent


async def measure(other: Path, rounds: int, seconds: float, clients: int) -> dict[str, object]:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(HttpPlanner, "127.0.0.1", 0) for _ in range(4)]
    discovery = Discovery()
    discovery.members = [
        EndpointRow(server.sockets[0].getsockname()[1], 0, f"p{index}")
        for index, server in enumerate(servers)
    ]
    await discovery.start()
    endpoint_rows = [member.row() for member in discovery.members]
    cpu_us: dict[str, list[float]] = {"here": [], "other": []}
    async with (
        scheduler(
            discovery.port, gearman="", translate=False, root=CHECKOUT, known=endpoint_rows
        ) as this_scheduler,
        scheduler(
            discovery.port, gearman="", translate=False, root=other, known=endpoint_rows
        ) as other_scheduler,
    ):
        # Both schedulers share one core that the clients do not use, so other load affects both alike.
        cores = sorted(os.sched_getaffinity(0))
        if len(cores) > 1:
            os.sched_setaffinity(0, cores[:-1])
            for running in (this_scheduler, other_scheduler):
                os.sched_setaffinity(running.process.pid, cores[-1:])
        await asyncio.sleep(0.5)
        for number in range(rounds + 1):
            pair = [("here", this_scheduler), ("other", other_scheduler)]
            for name, running in pair if number % 2 else pair[::-1]:
                cpu_before_s = running.cpu()
                served = await Load("json").run(running.http, clients, seconds)
                if number:  # the first round is a warm-up
                    cpu_us[name].append((running.cpu() - cpu_before_s) / served * 1e6)
    discovery.close()
    for server in servers:
        server.close()
    ratios = [a / b for a, b in zip(cpu_us["here"], cpu_us["other"], strict=True)]
    return {
        "cpu_us": {name: round(statistics.median(values), 1) for name, values in cpu_us.items()},
        "ratio": {
            "median": round(statistics.median(ratios), 3),
            "least": round(min(ratios), 3),
            "most": round(max(ratios), 3),
        },
    }


@click.command()
@click.argument("other", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option("--rounds", default=9, show_default=True)
@click.option("--seconds", default=2.0, show_default=True)
@click.option("--clients", default=16, show_default=True)
def main(other: Path, rounds: int, seconds: float, clients: int) -> None:
    """Compare this checkout with OTHER and print the figures as JSON."""
    click.echo(json.dumps(asyncio.run(measure(other.resolve(), rounds, seconds, clients)), indent=1))


if __name__ == "__main__":
    main()
