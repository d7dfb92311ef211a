"""Regions apart and whole again, and all schedulers restarted in waves, in virtual time: how long until all
hold one view and the same settings, and what that costs. Network and counting are those of `schedulers`.
"""

from __future__ import annotations

import time
from collections.abc import Sequence

from benchmarks.capacity.records import Row
from benchmarks.capacity.schedulers import (
    QUIET_TIMEOUT_S,
    SETTLE_TIMEOUT_S,
    TEAMS,
    FleetRun,
    TimeLimitError,
    key,
    quota_value,
    run_sizes,
    version_of,
)
from pipitshed.testbed.virtual_fleet import Fleet, region
from pipitshed.testbed.virtual_view import Node

SLOPE = "regions"
SIZES = (40, 80, 150, 300)
LOST_REGION = "centro"
APART_S = 180.0  # virtual s: longer than a tombstone (120 s), so that each side has forgotten the other
RESTARTS, CHANGES = 17, 325  # on each side while they are apart
DOWN_S = 1.0  # virtual s that a restarted scheduler is gone
WAVES, WAVE_INTERVAL_S, WAVE_CHANGES = 10, 10.0, 20  # parts of the fleet, virtual s, changes between two


def restart(fleet: Fleet, nodes: Sequence[Node]) -> None:
    """These end in good order and come back under their names, with the rows that their files kept."""
    for node in nodes:
        fleet.leave(node)
    fleet.run(DOWN_S)
    for node in nodes:
        again = fleet.start(node.address[1] - fleet.first_port, fleet.seeds)
        for row in node.tables[0]:
            again.tables[0].apply(row)


def nodes_by_region(fleet: Fleet, lost: bool) -> list[Node]:
    """Who lives in the region that is cut off, or in the others."""
    return [
        node for node in fleet.nodes.values() if (region(fleet.zone(node.address)) == LOST_REGION) is lost
    ]


def missing_bytes(fleet: Fleet) -> float:
    """Bytes of the rows and words that a scheduler lacks, in the mean."""
    newest = {row.key: row for node in fleet.nodes.values() for row in node.tables[0]}
    for node in fleet.nodes.values():
        newest |= {row.key: row for row in node.tables[0] if row.number > newest[row.key].number}
    lacked = 0
    for node in fleet.nodes.values():
        lacked += sum(row.size for name, row in newest.items() if version_of(node, name) < row.number)
        for other in fleet.nodes.values():
            held = node.membership.view.get(other.name)
            if (
                held is None
                or held.is_departed
                or held.instance_id != other.membership.self_record.instance_id
            ):
                lacked += other.membership.self_record.size
    return lacked / len(fleet.nodes)


def apart(run: FleetRun) -> None:
    """A region is cut off, restarts and changes on both sides, and it is whole again."""
    fleet = run.fleet
    writers = {lost: nodes_by_region(fleet, lost)[-1] for lost in (True, False)}
    keys = {lost: [key(number) for number in range(lost, TEAMS, 2)] for lost in (True, False)}
    for lost, writer in writers.items():
        run.put_quotas(writer, keys[lost])
    run.wait_until(fleet.quiet, QUIET_TIMEOUT_S, 1.0)
    fleet.part_region(LOST_REGION)
    with run.measured() as cost:
        for number in range(RESTARTS):
            for lost in (True, False):
                restart(
                    fleet,
                    [
                        fleet.rng.choice(
                            [node for node in nodes_by_region(fleet, lost) if node not in writers.values()]
                        )
                    ],
                )
                first, last = (CHANGES * (number + step) // RESTARTS for step in (0, 1))
                for change in range(first, last):
                    fleet.put(writers[lost], (keys[lost][change % len(keys[lost])], quota_value(fleet)))
            run.advance(APART_S / RESTARTS - 2 * DOWN_S)
    run.row("regions apart", cost, restarts=2.0 * RESTARTS, changes=2.0 * CHANGES)
    lacked = missing_bytes(fleet)
    fleet.heal()
    run.measure_convergence("healed", differed_bytes=lacked)


def waves(run: FleetRun) -> None:
    """All restart, a tenth at a time, with changes in between: whose rows are older than those it held?"""
    fleet = run.fleet
    nodes, older = list(fleet.nodes.values()), 0
    writer = nodes[-1].address
    run.put_quotas(nodes[-1], [key(number) for number in range(TEAMS)])
    run.wait_until(fleet.quiet, QUIET_TIMEOUT_S, 1.0)
    with run.measured() as cost:
        for wave in range(WAVES):
            going = [fleet.nodes[node.address] for node in nodes[wave::WAVES]]
            restart(fleet, going)
            run.advance(WAVE_INTERVAL_S / 2)
            run.put_quotas(
                fleet.nodes[writer],
                [key(number) for number in range(wave * WAVE_CHANGES, (wave + 1) * WAVE_CHANGES)],
            )
            run.advance(WAVE_INTERVAL_S / 2 - DOWN_S)
            older += sum(
                version_of(fleet.nodes[node.address], row.key) < row.number
                for node in going
                for row in node.tables[0]
            )
        settled = run.wait_until(fleet.whole, SETTLE_TIMEOUT_S)
    extra_figures = {"rows_older": float(older), "changes": float(WAVES * WAVE_CHANGES)}
    why = "" if settled is not None else f"not one view after {SETTLE_TIMEOUT_S:.0f} virtual s"
    run.row("restart wave", cost, why, **extra_figures, settled_ms=(settled or 0.0) * 1000)


def cases(size: int, limit_s: float) -> list[Row]:
    """All cases of one size."""
    rows: list[Row] = []
    until = time.monotonic() + limit_s
    for case in (apart, waves):
        run = FleetRun(Fleet(seed=3), size, until, SLOPE, rows)
        try:
            run.fleet.fleet(size)
            run.wait_until(run.fleet.quiet, QUIET_TIMEOUT_S, 1.0)
            case(run)
        except TimeLimitError:
            rows.append(
                Row(
                    SLOPE,
                    size,
                    f"rest of {case.__name__}",
                    {},
                    False,
                    f"over the {limit_s:.0f} s it had",
                    virtual=True,
                )
            )
    return rows


def measure(sizes: Sequence[int], limit_s: float) -> list[Row]:
    """The rows of these sizes."""
    return run_sizes(cases, sizes, limit_s)
