"""Cost of the membership view and the replicated settings at each scheduler, by the number of schedulers in
3 regions and 7 zones, in virtual time: the program's own protocol and codec on a network that only counts and
delays.

Bytes are on the wire, with IP and UDP headers. CPU is the time of protocol and codec by this process's clock,
without sockets (`hollow` includes them).
"""

from __future__ import annotations

import math
import multiprocessing
import os
import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field

from benchmarks.capacity.machine import memory_mb
from benchmarks.capacity.records import Row
from pipitshed.membership.members import MemberState
from pipitshed.testbed.virtual_fleet import VirtualFleet, peak_bytes_per_second
from pipitshed.testbed.virtual_network import Node

SLOPE = "schedulers"
SIZES = (5, 40, 150, 300, 600)
LOST_ZONE = "norte/2"  # not the zone of the first seed
SETTLE_TIMEOUT_S, QUIET_TIMEOUT_S = 60.0, 60.0  # virtual s
REST_S = 30.0  # virtual s
STEP_S = 0.1  # virtual s between checks of the views
TEAMS = 380  # one row of settings each
BURST, BURSTS, BURST_INTERVAL_S = 20, 3, 8.0  # changes in one second; bursts; virtual s between their starts
PROCESSES = 2


class TimeLimitError(Exception):
    """The time limit of this size is exceeded."""


@dataclass
class Cost:
    """Duration and CPU time of a measured block."""

    seconds: float = 0.0  # virtual
    cpu: float = 0.0  # s of all schedulers together


@dataclass
class FleetRun:
    """One fleet, and the rows of the cases that run on it one after the other."""

    fleet: VirtualFleet
    size: int
    stops_at: float  # time.monotonic() of the time limit
    slope: str = SLOPE
    rows: list[Row] = field(default_factory=list)

    @contextmanager
    def measured(self) -> Iterator[Cost]:
        """Reset the traffic counters, and measure the virtual and the CPU time of the block."""
        fleet, cost = self.fleet, Cost()
        fleet.reset_counts()
        begun, cpu, wall = fleet.now, time.process_time(), time.perf_counter()
        yield cost
        cost.seconds = fleet.now - begun
        # `busy` is wall time, which includes other processes: its share of the wall time scales the CPU time.
        cost.cpu = (time.process_time() - cpu) * fleet.busy / max(1e-9, time.perf_counter() - wall)

    def wait_until(self, what: Callable[[], bool], within: float, step: float = STEP_S) -> float | None:
        """Virtual seconds until `what` is true; None if it is not within the time."""

        def checked() -> bool:
            self.check_time_limit()
            return what()

        return self.fleet.run_until(checked, within, step)

    def advance(self, seconds: float) -> None:
        """Run the fleet for this many virtual seconds."""
        until = self.fleet.now + seconds
        while self.fleet.now < until:
            self.check_time_limit()
            self.fleet.run(min(1.0, until - self.fleet.now))

    def check_time_limit(self) -> None:
        """Raise TimeLimitError if the time limit is exceeded."""
        if time.monotonic() > self.stops_at:
            raise TimeLimitError

    def row(self, case: str, cost: Cost, why_not: str = "", **extra_figures: float) -> None:
        """Add a row of the counters and of the measured cost."""
        fleet = self.fleet
        share = len(fleet.nodes) * cost.seconds
        out, into = fleet.out.values(), fleet.into.values()
        figures = {
            "out_bytes_per_s": sum(one.bytes for one in out) / share,
            "heaviest_out_bytes_per_s": max(one.bytes for one in out) / cost.seconds,
            "heaviest_in_bytes_per_s": max(one.bytes for one in into) / cost.seconds,
            "worst_second_out_bytes": float(peak_bytes_per_second(out)),
            "worst_second_in_bytes": float(peak_bytes_per_second(into)),
            "messages_per_s": sum(fleet.sent.values()) / share,
            "too_long": float(fleet.oversized),
            "cpu_share": cost.cpu / share,
            "virtual_s": cost.seconds,
        }
        self.rows.append(
            Row(self.slope, self.size, case, figures | extra_figures, not why_not, why_not, virtual=True)
        )

    def measure_convergence(self, case: str, **extra_figures: float) -> None:
        """Measure the time until all have a correct view and equal settings, and until no news is unsent."""
        begun = self.fleet.now
        with self.measured() as cost:
            settled = self.wait_until(self.fleet.converged, SETTLE_TIMEOUT_S)
            quiet = self.wait_until(self.fleet.quiescent, QUIET_TIMEOUT_S, 1.0)
        figures = dict(extra_figures)
        if settled is not None:
            figures["settled_ms"] = settled * 1000
        if quiet is not None:
            figures["quiet_ms"] = (self.fleet.now - begun) * 1000
        figures["out_bytes"] = sum(one.bytes for one in self.fleet.out.values()) / len(self.fleet.nodes)
        why = "" if settled is not None else f"not one view after {SETTLE_TIMEOUT_S:.0f} virtual s"
        self.row(case, cost, why, **figures)

    def put_quotas(self, writer: Node, keys: Sequence[str]) -> dict[tuple[str, int], float]:
        """Put a row for each key at once; the virtual time of the change by key and version."""
        self.fleet.put(writer, *((key, quota_value(self.fleet)) for key in keys))
        return {(key, version_of(writer, key)): self.fleet.now for key in keys}


def key(team: int) -> str:
    """The settings key of a team's quota."""
    return f"tenant/team-{team:03}/allowancePerS"


def quota_value(fleet: VirtualFleet) -> bytes:
    """A random quota, as the value of a row."""
    return b"%.3f" % (fleet.rng.random() * 10)


def version_of(node: Node, key: str) -> int:
    """The version of the row with this key at a node; 0 if the node has none."""
    row = node.tables[0].get(key)
    return row.number if row is not None else 0


def count_reports(fleet: VirtualFleet, since: float, state: MemberState) -> float:
    """How many member records (name and incarnation) were reported in this state since a time."""
    return float(
        len(
            {
                (news.record.name, news.record.incarnation)
                for when, _, news in fleet.state_changes
                if when >= since and news.record.state is state
            }
        )
    )


def percentile(values: Sequence[float], share: float) -> float:
    """The nearest-rank percentile of the values at a share from 0 to 1."""
    return sorted(values)[math.ceil(len(values) * share) - 1]


def changes(run: FleetRun, case: str) -> None:
    """Put bursts of changes; measure the time until each change is in force at each scheduler."""
    fleet = run.fleet
    writer = next(iter(fleet.nodes.values()))
    fleet.row_changes.clear()
    put: dict[tuple[str, int], float] = {}
    with run.measured() as cost:
        for burst in range(BURSTS):
            for index in range(BURST):
                put |= run.put_quotas(writer, [key(burst * BURST + index)])
                run.advance(1.0 / BURST)
            run.advance(BURST_INTERVAL_S - 1.0)
    delays_ms: dict[tuple[str, int], list[float]] = {change: [] for change in put}
    for when, _, row in fleet.row_changes:
        if (row.key, row.number) in put:
            delays_ms[row.key, row.number].append((when - put[row.key, row.number]) * 1000)
    all_delays_ms = [one for times in delays_ms.values() for one in times]
    missing = len(put) * len(fleet.nodes) - len(all_delays_ms)
    run.row(
        case,
        cost,
        f"{missing} not in force in time" if missing else "",
        in_force_p50_ms=percentile(all_delays_ms, 0.5),
        in_force_p99_ms=percentile(all_delays_ms, 0.99),
        in_force_worst_ms=max(all_delays_ms),
        changes=float(len(put)),
        last_p50_ms=percentile([max(times) for times in delays_ms.values()], 0.5),
    )


def lost_everything(run: FleetRun) -> None:
    """Kill a scheduler and start it without stored rows; measure until it has the view and all settings."""
    fleet = run.fleet
    last = next(reversed(fleet.nodes.values()))
    fleet.kill(last)
    run.advance(1.0)
    node, reference = fleet.start(run.size - 1, fleet.seeds), next(iter(fleet.nodes.values())).tables[0]
    with run.measured() as cost:
        current = run.wait_until(
            lambda: (
                node.tables[0].digest() == reference.digest()
                and node.membership.view.live_count >= len(fleet.nodes)
            ),
            SETTLE_TIMEOUT_S,
            0.05,
        )
    extra_figures = {"rows": float(len(reference))} | (
        {} if current is None else {"current_ms": current * 1000}
    )
    run.row(
        "one lost everything", cost, "" if current is not None else "not current in time", **extra_figures
    )


def cases(size: int, limit_s: float) -> list[Row]:
    """The rows of all cases of one size, in one fleet."""
    before = memory_mb(os.getpid())
    run = FleetRun(VirtualFleet(seed=1), size, time.monotonic() + limit_s)
    fleet = run.fleet
    try:
        first, *_ = fleet.fleet(size)
        run.measure_convergence("join storm")
        run.put_quotas(first, [key(number) for number in range(TEAMS)])
        run.measure_convergence("all settings put at once", rows=float(TEAMS))
        held = (memory_mb(os.getpid()) - before) / size
        with run.measured() as cost:
            run.advance(REST_S)
        run.row("rest", cost, memory_mb=held)
        changes(run, "changes")
        fleet.loss, since = 0.01, fleet.now
        with run.measured() as cost:
            run.advance(REST_S)
        run.row(
            "loss 1%",
            cost,
            false_suspicions=count_reports(fleet, since, MemberState.SUSPECT),
            false_deaths=count_reports(fleet, since, MemberState.DEAD),
        )
        changes(run, "changes, loss 1%")
        fleet.loss = 0.0
        run.wait_until(fleet.quiescent, QUIET_TIMEOUT_S, 1.0)
        lost_everything(run)
        run.wait_until(fleet.quiescent, QUIET_TIMEOUT_S, 1.0)
        last = next(reversed(fleet.nodes.values()))
        fleet.kill(last)
        fleet.start(size - 1, fleet.seeds)
        run.measure_convergence("one restarted")
        fleet.kill_zone(LOST_ZONE)
        run.measure_convergence("zone lost", lost=float(size - len(fleet.nodes)))
    except TimeLimitError:
        run.rows.append(
            Row(SLOPE, size, "rest of the cases", {}, False, f"over the {limit_s:.0f} s it had", virtual=True)
        )
    return run.rows


def run_sizes(
    measure_size: Callable[[int, float], list[Row]], sizes: Sequence[int], limit_s: float
) -> list[Row]:
    """The rows of these sizes, the largest first, each in its own process for the memory figure."""
    spawn = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(PROCESSES, mp_context=spawn, max_tasks_per_child=1) as pool:
        futures = [pool.submit(measure_size, size, limit_s) for size in sorted(sizes, reverse=True)]
        return [row for one in reversed(futures) for row in one.result()]


def measure(sizes: Sequence[int], limit_s: float) -> list[Row]:
    """The rows of these sizes (schedulers)."""
    return run_sizes(cases, sizes, limit_s)
