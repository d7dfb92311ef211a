"""Gang starts in virtual time: independent requests at once, on a fleet with a given share of busy slots.

A gang is whole when all its members run. If one member is refused, the others hold slots without use.
"""

from __future__ import annotations

from collections.abc import Sequence
from time import monotonic

from benchmarks.capacity.modelled import MEAN_TASK_MS, ORDINARY, Fleet, ModelRequest
from benchmarks.capacity.records import Row

SLOPE = "gangs"
SIZES = (2, 8, 32, 64, 128)  # members
PLANNERS = 575
SCHEDULERS = 38  # 15 planners for each
GANGS = 12  # for each size and case, each on a new fleet
FILL_SHARES = {"half full": 0.5, "four fifths full": 0.8, "nine tenths full": 0.9, "98 in 100 full": 0.98}
ANSWER_TIMEOUT_MS = 620_000.0  # longer than the deadline of 600 s: every member has started or been refused


def gang(members: int, fill_share: float, seed: int) -> dict[str, float]:
    """Start one gang, its members spread over all schedulers; the figures of its start."""
    fleet = Fleet(PLANNERS, SCHEDULERS, seed)
    fleet.fill(fill_share, refill=True)
    begin_ms, answered = fleet.time.now_ms, list[ModelRequest]()
    requests = [
        ModelRequest(
            ORDINARY, begin_ms, answered.append, number % SCHEDULERS, ANSWER_TIMEOUT_MS + MEAN_TASK_MS
        )
        for number in range(members)
    ]
    for one in requests:
        fleet.submit(one)
    while len(answered) < members and fleet.time.now_ms < begin_ms + ANSWER_TIMEOUT_MS:
        fleet.time.run(fleet.time.now_ms + 10.0)
    started = [one.started for one in requests if one.started is not None]
    whole = len(started) == members
    decided_at = max((one.ended or one.started or fleet.time.now_ms) for one in requests)
    return {
        "started": float(len(started)),
        "whole": float(whole),
        "known_ms": decided_at - begin_ms,
        "sends": float(sum(one.sends for one in requests)),
        "held_slot_s": 0.0 if whole else sum(decided_at - at for at in started) / 1000,
        "lost_slot_s": 0.0 if whole else len(started) * MEAN_TASK_MS / 1000,
    }


def simulate(members: int, case: str) -> dict[str, float]:
    """The mean figures of `GANGS` gangs."""
    results = [gang(members, FILL_SHARES[case], seed) for seed in range(1, GANGS + 1)]
    mean = {name: sum(one[name] for one in results) / GANGS for name in results[0]}
    return {
        "started_share": mean["started"] / members,
        "whole_share": mean["whole"],
        "known_ms": mean["known_ms"],
        "worst_known_ms": max(one["known_ms"] for one in results),
        "sends_each": mean["sends"] / members,
        "held_slot_s": mean["held_slot_s"],
        "lost_slot_s": mean["lost_slot_s"],
    }


def measure(sizes: Sequence[int], limit_s: float) -> list[Row]:
    """One row for each size and case; those beyond the time limit are left out."""
    until, rows = monotonic() + limit_s, []
    for size in sizes:
        for case in FILL_SHARES:
            if monotonic() < until:
                rows.append(Row(SLOPE, size, case, simulate(size, case), virtual=True))
    return rows
