"""What the view costs and how it holds, in virtual time: detection, settling, false deaths, bytes and CPU.

    python -m benchmarks.fleet_view [--sizes 5,40,300] [--hours 1] [--losses 0,0.01,0.05,0.2] [--plot FILE]

Each row is one network in virtual time; CPU is that of the protocol and its messages' bytes, by this
process's clock, divided among the schedulers. The same seeds give the same rows, but for CPU.
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

HEADERS = 28  # bytes of IP and UDP around a datagram
STEP = 0.02  # s


def settled(size: int, seed: int, loss: float) -> Network:
    """A fleet that has joined, and told all of it."""
    network = Network(seed, loss=loss)
    network.fleet(size)
    if network.settle(120.0) is None:
        raise click.ClickException(f"{size} schedulers had not joined after 120 s")
    network.run(30.0)
    return network


def detection(size: int, seed: int) -> dict[str, Any]:
    """How long until one that is killed is held dead: by the first, and by all; and until a fleet of which a
    fifth was cut off for 20 s is whole again."""
    network = settled(size, seed, 0.0)
    victim = list(network.nodes.values())[size // 2]
    killed = network.now
    network.kill(victim)
    all_know = network.settle(60.0, STEP)
    told = [
        when
        for when, _, news in network.state_changes
        if when > killed and news.record.name == victim.name and news.record.state is MemberState.DEAD
    ]
    apart = {node.address for node in list(network.nodes.values())[: max(1, size // 5)]}
    network.cut = lambda source, target: (source in apart) != (target in apart)
    network.run(20.0)
    network.cut = lambda source, target: False
    whole = network.settle(120.0, STEP)
    return {
        "size": size,
        "seed": seed,
        "first_s": round(min(told) - killed, 3) if told else None,
        "all_s": all_know,
        "healed_s": whole,
    }


def cost(size: int, seed: int) -> dict[str, Any]:
    """Bytes, messages and CPU a second and scheduler, of a fleet that agrees."""
    network = settled(size, seed, 0.0)
    codec, size_of = Codec("fleet"), 0
    sent, seconds = 0, 20.0 if size < 200 else 10.0
    send = network._send

    def counted(node: Any, to: Any, message: Any) -> None:
        nonlocal size_of, sent
        sent += 1
        size_of += len(codec.encode(message)) + HEADERS
        send(node, to, message)

    network._send = counted  # type: ignore[method-assign]
    began = time.process_time()
    network.run(seconds)
    cpu = time.process_time() - began
    share = size * seconds
    return {
        "size": size,
        "seed": seed,
        "bytes_a_second": round(size_of / share),
        "messages_a_second": round(sent / share, 2),
        "cpu_ms_a_second": round(cpu / share * 1000, 3),
    }


def deaths(size: int, seed: int, loss: float, slow: bool, hours: float) -> dict[str, Any]:
    """How often one that lives is declared dead in so many hours, by any that lives, counted once for each
    time it was; with `slow`, one in ten stands still for 0.3 s every 2 s."""
    network = settled(size, seed, loss)
    network.state_changes.clear()
    until = network.now + hours * 3600
    slowed = list(network.nodes.values())[::10] if slow else []
    while network.now < until:
        for node in slowed:
            network.stall(node, 0.3)
        network.run(2.0 if slow else 60.0)
    said = {
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
        "false_deaths": len(said),
        "an_hour": round(len(said) / hours, 3),
    }


def call(job: tuple[str, tuple[Any, ...]]) -> tuple[str, dict[str, Any]]:
    what, words = job
    plays: dict[str, Callable[..., dict[str, Any]]] = {"detection": detection, "cost": cost, "deaths": deaths}
    return what, plays[what](*words)


def part(values: list[float], share: float) -> float:
    """The value under which this share of them lies."""
    return sorted(values)[min(len(values) - 1, math.ceil(len(values) * share) - 1)]


@click.command()
@click.option("--sizes", default="5,40,300", show_default=True)
@click.option("--seeds", default=10, show_default=True, help="networks a size, for detection and settling")
@click.option("--losses", default="0,0.01,0.05,0.2", show_default=True)
@click.option("--hours", default=1.0, show_default=True, help="virtual hours of each false-death row")
@click.option("--deaths-upto", default=40, show_default=True, help="the largest size that plays these hours")
@click.option("--jobs", default=4, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help="A JSON line a row.")
@click.option("--plot", type=click.Path(path_type=Path), help="A PNG of detection, bytes and CPU by size.")
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
    """Play the networks and print a row for each, then the tables."""
    chosen = [int(size) for size in sizes.split(",")]
    work: list[tuple[str, tuple[Any, ...]]] = [("cost", (size, 1)) for size in chosen]
    work += [
        ("detection", (size, seed))
        for size in chosen
        for seed in range(1, 1 + (seeds if size <= 100 else max(1, seeds // 5)))
    ]
    for size in chosen:
        if size <= deaths_upto and hours:
            work += [("deaths", (size, 1, float(loss), False, hours)) for loss in losses.split(",")]
            work.append(("deaths", (size, 1, 0.0, True, hours)))
    rows: dict[str, list[dict[str, Any]]] = {"cost": [], "detection": [], "deaths": []}
    with ProcessPoolExecutor(jobs) as pool:
        for what, row in pool.map(call, work):
            rows[what].append(row)
            text = json.dumps({"what": what} | row)
            click.echo(text)
            if out is not None:
                with out.open("a") as lines:
                    lines.write(text + "\n")
    for size in chosen:
        mine = [row for row in rows["detection"] if row["size"] == size]
        for name in ("first_s", "all_s", "healed_s"):
            values = [row[name] for row in mine if row[name] is not None]
            missing = len(mine) - len(values)
            if values:
                click.echo(
                    f"{size} schedulers, {name}: p50 {part(values, 0.5):.2f}, p99 "
                    f"{part(values, 0.99):.2f}, worst {max(values):.2f}"
                    + (f", NOT WITHIN THE TIME {missing} times" if missing else "")
                )
    if plot is not None:
        draw(rows, plot)


def draw(rows: dict[str, list[dict[str, Any]]], path: Path) -> None:
    """Detection, bytes and CPU by size."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(1, 3, figsize=(12, 3.6))
    sizes = sorted({row["size"] for row in rows["cost"]})
    for name, label in (
        ("first_s", "held dead by the first"),
        ("all_s", "by all"),
        ("healed_s", "one view after a cut"),
    ):
        worst = [
            max((row[name] for row in rows["detection"] if row["size"] == size and row[name]), default=0)
            for size in sizes
        ]
        axes[0].plot(sizes, worst, "o-", label=label)
    axes[0].set_ylabel("s, worst seed")
    axes[0].legend(fontsize=7)
    for axis, name, label in (
        (axes[1], "bytes_a_second", "bytes a second, sent"),
        (axes[2], "cpu_ms_a_second", "CPU, ms a second"),
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
