"""CPU time of the dispatcher alone when one planner or a whole zone of the list changes, by fleet size.

python -m benchmarks.capacity.decisions [--sizes 200,575,1150,2300,4600,9200]
"""

from __future__ import annotations

import json
from time import process_time

import click

from pipitshed.scheduling.actions import StartAttempt
from pipitshed.scheduling.dispatcher import Dispatcher
from pipitshed.scheduling.events import (
    AttemptFinished,
    AttemptProgressed,
    EndpointEntry,
    EndpointState,
    EndpointsUpdated,
    JobSubmitted,
    Outcome,
    ProgressKind,
    UpdateKind,
)
from pipitshed.scheduling.settings import (
    Costs,
    Guarantees,
    Idempotency,
    JobClass,
    Limits,
    Settings,
    WeightKind,
)

ZONES, CELLS = 7, 70
CLASSES = 3
ROUNDS, CHANGES, JOBS = 9, 20, 400  # the minimum of the rounds counts, as other processes only add time


class Scheduler:
    """A dispatcher with a list of planners and a simulated clock."""

    def __init__(self, planners: int) -> None:
        classes = tuple(
            JobClass(
                latency_objective_ms=800.0,
                deadline_ms=5000.0,
                idempotency=Idempotency.IDEMPOTENT,
                idempotency_window_ms=5000.0,
            )
            for _ in range(CLASSES)
        )
        self.dispatcher = Dispatcher(
            Settings(
                classes=classes,
                costs=Costs(cross_zone_cost=0.014),
                tick_ms=2.0,
                scheduler_count=300,
                workers_report_start=True,
                limits=Limits(may_cancel=True, max_attempts=5),
                guarantees=Guarantees(slow_start_ms=8800.0, initial_capacity_fraction=0.3),
                weight_kind=WeightKind.ROUGH,
                zone_count=ZONES,
            ),
            1,
        )
        self.now, self.jobs, self.next_number = 1_000_000.0, 0, planners
        self.entries = [self.entry(number) for number in range(planners)]
        self.update_list(UpdateKind.CACHED, self.entries)

    @staticmethod
    def entry(number: int) -> EndpointEntry:
        return EndpointEntry(
            b"p%05d" % number, zone=number % ZONES, cell=number % CELLS, weight=1.0 + number % 3
        )

    def update_list(self, kind: UpdateKind, entries: list[EndpointEntry]) -> None:
        self.dispatcher.handle(self.now, [EndpointsUpdated(kind, 1, tuple(entries))])

    def job(self) -> None:
        """Submit one job, which is dispatched, started and completed."""
        self.jobs += 1
        self.now += 50.0
        [attempt] = [
            action
            for action in self.dispatcher.handle(
                self.now, [JobSubmitted(self.jobs, 5000.0, self.jobs % CLASSES)]
            )
            if isinstance(action, StartAttempt)
        ]
        self.dispatcher.handle(
            self.now, [AttemptProgressed(self.jobs, 0, attempt.worker, ProgressKind.STARTED)]
        )
        self.dispatcher.handle(
            self.now, [AttemptFinished(self.jobs, 0, attempt.worker, Outcome.OK, 1.0, True)]
        )

    def replace(self) -> None:
        """Remove one planner and add another, in two updates, each followed by a job."""
        index = self.next_number * 7919 % len(self.entries)
        old, self.entries[index] = self.entries[index], self.entry(self.next_number)
        self.next_number += 1
        self.update_list(UpdateKind.DELTA, [removed_entry(old)])
        self.job()
        self.update_list(UpdateKind.DELTA, [self.entries[index]])
        self.job()


def removed_entry(entry: EndpointEntry) -> EndpointEntry:
    return EndpointEntry(
        entry.worker, entry.zone, entry.cell, entry.worker_kind, entry.weight, state=EndpointState.REMOVED
    )


def minimum_us(rounds: list[float]) -> float:
    return round(min(rounds) * 1e6, 1)


def job_cost(planners: int) -> float:
    """CPU time in µs of the dispatcher for one job without a list change."""
    scheduler = Scheduler(planners)
    rounds = []
    for _ in range(ROUNDS):
        start_s = process_time()
        for _ in range(JOBS):
            scheduler.job()
        rounds.append((process_time() - start_s) / JOBS)
    return minimum_us(rounds)


def change_cost(planners: int) -> dict[str, float]:
    """CPU time in µs of one list change with the job that follows, and of a job without a change."""
    scheduler = Scheduler(planners)
    scheduler.replace()
    rounds = []
    for _ in range(ROUNDS):
        start_s = process_time()
        for _ in range(CHANGES // 2):
            scheduler.replace()
        rounds.append((process_time() - start_s) / CHANGES)
    return {"planners": planners, "change_and_job_us": minimum_us(rounds), "job_us": job_cost(planners)}


def zone_cost(planners: int, at_once: bool) -> dict[str, float]:
    """CPU time in µs of the loss of a zone: in one update followed by a job of each class, or in one update
    for each planner, each followed by a job."""
    rounds, changes = [], 0
    for _ in range(ROUNDS if at_once else 2):
        scheduler = Scheduler(planners)
        for _ in range(CLASSES):
            scheduler.job()
        lost = [removed_entry(entry) for entry in scheduler.entries if entry.zone == ZONES - 1]
        changes = len(lost)
        start_s = process_time()
        for update in [lost] if at_once else [[entry] for entry in lost]:
            scheduler.update_list(UpdateKind.DELTA, update)
            for _ in range(CLASSES if at_once else 1):
                scheduler.job()
        rounds.append(process_time() - start_s)
    return {"planners": planners, "changes": changes, "zone_us": minimum_us(rounds)}


@click.command()
@click.option("--sizes", default="200,575,1150,2300,4600,9200", show_default=True)
def main(sizes: str) -> None:
    """Print one JSON line of figures for each size."""
    for planners in (int(size) for size in sizes.split(",")):
        click.echo(
            json.dumps(
                change_cost(planners)
                | {
                    "zone_at_once_us": zone_cost(planners, True)["zone_us"],
                    "zone_one_by_one_us": zone_cost(planners, False)["zone_us"],
                }
            )
        )


if __name__ == "__main__":
    main()
