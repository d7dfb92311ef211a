"""Counts across a fleet from the traces that `LB_TRACE=-` writes, one file for each scheduler.

    python -m benchmarks.fleet_trace LOGS [--after 12] [--json OUT]

It tells what no single scheduler sees: how sends spread over the planners against a fair share, which
planners answered with errors and how fast, how the fleet's list calls fared in each 2.5 s, and what the
schedulers that heard no list news after `--after` seconds did against those that did.
"""

from __future__ import annotations

import json
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import click

WINDOW = 2.5  # s of the list calls' table


@dataclass(frozen=True)
class Line:
    """One traced event (`<`) or action (`>`) of one scheduler."""

    at: float  # s since that scheduler's start
    way: str
    kind: str
    fields: dict[str, str]


def lines(text: Iterable[str]) -> Iterator[Line]:
    """The traced lines of one log; what else stands in it is passed over."""
    for raw in text:
        parts = raw.split()
        if len(parts) < 4 or parts[2] not in ("<", ">"):
            continue
        try:
            at = float(parts[0])
        except ValueError:
            continue
        told = dict(part.split("=", 1) for part in parts[4:] if "=" in part)
        yield Line(at, parts[2], parts[3], told)


@dataclass
class Fleet:
    """What all schedulers' traces add up to."""

    sends: Counter[str] = field(default_factory=Counter)
    outcomes: defaultdict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    error_ms: list[float] = field(default_factory=list)
    served_ms: list[float] = field(default_factory=list)
    asks: Counter[float] = field(default_factory=Counter)
    news: defaultdict[float, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    late: dict[bool, Counter[str]] = field(default_factory=lambda: {True: Counter(), False: Counter()})
    schedulers: Counter[bool] = field(default_factory=Counter)

    def add(self, trace: list[Line], after: float) -> None:
        """One scheduler's trace."""
        hears = any(
            line.kind == "ListNews" and line.fields.get("kind") in ("FULL", "DELTA") and line.at > after
            for line in trace
        )
        self.schedulers[hears] += 1
        for line in trace:
            window = int(line.at // WINDOW) * WINDOW
            if line.kind == "Send":
                self.sends[line.fields["worker"]] += 1
            elif line.kind == "Finished":
                outcome = line.fields["outcome"]
                self.outcomes[line.fields["worker"]][outcome] += 1
                elapsed = float(line.fields.get("elapsed", "0"))
                if outcome == "ERROR":
                    self.error_ms.append(elapsed)
                elif outcome == "OK":
                    self.served_ms.append(elapsed)
            elif line.kind in ("WatchList", "FetchList"):
                self.asks[window] += 1
            elif line.kind == "ListNews":
                self.news[window][line.fields.get("kind", "")] += 1
            if line.at > after and line.kind in ("Submitted", "Refuse", "Fail"):
                self.late[hears][line.kind] += 1
            if line.at > after and line.kind == "Finished":
                self.late[hears][line.fields["outcome"]] += 1

    def report(self) -> dict[str, object]:
        fair = sum(self.sends.values()) / (len(self.sends) or 1)
        failing = Counter({worker: told["ERROR"] for worker, told in self.outcomes.items() if told["ERROR"]})
        return {
            "sends": sum(self.sends.values()),
            "planners": len(self.sends),
            "fair_share": round(fair, 1),
            "most_sent": [
                (worker, count, dict(self.outcomes[worker])) for worker, count in self.sends.most_common(8)
            ],
            "failing": [
                (worker, errors, round(self.sends[worker] / fair, 2))
                for worker, errors in failing.most_common(8)
            ],
            "error_ms_median": round(statistics.median(self.error_ms), 1) if self.error_ms else None,
            "served_ms_median": round(statistics.median(self.served_ms), 1) if self.served_ms else None,
            "list_calls": [
                (window, self.asks[window], dict(self.news[window]))
                for window in sorted(set(self.asks) | set(self.news))
            ],
            "hearing": {"schedulers": self.schedulers[True], **self.late[True]},
            "blind": {"schedulers": self.schedulers[False], **self.late[False]},
        }


def count(folder: Path, after: float) -> dict[str, object]:
    fleet = Fleet()
    for path in sorted(folder.glob("*.log")):
        with path.open() as text:
            fleet.add(list(lines(text)), after)
    return fleet.report()


@click.command()
@click.argument("logs", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option(
    "--after", default=12.0, show_default=True, help="s from which a scheduler without news is blind"
)
@click.option(
    "--json", "out", type=click.Path(dir_okay=False, path_type=Path), help="write the figures here too"
)
def main(logs: Path, after: float, out: Path | None) -> None:
    """Count the traces in LOGS across the fleet."""
    report = count(logs, after)
    for key, value in report.items():
        if isinstance(value, list):
            click.echo(f"{key}:")
            for item in value:
                click.echo(f"  {item}")
        else:
            click.echo(f"{key}: {value}")
    if out is not None:
        out.write_text(json.dumps(report, indent=1))


if __name__ == "__main__":
    main()
