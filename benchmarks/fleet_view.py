"""Cost and accuracy of the membership protocol in virtual time: failure detection, convergence after a
partition, false deaths, bytes and CPU.

    python -m benchmarks.fleet_view [--sizes 5,40,300] [--hours 1] [--losses 0,0.01,0.05,0.2] [--plot FILE]

Each row is one simulated network. CPU is this process's time for the protocol and the message encoding,
divided by the number of schedulers. The same seeds give the same rows, except for CPU.
"""

from __future__ import annotations

import json
import math
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import click

from pipitshed.cluster.codec import Codec
from pipitshed.membership.members import MemberState
from pipitshed.testbed.virtual_network import Network

HEADER_BYTES = 28  # IP and UDP headers of a datagram
STEP_S = 0.02  # resolution of the measured times


def joined_network(size: int, seed: int, loss: float) -> Network:
    """A fleet whose members have all joined and finished spreading the joins.

    Raises click.ClickException if they have not joined after 120 s.
    """
    network = Network(seed, loss=loss)
    network.fleet(size)
    if network.settle(120.0) is None:
        raise click.ClickException(f"{size} schedulers had not joined after 120 s")
    network.run(30.0)
    return network


def detection(size: int, seed: int) -> dict[str, Any]:
    """Measure failure detection and recovery from a partition.

    `first_s` and `all_s`: time until the first member and until all members declare a killed one dead.
    `healed_s`: time until all views agree after a fifth of the fleet was cut off for 20 s.
    """
    network = joined_network(size, seed, 0.0)
    victim = list(network.nodes.values())[size // 2]
    killed_at = network.now
    network.kill(victim)
    all_s = network.settle(60.0, STEP_S)
    declared_dead_at = [
        when
        for when, _, news in network.state_changes
        if when > killed_at and news.record.name == victim.name and news.record.state is MemberState.DEAD
    ]
    isolated = {node.address for node in list(network.nodes.values())[: max(1, size // 5)]}
    network.cut = lambda source, target: (source in isolated) != (target in isolated)
    network.run(20.0)
    network.cut = lambda source, target: False
    healed_s = network.settle(120.0, STEP_S)
    return {
        "size": size,
        "seed": seed,
        "first_s": round(min(declared_dead_at) - killed_at, 3) if declared_dead_at else None,
        "all_s": all_s,
        "healed_s": healed_s,
    }


def cost(size: int, seed: int) -> dict[str, Any]:
    """Measure bytes, messages and CPU per second and scheduler of a fleet without changes."""
    network = joined_network(size, seed, 0.0)
    codec, byte_count = Codec("fleet"), 0
    message_count, duration_s = 0, 20.0 if size < 200 else 10.0
    send = network._send

    def counting_send(node: Any, to: Any, message: Any) -> None:
        nonlocal byte_count, message_count
        message_count += 1
        byte_count += len(codec.encode(message)) + HEADER_BYTES
        send(node, to, message)

    network._send = counting_send  # type: ignore[method-assign]
    cpu_start_s = time.process_time()
    network.run(duration_s)
    cpu_s = time.process_time() - cpu_start_s
    scheduler_seconds = size * duration_s
    return {
        "size": size,
        "seed": seed,
        "bytes_a_second": round(byte_count / scheduler_seconds),
        "messages_a_second": round(message_count / scheduler_seconds, 2),
        "cpu_ms_a_second": round(cpu_s / scheduler_seconds * 1000, 3),
    }


def false_deaths(size: int, seed: int, loss: float, slow: bool, hours: float) -> dict[str, Any]:
    """Count how often a live member is declared dead, once for each incarnation.

    With `slow`, one member in ten stops responding for 0.3 s every 2 s.
    """
    network = joined_network(size, seed, loss)
    network.state_changes.clear()
    until = network.now + hours * 3600
    slow_nodes = list(network.nodes.values())[::10] if slow else []
    while network.now < until:
        for node in slow_nodes:
            network.stall(node, 0.3)
        network.run(2.0 if slow else 60.0)
    declared_dead = {
        (news.record.name, news.record.incarnation)
        for _, _, news in network.state_changes
        if news.record.state is MemberState.DEAD
    }
    return {
        "size": size,
        "seed": seed,
        "loss": loss,
        "slow": slow,
        "hours": hours,
        "false_deaths": len(declared_dead),
        "an_hour": round(len(declared_dead) / hours, 3),
    }


def run_job(job: tuple[str, tuple[Any, ...]]) -> tuple[str, dict[str, Any]]:
    measurement, arguments = job
    measurements: dict[str, Callable[..., dict[str, Any]]] = {
        "detection": detection,
        "cost": cost,
        "deaths": false_deaths,
    }
    return measurement, measurements[measurement](*arguments)


def percentile(values: list[float], fraction: float) -> float:
    """The smallest value that at least this fraction of the values does not exceed."""
    return sorted(values)[min(len(values) - 1, math.ceil(len(values) * fraction) - 1)]


@click.command()
@click.option("--sizes", default="5,40,300", show_default=True)
@click.option(
    "--seeds",
    default=10,
    show_default=True,
    help="Networks per size, for detection; a fifth as many above 100 schedulers.",
)
@click.option("--losses", default="0,0.01,0.05,0.2", show_default=True)
@click.option(
    "--hours", default=1.0, show_default=True, help="Virtual hours of each false-death row; 0 for none."
)
@click.option("--deaths-upto", default=40, show_default=True, help="The largest size with false-death rows.")
@click.option("--jobs", default=4, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help="Append each row to this file as a JSON line.")
@click.option(
    "--plot", type=click.Path(path_type=Path), help="Write a PNG of detection, bytes and CPU by size."
)
def main(
    sizes: str,
    seeds: int,
    losses: str,
    hours: float,
    deaths_upto: int,
    jobs: int,
    out: Path | None,
    plot: Path | None,
) -> None:
    """Simulate the networks; print a row for each, then percentiles of the detection times."""
    network_sizes = [int(size) for size in sizes.split(",")]
    work: list[tuple[str, tuple[Any, ...]]] = [("cost", (size, 1)) for size in network_sizes]
    work += [
        ("detection", (size, seed))
        for size in network_sizes
        for seed in range(1, 1 + (seeds if size <= 100 else max(1, seeds // 5)))
    ]
    for size in network_sizes:
        if size <= deaths_upto and hours:
            work += [("deaths", (size, 1, float(loss), False, hours)) for loss in losses.split(",")]
            work.append(("deaths", (size, 1, 0.0, True, hours)))
    rows: dict[str, list[dict[str, Any]]] = {"cost": [], "detection": [], "deaths": []}
    with ProcessPoolExecutor(jobs) as pool:
        for measurement, row in pool.map(run_job, work):
            rows[measurement].append(row)
            text = json.dumps({"what": measurement} | row)
            click.echo(text)
            if out is not None:
                with out.open("a") as lines:
                    lines.write(text + "\n")
    for size in network_sizes:
        size_rows = [row for row in rows["detection"] if row["size"] == size]
        for name in ("first_s", "all_s", "healed_s"):
            values = [row[name] for row in size_rows if row[name] is not None]
            missing = len(size_rows) - len(values)
            if values:
                click.echo(
                    f"{size} schedulers, {name}: p50 {percentile(values, 0.5):.2f}, p99 "
                    f"{percentile(values, 0.99):.2f}, worst {max(values):.2f}"
                    + (f", NOT WITHIN THE TIME {missing} times" if missing else "")
                )
    if plot is not None:
        draw(rows, plot)


def draw(rows: dict[str, list[dict[str, Any]]], path: Path) -> None:
    """Plot detection, bytes and CPU by size."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(1, 3, figsize=(12, 3.6))
    sizes = sorted({row["size"] for row in rows["cost"]})
    for name, label in (
        ("first_s", "declared dead by the first"),
        ("all_s", "by all"),
        ("healed_s", "views agree after a partition"),
    ):
        worst = [
            max((row[name] for row in rows["detection"] if row["size"] == size and row[name]), default=0)
            for size in sizes
        ]
        axes[0].plot(sizes, worst, "o-", label=label)
    axes[0].set_ylabel("s, worst seed")
    axes[0].legend(fontsize=7)
    for axis, name, label in (
        (axes[1], "bytes_a_second", "bytes sent per second"),
        (axes[2], "cpu_ms_a_second", "CPU, ms per second"),
    ):
        axis.plot(
            sizes, [next(row[name] for row in rows["cost"] if row["size"] == size) for size in sizes], "o-"
        )
        axis.set_ylabel(label)
        axis.set_ylim(bottom=0)
    for axis in axes:
        axis.set_xscale("log")
        axis.set_xlabel("schedulers")
    figure.tight_layout()
    figure.savefig(path, dpi=90)


if __name__ == "__main__":
    main()
