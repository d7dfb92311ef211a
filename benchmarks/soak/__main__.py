"""The soak's command: plays seeds, prints a line for each, and a table; 1 where a rule was broken."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from dataclasses import asdict
from pathlib import Path

import click

from benchmarks.soak.drawing import draw_play
from benchmarks.soak.play import Result, run
from pipitshed.testbed.experiment import raise_descriptor_limit

SECONDS = 20.0  # of traffic in a play
SHORT_SECONDS = 6.0
SHOWN_BREAKS = 5


def seeds_of(text: str) -> list[int]:
    """The seeds of `1-50` or `3,7,9`."""
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def line(result: Result, seconds: float) -> str:
    """One play in a line; of a broken one also the rules, the records, and how to play it again."""
    outcomes = " ".join(f"{name}={count}" for name, count in sorted(result.outcomes.items()))
    told = (
        f"seed {result.seed}: {result.verdict}, {result.requests} requests ({outcomes}), "
        f"stand-ins held up {result.worst_holdup_s * 1000:.0f} ms, peak {result.figures['peak_mb']} MB"
    )
    if result.broken:
        told += f"\n  again: python -m benchmarks.soak --seeds {result.seed} --seconds {seconds:g}"
    for one in result.broken[:SHOWN_BREAKS]:
        told += f"\n  {one.rule}: {one.subject}\n    " + one.records.replace("\n", "\n    ")
    if len(result.broken) > SHOWN_BREAKS:
        told += f"\n  and {len(result.broken) - SHOWN_BREAKS} more"
    return told


def table(results: list[Result]) -> str:
    """The counts over all plays."""
    verdicts = [result.verdict for result in results]
    rules: dict[str, int] = {}
    for result in results:
        for one in result.broken:
            rules[one.rule] = rules.get(one.rule, 0) + 1
    counts = ", ".join(f"{verdicts.count(name)} {name}" for name in ("passed", "disturbed", "broken"))
    return (
        f"{len(results)} plays, {sum(result.requests for result in results)} requests: {counts}; "
        f"breaks by rule: {rules or 'none'}; load average {os.getloadavg()[0]:.1f}"
    )


@click.command(help=__doc__)
@click.option("--seeds", default="1-50", show_default=True, help="A range, or seeds parted by commas.")
@click.option("--seconds", type=float, help=f"Of traffic in a play. [default: {SECONDS:g}]")
@click.option("--short", is_flag=True, help=f"Plays of {SHORT_SECONDS:g} s, as in CI.")
@click.option("--report", type=click.Path(path_type=Path, file_okay=False), help="For one JSON file a play.")
def main(seeds: str, seconds: float | None, short: bool, report: Path | None) -> None:
    """Play the seeds one after another."""
    raise_descriptor_limit()
    length_s = seconds or (SHORT_SECONDS if short else SECONDS)
    results = []
    for seed in seeds_of(seeds):
        result = asyncio.run(run(draw_play(seed, length_s)))
        results.append(result)
        print(line(result, length_s), flush=True)
        if report is not None:
            report.mkdir(parents=True, exist_ok=True)
            told = asdict(result) | {"verdict": result.verdict}
            (report / f"seed-{seed}.json").write_text(json.dumps(told, indent=1))
    print(table(results))
    sys.exit(any(result.verdict == "broken" for result in results))


if __name__ == "__main__":
    main()
