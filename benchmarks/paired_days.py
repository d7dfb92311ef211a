"""Simulated days run with two checkouts in pairs, and the mean difference with its confidence interval.

    python -m benchmarks.paired_days OTHER --bench PROGRAM --site SITE --day big-2 --seeds 1,2 [--plays 2]

`--bench` is the operators' benchmark program. With the simulator, `--day` names a standard day, whose seed is
read from the last score in this checkout's journal, and `--seeds` are the policy's seeds. With `lbreal`, the
bench on sockets, `--day` is a kind of rough day and `--seeds` are the day's; `--day NAME.token` replays a
recorded day, and the number of seeds only sets the number of runs. The checkouts alternate in who runs first.
Both must be built; the program records the runs in the journal of each checkout.
"""

from __future__ import annotations

import json
import math
import re
import statistics
import subprocess
from concurrent.futures import ThreadPoolExecutor
from itertools import product
from pathlib import Path
from typing import Any

import click

CHECKOUT = Path(__file__).parent.parent
# Two-sided 95 per cent points of Student's t by degrees of freedom (1 to 30); 1.96 is used beyond.
STUDENT_T_95 = (
    12.71,
    4.30,
    3.18,
    2.78,
    2.57,
    2.45,
    2.36,
    2.31,
    2.26,
    2.23,
    2.20,
    2.18,
    2.16,
    2.14,
    2.13,
    2.12,
    2.11,
    2.10,
    2.09,
    2.09,
    2.08,
    2.07,
    2.07,
    2.06,
    2.06,
    2.06,
    2.05,
    2.05,
    2.05,
    2.04,
)
RESULT_PATTERN = re.compile(r"(?:^|\s)(?:G|score) +(-?\d+\.\d+)")


class RunFailed(click.ClickException):
    """A run that printed no result, or in which a rule was broken."""


def parse_figure(text: str) -> float:
    """The result that the program printed: the score if there is one, else G.

    Raises RunFailed if neither was printed or a rule was broken.
    """
    scores = re.findall(r"score (-?\d+\.\d+)\s*$", text, re.MULTILINE)
    figures = scores or RESULT_PATTERN.findall(text)
    if not figures:
        raise RunFailed("the program printed no result:\n" + text[-2000:])
    if "rules kept" not in text:
        raise RunFailed("a rule was broken:\n" + text[-2000:])
    return float(figures[0])


def interval(differences: list[float]) -> tuple[float, float]:
    """Mean of paired differences, and half width of its 95 per cent interval (infinite for one pair)."""
    if len(differences) < 2:
        return statistics.fmean(differences), math.inf
    degrees_of_freedom = len(differences) - 1
    t_value = STUDENT_T_95[degrees_of_freedom - 1] if degrees_of_freedom <= len(STUDENT_T_95) else 1.96
    return statistics.fmean(differences), t_value * statistics.stdev(differences) / math.sqrt(
        len(differences)
    )


def standard_days(site: Path) -> dict[str, dict[str, Any]]:
    """The simulator's standard days of a site by name, from the last full score in the journal."""
    for path in sorted((CHECKOUT / "journal").glob("*.json"), reverse=True):
        journal_entry = json.loads(path.read_text())
        if journal_entry["cmd"] == "score" and journal_entry.get("site") == site.stem:
            return {day["name"]: day for day in journal_entry["days"] if "seed" in day}
    return {}


class BenchProgram:
    """The operators' benchmark program, run in a checkout."""

    def __init__(self, bench: Path, site: Path, cores: tuple[str, ...]) -> None:
        self.bench, self.site, self.cores = bench, site, cores
        self.uses_sockets = bench.name == "lbreal"
        self.days = {} if self.uses_sockets else standard_days(site)

    def command_line(self, day: str, seed: int, lane: int) -> list[str]:
        """The command line of one run."""
        common_options = ["--no-build", "--why", "Paired plays of one day for two checkouts"]
        if self.uses_sockets:
            cores = ["--cpus", self.cores[lane % len(self.cores)]] if self.cores else []
            if day.endswith(".token"):
                return [str(self.bench), "replay", day.removesuffix(".token"), *cores, *common_options]
            return [
                str(self.bench),
                str(self.site),
                "--rough",
                day,
                "--seed",
                str(seed),
                *cores,
                *common_options,
            ]
        if day not in self.days:
            raise click.ClickException(f"the journal has no standard day {day!r} of {self.site.stem}")
        day_options = ["--seed", str(self.days[day]["seed"]), "--kind", self.days[day]["kind"]]
        return [
            str(self.bench),
            "run",
            str(self.site),
            *day_options,
            "--policy-seed",
            str(seed),
            *common_options,
        ]

    def score(self, day: str, figure: float) -> float:
        """The result scaled from naive (0) to best (1) as the journal has them; unscaled for other days."""
        if day not in self.days:
            return figure
        best_score, naive_score = float(self.days[day]["top"]), float(self.days[day]["naive"])
        return 1 - (best_score - figure) / max(0.10, best_score - naive_score)

    def run_day(self, root: Path, day: str, seed: int, lane: int) -> float:
        """Run one day in the checkout `root` and return its score; at most 1800 s."""
        run = subprocess.run(
            self.command_line(day, seed, lane),
            cwd=root,
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            timeout=1800,
            check=False,
        )
        return self.score(day, parse_figure(run.stdout))


@click.command()
@click.argument("other", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option("--here", type=click.Path(path_type=Path, exists=True, file_okay=False), default=CHECKOUT)
@click.option("--bench", type=click.Path(path_type=Path, exists=True, dir_okay=False), required=True)
@click.option("--site", type=click.Path(path_type=Path, exists=True, dir_okay=False), required=True)
@click.option("--day", "days", multiple=True, required=True)
@click.option("--seeds", required=True, help="Comma-separated.")
@click.option("--plays", default=1, show_default=True)
@click.option("--lanes", default=1, show_default=True, help="Pairs that run at the same time.")
@click.option(
    "--cpus",
    multiple=True,
    help="Cores of one lane, as the benchmark program takes them; once for each lane.",
)
def main(
    other: Path,
    here: Path,
    bench: Path,
    site: Path,
    days: tuple[str, ...],
    seeds: str,
    plays: int,
    lanes: int,
    cpus: tuple[str, ...],
) -> None:
    """Run the days; print a line per pair, and for each day the difference, this checkout minus OTHER."""
    program = BenchProgram(bench.resolve(), site.resolve(), cpus)
    seed_list = [int(seed) for seed in seeds.split(",")]
    pairs = list(product(days, range(plays), seed_list))
    free_lanes = list(range(lanes))

    def run_pair(pair_index: int) -> tuple[float, float]:
        day, repetition, seed = pairs[pair_index]
        lane = free_lanes.pop()
        try:
            order = [here.resolve(), other.resolve()]
            scores = {
                root: program.run_day(root, day, seed, lane)
                for root in (order if (pair_index + repetition) % 2 else order[::-1])
            }
        finally:
            free_lanes.append(lane)
        click.echo(f"{day} seed {seed} play {repetition}: {scores[order[1]]:.4f} to {scores[order[0]]:.4f}")
        return scores[order[0]], scores[order[1]]

    with ThreadPoolExecutor(lanes) as pool:
        results = list(pool.map(run_pair, range(len(pairs))))
    for day in days:
        day_results = [result for (name, _, _), result in zip(pairs, results, strict=True) if name == day]
        mean, half_width = interval([here_score - other_score for here_score, other_score in day_results])
        click.echo(
            json.dumps(
                {
                    "day": day,
                    "pairs": len(day_results),
                    "other": round(statistics.fmean(other_score for _, other_score in day_results), 4),
                    "here": round(statistics.fmean(here_score for here_score, _ in day_results), 4),
                    "difference": round(mean, 4),
                    "interval": None if math.isinf(half_width) else round(half_width, 4),
                }
            )
        )


if __name__ == "__main__":
    main()
