"""Run the soak for each seed; print a line per seed and a summary. Exit code 1 if a rule was broken."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from dataclasses import asdict
from pathlib import Path

import click

from benchmarks.soak.drawing import draw_scenario
from benchmarks.soak.play import Result, run
from pipitshed.testbed.experiment import raise_descriptor_limit

TRAFFIC_S = 20.0  # before SIGTERM
SHORT_TRAFFIC_S = 6.0
SHOWN_VIOLATIONS = 5


def parse_seeds(text: str) -> list[int]:
    """The seeds of `1-50` or `3,7,9`; ValueError for anything else."""
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def format_result(result: Result, seconds: float) -> str:
    """One line for a run; if it broke rules, also the rules, the records and the command to repeat it."""
    outcomes = " ".join(f"{name}={count}" for name, count in sorted(result.outcomes.items()))
    text = (
        f"seed {result.seed}: {result.verdict}, {result.requests} requests ({outcomes}), "
        f"stand-ins delayed by {result.worst_holdup_s * 1000:.0f} ms, peak {result.figures['peak_mb']} MB"
    )
    if result.broken:
        text += f"\n  again: python -m benchmarks.soak --seeds {result.seed} --seconds {seconds:g}"
    for violation in result.broken[:SHOWN_VIOLATIONS]:
        text += f"\n  {violation.rule}: {violation.subject}\n    " + violation.records.replace("\n", "\n    ")
    if len(result.broken) > SHOWN_VIOLATIONS:
        text += f"\n  and {len(result.broken) - SHOWN_VIOLATIONS} more"
    return text


def format_summary(results: list[Result]) -> str:
    """Counts of verdicts and of violations by rule over all runs."""
    verdicts = [result.verdict for result in results]
    rules: dict[str, int] = {}
    for result in results:
        for violation in result.broken:
            rules[violation.rule] = rules.get(violation.rule, 0) + 1
    counts = ", ".join(f"{verdicts.count(name)} {name}" for name in ("passed", "disturbed", "broken"))
    return (
        f"{len(results)} runs, {sum(result.requests for result in results)} requests: {counts}; "
        f"violations by rule: {rules or 'none'}; load average {os.getloadavg()[0]:.1f}"
    )


@click.command(help=__doc__)
@click.option("--seeds", default="1-50", show_default=True, help="Ranges or seeds, comma-separated.")
@click.option("--seconds", type=float, help=f"Seconds of traffic per run. [default: {TRAFFIC_S:g}]")
@click.option("--short", is_flag=True, help=f"{SHORT_TRAFFIC_S:g} s of traffic per run, as in CI.")
@click.option(
    "--report", type=click.Path(path_type=Path, file_okay=False), help="Folder for one JSON file per run."
)
def main(seeds: str, seconds: float | None, short: bool, report: Path | None) -> None:
    """Run the seeds one after another."""
    raise_descriptor_limit()
    traffic_s = seconds or (SHORT_TRAFFIC_S if short else TRAFFIC_S)
    results = []
    for seed in parse_seeds(seeds):
        result = asyncio.run(run(draw_scenario(seed, traffic_s)))
        results.append(result)
        print(format_result(result, traffic_s), flush=True)
        if report is not None:
            report.mkdir(parents=True, exist_ok=True)
            text = asdict(result) | {"verdict": result.verdict}
            (report / f"seed-{seed}.json").write_text(json.dumps(text, indent=1))
    print(format_summary(results))
    sys.exit(any(result.verdict == "broken" for result in results))


if __name__ == "__main__":
    main()
