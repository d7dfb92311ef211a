"""Counts over a fleet from the traces that `LB_TRACE=-` writes, one file per scheduler.

    python -m benchmarks.fleet_trace LOGS [--after 12] [--json OUT]

Reports what no single scheduler sees: how attempts spread over the planners relative to an even share, which
planners answered with errors and how fast, the results of the fleet's endpoint list calls per 2.5 s, and the
events of schedulers that received no list update after `--after` seconds compared with the others.
"""

from __future__ import annotations

import json
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import click

WINDOW_S = 2.5  # window of the endpoint list calls' table


@dataclass(frozen=True)
class TraceLine:
    """One traced event (`<`) or action (`>`) of one scheduler."""

    at_s: float  # since that scheduler's start
    direction: str
    kind: str
    fields: dict[str, str]


def trace_lines(text: Iterable[str]) -> Iterator[TraceLine]:
    """The trace lines of one log; other lines are skipped."""
    for log_line in text:
        parts = log_line.split()
        if len(parts) < 4 or parts[2] not in ("<", ">"):
            continue
        try:
            at_s = float(parts[0])
        except ValueError:
            continue
        fields = dict(part.split("=", 1) for part in parts[4:] if "=" in part)
        yield TraceLine(at_s, parts[2], parts[3], fields)


@dataclass
class FleetCounts:
    """Totals over all schedulers' traces."""

    sends_by_worker: Counter[str] = field(default_factory=Counter)
    outcomes: defaultdict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    error_ms: list[float] = field(default_factory=list)
    served_ms: list[float] = field(default_factory=list)
    list_calls: Counter[float] = field(default_factory=Counter)  # by start of the window (s)
    list_answers: defaultdict[float, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    # Events after `after`, and schedulers, by whether the scheduler still received list updates.
    late_counts: dict[bool, Counter[str]] = field(default_factory=lambda: {True: Counter(), False: Counter()})
    scheduler_counts: Counter[bool] = field(default_factory=Counter)

    def add(self, trace: list[TraceLine], after: float) -> None:
        """Add one scheduler's trace; `after` (s) decides whether it still received list updates."""
        receives_updates = any(
            line.kind == "ListNews" and line.fields.get("kind") in ("FULL", "DELTA") and line.at_s > after
            for line in trace
        )
        self.scheduler_counts[receives_updates] += 1
        for line in trace:
            window = int(line.at_s // WINDOW_S) * WINDOW_S
            if line.kind == "Send":
                self.sends_by_worker[line.fields["worker"]] += 1
            elif line.kind == "Finished":
                outcome = line.fields["outcome"]
                self.outcomes[line.fields["worker"]][outcome] += 1
                elapsed_ms = float(line.fields.get("elapsed", "0"))
                if outcome == "ERROR":
                    self.error_ms.append(elapsed_ms)
                elif outcome == "OK":
                    self.served_ms.append(elapsed_ms)
            elif line.kind in ("WatchList", "FetchList"):
                self.list_calls[window] += 1
            elif line.kind == "ListNews":
                self.list_answers[window][line.fields.get("kind", "")] += 1
            if line.at_s > after and line.kind in ("Submitted", "Refuse", "Fail"):
                self.late_counts[receives_updates][line.kind] += 1
            if line.at_s > after and line.kind == "Finished":
                self.late_counts[receives_updates][line.fields["outcome"]] += 1

    def report(self) -> dict[str, object]:
        fair_share = sum(self.sends_by_worker.values()) / (len(self.sends_by_worker) or 1)
        error_counts = Counter(
            {worker: outcomes["ERROR"] for worker, outcomes in self.outcomes.items() if outcomes["ERROR"]}
        )
        return {
            "sends": sum(self.sends_by_worker.values()),
            "planners": len(self.sends_by_worker),
            "fair_share": round(fair_share, 1),
            "most_sent": [
                (worker, count, dict(self.outcomes[worker]))
                for worker, count in self.sends_by_worker.most_common(8)
            ],
            "failing": [
                (worker, errors, round(self.sends_by_worker[worker] / fair_share, 2))
                for worker, errors in error_counts.most_common(8)
            ],
            "error_ms_median": round(statistics.median(self.error_ms), 1) if self.error_ms else None,
            "served_ms_median": round(statistics.median(self.served_ms), 1) if self.served_ms else None,
            "list_calls": [
                (window, self.list_calls[window], dict(self.list_answers[window]))
                for window in sorted(set(self.list_calls) | set(self.list_answers))
            ],
            "hearing": {"schedulers": self.scheduler_counts[True], **self.late_counts[True]},
            "blind": {"schedulers": self.scheduler_counts[False], **self.late_counts[False]},
        }


def summarize(folder: Path, after: float) -> dict[str, object]:
    fleet = FleetCounts()
    for path in sorted(folder.glob("*.log")):
        with path.open() as text:
            fleet.add(list(trace_lines(text)), after)
    return fleet.report()


@click.command()
@click.argument("logs", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option(
    "--after",
    default=12.0,
    show_default=True,
    help="A scheduler without a list update after this time (s) counts as blind.",
)
@click.option(
    "--json",
    "out",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Also write the figures to this file.",
)
def main(logs: Path, after: float, out: Path | None) -> None:
    """Print counts over the fleet from the traces (*.log) in LOGS."""
    report = summarize(logs, after)
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
