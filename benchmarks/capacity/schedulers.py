"""What the fleet's view and its settings cost each scheduler, by their number, over 3 regions and 7 zones in
virtual time: the program's own protocol and codec, under a network that only counts and delays.

Bytes are on the wire, with IP and UDP headers. CPU is that of protocol and codec by this process's clock,
with no sockets (`hollow` has them).
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
LOST_ZONE = "norte/2"  # not the first seed's
SETTLED_WITHIN, QUIET_WITHIN = 60.0, 60.0  # virtual s
REST = 30.0  # virtual s
STEP = 0.1  # virtual s between looks at the views
TEAMS = 380  # rows of settings
BURST, BURSTS, EVERY = 20, 3, 8.0  # changes in one second; virtual s from burst to burst
PROCESSES = 2


class TimeOverError(Exception):
    """The time for this size is over."""


@dataclass
class Spent:
    """What a stretch of virtual time cost."""

    seconds: float = 0.0  # virtual
    cpu: float = 0.0  # s of the schedulers' own work, all together


@dataclass
class Play:
    """One fleet, and the cases that are played on it one after the other."""

    fleet: VirtualFleet
    size: int
    until: float  # time.monotonic() at which it stops
    slope: str = SLOPE
    rows: list[Row] = field(default_factory=list)

    @contextmanager
    def counted(self) -> Iterator[Spent]:
        """Count what is sent in the block, and whose work it was."""
        fleet, spent = self.fleet, Spent()
        fleet.reset_counts()
        begun, cpu, wall = fleet.now, time.process_time(), time.perf_counter()
        yield spent
        spent.seconds = fleet.now - begun
        # This process shares its cores with others, so the share of the wall's time is taken of its CPU.
        spent.cpu = (time.process_time() - cpu) * fleet.busy / max(1e-9, time.perf_counter() - wall)

    def holds(self, what: Callable[[], bool], within: float, step: float = STEP) -> float | None:
        """How long (virtual s) until it holds; None where it does not within the time."""

        def looked() -> bool:
            self.in_time()
            return what()

        return self.fleet.run_until(looked, within, step)

    def run(self, seconds: float) -> None:
        """Let so much virtual time pass."""
        until = self.fleet.now + seconds
        while self.fleet.now < until:
            self.in_time()
            self.fleet.run(min(1.0, until - self.fleet.now))

    def in_time(self) -> None:
        """TimeOverError where the time is over."""
        if time.monotonic() > self.until:
            raise TimeOverError

    def row(self, case: str, spent: Spent, why_not: str = "", **told: float) -> None:
        """Keep the row of a case that was just counted."""
        fleet = self.fleet
        share = len(fleet.nodes) * spent.seconds
        out, into = fleet.out.values(), fleet.into.values()
        figures = {
            "out_bytes_per_s": sum(one.bytes for one in out) / share,
            "heaviest_out_bytes_per_s": max(one.bytes for one in out) / spent.seconds,
            "heaviest_in_bytes_per_s": max(one.bytes for one in into) / spent.seconds,
            "worst_second_out_bytes": float(peak_bytes_per_second(out)),
            "worst_second_in_bytes": float(peak_bytes_per_second(into)),
            "messages_per_s": sum(fleet.sent.values()) / share,
            "too_long": float(fleet.oversized),
            "cpu_share": spent.cpu / share,
            "virtual_s": spent.seconds,
        }
        self.rows.append(Row(self.slope, self.size, case, figures | told, not why_not, why_not, virtual=True))

    def to_one_view(self, case: str, **told: float) -> None:
        """Count until all hold one true view and the same settings, then until nothing is left to tell."""
        begun = self.fleet.now
        with self.counted() as spent:
            settled = self.holds(self.fleet.converged, SETTLED_WITHIN)
            quiet = self.holds(self.fleet.quiescent, QUIET_WITHIN, 1.0)
        figures = dict(told)
        if settled is not None:
            figures["settled_ms"] = settled * 1000
        if quiet is not None:
            figures["quiet_ms"] = (self.fleet.now - begun) * 1000
        figures["out_bytes"] = sum(one.bytes for one in self.fleet.out.values()) / len(self.fleet.nodes)
        why = "" if settled is not None else f"not one view after {SETTLED_WITHIN:.0f} virtual s"
        self.row(case, spent, why, **figures)

    def settings(self, writer: Node, keys: Sequence[str]) -> dict[tuple[str, int], float]:
        """Put a row for each key at once; when, by key and number."""
        self.fleet.put(writer, *((key, body(self.fleet)) for key in keys))
        return {(key, number_of(writer, key)): self.fleet.now for key in keys}


def key(team: int) -> str:
    """The key of a team's quota, as operators put it."""
    return f"tenant/team-{team:03}/allowancePerS"


def body(fleet: VirtualFleet) -> bytes:
    """A team's quota, as a row holds it."""
    return b"%.3f" % (fleet.rng.random() * 10)


def number_of(node: Node, key: str) -> int:
    """The version of a row that this one holds; 0 where it holds none."""
    row = node.tables[0].get(key)
    return row.number if row is not None else 0


def words_of(fleet: VirtualFleet, since: float, state: MemberState) -> float:
    """How many times one that lived was said to be in this state, counted once for each word."""
    return float(
        len(
            {
                (news.record.name, news.record.incarnation)
                for when, _, news in fleet.state_changes
                if when >= since and news.record.state is state
            }
        )
    )


def part(values: Sequence[float], share: float) -> float:
    """The value under which this share of them lies."""
    return sorted(values)[math.ceil(len(values) * share) - 1]


def changes(play: Play, case: str) -> None:
    """Bursts of changes within a second each: how long until each is in force at each scheduler."""
    fleet = play.fleet
    writer = next(iter(fleet.nodes.values()))
    fleet.row_changes.clear()
    put: dict[tuple[str, int], float] = {}
    with play.counted() as spent:
        for burst in range(BURSTS):
            for place in range(BURST):
                put |= play.settings(writer, [key(burst * BURST + place)])
                play.run(1.0 / BURST)
            play.run(EVERY - 1.0)
    took: dict[tuple[str, int], list[float]] = {change: [] for change in put}
    for when, _, row in fleet.row_changes:
        if (row.key, row.number) in put:
            took[row.key, row.number].append((when - put[row.key, row.number]) * 1000)
    every = [one for times in took.values() for one in times]
    missing = len(put) * len(fleet.nodes) - len(every)
    play.row(
        case,
        spent,
        f"{missing} not in force in time" if missing else "",
        in_force_p50_ms=part(every, 0.5),
        in_force_p99_ms=part(every, 0.99),
        in_force_worst_ms=max(every),
        changes=float(len(put)),
        last_p50_ms=part([max(times) for times in took.values()], 0.5),
    )


def lost_everything(play: Play) -> None:
    """One is killed, and begins anew with nothing: how long until it holds all settings and the view."""
    fleet = play.fleet
    last = next(reversed(fleet.nodes.values()))
    fleet.kill(last)
    play.run(1.0)
    node, whole = fleet.start(play.size - 1, fleet.seeds), next(iter(fleet.nodes.values())).tables[0]
    with play.counted() as spent:
        current = play.holds(
            lambda: (
                node.tables[0].digest() == whole.digest()
                and node.membership.view.live_count >= len(fleet.nodes)
            ),
            SETTLED_WITHIN,
            0.05,
        )
    told = {"rows": float(len(whole))} | ({} if current is None else {"current_ms": current * 1000})
    play.row("one lost everything", spent, "" if current is not None else "not current in time", **told)


def cases(size: int, limit_s: float) -> list[Row]:
    """All cases of one size, in one fleet."""
    before = memory_mb(os.getpid())
    play = Play(VirtualFleet(seed=1), size, time.monotonic() + limit_s)
    fleet = play.fleet
    try:
        first, *_ = fleet.fleet(size)
        play.to_one_view("join storm")
        play.settings(first, [key(number) for number in range(TEAMS)])
        play.to_one_view("all settings put at once", rows=float(TEAMS))
        held = (memory_mb(os.getpid()) - before) / size
        with play.counted() as spent:
            play.run(REST)
        play.row("rest", spent, memory_mb=held)
        changes(play, "changes")
        fleet.loss, since = 0.01, fleet.now
        with play.counted() as spent:
            play.run(REST)
        play.row(
            "loss 1%",
            spent,
            false_suspicions=words_of(fleet, since, MemberState.SUSPECT),
            false_deaths=words_of(fleet, since, MemberState.DEAD),
        )
        changes(play, "changes, loss 1%")
        fleet.loss = 0.0
        play.holds(fleet.quiescent, QUIET_WITHIN, 1.0)
        lost_everything(play)
        play.holds(fleet.quiescent, QUIET_WITHIN, 1.0)
        last = next(reversed(fleet.nodes.values()))
        fleet.kill(last)
        fleet.start(size - 1, fleet.seeds)
        play.to_one_view("one restarted")
        fleet.kill_zone(LOST_ZONE)
        play.to_one_view("zone lost", lost=float(size - len(fleet.nodes)))
    except TimeOverError:
        play.rows.append(
            Row(SLOPE, size, "rest of the cases", {}, False, f"over the {limit_s:.0f} s it had", virtual=True)
        )
    return play.rows


def each(of: Callable[[int, float], list[Row]], sizes: Sequence[int], limit_s: float) -> list[Row]:
    """The rows of these sizes, the largest first, each in a process of its own as its memory is measured."""
    spawn = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(PROCESSES, mp_context=spawn, max_tasks_per_child=1) as pool:
        played = [pool.submit(of, size, limit_s) for size in sorted(sizes, reverse=True)]
        return [row for one in reversed(played) for row in one.result()]


def measure(sizes: Sequence[int], limit_s: float) -> list[Row]:
    """The rows of these sizes."""
    return each(cases, sizes, limit_s)
