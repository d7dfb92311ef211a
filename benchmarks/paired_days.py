"""Chosen days on chosen seeds, played for two checkouts in turn, and the difference with its interval.

    python -m benchmarks.paired_days OTHER --bench PROGRAM --site SITE --day big-2 --seeds 1,2 [--plays 2]

`--bench` is the operators' program, run as its pages say. With the simulator `--day` names a standard day,
whose seed the last score in this checkout's journal tells, and `--seeds` are the policy's; with the bench on
sockets it is a kind of rough day, and they are the day's; `--day NAME.token` plays a recorded day, and the
seeds only count. The checkouts take turns in who goes first. Both must be built; the runs stand in
each one's journal.
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

HERE = Path(__file__).parent.parent
# Two-sided 95 per cent points of Student's t, by degrees of freedom; beyond the last the normal one.
STUDENT = (
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
RESULT = re.compile(r"(?:^|\s)(?:G|score) +(-?\d+\.\d+)")


class PlayFailed(click.ClickException):
    """A day that ended without a figure, or with a rule broken."""


def figure(text: str) -> float:
    """The day's figure: its score where the program tells one, else G; a broken rule is no figure."""
    scores = re.findall(r"score (-?\d+\.\d+)\s*$", text, re.MULTILINE)
    found = scores or RESULT.findall(text)
    if not found:
        raise PlayFailed("no figure:\n" + text[-2000:])
    if "rules kept" not in text:
        raise PlayFailed("a rule was broken:\n" + text[-2000:])
    return float(found[0])


def interval(differences: list[float]) -> tuple[float, float]:
    """Mean of paired differences and the half width of its 95 per cent interval (infinite for one pair)."""
    if len(differences) < 2:
        return statistics.fmean(differences), math.inf
    freedom = len(differences) - 1
    point = STUDENT[freedom - 1] if freedom <= len(STUDENT) else 1.96
    return statistics.fmean(differences), point * statistics.stdev(differences) / math.sqrt(len(differences))


def standard_days(site: Path) -> dict[str, dict[str, Any]]:
    """The simulator's standard days of a site, by name, as the last full score in the journal has them."""
    for path in sorted((HERE / "journal").glob("*.json"), reverse=True):
        told = json.loads(path.read_text())
        if told["cmd"] == "score" and told.get("site") == site.stem:
            return {day["name"]: day for day in told["days"] if "seed" in day}
    return {}


class Plays:
    """Runs the bench's program in a checkout."""

    def __init__(self, bench: Path, site: Path, cores: tuple[str, ...]) -> None:
        self.bench, self.site, self.cores = bench, site, cores
        self.real = bench.name == "lbreal"
        self.days = {} if self.real else standard_days(site)

    def words(self, day: str, seed: int, lane: int) -> list[str]:
        """The command line of one play."""
        why = ["--no-build", "--why", "Paired plays of one day for two checkouts"]
        if self.real:
            cores = ["--cpus", self.cores[lane % len(self.cores)]] if self.cores else []
            if day.endswith(".token"):
                return [str(self.bench), "replay", day.removesuffix(".token"), *cores, *why]
            return [str(self.bench), str(self.site), "--rough", day, "--seed", str(seed), *cores, *why]
        if day not in self.days:
            raise click.ClickException(f"the journal has no standard day {day!r} of {self.site.stem}")
        drawn = ["--seed", str(self.days[day]["seed"]), "--kind", self.days[day]["kind"]]
        return [str(self.bench), "run", str(self.site), *drawn, "--policy-seed", str(seed), *why]

    def score(self, day: str, found: float) -> float:
        """The day's score where the journal tells what it stands between, else the figure itself."""
        if day not in self.days:
            return found
        top, floor = float(self.days[day]["top"]), float(self.days[day]["naive"])
        return 1 - (top - found) / max(0.10, top - floor)

    def play(self, root: Path, day: str, seed: int, lane: int) -> float:
        """One play's score."""
        run = subprocess.run(
            self.words(day, seed, lane),
            cwd=root,
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            timeout=1800,
            check=False,
        )
        return self.score(day, figure(run.stdout))


@click.command()
@click.argument("other", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option("--here", type=click.Path(path_type=Path, exists=True, file_okay=False), default=HERE)
@click.option("--bench", type=click.Path(path_type=Path, exists=True, dir_okay=False), required=True)
@click.option("--site", type=click.Path(path_type=Path, exists=True, dir_okay=False), required=True)
@click.option("--day", "days", multiple=True, required=True)
@click.option("--seeds", required=True, help="comma-separated")
@click.option("--plays", default=1, show_default=True)
@click.option("--lanes", default=1, show_default=True, help="pairs at once")
@click.option("--cpus", multiple=True, help="cores of one lane, as the bench takes them; once for each lane")
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
    """Play, and print a line a pair and the difference, this checkout less OTHER, for each day."""
    program = Plays(bench.resolve(), site.resolve(), cpus)
    chosen = [int(seed) for seed in seeds.split(",")]
    pairs = list(product(days, range(plays), chosen))
    free = list(range(lanes))

    def pair(place: int) -> tuple[float, float]:
        day, play, seed = pairs[place]
        lane = free.pop()
        try:
            order = [here.resolve(), other.resolve()]
            got = {
                root: program.play(root, day, seed, lane)
                for root in (order if (place + play) % 2 else order[::-1])
            }
        finally:
            free.append(lane)
        click.echo(f"{day} seed {seed} play {play}: {got[order[1]]:.4f} to {got[order[0]]:.4f}")
        return got[order[0]], got[order[1]]

    with ThreadPoolExecutor(lanes) as pool:
        results = list(pool.map(pair, range(len(pairs))))
    for day in days:
        mine = [result for (name, _, _), result in zip(pairs, results, strict=True) if name == day]
        mean, width = interval([now - before for now, before in mine])
        click.echo(
            json.dumps(
                {
                    "day": day,
                    "pairs": len(mine),
                    "other": round(statistics.fmean(before for _, before in mine), 4),
                    "here": round(statistics.fmean(now for now, _ in mine), 4),
                    "difference": round(mean, 4),
                    "interval": None if math.isinf(width) else round(width, 4),
                }
            )
        )


if __name__ == "__main__":
    main()
